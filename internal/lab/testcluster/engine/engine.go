// Package engine is a model server (continuous batching, chunked prefill, prefix cache, preemption) as a state machine
// over virtual time, without I/O: PROTOCOL.md "Requests".
//
// Invariants: at most Slots requests run; at most Queue wait, those that were preempted apart; what running requests
// hold and what is cached never exceed Memory; the events of a request rise by one.
package engine

import (
	"cmp"
	"slices"
	"time"
)

// Time is counted from any moment.
type Time = time.Duration

// PromptPart is one part of a prompt. Requests with the same parts at their start share what was read of them.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Spec is what a server is.
type Spec struct {
	Slots, Queue int
	MemoryTokens int64         // tokens, of running requests and cached parts together
	Stride       int           // tokens of an event
	Step         time.Duration // that a step takes at least
	PerRunning   time.Duration // added for each request that gets a token in it
	PrefillRate  float64       // prompt tokens that are read in a millisecond
	Chunk        int           // prompt tokens that are read in one step, at most
}

// Request is one that came whole.
type Request struct {
	Key            uint64 // the caller's, one of its own for each request
	Parts          []PromptPart
	AnswerTokens   int // tokens that its whole answer has
	ReceivedEvents int // events of the answer that are there already
	Priority       int // 0 is the most urgent
}

func (r *Request) prompt() int {
	sum := 0
	for _, p := range r.Parts {
		sum += p.Tokens
	}
	return sum
}

// Kind is what became of a request.
type Kind int

// The kinds of output, in the order in which a request has them.
const (
	Started Kind = iota // its first token was made; from here on it has run
	Event               // an event came
	Done                // its last event has come
)

// Output tells of one request.
type Output struct {
	Key   uint64
	Kind  Kind
	Event int // its number, from 1
	At    Time
}

// job is a request and what has been done for it.
type job struct {
	Request
	seq          int           // order of arrival
	pinned       []*cachedPart // kept parts that it uses
	ownTokens    int64         // tokens in memory for it alone
	unreadTokens int           // tokens still to be read
	answerTokens int           // tokens of its answer, those it had included
	started      bool
	running      bool
}

// Engine is the state of one server. It is not safe for concurrent use.
type Engine struct {
	Spec
	now       Time
	seq       int
	running   []*job
	waiting   []*job // by urgency, then arrival
	cache     prefixCache
	ownTokens int64 // of all running jobs
	stepping  bool
	stepEnds  Time // of the step
	decoding  []*job
	reading   map[*job]int
	out       []Output

	prefilled int64
	preempted int
	handled   int
}

// New is a server that has read nothing yet.
func New(spec Spec, now Time) *Engine {
	return &Engine{Spec: spec, now: now, cache: prefixCache{parts: map[uint64]*cachedPart{}}}
}

// Submit takes a request at now, or tells false: the server is full, or the request larger than its memory.
func (e *Engine) Submit(now Time, r Request) bool {
	e.advance(now)
	if len(e.waiting) >= e.Queue && len(e.running) >= e.Slots || int64(r.prompt()+r.AnswerTokens) > e.MemoryTokens {
		return false
	}
	e.seq++
	e.enqueue(&job{Request: r, seq: e.seq, answerTokens: r.ReceivedEvents * e.Stride})
	e.admit()
	e.step()
	return true
}

// Cancel drops a request, and reports whether it had started.
func (e *Engine) Cancel(now Time, key uint64) (started bool) {
	e.advance(now)
	for _, list := range []*[]*job{&e.running, &e.waiting} {
		if i := slices.IndexFunc(*list, func(j *job) bool { return j.Key == key }); i >= 0 {
			j := (*list)[i]
			e.release(j)
			*list = slices.Delete(*list, i, i+1)
			e.admit()
			e.step()
			return j.started
		}
	}
	return false
}

// Advance moves to now and gives what came of the requests since the last call.
func (e *Engine) Advance(now Time) []Output {
	e.advance(now)
	out := e.out
	e.out = nil
	return out
}

// Next is when something happens next if nothing else comes; ok is false where nothing will.
func (e *Engine) Next() (at Time, ok bool) {
	if len(e.out) > 0 {
		return e.now, true
	}
	return e.stepEnds, e.stepping
}

// Load is the requests that run and wait.
func (e *Engine) Load() (running, waiting int) { return len(e.running), len(e.waiting) }

// Memory use in tokens: what cannot give way, and what is kept besides.
func (e *Engine) memory() (used, idle int64) {
	return e.ownTokens + e.cache.cachedTokens - e.cache.idleTokens, e.cache.idleTokens
}

// Figures are totals since the start.
type Figures struct {
	Used      int64 // tokens that cannot give way, now
	Prefilled int64 // prompt tokens that were read
	Preempted int
	Handled   int // requests that ended with their last event
}

// Figures gives the totals.
func (e *Engine) Figures() Figures {
	used, _ := e.memory()
	return Figures{used, e.prefilled, e.preempted, e.handled}
}

func (e *Engine) advance(now Time) {
	for e.stepping && e.stepEnds <= now {
		e.now = e.stepEnds
		e.finishStep()
		e.admit()
		e.step()
	}
	e.now = max(e.now, now)
}

// enqueue puts a job among those that enqueue.
func (e *Engine) enqueue(j *job) {
	at, _ := slices.BinarySearchFunc(e.waiting, j, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.seq, b.seq))
	})
	e.waiting = slices.Insert(e.waiting, at, j)
}

// admit lets waiting jobs in, the most urgent first. One that finds no room takes that of a less urgent one.
func (e *Engine) admit() {
	for len(e.waiting) > 0 {
		j := e.waiting[0]
		if len(e.running) < e.Slots && e.reserve(j) {
			e.waiting = e.waiting[1:]
			j.running = true
			e.running = append(e.running, j)
			continue
		}
		v := e.victim()
		if v == nil || v.Priority <= j.Priority {
			return
		}
		e.preempt(v)
	}
}

// reserve takes memory for what a job must read.
func (e *Engine) reserve(waiting *job) bool {
	waiting.pinned = e.cache.pin(waiting.Parts)
	kept := 0
	for _, p := range waiting.pinned {
		kept += p.tokens
	}
	waiting.unreadTokens = waiting.prompt() - kept + waiting.answerTokens
	need := int64(waiting.unreadTokens)
	used, _ := e.memory()
	if used+need > e.MemoryTokens {
		e.cache.unpin(waiting.pinned)
		waiting.pinned = nil
		return false
	}
	waiting.ownTokens = need
	e.ownTokens += need
	e.cache.evictTo(e.MemoryTokens - e.ownTokens)
	return true
}

// release gives back what a job holds.
func (e *Engine) release(j *job) {
	e.cache.unpin(j.pinned)
	e.ownTokens -= j.ownTokens
	j.pinned, j.ownTokens, j.running = nil, 0, false
}

// victim is the newest of the least urgent.
func (e *Engine) victim() *job {
	if len(e.running) == 0 {
		return nil
	}
	return slices.MaxFunc(e.running, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.seq, b.seq))
	})
}

// preempt has a job wait again; it is read anew later.
func (e *Engine) preempt(j *job) {
	e.release(j)
	e.running = slices.DeleteFunc(e.running, func(r *job) bool { return r == j })
	e.preempted++
	e.enqueue(j)
}
