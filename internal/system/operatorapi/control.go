// Package control is the operator's HTTP API on a keeper: it takes whole configurations, amendments and evacuations into
// the chain, answers the newest configuration, and tells staff the keeper's status.
package operatorapi

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
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
	// Cleaning would answer an odd path with a redirect, and callers count those.
	r := mux.NewRouter().SkipClean(true)
	r.HandleFunc("/Config.Replace", a.handleConfigChange(controlstate.OpReplace)).Methods(http.MethodPost)
	r.HandleFunc("/Config.Amend", a.handleConfigChange(controlstate.OpAmend)).Methods(http.MethodPost)
	r.HandleFunc("/Config.Read", a.handleConfigRead).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc("/Evacuation.Start/{zone}", a.handleEvacuation(controlstate.OpEvacuate)).Methods(http.MethodPost)
	r.HandleFunc("/Evacuation.Finish/{zone}", a.handleEvacuation(controlstate.OpReadmit)).Methods(http.MethodPost)
	r.HandleFunc("/status", a.handleStatus).Methods(http.MethodGet, http.MethodHead)
	if options.Backup != nil {
		r.Handle("/backup", options.Backup)
	}
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, http.StatusNotFound, "no such call: see the operator's API for the paths")
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, http.StatusMethodNotAllowed, "wrong method: changes are sent with POST, reads with GET")
	})
	return &handler{router: r}
}

// changeRequest is a change on its way through the API.
type changeRequest struct {
	change     controlstate.Change
	receivedAt time.Time // when it had come: its head, and the whole body of a configuration
	respondBy  time.Time
}

// rejectIfPartitioned answers an order where this keeper has no way to the chain, so that the caller need not wait to hear that it
// was not taken. It tells whether it did.
func (a *api) rejectIfPartitioned(w http.ResponseWriter, change controlstate.Change) bool {
	if a.options.Partitioned == nil || !a.options.Partitioned() {
		return false
	}
	a.options.Log.WithFields(log.Fields{"op": change.Op, "base": change.Base, "zone": change.Zone}).
		Info("control: order not taken, this keeper has no way to the chain")
	writeUnavailable(w, errPartitioned.Error())
	return true
}

// submitConfigChange brings a change of the configuration to the chain and answers for it. ok writes the answer of success.
func (a *api) submitConfigChange(w http.ResponseWriter, r *http.Request, change controlstate.Change, writeSuccess func()) {
	if a.rejectIfPartitioned(w, change) {
		return
	}
	request := changeRequest{change: change, receivedAt: time.Now()}
	timeout := chainTimeout
	request.respondBy = request.receivedAt.Add(responseTimeout)
	if len(change.Body) > largeBodyBytes {
		timeout = largeChangeTimeout
		request.respondBy = request.receivedAt.Add(largeChangeTimeout + deliveryTimeout)
	}
	ctx, cancel := context.WithDeadline(r.Context(), request.receivedAt.Add(timeout))
	defer cancel()
	verdict, err := a.options.Chain.Submit(ctx, change)
	a.respondToChange(w, r, request, verdict, err, writeSuccess)
}

// respondToChange answers for an order. A 4xx is written only on a verdict, which a majority has confirmed.
func (a *api) respondToChange(w http.ResponseWriter, r *http.Request, request changeRequest, verdict controlstate.Verdict, err error, writeSuccess func()) {
	entry := a.options.Log.WithFields(log.Fields{"op": request.change.Op, "base": request.change.Base, "zone": request.change.Zone})
	if errors.Is(err, errCallerGone) {
		entry.Info("control: order dropped, its caller has gone or waits too long")
		writeUnavailable(w, errCallerGone.Error())
		return
	}
	if err != nil {
		entry.WithError(err).Warn("control: change not acknowledged, it may or may not come about")
		writeUnavailable(w, "the change could not be made durable in time and may or may not come about: send it again as it was")
		return
	}
	switch verdict.Kind {
	case controlstate.Accepted, controlstate.AlreadyApplied:
		if a.options.WaitDelivered != nil {
			ctx, cancel := context.WithTimeout(r.Context(), min(deliveryTimeout, a.options.AckTimeout/8, time.Until(request.respondBy)))
			a.options.WaitDelivered(ctx, verdict.Seq)
			cancel()
		}
		entry.WithFields(log.Fields{"seq": verdict.Seq, "ms": time.Since(request.receivedAt).Milliseconds()}).Info("control: change acknowledged")
		writeSuccess()
	case controlstate.Stale:
		body := map[string]any{"error": reasonOrDefault(verdict.Reason, "another version is current: read it and build on that")}
		// What lags behind the verdict would tell a revision of the past.
		if state := a.committedState(); state != nil && state.Config != nil && state.Seq >= verdict.Seq {
			body["revision"] = state.Config.Revision
		}
		entry.Info("control: change refused, another version is current")
		writeJSON(w, http.StatusPreconditionFailed, body)
	case controlstate.Invalid:
		entry.WithField("reason", verdict.Reason).Info("control: change refused, it is invalid")
		writeError(w, http.StatusBadRequest, reasonOrDefault(verdict.Reason, "the change is invalid: check it against the operator's API"))
	case controlstate.Uncertain:
		entry.WithField("reason", verdict.Reason).Warn("control: change left without a clear answer")
		writeUnavailable(w, reasonOrDefault(verdict.Reason, "whether the change was applied long ago cannot be told: read the configuration and compare"))
	case controlstate.Superseded:
		entry.Info("control: change came too late, its zone was changed since")
		writeUnavailable(w, reasonOrDefault(verdict.Reason, "the zone was changed while this call was under way: send it again if it is still wanted"))
	default:
		entry.WithField("verdict", verdict.Kind).Error("control: unknown verdict")
		writeUnavailable(w, "this keeper does not know the verdict on the change: send it again as it was, to another keeper")
	}
}

func (a *api) handleConfigRead(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), chainTimeout)
	defer cancel()
	state, err := a.options.Chain.Read(ctx)
	switch {
	case err != nil:
		if !errors.Is(err, context.Canceled) {
			a.options.Log.WithError(err).Warn("control: configuration not read")
		}
		writeUnavailable(w, "the newest configuration could not be confirmed in time: ask again")
	case state == nil || state.Config == nil:
		writeUnavailable(w, "no configuration has come yet: send one with POST /Config.Replace")
	default:
		setResponseHeaders(w, len(state.Config.Raw))
		w.WriteHeader(http.StatusOK)
		if r.Method != http.MethodHead {
			_, _ = w.Write(state.Config.Raw)
		}
	}
}

func (a *api) handleStatus(w http.ResponseWriter, _ *http.Request) {
	var body any = struct{}{}
	if a.options.Status != nil {
		body = a.options.Status()
	}
	writeJSON(w, http.StatusOK, body)
}

func reasonOrDefault(told, otherwise string) string {
	if told == "" {
		return otherwise
	}
	return told
}

func writeError(w http.ResponseWriter, status int, reason string) {
	writeJSON(w, status, map[string]any{"error": reason})
}

// writeUnavailable answers 503, at which callers move on to another keeper.
func writeUnavailable(w http.ResponseWriter, reason string) {
	w.Header().Set("Retry-After", "0.2")
	writeError(w, http.StatusServiceUnavailable, reason)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"error":"the answer cannot be written as JSON: report it"}`)
	}
	setResponseHeaders(w, len(data))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
