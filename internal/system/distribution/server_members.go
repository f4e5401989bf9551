package distribution

import (
	"time"

	"github.com/apex/log"

	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
)

// Reasons why a proxy is marked down, as logged.
const (
	downByReport     = "other proxies have no contact to it"
	downDisconnected = "its connection ended"
	downTimedOut     = "it does not call any more"
	downOrphaned     = "the control-plane node that it followed timed out too"
)

// assertAlive writes that a process is alive and follows this node. The caller holds mu.
func (s *Server) assertAlive(now time.Time, m softstate.Member) {
	m.Owner, m.Down = s.options.Self, false
	key := softstate.MemberPrefix + m.Node
	entry := softstate.Entry{Key: key, Fence: 1, Version: 1, Value: m.Encode()}
	if stored := s.table.Get(key); stored != nil {
		former, ok := stored.Member()
		switch {
		case ok && !stored.Deleted && former.Incarnation == m.Incarnation:
			if former == m || former.Revision > m.Revision {
				return
			}
			entry.Fence, entry.Version = stored.Fence, stored.Version+1
		default:
			// Another incarnation of the node: a higher fence supersedes every entry about the former one.
			entry.Fence = stored.Fence + 1
		}
	}
	s.mergeEntry(now, entry, softstate.Age{})
}

// markDown writes that the process described by the entry timed out. The caller holds mu.
func (s *Server) markDown(now time.Time, stored *softstate.StoredEntry, m softstate.Member, reason string) {
	m.Down = true
	s.options.Log.WithFields(log.Fields{"node": m.Node, "reason": reason}).Info("distribution: a proxy is marked down")
	s.mergeEntry(now, softstate.Entry{Key: stored.Key, Fence: stored.Fence, Version: stored.Version + 1, Value: m.Encode()}, softstate.Age{})
}

// applyDownReport handles another proxy's report that node is down. The report is ignored while the control-plane node that the reported
// proxy follows is in contact with it, because that node knows better. The caller holds mu.
func (s *Server) applyDownReport(now time.Time, node string, incarnation uint64) {
	stored := s.table.Get(softstate.MemberPrefix + node)
	if stored == nil || stored.Deleted {
		return
	}
	m, ok := stored.Member()
	if !ok || m.Down || m.Incarnation != incarnation {
		return
	}
	if s.hasLiveSession(now, node, incarnation) {
		return
	}
	if m.Owner != s.options.Self && s.peers.hasContact(now, m.Owner) {
		return
	}
	s.markDown(now, stored, m, downByReport)
}

// hasLiveSession reports whether an incarnation of a proxy has called this node recently. The caller holds mu.
func (s *Server) hasLiveSession(now time.Time, node string, incarnation uint64) bool {
	caller := s.sessions.get(softstate.Member{Node: node, Incarnation: incarnation})
	return caller != nil && caller.recentlyCalled(now, s.limits.SubscriberTimeout/2)
}

// memberDecision is the action to take for a member.
type memberDecision int

const (
	keepMember  memberDecision = iota
	dropSession                // it follows another node now
	markMemberDown
	deleteMember
)

// evaluateLiveness drops subscribers that stopped calling and marks them down, deletes members that have been down for long, and
// evaluates the members whose node has lost contact. The caller holds mu.
func (s *Server) evaluateLiveness(now time.Time) {
	dropped, disconnected := s.sessions.dropTimedOut(now, s.limits.SubscriberTimeout)
	type downMember struct {
		stored *softstate.StoredEntry
		member softstate.Member
		reason string
	}
	var down []downMember
	var deleted []*softstate.StoredEntry
	for _, stored := range s.table.Live(softstate.MemberPrefix) {
		m, _ := stored.Member()
		decision, reason := s.decideMember(now, stored, disconnected)
		switch decision {
		case keepMember:
		case dropSession:
			// The other node reports its loads and acknowledgements.
			delete(s.sessions.byNode, m.Node)
			dropped = true
		case markMemberDown:
			down = append(down, downMember{stored, m, reason})
		case deleteMember:
			deleted = append(deleted, stored)
		}
	}
	if dropped {
		s.updateMinAcked()
	}
	for _, v := range down {
		s.markDown(now, v.stored, v.member, v.reason)
	}
	for _, stored := range deleted {
		s.mergeEntry(now, softstate.Entry{Key: stored.Key, Fence: stored.Fence, Version: stored.Version + 1, Deleted: true}, softstate.Age{})
	}
}

// decideMember decides the action to take for a member, and the reason if it is to be marked down. disconnected has the incarnations, by
// node, that lost their connection to this node. The caller holds mu.
func (s *Server) decideMember(now time.Time, stored *softstate.StoredEntry, disconnected map[string]uint64) (memberDecision, string) {
	member, ok := stored.Member()
	age := stored.AgeAt(now).Max
	isOwn := member.Owner == s.options.Self
	switch {
	case !ok:
		return deleteMember, ""
	case s.sessions.get(member) != nil:
		if !isOwn {
			return dropSession, ""
		}
	case member.Down:
		if age > s.limits.TombstoneTTL {
			return deleteMember, ""
		}
	case isOwn && disconnected[member.Node] == member.Incarnation:
		return markMemberDown, downDisconnected
	case isOwn:
		if age > s.limits.SubscriberTimeout {
			return markMemberDown, downTimedOut
		}
	case age > orphanTimeout && s.ownerIsLost(now, member.Owner):
		return markMemberDown, downOrphaned
	}
	return keepMember, ""
}

// ownerIsLost reports whether the node that a proxy followed has been without contact for so long that the proxy must have switched to
// another node. The caller holds mu.
func (s *Server) ownerIsLost(now time.Time, owner string) bool {
	hadTimeToMove := now.Sub(s.startedAt) > orphanTimeout
	return hadTimeToMove && !s.peers.hasContact(now, owner) && s.peers.isLost(now, owner)
}
