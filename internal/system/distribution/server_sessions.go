package distribution

import (
	"math"
	"sort"
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/loadreport"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
)

// maxSubscribers bounds the proxies that follow one node.
const maxSubscribers = 4096

// reconnectTimeout is how long a proxy whose waiting call lost its connection may take to call again, this node or another.
const reconnectTimeout = 350 * time.Millisecond

// session is a server's state for a proxy that calls it.
type session struct {
	member           softstate.Member
	lastCall         time.Time // start or end of its last call
	openCalls        int
	connectionLostAt time.Time // when a waiting call's connection ended; zero: it has not, or a call has come since
	ackedSeq         uint64
	totalsSentAt     time.Time // last reply with totals
	entriesSentAt    time.Time // last reply with entries
	loads            loadreport.Received
	loadsInTotals    uint64 // number of the report of its loads that is in the totals
}

// recentlyCalled reports whether the proxy is certainly alive: a call is open, or one ended within the given duration.
func (c *session) recentlyCalled(now time.Time, within time.Duration) bool {
	return c.openCalls > 0 || now.Sub(c.lastCall) < within
}

// timedOut reports whether the proxy is considered lost, and whether that is because its connection ended.
func (c *session) timedOut(now time.Time, timeout time.Duration) (timedOut, connectionLost bool) {
	switch {
	case c.openCalls > 0:
		return false, false
	case !c.connectionLostAt.IsZero() && now.Sub(c.connectionLostAt) > reconnectTimeout:
		return true, true
	}
	return now.Sub(c.lastCall) > timeout, false
}

// sessionSet holds the proxies that follow this node, with what they have acknowledged. The server's mu guards it.
type sessionSet struct {
	byNode      map[string]*session
	minAckedSeq uint64        // math.MaxUint64: there is no session
	ackChanged  chan struct{} // closed when an acknowledgement may have risen
}

func newSessionSet() sessionSet {
	return sessionSet{byNode: map[string]*session{}, minAckedSeq: math.MaxUint64, ackChanged: make(chan struct{})}
}

// open finds or creates the session of a process. isNew reports whether this incarnation has not called before. It returns nil if there
// are too many sessions.
func (c *sessionSet) open(m softstate.Member) (found *session, isNew bool) {
	found = c.byNode[m.Node]
	isNew = found == nil || found.member.Incarnation != m.Incarnation
	if found == nil && len(c.byNode) >= maxSubscribers {
		return nil, false
	}
	if isNew {
		found = &session{member: m}
		c.byNode[m.Node] = found
	}
	return found, isNew
}

// of returns the session of exactly this incarnation of a node, or nil if there is none.
func (c *sessionSet) get(m softstate.Member) *session {
	if found := c.byNode[m.Node]; found != nil && found.member.Incarnation == m.Incarnation {
		return found
	}
	return nil
}

// dropTimedOut drops the sessions of proxies that are considered lost. It reports whether there were any, and returns the incarnations,
// by node, that lost their connection and have not reconnected.
func (c *sessionSet) dropTimedOut(now time.Time, timeout time.Duration) (dropped bool, disconnected map[string]uint64) {
	disconnected = map[string]uint64{}
	for node, found := range c.byNode {
		timedOut, connectionLost := found.timedOut(now, timeout)
		if !timedOut {
			continue
		}
		if connectionLost {
			disconnected[node] = found.member.Incarnation
		}
		delete(c.byNode, node)
		dropped = true
	}
	return dropped, disconnected
}

// updateMinAcked recomputes minAckedSeq, wakes those who wait for acknowledgements, and reports whether it changed.
func (c *sessionSet) updateMinAcked() (changed bool) {
	lowest := uint64(math.MaxUint64)
	for _, each := range c.byNode {
		lowest = min(lowest, each.ackedSeq)
	}
	changed = lowest != c.minAckedSeq
	c.minAckedSeq = lowest
	c.notifyAcked()
	return changed
}

// notifyAcked wakes those who wait for acknowledgements.
func (c *sessionSet) notifyAcked() {
	close(c.ackChanged)
	c.ackChanged = make(chan struct{})
}

func (c *sessionSet) allAcknowledged(seq uint64) bool {
	for _, each := range c.byNode {
		if each.ackedSeq < seq {
			return false
		}
	}
	return true
}

// extendBy extends the timeouts of all sessions by the time that this process was paused.
func (c *sessionSet) extendBy(pause time.Duration) {
	for _, each := range c.byNode {
		each.lastCall, each.connectionLostAt = each.lastCall.Add(pause), time.Time{}
	}
}

func (c *sessionSet) infos(now time.Time) []SubscriberInfo {
	out := make([]SubscriberInfo, 0, len(c.byNode))
	for node, each := range c.byNode {
		info := SubscriberInfo{Node: node, Seq: each.ackedSeq}
		if each.openCalls == 0 {
			info.SinceLastCall = now.Sub(each.lastCall)
		}
		out = append(out, info)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Node < out[j].Node })
	return out
}

// beginCall records the contents of a call: the member, its acknowledgement, its loads, its down reports. It returns nil if there are too
// many subscribers.
func (s *Server) beginCall(member softstate.Member, req *distributionpb.FollowRequest) *session {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	caller, isNew := s.sessions.open(member)
	if caller == nil {
		return nil
	}
	caller.lastCall, caller.connectionLostAt = now, time.Time{}
	caller.openCalls++
	if isNew || req.GetSeq() > caller.ackedSeq {
		caller.ackedSeq = max(caller.ackedSeq, req.GetSeq())
		s.updateMinAcked()
	}
	caller.loads.Apply(now, req.GetLoads())
	if member.Revision >= caller.member.Revision {
		caller.member = member
	}
	s.assertAlive(now, caller.member)
	for _, report := range req.GetDown() {
		s.applyDownReport(now, report.GetNode(), report.GetIncarnation())
	}
	return caller
}

// recordLostConnection records that a waiting call's connection ended, as happens when the proxy's process exits.
func (s *Server) recordLostConnection(caller *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	caller.connectionLostAt = time.Now()
}

func (s *Server) endCall(caller *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	caller.openCalls--
	caller.lastCall = time.Now()
}

// updateMinAcked updates the lowest acknowledgement, and notifies peers if it changed. The caller holds mu.
func (s *Server) updateMinAcked() {
	if s.sessions.updateMinAcked() {
		signal(s.syncRequested)
	}
}
