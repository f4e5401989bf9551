// Package engine simulates a model server with continuous batching, chunked prefill, prefix cache and preemption (PROTOCOL.md "Requests"), as a
// state machine over virtual time, without I/O.
//
// A step prefills up to Chunk prompt tokens, and makes a token for each running request whose prompt is prefilled. A request runs once there is
// memory for its prompt. When there is no memory for a further token, the newest of the least urgent requests is preempted, and prefilled again
// later.
//
// Invariants: at most Slots requests run; at most Queue requests wait, not counting those that were preempted; running requests and cached
// parts together never have more than MemoryTokens; the numbers of a request's events are consecutive.
package engine

import (
	"cmp"
	"slices"
	"time"
)

// Time is virtual time, since a moment that the caller chooses.
type Time = time.Duration

// PromptPart is one part of a prompt. Prompts with the same parts at their start share them in the prefix cache.
type PromptPart struct {
	ID     uint64 // of its content
	Tokens int
}

// Spec says what a server is.
type Spec struct {
	Slots, Queue int           // requests that run, and that wait, at a time
	MemoryTokens int64         // of running requests and cached parts together
	Stride       int           // tokens of an event
	Step         time.Duration // length of a step, at least
	PerRunning   time.Duration // added to a step for each request that gets a token
	PrefillRate  float64       // prompt tokens that are prefilled in a millisecond
	Chunk        int           // prompt tokens that are prefilled in one step, at most
}

// Request is a request for an answer to a prompt.
type Request struct {
	Key            uint64 // chosen by the caller, different for each request
	Parts          []PromptPart
	AnswerTokens   int // tokens of the complete answer
	ReceivedEvents int // events of the answer that the client has already
	Priority       int // 0 is the most urgent
}

// prompt returns the tokens of the prompt.
func (r *Request) prompt() int {
	sum := 0
	for _, p := range r.Parts {
		sum += p.Tokens
	}
	return sum
}

// Kind is a kind of output.
type Kind int

// The kinds of output, in the order in which a request has them.
const (
	Started Kind = iota // the first token was made; from here on the request counts as executed
	Event               // an event is complete
	Done                // the last event is complete
)

// Output is something that happened to a request.
type Output struct {
	Key   uint64
	Kind  Kind
	Event int // number of the event, from 1
	At    Time
}

// job is a request and its state.
type job struct {
	Request
	seq           int           // order of arrival
	pinned        []*cachedPart // cached parts that it uses
	ownTokens     int64         // in memory, besides those of pinned
	pendingTokens int           // to be prefilled
	answerTokens  int           // of the answer so far, including those of ReceivedEvents
	started       bool
	running       bool
}

// Engine is the state of one server. It is not safe for concurrent use.
type Engine struct {
	Spec
	now        Time
	seq        int
	running    []*job
	waiting    []*job // in order of priority, then of arrival
	cache      prefixCache
	ownTokens  int64        // of all running jobs
	stepping   bool         // a step is under way
	stepEnds   Time         // end of that step
	decoding   []*job       // that get a token by that step
	prefilling map[*job]int // tokens that are prefilled by that step
	outputs    []Output     // since the last Advance

	prefilled int64
	preempted int
	handled   int
}

// New returns a server without requests and with an empty cache.
func New(spec Spec, now Time) *Engine {
	return &Engine{Spec: spec, now: now, cache: prefixCache{parts: map[uint64]*cachedPart{}}}
}

// Submit submits a request. It reports false if the server is full, or if the request is larger than its memory.
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

// Cancel drops a request, and reports whether it has started.
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

// Advance advances to now, and returns the outputs since the last call, in order.
func (e *Engine) Advance(now Time) []Output {
	e.advance(now)
	outputs := e.outputs
	e.outputs = nil
	return outputs
}

// Next returns when the next output may be due; ok is false if there is nothing to do.
func (e *Engine) Next() (at Time, ok bool) {
	if len(e.outputs) > 0 {
		return e.now, true
	}
	return e.stepEnds, e.stepping
}

// Load returns how many requests run, and how many wait.
func (e *Engine) Load() (running, waiting int) { return len(e.running), len(e.waiting) }

// memory returns the tokens that are in use, and those that are cached without being used.
func (e *Engine) memory() (used, idle int64) {
	return e.ownTokens + e.cache.cachedTokens - e.cache.idleTokens, e.cache.idleTokens
}

// Figures are the memory in use, and totals since the start.
type Figures struct {
	Used      int64 // tokens in use now
	Prefilled int64 // tokens
	Preempted int   // requests, each as often as it was preempted
	Handled   int   // requests that ended with their last event
}

// Figures returns the figures as of the last call of Submit, Cancel or Advance.
func (e *Engine) Figures() Figures {
	used, _ := e.memory()
	return Figures{used, e.prefilled, e.preempted, e.handled}
}

// advance finishes the steps that end by now.
func (e *Engine) advance(now Time) {
	for e.stepping && e.stepEnds <= now {
		e.now = e.stepEnds
		e.finishStep()
		e.admit()
		e.step()
	}
	e.now = max(e.now, now)
}

// enqueue inserts a job into the queue by priority and arrival.
func (e *Engine) enqueue(j *job) {
	at, _ := slices.BinarySearchFunc(e.waiting, j, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.seq, b.seq))
	})
	e.waiting = slices.Insert(e.waiting, at, j)
}

// admit has waiting jobs run, the most urgent first. Where slots or memory are lacking, less urgent jobs are preempted.
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

// reserve reserves memory for what has to be prefilled of a job, and reports false if there is not enough.
func (e *Engine) reserve(waiting *job) bool {
	waiting.pinned = e.cache.pin(waiting.Parts)
	cached := 0
	for _, p := range waiting.pinned {
		cached += p.tokens
	}
	waiting.pendingTokens = waiting.prompt() - cached + waiting.answerTokens
	need := int64(waiting.pendingTokens)
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

// release frees the memory of a job, and takes it out of the step under way: when it is admitted again, it lacks other tokens than those that
// the step was planned for.
func (e *Engine) release(j *job) {
	delete(e.prefilling, j)
	e.decoding = slices.DeleteFunc(e.decoding, func(d *job) bool { return d == j })
	e.cache.unpin(j.pinned)
	e.ownTokens -= j.ownTokens
	j.pinned, j.ownTokens, j.running = nil, 0, false
}

// victim returns the running job to be preempted first, the newest of the least urgent ones, and nil if none runs.
func (e *Engine) victim() *job {
	if len(e.running) == 0 {
		return nil
	}
	return slices.MaxFunc(e.running, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.seq, b.seq))
	})
}

// preempt returns a running job to the queue. It is prefilled again later.
func (e *Engine) preempt(j *job) {
	e.release(j)
	e.running = slices.DeleteFunc(e.running, func(r *job) bool { return r == j })
	e.preempted++
	e.enqueue(j)
}
