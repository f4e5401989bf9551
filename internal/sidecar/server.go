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
	// socketsPerCall is how many descriptors a request may use: its client's connection, its attempt's,
	// and one that is being closed or idle.
	socketsPerCall      = 3
	spareSockets        = 32              // for the listener, discovery and the runtime, or a share of all descriptors if that is more
	spareSocketsDivisor = 8               // divisor for that share, which also covers server connections that are being closed or idle
	clientIdleTimeout   = 2 * time.Minute // how long a client's connection may be idle
)

// server is the HTTP server for the application.
type server struct {
	host          *host
	config        *Config
	maxPending    atomic.Int64 // limit of pending
	connections   *connLimiter
	shuttingDown  atomic.Bool    // never reset
	shutdown      *shutdownClock // when the shutdown began
	drainingSince atomic.Int64   // start of the operators' drain, in nanoseconds of Unix time; 0: not draining
	active        atomic.Int64   // running handlers
	pending       atomic.Int64   // requests being decided or answered
	counts        *counts
}

func newServer(c *Config, h *host) *server {
	s := &server{host: h, config: c, connections: newConnLimiter(c.Sockets), counts: h.counts}
	s.shutdown = &h.shutdown
	s.resize(1)
	return s
}

// resize applies 1/parts of the limits: all of them, or half if parts is 2.
func (s *server) resize(parts int) {
	maxPending := (s.config.Sockets - max(spareSockets, s.config.Sockets/spareSocketsDivisor)) / parts / socketsPerCall
	if limit := s.config.Limits.MaxPending; limit > 0 {
		maxPending = min(maxPending, limit)
	}
	s.maxPending.Store(int64(maxPending))
	s.connections.resize(s.config.Sockets, parts > 1)
	s.host.upstream.budget.limit.Store(bufferBudget(s.config.MemoryMB) / int64(parts))
}

// shareLimits halves the limits while another process of this sidecar runs.
func (s *server) shareLimits(hasSibling bool) {
	parts := 1
	if hasSibling {
		parts = 2
	}
	s.host.log.Info("limits: share changed", "parts", parts)
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
	// A client that does not read its answer would hold its connection for good.
	if err := conn.SetWriteDeadline(time.Now().Add(stallTimeout)); err != nil {
		return
	}
	var body *pacedBody
	if r.ContentLength != 0 {
		body = newPacedBody(conn, r, s.shutdown)
		// The answer may be sent before the body has arrived.
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

// health answers 200 if servers are known and new connections are welcome.
func (s *server) health(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		(&requestError{http.StatusMethodNotAllowed, "method not allowed", "GET, HEAD"}).write(w)
		return
	}
	if s.notReady() != nil {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

// api answers a request of the application.
func (s *server) api(w http.ResponseWriter, r *http.Request, conn *http.ResponseController, body *pacedBody) {
	received, rejection := s.receive(r, body)
	if rejection != nil {
		s.reject(w, received, rejection)
		return
	}
	defer s.host.upstream.budget.release(received.reserved)
	defer s.pending.Add(-1)
	if received.rest == nil {
		s.counts.open.Add(1)
		defer s.counts.open.Add(-1)
	}
	final, ok := s.decide(r.Context(), received)
	if received.rest != nil {
		broken := received.rest.stop()
		if received.rest.isComplete() {
			defer s.counts.open.Add(-1)
		} else {
			w.Header().Set("Connection", "close")
		}
		if broken != nil {
			s.reject(w, received, bodyError(broken))
			return
		}
	}
	if !ok {
		return
	}
	s.askToClose(w) // again, because a drain may have begun meanwhile
	err := s.writeAnswer(w, r, conn, final)
	s.countAnswer(received, final, err)
	if err != nil && final.stream != nil {
		abortAnswer(r)
	}
}

// receive reads a request up to the part of its body that is buffered.
func (s *server) receive(r *http.Request, body *pacedBody) (*call, *requestError) {
	c, rejection := s.parse(r)
	switch {
	case rejection != nil:
		return c, rejection
	case s.shutdown.isLate(time.Now()):
		return c, bodyError(errTooLate)
	}
	return c, s.readBody(c, r, body)
}

// decide has the host decide on a request, unless too many are pending. It returns false if the client has disconnected.
func (s *server) decide(ctx context.Context, c *call) (answer, bool) {
	if s.pending.Add(1) > s.maxPending.Load() {
		s.counts.busy.Add(1)
		return answer{kind: refused}, true
	}
	return s.host.serve(ctx, c)
}

// writeAnswer writes the final answer with a new write deadline. It fails if the client has not received all of it.
func (s *server) writeAnswer(w http.ResponseWriter, r *http.Request, conn *http.ResponseController, a answer) error {
	if err := conn.SetWriteDeadline(time.Now().Add(stallTimeout)); err != nil {
		return err
	}
	if a.stream != nil {
		return s.forwardStream(w, r, a.stream, conn)
	}
	if err := a.write(w); err != nil {
		return err
	}
	return conn.Flush()
}

// countAnswer counts a request by its answer and the error of writing it.
func (s *server) countAnswer(c *call, a answer, err error) {
	switch {
	case err == nil:
		s.counts.classes[c.class].countAnswer(a.kind)
	case errors.Is(err, errIncomplete):
		s.counts.classes[c.class].countAnswer(failed)
	default:
		s.counts.gone.Add(1)
	}
}

// abortAnswer closes a connection in the middle of an answer. In HTTP/1.0, where the end of the connection
// may also be the end of the answer, it resets the connection to show that the answer is incomplete.
func abortAnswer(r *http.Request) {
	if conn, ok := r.Context().Value(connKey{}).(*framing.ClientConn); ok && r.ProtoMinor == 0 {
		_ = conn.SetLinger(0)
	}
	panic(http.ErrAbortHandler) // how a handler aborts its answer in net/http
}

// readBody reads the part of a body that is buffered. The rest of a longer body is left to arrive.
func (s *server) readBody(received *call, r *http.Request, body *pacedBody) *requestError {
	if r.ContentLength > maxBodyBytes {
		return bodyError(new(http.MaxBytesError))
	}
	if r.ContentLength == 0 {
		received.deadline = s.shutdown.bound(time.Now().Add(received.timeout))
		return nil
	}
	switch err := s.bufferBody(received, body); {
	case err == nil:
		received.length = r.ContentLength
		received.rest = s.newUpload(received, body)
	case errors.Is(err, io.EOF):
		received.deadline = s.shutdown.bound(time.Now().Add(received.timeout))
	default:
		s.host.upstream.budget.release(received.reserved)
		return bodyError(err)
	}
	return nil
}

// bufferBody reads a body until it ends, with io.EOF or another error, or until no more of it may be buffered.
func (s *server) bufferBody(c *call, body *pacedBody) error {
	chunk := chunks.Get().(*[chunkBytes]byte)
	defer chunks.Put(chunk)
	for {
		n, err := body.Read(chunk[:min(chunkBytes, maxBufferedBytes-len(c.body))])
		reserved := s.host.upstream.budget.reserve(n)
		if reserved {
			c.reserved += n
		}
		c.body = append(c.body, chunk[:n]...)
		if err != nil || !reserved || len(c.body) == maxBufferedBytes {
			return err
		}
	}
}

// newUpload returns the rest of a body. The host is notified when reading it begins and when it is complete.
func (s *server) newUpload(c *call, body *pacedBody) *upload {
	return &upload{
		body: body,
		onFirstRead: func() {
			s.host.post(func() { s.host.balancer.BodyConsumed(c.number) })
		},
		onComplete: func() {
			s.counts.open.Add(1)
			s.host.post(func() { s.host.bodyComplete(c) })
		},
	}
}

// reject answers a request that is rejected.
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

// bodyError returns the answer to a client whose body has not arrived completely.
func bodyError(err error) *requestError {
	switch tooLong := new(http.MaxBytesError); {
	case errors.As(err, &tooLong):
		return &requestError{http.StatusRequestEntityTooLarge, "body too large", ""}
	case errors.Is(err, errTooLate):
		return &requestError{http.StatusServiceUnavailable, err.Error(), ""}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &requestError{http.StatusRequestTimeout, "body too slow", ""}
	}
	return &requestError{http.StatusBadRequest, "body ended early", ""}
}

// forwardStream writes an answer as it arrives. It fails if the client has not received all of it.
func (s *server) forwardStream(w http.ResponseWriter, r *http.Request, f *answerStream, conn *http.ResponseController) error {
	defer f.abandon()
	stop := context.AfterFunc(r.Context(), f.abandon)
	defer stop()
	// Otherwise net/http would guess a content type, and the answer would differ from the server's.
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
