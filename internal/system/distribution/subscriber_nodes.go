package distribution

import (
	"net"
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
)

const (
	// failurePenalty is how long a node that has just failed is ranked last.
	failurePenalty = 2 * time.Second
	// returnInterval is how long after a nearer node's failure it is tried again.
	returnInterval = 5 * time.Second
)

// errReferred marks the error of a call to a node that serves no proxies and has named nodes that do.
var errReferred = errors.New("distribution: this node serves no proxies; trying the nodes that it named")

// distance ranks control-plane nodes by proximity.
type distance int

const (
	sameZone distance = iota
	sameRegion
	otherRegion
	seedOnly // a seed that may not be a control-plane node
)

// controlPlaneNode is a known control-plane node, or a seed that may be one.
type controlPlaneNode struct {
	address, zone, region string
	seed, inView          bool // listed in the settings; named by a node or a neighbour
	tried                 bool // a call to it has ended since the start, with any outcome
	failedAt              time.Time
}

// failedWithin reports whether the node has failed within the last d.
func (n *controlPlaneNode) failedWithin(now time.Time, d time.Duration) bool {
	return !n.failedAt.IsZero() && now.Sub(n.failedAt) < d
}

// nodeSet holds the control-plane nodes that a subscriber knows, and the one that it follows. The subscriber's mu guards it.
type nodeSet struct {
	self      softstate.Member
	seeds     []string // addresses, as the newest settings name them
	byAddress map[string]*controlPlaneNode
	digest    uint64 // of the nodes, as computed by the followed node; 0: no node has sent its list yet
	serving   string // the followed node; empty: none
}

func newNodeSet(self softstate.Member, seeds []string) nodeSet {
	set := nodeSet{self: self, byAddress: map[string]*controlPlaneNode{}}
	set.setSeeds(seeds)
	return set
}

// setSeeds adds the seeds. Previous seeds stay known until the followed node sends its list of nodes (replace).
func (s *nodeSet) setSeeds(seeds []string) {
	for _, node := range s.byAddress {
		node.seed = false
	}
	for _, seed := range seeds {
		if s.byAddress[seed] == nil {
			s.byAddress[seed] = &controlPlaneNode{address: seed}
		}
		s.byAddress[seed].seed = true
	}
	s.seeds = slices.Clone(seeds)
}

// replace replaces the known nodes by the named ones; seeds are kept.
func (s *nodeSet) replace(named []*distributionpb.Keeper, digest uint64) {
	for address, node := range s.byAddress {
		if node.inView = false; !node.seed {
			delete(s.byAddress, address)
		}
	}
	for _, each := range named[:min(len(named), maxPeers)] {
		node := s.byAddress[each.GetAddress()]
		if node == nil {
			node = &controlPlaneNode{address: each.GetAddress()}
			s.byAddress[node.address] = node
		}
		node.zone, node.region, node.inView = each.GetZone(), each.GetRegion(), true
	}
	s.digest = digest
}

// add adds the nodes that an observer or a neighbour names. Nodes that are in the view already are not changed.
func (s *nodeSet) add(named []*distributionpb.Keeper) {
	for _, each := range named[:min(len(named), maxPeers)] {
		known := s.byAddress[each.GetAddress()]
		if known != nil && known.inView || known == nil && len(s.byAddress) >= 2*maxPeers {
			continue
		}
		node := &controlPlaneNode{address: each.GetAddress(), zone: each.GetZone(), region: each.GetRegion(), inView: true}
		if known != nil {
			node.seed, node.tried = known.seed, known.tried
		}
		s.byAddress[node.address] = node
	}
}

// view returns the nodes that were named, in wire format.
func (s *nodeSet) view() []*distributionpb.Keeper {
	var out []*distributionpb.Keeper
	for _, node := range s.byAddress {
		if node.inView {
			out = append(out, &distributionpb.Keeper{Address: node.address, Zone: node.zone, Region: node.region})
		}
	}
	return out
}

// distance returns the rank of a node: nodes in the view come before seeds that are not, and nearer nodes before more distant ones.
func (s *nodeSet) distance(node *controlPlaneNode) distance {
	switch {
	case !node.inView:
		return seedOnly
	case node.zone != "" && node.zone == s.self.Zone:
		return sameZone
	case node.region != "" && node.region == s.self.Region:
		return sameRegion
	}
	return otherRegion
}

// candidate is a node with its ranking criteria.
type candidate struct {
	address  string
	failed   bool
	distance distance
	weight   uint64 // by rendezvous hashing
}

// before reports whether c is to be tried before other.
func (c candidate) before(other candidate) bool {
	switch {
	case c.failed != other.failed:
		return other.failed
	case c.distance != other.distance:
		return c.distance < other.distance
	case c.weight != other.weight:
		return c.weight > other.weight
	}
	return c.address < other.address
}

// ranked returns the nodes to try, best first: nearer nodes first, and nodes at the same distance by rendezvous hashing (Thaler,
// Ravishankar 1998), so that the proxies are spread evenly. Nodes that have just failed come last.
func (s *nodeSet) ranked(now time.Time) []string {
	candidates := make([]candidate, 0, len(s.byAddress))
	for _, node := range s.byAddress {
		candidates = append(candidates, candidate{address: node.address, failed: node.failedWithin(now, failurePenalty),
			distance: s.distance(node), weight: xxhash.Sum64String(s.self.Node + "\x00" + node.address)})
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].before(candidates[j]) })
	out := make([]string, len(candidates))
	for i, each := range candidates {
		out[i] = each.address
	}
	return out
}

// nearer returns a node that is nearer than the followed one and has not failed recently, or "" if there is none.
func (s *nodeSet) nearer(now time.Time, current string) string {
	ranked := s.ranked(now)
	if len(ranked) == 0 || ranked[0] == current {
		return ""
	}
	best, followed := s.byAddress[ranked[0]], s.byAddress[current]
	if best == nil || followed == nil || s.distance(best) >= s.distance(followed) || best.failedWithin(now, returnInterval) {
		return ""
	}
	return ranked[0]
}

// allTried reports whether every known node has been tried since the start.
func (s *nodeSet) allTried() bool {
	for _, node := range s.byAddress {
		if !node.tried {
			return false
		}
	}
	return true
}

// baseURL returns the base URL of a process; the port applies only to an address without one.
func baseURL(address string, port int) string {
	if _, _, err := net.SplitHostPort(address); err == nil {
		return "http://" + address
	}
	return "http://" + net.JoinHostPort(address, strconv.Itoa(port))
}

func (s *Subscriber) nearerNode(now time.Time, current string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes.nearer(now, current)
}

// SetSeeds replaces the seeds, after the settings have changed: addresses of possible control-plane nodes or proxies, as IP or IP:port.
func (s *Subscriber) SetSeeds(seeds []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes.setSeeds(seeds)
}

// recordFailure records that a call to a node failed.
func (s *Subscriber) recordFailure(now time.Time, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if node := s.nodes.byAddress[address]; node != nil {
		node.failedAt = now
	}
}

// recordAttempt records that a node has been tried since the start.
func (s *Subscriber) recordAttempt(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if node := s.nodes.byAddress[address]; node != nil {
		node.tried = true
	}
}

// FollowedNode returns the address of the followed control-plane node, as IP or IP:port; empty if there is none at the moment.
func (s *Subscriber) FollowedNode() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes.serving
}

func (s *Subscriber) setServingNode(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes.serving = address
}
