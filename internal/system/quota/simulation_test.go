package quota

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// simulation runs limiters and allocators over a faulty network, each process with its own clock. Views name
// one allocator after another. A former allocator keeps its authority for a while, as it does in a real fleet.
type simulation struct {
	options    simulationOptions
	rng        *rand.Rand
	now        time.Duration // true time
	queue      simEvents
	eventCount int

	limiters    []*simLimiter
	allocators  []*simAllocator
	view        simView
	tenants     []*simTenant
	partitioned map[simPath]bool
	violations  []string
	onRequest   func(*simLimiter, LeaseRequest)
	onReply     func(*simAllocator, LeaseReply)
	onTake      func(*simLimiter, *simTenant, int)
	calls       int
}

// simulationOptions configure a simulation.
type simulationOptions struct {
	limiters, allocators int
	knobs                TestingKnobs
	bounds               Bounds
	delay                time.Duration // minimum one-way delay
	jitter               time.Duration // maximum additional delay, except for late messages
	loss, duplication    float64
	late                 float64 // fraction of messages that take up to 6 s longer
	drift                bool
	takeInterval         time.Duration // between batches of arrivals at one limiter; 0 means 50 ms
}

// simView is the newest agreed view.
type simView struct {
	epoch int
	owner int
	since time.Duration
}

// simTenant is a tenant with its demand and the outcomes of its requests.
type simTenant struct {
	name      string
	limits    []Limit       // by version; only the last one applies once all processes have it
	lowered   time.Duration // when all processes have the newest limit
	rates     []float64     // arrivals a second by limiter
	admitted  []simTake
	requested int
	granted   int
	denied    int
	waited    int
	failed    int

	reference        *bucket // optional: a single bucket that gets the same requests for comparison
	referenceRefused int
}

type simTake struct {
	at    time.Duration
	count int
}

// simTicket is a group of requests that wait at a limiter.
type simTicket struct {
	tenant *simTenant
	since  time.Duration
}

// simPath is the network path between a limiter and an allocator.
type simPath struct{ limiter, allocator int }

// simClock is the local clock of a process.
type simClock struct {
	offset time.Duration
	speed  float64
}

func (c simClock) read(now time.Duration) time.Duration {
	return c.offset + time.Duration(float64(now)*c.speed)
}

// simProcess is the state that limiters and allocators have in common.
type simProcess struct {
	clock       simClock
	run         int // increases with each start
	alive       bool
	frozenUntil time.Duration
}

type simLimiter struct {
	simProcess
	index       int
	incarnation uint64
	limiter     *Limiter
	knownView   simView
	version     int // version of the limits that this process has
	tickets     map[Ticket]simTicket
	wake        time.Duration // time of the newest timer
	awaits      uint64        // sequence of the call in flight
}

type simAllocator struct {
	simProcess
	index     int
	allocator *Allocator
	termEpoch int // epoch of the newest term begun
	version   int
}

type simEvent struct {
	at    time.Duration
	order int
	do    func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e simEvents) Swap(i, j int)  { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(item any) { *e = append(*e, item.(simEvent)) }
func (e *simEvents) Pop() any {
	last := len(*e) - 1
	item := (*e)[last]
	*e = (*e)[:last]
	return item
}

var testBounds = Bounds{Window: 5 * time.Second, Excess: 0.1, Slack: 20}

const (
	simAuthorityEnd = 600 * time.Millisecond // how long a former owner keeps its authority after a view that names another one
	simCallTimeout  = 300 * time.Millisecond
	simWaitRounding = time.Millisecond
)

func newSimulation(seed uint64, options simulationOptions) *simulation {
	if options.bounds.Window == 0 {
		options.bounds = testBounds
	}
	options.takeInterval = cmp.Or(options.takeInterval, 50*time.Millisecond)
	sim := &simulation{options: options, rng: rand.New(rand.NewPCG(seed, 7)), partitioned: map[simPath]bool{}}
	for index := range options.allocators {
		node := &simAllocator{index: index}
		sim.allocators = append(sim.allocators, node)
		sim.startAllocator(node)
	}
	for index := range options.limiters {
		node := &simLimiter{index: index}
		sim.limiters = append(sim.limiters, node)
		sim.startLimiter(node)
		sim.after(sim.randomUpTo(options.takeInterval), func() { sim.arrive(node) })
	}
	sim.changeView(0)
	return sim
}

func (s *simulation) addTenant(name string, limit Limit) *simTenant {
	tenant := &simTenant{name: name, limits: []Limit{limit}, rates: make([]float64, len(s.limiters))}
	s.tenants = append(s.tenants, tenant)
	return tenant
}

func (s *simulation) randomUpTo(longest time.Duration) time.Duration {
	if longest <= 0 {
		return 0
	}
	return time.Duration(s.rng.Int64N(int64(longest)))
}

func (s *simulation) after(wait time.Duration, do func()) {
	s.eventCount++
	heap.Push(&s.queue, simEvent{at: s.now + wait, order: s.eventCount, do: do})
}

// run runs the simulation for the given duration.
func (s *simulation) run(duration time.Duration) {
	end := s.now + duration
	for len(s.queue) > 0 && s.queue[0].at <= end {
		event := heap.Pop(&s.queue).(simEvent)
		s.now = event.at
		event.do()
	}
	s.now = end
}

func (s *simulation) addViolation(format string, values ...any) {
	if len(s.violations) < 5 {
		s.violations = append(s.violations, fmt.Sprintf("%.3f s: ", s.now.Seconds())+fmt.Sprintf(format, values...))
	}
}

func (s *simulation) newClock() simClock {
	clock := simClock{offset: s.randomUpTo(1000 * time.Second), speed: 1}
	if s.options.drift {
		clock.speed += 0.001 * (2*s.rng.Float64() - 1)
	}
	return clock
}

func (s *simulation) startLimiter(node *simLimiter) {
	node.run++
	node.incarnation++
	node.alive, node.frozenUntil, node.clock = true, 0, s.newClock()
	node.wake = math.MaxInt64
	node.tickets = map[Ticket]simTicket{}
	node.awaits = 0
	id := LimiterID{Node: fmt.Sprint("proxy-", node.index), Incarnation: node.incarnation}
	node.limiter = NewLimiter(LimiterOptions{ID: id, Bounds: s.options.bounds, Knobs: s.options.knobs})
}

func (s *simulation) startAllocator(node *simAllocator) {
	node.run++
	node.alive, node.frozenUntil, node.clock = true, 0, s.newClock()
	node.allocator = NewAllocator(AllocatorOptions{Bounds: s.options.bounds, Knobs: s.options.knobs})
	node.termEpoch = 0
	if s.view.epoch > 0 && s.view.owner == node.index {
		s.begin(node, s.view.epoch)
	}
}

// changeView installs a view with the given owner. Each process learns of it at a different time.
func (s *simulation) changeView(owner int) {
	s.view = simView{epoch: s.view.epoch + 1, owner: owner, since: s.now}
	view := s.view
	node := s.allocators[owner]
	run := node.run
	s.after(s.randomUpTo(300*time.Millisecond), func() {
		s.whenAwake(&node.simProcess, run, func() { s.begin(node, view.epoch) })
	})
	for _, limiter := range s.limiters {
		s.after(s.randomUpTo(1500*time.Millisecond), func() {
			if limiter.knownView.epoch < view.epoch {
				limiter.knownView = view
			}
		})
	}
}

// begin starts the term of an owner, unless there is a later view.
func (s *simulation) begin(node *simAllocator, epoch int) {
	if s.view.epoch == epoch && node.termEpoch < epoch {
		node.termEpoch = epoch
		node.allocator.Begin(node.clock.read(s.now))
	}
}

// hasAuthority reports whether an allocator counts as the owner: either of the
// newest view, or of the previous one if that ended less than simAuthorityEnd ago.
func (s *simulation) hasAuthority(node *simAllocator) bool {
	if node.termEpoch == s.view.epoch {
		return true
	}
	return node.termEpoch == s.view.epoch-1 && node.termEpoch > 0 && s.now < s.view.since+simAuthorityEnd
}

// whenAwake calls do now, or when the process is no longer frozen. It does nothing if that run of the process has ended by then.
func (s *simulation) whenAwake(process *simProcess, run int, do func()) {
	if !process.alive || process.run != run {
		return
	}
	if s.now < process.frozenUntil {
		s.after(process.frozenUntil-s.now, func() { s.whenAwake(process, run, do) })
		return
	}
	do()
}

// deliver sends a message between a limiter and an allocator, subject to the network faults.
func (s *simulation) deliver(path simPath, arrive func()) {
	copies := 1
	if s.rng.Float64() < s.options.loss {
		copies = 0
	}
	if s.rng.Float64() < s.options.duplication {
		copies++
	}
	for range copies {
		delay := s.options.delay + s.randomUpTo(s.options.jitter)
		if s.rng.Float64() < s.options.late {
			delay += s.randomUpTo(6 * time.Second)
		}
		s.after(delay, func() {
			if !s.partitioned[path] {
				arrive()
			}
		})
	}
}
