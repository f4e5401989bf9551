// Package balance decides, inside one client process (a sidecar), which server gets which request.
//
// # Problem
//
// Hundreds of sidecars send requests of several classes to the same servers, without a central load balancer. Each sidecar
// sees only its own requests, so it has to find out by itself which servers are slow, overloaded, failing or warming up.
// The sidecars together must not overload a server, and no request that must run once may take effect twice.
//
// # Terms
//
//   - An endpoint is a server process on the list from discovery. An attempt is one send of a request to one endpoint.
//   - A group is one weighted destination of the route table's best rule. The last group holds all endpoints.
//   - The subset of a group is the part of its endpoints that this sidecar uses.
//   - The load of an endpoint is the number of requests that it is working on. A latency estimate is the answer time per unit
//     of load.
//   - Ejection takes a failing endpoint out of rotation for some time (outlier detection). Panic suspends ejections when most
//     endpoints seem to fail.
//   - Shedding refuses classes of lower value per second of work while all endpoints are full.
//   - An endpoint warms up for some time after its start. Meanwhile it gets requests only in turns, which it earns in
//     proportion to its current capacity.
//
// # Design
//
// A Balancer is a pure state machine: the host feeds it events, each with the current time, and the Balancer responds by
// calling the host's Actions before the event method returns. It has no clock, goroutine, lock, I/O or global state, and the
// same settings and events always lead to the same actions. A Balancer must not be used by several goroutines concurrently.
//
// # Invariants
//
//   - Each request gets at most one final answer, and exactly one as long as the host reports the end of each attempt.
//   - Each endpoint gets at most one attempt of a request, and a request has at most one attempt in flight.
//   - A request that may have run is retried only as its class allows. A refusal invites the client to retry, so it is given
//     only if a retry does no harm.
//   - Only an endpoint that is listed as ready gets an attempt.
//
// TestRules checks these invariants on random event sequences against an independent model.
package balance

import (
	"time"

	"gradeusher.example/gradeusher/balance/routes"
)

// Time is a reading of the host's monotonic clock, relative to an arbitrary origin.
type Time = time.Duration

// RequestID identifies a request. The host must not reuse an ID during the lifetime of a Balancer.
type RequestID uint64

// Effect describes the effect of running a request more than once.
type Effect int

// The possible effects of a retry.
const (
	Idempotent   Effect = iota // may run any number of times
	Deduplicated               // carries a key by which the endpoints of one scope drop duplicates for some time
	AtMostOnce                 // must never run twice
)

// Scope is the set of endpoints that drop each other's duplicates of a Deduplicated request.
type Scope int

// The scopes of deduplication.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Match is the condition on tags in a rule of a route table.
type Match = routes.Match

// Destination is a weighted group of endpoints in a rule.
type Destination = routes.Destination

// Rule is one rule of a route table.
type Rule = routes.Rule

// State is the state of an endpoint as listed by discovery.
type State int

// The states of an endpoint.
const (
	Ready State = iota
	Draining
	Removed
)

// Endpoint is one entry of discovery's list.
type Endpoint struct {
	ID      string
	Zone    string
	Kind    string
	Cell    int
	State   State
	Size    float64 // registered capacity, in any unit that all endpoints share; 0 means 1
	Started Time    // when the process last started; 0 means long ago
}

// ListKind says how to interpret a list of endpoints.
type ListKind int

// The kinds of lists.
const (
	ListFull    ListKind = iota // complete: endpoints that are absent are removed
	ListChanges                 // changed entries only
	ListCached                  // complete, but saved before a restart and possibly stale
	ListRefused                 // a discovery call failed or the subscription broke; no entries
)

// Request is a client's request.
type Request struct {
	ID       RequestID
	Class    int           // index into Settings.Classes
	Tenant   int           // index into Settings.Tenants, or -1
	TimeLeft time.Duration // until the client gives up, counted from when the body is complete
	// BodyIncomplete means that the body is still arriving and is forwarded as it arrives; BodyComplete follows.
	BodyIncomplete bool
	// Client is the key of the requesting client; all unnamed clients share one key. It is used only for Settings.Hitters.
	Client uint64
}

// Outcome describes how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	Served        Outcome = iota
	Errored               // the endpoint answered with an error; it may have run
	Saturated             // rejected by the endpoint before it ran
	TimedOut              // no answer in time; it may have run
	ConnectFailed         // no connection: it did not run
	Reset                 // the connection broke; it may have run
	Cancelled             // cancelled by this sidecar; it may have run
	NotSent               // never sent: it did not run
)

// mayHaveExecuted reports whether an attempt with this outcome may have taken effect.
func (o Outcome) mayHaveExecuted() bool {
	return o != Saturated && o != ConnectFailed && o != NotSent
}

// Result describes the end of an attempt. The attempts of a request are numbered from 0 in the order of Send.
type Result struct {
	ID       RequestID
	Attempt  int
	Endpoint string
	Outcome  Outcome
	Latency  time.Duration
	Finished bool // the request has got its final answer
}

// Actions is implemented by the host; a Balancer calls it in response to events. The events are the methods Request,
// BodyConsumed, BodyComplete, Result, AnswerStarted, ClientDisconnected, Endpoints, SetOutOfService, SetRules and Timer of
// Balancer. The host must call them in the order in which things happened, and pass the first list right after New. Each
// Request ends with one final answer: a Result that is Finished, Refuse or Fail. Each Send ends with one Result, even after
// the final answer.
//
// Misuse never panics: unknown requests, attempts, timers and removed endpoints, reused ids and duplicate results are
// ignored. A Request whose class is not in the settings is also ignored and gets no answer. Times should not go backwards; if
// they do, requests still end, but measurements are wrong for some seconds.
//
// Actions are called only during an event and in the order in which they are to be carried out. They must not call back into
// the Balancer.
type Actions interface {
	// Send starts an attempt. It times out after the given timeout (0: none) or at the client's deadline, whichever is first.
	Send(id RequestID, endpoint string, timeout time.Duration)
	// Cancel cancels an attempt. Its Result follows.
	Cancel(id RequestID, attempt int)
	// Refuse gives the final answer that a retry after the given wait is safe.
	Refuse(id RequestID, after time.Duration)
	// Fail gives the final answer that the request failed. It does not promise that a retry is safe.
	Fail(id RequestID)
	// Timer schedules a Timer event.
	Timer(after time.Duration, token uint64)
	// Subscribe subscribes to changes from discovery. An Endpoints event follows.
	Subscribe()
	// Log writes a log line for the operators.
	Log(text string)
}
