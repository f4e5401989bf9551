package distribution

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/rpc"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
)

const (
	// neighbourQueryDelay is how long there must be no contact to a control-plane node before neighbours are queried.
	neighbourQueryDelay = 1500 * time.Millisecond
	// maxStartNeighbours is how many replies with a state a starting proxy collects in one round of neighbour queries.
	maxStartNeighbours = 3
	// maxStaleNeighbours is how many neighbours a proxy queries per round after it has lost contact to the control plane.
	maxStaleNeighbours = 2
)

// Handler serves neighbours' queries, under /twirp/gradeusher.distribution.Neighbours/.
func (s *Subscriber) Handler() http.Handler {
	return rpc.BoundedHandler(distributionpb.NewNeighboursServer(s))
}

// Neighbour replies with everything that this proxy has. A proxy that has a state of its own gets only the list of servers, and the state
// if it is newer.
func (s *Subscriber) Neighbour(_ context.Context, req *distributionpb.NeighbourRequest) (*distributionpb.FollowReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries, _ := s.soft.table.ChangesSince(0)
	if req.GetSeq() > 0 {
		entries = slices.DeleteFunc(entries, func(e *softstate.StoredEntry) bool { return !softstate.BelongsToList(e.Key) })
	}
	reply := &distributionpb.FollowReply{Call: req.GetCall(), Entries: softstate.EncodeEntries(time.Now(), entries), Keepers: s.nodes.view()}
	if s.control.state.Seq > req.GetSeq() {
		reply.Snapshot, reply.SnapshotDeflated = rpc.Compress(s.control.state.Encode())
	}
	return reply, nil
}

// neighbourLoop queries neighbours while no control-plane node has been reached since the start, and whenever there is no contact to any:
// other proxies may still learn of evacuations and cold servers. It runs until ctx ends.
func (s *Subscriber) neighbourLoop(ctx context.Context) {
	for wait := neighbourQueryDelay; sleep(ctx, wait); wait = neighbourQueryDelay / 2 {
		s.mu.Lock()
		starting, outOfContact := s.freshness.neverFresh(), time.Since(s.freshness.lastCurrentContact) > neighbourQueryDelay
		s.mu.Unlock()
		switch {
		case starting:
			s.queryNeighbours(ctx, s.neighbourAddresses(true), maxStartNeighbours)
		case outOfContact:
			s.queryNeighbours(ctx, s.neighbourAddresses(false), maxStaleNeighbours)
		}
	}
}

// neighbourAddresses returns the addresses of other proxies in the order in which to query them. The order is random; without seeds, the
// proxies of this region come first.
func (s *Subscriber) neighbourAddresses(withSeeds bool) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	self := s.announced.self
	var near, far []string
	for _, member := range s.soft.table.Members() {
		switch {
		case member.Node == self.Node || member.IP == "" || member.Down:
		case member.Region == self.Region && !withSeeds:
			near = append(near, member.IP)
		default:
			far = append(far, member.IP)
		}
	}
	if withSeeds {
		far = append(far, s.nodes.seeds...)
	}
	for _, addresses := range [][]string{near, far} {
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	}
	return append(near, far...)
}

// queryNeighbours queries one address after another until enough have replied.
func (s *Subscriber) queryNeighbours(ctx context.Context, addresses []string, wantReplies int) {
	replied := 0
	for _, address := range addresses {
		if replied >= wantReplies || ctx.Err() != nil {
			return
		}
		if s.queryNeighbour(ctx, address) {
			replied++
		}
	}
}

// queryNeighbour queries one neighbour and applies its reply. It reports whether the reply was useful.
func (s *Subscriber) queryNeighbour(ctx context.Context, address string) bool {
	ctx, cancel := rpc.WithIdleTimeout(ctx, probeTimeout, replyIdleTimeout)
	defer cancel()
	sentAt := time.Now()
	s.mu.Lock()
	starting, seq := s.freshness.neverFresh(), s.control.state.Seq
	s.mu.Unlock()
	req := &distributionpb.NeighbourRequest{Node: s.options.Self.Node, Call: s.callIDs.Next()}
	if !starting {
		req.Seq = seq
	}
	client := distributionpb.NewNeighboursProtobufClient(baseURL(address, s.options.ProxyPort), s.client)
	reply, err := client.Neighbour(ctx, req)
	if err != nil || rpc.CheckReply(req.GetCall(), reply.GetCall()) != nil {
		return false
	}
	return s.handleNeighbourReply(sentAt, address, starting, reply)
}

// handleNeighbourReply applies a neighbour's reply to a request that was sent at sentAt, and reports whether it was useful.
func (s *Subscriber) handleNeighbourReply(sentAt time.Time, address string, starting bool, reply *distributionpb.FollowReply) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nodes.digest == 0 {
		s.nodes.add(reply.GetKeepers())
	}
	if starting && !s.nodes.allTried() && !s.options.knobs.ServeNeighbourImmediately {
		return false // a reachable control-plane node knows better: query again once all have been tried
	}
	advanced := s.control.apply(s.options.Log, offerFromReply(reply, 0), reply)
	now := time.Now()
	changed := s.soft.applyEntries(now, softstate.AgeUpTo(now.Sub(sentAt)), reply)
	s.control.fromNeighbour = s.control.fromNeighbour || s.control.state.Seq > 0 && starting
	if changed || advanced {
		s.options.Log.WithField("neighbour", address).WithField("seq", s.control.state.Seq).
			Info("distribution: no control-plane node is reached; using what a neighbour has")
		signal(s.updatePending)
	}
	return len(reply.GetSnapshot()) > 0 || !starting
}
