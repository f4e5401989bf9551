package distribution

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
)

const (
	// leaveTimeout bounds Leave.
	leaveTimeout = 300 * time.Millisecond
	// maxPendingDownReports bounds the down reports that wait to be sent to a node.
	maxPendingDownReports = 256
)

// announcement is what a proxy announces about itself and other proxies. The subscriber's mu guards it.
type announcement struct {
	self               softstate.Member
	ackedRevision      uint64            // revision of self that a node has acknowledged
	revisionAcked      chan struct{}     // closed when ackedRevision rises
	pendingDownReports map[string]uint64 // proxies without contact, node to incarnation
}

func newAnnouncement(self softstate.Member) announcement {
	return announcement{self: self, revisionAcked: make(chan struct{}), pendingDownReports: map[string]uint64{}}
}

// addTo adds the announcement to a request.
func (a *announcement) addTo(req *distributionpb.FollowRequest) {
	req.Member = a.self.ToProto()
	for node, incarnation := range a.pendingDownReports {
		req.Down = append(req.Down, &distributionpb.Verdict{Node: node, Incarnation: incarnation})
	}
}

// acknowledge records that a node has replied to a request, and so has received its announcement.
func (a *announcement) acknowledge(req *distributionpb.FollowRequest) {
	if revision := req.GetMember().GetRevision(); revision > a.ackedRevision {
		a.ackedRevision = revision
		close(a.revisionAcked)
		a.revisionAcked = make(chan struct{})
	}
	for _, report := range req.GetDown() {
		if a.pendingDownReports[report.GetNode()] == report.GetIncarnation() {
			delete(a.pendingDownReports, report.GetNode())
		}
	}
}

// SetReady sets whether this proxy serves clients, and announces it.
func (s *Subscriber) SetReady(ready bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if self := &s.announced.self; self.Ready != ready {
		self.Ready = ready
		self.Revision++
		signal(s.callRequested)
		signal(s.updatePending)
	}
}

// Leave announces that this proxy is about to stop, and waits up to 300 ms until a node has acknowledged that. The error is
// ErrNoControlPlane if none has.
func (s *Subscriber) Leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	revision := s.startDraining()
	signal(s.callRequested)
	for {
		s.mu.Lock()
		acked, ackedChanged := s.announced.ackedRevision, s.announced.revisionAcked
		s.mu.Unlock()
		if acked >= revision {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Mark(errors.Wrap(ctx.Err(),
				"distribution: no control-plane node has acknowledged that this proxy stops; it will be found timed out instead"), ErrNoControlPlane)
		case <-ackedChanged:
		}
	}
}

// startDraining announces that this proxy stops, and returns the revision of that announcement.
func (s *Subscriber) startDraining() (revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if self := &s.announced.self; !self.Draining {
		self.Draining, self.Ready = true, false
		self.Revision++
		signal(s.updatePending)
	}
	return s.announced.self.Revision
}

// Report forwards the failure detector's report that there is no contact to an incarnation of a proxy.
func (s *Subscriber) Report(node string, incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.announced.pendingDownReports) < maxPendingDownReports {
		s.announced.pendingDownReports[node] = incarnation
		signal(s.callRequested)
	}
}
