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
type eventQueue struct {
	now   Time
	seq   int
	items eventHeap
}

type event struct {
	at  Time
	seq int
	run func()
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

func (a *eventQueue) after(d time.Duration, do func()) {
	a.seq++
	heap.Push(&a.items, event{a.now + max(d, 0), a.seq, do})
}

func (a *eventQueue) run(until Time) {
	for len(a.items) > 0 && a.items[0].at <= until {
		e := heap.Pop(&a.items).(event)
		a.now = e.at
		e.run()
	}
}

// job is a request at a model server.
type job struct {
	chain                  prefixcache.Chain
	tokensIn, maxTokensOut int
	priority               int
	deadline               Time
	prefillLeft            int // prompt tokens that are still to be prefilled
	promptTokens           int
	outputTokens           int // output tokens so far
	memoryTokens           int64
	lastEventAt            Time
	maxEventGap            time.Duration // the longest gap between events
	onFirstEvent           func(running, waiting int)
	onDone                 func(served bool)
	onLost                 func(AttemptOutcome)
}

// engine is a model server: it prefills prompts in chunks between the decoding steps, in each of which every running request gets a token.
type engine struct {
	*eventQueue
	spec                     engineSpec
	speed                    float64
	slots, queue             int
	running, waiting         []*job
	stepping                 bool
	cache                    map[uint64]*list.Element // of cachedPart, by chain key
	lru                      *list.List               // least recently used first
	usedTokens, cachedTokens int64
	onPrefill                func(key uint64, tokens int) // called for each shared part that is prefilled
	prefilledTokens          int64
	peakWaiting              int
	down                     string // "reset", "dark", or empty while it is up
}

// fail ends everything that runs here: with resets, or without any response.
func (e *engine) fail(how string) {
	e.down = how
	for _, j := range append(e.running, e.waiting...) {
		if how == "reset" {
			e.after(time.Millisecond, func() { j.onLost(ConnectionLost) })
		} else {
			e.after(serverTimeout, func() { j.onLost(TimedOut) })
		}
	}
	e.running, e.waiting, e.usedTokens, e.cachedTokens = nil, nil, 0, 0
	e.cache = map[uint64]*list.Element{}
	e.lru.Init()
}

type engineSpec struct {
	stepMS, perSlotMS, tokensPerMS, attentionMS, firstEventMS float64 // ms, ms, tokens per ms, ms per million pairs, ms
	memoryTokens                                              int64
	tokensPerEvent                                            int
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
			next.onDone(false)
			continue
		}
		cached := e.useCached(next)
		need := int64(next.tokensIn - cached + next.maxTokensOut)
		e.evict(need)
		if e.usedTokens+need > e.spec.memoryTokens && len(e.running) > 0 {
			return
		}
		next.prefillLeft, next.promptTokens, next.memoryTokens = next.tokensIn-cached, next.tokensIn, need
		e.reportPrefill(next, cached)
		e.prefilledTokens += int64(next.prefillLeft)
		e.usedTokens += need
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
	for e.usedTokens+e.cachedTokens+need > e.spec.memoryTokens && e.lru.Len() > 0 {
		old := e.lru.Remove(e.lru.Front()).(cachedPart)
		delete(e.cache, old.key)
		e.cachedTokens -= int64(old.tokens)
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
	budget, took := 4096, e.spec.stepMS
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
		took += float64(n)/e.spec.tokensPerMS + float64(n)*float64(j.promptTokens-j.prefillLeft+n/2)/1e6*e.spec.attentionMS
		budget -= n
		if j.prefillLeft -= n; j.prefillLeft == 0 {
			ready = append(ready, j)
		}
	}
	took += e.spec.perSlotMS * float64(len(decoding))
	e.after(durationMS(took*e.speed), func() { e.endStep(decoding, ready) })
}

func (e *engine) endStep(decoding, ready []*job) {
	e.stepping = false
	if e.down != "" {
		return
	}
	var ended []*job
	for _, j := range decoding {
		j.outputTokens++
		if j.outputTokens%e.spec.tokensPerEvent == 0 || j.outputTokens >= j.maxTokensOut {
			j.maxEventGap = max(j.maxEventGap, e.now-j.lastEventAt)
			j.lastEventAt = e.now
		}
		if j.outputTokens >= j.maxTokensOut {
			ended = append(ended, j)
		}
	}
	for _, j := range ready {
		j.outputTokens, j.lastEventAt = 1, e.now
		e.cachePrompt(j)
		r, w := len(e.running), len(e.waiting)
		e.after(durationMS(e.spec.firstEventMS), func() { j.onFirstEvent(r, w) })
		if j.maxTokensOut <= 1 {
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
		e.usedTokens -= j.memoryTokens
		e.after(durationMS(e.spec.firstEventMS), func() { j.onDone(true) })
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
		e.cachedTokens += int64(size)
		j.memoryTokens -= int64(size)
		e.usedTokens -= int64(size)
	}
}

// plainServer is a server without a model: each request occupies a slot for some time.
type plainServer struct {
	*eventQueue
	slots, queue int
	running      int
	waiting      []func()
}

func (s *plainServer) offer(work time.Duration, done func(running, waiting int)) bool {
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
func lognormal(rng *rand.Rand, mean, spread, limit float64) float64 {
	return min(mean*math.Exp(spread*rng.NormFloat64()-spread*spread/2), limit)
}
