package distribution

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	minSearchBackoff    = 20 * time.Millisecond  // after the first round in which no node could be followed
	maxSearchBackoff    = 200 * time.Millisecond // upper bound while that continues
	behindRetryInterval = 100 * time.Millisecond // before polling a node again whose reply did not advance this proxy
	maxStaleDuration    = time.Second            // followed without being current, before a current node is searched for again
	// firstNearerCheck and firstNearerCheckJitter are the minimum delay before the first check for a nearer node, and the maximum jitter
	// added to it: at the start only the seeds were known.
	firstNearerCheck       = 300 * time.Millisecond
	firstNearerCheckJitter = 200 * time.Millisecond
)

// pollLoop polls one node, and finds another if that one fails. It runs until ctx ends.
func (s *Subscriber) pollLoop(ctx context.Context) {
	backoff := minSearchBackoff
	for ctx.Err() == nil {
		if s.followOneNode(ctx) {
			backoff = minSearchBackoff
			continue
		}
		if !sleep(ctx, backoff/2+rand.N(backoff)) {
			return
		}
		backoff = min(2*backoff, maxSearchBackoff)
	}
}

// followOneNode finds a node and polls it until it fails. It reports whether that node replied to any poll.
func (s *Subscriber) followOneNode(ctx context.Context) (served bool) {
	node, current := s.findNode(ctx)
	if node == "" {
		return false
	}
	s.setServingNode(node)
	s.options.Log.WithField("server", node).WithField("current", current).Info("distribution: following a control-plane node")
	defer s.setServingNode("")
	return s.pollNode(ctx, node, current)
}

// followedNode is the polled node and its status.
type followedNode struct {
	address   string
	current   bool
	since     time.Time
	nextCheck time.Time // when to check next for a nearer node
}

// stillServes reports whether the node may be polled again after a result: it serves state, and if it was current, it still is.
func (n followedNode) stillServes(result pollResult) bool {
	lostCurrent := n.current && !result.current
	return result.servesState && !lostCurrent
}

// longPollOptions returns the options of a poll that waits for changes.
func (s *Subscriber) longPollOptions(node followedNode) pollOptions {
	return pollOptions{wait: s.options.LongPollTimeout, maxPause: replyIdleTimeout, acceptStale: !node.current}
}

// pollNode polls a node until it fails or is no longer current; a node that never was current is polled only for maxStaleDuration. It
// reports whether any poll was replied to.
func (s *Subscriber) pollNode(ctx context.Context, address string, current bool) (served bool) {
	now := time.Now()
	node := followedNode{address: address, current: current, since: now,
		nextCheck: now.Add(firstNearerCheck + rand.N(firstNearerCheckJitter))}
	for {
		start := time.Now()
		if !node.current && start.Sub(node.since) > maxStaleDuration {
			return served
		}
		if node.current && start.After(node.nextCheck) && s.switchToNearerNode(ctx, start, &node) {
			continue
		}
		result, err := s.poll(ctx, node.address, s.longPollOptions(node))
		if ctx.Err() != nil {
			return served
		}
		if err != nil || !node.stillServes(result) {
			s.recordFailure(time.Now(), node.address)
			s.options.Log.WithField("server", node.address).WithError(err).Info("distribution: the control-plane node timed out, or is not current")
			return served
		}
		node.current, served = result.current, true
		if !s.pauseAfterPoll(ctx, start, result) {
			return served
		}
	}
}

// switchToNearerNode checks for a nearer node, and reports whether that one is followed from now on.
func (s *Subscriber) switchToNearerNode(ctx context.Context, now time.Time, node *followedNode) (switched bool) {
	node.nextCheck = now.Add(returnInterval/2 + rand.N(returnInterval/2))
	nearer := s.nearerNode(now, node.address)
	if nearer == "" {
		return false
	}
	if result, err := s.poll(ctx, nearer, pollOptions{maxPause: probeTimeout}); err != nil || !result.current {
		s.recordFailure(time.Now(), nearer)
		return false
	}
	node.address = nearer
	s.setServingNode(nearer)
	return true
}

// pauseAfterPoll waits until the node is to be polled again. It returns false if ctx ended.
func (s *Subscriber) pauseAfterPoll(ctx context.Context, start time.Time, result pollResult) bool {
	if result.stillBehind && !sleep(ctx, behindRetryInterval) {
		return false
	}
	pause := s.loadReportWait()/4 - time.Since(start)
	return pause <= 0 || result.stateAdvanced || sleep(ctx, pause)
}
