package pick

import (
	"container/heap"
	"container/list"
	"math"
	"math/rand/v2"
	"time"

	"gradeusher.example/gradeusher/internal/system/proxy/pick/prefixcache"
)

// The simulation runs a fleet of proxies and servers in virtual time: it never sleeps, and the same seed gives the same run.

// eventQueue holds future events, ordered by time and then by order of insertion.
type agenda struct {
	now   Time
	seq   int
	items eventHeap
}

type event struct {
	at  Time
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

func (a *agenda) after(d time.Duration, do func()) {
	a.seq++
	heap.Push(&a.items, event{a.now + max(d, 0), a.seq, do})
}

func (a *agenda) run(until Time) {
	for len(a.items) > 0 && a.items[0].at <= until {
		e := heap.Pop(&a.items).(event)
		a.now = e.at
		e.do()
	}
}

// job is a request at a model server.
type job struct {
	chain       prefixcache.Chain
	in, out     int
	priority    int
	deadline    Time
	prefillLeft int // prompt tokens that are still to be prefilled
	total       int
	tokensMade  int // output tokens so far
	memoryTaken int64
	lastAt      Time
	maxEventGap time.Duration // the longest gap between events
	first       func(running, waiting int)
	done        func(served bool)
	lost        func(AttemptOutcome)
}

// engine is a model server: it prefills prompts in chunks between the decoding steps, in each of which every running request gets a token.
type engine struct {
	*agenda
	spec             engineSpec
	speed            float64
	slots, queue     int
	running, waiting []*job
	stepping         bool
	cache            map[uint64]*list.Element // of cachedPart, by chain key
	lru              *list.List               // least recently used first
	used, cached     int64
	onPrefill        func(key uint64, tokens int) // called for each shared part that is prefilled
	prefilled        int64
	peakWaiting      int
	down             string // "reset", "dark", or empty while it is up
}

// fail ends everything that runs here: with resets, or without any response.
func (e *engine) fail(how string) {
	e.down = how
	for _, j := range append(e.running, e.waiting...) {
		if how == "reset" {
			e.after(time.Millisecond, func() { j.lost(ConnectionLost) })
		} else {
			e.after(serverTimeout, func() { j.lost(TimedOut) })
		}
	}
	e.running, e.waiting, e.used, e.cached = nil, nil, 0, 0
	e.cache = map[uint64]*list.Element{}
	e.lru.Init()
}

type engineSpec struct {
	step, perSlot, rate, pairs, first float64 // ms, ms, tokens per ms, ms per million pairs, ms
	memory                            int64
	stride                            int
}

type cachedPart struct {
	key    uint64
	tokens int
}

// offer accepts a request, or returns false if the server is full.
func (e *engine) offer(j *job) bool {
	if len(e.waiting) >= e.queue {
		return false
	}
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].priority > j.priority {
		at--
	}
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[at+1:], e.waiting[at:])
	e.waiting[at] = j
	e.peakWaiting = max(e.peakWaiting, len(e.waiting))
	e.admit()
	e.step()
	return true
}

// admit starts waiting requests while there are slots and memory.
func (e *engine) admit() {
	for len(e.running) < e.slots && len(e.waiting) > 0 {
		next := e.waiting[0]
		if e.now > next.deadline {
			e.waiting = e.waiting[1:]
			next.done(false)
			continue
		}
		cached := e.useCached(next)
		need := int64(next.in - cached + next.out)
		e.evict(need)
		if e.used+need > e.spec.memory && len(e.running) > 0 {
			return
		}
		next.prefillLeft, next.total, next.memoryTaken = next.in-cached, next.in, need
		e.reportPrefill(next, cached)
		e.prefilled += int64(next.prefillLeft)
		e.used += need
		e.waiting = e.waiting[1:]
		e.running = append(e.running, next)
	}
}

// useCached returns how many leading tokens of a prompt are cached, and marks them as just used.
func (e *engine) useCached(j *job) (tokens int) {
	for i := range j.chain.Len {
		part := e.cache[j.chain.Keys[i]]
		if part == nil {
			break
		}
		e.lru.MoveToBack(part)
		tokens = j.chain.EndTokens[i]
	}
	return tokens
}

// evict removes cached parts, the least recently used first, until need fits.
func (e *engine) evict(need int64) {
	for e.used+e.cached+need > e.spec.memory && e.lru.Len() > 0 {
		old := e.lru.Remove(e.lru.Front()).(cachedPart)
		delete(e.cache, old.key)
		e.cached -= int64(old.tokens)
	}
}

// reportPrefill reports the shared parts of a prompt that are prefilled after the cached tokens.
func (e *engine) reportPrefill(j *job, cached int) {
	sum := 0
	for i := range j.chain.Len {
		if size := j.chain.EndTokens[i] - sum; i < j.chain.Parts-1 && j.chain.EndTokens[i] > cached {
			e.onPrefill(j.chain.Keys[i], size)
		}
		sum = j.chain.EndTokens[i]
	}
}

func (e *engine) step() {
	if e.stepping || len(e.running) == 0 {
		return
	}
	e.stepping = true
	budget, took := 4096, e.spec.step
	var decoding, ready []*job
	for _, j := range e.running {
		if j.prefillLeft <= 0 {
			decoding = append(decoding, j)
			continue
		}
		n := min(j.prefillLeft, budget)
		if n == 0 {
			continue
		}
		took += float64(n)/e.spec.rate + float64(n)*float64(j.total-j.prefillLeft+n/2)/1e6*e.spec.pairs
		budget -= n
		if j.prefillLeft -= n; j.prefillLeft == 0 {
			ready = append(ready, j)
		}
	}
	took += e.spec.perSlot * float64(len(decoding))
	e.after(durationMS(took*e.speed), func() { e.endStep(decoding, ready) })
}

func (e *engine) endStep(decoding, ready []*job) {
	e.stepping = false
	if e.down != "" {
		return
	}
	var ended []*job
	for _, j := range decoding {
		j.tokensMade++
		if j.tokensMade%e.spec.stride == 0 || j.tokensMade >= j.out {
			j.maxEventGap = max(j.maxEventGap, e.now-j.lastAt)
			j.lastAt = e.now
		}
		if j.tokensMade >= j.out {
			ended = append(ended, j)
		}
	}
	for _, j := range ready {
		j.tokensMade, j.lastAt = 1, e.now
		e.cachePrompt(j)
		r, w := len(e.running), len(e.waiting)
		e.after(durationMS(e.spec.first), func() { j.first(r, w) })
		if j.out <= 1 {
			ended = append(ended, j)
		}
	}
	for _, j := range ended {
		for i, x := range e.running {
			if x == j {
				e.running = append(e.running[:i:i], e.running[i+1:]...)
				break
			}
		}
		e.used -= j.memoryTaken
		e.after(durationMS(e.spec.first), func() { j.done(true) })
	}
	e.admit()
	e.step()
}

// cachePrompt adds a prompt's parts to the cache.
func (e *engine) cachePrompt(j *job) {
	sum := 0
	for i := range j.chain.Len {
		size := j.chain.EndTokens[i] - sum
		sum = j.chain.EndTokens[i]
		if x := e.cache[j.chain.Keys[i]]; x != nil {
			e.lru.MoveToBack(x)
			continue
		}
		e.cache[j.chain.Keys[i]] = e.lru.PushBack(cachedPart{j.chain.Keys[i], size})
		e.cached += int64(size)
		j.memoryTaken -= int64(size)
		e.used -= int64(size)
	}
}

// plainServer is a server without a model: each request occupies a slot for some time.
type plain struct {
	*agenda
	slots, queue int
	running      int
	waiting      []func()
}

func (s *plain) offer(work time.Duration, done func(running, waiting int)) bool {
	start := func() {
		s.running++
		s.after(work, func() {
			s.running--
			done(s.running, len(s.waiting))
			if len(s.waiting) > 0 {
				next := s.waiting[0]
				s.waiting = s.waiting[1:]
				next()
			}
		})
	}
	switch {
	case s.running < s.slots:
		start()
	case len(s.waiting) < s.queue:
		s.waiting = append(s.waiting, start)
	default:
		return false
	}
	return true
}

// lognormal draws a lognormal value with a mean and a spread, at most limit.
func drawn(rng *rand.Rand, mean, spread, limit float64) float64 {
	return min(mean*math.Exp(spread*rng.NormFloat64()-spread*spread/2), limit)
}
