// Package operatorapi is the HTTP API through which the operator changes the configuration. Every control-plane node serves it.
//
// The problem: a node may be partitioned or stalled while the operator still reaches it, requests and responses are lost,
// delayed and duplicated, and the operator retries at another node. A change must then neither be applied twice, nor be
// acknowledged without having been applied, nor take effect after a newer one that was acknowledged.
//
// Terms: a change is what the operator wants (a whole configuration, an amendment, an evacuation of a zone or its end); a
// request is one attempt to submit it; a verdict is what the state machine at the head of the chain decides
// (controlstate.State.Check); a fence is the number of a committed record, which a node returns to the caller of an evacuation and the
// caller sends with it.
//
// The texts of responses use the operators' terms: an order is a change of a zone, a call is a request, and a keeper is a control-plane
// node.
//
// Invariants (docs/hardening/operatorapi.md, C1 to C8, has the argument for each):
//
//   - A 4xx status follows from the bytes of the request alone, or from a verdict that a majority has confirmed. Where a node has
//     only its own unconfirmed view, it answers 503, after which callers try another node.
//   - A 200 to a change follows from a verdict, a 200 to Config.Read from a linearizable read. An elapsed timer proves nothing.
//   - Every version of the configuration is the base of at most one change.
//   - No request for a zone takes effect once a later request for that zone was acknowledged: requests carry a fence that their callers
//     have received from a node (evacuation.go has the proof), and the state machine rejects those that are older than the zone's newest
//     change. Fencing tokens are described by M. Kleppmann, "How to do distributed locking" (2016), and as sequencers by M. Burrows,
//     "The Chubby lock service" (OSDI 2006).
//   - A response is matched to the request that it answers: if a body was not read to its end, the connection is closed.
package operatorapi

import (
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/gorilla/mux"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/defaults"
)

// api is the state that all requests share.
type api struct {
	options    Options
	bodyBudget byteBudget
}

// Handler returns the handler of the operator's API. Every response except the 200 of Config.Read is a JSON object; an error response
// carries the reason and its remedy under "error".
func Handler(options Options) http.Handler {
	options.AckTimeout = defaults.IfNotPositive(options.AckTimeout, 5*time.Second)
	if options.Log == nil {
		options.Log = log.Log
	}
	a := &api{options: options, bodyBudget: byteBudget{available: maxTotalBodyBytes}}
	return a.newRouter()
}

// newRouter maps the paths of the API to their handlers.
func (a *api) newRouter() *mux.Router {
	// Without SkipClean the router would redirect paths that are not clean, and callers count a redirect as an error.
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
