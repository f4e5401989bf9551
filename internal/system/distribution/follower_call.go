package distribution

import (
	"context"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// call polls a keeper once and takes in what it answers. It tells how the keeper stands. The answer must begin within wait
// and slack, and not pause for longer than slack.
func (f *Subscriber) call(ctx context.Context, keeper string, wait, slack time.Duration, acceptStale bool) (answer, error) {
	var loads map[string]pick.Load
	if f.opt.Loads != nil {
		loads = f.opt.Loads()
	}
	req := f.request(loads, acceptStale)
	if len(loads) > 0 {
		// Without news from others, its own load is to be told at the keeper's pace.
		wait = min(wait, f.loadWait())
	}
	req.WaitMs = uint64(wait / time.Millisecond)
	ctx, cancel := withPatience(ctx, wait+slack, slack)
	defer cancel()
	asked := time.Now()
	reply, err := f.poll(ctx, keeper, req)
	if err != nil {
		return answer{}, err
	}
	switch {
	case reply.GetSoft() != nil:
	case len(reply.GetKeepers()) > 0:
		f.learnKeepers(reply.GetKeepers())
		return answer{}, errReferred
	default:
		return answer{}, nil // a keeper that is not current and says nothing else
	}
	return f.take(asked, time.Now(), req, reply), nil
}

// poll sends a request to a keeper, and gives the answer to this very one.
func (f *Subscriber) poll(ctx context.Context, keeper string, req *distributionpb.FollowRequest) (*distributionpb.FollowReply, error) {
	req.Call = f.calls.next()
	reply, err := distributionpb.NewDistributionProtobufClient(f.url(keeper, f.opt.ControlPlanePort), f.client).Follow(ctx, req)
	if err != nil {
		return nil, err
	}
	if err := answers(req.GetCall(), reply.GetCall()); err != nil && !f.opt.hooks.anyCall {
		f.client.CloseIdleConnections()
		return nil, err
	}
	return reply, nil
}

// probe asks a keeper whether it is current, and nothing else: several are asked at once, and one only is to send its state.
func (f *Subscriber) probe(ctx context.Context, keeper string) (current bool, err error) {
	ctx, cancel := withPatience(ctx, seekTimeout, silence)
	defer cancel()
	f.mu.Lock()
	req := &distributionpb.FollowRequest{Member: f.self.wire(), Seq: f.state.Seq, Probe: true}
	f.mu.Unlock()
	asked := time.Now()
	reply, err := f.poll(ctx, keeper, req)
	if err != nil {
		return false, err
	}
	if len(reply.GetKeepers()) > 0 {
		f.learnKeepers(reply.GetKeepers())
		return false, errReferred
	}
	offer := offerOf(reply, time.Since(asked.Add(millis(reply.GetCheckedMs(), time.Minute))))
	return offer.Current && !offer.Expired(), nil
}

// answer is how a keeper answered.
type answer struct {
	current bool // it feeds the control state
	feeds   bool // it feeds anything
	durable bool // and there was something new in it
	behind  bool // though it holds something newer, it did not bring this proxy further
}

func (f *Subscriber) loadWait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pace + f.pace/4
}

// request says what is held.
func (f *Subscriber) request(loads map[string]pick.Load, acceptStale bool) *distributionpb.FollowRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.own.publish(now, loads) || len(f.history) == 0 || f.history[len(f.history)-1].number != f.own.number {
		f.history = append(f.history, ownLoads{f.own.number, loads})
		if len(f.history) > 16 {
			f.history = f.history[1:]
		}
	}
	req := &distributionpb.FollowRequest{
		Member: f.self.wire(), Seq: f.position().Ask(), AcceptStale: acceptStale, Keepers: f.digest,
		Soft:   &distributionpb.Cursor{Boot: f.soft.GetBoot(), Number: f.soft.GetNumber()},
		Totals: &distributionpb.Cursor{Boot: f.totals.boot, Number: f.totals.number},
		Loads:  f.own.since(f.toldOwn.GetBoot(), f.toldOwn.GetNumber()),
	}
	for node, incarnation := range f.down {
		req.Down = append(req.Down, &distributionpb.Verdict{Node: node, Incarnation: incarnation})
	}
	return req
}

// take takes a keeper's reply in, to a request that was sent at asked.
func (f *Subscriber) take(asked, now time.Time, req *distributionpb.FollowRequest, reply *distributionpb.FollowReply) answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	checked := asked.Add(millis(reply.GetCheckedMs(), time.Minute))
	if f.opt.hooks.fromArrival {
		checked = now
	}
	offer := offerOf(reply, now.Sub(checked))
	if rev := req.GetMember().GetRevision(); rev > f.told {
		f.told = rev
		close(f.tellDone)
		f.tellDone = make(chan struct{})
	}
	for _, v := range req.GetDown() {
		if f.down[v.GetNode()] == v.GetIncarnation() {
			delete(f.down, v.GetNode())
		}
	}
	before := f.state.Seq
	f.takeState(offer, reply)
	durable := f.state.Seq != before
	if durable {
		poke(f.changed)
	}
	if offer.Expired() {
		return answer{feeds: true, durable: durable}
	}
	f.heard = now
	if offer.Current {
		f.currentAt = later(f.currentAt, checked)
		if !f.wanted.IsZero() && !f.currentAt.Before(f.wanted) {
			f.wanted = time.Time{}
			poke(f.changed)
		}
	}
	if f.takeSoft(now, now.Sub(checked), req, reply) {
		poke(f.changed)
	}
	if f.position().ProvesFreshness(offer) {
		if f.freshAt.IsZero() {
			poke(f.changed) // what is held may be served from now on
		}
		f.freshAt = later(f.freshAt, checked)
	}
	return answer{current: offer.Current, feeds: true, durable: durable, behind: offer.Newest > f.state.Seq && !durable}
}

// takeSoft takes in all of a reply but the control state, and tells whether anything changed that matters to the owner. The
// reply is about some moment of the delay before now, at most, so ages add up over all hops. The caller holds mu.
func (f *Subscriber) takeSoft(now time.Time, delay time.Duration, req *distributionpb.FollowRequest, reply *distributionpb.FollowReply) bool {
	goesOn := f.goesOn(req, reply)
	if !goesOn {
		reply.Entries = withoutList(reply.GetEntries())
	}
	again := f.noteSkipped(f.tellsOldList(now, upTo(delay), reply), reply)
	changed := f.takeEntries(now, upTo(delay), reply)
	switch to := reply.GetSoft(); {
	case again:
		f.soft.Boot, f.soft.Number = 0, 0
	case goesOn:
		f.soft.Boot, f.soft.Number = to.GetBoot(), to.GetNumber()
	}
	f.toldOwn.Boot, f.toldOwn.Number = reply.GetTold().GetBoot(), reply.GetTold().GetNumber()
	f.takeTotals(now.Add(-delay), reply)
	if len(reply.GetKeepers()) > 0 {
		f.takeKeepers(reply.GetKeepers())
		f.digest = reply.GetKeepersDigest()
	}
	if p := millis(reply.GetPaceMs(), 2*time.Second); p > 0 {
		f.pace = p
	}
	return changed
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// goesOn tells whether a reply is a whole table, or a delta that goes on from what is held: another call may have brought the table
// of another keeper in the meantime. The caller holds mu.
func (f *Subscriber) goesOn(req *distributionpb.FollowRequest, reply *distributionpb.FollowReply) bool {
	asked, to := req.GetSoft(), reply.GetSoft()
	same := to.GetBoot() == f.soft.GetBoot() && asked.GetBoot() == to.GetBoot()
	return reply.GetFull() || same && asked.GetNumber() <= f.soft.GetNumber() && to.GetNumber() >= f.soft.GetNumber()
}

// withoutList leaves out the entry that tells when the platform's list was read: without the servers that the reading showed, and
// that the delta takes for known, it would make older ones look as if they came from that reading.
func withoutList(entries []*distributionpb.Entry) []*distributionpb.Entry {
	return slices.DeleteFunc(entries, func(e *distributionpb.Entry) bool { return e.GetKey() == listKey })
}

// takeTotals takes total loads in and works out what is of others.
func (f *Subscriber) takeTotals(now time.Time, reply *distributionpb.FollowReply) {
	if b := reply.GetTotals(); len(b) > 0 {
		var w distributionpb.Loads
		if proto.Unmarshal(b, &w) != nil || !f.totals.apply(now, &w) {
			return
		}
	}
	f.totals.at = now
	var mine map[string]pick.Load
	for _, o := range f.history {
		if o.number == reply.GetTotalsOf() {
			mine = o.loads
		}
	}
	others := f.totals.less(mine)
	if !maps.Equal(others, f.others) {
		f.others = others
		poke(f.loadChanged)
	}
}
