package control

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fastjson"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

func header(w http.ResponseWriter, length int) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(length))
	w.Header().Set("Cache-Control", "no-store")
}

// config takes a whole configuration or an amendment.
func (a *api) config(op controlstate.Op) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		base, err := baseVersion(r.Header)
		if err != nil {
			refuse(w, http.StatusBadRequest, err.Error())
			return
		}
		if r.ContentLength > maxBody {
			tooLarge(w)
			return
		}
		reserved := r.ContentLength
		if reserved < 0 {
			reserved = maxBody
		}
		if !a.bodies.reserve(reserved) {
			unavailable(w, "this keeper holds too many bodies: send the change again, or to another keeper")
			return
		}
		defer a.bodies.release(reserved)
		body, err := readBody(w, r)
		var large *http.MaxBytesError
		switch {
		case errors.As(err, &large):
			tooLarge(w)
			return
		case err != nil:
			// No 4xx: what the network cut short is to be sent again, and some callers give up at the third 4xx of any kind.
			w.Header().Set("Connection", "close")
			unavailable(w, "the body did not come whole in time: send the change again")
			return
		}
		a.submit(w, r, controlstate.Change{Op: op, Base: base, Body: body}, func() {
			answer(w, http.StatusOK, map[string]any{"revision": fastjson.GetInt(body, "revision")})
		})
	}
}

func tooLarge(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	refuse(w, http.StatusRequestEntityTooLarge,
		"the body has more than "+strconv.Itoa(maxBody)+" bytes: send the change in parts with POST /Config.Amend")
}

// baseVersion reads the version that a change builds on.
func baseVersion(h http.Header) (int64, error) {
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

// readBody reads a body within the bounds of size and time.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	rc := http.NewResponseController(w)
	// Writers that know no deadlines (those of tests) are bounded by whoever made them.
	if rc.SetReadDeadline(time.Now().Add(bodyTimeout)) == nil {
		defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	}
	in := http.MaxBytesReader(w, r.Body, maxBody)
	if r.ContentLength < 0 {
		return io.ReadAll(in)
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(in, body)
	return body, err
}

// budget bounds the bytes that all calls hold together.
type budget struct {
	mu   sync.Mutex
	left int64
}

func (b *budget) reserve(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.left {
		return false
	}
	b.left -= n
	return true
}

func (b *budget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left += n
}
