package distribution

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/twitchtv/twirp"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
)

const (
	// currentRecheckInterval is how often a node that is not current checks whether it has become current while a proxy waits for that.
	currentRecheckInterval = 40 * time.Millisecond
	// maxRequestedWait bounds the wait that a poll may request.
	maxRequestedWait = time.Minute
)

// Follow serves a poll of a proxy; see the service's definition.
func (s *Server) Follow(ctx context.Context, req *distributionpb.FollowRequest) (*distributionpb.FollowReply, error) {
	reply, err := s.serveFollow(ctx, req)
	if reply != nil {
		reply.Call = req.GetCall()
	}
	return reply, err
}

func (s *Server) serveFollow(ctx context.Context, req *distributionpb.FollowRequest) (*distributionpb.FollowReply, error) {
	start := time.Now()
	member := softstate.MemberFromProto(req.GetMember())
	if member.Node == "" || len(member.Node) > softstate.MaxIDBytes || member.Incarnation == 0 {
		return nil, twirp.RequiredArgumentError("member")
	}
	if req.GetProbe() {
		return s.probeReply(start), nil
	}
	if !s.isCurrent() && !req.GetAcceptStale() {
		return &distributionpb.FollowReply{PaceMs: uint64(s.limits.LoadReportInterval / time.Millisecond)}, nil
	}
	caller := s.beginCall(member, req)
	if caller == nil {
		return nil, twirp.NewError(twirp.ResourceExhausted, "this control-plane node has too many subscribers: follow another")
	}
	defer s.endCall(caller)
	return s.longPoll(ctx, &poll{caller: caller, req: req, start: start})
}

// poll is a subscriber's request that waits for changes the subscriber does not have yet.
type poll struct {
	caller *session
	req    *distributionpb.FollowRequest
	start  time.Time // when it arrived
}

// pollWait holds what a poll waits for.
type pollWait struct {
	changed   <-chan struct{} // soft state
	committed <-chan struct{} // control state
	dueIn     time.Duration   // until the next scheduled reply; 0: none is scheduled
}

// longPoll waits until there is something that the request does not have, or until its wait time is over.
func (s *Server) longPoll(ctx context.Context, waiting *poll) (*distributionpb.FollowReply, error) {
	maxWait := min(softstate.BoundedMilliseconds(waiting.req.GetWaitMs(), maxRequestedWait), s.limits.LongPollTimeout)
	for {
		reply, wait := s.tryReply(ctx, waiting)
		if reply != nil {
			return reply, nil
		}
		left := maxWait - time.Since(waiting.start)
		if left <= 0 {
			return s.buildReply(ctx, waiting), nil
		}
		if wait.dueIn > 0 {
			left = min(left, wait.dueIn)
		}
		if err := s.awaitChange(ctx, waiting, wait, left); err != nil {
			return nil, err
		}
	}
}

// awaitChange waits for a change, at most for the time given. It fails if the caller has gone away or this server stops.
func (s *Server) awaitChange(ctx context.Context, waiting *poll, wait pollWait, atMost time.Duration) error {
	timer := time.NewTimer(atMost)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		s.recordLostConnection(waiting.caller)
		return twirp.NewError(twirp.Canceled, "the proxy went away")
	case <-s.stopped:
		return twirp.NewError(twirp.Unavailable, "this control-plane node stops; follow another")
	case <-wait.changed:
	case <-wait.committed:
	case <-timer.C:
	}
	return nil
}

// schedule states whether a reply is due now, and otherwise how long until the first one is due.
type schedule struct {
	ready bool
	dueIn time.Duration // 0: none is scheduled
}

// add schedules a reply that is due at an interval after last.
func (s *schedule) add(last time.Time, interval time.Duration) {
	left := interval - time.Since(last)
	if left <= 0 {
		s.ready = true
	} else {
		s.addDelay(left)
	}
}

// addDelay schedules a reply that is due after a duration.
func (s *schedule) addDelay(left time.Duration) {
	if s.dueIn == 0 || left < s.dueIn {
		s.dueIn = left
	}
}

// tryReply returns a reply if there is something that the request does not have, and otherwise what to wait for.
func (s *Server) tryReply(ctx context.Context, waiting *poll) (*distributionpb.FollowReply, pollWait) {
	state, committed := s.options.Source.Committed()
	current := s.isCurrent()
	digest := addressDigest(s.options.Source.Addresses())
	mustReject := !current && !waiting.req.GetAcceptStale() // the reply states that this node is not current, so that the proxy leaves it
	hasNewerState := current && state != nil && state.Seq > waiting.req.GetSeq()
	s.mu.Lock()
	changed := s.softStateChanged
	plan := s.scheduleSoftState(waiting, digest)
	s.mu.Unlock()
	if !current {
		plan.addDelay(currentRecheckInterval) // there is no notification when this node becomes current
	}
	if mustReject || hasNewerState || plan.ready {
		return s.buildReply(ctx, waiting), pollWait{}
	}
	return nil, pollWait{changed: changed, committed: committed, dueIn: plan.dueIn}
}

// scheduleSoftState decides when soft state is due. The caller holds mu.
func (s *Server) scheduleSoftState(waiting *poll, digest uint64) schedule {
	cursor := softstate.CursorFromProto(waiting.req.GetSoft())
	plan := schedule{ready: cursor.BootID != s.bootID || s.nodesDigest(digest) != waiting.req.GetKeepers()}
	if cursor.Number < s.table.LastUrgent {
		// An isolated change is sent immediately; one that closely follows another is delayed, so that more are sent together.
		plan.add(waiting.caller.entriesSentAt, s.loadReportInterval()/2)
	}
	if softstate.CursorFromProto(waiting.req.GetTotals()) != s.loads.total.Cursor {
		plan.add(waiting.caller.totalsSentAt, s.loadReportInterval())
	}
	return plan
}

// buildReply builds the reply to a request, with everything that the request does not have.
func (s *Server) buildReply(ctx context.Context, waiting *poll) *distributionpb.FollowReply {
	reply := &distributionpb.FollowReply{CheckedMs: uint64(time.Since(waiting.start) / time.Millisecond)}
	// Check first whether this node is current and read the state afterwards, so that changes acknowledged in between are in the reply.
	reply.Current = s.isCurrent()
	addresses := s.options.Source.Addresses()
	if reply.Current {
		s.addControlState(ctx, reply, waiting.req.GetSeq())
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addEntries(now, reply, waiting)
	s.addLoads(now, reply, waiting)
	reply.KeepersDigest = s.nodesDigest(addressDigest(addresses))
	if reply.GetKeepersDigest() != waiting.req.GetKeepers() {
		reply.Keepers = s.controlPlaneNodes(addresses)
	}
	reply.PaceMs = uint64(s.loadReportInterval() / time.Millisecond)
	return reply
}

// addEntries adds the entries that the caller of the poll lacks. The caller holds mu.
func (s *Server) addEntries(now time.Time, reply *distributionpb.FollowReply, waiting *poll) {
	entries, full := s.table.ChangesSince(s.changeNumberOf(softstate.CursorFromProto(waiting.req.GetSoft())))
	reply.Entries, reply.Full, reply.Complete = softstate.EncodeEntries(now, entries), full, s.tableComplete
	if len(entries) > 0 {
		waiting.caller.entriesSentAt = now
	}
	reply.Soft = s.tableCursor().ToProto()
}

// tableCursor returns the position of the table's last change. The caller holds mu.
func (s *Server) tableCursor() softstate.Cursor {
	return softstate.Cursor{BootID: s.bootID, Number: s.table.LastNumber}
}

// changeNumberOf returns the number of the last change that a reader with this cursor has; 0 if the cursor is for another table. The caller
// holds mu.
func (s *Server) changeNumberOf(cursor softstate.Cursor) uint64 {
	if cursor.BootID != s.bootID {
		return 0
	}
	return cursor.Number
}

// addLoads adds the changes of the total loads, and acknowledges the subscriber's own loads. The caller holds mu.
func (s *Server) addLoads(now time.Time, reply *distributionpb.FollowReply, waiting *poll) {
	totals := s.loads.total.ChangesSince(softstate.CursorFromProto(waiting.req.GetTotals()))
	if totals.GetFrom() != totals.GetNumber() || waiting.req.GetTotals().GetBoot() != totals.GetBoot() {
		reply.Totals = softstate.Marshal(totals)
		waiting.caller.totalsSentAt = now
	}
	reply.TotalsOf = waiting.caller.loadsInTotals
	reply.Told = waiting.caller.loads.ToProto()
}

// controlPlaneNodes returns the nodes in the chain's order, with their locations if known. The caller holds mu.
func (s *Server) controlPlaneNodes(addresses []string) []*distributionpb.Keeper {
	out := make([]*distributionpb.Keeper, 0, len(addresses))
	for _, address := range addresses {
		switch p := s.peers.byAddress[address]; {
		case address == s.options.Self:
			out = append(out, s.location())
		case p != nil:
			out = append(out, p.location)
		default:
			out = append(out, &distributionpb.Keeper{Address: address})
		}
	}
	return out
}

// location returns this node's address and location.
func (s *Server) location() *distributionpb.Keeper {
	return &distributionpb.Keeper{Address: s.options.Self, Zone: s.options.Zone, Region: s.options.Region}
}

func addressDigest(addresses []string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, address := range addresses {
		_, _ = digest.WriteString(address)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// nodesDigest adds the number of nodes with a known location to the digest of the addresses. The caller holds mu.
func (s *Server) nodesDigest(digest uint64) uint64 { return digest + uint64(s.peers.len()) }
