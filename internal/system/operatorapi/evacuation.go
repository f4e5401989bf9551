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

// The bounds of an evacuation order.
const (
	maxZoneNameBytes      = 128                    // bytes of a zone's name
	maxDiscardedBodyBytes = 64 << 10               // bytes of a body, which these orders do not need
	discardBodyTimeout    = 200 * time.Millisecond // for such a body to come
)

// Kinds of errors of orders that are not passed on. They have not come about and will not.
var (
	errStalled     = errors.New("this keeper stood still, and the order may have waited since before that: send it again")
	errPartitioned = errors.New("this keeper does not reach the chain and has not passed this order on: send it again as it was, to another keeper")
	errCallerGone  = errors.New("the caller has gone, or waits too long: send the order again if it is still wanted")
)

// handleEvacuation takes the order to send nothing more to a zone, or its withdrawal.
func (a *api) handleEvacuation(op controlstate.Op) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// First of all: whatever delays the order from here on, it is fenced by what was known now.
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
			success: func() any { return struct{}{} }}
		verdict, err := a.submitWithFence(r.Context(), &request, fence)
		a.respondToChange(w, r, request, verdict, err)
	}
}

// stalled reports whether an order that is read now may have lain in the sockets of a stalled process.
func (a *api) stalled() bool {
	return a.options.Stalled != nil && a.options.Stalled() && !a.options.knobs.AcceptAfterStalls
}

// discardBody reads a body that nothing is done with. Until it is read, net/http does not watch whether the caller is there.
func discardBody(w http.ResponseWriter, r *http.Request) error {
	if r.ContentLength == 0 || r.Body == nil {
		return nil
	}
	defer setReadTimeout(w, discardBodyTimeout)()
	_, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxDiscardedBodyBytes))
	return err
}

// writeDiscardError answers an order whose body did not come to its end.
func writeDiscardError(w http.ResponseWriter, err error) {
	closeConnection(w)
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		writeError(w, http.StatusRequestEntityTooLarge, "the body is too large: send the order without one")
		return
	}
	writeUnavailable(w, "the body did not come whole in time: send the order again, without a body")
}

// submitWithFence brings an evacuation order to the chain with its fence, the number of the newest committed record that was
// known as the order came. First a majority is asked, and where the order may have been held up, the end of its connection
// is waited for: then a caller that hung up before the order's bytes arrived is known to have gone, and the order is dropped. An order that is superseded is not tried
// again with a newer fence: its caller, if it still waits, sends it again.
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
		request.change.Base = int64(fence.Seq)
	}
	return a.options.Chain.Submit(ctx, request.change)
}

// callerGone reports whether the caller has hung up, or the deadline of its order has passed. The clock is asked as well: after
// a stall the timer of ctx may not have run yet. So is the caller's context, as ctx, which is made of it, ends a moment later.
func callerGone(caller, ctx context.Context) bool {
	deadline, _ := ctx.Deadline()
	return caller.Err() != nil || !time.Now().Before(deadline)
}

// committedState is the committed state at hand, nil where there is none.
func (a *api) committedState() *controlstate.State {
	if a.options.CommittedState == nil {
		return nil
	}
	return a.options.CommittedState()
}
