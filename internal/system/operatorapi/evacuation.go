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
	maxZone      = 128                    // bytes of a zone's name
	maxIgnored   = 64 << 10               // bytes of a body, which these orders do not need
	ignoreWithin = 200 * time.Millisecond // for such a body to come
)

// Kinds of errors of orders that are not passed on. They have not come about and will not.
var (
	errStalled = errors.New("this keeper stood still, and the order may have waited since before that: send it again")
	errCutOff  = errors.New("this keeper does not reach the chain and has not passed this order on: send it again as it was, to another keeper")
	errGone    = errors.New("the caller has gone, or waits too long: send the order again if it is still wanted")
)

// evacuation takes the order to send nothing more to a zone, or its withdrawal.
func (a *api) evacuation(op controlstate.Op) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// First of all: whatever delays the order from here on, it is fenced by what was known now.
		arrived, fence := time.Now(), a.known()
		zone := mux.Vars(r)["zone"]
		if len(zone) > maxZone {
			refuse(w, http.StatusBadRequest, "the zone's name is too long: "+strconv.Itoa(maxZone)+" bytes are the most")
			return
		}
		if a.o.Stalled != nil && a.o.Stalled() && !a.o.hooks.ignoreStalls {
			w.Header().Set("Connection", "close")
			unavailable(w, errStalled.Error())
			return
		}
		var large *http.MaxBytesError
		if err := ignoreBody(w, r); errors.As(err, &large) {
			w.Header().Set("Connection", "close")
			refuse(w, http.StatusRequestEntityTooLarge, "the body is too large: send the order without one")
			return
		} else if err != nil {
			w.Header().Set("Connection", "close")
			unavailable(w, "the body did not come whole in time: send the order again, without a body")
			return
		}
		change := controlstate.Change{Op: op, Zone: zone}
		if a.answerCutOff(w, change) {
			return
		}
		o := order{change: change, arrived: arrived, answerBy: arrived.Add(answerWithin)}
		verdict, err := a.submitFenced(r.Context(), &o, fence)
		a.conclude(w, r, o, verdict, err, func() { answer(w, http.StatusOK, struct{}{}) })
	}
}

// ignoreBody reads a body that nothing is done with. Until it is read, net/http does not watch whether the caller is there.
func ignoreBody(w http.ResponseWriter, r *http.Request) error {
	if r.ContentLength == 0 || r.Body == nil {
		return nil
	}
	rc := http.NewResponseController(w)
	if rc.SetReadDeadline(time.Now().Add(ignoreWithin)) == nil {
		defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	}
	_, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxIgnored))
	return err
}

// submitFenced brings an evacuation order to the chain with its fence, the number of the newest committed record that was
// known as the order came. First a majority is asked, and where the order may have been held up, the end of its connection
// is waited for: then a caller that hung up before the order's bytes arrived is known to have gone, and the order is dropped. An order that is superseded is not tried
// again with a newer fence: its caller, if it still waits, sends it again.
func (a *api) submitFenced(caller context.Context, o *order, fence *controlstate.State) (controlstate.Verdict, error) {
	ctx, cancel := context.WithDeadline(caller, o.arrived.Add(chainWait))
	defer cancel()
	if heldUp(ctx, o.arrived) && !a.o.hooks.ignoreWaits {
		awaitEnd(ctx)
	}
	confirmed, err := a.o.Chain.Read(ctx)
	if err != nil {
		return controlstate.Verdict{}, err
	}
	// The clock is asked as well: after a stall its timers may not have run yet. So is the caller's context, as the one made of it
	// ends a moment later.
	if deadline, _ := ctx.Deadline(); (caller.Err() != nil || !time.Now().Before(deadline)) && !a.o.hooks.ignoreCallers {
		return controlstate.Verdict{}, errGone
	}
	if fence == nil || a.o.hooks.lateFence {
		fence = confirmed
	}
	if fence != nil {
		o.change.Base = int64(fence.Seq)
	}
	return a.o.Chain.Submit(ctx, o.change)
}

// known is the committed state at hand, nil where there is none.
func (a *api) known() *controlstate.State {
	if a.o.Current == nil {
		return nil
	}
	return a.o.Current()
}
