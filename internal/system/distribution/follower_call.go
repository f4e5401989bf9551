package distribution

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// call polls a keeper once and takes in what it answers. It tells how the keeper stands.
func (f *Follower) call(ctx context.Context, keeper string, wait, slack time.Duration, acceptStale bool) (answer, error) {
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
	ctx, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	reply, err := distributionpb.NewDistributionProtobufClient(f.url(keeper, f.opt.KeeperPort), f.client).Follow(ctx, req)
	if err != nil {
		return answer{}, err
	}
	if reply.GetSoft() == nil {
		return answer{}, nil // a keeper that is not current and says nothing else
	}
	return f.take(time.Now(), keeper, req, reply), nil
}

// answer is how a keeper answered.
type answer struct {
	current bool // it feeds the control state
	feeds   bool // it feeds anything
	durable bool // and there was something new in it
}

func (f *Follower) loadWait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pace + f.pace/4
}

// request says what is held.
func (f *Follower) request(loads map[string]pick.Load, acceptStale bool) *distributionpb.FollowRequest {
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
		Member: f.self.wire(), Seq: f.state.Seq, AcceptStale: acceptStale, Keepers: f.digest,
		Soft:   &distributionpb.Cursor{Boot: f.soft.GetBoot(), Number: f.soft.GetNumber()},
		Totals: &distributionpb.Cursor{Boot: f.totals.boot, Number: f.totals.number},
		Loads:  f.own.since(f.toldOwn.GetBoot(), f.toldOwn.GetNumber()),
	}
	if f.resync {
		req.Seq = 0
	}
	for node, incarnation := range f.down {
		req.Down = append(req.Down, &distributionpb.Verdict{Node: node, Incarnation: incarnation})
	}
	return req
}

// take takes a keeper's reply in.
func (f *Follower) take(now time.Time, keeper string, req *distributionpb.FollowRequest, reply *distributionpb.FollowReply) answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard = now
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
	f.takeState(reply)
	changed := f.takeEntries(now, reply)
	f.takeCursor(req, reply)
	f.toldOwn.Boot, f.toldOwn.Number = reply.GetTold().GetBoot(), reply.GetTold().GetNumber()
	f.takeTotals(now, reply)
	if len(reply.GetKeepers()) > 0 {
		f.takeKeepers(reply.GetKeepers())
		f.digest = reply.GetKeepersDigest()
	}
	if p := millis(reply.GetPaceMs(), 2*time.Second); p > 0 {
		f.pace = p
	}
	if changed || f.state.Seq != before {
		poke(f.changed)
	}
	if reply.GetCurrent() && len(reply.GetRecords()) < moreRecords {
		// A full answer of records may not be the end of them.
		f.freshAt = now
	}
	return answer{current: reply.GetCurrent(), feeds: true, durable: f.state.Seq != before}
}

// moreRecords is how many records in one answer let suppose that there are more.
const moreRecords = 64

// takeState takes records or a snapshot; what is not newer is ignored, so that a proxy never goes back.
func (f *Follower) takeState(reply *distributionpb.FollowReply) {
	if b := reply.GetSnapshot(); len(b) > 0 {
		b, err := expand(b, reply.GetSnapshotDeflated())
		var s *controlstate.State
		if err == nil {
			s, err = controlstate.Decode(b)
		}
		if err != nil {
			f.opt.Log.WithError(err).Warn("distribution: a snapshot of the control state is not readable")
			return
		}
		if s.Seq > f.state.Seq {
			f.state = s
		}
		f.resync = false
		return
	}
	for _, w := range reply.GetRecords() {
		if w.GetSeq() <= f.state.Seq {
			continue
		}
		if w.GetSeq() != f.state.Seq+1 {
			return
		}
		body, err := expand(w.GetBody(), w.GetDeflated())
		var s *controlstate.State
		if err == nil {
			s, err = f.state.Apply(controlstate.Record{Seq: w.GetSeq(), Op: controlstate.Op(w.GetOp()), Base: w.GetBase(), Body: body, Zone: w.GetZone()})
		}
		if err != nil {
			f.opt.Log.WithError(err).WithField("seq", w.GetSeq()).Warn("distribution: a record does not apply; asking for a snapshot")
			f.resync = true
			return
		}
		f.state = s
	}
}

// takeEntries takes soft state in and tells whether anything that matters changed. A whole table of a keeper that misses
// nothing takes the place of what is held, even of higher versions: keepers that all lost their tables count anew.
func (f *Follower) takeEntries(now time.Time, reply *distributionpb.FollowReply) (changed bool) {
	into := f.table
	if reply.GetWhole() && reply.GetWarm() {
		into = newTable()
	}
	if slices.ContainsFunc(reply.GetEntries(), func(w *distributionpb.Entry) bool { return w.GetKey() == listKey }) {
		for key := range f.kept {
			into.drop(key)
		}
		f.kept, changed = nil, len(f.kept) > 0
	}
	for _, w := range reply.GetEntries() {
		e, age := fromWire(w)
		if e.Key == "" || len(e.Key) > 2*maxID {
			continue
		}
		if f.kept[e.Key] {
			delete(f.kept, e.Key)
			into.drop(e.Key)
		}
		if into.merge(now, e, age) && !lazy(e.Key) {
			changed = true
		}
	}
	if into == f.table {
		return changed
	}
	if into.items[listKey] == nil {
		// The list has not been read since: until then old servers are better than none.
		f.kept = map[string]bool{}
		for key, it := range f.table.items {
			if (key == listKey || strings.HasPrefix(key, serverPrefix)) && into.merge(now, it.Entry, now.Sub(it.at)) {
				f.kept[key] = true
			}
		}
	}
	f.table = into
	return true
}

// takeCursor moves on in the soft state. Deltas count only where they go on from what is held: another call may have
// brought the table of another keeper in the meantime. The caller holds mu.
func (f *Follower) takeCursor(req *distributionpb.FollowRequest, reply *distributionpb.FollowReply) {
	to := reply.GetSoft()
	same := to.GetBoot() == f.soft.GetBoot()
	switch {
	case reply.GetWhole():
	case !same, req.GetSoft().GetBoot() != to.GetBoot(), req.GetSoft().GetNumber() > f.soft.GetNumber(), to.GetNumber() < f.soft.GetNumber():
		return
	}
	f.soft.Boot, f.soft.Number = to.GetBoot(), to.GetNumber()
}

// takeTotals takes total loads in and works out what is of others.
func (f *Follower) takeTotals(now time.Time, reply *distributionpb.FollowReply) {
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
