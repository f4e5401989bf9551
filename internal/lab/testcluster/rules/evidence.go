// Package rules checks safety properties: from what clients, servers, operator and platform saw on their sockets, it finds violations of
// the rules of RULES.md. It shares no code with the system that it judges.
//
// The problem: no observer sees everything, and most rules hold only within bounds. When a request was sent under a change of the
// configuration, several configurations may be in force; after a fault, a process may be out of contact. The checks are sound rather than
// complete: they report a violation only where no configuration that may be in force, and no recorded fault, explains what was seen.
//
// Terms:
//   - Attempt: one sending of a client's request; arrival: what reached a server; run: an arrival that the server executed.
//   - Seal: what a server puts on its answer, by which the answer is recognised as its own.
//   - In contact: a proxy without a fault within Bounds.Contact, while no core loss was within that time.
//   - Core loss: a time in which half of the voters or more had a fault.
package rules

import (
	"net/http"
	"sync"
	"time"
)

// Time is the time since the start of the run, on the monotonic clock.
type Time = time.Duration

// Never is the time of an event that has not happened.
const Never Time = -1

// Outcome is how an attempt of a client ended.
type Outcome int

// The ends of an attempt.
const (
	Pending      Outcome = iota
	Answered             // by a complete answer
	Truncated            // the connection ended without a complete answer
	ClosedUnread         // the connection ended before the request was read
	Unreached            // no connection could be made
	TimedOut             // the client gave up
	Malformed            // bytes came that are not an HTTP answer
)

// String returns the outcome in words.
func (o Outcome) String() string {
	return [...]string{"open", "answered", "cut", "closed unread", "unreached", "given up", "garbage"}[o]
}

// Segment is consecutive events of a stream that one server sent.
type Segment struct {
	Run         string // seal of the run
	First, Last int    // numbers of the first and the last event
}

// Attempt is one sending of a client's request, as the client saw it.
type Attempt struct {
	ID           string // X-Attempt-Id
	Request      int    // number of the request, the same for its attempts
	Host         string
	Method, Path string
	Body         uint64 // digest of the request's body
	Zone, Region string // of the client
	Proxy        string // front address
	From         int    // number of the last event that the client has, after which a stream is to continue
	Key          string // X-Credential; empty: none was sent
	Probe        bool   // sent to see which configuration is in force at the proxy

	Sent         Time // when the first byte was sent
	SentComplete Time // when the last byte was sent
	Ended        Time
	Deadline     Time // when the client gives the request up; 0: not known
	Outcome      Outcome
	Status       int    // of the answer; 0: no head of an answer came
	AnswerID     string // X-Attempt-Id of the answer
	Seal         string // X-Server-Seal of the answer
	Answer       uint64 // digest of the answer's body, if it is not a stream
	Stream       bool
	Events       []Segment // of a stream
	Surplus      int       // bytes that followed the answer while no request waited
}

// succeeded reports whether the attempt got a complete answer with a status 2xx.
func (a *Attempt) succeeded() bool { return a.Outcome == Answered && success(a.Status) }

// foundNoRoute reports whether the proxy itself answered 404, as it does if its configuration has no route for the request.
func (a *Attempt) foundNoRoute() bool {
	return a.Outcome == Answered && a.Status == http.StatusNotFound && a.Seal == ""
}

// Arrival is a request that reached a server, as the server saw it.
type Arrival struct {
	At           Time
	Sent         Time   // when its last byte was sent, where a link with faults is between; 0: at At
	ID           string // X-Attempt-Id
	Server       string // id of the incarnation
	Service      string
	Zone, Region string
	Method, Path string
	Host         string
	Body         uint64 // digest
	Tenant       string // X-Tenant; a comma stands between the values of several fields
	HasKey       bool   // a field X-Credential came, in any spelling
	From         int    // number of the event after which a stream is to continue
	WarmingUp    bool
	WarmUpLimit  float64 // requests a second that the server bears while it warms up

	ExecutedAt Time // Never: it was not executed
	Ended      Time
	Rejected   int // status with which it was rejected; 0: it was accepted
	Status     int // of its answer; 0: none
	Seal       string
	Answer     uint64 // digest of the answer's body
	LastEvent  int    // number of the last event of its complete stream
	SentEvents int    // number of the last event that was sent
	Complete   bool   // the complete answer was sent
	Aborted    bool   // the server ended the connection without a complete answer
}

// executed reports whether the server executed the request.
func (a *Arrival) executed() bool { return a.ExecutedAt != Never }

// sentAt returns when an arrival was sent.
func (a *Arrival) sentAt() Time {
	if a.Sent > 0 {
		return a.Sent
	}
	return a.At
}

// reached reports whether an arrival counts as sent to the server: one that was rejected with 421 was meant for another incarnation.
func (a *Arrival) reached() bool { return a.Rejected != http.StatusMisdirectedRequest }

// Change is a change that the operator sent.
type Change struct {
	Config         *Config // the complete configuration after it; nil: it is of an evacuation
	Base           int64   // version on which Config builds
	Zone           string  // of an evacuation
	Start          bool    // of the evacuation; false: its end
	Sent           Time
	Ended          Time
	AcknowledgedAt Time // Never: it was not acknowledged
	Status         int  // of the last answer; 0: none
	Invalid        bool // it must be refused
}

// acknowledged reports whether the change was acknowledged.
func (c *Change) acknowledged() bool { return c.AcknowledgedAt != Never }

// wasRefused reports whether a change was clearly refused.
func (c *Change) wasRefused() bool {
	return !c.acknowledged() && c.Status >= 400 && c.Status < 500
}

// ServerEnd is the end of an incarnation of a server, planned or not. It ends all connections of the incarnation.
type ServerEnd struct {
	Server string // id of the incarnation
	At     Time
}

// Listing is a server that the platform's list showed as draining.
type Listing struct {
	Server string // id of the incarnation
	Shown  Time   // first
}

// Reading is an answer to a reading of the configuration.
type Reading struct {
	Sent     Time
	Revision int64
}

// Stray is bytes that came on an idle connection of a client.
type Stray struct {
	Proxy string
	Bytes int
	At    Time
}

// Bounds are the figures of the rules (RULES.md), which are also settings of the processes.
type Bounds struct {
	Contact     Time // without faults, after which a proxy is in contact
	Drain       Time // from a server's being listed as draining to the last request that is sent there
	ConfigApply Time // from the acknowledgement of a configuration until it is in force everywhere
	RevertSlack Time // from the effect of a configuration to the sending of an attempt that must not show an older one
	Evacuate    Time // from the acknowledgement of an evacuation to the last request that is sent to the zone
	Grace       Time // for the graceful shutdown of a process
	LossSlack   Time // from a client's last byte, within which a proxy that shuts down may not have read it
	Stretch     Time // by which ConfigApply and Evacuate grow if a control-plane node has a fault

	RetryWindow Time
	RetryRatio  float64 // retries for each request within RetryWindow
	RetrySlack  float64 // retries besides

	ColdExcess float64 // factor of a server's limit while it warms up
	ColdSlack  float64 // requests a second besides

	QuotaWindow Time    // in each of which the requests of a tenant are bounded
	QuotaExcess float64 // part of a tenant's limit by which it may be exceeded
	QuotaSlack  float64 // requests besides
}

// Evidence is all that was seen. Its methods may be called by several goroutines. Checks read it when the run is over.
type Evidence struct {
	Bounds   Bounds
	Attempts []*Attempt
	Arrivals []*Arrival
	Changes  []*Change
	Faults   []Fault
	Listings []Listing
	Ends     []ServerEnd
	Strays   []Stray
	Reads    []Reading
	Read     *Config // that was read at the end of the run
	Core     int     // number of voters; 0: it is not known

	mu    sync.Mutex
	shown map[string]bool // servers of Listings
}

// RecordAttempt records an attempt that has ended.
func (e *Evidence) RecordAttempt(attempt *Attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Attempts = append(e.Attempts, attempt)
}

// RecordArrival records a request that reached a server. From then on it is changed within Update only.
func (e *Evidence) RecordArrival(arrival *Arrival) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Arrivals = append(e.Arrivals, arrival)
}

// Update calls change, which changes what was recorded.
func (e *Evidence) Update(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

// RecordChange records a change that is being sent. From then on it is changed within Update only.
func (e *Evidence) RecordChange(change *Change) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Changes = append(e.Changes, change)
}

// RecordReading records an answer to a reading of the configuration.
func (e *Evidence) RecordReading(reading Reading) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Reads = append(e.Reads, reading)
}

// RecordStray records bytes that came on an idle connection.
func (e *Evidence) RecordStray(stray Stray) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Strays = append(e.Strays, stray)
}

// RecordServerEnd records that an incarnation of a server has ended. It is called before the connections of the incarnation end.
func (e *Evidence) RecordServerEnd(end ServerEnd) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Ends = append(e.Ends, end)
}

// RecordDraining records that the list shows a server as draining. Only the first time counts.
func (e *Evidence) RecordDraining(server string, at Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.shown == nil {
		e.shown = map[string]bool{}
	}
	if !e.shown[server] {
		e.shown[server] = true
		e.Listings = append(e.Listings, Listing{server, at})
	}
}
