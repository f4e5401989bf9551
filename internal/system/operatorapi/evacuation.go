package operatorapi

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// An evacuation, or its end, has no identity and no time at which it was sent: a request that was in transit for minutes looks like one
// that was just sent. So a request takes effect only with a fence, which its caller has received from a node: a request without one is
// redirected (307) to the same path with the fence as a parameter, which is the number of the newest record that a majority has confirmed
// after the request arrived.
//
// Claim: a request S that its caller has given up undoes no change F of the same zone that was requested after that and acknowledged,
// however long S, its redirected form S', any copy of either, and any end of a connection are delayed.
//
// Proof: S has no effect. S' carries the fence f of a redirect that the caller received before it gave up, so f was the number of a
// record that was committed by then. F was requested later, so its record has a higher number than f. Once F's record is committed, the
// zone was changed after f, and S' is superseded (controlstate.State.Check). A change that is in force already leaves a record as well,
// so this holds for every F that was acknowledged.
//
// No clock, timer or end of a connection takes part, so a process that is stalled with S in its sockets needs no protection.

// The bounds of a request that starts or ends an evacuation.
const (
	maxZoneNameBytes      = 128                    // longer names are rejected
	maxDiscardedBodyBytes = 64 << 10               // of a body, which these requests do not need to have
	discardBodyTimeout    = 200 * time.Millisecond // for such a body to arrive
)

// fenceParameter is the query parameter that carries the fence of a redirected request.
const fenceParameter = "fence"

// Reasons why a change was not submitted: it has not taken effect and never will.
var (
	errFenceInvalid = errors.New("the fence is not the number of a record: send the order without one")
	errPartitioned  = errors.New("this keeper does not reach the chain and has not passed this order on: send it again as it was, to another keeper")
)

// handleEvacuation serves POST /Evacuation.Start, after which no request is sent to the servers of a zone, and
// /Evacuation.Finish, which readmits the zone.
func (a *api) handleEvacuation(op controlstate.Op) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		receivedAt := time.Now()
		zone := mux.Vars(r)["zone"]
		if len(zone) > maxZoneNameBytes {
			writeError(w, http.StatusBadRequest, "the zone's name is too long: "+strconv.Itoa(maxZoneNameBytes)+" bytes are the most")
			return
		}
		change := controlstate.Change{Op: op, Zone: zone}
		if reason := change.Unrecordable(); reason != "" {
			writeError(w, http.StatusBadRequest, reason)
			return
		}
		fence, fenced, err := parseFence(r)
		if err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
		if err := discardBody(w, r); err != nil {
			writeDiscardError(w, err)
			return
		}
		request := changeRequest{change: change, receivedAt: receivedAt, respondBy: receivedAt.Add(responseTimeout),
			success: func() map[string]any { return map[string]any{} }}
		if a.rejectIfPartitioned(w, request.change) {
			return
		}
		ctx, cancel := context.WithDeadline(r.Context(), receivedAt.Add(chainTimeout))
		defer cancel()
		if !fenced || a.options.knobs.FenceByConfirmedState {
			confirmed, err := a.options.Chain.Read(ctx)
			if err != nil {
				a.respondToChange(w, r, request, controlstate.Verdict{}, err)
				return
			}
			fence = confirmed.Seq
		}
		if !fenced && !a.options.knobs.SubmitWithoutRedirect {
			a.redirectWithFence(w, r, request.change, fence)
			return
		}
		request.change.SetFence(fence)
		verdict, err := a.options.Chain.Submit(ctx, request.change)
		a.respondToChange(w, r, request, verdict, err)
	}
}

// parseFence returns the fence of a request. fenced is false if the request has none.
func parseFence(r *http.Request) (fence uint64, fenced bool, err error) {
	query, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return 0, false, errFenceInvalid
	}
	values, fenced := query[fenceParameter]
	if !fenced {
		return 0, false, nil
	}
	number, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || number < 0 || len(values) > 1 {
		return 0, false, errFenceInvalid
	}
	return uint64(number), true, nil
}

// redirectWithFence redirects a request to the same path, at the address that its caller used, with a fence.
func (a *api) redirectWithFence(w http.ResponseWriter, r *http.Request, change controlstate.Change, fence uint64) {
	fenced := url.URL{Scheme: "http", Host: r.Host, Path: r.URL.Path, RawPath: r.URL.RawPath,
		RawQuery: url.Values{fenceParameter: {strconv.FormatUint(fence, 10)}}.Encode()}
	a.logEntry(change).WithField("fence", fence).Debug("operatorapi: change redirected with a fence")
	w.Header().Set("Location", fenced.String())
	writeJSON(w, http.StatusTemporaryRedirect, map[string]any{"fence": fence})
}

// discardBody reads a body to its end, so that the connection can be used again.
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

// committedState returns the newest committed state of this node, or nil if there is none.
func (a *api) committedState() *controlstate.State {
	if a.options.CommittedState == nil {
		return nil
	}
	return a.options.CommittedState()
}
