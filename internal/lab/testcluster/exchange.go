package testcluster

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"gradeusher.example/gradeusher/internal/lab/testcluster/engine"
	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// serverExchange is one request that a server took, and its answer.
type serverExchange struct {
	incarnation *incarnation
	writer      http.ResponseWriter
	request     *http.Request
	arrival     *rules.Arrival
	seal        string
	key         uint64
	outputs     chan engine.Output
	deadline    <-chan time.Time
	loseAnswer  bool // the request runs, and its connection is reset in place of an answer
}

// nextOutput waits for what the machine makes of the request; false: it is over, and was answered if that could be.
func (e *serverExchange) nextOutput(headSent bool) (engine.Output, bool) {
	select {
	case o := <-e.outputs:
		return o, true
	case <-e.incarnation.ctx.Done():
		e.incarnation.server.env.Evidence.Update(func() { e.arrival.Aborted = true })
		panic(http.ErrAbortHandler) // the server is gone
	case <-e.request.Context().Done():
		e.cancel()
		panic(http.ErrAbortHandler)
	case <-e.deadline:
	}
	ran := e.cancel()
	switch {
	case headSent:
		panic(http.ErrAbortHandler) // the answer must not look complete
	case ran:
		e.writeHead(http.StatusGatewayTimeout)
		e.recordEnd(http.StatusGatewayTimeout, "", false)
	default:
		e.incarnation.server.env.Evidence.Update(func() { e.arrival.Rejected = http.StatusServiceUnavailable })
		rejectNotExecuted(e.writer, http.StatusServiceUnavailable)
	}
	return engine.Output{}, false
}

// cancel takes the request from the workload, and reports whether it has run.
func (e *serverExchange) cancel() bool {
	started := e.incarnation.server.cancelRequest(e.key)
	if started {
		e.recordStart(e.incarnation.server.env.Now())
	}
	return started
}

func (e *serverExchange) recordStart(at time.Duration) {
	e.incarnation.server.env.Evidence.Update(func() {
		if e.arrival.ExecutedAt == rules.Never {
			e.arrival.ExecutedAt = at
		}
	})
}

func (e *serverExchange) writeHead(status int) {
	e.writer.Header().Set("X-Server-Seal", e.seal)
	e.writer.WriteHeader(status)
}

func (e *serverExchange) recordEnd(status int, body string, whole bool) {
	e.incarnation.server.env.Evidence.Update(func() {
		e.arrival.Status, e.arrival.Complete, e.arrival.Ended = status, whole, e.incarnation.server.env.Now()
		e.arrival.Answer = xxhash.Sum64String(body)
	})
}

// resetConn resets the connection of a request that has run.
func (e *serverExchange) resetConn() {
	e.incarnation.server.env.Evidence.Update(func() { e.arrival.Aborted = true })
	if c, ok := e.request.Context().Value(connKey{}).(*net.TCPConn); ok {
		_ = c.SetLinger(0) // else it ends in order
	}
	panic(http.ErrAbortHandler)
}

// servePlain answers as a server without a model.
func (e *serverExchange) servePlain() {
	e.recordStart(e.incarnation.server.env.Now()) // one that still waits for a slot is not told apart from one that has it
	if _, ok := e.nextOutput(false); !ok {
		return
	}
	if e.loseAnswer {
		e.resetConn()
	}
	body := strings.Repeat(e.seal+"\n", 1+e.incarnation.Plain.Bytes/(len(e.seal)+1))
	e.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	e.writer.Header().Set("Content-Type", "text/plain")
	e.recordEnd(http.StatusOK, body, true)
	e.writeHead(http.StatusOK)
	_, _ = e.writer.Write([]byte(body)) // to a caller that has gone
}

// serveStream answers as a model server.
func (e *serverExchange) serveStream() {
	headSent := false
	flush := http.NewResponseController(e.writer)
	for {
		output, ok := e.nextOutput(headSent)
		if !ok {
			return
		}
		switch {
		case e.loseAnswer && output.Kind == engine.Done:
			e.resetConn()
		case e.loseAnswer && output.Kind == engine.Event:
			continue
		}
		switch output.Kind {
		case engine.Started:
			e.recordStart(output.At)
		case engine.Event:
			if !headSent {
				headSent = true
				e.writer.Header().Set("Content-Type", "text/event-stream")
				e.writer.Header().Set("Versions", "1")
				e.writeHead(http.StatusOK)
			}
			e.incarnation.server.env.Evidence.Update(func() { e.arrival.SentEvents = output.Event })
			text := fmt.Sprintf("id: %d\ndata: %s %d %x\n\n", output.Event, e.seal, output.Event, e.key*uint64(output.Event))
			if output.Event == 1 {
				text = "versions: 1\n" + text
			}
			if _, err := e.writer.Write([]byte(text)); err != nil {
				e.cancel()
				panic(http.ErrAbortHandler)
			}
			_ = flush.Flush() // a caller that has gone shows in the context
		case engine.Done:
			e.recordEnd(http.StatusOK, "", true)
			return
		}
	}
}
