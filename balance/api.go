// Package balance decides, inside one client process (a sidecar), which server gets which request.
//
// # Problem
//
// Hundreds of sidecars send requests of several classes to the same servers, without a balancer between them. Each sidecar
// sees its own requests only, so it has to find out by itself which servers are slow, overloaded, failing or warming up; it
// must neither overload a server together with the others, nor have an effect happen twice.
//
// # Terms
//
//   - An endpoint is a server process of discovery's list. An attempt is one sending of a request to one endpoint.
//   - A group is one weighted destination of the route table's best rule. The last group holds all endpoints.
//   - The subset of a group is the part of its endpoints that this sidecar uses.
//   - The load of an endpoint is the number of requests that it works on; a latency estimate is answer time for each unit of it.
//   - Ejection takes an endpoint out for a time (outlier detection). Panic suspends ejections where most endpoints seem bad.
//   - Shedding refuses classes of lower value per second of work while all endpoints are full.
//   - An endpoint warms up for a time after its start; meanwhile it gets requests by turns that it earns for its capacity.
//
// # Design
//
// A Balancer is a pure state machine: the host feeds it events, each with the time, and it answers by calling the host's
// Actions before the event method returns. It has no clock, goroutine, lock, I/O or global, and the same settings and events
// always give the same actions. A Balancer must not be used by two goroutines at once.
//
// # Invariants
//
//   - Each request gets at most one final answer, and exactly one as long as the host reports the end of each attempt.
//   - An endpoint gets one attempt of a request at most, and a request has one attempt in flight at most.
//   - What may have run is sent again only as its class allows; a refusal, which invites a retry, is given only where a retry
//     does no harm.
//   - Only an endpoint that is listed as ready gets an attempt.
//
// TestRules holds drawn days against them, with a model of its own.
package balance

import (
	"time"

	"gradeusher.example/gradeusher/balance/routes"
)

// Time is a reading of the host's monotonic clock, counted from any origin the host likes.
type Time = time.Duration

// RequestID names a request. The host never uses one twice during a Balancer's life.
type RequestID uint64

// Effect says what a retry of a request does.
type Effect int

// The effects of a retry.
const (
	Idempotent   Effect = iota // may run any number of times
	Deduplicated               // carries a key: the endpoints of one scope drop a duplicate for some time
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

// State is what discovery says of an endpoint.
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
	Size    float64 // registered capacity, in any unit that all endpoints share; 0: 1
	Started Time    // when the process last started; 0: long ago
}

// ListKind says how a list of endpoints is to be read.
type ListKind int

// The kinds of lists.
const (
	ListFull    ListKind = iota // complete: an endpoint that is absent is removed
	ListChanges                 // changed entries only
	ListCached                  // complete, from before a restart: may be stale
	ListRefused                 // a discovery call failed or the subscription broke; no entries
)

// Request is a client's request.
type Request struct {
	ID       RequestID
	Class    int           // index into Settings.Classes
	Tenant   int           // index into Settings.Tenants, or -1
	TimeLeft time.Duration // before the client gives up; it begins to run once the body is complete
	// BodyIncomplete says that the body is still arriving, and is forwarded as it arrives: BodyComplete follows.
	BodyIncomplete bool
	// Client is the key of the client that asks; all that have no name share one. Only Settings.Hitters uses it.
	Client uint64
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	Served        Outcome = iota
	Errored               // the endpoint answered with an error; it may have run
	Saturated             // rejected unseen: it did not run
	TimedOut              // no answer in time; it may have run
	ConnectFailed         // no connection: it did not run
	Reset                 // the connection broke; it may have run
	Cancelled             // cancelled by this sidecar; it may have run
	NotSent               // never sent: it did not run
)

// mayHaveExecuted tells whether a request that ended so may have taken effect.
func (o Outcome) mayHaveExecuted() bool {
	return o != Saturated && o != ConnectFailed && o != NotSent
}

// Result is the end of an attempt. Attempts of a request count from 0 in the order of Send.
type Result struct {
	ID       RequestID
	Attempt  int
	Endpoint string
	Outcome  Outcome
	Latency  time.Duration
	Finished bool // the request has had its final answer
}

// Actions is what the host does for a Balancer, called for its answers to events. The events are the methods Request,
// BodyConsumed, BodyComplete, Result, AnswerStarted, ClientDisconnected, Endpoints, SetOutOfService, SetRules and Timer of
// Balancer. The host calls them in the order of what happened; the first list follows New at once. Each Request ends with one
// final answer: a Result that is Finished, Refuse or Fail. Each Send ends with one Result, also after the final answer.
//
// Misuse never panics: an unknown request, attempt, timer or removed endpoint, an id used twice and a result reported twice
// are ignored. A Request whose class is not in the settings is ignored too, and gets no answer. Times should not go back; if
// they do, requests still end, but what is measured is wrong for some seconds.
//
// An action is called only during an event, in the order in which things are to be done, and must not call back into the
// Balancer.
type Actions interface {
	// Send starts an attempt. Its time-out is the shorter of the given one (0: none) and the client's.
	Send(id RequestID, endpoint string, timeout time.Duration)
	// Cancel stops waiting for an attempt. Its Result follows.
	Cancel(id RequestID, attempt int)
	// Refuse is the final answer that promises that a retry does no harm, after the given wait.
	Refuse(id RequestID, after time.Duration)
	// Fail is the final answer without a promise.
	Fail(id RequestID)
	// Timer asks for a Timer event.
	Timer(after time.Duration, token uint64)
	// Subscribe asks discovery for changes from now on. Endpoints follows.
	Subscribe()
	// Log writes a line for the operators.
	Log(text string)
}
