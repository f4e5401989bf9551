package testcluster

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// setStateHeaders sets the headers by which every answer reports the server's state. It is called with s.mu held.
func (s *Server) setStateHeaders(h http.Header) {
	if s.ReportsLoad {
		running, waiting := s.workload.Load()
		h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", running, waiting, s.Slots()))
	}
	if s.IdleTimeout > 0 {
		h.Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(s.IdleTimeout.Seconds())))
	}
	if s.draining {
		h.Set("Connection", "close")
	}
}

// rejectNotExecuted answers a request that was not executed.
func rejectNotExecuted(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "0.2")
	}
	w.WriteHeader(status)
}

// serveHealth answers a health check of the incarnation id.
func (s *Server) serveHealth(w http.ResponseWriter, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	running, waiting := s.workload.Load()
	s.setStateHeaders(w.Header())
	w.Header().Set("X-Instance-Id", id)
	if left := s.warmUntil - s.env.Now(); left > 0 {
		w.Header().Set("X-Cold-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	}
	switch {
	case running >= s.Slots() && waiting > 0:
		rejectNotExecuted(w, http.StatusServiceUnavailable)
	case s.draining:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// reportLag is by how much GET /report is out of date.
const reportLag = 200 * time.Millisecond

// serverReport is the answer of GET /report as of one moment.
type serverReport struct {
	at time.Duration

	Stage    string        `json:"stage"`
	Models   []listedModel `json:"models"`
	Busy     bool          `json:"saturated"` // always false: stand-ins do not saturate
	Orders   int           `json:"call_seq"`  // always 0: stand-ins take no orders
	Queued   int           `json:"queued"`
	Active   int           `json:"active"`
	Used     int64         `json:"cache_used"`     // tokens
	Capacity int64         `json:"cache_capacity"` // tokens
	Handled  int           `json:"handled"`
}

// serveReport answers GET /report by the newest report that is as old as reportLag, or the oldest where none is. A server without a model
// has none.
func (s *Server) serveReport(w http.ResponseWriter) {
	shown, ok := s.updateReports()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(shown) // It fails only if the caller has gone.
}

// updateReports records a report of the present, and returns the one to serve; ok is false for a server without a model.
func (s *Server) updateReports() (shown serverReport, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.engine == nil {
		return serverReport{}, false
	}
	s.deliver()
	now := s.env.Now()
	figures := s.engine.Figures()
	current := serverReport{at: now, Stage: modelStage, Models: listedModels(), Used: figures.Used, Capacity: s.Engine.MemoryTokens, Handled: figures.Handled}
	current.Active, current.Queued = s.engine.Load()
	s.reports = append(s.reports, current)
	for len(s.reports) > 1 && s.reports[1].at <= now-reportLag {
		s.reports = s.reports[1:]
	}
	return s.reports[0], true
}
