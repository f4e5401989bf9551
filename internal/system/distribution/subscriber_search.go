package distribution

import (
	"context"
	"time"
)

const (
	// probeInterval is the time between starting probes of one search.
	probeInterval = 50 * time.Millisecond
	// maxConcurrentProbes bounds the probes in flight. It leaves capacity for all control-plane nodes and for some seeds that are none.
	maxConcurrentProbes = 16
)

// probeResult is the outcome of a probe.
type probeResult struct {
	address string
	current bool
	err     error
}

// nodeSearch probes nodes, several concurrently. It is driven by one goroutine.
type nodeSearch struct {
	probe      func(address string) probeResult
	candidates []string // not probed yet, in order of preference
	inFlight   int
	results    chan probeResult
}

func newNodeSearch(candidates []string, probe func(address string) probeResult) *nodeSearch {
	return &nodeSearch{probe: probe, candidates: candidates, results: make(chan probeResult, len(candidates))}
}

// probeNext starts a probe of the next candidate, if there is one.
func (n *nodeSearch) probeNext() {
	if len(n.candidates) == 0 {
		return
	}
	address := n.candidates[0]
	n.candidates = n.candidates[1:]
	n.inFlight++
	go func() { n.results <- n.probe(address) }()
}

// await waits for a result. It returns false if none arrived within probeInterval.
func (n *nodeSearch) await() (probeResult, bool) {
	timer := time.NewTimer(probeInterval)
	defer timer.Stop()
	select {
	case result := <-n.results:
		n.inFlight--
		return result, true
	case <-timer.C:
		return probeResult{}, false
	}
}

// drain waits for the probes in flight to end.
func (n *nodeSearch) drain() {
	for ; n.inFlight > 0; n.inFlight-- {
		<-n.results
	}
}

// findNode probes the nodes in order of preference, starting one probe per probeInterval, until a current node has replied. If no node is
// current, it returns the first one that replied.
func (s *Subscriber) findNode(ctx context.Context) (address string, current bool) {
	ctx, cancel := context.WithCancel(ctx)
	candidates, starting := s.searchCandidates()
	search := newNodeSearch(candidates, func(address string) probeResult {
		current, err := s.probeNode(ctx, address)
		return probeResult{address, current, err}
	})
	defer search.drain()
	defer cancel()
	search.probeNext()
	if starting {
		search.probeNext() // a starting proxy must not wait for a dead seed
	}
	stale := ""
	for search.inFlight > 0 {
		result, ok := search.await()
		if !ok {
			if search.inFlight < maxConcurrentProbes {
				search.probeNext()
			}
			continue
		}
		s.recordAttempt(result.address)
		switch {
		case result.err == nil && result.current:
			return result.address, true
		case result.err == nil && stale == "":
			stale = result.address
		case result.err != nil && ctx.Err() == nil:
			s.recordFailure(time.Now(), result.address)
		}
		search.probeNext()
	}
	return stale, false
}

// searchCandidates returns the nodes to probe, best first, and whether no node has been contacted since the start.
func (s *Subscriber) searchCandidates() (candidates []string, starting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes.ranked(time.Now()), s.freshness.lastContact.IsZero()
}
