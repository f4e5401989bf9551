package distribution

import (
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/loadreport"
)

const (
	// peerTTL is how long a peer counts as in contact after its last message was sent.
	peerTTL = 1500 * time.Millisecond
	// orphanTimeout is how long the subscribers of a node that timed out may take to switch to another node before they are marked down.
	orphanTimeout = 2500 * time.Millisecond
	// maxPeers bounds the control-plane nodes that are remembered.
	maxPeers = 64
	// maxPeerSubscribers bounds the subscriber count accepted from a peer.
	maxPeerSubscribers = 1 << 16
)

// peer is another control-plane node.
type peer struct {
	location        *distributionpb.Keeper
	lastContact     time.Time
	minAckedSeq     uint64
	subscriberCount uint64
	reachablePeers  []string // addresses of the nodes that have synchronised with it recently, as it reports
	loads           loadreport.Received
}

func (p *peer) inContact(now time.Time) bool { return now.Sub(p.lastContact) <= peerTTL }

// observe updates the peer from a message that it sent at sentAt.
func (p *peer) observe(sentAt time.Time, req *distributionpb.ShareRequest) {
	p.location, p.minAckedSeq, p.subscriberCount = req.GetFrom(), req.GetLowest(), req.GetFollowers()
	p.lastContact = laterOf(p.lastContact, sentAt)
	p.reachablePeers = req.GetHears()[:min(len(req.GetHears()), maxPeers)]
}

// peerSet holds the other control-plane nodes that have synchronised with this one. The server's mu guards it.
type peerSet struct {
	byAddress       map[string]*peer
	ownContactsOnly bool // see TestingKnobs
}

func newPeerSet(ownContactsOnly bool) peerSet {
	return peerSet{byAddress: map[string]*peer{}, ownContactsOnly: ownContactsOnly}
}

func (s *peerSet) len() int { return len(s.byAddress) }

// recent returns the addresses of the peers in contact, sorted.
func (s *peerSet) recent(now time.Time) []string {
	var out []string
	for address, p := range s.byAddress {
		if p.inContact(now) {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}

// hasContact reports whether a node has synchronised recently with this one, or with another that is in contact: a node that lost contact
// to this one only still evaluates its own subscribers.
func (s *peerSet) hasContact(now time.Time, node string) bool {
	for address, p := range s.byAddress {
		if p.inContact(now) && (address == node || s.reportsContact(p, node)) {
			return true
		}
	}
	return false
}

// reports reports whether p says that it is in contact with a node.
func (s *peerSet) reportsContact(p *peer, node string) bool {
	return slices.Contains(p.reachablePeers, node) && !s.ownContactsOnly
}

// isLost reports whether a node has been without contact for so long that its subscribers must have switched to another.
func (s *peerSet) isLost(now time.Time, node string) bool {
	p := s.byAddress[node]
	return p == nil || now.Sub(p.lastContact) > peerTTL+orphanTimeout
}

// add adds a peer. It returns nil if there are too many.
func (s *peerSet) add(now time.Time, address string) *peer {
	if len(s.byAddress) >= maxPeers {
		s.removeExpired(now)
	}
	if len(s.byAddress) >= maxPeers {
		return nil
	}
	added := &peer{}
	s.byAddress[address] = added
	return added
}

// removeExpired removes the peers whose orphaned subscribers have all been evaluated.
func (s *peerSet) removeExpired(now time.Time) {
	for address, p := range s.byAddress {
		if now.Sub(p.lastContact) > peerTTL+2*orphanTimeout {
			delete(s.byAddress, address)
		}
	}
}

// extendBy extends the contact of all peers by the time that this process was paused.
func (s *peerSet) extendBy(pause time.Duration) {
	for _, p := range s.byAddress {
		p.lastContact = p.lastContact.Add(pause)
	}
}

// allAcknowledged reports whether the subscribers of all peers in contact have the record seq.
func (s *peerSet) allAcknowledged(now time.Time, seq uint64) bool {
	for _, p := range s.byAddress {
		if p.inContact(now) && p.minAckedSeq < seq {
			return false
		}
	}
	return true
}

// subscribers returns how many proxies follow the peers, as the peers report.
func (s *peerSet) subscribers() int {
	count := 0
	for _, p := range s.byAddress {
		count += int(min(p.subscriberCount, maxPeerSubscribers))
	}
	return count
}

// laterOf returns the later of two moments.
func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
