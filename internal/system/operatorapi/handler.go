// Package control is the operator's HTTP API on a keeper: it takes whole configurations, amendments and evacuations into
// the chain, answers the newest configuration, and tells staff the keeper's status.
package operatorapi

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/gorilla/mux"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// Chain is where changes become durable. Its errors mean that a change may or may not come about.
type Chain interface {
	// Submit gives the verdict on a change once everything that it rests on is durable on every link.
	Submit(ctx context.Context, change controlstate.Change) (controlstate.Verdict, error)
	// Read gives a state that holds all that was acknowledged before the call.
	Read(ctx context.Context) (*controlstate.State, error)
}

// Options are those of the API.
type Options struct {
	Chain Chain
	// Delivered waits until the connected proxies hold the change numbered seq, or ctx ends. Nil: nothing is waited for.
	WaitDelivered func(ctx context.Context, seq uint64)
	// Current gives a committed state that is at hand: the fence of an evacuation order, and the revision that a refusal
	// names. It may lag; where it is nil or gives nil, what a majority told as the order came is the fence.
	CommittedState func() *controlstate.State
	// Stalled tells whether the process stood still a moment ago. Evacuation orders are then not taken. Nil: never.
	Stalled func() bool
	// CutOff tells whether this keeper has had no way to the chain for so long that an order would not be taken. Orders are
	// then answered 503 at once, without being passed on. Nil: never.
	Partitioned func() bool
	// Status is what GET /status answers, as JSON. Nil: an empty object.
	Status     func() any
	Backup     http.Handler  // answers GET /backup. Nil: there is no such call
	AckTimeout time.Duration // the ack_ms of the deployment; 0: 5 s
	Log        log.Interface

	knobs TestingKnobs
}

// TestingKnobs take protections out, so that tests can show what each is for.
type TestingKnobs struct {
	FenceByConfirmedState bool // evacuation orders are fenced by what is known after the round, not as they came
	SubmitForGoneCallers  bool // evacuation orders are passed on though their callers have gone
	AcceptAfterStalls     bool // evacuation orders are taken that may have waited through a stall
	SkipConnectionEndWait bool // nor is the end of a connection waited for where an order may have been held up
}

// The bounds of a call. Callers move on after a second of silence, later where the body is large.
const (
	maxBodyBytes       = 16 << 20 // bytes
	largeBodyBytes     = 256 << 10
	maxTotalBodyBytes  = 32 << 20 // bytes of all bodies together that are held at one time
	bodyTimeout        = 10 * time.Second
	chainTimeout       = 700 * time.Millisecond
	largeChangeTimeout = 2500 * time.Millisecond
	deliveryTimeout    = 300 * time.Millisecond
	responseTimeout    = 900 * time.Millisecond // for all of it, where the body is not large
)

type api struct {
	options    Options
	bodyBudget byteBudget
}

// Handler serves the operator's calls. Where it has a method ConnContext, set that in the http.Server. Every answer but 200 of Config.Read is a JSON object; those that refuse carry its
// reason, which names the remedy, under "error".
func Handler(options Options) http.Handler {
	if options.AckTimeout <= 0 {
		options.AckTimeout = 5 * time.Second
	}
	if options.Log == nil {
		options.Log = log.Log
	}
	a := &api{options: options, bodyBudget: byteBudget{available: maxTotalBodyBytes}}
	return &handler{router: a.newRouter()}
}

// newRouter maps the paths of the API to their handlers.
func (a *api) newRouter() *mux.Router {
	// Cleaning would answer an odd path with a redirect, and callers count those.
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

func (a *api) handleStatus(w http.ResponseWriter, _ *http.Request) {
	var body any = struct{}{}
	if a.options.Status != nil {
		body = a.options.Status()
	}
	writeJSON(w, http.StatusOK, body)
}
