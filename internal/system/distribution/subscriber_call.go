package distribution

import (
	"context"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/rpc"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// call polls a keeper once and takes in what it answers. It tells how the keeper stands. The answer must begin within wait
// and slack, and not pause for longer than slack.
func (f *Subscriber) call(ctx context.Context, keeper string, wait, slack time.Duration, acceptStale bool) (callResult, error) {
	var loads map[string]pick.Load
	if f.options.Loads != nil {
		loads = f.options.Loads()
	}
	req := f.buildRequest(loads, acceptStale)
	if len(loads) > 0 {
		// Without news from others, its own load is to be told at the keeper's pace.
		wait = min(wait, f.loadReportWait())
	}
	req.WaitMs = uint64(wait / time.Millisecond)
	ctx, cancel := rpc.WithIdleTimeout(ctx, wait+slack, slack)
	defer cancel()
	asked := time.Now()
	reply, err := f.sendPoll(ctx, keeper, req)
	if err != nil {
		return callResult{}, err
	}
	switch {
	case reply.GetSoft() != nil:
	case len(reply.GetKeepers()) > 0:
		f.learnNodes(reply.GetKeepers())
		return callResult{}, errReferred
	default:
		return callResult{}, nil // a keeper that is not current and says nothing else
	}
	return f.handleReply(asked, time.Now(), req, reply), nil
}

// sendPoll sends a request to a keeper, and gives the answer to this very one.
func (f *Subscriber) sendPoll(ctx context.Context, keeper string, req *distributionpb.FollowRequest) (*distributionpb.FollowReply, error) {
	req.Call = f.callIDs.Next()
	reply, err := distributionpb.NewDistributionProtobufClient(f.baseURL(keeper, f.options.ControlPlanePort), f.client).Follow(ctx, req)
	if err != nil {
		return nil, err
	}
	if err := rpc.CheckReply(req.GetCall(), reply.GetCall()); err != nil && !f.options.Knobs.AcceptAnyReply {
		f.client.CloseIdleConnections()
		return nil, err
	}
	return reply, nil
}

// probeNode asks a keeper whether it is current, and nothing else: several are asked at once, and one only is to send its state.
func (f *Subscriber) probeNode(ctx context.Context, keeper string) (current bool, err error) {
	ctx, cancel := rpc.WithIdleTimeout(ctx, probeTimeout, replyIdleTimeout)
	defer cancel()
	f.mu.Lock()
	req := &distributionpb.FollowRequest{Member: f.self.ToProto(), Seq: f.state.Seq, Probe: true}
	f.mu.Unlock()
	asked := time.Now()
	reply, err := f.sendPoll(ctx, keeper, req)
	if err != nil {
		return false, err
	}
	if len(reply.GetKeepers()) > 0 {
		f.learnNodes(reply.GetKeepers())
		return false, errReferred
	}
	offer := offerFromReply(reply, time.Since(asked.Add(softstate.BoundedMilliseconds(reply.GetCheckedMs(), time.Minute))))
	return offer.Current && !offer.Expired(), nil
}

// callResult is how a keeper answered.
type callResult struct {
	current       bool // it feeds the control state
	serves        bool // it feeds anything
	stateAdvanced bool // and there was something new in it
	stillBehind   bool // though it holds something newer, it did not bring this proxy further
}

func (f *Subscriber) loadReportWait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loadReportInterval + f.loadReportInterval/4
}

// buildRequest says what is held.
func (f *Subscriber) buildRequest(loads map[string]pick.Load, acceptStale bool) *distributionpb.FollowRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.ownLoads.Publish(now, loads) || len(f.sentLoads) == 0 || f.sentLoads[len(f.sentLoads)-1].number != f.ownLoads.Number {
		f.sentLoads = append(f.sentLoads, sentLoads{f.ownLoads.Number, loads})
		if len(f.sentLoads) > 16 {
			f.sentLoads = f.sentLoads[1:]
		}
	}
	req := &distributionpb.FollowRequest{
		Member: f.self.ToProto(), Seq: f.position().Ask(), AcceptStale: acceptStale, Keepers: f.nodesDigest,
		Soft:   &distributionpb.Cursor{Boot: f.tableCursor.GetBoot(), Number: f.tableCursor.GetNumber()},
		Totals: f.totalLoads.Cursor.ToProto(),
		Loads:  f.ownLoads.ChangesSince(f.ackedLoads),
	}
	for node, incarnation := range f.pendingVerdicts {
		req.Down = append(req.Down, &distributionpb.Verdict{Node: node, Incarnation: incarnation})
	}
	return req
}

// handleReply takes a keeper's reply in, to a request that was sent at asked.
func (f *Subscriber) handleReply(asked, now time.Time, req *distributionpb.FollowRequest, reply *distributionpb.FollowReply) callResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	checked := asked.Add(softstate.BoundedMilliseconds(reply.GetCheckedMs(), time.Minute))
	if f.options.Knobs.DateByArrival {
		checked = now
	}
	offer := offerFromReply(reply, now.Sub(checked))
	if rev := req.GetMember().GetRevision(); rev > f.ackedRevision {
		f.ackedRevision = rev
		close(f.revisionAcked)
		f.revisionAcked = make(chan struct{})
	}
	for _, v := range req.GetDown() {
		if f.pendingVerdicts[v.GetNode()] == v.GetIncarnation() {
			delete(f.pendingVerdicts, v.GetNode())
		}
	}
	before := f.state.Seq
	f.applyState(offer, reply)
	durable := f.state.Seq != before
	if durable {
		signal(f.updatePending)
	}
	if offer.Expired() {
		return callResult{serves: true, stateAdvanced: durable}
	}
	f.lastContact = now
	if offer.Current {
		f.lastCurrentContact = laterOf(f.lastCurrentContact, checked)
		if !f.refreshAfter.IsZero() && !f.lastCurrentContact.Before(f.refreshAfter) {
			f.refreshAfter = time.Time{}
			signal(f.updatePending)
		}
	}
	if f.applySoftState(now, now.Sub(checked), req, reply) {
		signal(f.updatePending)
	}
	if f.position().ProvesFreshness(offer) {
		if f.freshAt.IsZero() {
			signal(f.updatePending) // what is held may be served from now on
		}
		f.freshAt = laterOf(f.freshAt, checked)
	}
	return callResult{current: offer.Current, serves: true, stateAdvanced: durable, stillBehind: offer.Newest > f.state.Seq && !durable}
}

// applySoftState takes in all of a reply but the control state, and tells whether anything changed that matters to the owner. The
// reply is about some moment of the delay before now, at most, so ages add up over all hops. The caller holds mu.
func (f *Subscriber) applySoftState(now time.Time, delay time.Duration, req *distributionpb.FollowRequest, reply *distributionpb.FollowReply) bool {
	goesOn := f.continuesTable(req, reply)
	if !goesOn {
		reply.Entries = withoutListEntry(reply.GetEntries())
	}
	again := f.trackSkippedList(f.bringsOlderList(now, softstate.AgeUpTo(delay), reply), reply)
	changed := f.applyEntries(now, softstate.AgeUpTo(delay), reply)
	switch to := reply.GetSoft(); {
	case again:
		f.tableCursor.Boot, f.tableCursor.Number = 0, 0
	case goesOn:
		f.tableCursor.Boot, f.tableCursor.Number = to.GetBoot(), to.GetNumber()
	}
	f.ackedLoads = softstate.CursorFromProto(reply.GetTold())
	f.applyTotalLoads(now.Add(-delay), reply)
	if len(reply.GetKeepers()) > 0 {
		f.replaceNodes(reply.GetKeepers())
		f.nodesDigest = reply.GetKeepersDigest()
	}
	if p := softstate.BoundedMilliseconds(reply.GetPaceMs(), 2*time.Second); p > 0 {
		f.loadReportInterval = p
	}
	return changed
}

// continuesTable tells whether a reply is a whole table, or a delta that goes on from what is held: another call may have brought the table
// of another keeper in the meantime. The caller holds mu.
func (f *Subscriber) continuesTable(req *distributionpb.FollowRequest, reply *distributionpb.FollowReply) bool {
	asked, to := req.GetSoft(), reply.GetSoft()
	same := to.GetBoot() == f.tableCursor.GetBoot() && asked.GetBoot() == to.GetBoot()
	return reply.GetFull() || same && asked.GetNumber() <= f.tableCursor.GetNumber() && to.GetNumber() >= f.tableCursor.GetNumber()
}

// withoutListEntry leaves out the entry that tells when the platform's list was read: without the servers that the reading showed, and
// that the delta takes for known, it would make older ones look as if they came from that reading.
func withoutListEntry(entries []*distributionpb.Entry) []*distributionpb.Entry {
	return slices.DeleteFunc(entries, func(e *distributionpb.Entry) bool { return e.GetKey() == softstate.ListKey })
}

// applyTotalLoads takes total loads in and works out what is of others.
func (f *Subscriber) applyTotalLoads(now time.Time, reply *distributionpb.FollowReply) {
	if b := reply.GetTotals(); len(b) > 0 {
		var w distributionpb.Loads
		if proto.Unmarshal(b, &w) != nil || !f.totalLoads.Apply(now, &w) {
			return
		}
	}
	f.totalLoads.ReceivedAt = now
	var mine map[string]pick.Load
	for _, o := range f.sentLoads {
		if o.number == reply.GetTotalsOf() {
			mine = o.loads
		}
	}
	others := f.totalLoads.Without(mine)
	if !maps.Equal(others, f.otherLoads) {
		f.otherLoads = others
		signal(f.loadsPending)
	}
}
