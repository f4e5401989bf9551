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

// serverExchange is one request that a server runs, and its answer. Where the answer must not look complete, its methods panic with
// http.ErrAbortHandler, which ends the connection.
type serverExchange struct {
	incarnation *incarnation
	writer      http.ResponseWriter
	request     *http.Request
	arrival     *rules.Arrival
	seal        string
	key         uint64 // in the workload
	outputs     chan engine.Output
	deadline    <-chan time.Time // receives a value when the caller's time is over
	loseAnswer  bool             // the request runs, and its connection is reset in place of an answer
}

// nextOutput waits for the next output of the workload. ok is false if the caller's time is over; then the request has been answered.
func (e *serverExchange) nextOutput(headSent bool) (output engine.Output, ok bool) {
	select {
	case output := <-e.outputs:
		return output, true
	case <-e.incarnation.ctx.Done():
		e.breakOff()
	case <-e.request.Context().Done():
		e.breakOff()
	case <-e.deadline:
	}
	started := e.cancel()
	switch {
	case headSent:
		panic(http.ErrAbortHandler)
	case started:
		e.writeHead(http.StatusGatewayTimeout)
		e.recordEnd(http.StatusGatewayTimeout, "", false)
	default:
		e.update(func(arrival *rules.Arrival) { arrival.Rejected = http.StatusServiceUnavailable })
		rejectNotExecuted(e.writer, http.StatusServiceUnavailable)
	}
	return engine.Output{}, false
}

// breakOff ends the exchange after the server has ended or the caller has gone. An end of the server ends the connections of its callers too, so
// that both may be seen: then it was the server that broke off.
func (e *serverExchange) breakOff() {
	if e.incarnation.ctx.Err() != nil {
		e.update(func(arrival *rules.Arrival) { arrival.Aborted = true })
	} else {
		e.cancel()
	}
	panic(http.ErrAbortHandler)
}

// cancel takes the request from the workload, and reports whether work on it has started.
func (e *serverExchange) cancel() (started bool) {
	started = e.incarnation.server.cancelRequest(e.key)
	if started {
		e.recordStart(e.now())
	}
	return started
}

func (e *serverExchange) now() time.Duration { return e.incarnation.server.env.Now() }

// update changes the evidence of the request.
func (e *serverExchange) update(change func(*rules.Arrival)) {
	e.incarnation.server.env.Evidence.Update(func() { change(e.arrival) })
}

// recordStart records when the request was executed, unless that is recorded already.
func (e *serverExchange) recordStart(at time.Duration) {
	e.update(func(arrival *rules.Arrival) {
		if arrival.ExecutedAt == rules.Never {
			arrival.ExecutedAt = at
		}
	})
}

// recordEnd records the answer. The body of a stream is not recorded.
func (e *serverExchange) recordEnd(status int, body string, complete bool) {
	e.update(func(arrival *rules.Arrival) {
		arrival.Status, arrival.Complete, arrival.Ended = status, complete, e.now()
		arrival.Answer = xxhash.Sum64String(body)
	})
}

func (e *serverExchange) writeHead(status int) {
	e.writer.Header().Set("X-Server-Seal", e.seal)
	e.writer.WriteHeader(status)
}

// resetConn resets the connection of a request that was executed, in place of an answer.
func (e *serverExchange) resetConn() {
	e.update(func(arrival *rules.Arrival) { arrival.Aborted = true })
	if conn, ok := e.request.Context().Value(connKey{}).(*net.TCPConn); ok {
		_ = conn.SetLinger(0) // Closing it then sends a reset.
	}
	panic(http.ErrAbortHandler)
}

// servePlain answers as a server without a model.
func (e *serverExchange) servePlain() {
	e.recordStart(e.now()) // A request that waits for a slot counts as executed; see plainWorkload.Cancel.
	if _, ok := e.nextOutput(false); !ok {
		return
	}
	if e.loseAnswer {
		e.resetConn()
	}
	body := strings.Repeat(e.seal+"\n", 1+e.incarnation.Plain.AnswerBytes/(len(e.seal)+1))
	e.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	e.writer.Header().Set("Content-Type", "text/plain")
	e.recordEnd(http.StatusOK, body, true)
	e.writeHead(http.StatusOK)
	_, _ = e.writer.Write([]byte(body)) // It fails only if the caller has gone.
}

// serveStream answers as a model server, by an event stream.
func (e *serverExchange) serveStream() {
	headSent := false
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
			e.writeEvent(output.Event)
		case engine.Done:
			e.recordEnd(http.StatusOK, "", true)
			return
		}
	}
}

// writeEvent sends the event of a number.
func (e *serverExchange) writeEvent(number int) {
	e.update(func(arrival *rules.Arrival) { arrival.SentEvents = number })
	text := fmt.Sprintf("id: %d\ndata: %s %d %x\n\n", number, e.seal, number, e.key*uint64(number))
	if number == 1 {
		text = "versions: 1\n" + text
	}
	if _, err := e.writer.Write([]byte(text)); err != nil {
		e.breakOff()
	}
	_ = http.NewResponseController(e.writer).Flush() // If the caller has gone, the request's context ends.
}
