package operatorapi

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// The bounds of a request that starts or ends an evacuation.
const (
	maxZoneNameBytes      = 128                    // longer names are rejected
	maxDiscardedBodyBytes = 64 << 10               // of a body, which these requests do not need to have
	discardBodyTimeout    = 200 * time.Millisecond // for such a body to arrive
)

// Reasons why a change was not submitted: it has not taken effect and never will.
var (
	errStalled     = errors.New("this keeper stood still, and the order may have waited since before that: send it again")
	errPartitioned = errors.New("this keeper does not reach the chain and has not passed this order on: send it again as it was, to another keeper")
	errCallerGone  = errors.New("the caller has gone, or waits too long: send the order again if it is still wanted")
)

// handleEvacuation serves POST /Evacuation.Start, after which no request is sent to the servers of a zone, and
// /Evacuation.Finish, which readmits the zone.
func (a *api) handleEvacuation(op controlstate.Op) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// These are taken first, so that the request is fenced by the state known on its arrival, however long it is delayed after that.
		receivedAt, fence := time.Now(), a.committedState()
		zone := mux.Vars(r)["zone"]
		if len(zone) > maxZoneNameBytes {
			writeError(w, http.StatusBadRequest, "the zone's name is too long: "+strconv.Itoa(maxZoneNameBytes)+" bytes are the most")
			return
		}
		if a.stalled() {
			closeConnection(w)
			writeUnavailable(w, errStalled.Error())
			return
		}
		if err := discardBody(w, r); err != nil {
			writeDiscardError(w, err)
			return
		}
		change := controlstate.Change{Op: op, Zone: zone}
		if a.rejectIfPartitioned(w, change) {
			return
		}
		request := changeRequest{change: change, receivedAt: receivedAt, respondBy: receivedAt.Add(responseTimeout),
			success: func() map[string]any { return map[string]any{} }}
		verdict, err := a.submitWithFence(r.Context(), &request, fence)
		a.respondToChange(w, r, request, verdict, err)
	}
}

// stalled reports whether a request that is read now may have waited in a socket while the process was stalled.
func (a *api) stalled() bool {
	return a.options.Stalled != nil && a.options.Stalled() && !a.options.knobs.AcceptAfterStalls
}

// discardBody reads a body to its end. Until then net/http does not notice that the caller has closed the connection.
func discardBody(w http.ResponseWriter, r *http.Request) error {
	if r.ContentLength == 0 || r.Body == nil {
		return nil
	}
	defer setReadTimeout(w, discardBodyTimeout)()
	_, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxDiscardedBodyBytes))
	return err
}

// writeDiscardError writes the response to an evacuation whose body could not be read to its end.
func writeDiscardError(w http.ResponseWriter, err error) {
	closeConnection(w)
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		writeError(w, http.StatusRequestEntityTooLarge, "the body is too large: send the order without one")
		return
	}
	writeUnavailable(w, "the body did not come whole in time: send the order again, without a body")
}

// submitWithFence submits an evacuation with its fence, the number of the newest committed record that was known on arrival.
//
// Before that it makes a linearizable read and, if the request may have been delayed, waits for the end of its connection: a
// caller that disconnected before its bytes arrived is then known to have disconnected, and the request is dropped. A request that
// turns out to be superseded is not retried with a newer fence, since its caller may have disconnected without this node noticing;
// a caller that still waits retries by itself.
func (a *api) submitWithFence(caller context.Context, request *changeRequest, fence *controlstate.State) (controlstate.Verdict, error) {
	ctx, cancel := context.WithDeadline(caller, request.receivedAt.Add(chainTimeout))
	defer cancel()
	if mayHaveBeenDelayed(ctx, request.receivedAt) && !a.options.knobs.SkipConnectionEndWait {
		awaitConnectionEnd(ctx)
	}
	confirmed, err := a.options.Chain.Read(ctx)
	if err != nil {
		return controlstate.Verdict{}, err
	}
	if callerGone(caller, ctx) && !a.options.knobs.SubmitForGoneCallers {
		return controlstate.Verdict{}, errCallerGone
	}
	if fence == nil || a.options.knobs.FenceByConfirmedState {
		fence = confirmed
	}
	if fence != nil {
		request.change.SetFence(fence.Seq)
	}
	return a.options.Chain.Submit(ctx, request.change)
}

// callerGone reports whether the caller has disconnected or the deadline of its request has passed. It compares the deadline of ctx
// with the clock, since the timer of ctx may not have fired yet after a stall. It checks the context of the caller and not ctx, since
// ctx is derived from it and is canceled a moment later.
func callerGone(caller, ctx context.Context) bool {
	deadline, _ := ctx.Deadline()
	return caller.Err() != nil || !time.Now().Before(deadline)
}

// committedState returns the newest committed state of this node, or nil if there is none.
func (a *api) committedState() *controlstate.State {
	if a.options.CommittedState == nil {
		return nil
	}
	return a.options.CommittedState()
}
