// Package operatorapi is the HTTP API through which the operator changes the configuration. Every control-plane node serves it.
//
// The problem: a node may be partitioned or stalled while the operator still reaches it, requests and responses are lost,
// delayed and duplicated, and the operator retries at another node. A change must then neither be applied twice, nor be
// acknowledged without having been applied, nor take effect after a newer one that was acknowledged.
//
// Terms: a change is what the operator wants (a whole configuration, an amendment, an evacuation of a zone or its end); a
// request is one attempt to submit it; a verdict is what the state machine at the head of the chain decides
// (controlstate.State.Check); a fence is the number of the newest committed record that a node knew when a request arrived.
//
// Invariants (docs/hardening/operatorapi.md, C1 to C8, has the argument for each):
//
//   - A 4xx status follows from the bytes of the request alone, or from a verdict that a majority has confirmed. Everything that
//     one node believes by itself is answered with 503, at which callers go on to another node.
//   - A 200 to a change follows from a verdict, a 200 to Config.Read from a linearizable read. An elapsed timer proves nothing.
//   - Every version of the configuration is the base of one change at most.
//   - No request for a zone takes effect once a later request for that zone was acknowledged: requests carry their fence, and the
//     state machine rejects those that are older than the zone's newest change. Fencing tokens are described by M. Kleppmann,
//     "How to do distributed locking" (2016), and as sequencers by M. Burrows, "The Chubby lock service" (OSDI 2006).
//   - A response belongs to the request that it answers: where a body was not read to its end, the connection is closed.
package operatorapi

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/gorilla/mux"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// Chain replicates changes (package replication). After an error a change may or may not be applied.
type Chain interface {
	// Submit returns the verdict on a change once everything that the verdict rests on is durable on every replica.
	Submit(ctx context.Context, change controlstate.Change) (controlstate.Verdict, error)
	// Read returns a state that contains all changes that were acknowledged before the call (a linearizable read).
	Read(ctx context.Context) (*controlstate.State, error)
}

// Options configure Handler. Only Chain is required.
type Options struct {
	Chain Chain
	// WaitDelivered waits until the connected proxies have the record numbered seq, or ctx ends. Nil: no wait.
	WaitDelivered func(ctx context.Context, seq uint64)
	// CommittedState returns the newest committed state of this node without asking the others, so that it may lag. It is the
	// fence of evacuations, and gives the revision that a 412 names. Where it is nil or returns nil, the state of a linearizable
	// read that begins when the request has arrived is the fence.
	CommittedState func() *controlstate.State
	// Stalled reports whether the process was paused a moment ago (see StallDetector). Evacuations are rejected meanwhile.
	// Nil: never.
	Stalled func() bool
	// Partitioned reports whether this node has been without a way to the chain for so long that a change would not be
	// committed. Changes are then answered with 503 at once and are not forwarded. Nil: never.
	Partitioned func() bool
	// Status returns what GET /status answers as JSON. Nil: an empty object.
	Status func() any
	// Backup serves GET /backup. Nil: the path does not exist.
	Backup http.Handler
	// AckTimeout is the deployment's ack_ms, the longest life of a change that is not acknowledged; the wait for its delivery
	// takes an eighth of it at most. 0: 5 s.
	AckTimeout time.Duration
	// Log receives the node's log. Nil: the default log.
	Log log.Interface

	knobs TestingKnobs
}

// TestingKnobs take protections out, so that tests can show which fault each of them excludes.
type TestingKnobs struct {
	// FenceByConfirmedState fences evacuations by the state of the linearizable read in place of the one known on arrival.
	FenceByConfirmedState bool
	// SubmitForGoneCallers submits evacuations although their callers have hung up or timed out.
	SubmitForGoneCallers bool
	// AcceptAfterStalls accepts evacuations that may have waited in a socket during a stall of the process.
	AcceptAfterStalls bool
	// SkipConnectionEndWait does not wait for the end of a connection on which an evacuation may have been delayed.
	SkipConnectionEndWait bool
}

// The bounds of a request. Callers go on to another node after a second without a response, later where the body is large.
const (
	maxBodyBytes       = 16 << 20
	largeBodyBytes     = 256 << 10 // bodies above it get the longer time-outs
	maxTotalBodyBytes  = 32 << 20  // of all bodies in memory
	bodyTimeout        = 10 * time.Second
	chainTimeout       = 700 * time.Millisecond
	largeChangeTimeout = 2500 * time.Millisecond
	deliveryTimeout    = 300 * time.Millisecond
	responseTimeout    = 900 * time.Millisecond // of the whole request, where its body is not large
)

// api is the state that all requests share.
type api struct {
	options    Options
	bodyBudget byteBudget
}

// Handler serves the operator's API. Its result has a method ConnContext, which belongs into the http.Server that serves it.
// Every response but the 200 of Config.Read is a JSON object; an error response carries the reason, which names the remedy,
// under "error".
func Handler(options Options) http.Handler {
	if options.AckTimeout <= 0 {
		options.AckTimeout = 5 * time.Second
	}
	if options.Log == nil {
		options.Log = log.Log
	}
	a := &api{options: options, bodyBudget: byteBudget{available: maxTotalBodyBytes}}
	return &connectionTracker{router: a.newRouter()}
}

// newRouter maps the paths of the API to their handlers.
func (a *api) newRouter() *mux.Router {
	// Cleaning a path would answer it with a redirect, which callers count as an error.
	router := mux.NewRouter().SkipClean(true)
	router.HandleFunc("/Config.Replace", a.handleConfigChange(controlstate.OpReplace)).Methods(http.MethodPost)
	router.HandleFunc("/Config.Amend", a.handleConfigChange(controlstate.OpAmend)).Methods(http.MethodPost)
	router.HandleFunc("/Config.Read", a.handleConfigRead).Methods(http.MethodGet, http.MethodHead)
	router.HandleFunc("/Evacuation.Start/{zone}", a.handleEvacuation(controlstate.OpEvacuate)).Methods(http.MethodPost)
	router.HandleFunc("/Evacuation.Finish/{zone}", a.handleEvacuation(controlstate.OpReadmit)).Methods(http.MethodPost)
	router.HandleFunc("/status", a.handleStatus).Methods(http.MethodGet, http.MethodHead)
	if a.options.Backup != nil {
		router.Handle("/backup", a.options.Backup)
	}
	router.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, http.StatusNotFound, "no such call: see the operator's API for the paths")
	})
	router.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, http.StatusMethodNotAllowed, "wrong method: changes are sent with POST, reads with GET")
	})
	return router
}

// handleStatus serves GET /status.
func (a *api) handleStatus(w http.ResponseWriter, _ *http.Request) {
	var body any = struct{}{}
	if a.options.Status != nil {
		body = a.options.Status()
	}
	writeJSON(w, http.StatusOK, body)
}
