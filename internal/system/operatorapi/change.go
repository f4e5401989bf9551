package operatorapi

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// Reasons of error responses for verdicts that carry none. Each names the remedy.
const (
	reasonStale          = "another version is current: read it and build on that"
	reasonInvalid        = "the change is invalid: check it against the operator's API"
	reasonUncertain      = "whether the change was applied long ago cannot be told: read the configuration and compare"
	reasonSuperseded     = "the zone was changed while this call was under way: send it again if it is still wanted"
	reasonNotDurable     = "the change could not be made durable in time and may or may not come about: send it again as it was"
	reasonUnknownVerdict = "this keeper does not know the verdict on the change: send it again as it was, to another keeper"
)

// changeRequest is a request and the change that it submits.
type changeRequest struct {
	change     controlstate.Change
	receivedAt time.Time // when its header was read and, for a configuration, the entire body
	respondBy  time.Time
	success    func() map[string]any // returns the response body once the change is acknowledged
}

// rejectIfPartitioned answers a change immediately with 503 if this node is partitioned from the chain, so that the caller need not
// wait for a time-out. It reports whether it wrote a response.
func (a *api) rejectIfPartitioned(w http.ResponseWriter, change controlstate.Change) bool {
	if a.options.Partitioned == nil || !a.options.Partitioned() {
		return false
	}
	a.logEntry(change).Info("operatorapi: change not accepted, this node is partitioned from the chain")
	writeUnavailable(w, errPartitioned.Error())
	return true
}

// respondToChange writes the response for the outcome of a submitted change. It writes a 4xx only for a verdict, which a majority
// has confirmed.
func (a *api) respondToChange(w http.ResponseWriter, r *http.Request, request changeRequest, verdict controlstate.Verdict, err error) {
	entry := a.logEntry(request.change)
	if err != nil {
		cause := a.waitsFor()
		entry.WithError(err).WithField("waits_for", cause).Warn("operatorapi: change not acknowledged, its outcome is unknown")
		writeUnavailable(w, notDurableReason(cause))
		return
	}
	switch verdict.Kind {
	case controlstate.Accepted, controlstate.AlreadyApplied:
		a.waitDelivered(r.Context(), request, verdict.Seq)
		response := request.success()
		entry.WithFields(log.Fields(response)).WithFields(log.Fields{"seq": verdict.Seq, "ms": time.Since(request.receivedAt).Milliseconds()}).
			Info("operatorapi: change acknowledged")
		writeJSON(w, http.StatusOK, response)
	case controlstate.Stale:
		body := a.staleBody(verdict)
		entry.Info("operatorapi: change rejected, another version is current")
		writeJSON(w, http.StatusPreconditionFailed, body)
	case controlstate.Invalid:
		entry.WithField("reason", verdict.Reason).Info("operatorapi: change rejected, it is invalid")
		writeError(w, http.StatusBadRequest, cmp.Or(verdict.Reason, reasonInvalid))
	case controlstate.Uncertain:
		entry.WithField("reason", verdict.Reason).Warn("operatorapi: change left without a clear answer")
		writeUnavailable(w, cmp.Or(verdict.Reason, reasonUncertain))
	case controlstate.Superseded:
		entry.Info("operatorapi: change superseded, its zone was changed since")
		writeUnavailable(w, cmp.Or(verdict.Reason, reasonSuperseded))
	default:
		entry.WithField("verdict", verdict.Kind).Error("operatorapi: unknown verdict")
		writeUnavailable(w, reasonUnknownVerdict)
	}
}

// waitsFor describes what changes wait for; it returns an empty string if that is not known.
func (a *api) waitsFor() string {
	if a.options.WaitsFor == nil {
		return ""
	}
	return a.options.WaitsFor()
}

// notDurableReason returns the reason for the response to a change that was not durable in time. A known cause is appended.
func notDurableReason(cause string) string {
	if cause != "" {
		return reasonNotDurable + " (it waits for " + cause + ")"
	}
	return reasonNotDurable
}

// waitDelivered waits until the connected proxies have the record numbered seq, within the bounds of the request.
func (a *api) waitDelivered(ctx context.Context, request changeRequest, seq uint64) {
	if a.options.WaitDelivered == nil {
		return
	}
	timeout := min(deliveryTimeout, a.options.AckTimeout/8, time.Until(request.respondBy))
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a.options.WaitDelivered(ctx, seq)
}

// staleBody returns the body of a 412. It names the current revision only if this node's state contains the record on which the
// verdict depends: a state that lags behind that record would give an outdated revision.
func (a *api) staleBody(verdict controlstate.Verdict) map[string]any {
	body := map[string]any{"error": cmp.Or(verdict.Reason, reasonStale)}
	state := a.committedState()
	if state != nil && state.Config != nil && state.Seq >= verdict.Seq {
		body["revision"] = state.Config.Revision
	}
	return body
}

// logEntry returns a log entry with the fields of a change.
func (a *api) logEntry(change controlstate.Change) *log.Entry {
	return a.options.Log.WithFields(log.Fields{"op": change.Op, "base": change.Base, "zone": change.Zone})
}
