package standin

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/link"
	"gradeusher.example/gradeusher/internal/lab/model"
)

const (
	idleTimeout      = 10 * time.Second // after which a server closes an idle connection
	probeCoreSeconds = 0.00018          // work of a health check
	maxBodyBytes     = 1 << 20
)

// server is one stand-in server: a model, driven by the clock, behind a listener for each group of sidecars.
type server struct {
	spec      model.Spec
	net       *network
	listeners []*link.Listener
	ports     []int
	records   *ctl.Records
	onCrash   func(*server) // called once, when the model falls over
	startedAt int64         // ns of the lab's clock

	mu      sync.Mutex
	model   *model.Server
	timer   *time.Timer // fires when the model has something to do
	lastKey uint64      // of the jobs
	waiting map[uint64]chan model.Outcome
	conns   int // open connections

	stop      chan struct{} // closed when the process ends
	endOnce   sync.Once
	crashOnce sync.Once
	tasks     sync.WaitGroup
}

// startServer starts a server at the given ports, or at free ones where they are 0. onError is called with errors that its listeners outlive.
func startServer(spec model.Spec, cold bool, ports []int, n *network, records *ctl.Records, onCrash func(*server), onError func(error)) (*server, error) {
	now := clock.Now()
	started := &server{spec: spec, net: n, records: records, onCrash: onCrash, startedAt: now, model: model.New(spec, now, cold),
		waiting: map[uint64]chan model.Outcome{}, stop: make(chan struct{})}
	started.timer = time.AfterFunc(time.Hour, started.tick)
	for _, port := range ports {
		listener, err := link.Listen(port)
		if err != nil {
			started.end()
			return nil, fmt.Errorf("server %s: %w", spec.UID, err)
		}
		listener.OnError = onError
		started.listeners = append(started.listeners, listener)
		started.ports = append(started.ports, listener.Port())
		started.tasks.Add(1)
		go started.accept(listener)
	}
	return started, nil
}

// crash ends the process: its connections are reset and calls are refused.
func (s *server) crash() {
	s.end()
	s.net.forEach(nil, (*link.Link).Reset)
}

// end ends the process: it accepts no more calls, and jobs under way have no outcome.
func (s *server) end() {
	s.endOnce.Do(func() {
		close(s.stop)
		s.timer.Stop()
		for _, listener := range s.listeners {
			_ = listener.Close() // that it listens no more is all that matters
		}
	})
}

// accept serves the connections of a listener until the process ends.
func (s *server) accept(listener *link.Listener) {
	defer s.tasks.Done()
	for {
		accepted, near, err := listener.Accept(s.stop)
		if err != nil {
			return // the process ends
		}
		overloaded := s.addConn()
		conn := link.Wrap(accepted, s.net.link(near))
		s.tasks.Add(1)
		go func() {
			defer s.tasks.Done()
			select {
			case <-s.stop: // the process ended after the call was accepted
				conn.Reset()
			default:
			}
			s.serve(conn, near, overloaded)
			s.removeConn()
		}()
	}
}

// addConn counts a connection and reports whether the server has more than it can answer on.
func (s *server) addConn() (overloaded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns++
	return s.spec.ConnCap > 0 && s.conns > s.spec.ConnCap
}

// removeConn counts the end of a connection.
func (s *server) removeConn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns--
}

// updateModel changes the model and then advances it.
func (s *server) updateModel(change func(now int64)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(clock.Now())
	s.advance()
}

// tick advances the model at the time of its next event.
func (s *server) tick() { s.updateModel(func(int64) {}) }

// advance hands out the outcomes of jobs that ended and sets the timer for the next one. The caller holds s.mu.
func (s *server) advance() {
	for _, done := range s.model.Advance(clock.Now()) {
		if outcome := s.waiting[done.Key]; outcome != nil {
			outcome <- done.Outcome
			delete(s.waiting, done.Key)
		}
	}
	if s.model.Fallen() {
		s.crashOnce.Do(func() {
			s.tasks.Add(1)
			go func() {
				defer s.tasks.Done()
				s.onCrash(s)
			}()
		})
		return
	}
	if at, ok := s.model.Next(); ok {
		s.timer.Reset(max(0, clock.Until(at)))
	}
}

// serve answers requests on one connection until either side ends it.
func (s *server) serve(conn *link.Conn, near int, overloaded bool) {
	defer func() { _ = conn.Close() }() // the near end may have closed it already
	in := bufio.NewReader(conn)
	for first := true; ; first = false {
		idle := time.AfterFunc(idleTimeout, func() { _ = conn.Close() })
		_, err := in.Peek(1)
		if !idle.Stop() || err != nil {
			return
		}
		firstByteAt := conn.ReceivedAt()
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(request.Body, maxBodyBytes)); err != nil {
			return
		}
		attempt := ctl.Attempt{Server: s.spec.UID, Boot: s.startedAt, Near: near, ID: request.Header.Get("X-Request-ID"),
			First: firstByteAt, Received: clock.Now(), New: first}
		if !s.handleRequest(conn, request, attempt, overloaded) || request.Close {
			return
		}
	}
}

// handleRequest answers one request and reports whether the connection can carry another.
func (s *server) handleRequest(conn *link.Conn, r *http.Request, attempt ctl.Attempt, overloaded bool) (reusable bool) {
	switch r.URL.Path {
	case "/healthz", "/load":
		s.updateModel(func(now int64) { s.model.Arrive(now, model.Job{Work: probeCoreSeconds}) })
		return s.writeResponse(conn, http.StatusOK, "", "ok\n")
	}
	if attempt.ID == "" {
		return s.writeResponse(conn, http.StatusNotFound, "", "no id\n")
	}
	work, err := strconv.ParseInt(r.URL.Query().Get("work_ns"), 10, 64)
	if err != nil || work < 0 {
		return s.writeResponse(conn, http.StatusBadRequest, "", "no work_ns\n")
	}
	attempt.Work = work
	outcome, answered := s.runJob(conn, s.newJob(r, attempt), &attempt, overloaded)
	if !answered {
		s.records.Add(attempt)
		return false
	}
	written := s.writeOutcome(conn, outcome, &attempt)
	at, flushed := conn.WaitFlushed()
	switch {
	case flushed && written:
		attempt.End = at
	case conn.PeerClosedAt() != 0:
		attempt.End = conn.PeerClosedAt()
	default: // this end closed it
		attempt.End = clock.Now()
	}
	s.records.Add(attempt)
	return written && flushed && !overloaded
}

// newJob is the work of a request, with its deadline and what a new connection costs besides.
func (s *server) newJob(r *http.Request, attempt ctl.Attempt) model.Job {
	job := model.Job{Work: float64(attempt.Work) / 1e9}
	if timeoutMS, err := strconv.ParseInt(r.Header.Get("X-Timeout-Ms"), 10, 64); err == nil {
		job.Deadline = attempt.Received + timeoutMS*int64(time.Millisecond)
	}
	if attempt.New {
		job.Work += s.spec.ConnWork.Seconds()
	}
	return job
}

// runJob waits for a job's outcome. answered is false, and the attempt says why, where the near end hung up or the process ended
// before that.
func (s *server) runJob(conn *link.Conn, job model.Job, attempt *ctl.Attempt, overloaded bool) (outcome model.Outcome, answered bool) {
	ended := make(chan model.Outcome, 1)
	accepted := false
	s.updateModel(func(now int64) {
		s.lastKey++
		job.Key = s.lastKey
		accepted = !overloaded && s.model.Arrive(now, job)
		if accepted {
			s.waiting[job.Key] = ended
		}
	})
	if !accepted {
		return model.Rejected, true
	}
	select {
	case outcome = <-ended:
		return outcome, true
	case <-conn.PeerClosed(): // the work goes on all the same
		attempt.End, attempt.Outcome = conn.PeerClosedAt(), ctl.AttemptLeft
	case <-s.stop:
		attempt.End, attempt.Outcome = clock.Now(), ctl.AttemptDied
	}
	return outcome, false
}

// writeOutcome writes the response to an outcome and notes the outcome in the attempt.
func (s *server) writeOutcome(conn *link.Conn, outcome model.Outcome, attempt *ctl.Attempt) bool {
	switch outcome {
	case model.Served:
		attempt.Outcome = ctl.AttemptServed
		return s.writeResponse(conn, http.StatusOK, "", Body(s.spec.UID, attempt.ID))
	case model.Failed:
		attempt.Outcome = ctl.AttemptFailed
		return s.writeResponse(conn, http.StatusInternalServerError, "", "error\n")
	default:
		attempt.Outcome = ctl.AttemptRejected
		return s.writeResponse(conn, http.StatusServiceUnavailable, "X-Not-Processed: 1\r\n", "full\n")
	}
}

// Body is the body of a server's response to a request, which no other process makes.
func Body(uid, id string) string { return "recorded " + id + " by " + uid + "\n" }

// writeResponse writes a response, with the server's load report where the model makes one. headers are whole lines.
func (s *server) writeResponse(conn *link.Conn, status int, headers, body string) bool {
	s.mu.Lock()
	load, ok := s.model.Report()
	s.mu.Unlock()
	if ok {
		// The names that the settings give (feedback.names).
		headers += fmt.Sprintf("X-Server-Load: concurrent=%d,depth=%d,err_ps=%.3f\r\n", load.InFlight, load.Waiting, load.ErrorsPerSecond)
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n%s",
		status, http.StatusText(status), len(body), headers, body)
	return err == nil
}
