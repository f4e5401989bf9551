package registry

import (
	"fmt"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/list"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

func leased(n int) (m *state.Machine) {
	m = state.New()
	for i := range n {
		m.Apply(state.Command{Op: state.Register, Servers: []list.Registration{{Target: list.Target{UID: fmt.Sprintf("s-%02d", i),
			Endpoint: "10.0.0.1:80", State: list.Serving}, LeaseMS: 3000}}})
	}
	return m
}

// TestLessor goes through a lease: renewed it runs on, left it ends once, drains, and goes after the grace.
func TestLessor(t *testing.T) {
	l := &serverLessor{limits: expiryLimits{Grace: 10 * time.Second, Share: 1, Window: time.Minute}}
	m, now := leased(2), time.Unix(1000, 0)
	if got := l.evaluate(now.Add(time.Hour), m.LeasedEntries()); got != nil {
		t.Errorf("it ends leases without leading: %v", got)
	}
	l.start()
	step := func(after time.Duration, want ...string) {
		t.Helper()
		now = now.Add(after)
		ended := l.evaluate(now, m.LeasedEntries())
		var got []string
		for _, e := range ended {
			got = append(got, e.UID)
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("at %v ended %v, want %v", now, got, want)
		}
		m.Apply(state.Command{Op: state.ExpireServers, Expired: ended})
	}
	step(0)
	step(2500 * time.Millisecond)
	if !l.renew(now, "s-00", 0) || l.renew(now, "s-00", 5) || l.renew(now, "s-77", 0) {
		t.Error("renewals of what runs, of another process, of nobody")
	}
	step(time.Second, "s-01")
	if e, _ := m.Entry("s-01"); e.State != list.Draining || e.Reason != state.LeaseExpired {
		t.Errorf("a lease ended and left %+v", e)
	}
	step(500 * time.Millisecond)
	if l.renew(now, "s-01", 0) {
		t.Error("a lease that is over was renewed")
	}
	step(2*time.Second, "s-00")
	step(7 * time.Second)
	step(1100*time.Millisecond, "s-01")
	if _, ok := m.Entry("s-01"); ok {
		t.Error("it is still there after the grace")
	}
	l.stop()
	l.start() // another office: all begin anew
	step(0)
	step(9 * time.Second)
	step(2*time.Second, "s-00")
}

// TestLessorHolds has all servers fall silent at once: no more than the share goes within a window.
func TestLessorHolds(t *testing.T) {
	l := &serverLessor{limits: expiryLimits{Grace: time.Hour, Share: 0.2, MinCount: 1, Window: 30 * time.Second}}
	m, now := leased(20), time.Unix(1000, 0)
	l.start()
	l.evaluate(now, m.LeasedEntries())
	drained := 0
	for i := 1; i <= 29; i++ {
		ended := l.evaluate(now.Add(4*time.Second+time.Duration(i)*time.Second), m.LeasedEntries())
		drained += len(ended)
		m.Apply(state.Command{Op: state.ExpireServers, Expired: ended})
	}
	if _, held := l.counts(); drained != 4 || held != 16 {
		t.Errorf("%d of 20 drained within a window, %d held back", drained, held)
	}
	for i := range 20 { // one that renews while it is held back was never gone
		l.renew(now.Add(33*time.Second), fmt.Sprintf("s-%02d", i), 0)
	}
	if ended := l.evaluate(now.Add(35*time.Second), m.LeasedEntries()); len(ended) != 0 {
		t.Errorf("%v ended though it was renewed", ended)
	}
}
