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
	socketsPerCall      = 3
	spareSockets        = 32              // for the listener, discovery and the runtime, or a share of all where that is more
	spareSocketsDivisor = 8               // of the descriptors: what is being closed or idles at servers comes on top
	clientIdleTimeout   = 2 * time.Minute // a client's connection may idle
)

// server answers the application.
type server struct {
	host          *host
	config        *Config
	maxPending    atomic.Int64 // requests held at once
	connections   *connLimiter
	shuttingDown  atomic.Bool    // for good
	shutdown      *shutdownClock // when that began
	drainingSince atomic.Int64   // since when, in nanoseconds of Unix time, until staff end it; 0: not
	active        atomic.Int64   // handlers at work
	pending       atomic.Int64   // requests
	counts        *counts
}

func newServer(c *Config, h *host) *server {
	s := &server{host: h, config: c, connections: newConnLimiter(c.Sockets), counts: h.counts}
	s.shutdown = &h.shutdown
	s.resize(1)
	return s
}

// resize keeps to a part of the limits: to all of them, or to half where parts is 2.
func (s *server) resize(parts int) {
	most := (s.config.Sockets - max(spareSockets, s.config.Sockets/spareSocketsDivisor)) / parts / socketsPerCall
	if held := s.config.Limits.MostHeld; held > 0 {
		most = min(most, held)
	}
	s.maxPending.Store(int64(most))
	s.connections.resize(s.config.Sockets, parts > 1)
	s.host.upstream.budget.limit.Store(budgetOf(s.config.MemoryMB) / int64(parts))
}

// shareLimits keeps to half of the limits while another process stands beside this one.
func (s *server) shareLimits(beside bool) {
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
	return &http.Server{Handler: s, ReadHeaderTimeout: headTimeout, IdleTimeout: clientIdleTimeout, ConnContext: withConn,
		MaxHeaderBytes: maxHeaderBytes, DisableGeneralOptionsHandler: true, ConnState: s.connections.observeState,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	s.askToClose(w)
	conn := http.NewResponseController(w)
	// Danger: a client that does not read its answer would hold its connection for good.
	if err := conn.SetWriteDeadline(time.Now().Add(stallTimeout)); err != nil {
		return
	}
	var body *pacedBody
	if r.ContentLength != 0 {
		body = newPacedBody(conn, r, s.shutdown)
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
		(&requestError{http.StatusMethodNotAllowed, "method not allowed", "GET, HEAD"}).write(w)
		return
	}
	if s.notReady() != nil {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

func (s *server) api(w http.ResponseWriter, r *http.Request, conn *http.ResponseController, body *pacedBody) {
	c, f := s.parse(r)
	if f == nil && s.shutdown.isLate(time.Now()) {
		f = bodyError(errTooLate)
	}
	if f == nil {
		f = s.readBody(c, r, body)
	}
	if f != nil {
		s.reject(w, c, f)
		return
	}
	defer s.host.upstream.budget.release(c.reserved)
	defer s.pending.Add(-1)
	if c.rest == nil {
		s.counts.open.Add(1)
		defer s.counts.open.Add(-1)
	}
	a, ok := answer{kind: refused}, true
	if s.pending.Add(1) > s.maxPending.Load() {
		s.counts.busy.Add(1)
	} else {
		a, ok = s.host.serve(r.Context(), c)
	}
	if c.rest != nil {
		broken := c.rest.stop()
		if c.rest.isComplete() {
			defer s.counts.open.Add(-1)
		} else {
			w.Header().Set("Connection", "close")
		}
		if broken != nil {
			s.reject(w, c, bodyError(broken))
			return
		}
	}
	if !ok {
		return
	}
	s.askToClose(w)                                            // again: it may have begun since
	err := conn.SetWriteDeadline(time.Now().Add(stallTimeout)) // from now
	switch {
	case err != nil:
	case a.stream != nil:
		err = s.forwardStream(w, r, a.stream, conn)
	default:
		if err = a.write(w); err == nil {
			err = conn.Flush()
		}
	}
	switch {
	case err == nil:
		s.counts.classes[c.class].countAnswer(a.kind)
	case errors.Is(err, errIncomplete):
		s.counts.classes[c.class].countAnswer(failed)
	default:
		s.counts.gone.Add(1)
	}
	if err != nil && a.stream != nil {
		if conn, ok := r.Context().Value(connKey{}).(*framing.ClientConn); ok && r.ProtoMinor == 0 {
			_ = conn.SetLinger(0) // where the end of the connection is that of the answer, a reset says that it is not whole
		}
		panic(http.ErrAbortHandler) // the way to have http.Server break an answer off
	}
}

// readBody reads a body as far as it is held. What is longer is left to come.
func (s *server) readBody(c *call, r *http.Request, body *pacedBody) *requestError {
	if r.ContentLength > maxBodyBytes {
		return bodyError(new(http.MaxBytesError))
	}
	var err error
	if r.ContentLength != 0 {
		piece := chunks.Get().(*[chunkBytes]byte)
		defer chunks.Put(piece)
		for full := false; err == nil && !full; {
			var n int
			n, err = body.Read(piece[:min(chunkBytes, maxHeldBytes-len(c.body))])
			if s.host.upstream.budget.reserve(n) {
				c.reserved += n
			} else {
				full = true
			}
			c.body = append(c.body, piece[:n]...)
			full = full || len(c.body) == maxHeldBytes
		}
	}
	switch {
	case err == nil && r.ContentLength != 0:
		c.length = r.ContentLength
		c.rest = &upload{body: body, onFirstRead: func() { s.host.post(func() { s.host.balancer.BodyConsumed(c.number) }) },
			onComplete: func() {
				s.counts.open.Add(1)
				s.host.post(func() { s.host.bodyComplete(c) })
			}}
	case err != nil && err != io.EOF:
		s.host.upstream.budget.release(c.reserved)
		return bodyError(err)
	default:
		c.deadline = s.shutdown.bound(time.Now().Add(c.timeout))
	}
	return nil
}

// reject answers a request that is not taken.
func (s *server) reject(w http.ResponseWriter, c *call, f *requestError) {
	if f.status == http.StatusServiceUnavailable {
		s.counts.busy.Add(1)
		s.counts.classes[c.class].countAnswer(refused)
	} else {
		s.counts.improper.Add(1)
	}
	s.askToClose(w)
	f.write(w)
}

// bodyError is the answer to a client whose body has not come whole.
func bodyError(err error) *requestError {
	switch long := new(http.MaxBytesError); {
	case errors.As(err, &long):
		return &requestError{http.StatusRequestEntityTooLarge, "body too large", ""}
	case errors.Is(err, errTooLate):
		return &requestError{http.StatusServiceUnavailable, err.Error(), ""}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &requestError{http.StatusRequestTimeout, "body too slow", ""}
	}
	return &requestError{http.StatusBadRequest, "body ended early", ""}
}

// forwardStream passes an answer on as it comes. It fails if the client has not got all of it.
func (s *server) forwardStream(w http.ResponseWriter, r *http.Request, f *answerStream, conn *http.ResponseController) error {
	defer f.abandon()
	stop := context.AfterFunc(r.Context(), f.abandon)
	defer stop()
	// Danger: a guessed type would be another answer than the server's.
	w.Header()["Content-Type"] = nil
	if f.contentType != "" {
		w.Header().Set("Content-Type", f.contentType)
	}
	if f.length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(f.length, 10))
	}
	err := f.copy(w, func() error { return conn.SetWriteDeadline(time.Now().Add(stallTimeout)) }, conn.Flush)
	if err != nil {
		return err
	}
	return conn.Flush()
}
