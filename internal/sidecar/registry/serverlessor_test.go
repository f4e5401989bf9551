package registry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/list"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// serverLessorScenario is a serverLessor with the servers s-00, s-01, ... whose leases of 3 s it counts, on a clock of the test's.
type serverLessorScenario struct {
	t       *testing.T
	lessor  *serverLessor
	machine *state.Machine
	now     time.Time
}

func newServerLessorScenario(t *testing.T, limits expiryLimits, servers int) *serverLessorScenario {
	t.Helper()
	scenario := &serverLessorScenario{t: t, lessor: &serverLessor{limits: limits}, machine: state.New(), now: time.Unix(1000, 0)}
	for i := range servers {
		target := list.Target{UID: serverUID(i), Endpoint: "10.0.0.1:80", State: list.Serving}
		scenario.machine.Apply(state.Command{Op: state.Register, Servers: []list.Registration{{Target: target, LeaseMS: 3000}}})
	}
	return scenario
}

func serverUID(i int) string { return fmt.Sprintf("s-%02d", i) }

// evaluateAfter lets time pass, applies the ends that the lessor decides, and returns them.
func (ls *serverLessorScenario) evaluateAfter(d time.Duration) []state.ExpiredLease {
	ls.now = ls.now.Add(d)
	expired := ls.lessor.evaluate(ls.now, ls.machine.LeasedEntries())
	ls.machine.Apply(state.Command{Op: state.ExpireServers, Expired: expired})
	return expired
}

// wantExpired fails unless the leases of these servers end after a time.
func (ls *serverLessorScenario) wantExpired(after time.Duration, want ...string) {
	ls.t.Helper()
	var got []string
	for _, lease := range ls.evaluateAfter(after) {
		got = append(got, lease.UID)
	}
	if !slices.Equal(got, want) {
		ls.t.Fatalf("at %v ended %v, want %v", ls.now, got, want)
	}
}

// TestServerLessor goes through a lease: renewed it runs on; otherwise it ends once, its server drains, and is removed after the grace.
func TestServerLessor(t *testing.T) {
	scenario := newServerLessorScenario(t, expiryLimits{Grace: 10 * time.Second, Share: 1, Window: time.Minute}, 2)
	if got := scenario.lessor.evaluate(scenario.now.Add(time.Hour), scenario.machine.LeasedEntries()); got != nil {
		t.Errorf("it ends leases without leading: %v", got)
	}
	scenario.lessor.start()
	scenario.wantExpired(0)
	scenario.wantExpired(2500 * time.Millisecond)
	if !scenario.lessor.renew(scenario.now, "s-00", 0) || scenario.lessor.renew(scenario.now, "s-00", 5) || scenario.lessor.renew(scenario.now, "s-77", 0) {
		t.Error("renewals of a lease, of another process's, of nobody's")
	}
	scenario.wantExpired(time.Second, "s-01")
	if entry, _ := scenario.machine.Entry("s-01"); entry.State != list.Draining || entry.Reason != state.LeaseExpired {
		t.Errorf("a lease ended and left %+v", entry)
	}
	scenario.wantExpired(500 * time.Millisecond)
	if scenario.lessor.renew(scenario.now, "s-01", 0) {
		t.Error("a lease that is over was renewed")
	}
	scenario.wantExpired(2*time.Second, "s-00")
	scenario.wantExpired(7 * time.Second)
	scenario.wantExpired(1100*time.Millisecond, "s-01")
	if _, found := scenario.machine.Entry("s-01"); found {
		t.Error("it is still there after the grace")
	}
	scenario.lessor.stop()
	scenario.lessor.start() // all leases begin anew
	scenario.wantExpired(0)
	scenario.wantExpired(9 * time.Second)
	scenario.wantExpired(2*time.Second, "s-00")
}

// TestServerLessorLimits has all servers time out at once: no more than the share is drained within a window.
func TestServerLessorLimits(t *testing.T) {
	scenario := newServerLessorScenario(t, expiryLimits{Grace: time.Hour, Share: 0.2, MinCount: 1, Window: 30 * time.Second}, 20)
	scenario.lessor.start()
	drained := len(scenario.evaluateAfter(0))
	scenario.now = scenario.now.Add(4 * time.Second)
	for range 29 {
		drained += len(scenario.evaluateAfter(time.Second))
	}
	if _, pending := scenario.lessor.counts(); drained != 4 || pending != 16 {
		t.Errorf("%d of 20 drained within a window, %d pending", drained, pending)
	}
	for i := range 20 { // a server that renews while its end is pending was never gone
		scenario.lessor.renew(scenario.now, serverUID(i), 0)
	}
	if expired := scenario.evaluateAfter(2 * time.Second); len(expired) != 0 {
		t.Errorf("%v ended though it was renewed", expired)
	}
}
