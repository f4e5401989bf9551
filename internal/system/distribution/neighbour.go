package distribution

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
)

// Handler serves neighbours that start, under /twirp/gradeusher.distribution.Neighbours/.
func (f *Follower) Handler() http.Handler {
	return bounded(distributionpb.NewNeighboursServer(f))
}

// Neighbour answers all that is held.
func (f *Follower) Neighbour(_ context.Context, req *distributionpb.NeighbourRequest) (*distributionpb.FollowReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	items, _ := f.table.since(0)
	reply := &distributionpb.FollowReply{Call: req.GetCall(), Entries: toWire(time.Now(), items)}
	if f.state.Seq > 0 {
		reply.Snapshot, reply.SnapshotDeflated = compress(f.state.Encode())
	}
	for _, k := range f.keepers {
		if k.view {
			reply.Keepers = append(reply.Keepers, &distributionpb.Keeper{Address: k.address, Zone: k.zone, Region: k.region})
		}
	}
	return reply, nil
}

// askNeighbours takes what neighbours hold as long as no keeper has been reached since the start.
func (f *Follower) askNeighbours(ctx context.Context) {
	for wait := neighbourLag; sleep(ctx, wait); wait = neighbourLag / 2 {
		f.mu.Lock()
		done := !f.freshAt.IsZero()
		var places []string
		places = append(places, f.opt.Seeds...)
		for _, m := range f.table.members() {
			if m.Node != f.self.Node && m.IP != "" && !m.Down {
				places = append(places, m.IP)
			}
		}
		f.mu.Unlock()
		if done {
			return
		}
		rand.Shuffle(len(places), func(i, j int) { places[i], places[j] = places[j], places[i] })
		for i, taken := 0, 0; i < len(places) && taken < 3 && ctx.Err() == nil; i++ {
			if f.askNeighbour(ctx, places[i]) {
				taken++
			}
		}
	}
}

func (f *Follower) askNeighbour(ctx context.Context, place string) bool {
	ctx, cancel := withPatience(ctx, seekTimeout, silence)
	defer cancel()
	asked := time.Now()
	req := &distributionpb.NeighbourRequest{Node: f.opt.Self.Node, Call: f.calls.next()}
	reply, err := distributionpb.NewNeighboursProtobufClient(f.url(place, f.opt.ProxyPort), f.client).Neighbour(ctx, req)
	if err != nil || answers(req.GetCall(), reply.GetCall()) != nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.digest == 0 {
		f.addKeepers(reply.GetKeepers())
	}
	if !f.allTried() && !f.opt.hooks.neighbourAtOnce {
		return false // a keeper that can be reached knows better: ask again once they have been tried
	}
	before := f.state.Seq
	f.takeState(offerOf(reply, 0), reply)
	now := time.Now()
	changed := f.takeEntries(now, upTo(now.Sub(asked)), reply)
	f.borrowed = f.borrowed || f.state.Seq > 0
	if changed || f.state.Seq != before {
		f.opt.Log.WithField("neighbour", place).WithField("seq", f.state.Seq).Info("distribution: no keeper is reached; holding what a neighbour holds")
		poke(f.changed)
	}
	return len(reply.GetSnapshot()) > 0
}
