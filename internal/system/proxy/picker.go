package proxy

import (
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// picker chooses servers; it is implemented by pick.Picker. It is not safe for concurrent use. Only lockedPicker uses the complete
// interface; it passes the smaller interfaces to code that needs no more.
//
// It is an interface so that the proxy's tests can determine which server is chosen next and observe how each attempt was reported
// (fakePicker): the choices of pick.Picker depend on estimates, and its own tests cover them.
type picker interface {
	stateReceiver
	serverChooser
	attemptRecorder
	hintRecorder
	loadSource
	stallRecorder
	healthChecked
	statusSource
}

// stateReceiver receives what the control plane publishes.
type stateReceiver interface {
	UpdateClusterState(now pick.Time, state pick.ClusterState)
	UpdatePeerLoads(now pick.Time, loads map[string]pick.Load) // by server id, and the peers' shared demands
	AwaitsServerList() bool                                    // reports whether the picker waits for a newer server list
}

// serverChooser chooses servers for requests.
type serverChooser interface {
	Config() *config.Config                // the one that Route uses; nil: none has been received yet
	Route(host, path string) *config.Route // nil: no route matches
	RecordRequest(now pick.Time, r *pick.Request)
	Pick(now pick.Time, r *pick.Request, tried []string, mayHaveRun bool) pick.Result
}

// attemptRecorder records the progress of attempts, identified by the ticket that Pick returned. Done ends the ticket.
type attemptRecorder interface {
	ResponseStarted(now pick.Time, ticket uint64)
	FirstEvent(now pick.Time, ticket uint64)
	Done(now pick.Time, ticket uint64, outcome pick.AttemptOutcome, retryAfter time.Duration)
}

// hintRecorder records what servers report about themselves in their responses, by server id.
type hintRecorder interface {
	ServerLoad(now pick.Time, id string, running, waiting, slots int)
	WarmingUp(now pick.Time, id string, timeLeft time.Duration)
	SetIdleTimeout(id string, timeout time.Duration)
	ServerDraining(now pick.Time, id string)
}

// loadSource provides the load information that this proxy shares with the others.
type loadSource interface {
	Loads() map[string]pick.Load // by server id; owned by the caller
	PromptDemands() pick.SharedDemands
}

// stallRecorder is notified when the process has stalled, and then waits for an update from the control plane.
type stallRecorder interface {
	RecordStall(now pick.Time)
	AwaitsControlPlane() bool
}

// healthChecked names the servers whose health is to be checked, and receives their answers.
type healthChecked interface {
	HealthTargets() []pick.HealthTarget
	RecordHealth(now pick.Time, id string, askedAt pick.Time, left time.Duration)
}

// statusSource describes the picker to operators.
type statusSource interface {
	Describe(now pick.Time) string
	Stats() pick.Stats
}
