package proxy

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// fakePicker chooses the first server that has not been tried, and records how attempts ended.
type fakePicker struct {
	clusterState  pick.ClusterState
	route         *config.Route
	lastTicket    uint64
	outcomes      []pick.AttemptOutcome
	firstEvents   int
	lastLoad      string
	resumedCount  int
	retryAfter    time.Duration // of refusals
	sendWithin    time.Duration // of choices
	refuseAll     bool          // whether every request is refused
	awaitsState   bool          // whether a cluster state is awaited after a stall
	stalled       bool          // whether a cluster state is being awaited now
	healthTargets []pick.HealthTarget
	health        []string // what RecordHealth was told
	unreachable   map[string]bool
	serverOf      map[uint64]string
}

func newFakePicker(route *config.Route) *fakePicker {
	return &fakePicker{route: route, unreachable: map[string]bool{}, serverOf: map[uint64]string{}}
}

func (t *fakePicker) UpdatePeerLoads(pick.Time, map[string]pick.Load) {}
func (t *fakePicker) Loads() map[string]pick.Load                     { return nil }
func (t *fakePicker) SetIdleTimeout(string, time.Duration)            {}
func (t *fakePicker) PromptDemands() pick.SharedDemands               { return nil }
func (t *fakePicker) RecordRequest(pick.Time, *pick.Request)          {}
func (t *fakePicker) FirstEvent(pick.Time, uint64)                    { t.firstEvents++ }
func (t *fakePicker) ResponseStarted(pick.Time, uint64)               {}
func (t *fakePicker) WarmingUp(pick.Time, string, time.Duration)      {}
func (t *fakePicker) ServerDraining(pick.Time, string)                {}
func (t *fakePicker) HealthTargets() []pick.HealthTarget              { return t.healthTargets }
func (t *fakePicker) AwaitsServerList() bool                          { return false }
func (t *fakePicker) RecordStall(pick.Time)                           { t.stalled = t.awaitsState }
func (t *fakePicker) AwaitsControlPlane() bool                        { return t.stalled }
func (t *fakePicker) Stats() pick.Stats                               { return pick.Stats{} }
func (t *fakePicker) Describe(pick.Time) string                       { return "fake" }
func (t *fakePicker) RecordHealth(_ pick.Time, id string, _ pick.Time, left time.Duration) {
	t.health = append(t.health, fmt.Sprint(id, " ", left))
}

func (t *fakePicker) ServerLoad(_ pick.Time, id string, running, waiting, slots int) {
	t.lastLoad = fmt.Sprintf("%s %d,%d,%d", id, running, waiting, slots)
}

func (t *fakePicker) UpdateClusterState(_ pick.Time, w pick.ClusterState) {
	t.clusterState, t.stalled = w, false
}

func (t *fakePicker) Config() *config.Config { return t.clusterState.Config }

func (t *fakePicker) Route(host, path string) *config.Route {
	if strings.EqualFold(strings.TrimSuffix(host, ":80"), t.route.Host) && strings.HasPrefix(path, t.route.Prefix) {
		return t.route
	}
	return nil
}

func (t *fakePicker) Pick(_ pick.Time, r *pick.Request, tried []string, mayHaveRun bool) pick.Result {
	if r.Resumed {
		t.resumedCount++
	}
	for _, s := range t.clusterState.Servers {
		if !t.refuseAll && !slices.Contains(tried, s.ID) && !t.unreachable[s.ID] {
			t.lastTicket++
			t.serverOf[t.lastTicket] = s.ID
			return pick.Result{Server: s, Ticket: t.lastTicket, Priority: r.Priority(), SendWithin: t.sendWithin}
		}
	}
	if mayHaveRun {
		return pick.Result{Decision: pick.GiveUp}
	}
	return pick.Result{Decision: pick.Reject, RetryAfter: t.retryAfter}
}

func (t *fakePicker) Done(_ pick.Time, ticket uint64, o pick.AttemptOutcome, _ time.Duration) {
	t.outcomes = append(t.outcomes, o)
	if o == pick.ConnectFailed {
		t.unreachable[t.serverOf[ticket]] = true
	}
}
