package distribution

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/rpc"
)

// ServerLocation is a keeper that feeds proxies, and where it is.
type ServerLocation struct {
	Address      string // IP or IP:port
	Zone, Region string
}

// Referral answers proxies at a keeper that feeds none, an observer: it names the keepers that do, in the chain's order.
// Without it a proxy whose seeds are all observers would find no keeper.
type Referral struct {
	Servers func() []ServerLocation
}

// Handler serves the calls of followers and of other keepers, under the same path as Hub.Handler.
func (r Referral) Handler() http.Handler {
	return rpc.BoundedHandler(distributionpb.NewDistributionServer(r))
}

// Follow names the keepers. The reply has no soft state, by which a follower knows that it is not fed here.
func (r Referral) Follow(_ context.Context, req *distributionpb.FollowRequest) (*distributionpb.FollowReply, error) {
	return &distributionpb.FollowReply{Call: req.GetCall(), Keepers: encodeLocations(r.Servers()...)}, nil
}

func encodeLocations(places ...ServerLocation) []*distributionpb.Keeper {
	out := make([]*distributionpb.Keeper, 0, len(places))
	for _, k := range places {
		out = append(out, &distributionpb.Keeper{Address: k.Address, Zone: k.Zone, Region: k.Region})
	}
	return out
}

// Share refuses: an observer holds no soft state.
func (Referral) Share(context.Context, *distributionpb.ShareRequest) (*distributionpb.ShareReply, error) {
	return nil, twirp.NewError(twirp.FailedPrecondition, "this keeper is an observer and holds no soft state: share with the keepers of the view")
}
