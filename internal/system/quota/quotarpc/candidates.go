package quotarpc

import (
	"slices"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/system/ownership"
)

const (
	// limitersPerTenant is how many proxies of a zone are limiters of a tenant: the first is asked, and the second is the fallback.
	limitersPerTenant = 2
	// failurePenalty is for how long a limiter that failed is skipped.
	failurePenalty = time.Second
)

// Peer is a live proxy of this proxy's zone.
type Peer struct {
	Node    string
	Address string // IP:port of its internal handler
}

// candidateSet holds the limiters that may be asked. It is safe for concurrent use.
type candidateSet struct {
	self  string
	knobs TestingKnobs

	mu          sync.Mutex
	nodes       []string          // nodes of the zone, including this one
	addresses   map[string]string // by node
	failedUntil map[string]time.Time
}

func newCandidateSet(self string, knobs TestingKnobs) *candidateSet {
	return &candidateSet{self: self, knobs: knobs, nodes: []string{self}, failedUntil: map[string]time.Time{}}
}

// setPeers replaces the live proxies of the zone. This proxy is always a member.
func (s *candidateSet) setPeers(peers []Peer) {
	nodes, addresses := make([]string, 0, len(peers)+1), make(map[string]string, len(peers))
	for _, peer := range peers {
		if peer.Node == s.self {
			continue
		}
		nodes = append(nodes, peer.Node)
		addresses[peer.Node] = peer.Address
	}
	nodes = append(nodes, s.self)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes, s.addresses = nodes, addresses
	for node := range s.failedUntil {
		if _, live := addresses[node]; !live {
			delete(s.failedUntil, node)
		}
	}
}

// hasPeers reports whether the zone has another live proxy.
func (s *candidateSet) hasPeers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.addresses) > 0
}

// inOrder returns the limiters of a tenant in the order in which they are asked: those with the highest rendezvous
// weights first, then this proxy's own. Limiters that failed recently are left out. The own limiter has no address.
func (s *candidateSet) inOrder(now time.Time, tenant string) []Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := make([]Peer, 0, limitersPerTenant+1)
	for _, node := range s.owners(tenant) {
		if node != s.self && now.Before(s.failedUntil[node]) {
			continue
		}
		candidates = append(candidates, Peer{Node: node, Address: s.addresses[node]})
	}
	isSelf := func(candidate Peer) bool { return candidate.Node == s.self }
	if !slices.ContainsFunc(candidates, isSelf) {
		candidates = append(candidates, Peer{Node: s.self})
	}
	return candidates
}

// owners returns the nodes that are limiters of a tenant, the most preferred first. The caller must hold mu.
func (s *candidateSet) owners(tenant string) []string {
	if s.knobs.AnyCandidate {
		return s.nodes[:min(limitersPerTenant, len(s.nodes))]
	}
	return ownership.Owners(tenant, s.nodes, limitersPerTenant)
}

// recordFailure makes inOrder skip a limiter for failurePenalty.
func (s *candidateSet) recordFailure(now time.Time, node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, live := s.addresses[node]; live {
		s.failedUntil[node] = now.Add(failurePenalty)
	}
}
