package distribution

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/rpc"
)

// ServerLocation is the address and location of a control-plane node that serves proxies.
type ServerLocation struct {
	Address      string // IP or IP:port
	Zone, Region string
}

// Referral answers proxies on a node that serves no state, an observer: it returns the addresses of the nodes that do, in the chain's
// order. Without it a proxy whose seeds are all observers would find no node.
type Referral struct {
	Servers func() []ServerLocation
}

// Handler serves the calls of subscribers and of peers, under the same path as Server.Handler.
func (r Referral) Handler() http.Handler {
	return rpc.BoundedHandler(distributionpb.NewDistributionServer(r))
}

// Follow returns the nodes that serve state. The reply has no soft state, by which a subscriber recognises that this node does not serve
// it.
func (r Referral) Follow(_ context.Context, req *distributionpb.FollowRequest) (*distributionpb.FollowReply, error) {
	return &distributionpb.FollowReply{Call: req.GetCall(), Keepers: encodeLocations(r.Servers()...)}, nil
}

func encodeLocations(locations ...ServerLocation) []*distributionpb.Keeper {
	out := make([]*distributionpb.Keeper, 0, len(locations))
	for _, location := range locations {
		out = append(out, &distributionpb.Keeper{Address: location.Address, Zone: location.Zone, Region: location.Region})
	}
	return out
}

// Share returns an error: an observer has no soft state.
func (Referral) Share(context.Context, *distributionpb.ShareRequest) (*distributionpb.ShareReply, error) {
	return nil, twirp.NewError(twirp.FailedPrecondition,
		"this node is an observer and has no soft state: synchronise with the control-plane nodes of the view")
}
