package testcluster

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"gradeusher.example/gradeusher/internal/lab/model"
	"gradeusher.example/gradeusher/internal/lab/testcluster/engine"
	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// exchange is one request that a server took, and its answer.
type exchange struct {
	i       *incarnation
	w       http.ResponseWriter
	r       *http.Request
	a       *rules.Arrival
	seal    string
	key     uint64
	outputs chan engine.Output
	late    <-chan time.Time
	lost    bool // the request runs, and its connection is reset in place of an answer
}

// next waits for what the machine makes of the request; false: it is over, and was answered if that could be.
func (e *exchange) next(headSent bool) (engine.Output, bool) {
	select {
	case o := <-e.outputs:
		return o, true
	case <-e.i.ctx.Done():
		e.i.s.w.Evidence.Note(func() { e.a.Broke = true })
		panic(http.ErrAbortHandler) // the server is gone
	case <-e.r.Context().Done():
		e.drop()
		panic(http.ErrAbortHandler)
	case <-e.late:
	}
	ran := e.drop()
	switch {
	case headSent:
		panic(http.ErrAbortHandler) // the answer must not look complete
	case ran:
		e.head(http.StatusGatewayTimeout)
		e.end(http.StatusGatewayTimeout, "", false)
	default:
		e.i.s.w.Evidence.Note(func() { e.a.Rejected = http.StatusServiceUnavailable })
		notExecuted(e.w, http.StatusServiceUnavailable)
	}
	return engine.Output{}, false
}

// drop takes the request from the machine, and tells whether it has run.
func (e *exchange) drop() bool {
	s := e.i.s
	s.mu.Lock()
	started := s.work.Cancel(s.w.Now(), e.key)
	s.mu.Unlock()
	s.stir()
	if started {
		e.ran(s.w.Now())
	}
	return started
}

func (e *exchange) ran(at time.Duration) {
	e.i.s.w.Evidence.Note(func() {
		if e.a.Ran == rules.Never {
			e.a.Ran = at
		}
	})
}

func (e *exchange) head(status int) {
	e.w.Header().Set("X-Server-Seal", e.seal)
	e.w.WriteHeader(status)
}

func (e *exchange) end(status int, body string, whole bool) {
	e.i.s.w.Evidence.Note(func() {
		e.a.Status, e.a.Whole, e.a.Ended = status, whole, e.i.s.w.Now()
		e.a.Answer = xxhash.Sum64String(body)
	})
}

// lose resets the connection of a request that has run.
func (e *exchange) lose() {
	e.i.s.w.Evidence.Note(func() { e.a.Broke = true })
	if c, ok := e.r.Context().Value(connKey{}).(*net.TCPConn); ok {
		_ = c.SetLinger(0) // else it ends in order
	}
	panic(http.ErrAbortHandler)
}

// whole answers as a server without a model.
func (e *exchange) whole() {
	e.ran(e.i.s.w.Now()) // one that still waits for a slot is not told apart from one that has it
	if _, ok := e.next(false); !ok {
		return
	}
	if e.lost {
		e.lose()
	}
	body := strings.Repeat(e.seal+"\n", 1+e.i.Plain.Bytes/(len(e.seal)+1))
	e.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	e.w.Header().Set("Content-Type", "text/plain")
	e.end(http.StatusOK, body, true)
	e.head(http.StatusOK)
	_, _ = e.w.Write([]byte(body)) // to a caller that has gone
}

// stream answers as a model server.
func (e *exchange) stream() {
	headSent := false
	flush := http.NewResponseController(e.w)
	for {
		o, ok := e.next(headSent)
		if !ok {
			return
		}
		switch {
		case e.lost && o.Kind == engine.Done:
			e.lose()
		case e.lost && o.Kind == engine.Event:
			continue
		}
		switch o.Kind {
		case engine.Started:
			e.ran(o.At)
		case engine.Event:
			if !headSent {
				headSent = true
				e.w.Header().Set("Content-Type", "text/event-stream")
				e.w.Header().Set("Versions", "1")
				e.head(http.StatusOK)
			}
			e.i.s.w.Evidence.Note(func() { e.a.Made = o.Event })
			text := fmt.Sprintf("id: %d\ndata: %s %d %x\n\n", o.Event, e.seal, o.Event, e.key*uint64(o.Event))
			if o.Event == 1 {
				text = "versions: 1\n" + text
			}
			if _, err := e.w.Write([]byte(text)); err != nil {
				e.drop()
				panic(http.ErrAbortHandler)
			}
			_ = flush.Flush() // a caller that has gone shows in the context
		case engine.Done:
			e.end(http.StatusOK, "", true)
			return
		}
	}
}

// arrive hands a request to a server without a model.
func (p *plain) arrive(now time.Duration, key uint64) bool {
	return p.Arrive(int64(now), model.Job{Key: key, Work: p.spec.Work.Seconds()})
}
