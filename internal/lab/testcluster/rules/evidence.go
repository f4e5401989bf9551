// Package rules is a checker of safety properties: it reads what clients, servers, operator and platform saw on their
// sockets, and reports which rule of RULES.md was broken. It shares no code with the system that it judges.
package rules

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Time is counted from the start of the run, on the monotonic clock.
type Time = time.Duration

// Never is the time of what has not happened.
const Never Time = -1

// String names an outcome.
func (o Outcome) String() string {
	return [...]string{"open", "answered", "cut", "closed unread", "unreached", "given up", "garbage"}[o]
}

// Outcome is how an attempt of a client ended.
type Outcome int

// The ends of an attempt.
const (
	Pending      Outcome = iota
	Answered             // with a whole answer
	Truncated            // the connection ended without a whole answer
	ClosedUnread         // the connection ended and the request had not been read
	Unreached            // no connection came up
	TimedOut             // the client waited no longer
	Malformed            // bytes came that are no answer
)

// Segment is a piece of a stream that came without a gap: events First to Last of one run.
type Segment struct {
	Run         string
	First, Last int
}

// Attempt is one request of a client as the client saw it.
type Attempt struct {
	ID           string
	Request      int // attempts of one request share it
	Host         string
	Method, Path string
	Body         uint64 // digest
	Zone, Region string // of the client
	Proxy        string // its address
	From         int    // events that a stream is to go on after
	Probe        bool   // sent to see which configuration is in force there

	Sent         Time // the first byte
	SentComplete Time // the last byte
	Ended        Time
	Outcome      Outcome
	Status       int
	AnswerID     string
	Seal         string
	Answer       uint64 // digest of the body, streams apart
	Stream       bool
	Events       []Segment
	Surplus      int // bytes that followed the answer while no request waited
}

// Arrival is a request that reached a server, as the server saw it.
type Arrival struct {
	At           Time
	Sent         Time // when its last byte was sent, where a link with faults lies between; 0: at At
	ID           string
	Server       string // incarnation
	Service      string
	Zone, Region string
	Method, Path string
	Host         string
	Body         uint64
	From         int
	WarmingUp    bool
	WarmUpLimit  float64 // requests a second that the server bears while it warms up

	ExecutedAt Time // Never: it has not run
	Ended      Time
	Rejected   int // status with which it was rejected; 0: it was taken
	Status     int // of its answer; 0: none
	Seal       string
	Answer     uint64
	LastEvent  int  // number of its last event
	SentEvents int  // events that were sent
	Complete   bool // the answer was sent whole
	Aborted    bool // the server broke off
}

// Change is an order of the operator.
type Change struct {
	Config         *Config // what is in force after it; nil: an evacuation
	Base           int64
	Zone           string
	Start          bool // of an evacuation; else its end
	Sent           Time
	Ended          Time
	AcknowledgedAt Time // Never: it was not acknowledged
	Status         int  // of the last answer; 0: none
	Invalid        bool // the checker knows that it must be refused
}

// Listing is a server that the platform's list showed as draining.
type Listing struct {
	Server string
	Shown  Time
}

// Reading is an answer to a read of the configuration.
type Reading struct {
	Sent     Time
	Revision int64
}

// Stray is bytes that came to a client while no request waited.
type Stray struct {
	Proxy string
	Bytes int
	At    Time
}

// Bounds are the figures of the rules.
type Bounds struct {
	Contact, Drain, ConfigApply, RevertSlack, Evacuate, Grace, LossSlack, Stretch Time

	RetryWindow           Time
	RetryRatio            float64
	RetrySlack            float64
	ColdExcess, ColdSlack float64
}

// Evidence is all that was seen. Its methods may be called by several goroutines; the checks read it when all is over.
type Evidence struct {
	Bounds   Bounds
	Attempts []*Attempt
	Arrivals []*Arrival
	Changes  []*Change
	Faults   []Fault
	Listings []Listing
	Strays   []Stray
	Reads    []Reading
	Read     *Config // what was read back at the end
	ReadAt   Time
	Core     int // control-plane nodes that vote; 0: it is not known

	mu    sync.Mutex
	shown map[string]bool
}

// RecordAttempt records an attempt that has ended.
func (e *Evidence) RecordAttempt(t *Attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Attempts = append(e.Attempts, t)
}

// RecordArrival records a request that reached a server. Change it with Update only.
func (e *Evidence) RecordArrival(a *Arrival) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Arrivals = append(e.Arrivals, a)
}

// Update changes what was taken in.
func (e *Evidence) Update(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

// RecordChange records an order.
func (e *Evidence) RecordChange(c *Change) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Changes = append(e.Changes, c)
}

// RecordReading records what a read of the configuration gave.
func (e *Evidence) RecordReading(r Reading) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Reads = append(e.Reads, r)
}

// RecordStray records bytes that came while no request waited.
func (e *Evidence) RecordStray(s Stray) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Strays = append(e.Strays, s)
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

// index is evidence in the order in which checks look for it.
type index struct {
	*Evidence
	tries      map[string]*Attempt
	runs       map[string][]*Arrival // by id, in order of arrival
	seals      map[string]*Arrival
	coreLosses []span // in which most of the core had a fault
}

func (e *Evidence) index() *index {
	x := &index{Evidence: e, tries: map[string]*Attempt{}, runs: map[string][]*Arrival{}, seals: map[string]*Arrival{},
		coreLosses: e.coreLosses()}
	for _, t := range e.Attempts {
		x.tries[t.ID] = t
	}
	slices.SortStableFunc(e.Arrivals, func(a, b *Arrival) int { return cmp.Compare(a.At, b.At) })
	for _, a := range e.Arrivals {
		x.runs[a.ID] = append(x.runs[a.ID], a)
		if a.Seal != "" {
			x.seals[a.Seal] = a
		}
	}
	return x
}

// Unanswered are the last attempts of requests that got no final answer.
func (e *Evidence) Unanswered() []*Attempt {
	last := map[int]*Attempt{}
	for _, t := range e.Attempts {
		if l := last[t.Request]; !t.Probe && (l == nil || t.Sent > l.Sent) {
			last[t.Request] = t
		}
	}
	var all []*Attempt
	for _, t := range last {
		if t.Outcome != Answered {
			all = append(all, t)
		}
	}
	slices.SortFunc(all, func(a, b *Attempt) int { return cmp.Compare(a.Sent, b.Sent) })
	return all
}

// String is the attempt as a line.
func (t *Attempt) String() string {
	return fmt.Sprintf("%s %s at %s, sent %v: %s after %v (status %d, %d segments)", t.ID, t.Path, t.Proxy, t.Sent.Round(time.Millisecond),
		t.Outcome, (t.Ended - t.Sent).Round(time.Millisecond), t.Status, len(t.Events))
}

// Describe is an attempt as a line, with what servers saw of it.
func (e *Evidence) Describe(t *Attempt) string {
	text := t.String()
	for _, a := range e.Arrivals {
		if a.ID != t.ID {
			continue
		}
		text += fmt.Sprintf("; reached %s after %v", a.Server, (a.At - t.Sent).Round(time.Millisecond))
		switch {
		case a.Rejected != 0:
			text += fmt.Sprintf(", rejected with %d", a.Rejected)
		case a.ExecutedAt == Never:
			text += ", never ran"
		default:
			text += fmt.Sprintf(", ran after %v, %d of %d events", (a.ExecutedAt - t.Sent).Round(time.Millisecond), a.SentEvents, a.LastEvent)
		}
	}
	return text
}
