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
	Current func() *controlstate.State
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

	hooks hooks
}

// hooks take protections out, so that tests can show what each is for.
type hooks struct {
	lateFence     bool // evacuation orders are fenced by what is known after the round, not as they came
	ignoreCallers bool // evacuation orders are passed on though their callers have gone
	ignoreStalls  bool // evacuation orders are taken that may have waited through a stall
	ignoreWaits   bool // nor is the end of a connection waited for where an order may have been held up
}

// The bounds of a call. Callers move on after a second of silence, later where the body is large.
const (
	maxBody      = 16 << 20 // bytes
	largeBody    = 256 << 10
	maxBodies    = 32 << 20 // bytes of all bodies together that are held at one time
	bodyTimeout  = 10 * time.Second
	chainWait    = 700 * time.Millisecond
	largeWait    = 2500 * time.Millisecond
	deliveryWait = 300 * time.Millisecond
	answerWithin = 900 * time.Millisecond // for all of it, where the body is not large
)

type api struct {
	o      Options
	bodies budget
}

// Handler serves the operator's calls. Where it has a method ConnContext, set that in the http.Server. Every answer but 200 of Config.Read is a JSON object; those that refuse carry its
// reason, which names the remedy, under "error".
func Handler(o Options) http.Handler {
	if o.AckTimeout <= 0 {
		o.AckTimeout = 5 * time.Second
	}
	if o.Log == nil {
		o.Log = log.Log
	}
	a := &api{o: o, bodies: budget{left: maxBodies}}
	// Cleaning would answer an odd path with a redirect, and callers count those.
	r := mux.NewRouter().SkipClean(true)
	r.HandleFunc("/Config.Replace", a.config(controlstate.OpReplace)).Methods(http.MethodPost)
	r.HandleFunc("/Config.Amend", a.config(controlstate.OpAmend)).Methods(http.MethodPost)
	r.HandleFunc("/Config.Read", a.read).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc("/Evacuation.Start/{zone}", a.evacuation(controlstate.OpEvacuate)).Methods(http.MethodPost)
	r.HandleFunc("/Evacuation.Finish/{zone}", a.evacuation(controlstate.OpReadmit)).Methods(http.MethodPost)
	r.HandleFunc("/status", a.status).Methods(http.MethodGet, http.MethodHead)
	if o.Backup != nil {
		r.Handle("/backup", o.Backup)
	}
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		refuse(w, http.StatusNotFound, "no such call: see the operator's API for the paths")
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		refuse(w, http.StatusMethodNotAllowed, "wrong method: changes are sent with POST, reads with GET")
	})
	return &handler{calls: r}
}

// order is a change on its way through the API.
type order struct {
	change   controlstate.Change
	arrived  time.Time // when it had come: its head, and the whole body of a configuration
	answerBy time.Time
}

// answerCutOff answers an order where this keeper has no way to the chain, so that the caller need not wait to hear that it
// was not taken. It tells whether it did.
func (a *api) answerCutOff(w http.ResponseWriter, change controlstate.Change) bool {
	if a.o.Partitioned == nil || !a.o.Partitioned() {
		return false
	}
	a.o.Log.WithFields(log.Fields{"op": change.Op, "base": change.Base, "zone": change.Zone}).
		Info("control: order not taken, this keeper has no way to the chain")
	unavailable(w, errCutOff.Error())
	return true
}

// submit brings a change of the configuration to the chain and answers for it. ok writes the answer of success.
func (a *api) submit(w http.ResponseWriter, r *http.Request, change controlstate.Change, ok func()) {
	if a.answerCutOff(w, change) {
		return
	}
	o := order{change: change, arrived: time.Now()}
	wait := chainWait
	o.answerBy = o.arrived.Add(answerWithin)
	if len(change.Body) > largeBody {
		wait = largeWait
		o.answerBy = o.arrived.Add(largeWait + deliveryWait)
	}
	ctx, cancel := context.WithDeadline(r.Context(), o.arrived.Add(wait))
	defer cancel()
	v, err := a.o.Chain.Submit(ctx, change)
	a.conclude(w, r, o, v, err, ok)
}

// conclude answers for an order. A 4xx is written only on a verdict, which a majority has confirmed.
func (a *api) conclude(w http.ResponseWriter, r *http.Request, o order, v controlstate.Verdict, err error, ok func()) {
	entry := a.o.Log.WithFields(log.Fields{"op": o.change.Op, "base": o.change.Base, "zone": o.change.Zone})
	if errors.Is(err, errGone) {
		entry.Info("control: order dropped, its caller has gone or waits too long")
		unavailable(w, errGone.Error())
		return
	}
	if err != nil {
		entry.WithError(err).Warn("control: change not acknowledged, it may or may not come about")
		unavailable(w, "the change could not be made durable in time and may or may not come about: send it again as it was")
		return
	}
	switch v.Kind {
	case controlstate.Accepted, controlstate.AlreadyApplied:
		if a.o.WaitDelivered != nil {
			ctx, cancel := context.WithTimeout(r.Context(), min(deliveryWait, a.o.AckTimeout/8, time.Until(o.answerBy)))
			a.o.WaitDelivered(ctx, v.Seq)
			cancel()
		}
		entry.WithFields(log.Fields{"seq": v.Seq, "ms": time.Since(o.arrived).Milliseconds()}).Info("control: change acknowledged")
		ok()
	case controlstate.Stale:
		body := map[string]any{"error": reason(v.Reason, "another version is current: read it and build on that")}
		// What lags behind the verdict would tell a revision of the past.
		if s := a.known(); s != nil && s.Config != nil && s.Seq >= v.Seq {
			body["revision"] = s.Config.Revision
		}
		entry.Info("control: change refused, another version is current")
		answer(w, http.StatusPreconditionFailed, body)
	case controlstate.Invalid:
		entry.WithField("reason", v.Reason).Info("control: change refused, it is invalid")
		refuse(w, http.StatusBadRequest, reason(v.Reason, "the change is invalid: check it against the operator's API"))
	case controlstate.Uncertain:
		entry.WithField("reason", v.Reason).Warn("control: change left without a clear answer")
		unavailable(w, reason(v.Reason, "whether the change was applied long ago cannot be told: read the configuration and compare"))
	case controlstate.Superseded:
		entry.Info("control: change came too late, its zone was changed since")
		unavailable(w, reason(v.Reason, "the zone was changed while this call was under way: send it again if it is still wanted"))
	default:
		entry.WithField("verdict", v.Kind).Error("control: unknown verdict")
		unavailable(w, "this keeper does not know the verdict on the change: send it again as it was, to another keeper")
	}
}

func (a *api) read(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), chainWait)
	defer cancel()
	s, err := a.o.Chain.Read(ctx)
	switch {
	case err != nil:
		if !errors.Is(err, context.Canceled) {
			a.o.Log.WithError(err).Warn("control: configuration not read")
		}
		unavailable(w, "the newest configuration could not be confirmed in time: ask again")
	case s == nil || s.Config == nil:
		unavailable(w, "no configuration has come yet: send one with POST /Config.Replace")
	default:
		header(w, len(s.Config.Raw))
		w.WriteHeader(http.StatusOK)
		if r.Method != http.MethodHead {
			_, _ = w.Write(s.Config.Raw)
		}
	}
}

func (a *api) status(w http.ResponseWriter, _ *http.Request) {
	var body any = struct{}{}
	if a.o.Status != nil {
		body = a.o.Status()
	}
	answer(w, http.StatusOK, body)
}

func reason(told, otherwise string) string {
	if told == "" {
		return otherwise
	}
	return told
}

func refuse(w http.ResponseWriter, status int, reason string) {
	answer(w, status, map[string]any{"error": reason})
}

// unavailable answers 503, at which callers move on to another keeper.
func unavailable(w http.ResponseWriter, reason string) {
	w.Header().Set("Retry-After", "0.2")
	refuse(w, http.StatusServiceUnavailable, reason)
}

func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"error":"the answer cannot be written as JSON: report it"}`)
	}
	header(w, len(data))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
