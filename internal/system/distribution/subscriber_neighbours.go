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

// Handler serves neighbours that start, under /twirp/gradeusher.distribution.Neighbours/.
func (f *Subscriber) Handler() http.Handler {
	return rpc.BoundedHandler(distributionpb.NewNeighboursServer(f))
}

// Neighbour answers all that is held; to a proxy that holds a state of its own, the list of servers and a newer state.
func (f *Subscriber) Neighbour(_ context.Context, req *distributionpb.NeighbourRequest) (*distributionpb.FollowReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	items, _ := f.table.ChangesSince(0)
	if req.GetSeq() > 0 {
		items = slices.DeleteFunc(items, func(it *softstate.StoredEntry) bool { return !softstate.BelongsToList(it.Key) })
	}
	reply := &distributionpb.FollowReply{Call: req.GetCall(), Entries: softstate.EncodeEntries(time.Now(), items)}
	if f.state.Seq > req.GetSeq() {
		reply.Snapshot, reply.SnapshotDeflated = rpc.Compress(f.state.Encode())
	}
	for _, k := range f.nodes {
		if k.inView {
			reply.Keepers = append(reply.Keepers, &distributionpb.Keeper{Address: k.address, Zone: k.zone, Region: k.region})
		}
	}
	return reply, nil
}

const (
	maxStartNeighbours = 3 // neighbours that a proxy which starts asks in a round, until so many have answered with a state
	maxStaleNeighbours = 2 // and one that hears no keeper any more
)

// neighbourLoop takes what neighbours hold while no keeper has been reached since the start, and while none has been heard of late:
// then others may still hear of evacuations and cold servers.
func (f *Subscriber) neighbourLoop(ctx context.Context) {
	for wait := neighbourQueryDelay; sleep(ctx, wait); wait = neighbourQueryDelay / 2 {
		f.mu.Lock()
		starts, silent := f.freshAt.IsZero(), time.Since(f.lastCurrentContact) > neighbourQueryDelay
		f.mu.Unlock()
		switch {
		case starts:
			f.queryNeighbours(ctx, f.neighbourAddresses(true), maxStartNeighbours)
		case silent:
			f.queryNeighbours(ctx, f.neighbourAddresses(false), maxStaleNeighbours)
		}
	}
}

// neighbourAddresses are the machines where other proxies are to be found, in the order of trying them: at random, where the seeds are not
// wanted those of this region first.
func (f *Subscriber) neighbourAddresses(seeds bool) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var near, far []string
	for _, m := range f.table.Members() {
		switch {
		case m.Node == f.self.Node || m.IP == "" || m.Down:
		case m.Region == f.self.Region && !seeds:
			near = append(near, m.IP)
		default:
			far = append(far, m.IP)
		}
	}
	if seeds {
		far = append(far, f.options.Seeds...)
	}
	for _, places := range [][]string{near, far} {
		rand.Shuffle(len(places), func(i, j int) { places[i], places[j] = places[j], places[i] })
	}
	return append(near, far...)
}

// queryNeighbours asks one place after the other until so many have answered.
func (f *Subscriber) queryNeighbours(ctx context.Context, places []string, most int) {
	for i, taken := 0, 0; i < len(places) && taken < most && ctx.Err() == nil; i++ {
		if f.queryNeighbour(ctx, places[i]) {
			taken++
		}
	}
}

func (f *Subscriber) queryNeighbour(ctx context.Context, place string) bool {
	ctx, cancel := rpc.WithIdleTimeout(ctx, probeTimeout, replyIdleTimeout)
	defer cancel()
	asked := time.Now()
	f.mu.Lock()
	starts, seq := f.freshAt.IsZero(), f.state.Seq
	f.mu.Unlock()
	req := &distributionpb.NeighbourRequest{Node: f.options.Self.Node, Call: f.callIDs.Next()}
	if !starts {
		req.Seq = seq
	}
	reply, err := distributionpb.NewNeighboursProtobufClient(f.baseURL(place, f.options.ProxyPort), f.client).Neighbour(ctx, req)
	if err != nil || rpc.CheckReply(req.GetCall(), reply.GetCall()) != nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.nodesDigest == 0 {
		f.addNodes(reply.GetKeepers())
	}
	if starts && !f.allNodesTried() && !f.options.Knobs.NeighbourAtOnce {
		return false // a keeper that can be reached knows better: ask again once they have been tried
	}
	before := f.state.Seq
	f.applyState(offerFromReply(reply, 0), reply)
	now := time.Now()
	changed := f.applyEntries(now, softstate.AgeUpTo(now.Sub(asked)), reply)
	f.stateFromNeighbour = f.stateFromNeighbour || f.state.Seq > 0 && starts
	if changed || f.state.Seq != before {
		f.options.Log.WithField("neighbour", place).WithField("seq", f.state.Seq).Info("distribution: no keeper is reached; holding what a neighbour holds")
		signal(f.updatePending)
	}
	return len(reply.GetSnapshot()) > 0 || !starts
}
