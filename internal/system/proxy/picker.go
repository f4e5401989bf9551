package proxy

import (
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// picker chooses servers; it is implemented by pick.Picker. It is not safe for concurrent use. Only lockedPicker holds all of it; it hands
// its parts to those that need no more.
//
// It is an interface so that the proxy's tests can say which server comes next and see how each attempt was reported (fakePicker):
// what pick.Picker chooses depends on estimates, and its own tests cover that.
type picker interface {
	stateReceiver
	serverChooser
	attemptRecorder
	hintRecorder
	loadSource
	stallRecorder
	statusSource
}

// stateReceiver receives what the control plane publishes.
type stateReceiver interface {
	UpdateClusterState(now pick.Time, state pick.ClusterState)
	UpdatePeerLoads(now pick.Time, loads map[string]pick.Load) // by server id, and the peers' shared demands
	AwaitsServerList() bool                                    // whether a newer server list is awaited
}

// serverChooser chooses servers for requests.
type serverChooser interface {
	Config() *config.Config                // that Route goes by; nil: none has come yet
	Route(host, path string) *config.Route // nil: none
	RecordRequest(now pick.Time, r *pick.Request)
	Pick(now pick.Time, r *pick.Request, tried []string, mayHaveRun bool) pick.Result
}

// attemptRecorder records how far attempts are, by the ticket that Pick returned. Done ends the ticket.
type attemptRecorder interface {
	ResponseStarted(now pick.Time, ticket uint64)
	FirstEvent(now pick.Time, ticket uint64)
	Done(now pick.Time, ticket uint64, outcome pick.AttemptOutcome, retryAfter time.Duration)
}

// hintRecorder records what servers say of themselves in their responses, by server id.
type hintRecorder interface {
	ServerLoad(now pick.Time, id string, running, waiting, slots int)
	WarmingUp(now pick.Time, id string, timeLeft time.Duration)
	SetIdleTimeout(id string, timeout time.Duration)
	ServerDraining(now pick.Time, id string)
}

// loadSource has what this proxy shares with the others.
type loadSource interface {
	Loads() map[string]pick.Load // by server id; the caller's
	PromptDemands() pick.SharedDemands
}

// stallRecorder learns that the process has stalled, and then awaits an update of the control plane.
type stallRecorder interface {
	RecordStall(now pick.Time)
	AwaitsControlPlane() bool
}

// statusSource describes the picker to operators.
type statusSource interface {
	Describe(now pick.Time) string
	Stats() pick.Stats
}
