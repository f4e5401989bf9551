package operatorapi

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fastjson"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// handleConfigChange serves POST /Config.Replace and /Config.Amend. A change of the configuration needs no separate fence: its base
// version serves as one.
func (a *api) handleConfigChange(op controlstate.Op) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		base, err := parseBaseVersion(r.Header)
		if err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
		if r.ContentLength > maxBodyBytes {
			writeBodyTooLarge(w)
			return
		}
		body, reserved, err := a.readBody(w, r)
		defer reserved.release()
		if err != nil {
			writeBodyError(w, err)
			return
		}
		a.submitConfigChange(w, r, controlstate.Change{Op: op, Base: base, Body: body})
	}
}

// writeBodyError writes the response to a change whose body could not be read.
func writeBodyError(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errTooManyBodies):
		closeConnection(w)
		writeUnavailable(w, errTooManyBodies.Error())
	case errors.As(err, &tooLarge):
		writeBodyTooLarge(w)
	default:
		// Not a 4xx: a body that the network truncated should be retried, and some callers give up at the third 4xx of any kind.
		closeConnection(w)
		writeUnavailable(w, "the body did not come whole in time: send the change again")
	}
}

// parseBaseVersion returns the version on which a change builds. Its errors go into the response and describe what is wrong with the
// header.
func parseBaseVersion(h http.Header) (int64, error) {
	values := h.Values("X-Base-Version")
	if len(values) != 1 {
		return 0, errors.New("X-Base-Version is missing or told twice: send the version that the change builds on, 0 for the first")
	}
	base, err := strconv.ParseInt(strings.TrimSpace(values[0]), 10, 64)
	if err != nil || base < 0 {
		return 0, errors.New("X-Base-Version is not a number of 0 or more: send the version that the change builds on")
	}
	return base, nil
}

// submitConfigChange submits a change of the configuration to the chain and writes the response.
func (a *api) submitConfigChange(w http.ResponseWriter, r *http.Request, change controlstate.Change) {
	if a.rejectIfPartitioned(w, change) {
		return
	}
	request := changeRequest{change: change, receivedAt: time.Now()}
	request.success = func() map[string]any {
		return map[string]any{"revision": fastjson.GetInt(change.Body, "revision")}
	}
	timeout := chainTimeout
	request.respondBy = request.receivedAt.Add(responseTimeout)
	if len(change.Body) > largeBodyBytes {
		timeout = largeChangeTimeout
		request.respondBy = request.receivedAt.Add(largeChangeTimeout + deliveryTimeout)
	}
	ctx, cancel := context.WithDeadline(r.Context(), request.receivedAt.Add(timeout))
	defer cancel()
	verdict, err := a.options.Chain.Submit(ctx, change)
	a.respondToChange(w, r, request, verdict, err)
}

// handleConfigRead serves GET /Config.Read with the configuration of a linearizable read, byte for byte as it was submitted.
func (a *api) handleConfigRead(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), chainTimeout)
	defer cancel()
	state, err := a.options.Chain.Read(ctx)
	switch {
	case err != nil:
		if !errors.Is(err, context.Canceled) {
			a.options.Log.WithError(err).Warn("operatorapi: configuration not read")
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
