package sidecar

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"gradeusher.example/gradeusher/internal/framing"
)

const (
	// socketsPerCall is how many descriptors a request may take: its client's connection, its attempt's, and one
	// that is being closed or idles.
	socketsPerCall = 3
	spareSockets   = 32              // for the listener, discovery and the runtime, or a share of all where that is more
	spareShare     = 8               // of the descriptors: what is being closed or idles at servers comes on top
	idleWithin     = 2 * time.Minute // a client's connection may idle
)

// server answers the application.
type server struct {
	host     *host
	config   *Config
	most     atomic.Int64 // requests held at once
	crowd    *crowd
	draining atomic.Bool  // for good
	leaving  *leaving     // when that began
	lame     atomic.Int64 // since when, in nanoseconds of Unix time, until staff end it; 0: not
	active   atomic.Int64 // handlers at work
	held     atomic.Int64 // requests
	counts   *counts
}

func newServer(c *Config, h *host) *server {
	s := &server{host: h, config: c, crowd: newCrowd(c.Sockets), counts: h.counts}
	s.leaving = &h.leaving
	s.resize(1)
	return s
}

// resize keeps to a part of the limits: to all of them, or to half where parts is 2.
func (s *server) resize(parts int) {
	most := (s.config.Sockets - max(spareSockets, s.config.Sockets/spareShare)) / parts / socketsPerCall
	if held := s.config.Limits.MostHeld; held > 0 {
		most = min(most, held)
	}
	s.most.Store(int64(most))
	s.crowd.resize(s.config.Sockets, parts > 1)
	s.host.upstream.room.most.Store(budgetOf(s.config.MemoryMB) / int64(parts))
}

// share keeps to half of the limits while another process stands beside this one.
func (s *server) share(beside bool) {
	parts := 1
	if beside {
		parts = 2
	}
	s.host.log.Info("limits", "parts", parts)
	s.resize(parts)
	setMemory(s.config.MemoryMB, 1/float64(parts))
}

// httpServer returns the HTTP server that serves s.
func (s *server) httpServer(log *slog.Logger) *http.Server {
	return &http.Server{Handler: s, ReadHeaderTimeout: headWithin, IdleTimeout: idleWithin, ConnContext: withConn,
		MaxHeaderBytes: mostHeader, DisableGeneralOptionsHandler: true, ConnState: s.crowd.note,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	s.part(w)
	conn := http.NewResponseController(w)
	// Danger: a client that does not read its answer would hold its connection for good.
	if err := conn.SetWriteDeadline(time.Now().Add(stallFor)); err != nil {
		return
	}
	var body *paced
	if r.ContentLength != 0 {
		body = newPaced(conn, r, s.leaving)
		// An answer need not wait for the body.
		if err := conn.EnableFullDuplex(); err != nil {
			return
		}
		defer body.linger()
	}
	switch {
	case r.URL.Path == "/healthz":
		s.health(w, r)
	case r.URL.Path == "/api" || strings.HasPrefix(r.URL.Path, "/api/"):
		s.api(w, r, conn, body)
	default:
		http.Error(w, "no such path", http.StatusNotFound)
	}
}

// health answers 200 once servers are known and as long as new connections are welcome.
func (s *server) health(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		(&fault{http.StatusMethodNotAllowed, "method not allowed", "GET, HEAD"}).write(w)
		return
	}
	if s.unready() != nil {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

func (s *server) api(w http.ResponseWriter, r *http.Request, conn *http.ResponseController, body *paced) {
	c, f := s.parse(r)
	if f == nil && s.leaving.late(time.Now()) {
		f = bodyFault(errLate)
	}
	if f == nil {
		f = s.take(c, r, body)
	}
	if f != nil {
		s.turnAway(w, c, f)
		return
	}
	defer s.host.upstream.room.give(c.booked)
	defer s.held.Add(-1)
	if c.rest == nil {
		s.counts.open.Add(1)
		defer s.counts.open.Add(-1)
	}
	a, ok := answer{kind: refused}, true
	if s.held.Add(1) > s.most.Load() {
		s.counts.busy.Add(1)
	} else {
		a, ok = s.host.serve(r.Context(), c)
	}
	if c.rest != nil {
		broken := c.rest.stop()
		if c.rest.whole() {
			defer s.counts.open.Add(-1)
		} else {
			w.Header().Set("Connection", "close")
		}
		if broken != nil {
			s.turnAway(w, c, bodyFault(broken))
			return
		}
	}
	if !ok {
		return
	}
	s.part(w)                                              // again: it may have begun since
	err := conn.SetWriteDeadline(time.Now().Add(stallFor)) // from now
	switch {
	case err != nil:
	case a.flow != nil:
		err = s.pass(w, r, a.flow, conn)
	default:
		if err = a.write(w); err == nil {
			err = conn.Flush()
		}
	}
	switch {
	case err == nil:
		s.counts.classes[c.class].answered(a.kind)
	case errors.Is(err, errBroken):
		s.counts.classes[c.class].answered(failed)
	default:
		s.counts.gone.Add(1)
	}
	if err != nil && a.flow != nil {
		if conn, ok := r.Context().Value(connKey{}).(*framing.ClientConn); ok && r.ProtoMinor == 0 {
			_ = conn.SetLinger(0) // where the end of the connection is that of the answer, a reset says that it is not whole
		}
		panic(http.ErrAbortHandler) // the way to have http.Server break an answer off
	}
}

// take reads a body as far as it is held. What is longer is left to come.
func (s *server) take(c *call, r *http.Request, body *paced) *fault {
	if r.ContentLength > mostLong {
		return bodyFault(new(http.MaxBytesError))
	}
	var err error
	if r.ContentLength != 0 {
		piece := pieces.Get().(*[flowPiece]byte)
		defer pieces.Put(piece)
		for full := false; err == nil && !full; {
			var n int
			n, err = body.Read(piece[:min(flowPiece, mostBody-len(c.body))])
			if s.host.upstream.room.take(n) {
				c.booked += n
			} else {
				full = true
			}
			c.body = append(c.body, piece[:n]...)
			full = full || len(c.body) == mostBody
		}
	}
	switch {
	case err == nil && r.ContentLength != 0:
		c.length = r.ContentLength
		c.rest = &upload{body: body, taken: func() { s.host.post(func() { s.host.balancer.BodyConsumed(c.number) }) },
			ended: func() {
				s.counts.open.Add(1)
				s.host.post(func() { s.host.bodyEnded(c) })
			}}
	case err != nil && err != io.EOF:
		s.host.upstream.room.give(c.booked)
		return bodyFault(err)
	default:
		c.deadline = s.leaving.by(time.Now().Add(c.wait))
	}
	return nil
}

// turnAway answers a request that is not taken.
func (s *server) turnAway(w http.ResponseWriter, c *call, f *fault) {
	if f.status == http.StatusServiceUnavailable {
		s.counts.busy.Add(1)
		s.counts.classes[c.class].answered(refused)
	} else {
		s.counts.improper.Add(1)
	}
	s.part(w)
	f.write(w)
}

// bodyFault is the answer to a client whose body has not come whole.
func bodyFault(err error) *fault {
	switch long := new(http.MaxBytesError); {
	case errors.As(err, &long):
		return &fault{http.StatusRequestEntityTooLarge, "body too large", ""}
	case errors.Is(err, errLate):
		return &fault{http.StatusServiceUnavailable, err.Error(), ""}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &fault{http.StatusRequestTimeout, "body too slow", ""}
	}
	return &fault{http.StatusBadRequest, "body ended early", ""}
}

// pass passes an answer on as it comes. It fails if the client has not got all of it.
func (s *server) pass(w http.ResponseWriter, r *http.Request, f *flow, conn *http.ResponseController) error {
	defer f.leave()
	stop := context.AfterFunc(r.Context(), f.leave)
	defer stop()
	// Danger: a guessed type would be another answer than the server's.
	w.Header()["Content-Type"] = nil
	if f.ctype != "" {
		w.Header().Set("Content-Type", f.ctype)
	}
	if f.length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(f.length, 10))
	}
	err := f.copy(w, func() error { return conn.SetWriteDeadline(time.Now().Add(stallFor)) }, conn.Flush)
	if err != nil {
		return err
	}
	return conn.Flush()
}
