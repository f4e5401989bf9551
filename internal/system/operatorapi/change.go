package operatorapi

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fastjson"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

func setResponseHeaders(w http.ResponseWriter, length int) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(length))
	w.Header().Set("Cache-Control", "no-store")
}

// handleConfigChange takes a whole configuration or an amendment.
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
		body, release, err := a.readBody(w, r)
		defer release()
		var large *http.MaxBytesError
		switch {
		case errors.Is(err, errTooManyBodies):
			w.Header().Set("Connection", "close")
			writeUnavailable(w, errTooManyBodies.Error())
			return
		case errors.As(err, &large):
			writeBodyTooLarge(w)
			return
		case err != nil:
			// No 4xx: what the network cut short is to be sent again, and some callers give up at the third 4xx of any kind.
			w.Header().Set("Connection", "close")
			writeUnavailable(w, "the body did not come whole in time: send the change again")
			return
		}
		a.submitConfigChange(w, r, controlstate.Change{Op: op, Base: base, Body: body}, func() {
			writeJSON(w, http.StatusOK, map[string]any{"revision": fastjson.GetInt(body, "revision")})
		})
	}
}

func writeBodyTooLarge(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	writeError(w, http.StatusRequestEntityTooLarge,
		"the body has more than "+strconv.Itoa(maxBodyBytes)+" bytes: send the change in parts with POST /Config.Amend")
}

// parseBaseVersion reads the version that a change builds on.
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
