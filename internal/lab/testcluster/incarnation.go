package testcluster

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/testcluster/engine"
	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

const maxBodyBytes = 16 << 20 // of a request; what is beyond is not read

// incarnation serves the HTTP requests that come to a server between one start and its end.
type incarnation struct {
	ServerSpec
	server *Server
	id     string
	ctx    context.Context // ends with the incarnation
	relay  *relay          // in front of the listener; nil: callers reach it directly
}

// ServeHTTP implements http.Handler.
func (i *incarnation) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler) // the caller has gone before its request was complete
	}
	attemptID := r.Header.Get("X-Attempt-Id")
	if attemptID != "" {
		w.Header().Set("X-Attempt-Id", attemptID)
	}
	switch {
	case r.URL.Path == "/report":
		i.server.serveReport(w)
		return
	case r.Method == http.MethodGet && r.URL.Path == i.HealthPath && attemptID == "":
		i.server.serveHealth(w, i.id)
		return
	}
	arrival := i.newArrival(r, body)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != i.id {
		arrival.Rejected = http.StatusMisdirectedRequest
		i.server.env.Evidence.RecordArrival(arrival)
		w.Header().Set("X-Instance-Id", i.id)
		rejectNotExecuted(w, http.StatusMisdirectedRequest)
		return
	}
	i.handle(w, r, arrival) //nolint:contextcheck // the server starts again whether or not the request goes on
}

// newArrival returns the evidence of a request that has come.
func (i *incarnation) newArrival(r *http.Request, body []byte) *rules.Arrival {
	arrival := &rules.Arrival{At: i.server.env.Now(), ID: r.Header.Get("X-Attempt-Id"), Server: i.id, Service: i.Service, Zone: i.Zone, Region: i.Region,
		Method: r.Method, Path: r.URL.RequestURI(), Host: r.Host, Body: xxhash.Sum64(body), ExecutedAt: rules.Never, Ended: rules.Never}
	arrival.From, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
	arrival.Tenant, arrival.HasKey = strings.Join(r.Header.Values("X-Tenant"), ","), hasKeyField(r.Header)
	if i.relay != nil {
		arrival.Sent = max(1, arrival.At-i.relay.sentAgo(r.RemoteAddr, clock.Now()))
	}
	return arrival
}

// hasKeyField reports whether a header has a field X-Credential, also where its name is written with underscores or in other letters.
func hasKeyField(header http.Header) bool {
	for name := range header {
		if strings.EqualFold(strings.ReplaceAll(name, "_", "-"), "X-Credential") {
			return true
		}
	}
	return false
}

// admission is what became of a request at its arrival.
type admission struct {
	overloaded bool // the server warms up, and crashes of this request
	loseAnswer bool // the request runs, and its connection is reset in place of an answer
	key        uint64
	outputs    chan engine.Output // nil: the request was rejected
}

// handle runs a request, or rejects it.
func (i *incarnation) handle(w http.ResponseWriter, r *http.Request, arrival *rules.Arrival) {
	server := i.server
	job := i.parseJob(r)
	admitted := i.admit(w.Header(), job, arrival)
	server.env.Evidence.RecordArrival(arrival)
	switch {
	case admitted.overloaded:
		server.env.Evidence.Update(func() { arrival.Aborted = true })
		server.env.crashOverloaded(server)
		<-i.ctx.Done()
		panic(http.ErrAbortHandler)
	case arrival.Rejected != 0:
		rejectNotExecuted(w, arrival.Rejected)
		return
	}
	defer server.forgetRequest(admitted.key)
	seal := fmt.Sprintf("%s.%x.%016x", i.id, admitted.key, xxhash.Sum64String(arrival.ID+i.id))
	server.env.Evidence.Update(func() { arrival.Seal, arrival.LastEvent = seal, i.lastEventOf(job) })
	deadline, stop := deadlineOf(r.Header)
	defer stop()
	exchange := &serverExchange{incarnation: i, writer: w, request: r, arrival: arrival, seal: seal, key: admitted.key, outputs: admitted.outputs,
		deadline: deadline, loseAnswer: admitted.loseAnswer}
	if i.Engine != nil {
		exchange.serveStream()
	} else {
		exchange.servePlain()
	}
}

// lastEventOf returns the number of the last event of the complete answer, 1 for an answer that is not a stream.
func (i *incarnation) lastEventOf(job engine.Request) int {
	if i.Engine == nil {
		return 1
	}
	return engine.EventsOf(job.AnswerTokens, i.Engine.Stride)
}

// admit submits a request to the server's workload, unless the server rejects it or crashes of it. It sets the headers by which every answer
// reports the server's state.
func (i *incarnation) admit(header http.Header, job engine.Request, arrival *rules.Arrival) (admitted admission) {
	server := i.server
	server.mu.Lock()
	defer server.mu.Unlock()
	now := server.env.Now()
	arrival.WarmingUp, arrival.WarmUpLimit = server.WarmUpPerSecond > 0 && now < server.warmUntil, server.WarmUpPerSecond
	admitted.overloaded = arrival.WarmingUp && server.overloadsWarmUp(now)
	switch {
	case admitted.overloaded:
	case arrival.ID == "":
		arrival.Rejected = http.StatusBadRequest
	default:
		admitted.key, admitted.outputs = server.submit(now, job)
		if admitted.outputs == nil {
			arrival.Rejected = http.StatusServiceUnavailable
		}
	}
	server.setStateHeaders(header)
	admitted.loseAnswer = rand.Float64() < server.answerLossRate
	return admitted
}

// deadlineOf returns a channel that receives a value when the caller's time is over. Without X-Time-Left-Ms it never does.
func deadlineOf(header http.Header) (deadline <-chan time.Time, stop func()) {
	milliseconds, err := strconv.Atoi(header.Get("X-Time-Left-Ms"))
	if err != nil {
		return make(chan time.Time), func() {}
	}
	timer := time.NewTimer(ms(milliseconds))
	return timer.C, func() { timer.Stop() }
}
