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
	// currentRecheckInterval is how often a node that is not current looks whether it has become so, while a proxy waits for that.
	currentRecheckInterval = 40 * time.Millisecond
	// maxRequestedWait bounds the wait that a poll may ask for.
	maxRequestedWait = time.Minute
)

// Follow serves a poll of a proxy: see the service's definition.
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

// poll is a request of a subscriber that waits for what it does not have.
type poll struct {
	caller *session
	req    *distributionpb.FollowRequest
	start  time.Time // when it arrived
}

// pollWait is what a poll waits for.
type pollWait struct {
	changed   <-chan struct{} // soft state
	committed <-chan struct{} // control state
	dueIn     time.Duration   // until something is due; 0: nothing is
}

// longPoll waits until there is something that the request does not have, or its wait is over.
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

// awaitChange waits for a change, at most for the time given. It fails where the caller or this server is gone.
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

// schedule says whether something is due now, or else in how long the first thing is.
type schedule struct {
	ready bool
	dueIn time.Duration // 0: nothing is due
}

// add schedules what is to be done at an interval and was done last at a moment.
func (s *schedule) add(last time.Time, interval time.Duration) {
	left := interval - time.Since(last)
	if left <= 0 {
		s.ready = true
	} else {
		s.addIn(left)
	}
}

// addIn schedules what is due after a time.
func (s *schedule) addIn(left time.Duration) {
	if s.dueIn == 0 || left < s.dueIn {
		s.dueIn = left
	}
}

// tryReply returns a reply if there is something that the request does not have. Otherwise it returns what to wait for.
func (s *Server) tryReply(ctx context.Context, waiting *poll) (*distributionpb.FollowReply, pollWait) {
	state, committed := s.options.Source.Committed()
	current := s.isCurrent()
	digest := addressDigest(s.options.Source.Addresses())
	mustReject := !current && !waiting.req.GetAcceptStale() // the reply says that this node is not current, so that the proxy leaves it
	hasNewerState := current && state != nil && state.Seq > waiting.req.GetSeq()
	s.mu.Lock()
	changed := s.softStateChanged
	plan := s.scheduleSoftState(waiting, digest)
	s.mu.Unlock()
	if !current {
		plan.addIn(currentRecheckInterval) // nothing notifies that this node has become current
	}
	if mustReject || hasNewerState || plan.ready {
		return s.buildReply(ctx, waiting), pollWait{}
	}
	return nil, pollWait{changed: changed, committed: committed, dueIn: plan.dueIn}
}

// scheduleSoftState decides when soft state is to be sent. The caller holds mu.
func (s *Server) scheduleSoftState(waiting *poll, digest uint64) schedule {
	cursor := softstate.CursorFromProto(waiting.req.GetSoft())
	plan := schedule{ready: cursor.BootID != s.bootID || s.nodesDigest(digest) != waiting.req.GetKeepers()}
	if cursor.Number < s.table.LastUrgent {
		// A change that comes alone is sent at once, one close upon another waits for more.
		plan.add(waiting.caller.entriesSentAt, s.loadReportInterval()/2)
	}
	if softstate.CursorFromProto(waiting.req.GetTotals()) != s.loads.total.Cursor {
		plan.add(waiting.caller.totalsSentAt, s.loadReportInterval())
	}
	return plan
}

// buildReply makes the reply to a request, with all that it does not have.
func (s *Server) buildReply(ctx context.Context, waiting *poll) *distributionpb.FollowReply {
	reply := &distributionpb.FollowReply{CheckedMs: uint64(time.Since(waiting.start) / time.Millisecond)}
	// First whether this node is current, then what it has: what is acknowledged between is then in the reply.
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

// addEntries adds the entries that the caller lacks. The caller holds mu.
func (s *Server) addEntries(now time.Time, reply *distributionpb.FollowReply, waiting *poll) {
	entries, full := s.table.ChangesSince(s.numberAt(softstate.CursorFromProto(waiting.req.GetSoft())))
	reply.Entries, reply.Full, reply.Complete = softstate.EncodeEntries(now, entries), full, s.tableComplete
	if len(entries) > 0 {
		waiting.caller.entriesSentAt = now
	}
	reply.Soft = s.tableCursor().ToProto()
}

// tableCursor is the position of the table's last change. The caller holds mu.
func (s *Server) tableCursor() softstate.Cursor {
	return softstate.Cursor{BootID: s.bootID, Number: s.table.LastNumber}
}

// numberAt is the number of the change up to which a reader has this table; 0 for a cursor of another. The caller holds mu.
func (s *Server) numberAt(cursor softstate.Cursor) uint64 {
	if cursor.BootID != s.bootID {
		return 0
	}
	return cursor.Number
}

// addLoads adds the changes of the total loads, and how far the caller's own have come. The caller holds mu.
func (s *Server) addLoads(now time.Time, reply *distributionpb.FollowReply, waiting *poll) {
	totals := s.loads.total.ChangesSince(softstate.CursorFromProto(waiting.req.GetTotals()))
	if totals.GetFrom() != totals.GetNumber() || waiting.req.GetTotals().GetBoot() != totals.GetBoot() {
		reply.Totals = softstate.Marshal(totals)
		waiting.caller.totalsSentAt = now
	}
	reply.TotalsOf = waiting.caller.loadsInTotals
	reply.Told = waiting.caller.loads.ToProto()
}

// controlPlaneNodes returns the nodes in the chain's order, with where they are as far as that is known. The caller holds mu.
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

// location is this node's address, and where it is.
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

// nodesDigest mixes into the digest of the addresses how many nodes are known by location. The caller holds mu.
func (s *Server) nodesDigest(digest uint64) uint64 { return digest + uint64(s.peers.len()) }
