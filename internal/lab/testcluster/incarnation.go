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

const mostBody = 16 << 20

// incarnation is one life of a server, as its callers see it.
type incarnation struct {
	ServerSpec
	s     *Server
	id    string
	ctx   context.Context
	relay *relay // nil: callers reach it straight
}

// ServeHTTP implements http.Handler.
func (i *incarnation) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := i.s
	body, err := io.ReadAll(io.LimitReader(r.Body, mostBody))
	if err != nil {
		panic(http.ErrAbortHandler) // the caller went away amid its request
	}
	h := w.Header()
	id := r.Header.Get("X-Attempt-Id")
	if id != "" {
		h.Set("X-Attempt-Id", id)
	}
	switch {
	case r.URL.Path == "/report":
		s.tell(w)
		return
	case r.Method == http.MethodGet && r.URL.Path == i.HealthPath && id == "":
		s.health(w, i.id)
		return
	}
	a := &rules.Arrival{At: s.w.Now(), ID: id, Server: i.id, Service: i.Service, Zone: i.Zone, Region: i.Region, Method: r.Method,
		Path: r.URL.RequestURI(), Host: r.Host, Body: xxhash.Sum64(body), Ran: rules.Never, Ended: rules.Never}
	a.From, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if i.relay != nil {
		a.Sent = max(1, a.At-i.relay.sentAgo(r.RemoteAddr, clock.Now()))
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != i.id {
		a.Rejected = http.StatusMisdirectedRequest
		s.w.Evidence.Arrive(a)
		h.Set("X-Instance-Id", i.id)
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	i.take(w, r, a)
}

// take has a request run, or turns it away.
func (i *incarnation) take(w http.ResponseWriter, r *http.Request, a *rules.Arrival) {
	s := i.s
	s.mu.Lock()
	now := s.w.Now()
	a.Cold, a.Bound = s.ColdPerSecond > 0 && now < s.coldTill, s.ColdPerSecond
	falls := a.Cold && s.crowd(now)
	var key uint64
	var outputs chan engine.Output
	job := i.job(r)
	switch {
	case falls:
	case a.ID == "":
		a.Rejected = http.StatusBadRequest
	default:
		if key, outputs = s.begin(now, job); outputs == nil {
			a.Rejected = http.StatusServiceUnavailable
		}
	}
	s.hint(w.Header())
	lost := rand.Float64() < s.losing
	s.mu.Unlock()
	s.w.Evidence.Arrive(a)
	switch {
	case falls:
		s.w.Evidence.Note(func() { a.Broke = true })
		s.w.fall(s)
		<-i.ctx.Done()
		panic(http.ErrAbortHandler)
	case a.Rejected != 0:
		notExecuted(w, a.Rejected)
		return
	}
	defer func() {
		s.mu.Lock()
		delete(s.waiters, key)
		s.mu.Unlock()
	}()
	a.Final = 1
	if i.Engine != nil {
		a.Final = engine.Events(job.Out, i.Engine.Stride)
	}
	seal := fmt.Sprintf("%s.%x.%016x", i.id, key, xxhash.Sum64String(a.ID+i.id))
	s.w.Evidence.Note(func() { a.Seal = seal })
	late := make(<-chan time.Time)
	if ms, err := strconv.Atoi(r.Header.Get("X-Time-Left-Ms")); err == nil {
		t := time.NewTimer(time.Duration(ms) * time.Millisecond)
		defer t.Stop()
		late = t.C
	}
	e := &exchange{i: i, w: w, r: r, a: a, seal: seal, key: key, outputs: outputs, late: late, lost: lost}
	if i.Engine != nil {
		e.stream()
	} else {
		e.whole()
	}
}

// crowd counts a request that came to a cold server, and tells whether the server falls over.
func (s *Server) crowd(now time.Duration) bool {
	s.recent = append(s.recent, now)
	for s.recent[0] <= now-time.Second {
		s.recent = s.recent[1:]
	}
	return s.ColdFall > 0 && float64(len(s.recent)) > s.ColdFall*s.ColdPerSecond
}

// begin hands a request to the machine; nil: the server is full.
func (s *Server) begin(now time.Duration, r engine.Request) (uint64, chan engine.Output) {
	s.key++
	r.Key = s.key
	outputs := make(chan engine.Output, r.Out+3)
	s.deliver()
	s.waiters[s.key] = outputs
	ok := false
	switch m := s.work.(type) {
	case *engine.Engine:
		ok = m.Arrive(now, r)
	case *plain:
		ok = m.arrive(now, r.Key)
	}
	if !ok {
		delete(s.waiters, s.key)
		return 0, nil
	}
	s.stir()
	return s.key, outputs
}

// job reads what a request asks of a model server.
func (i *incarnation) job(r *http.Request) engine.Request {
	if i.Engine == nil {
		return engine.Request{Out: 1}
	}
	prompt := r.Header.Get("X-Prompt-Prefix")
	job := engine.Request{Parts: parts(prompt), Priority: 5}
	in, most, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
	if n, err := strconv.Atoi(in); err == nil && len(job.Parts) == 0 {
		job.Parts = []engine.Part{{ID: xxhash.Sum64String(r.Header.Get("X-Attempt-Id")), Tokens: n}}
	}
	n, err := strconv.Atoi(most)
	if err != nil || n < 1 {
		n = 1
	}
	job.Out = Made(prompt, n)
	job.Had, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
	job.Had = max(0, min(job.Had, engine.Events(job.Out, i.Engine.Stride)-1))
	if p, err := strconv.Atoi(r.Header.Get("Priority")); err == nil {
		job.Priority = p
	}
	return job
}

// Made is how many tokens an answer to a prompt has, of the most that the request allows: the same at every server.
func Made(prompt string, most int) int {
	return most/2 + 1 + int(xxhash.Sum64String(prompt)%uint64(most-most/2))
}

// parts reads X-Prompt-Prefix.
func parts(text string) []engine.Part {
	var out []engine.Part
	for one := range strings.SplitSeq(text, ",") {
		id, tokens, ok := strings.Cut(one, ":")
		n, err := strconv.ParseUint(id, 16, 64)
		size, err2 := strconv.Atoi(tokens)
		if !ok || err != nil || err2 != nil || size < 0 {
			break
		}
		out = append(out, engine.Part{ID: n, Tokens: size})
	}
	return out
}

// hint adds what every answer tells of the server.
func (s *Server) hint(h http.Header) {
	if s.TellsLoad {
		run, wait := s.work.Load()
		h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", run, wait, s.slots()))
	}
	if s.Idle > 0 {
		h.Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(s.Idle.Seconds())))
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

func (s *Server) health(w http.ResponseWriter, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run, wait := s.work.Load()
	s.hint(w.Header())
	w.Header().Set("X-Instance-Id", id)
	if left := s.coldTill - s.w.Now(); left > 0 {
		w.Header().Set("X-Cold-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	}
	switch {
	case run >= s.slots() && wait > 0:
		notExecuted(w, http.StatusServiceUnavailable)
	case s.draining:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// tell answers /report, as things stood a while ago.
func (s *Server) tell(w http.ResponseWriter) {
	s.mu.Lock()
	if s.engine == nil {
		s.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.deliver()
	now := s.w.Now()
	f := s.engine.Figures()
	r := report{at: now, Stage: "both", Models: models(), Used: f.Used, Capacity: s.Engine.Memory, Handled: f.Handled}
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
