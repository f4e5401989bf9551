package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// model is a stand-in for one server. It runs up to slots requests at once, queues a few more and turns the rest away.
type model struct {
	rec     *record
	id      string
	entry   *listEntry
	server  *http.Server
	slots   chan struct{}
	maxWait int
	preempt func(attemptID string, event int) time.Duration // how long a stream pauses before an event; nil: never

	mu      sync.Mutex
	waiting int
	ended   map[string]bool // attempt ids whose run was completed here
	left    map[string]bool // attempt ids whose run ended because the caller closed the connection
	runs    map[string]int  // runs by attempt id
}

// newModel starts a server and lists it.
func newModel(rec *record, list *platform, id, service, zone, ip string, slots, queue int) (*model, error) {
	created := &model{rec: rec, id: id, slots: make(chan struct{}, slots), maxWait: queue,
		ended: map[string]bool{}, left: map[string]bool{}, runs: map[string]int{}}
	var address string
	var err error
	if created.server, address, err = serveOn(ip, created); err != nil {
		return nil, err
	}
	created.entry = &listEntry{ID: id, Target: service, Address: address, Zone: zone, Revision: "v1", Slots: slots, Phase: "serving"}
	list.add(created.entry)
	return created, nil
}

// ServeHTTP answers one request as PROTOCOL.md describes a server.
func (m *model) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attemptID := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attemptID)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != m.id {
		m.refuse(w, attemptID, http.StatusMisdirectedRequest)
		return
	}
	if !m.takeSlot(r) {
		m.refuse(w, attemptID, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-m.slots }()
	m.mu.Lock()
	m.runs[attemptID]++
	m.mu.Unlock()
	m.rec.printf("server %s runs %s %s%s", m.id, attemptID, r.URL.RequestURI(), resumed(r))
	if r.URL.Query().Has("n") {
		m.stream(w, r, attemptID)
		return
	}
	m.answer(w, r, attemptID)
}

func resumed(r *http.Request) string {
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		return " from event " + last
	}
	return ""
}

// refuse turns a request away without running it.
func (m *model) refuse(w http.ResponseWriter, attemptID string, status int) {
	m.rec.printf("server %s answers %s with %d, not run", m.id, attemptID, status)
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("Retry-After", "0.3")
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// takeSlot waits for a slot; it returns false if the server is full or the request's time is over.
func (m *model) takeSlot(r *http.Request) bool {
	select {
	case m.slots <- struct{}{}:
		return true
	default:
	}
	m.mu.Lock()
	full := m.waiting >= m.maxWait
	if !full {
		m.waiting++
	}
	m.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		m.mu.Lock()
		m.waiting--
		m.mu.Unlock()
	}()
	patience := time.NewTimer(number(r.Header.Get("X-Time-Left-Ms"), 8000) * time.Millisecond)
	defer patience.Stop()
	select {
	case m.slots <- struct{}{}:
		return true
	case <-patience.C:
		return false
	case <-r.Context().Done():
		return false
	}
}

// number parses a whole number, or returns the default.
func number(text string, absent int) time.Duration {
	value, err := strconv.Atoi(text)
	if err != nil {
		value = absent
	}
	return time.Duration(value)
}

func (m *model) seal(w http.ResponseWriter, attemptID string) {
	w.Header().Set("X-Server-Seal", "seal."+m.id+"."+attemptID)
}

// stream sends the events that the query names: n events, gap milliseconds apart. It continues after Last-Event-Id.
func (m *model) stream(w http.ResponseWriter, r *http.Request, attemptID string) {
	query := r.URL.Query()
	count, gap := int(number(query.Get("n"), 10)), number(query.Get("gap"), 100)*time.Millisecond
	m.seal(w, attemptID)
	w.Header().Set("Content-Type", "text/event-stream")
	for event := int(number(r.Header.Get("Last-Event-Id"), 0)) + 1; event <= count; event++ {
		wait := gap
		if m.preempt != nil {
			wait += m.preempt(attemptID, event)
		}
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			m.note(m.left, attemptID, "left by its caller")
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece-%d of %s\n\n", event, event, attemptID)
		_ = http.NewResponseController(w).Flush()
	}
	m.note(m.ended, attemptID, "complete")
}

// answer sends a plain answer after the milliseconds that the query names.
func (m *model) answer(w http.ResponseWriter, r *http.Request, attemptID string) {
	select {
	case <-time.After(number(r.URL.Query().Get("ms"), 20) * time.Millisecond):
	case <-r.Context().Done():
		m.note(m.left, attemptID, "left by its caller")
		return
	}
	m.seal(w, attemptID)
	body := "answer of " + m.id + " to " + attemptID
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body))
	m.note(m.ended, attemptID, "complete")
}

// note records how a run ended.
func (m *model) note(where map[string]bool, attemptID, how string) {
	m.mu.Lock()
	where[attemptID] = true
	m.mu.Unlock()
	m.rec.printf("server %s: run of %s %s", m.id, attemptID, how)
}
