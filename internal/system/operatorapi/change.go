package operatorapi

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

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
