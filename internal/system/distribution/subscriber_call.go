package distribution

import (
	"context"
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/catchup"
	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/rpc"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

const (
	// replyIdleTimeout is how long, beyond the wait of a poll, nothing may arrive before another node is followed.
	replyIdleTimeout = 400 * time.Millisecond
	// probeTimeout bounds each probe; several run concurrently.
	probeTimeout = 1200 * time.Millisecond
	// maxCheckedDelay bounds the reported delay between the arrival of a request and the node's check whether it is current.
	maxCheckedDelay = time.Minute
)

// pollOptions set how long a poll may take, and what it asks for.
type pollOptions struct {
	wait        time.Duration // how long the node may wait for changes
	maxPause    time.Duration // beyond that until the reply begins, and then between parts of the reply
	acceptStale bool          // soft state is accepted from a node that is not current
}

// pollResult is the outcome of a poll that was replied to.
type pollResult struct {
	current       bool // the node is current, so it serves the control state
	servesState   bool // the node serves any state at all
	stateAdvanced bool // the reply advanced the control state
	stillBehind   bool // the node has a newer control state, but the reply did not advance this proxy
}

// poll polls a node once and applies the reply.
func (s *Subscriber) poll(ctx context.Context, node string, options pollOptions) (pollResult, error) {
	var loads map[string]pick.Load
	if s.options.Loads != nil {
		loads = s.options.Loads()
	}
	req := s.buildRequest(loads, options.acceptStale)
	wait := options.wait
	if len(loads) > 0 {
		// Even if others change nothing, this proxy's load has to be reported at the node's interval.
		wait = min(wait, s.loadReportWait())
	}
	req.WaitMs = uint64(wait / time.Millisecond)
	ctx, cancel := rpc.WithIdleTimeout(ctx, wait+options.maxPause, options.maxPause)
	defer cancel()
	sentAt := time.Now()
	reply, err := s.sendPoll(ctx, node, req)
	if err != nil {
		return pollResult{}, err
	}
	switch {
	case reply.GetSoft() != nil:
	case len(reply.GetKeepers()) > 0:
		s.learnNodes(reply.GetKeepers())
		return pollResult{}, errReferred
	default:
		return pollResult{}, nil // the node is not current and sent no state
	}
	return s.handleReply(sentAt, time.Now(), req, reply), nil
}

// sendPoll sends a request to a node, and returns the reply if it belongs to that request.
func (s *Subscriber) sendPoll(ctx context.Context, node string, req *distributionpb.FollowRequest) (*distributionpb.FollowReply, error) {
	req.Call = s.callIDs.Next()
	client := distributionpb.NewDistributionProtobufClient(baseURL(node, s.options.ControlPlanePort), s.client)
	reply, err := client.Follow(ctx, req)
	if err != nil {
		return nil, err
	}
	if err := rpc.CheckReply(req.GetCall(), reply.GetCall()); err != nil && !s.options.knobs.AcceptAnyReply {
		s.client.CloseIdleConnections()
		return nil, err
	}
	return reply, nil
}

// probeNode asks a node only whether it is current: several nodes are probed concurrently, and only one of them should send its state.
func (s *Subscriber) probeNode(ctx context.Context, node string) (current bool, err error) {
	ctx, cancel := rpc.WithIdleTimeout(ctx, probeTimeout, replyIdleTimeout)
	defer cancel()
	s.mu.Lock()
	req := &distributionpb.FollowRequest{Member: s.announced.self.ToProto(), Seq: s.control.state.Seq, Probe: true}
	s.mu.Unlock()
	sentAt := time.Now()
	reply, err := s.sendPoll(ctx, node, req)
	if err != nil {
		return false, err
	}
	if len(reply.GetKeepers()) > 0 {
		s.learnNodes(reply.GetKeepers())
		return false, errReferred
	}
	offer := offerFromReply(reply, time.Since(checkedAt(sentAt, reply)))
	return offer.Current && !offer.Expired(), nil
}

// checkedAt returns a lower bound of when a node checked whether it is current: the node made the check CheckedMs after it received the
// request, and it received the request after it was sent.
func checkedAt(sentAt time.Time, reply *distributionpb.FollowReply) time.Time {
	return sentAt.Add(softstate.BoundedMilliseconds(reply.GetCheckedMs(), maxCheckedDelay))
}

func (s *Subscriber) loadReportWait() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads.maxWait()
}

// buildRequest builds a request that states what this proxy has.
func (s *Subscriber) buildRequest(loads map[string]pick.Load, acceptStale bool) *distributionpb.FollowRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	req := &distributionpb.FollowRequest{
		Seq: s.control.position().Ask(), AcceptStale: acceptStale, Keepers: s.nodes.digest, Soft: s.soft.cursor.ToProto(),
	}
	s.loads.addTo(now, req, loads)
	s.announced.addTo(req)
	return req
}

// handleReply applies a node's reply to a request that was sent at sentAt.
func (s *Subscriber) handleReply(sentAt, now time.Time, req *distributionpb.FollowRequest, reply *distributionpb.FollowReply) pollResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	checked := checkedAt(sentAt, reply)
	if s.options.knobs.DateByArrival {
		checked = now
	}
	offer := offerFromReply(reply, now.Sub(checked))
	s.announced.acknowledge(req)
	advanced := s.control.apply(s.options.Log, offer, reply)
	if advanced {
		signal(s.updatePending)
	}
	if offer.Expired() {
		return pollResult{servesState: true, stateAdvanced: advanced}
	}
	s.freshness.lastContact = now
	if offer.Current && s.freshness.observeCurrent(checked) {
		signal(s.updatePending)
	}
	s.applySoftState(now, checked, req, reply)
	if s.control.position().ProvesFreshness(offer) && s.freshness.observeFresh(checked) {
		signal(s.updatePending) // from now on this proxy's state may be served
	}
	return pollResult{current: offer.Current, servesState: true, stateAdvanced: advanced, stillBehind: isBehind(s.control.position(), offer) && !advanced}
}

// isBehind reports whether a node has a newer control state.
func isBehind(position catchup.Position, offer catchup.Offer) bool {
	return offer.Newest > position.Seq
}

// applySoftState applies everything in a reply but the control state. The reply was made between earliest and now, so ages add up over
// all hops. The caller holds mu.
func (s *Subscriber) applySoftState(now, earliest time.Time, req *distributionpb.FollowRequest, reply *distributionpb.FollowReply) {
	delay := softstate.AgeUpTo(now.Sub(earliest))
	changed := s.soft.merge(now, delay, req, reply)
	if s.loads.handleReply(earliest, reply) {
		signal(s.loadsPending)
	}
	if len(reply.GetKeepers()) > 0 {
		s.nodes.replace(reply.GetKeepers(), reply.GetKeepersDigest())
	}
	if changed {
		signal(s.updatePending)
	}
}

// learnNodes adds the nodes that an observer names. Nodes in the view are not changed: a node that serves this proxy knows better.
func (s *Subscriber) learnNodes(named []*distributionpb.Keeper) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes.add(named)
}
