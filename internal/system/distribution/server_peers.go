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
	// orphanTimeout is what the subscribers of a node that timed out get to move on before they are marked down.
	orphanTimeout = 2500 * time.Millisecond
	// maxPeers bounds the control-plane nodes remembered.
	maxPeers = 64
	// maxPeerSubscribers bounds how many subscribers a peer may state.
	maxPeerSubscribers = 1 << 16
)

// peer is another control-plane node.
type peer struct {
	location        *distributionpb.Keeper
	lastContact     time.Time
	minAckedSeq     uint64
	subscriberCount uint64
	reachablePeers  []string // addresses of nodes that have synchronised with it lately, as it says
	loads           loadreport.Received
}

func (p *peer) inContact(now time.Time) bool { return now.Sub(p.lastContact) <= peerTTL }

// observe takes in what a message that was sent at a moment says of its sender.
func (p *peer) observe(sentAt time.Time, req *distributionpb.ShareRequest) {
	p.location, p.minAckedSeq, p.subscriberCount = req.GetFrom(), req.GetLowest(), req.GetFollowers()
	p.lastContact = laterOf(p.lastContact, sentAt)
	p.reachablePeers = req.GetHears()[:min(len(req.GetHears()), maxPeers)]
}

// peerSet is the other control-plane nodes that have synchronised with this one. The server's mu guards it.
type peerSet struct {
	byAddress       map[string]*peer
	ownContactsOnly bool // see TestingKnobs
}

func newPeerSet(ownContactsOnly bool) peerSet {
	return peerSet{byAddress: map[string]*peer{}, ownContactsOnly: ownContactsOnly}
}

func (s *peerSet) len() int { return len(s.byAddress) }

// recent returns the addresses of the peers in contact, in order.
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

// hasContact reports whether a node has synchronised lately, with this one or with another that is in contact: a node that only this
// one has no contact to still evaluates its own subscribers.
func (s *peerSet) hasContact(now time.Time, node string) bool {
	for address, p := range s.byAddress {
		if p.inContact(now) && (address == node || s.reports(p, node)) {
			return true
		}
	}
	return false
}

// reports reports whether a peer says that it has contact to a node.
func (s *peerSet) reports(p *peer, node string) bool {
	return slices.Contains(p.reachablePeers, node) && !s.ownContactsOnly
}

// isLost reports whether a node has been without contact for so long that its subscribers must have moved on.
func (s *peerSet) isLost(now time.Time, node string) bool {
	p := s.byAddress[node]
	return p == nil || now.Sub(p.lastContact) > peerTTL+orphanTimeout
}

// add remembers one more peer; nil: there are too many.
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

// removeExpired forgets peers of which nothing is left to decide.
func (s *peerSet) removeExpired(now time.Time) {
	for address, p := range s.byAddress {
		if now.Sub(p.lastContact) > peerTTL+2*orphanTimeout {
			delete(s.byAddress, address)
		}
	}
}

// extendBy gives all peers more time, since this process was paused for so long.
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

// subscribers is how many proxies follow the peers, as they say.
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
