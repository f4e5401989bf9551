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
	idleTimeout      = 10 * time.Second // after which a server closes a connection that idles
	probeCoreSeconds = 0.00018          // seconds of a core that a probe costs
	maxBodyBytes     = 1 << 20
)

// server is one stand-in server: a model, driven by the clock, behind listeners for each group of sidecars.
type server struct {
	spec      model.Spec
	net       *network
	listeners []*link.Listener
	ports     []int
	records   *ctl.Records
	onCrash   func(*server)
	startedAt int64

	mu      sync.Mutex
	model   *model.Server
	timer   *time.Timer
	key     uint64
	waiting map[uint64]chan model.Outcome
	conns   int

	stop      chan struct{} // the process is gone
	endOnce   sync.Once
	crashOnce sync.Once
	tasks     sync.WaitGroup
}

// startServer starts one at the given ports, or at free ones where they are 0.
func startServer(spec model.Spec, cold bool, ports []int, n *network, records *ctl.Records, fell func(*server)) (*server, error) {
	now := clock.Now()
	s := &server{spec: spec, net: n, records: records, onCrash: fell, startedAt: now, model: model.New(spec, now, cold),
		waiting: map[uint64]chan model.Outcome{}, stop: make(chan struct{})}
	s.timer = time.AfterFunc(time.Hour, s.tick)
	for _, port := range ports {
		l, err := link.Listen(port)
		if err != nil {
			s.end()
			return nil, fmt.Errorf("server %s: %w", spec.UID, err)
		}
		s.listeners = append(s.listeners, l)
		s.ports = append(s.ports, l.Port())
		s.tasks.Add(1)
		go s.accept(l)
	}
	return s, nil
}

// crash ends the process: its connections are reset and calls are refused.
func (s *server) crash() {
	s.end()
	s.net.forEach(nil, (*link.Link).Reset)
}

func (s *server) end() {
	s.endOnce.Do(func() {
		close(s.stop)
		s.timer.Stop()
		for _, l := range s.listeners {
			l.Close()
		}
	})
}

func (s *server) accept(l *link.Listener) {
	defer s.tasks.Done()
	for {
		c, near, err := l.Accept(s.stop)
		if err != nil {
			return // die, or no descriptors: then nobody is answered, which shows
		}
		s.mu.Lock()
		s.conns++
		crowded := s.spec.ConnCap > 0 && s.conns > s.spec.ConnCap
		s.mu.Unlock()
		w := link.Wrap(c, s.net.link(near))
		s.tasks.Add(1)
		go func() {
			defer s.tasks.Done()
			select {
			case <-s.stop: // the process ended between the call and here
				w.Reset()
			default:
			}
			s.serve(w, near, crowded)
			s.mu.Lock()
			s.conns--
			s.mu.Unlock()
		}()
	}
}

// updateModel changes the model, and then lets it go on.
func (s *server) updateModel(change func(now int64)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(clock.Now())
	s.advance()
}

func (s *server) tick() { s.updateModel(func(int64) {}) }

// advance hands out what ended and sets the clock for what is next. s.mu is held.
func (s *server) advance() {
	for _, d := range s.model.Advance(clock.Now()) {
		if c := s.waiting[d.Key]; c != nil {
			c <- d.Outcome
			delete(s.waiting, d.Key)
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

// serve answers what comes on one connection, until either side ends it.
func (s *server) serve(c *link.Conn, near int, crowded bool) {
	defer c.Close()
	in := bufio.NewReader(c)
	for first := true; ; first = false {
		idle := time.AfterFunc(idleTimeout, func() { c.Close() })
		_, err := in.Peek(1)
		if !idle.Stop() || err != nil {
			return
		}
		began := c.CameAt()
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBodyBytes)); err != nil {
			return
		}
		if !s.answer(c, r, ctl.Attempt{Server: s.spec.UID, Boot: s.startedAt, Near: near, ID: r.Header.Get("X-Request-ID"), First: began,
			Whole: clock.Now(), New: first}, crowded) {
			return
		}
		if r.Close {
			return
		}
	}
}

// answer answers one request. It tells false where the connection is over.
func (s *server) answer(c *link.Conn, r *http.Request, a ctl.Attempt, crowded bool) bool {
	switch r.URL.Path {
	case "/healthz", "/load":
		s.updateModel(func(now int64) { s.model.Arrive(now, model.Job{Work: probeCoreSeconds}) })
		return s.writeResponse(c, http.StatusOK, "", "ok\n")
	}
	if a.ID == "" {
		return s.writeResponse(c, http.StatusNotFound, "", "no id\n")
	}
	work, err := strconv.ParseInt(r.URL.Query().Get("work_ns"), 10, 64)
	if err != nil || work < 0 {
		return s.writeResponse(c, http.StatusBadRequest, "", "no work_ns\n")
	}
	a.Work = work
	job := model.Job{Work: float64(work) / 1e9}
	if ms, err := strconv.ParseInt(r.Header.Get("X-Timeout-Ms"), 10, 64); err == nil {
		job.Deadline = a.Whole + ms*int64(time.Millisecond)
	}
	if a.New {
		job.Work += s.spec.ConnWork.Seconds()
	}
	ended := make(chan model.Outcome, 1)
	taken := false
	s.updateModel(func(now int64) {
		s.key++
		job.Key = s.key
		if taken = !crowded && s.model.Arrive(now, job); taken {
			s.waiting[job.Key] = ended
		}
	})
	outcome := model.TurnedAway
	if taken {
		select {
		case outcome = <-ended:
		case <-c.Gone(): // the work goes on all the same
			a.End, a.How = c.ClosedAt(), "left"
			s.records.Add(a)
			return false
		case <-s.stop:
			a.End, a.How = clock.Now(), "died"
			s.records.Add(a)
			return false
		}
	}
	ok := false
	switch outcome {
	case model.Served:
		a.How = "served"
		ok = s.writeResponse(c, http.StatusOK, "", Body(s.spec.UID, a.ID))
	case model.Failed:
		a.How = "failed"
		ok = s.writeResponse(c, http.StatusInternalServerError, "", "error\n")
	default:
		a.How = "turned"
		ok = s.writeResponse(c, http.StatusServiceUnavailable, "X-Not-Processed: 1\r\n", "full\n")
	}
	at, flushed := c.Flushed()
	switch {
	case flushed && ok:
		a.End = at
	case c.ClosedAt() != 0:
		a.End = c.ClosedAt()
	default: // this end closed it
		a.End = clock.Now()
	}
	s.records.Add(a)
	return ok && flushed && !crowded
}

// Body is the body of a server's answer: no one else makes it.
func Body(uid, id string) string { return "recorded " + id + " by " + uid + "\n" }

func (s *server) writeResponse(c *link.Conn, status int, header, body string) bool {
	s.mu.Lock()
	load, ok := s.model.Report()
	s.mu.Unlock()
	if ok {
		// The names that the settings give (feedback.names).
		header += fmt.Sprintf("X-Server-Load: concurrent=%d,depth=%d,err_ps=%.3f\r\n", load.Held, load.Waiting, load.ErrorsPer)
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n%s", status, http.StatusText(status), len(body), header, body)
	return err == nil
}
