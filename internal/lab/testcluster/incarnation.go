package testcluster

import (
	"context"
	"encoding/json"
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

const maxBodyBytes = 16 << 20

// incarnation is one life of a server, as its callers see it.
type incarnation struct {
	ServerSpec
	server *Server
	id     string
	ctx    context.Context
	relay  *relay // nil: callers reach it straight
}

// ServeHTTP implements http.Handler.
func (i *incarnation) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	server := i.server
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler) // the caller went away amid its request
	}
	header := w.Header()
	id := r.Header.Get("X-Attempt-Id")
	if id != "" {
		header.Set("X-Attempt-Id", id)
	}
	switch {
	case r.URL.Path == "/report":
		server.serveReport(w)
		return
	case r.Method == http.MethodGet && r.URL.Path == i.HealthPath && id == "":
		server.serveHealth(w, i.id)
		return
	}
	arrival := &rules.Arrival{At: server.env.Now(), ID: id, Server: i.id, Service: i.Service, Zone: i.Zone, Region: i.Region, Method: r.Method,
		Path: r.URL.RequestURI(), Host: r.Host, Body: xxhash.Sum64(body), ExecutedAt: rules.Never, Ended: rules.Never}
	arrival.From, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if i.relay != nil {
		arrival.Sent = max(1, arrival.At-i.relay.sentAgo(r.RemoteAddr, clock.Now()))
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != i.id {
		arrival.Rejected = http.StatusMisdirectedRequest
		server.env.Evidence.RecordArrival(arrival)
		header.Set("X-Instance-Id", i.id)
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	i.handle(w, r, arrival)
}

// admission is what became of a request at its arrival.
type admission struct {
	overloaded bool // the server warms up, and crashes of this request
	loseAnswer bool // the request runs, and its connection is reset in place of an answer
	key        uint64
	outputs    chan engine.Output // nil: it was rejected
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
		notExecuted(w, arrival.Rejected)
		return
	}
	defer func() {
		server.mu.Lock()
		delete(server.waiters, admitted.key)
		server.mu.Unlock()
	}()
	arrival.LastEvent = 1
	if i.Engine != nil {
		arrival.LastEvent = engine.EventsOf(job.AnswerTokens, i.Engine.Stride)
	}
	seal := fmt.Sprintf("%s.%x.%016x", i.id, admitted.key, xxhash.Sum64String(arrival.ID+i.id))
	server.env.Evidence.Update(func() { arrival.Seal = seal })
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

// admit submits a request to the server's workload, unless that cannot take it, and sets what every answer says of the server.
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

// deadlineOf returns a channel that a value comes on once the caller's deadline is over; without a deadline none comes.
func deadlineOf(header http.Header) (deadline <-chan time.Time, stop func()) {
	ms, err := strconv.Atoi(header.Get("X-Time-Left-Ms"))
	if err != nil {
		return make(chan time.Time), func() {}
	}
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	return timer.C, func() { timer.Stop() }
}

// overloadsWarmUp counts a request that came to a server that warms up, and reports whether the server crashes.
func (s *Server) overloadsWarmUp(now time.Duration) bool {
	s.recentArrivals = append(s.recentArrivals, now)
	for s.recentArrivals[0] <= now-time.Second {
		s.recentArrivals = s.recentArrivals[1:]
	}
	return s.WarmUpCrashFactor > 0 && float64(len(s.recentArrivals)) > s.WarmUpCrashFactor*s.WarmUpPerSecond
}

// submit hands a request to the machine; nil: the server is full.
func (s *Server) submit(now time.Duration, r engine.Request) (uint64, chan engine.Output) {
	s.lastKey++
	r.Key = s.lastKey
	outputs := make(chan engine.Output, r.AnswerTokens+3)
	s.deliver()
	s.waiters[s.lastKey] = outputs
	ok := false
	switch m := s.workload.(type) {
	case *engine.Engine:
		ok = m.Submit(now, r)
	case *plainServer:
		ok = m.submit(now, r.Key)
	}
	if !ok {
		delete(s.waiters, s.lastKey)
		return 0, nil
	}
	s.wakeRun()
	return s.lastKey, outputs
}

// parseJob reads what a request asks of a model server.
func (i *incarnation) parseJob(r *http.Request) engine.Request {
	if i.Engine == nil {
		return engine.Request{AnswerTokens: 1}
	}
	prompt := r.Header.Get("X-Prompt-Prefix")
	job := engine.Request{Parts: parsePromptParts(prompt), Priority: 5}
	in, maxTokens, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
	if n, err := strconv.Atoi(in); err == nil && len(job.Parts) == 0 {
		job.Parts = []engine.PromptPart{{ID: xxhash.Sum64String(r.Header.Get("X-Attempt-Id")), Tokens: n}}
	}
	n, err := strconv.Atoi(maxTokens)
	if err != nil || n < 1 {
		n = 1
	}
	job.AnswerTokens = AnswerTokens(prompt, n)
	job.ReceivedEvents, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
	job.ReceivedEvents = max(0, min(job.ReceivedEvents, engine.EventsOf(job.AnswerTokens, i.Engine.Stride)-1))
	if p, err := strconv.Atoi(r.Header.Get("Priority")); err == nil {
		job.Priority = p
	}
	return job
}

// AnswerTokens is how many tokens an answer to a prompt has, of the most that the request allows: the same at every server.
func AnswerTokens(prompt string, maxTokens int) int {
	return maxTokens/2 + 1 + int(xxhash.Sum64String(prompt)%uint64(maxTokens-maxTokens/2))
}

// parsePromptParts reads X-Prompt-Prefix.
func parsePromptParts(text string) []engine.PromptPart {
	var out []engine.PromptPart
	for one := range strings.SplitSeq(text, ",") {
		id, tokens, ok := strings.Cut(one, ":")
		n, err := strconv.ParseUint(id, 16, 64)
		size, err2 := strconv.Atoi(tokens)
		if !ok || err != nil || err2 != nil || size < 0 {
			break
		}
		out = append(out, engine.PromptPart{ID: n, Tokens: size})
	}
	return out
}

// setStateHeaders adds what every answer tells of the server.
func (s *Server) setStateHeaders(h http.Header) {
	if s.ReportsLoad {
		run, wait := s.workload.Load()
		h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", run, wait, s.slots()))
	}
	if s.IdleTimeout > 0 {
		h.Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(s.IdleTimeout.Seconds())))
	}
	if s.draining {
		h.Set("Connection", "close")
	}
}

func notExecuted(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "0.2")
	}
	w.WriteHeader(status)
}

func (s *Server) serveHealth(w http.ResponseWriter, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run, wait := s.workload.Load()
	s.setStateHeaders(w.Header())
	w.Header().Set("X-Instance-Id", id)
	if left := s.warmUntil - s.env.Now(); left > 0 {
		w.Header().Set("X-Cold-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	}
	switch {
	case run >= s.slots() && wait > 0:
		notExecuted(w, http.StatusServiceUnavailable)
	case s.draining:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveReport answers /report, as things stood a while ago.
func (s *Server) serveReport(w http.ResponseWriter) {
	s.mu.Lock()
	if s.engine == nil {
		s.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.deliver()
	now := s.env.Now()
	f := s.engine.Figures()
	r := report{at: now, Stage: "both", Models: models(), Used: f.Used, Capacity: s.Engine.MemoryTokens, Handled: f.Handled}
	r.Active, r.Queued = s.engine.Load()
	s.reports = append(s.reports, r)
	for len(s.reports) > 1 && s.reports[1].at <= now-reportLag {
		s.reports = s.reports[1:]
	}
	r = s.reports[0]
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r) // to a caller that has gone
}
