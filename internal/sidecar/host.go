package sidecar

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"gradeusher.example/gradeusher/balance"
	"gradeusher.example/gradeusher/internal/client"
)

const (
	// originAge is how far before the program's start the Balancer's clock begins. Danger: it takes a time of 0 or
	// less for long ago; a server that booted just before this program would pass for warm.
	originAge = 24 * time.Hour
	// answerMargin is kept free before the client's deadline for the way of the final answer.
	answerMargin = 5 * time.Millisecond
	// A watch that ended is opened again after leastPause, and after twice as long each time that nothing comes.
	leastPause = 100 * time.Millisecond
	mostPause  = time.Second
	noRev      = -1 // no list is held
)

// answerKind is a kind of final answer.
type answerKind int

const (
	served answerKind = iota
	refused
	failed
)

// answer is a request's final answer.
type answer struct {
	kind  answerKind
	body  []byte        // served
	ctype string        // served
	after time.Duration // refused: when to come back; 0: not said
	flow  *flow         // served: in place of body, the answer as it comes
}

// call is a client's request while the host has it. The loop alone touches what follows answered.
type call struct {
	message
	class    int
	tenant   int
	booked   int       // bytes of the body
	deadline time.Time // the final answer is due; zero: the body is still coming
	answered chan answer

	number   balance.RequestID
	over     bool // has its final answer
	due      *time.Timer
	attempts []*try
	out      int
}

// try is an attempt. The loop alone touches it.
type try struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer  // of its end; nil: the body is still coming
	sent   balance.Time // or when the body had come
	began  balance.Time // its answer; 0: not
}

// host runs the Balancer. Its loop is the only goroutine that touches it; everything that happens is posted to it.
type host struct {
	log       *slog.Logger
	counts    *counts
	origin    time.Time
	upstream  *upstream
	discovery *discovery
	keepers   *client.Follower // of the list, in place of discovery; nil: there are none
	handover  *handover
	leaving   leaving
	ready     chan struct{} // closed once servers are known

	moves    chan string    // addresses to which an agent that pushes moves
	watchers sync.WaitGroup // of discovery

	mu    sync.Mutex
	queue []event
	wake  chan struct{}

	// Of the loop.
	ctx      context.Context
	balancer *balance.Balancer
	now      balance.Time
	last     balance.RequestID
	calls    map[balance.RequestID]*call
	rev      int64 // of the list in hand, or noRev
	isReady  bool
	leave    context.CancelFunc // ends the watch that the Balancer asked for
}

// event is what happened at a time.
type event struct {
	at balance.Time
	do func()
}

// newHost returns a host whose attempts and watches end with ctx.
func newHost(ctx context.Context, c *Config, log *slog.Logger) (*host, error) {
	n := newCounts(c.Settings.Classes)
	h := &host{log: log, counts: n, origin: time.Now().Add(-originAge), ready: make(chan struct{}), wake: make(chan struct{}, 1),
		upstream:  newUpstream(c.Limits.ConnectTimeout, c.Limits.IdleClose, c.Sockets, n, newBudget(budgetOf(c.MemoryMB))),
		discovery: newDiscovery(c.Discovery, c.Limits.ConnectTimeout),
		handover:  &handover{log: log},
		calls:     map[balance.RequestID]*call{}, rev: noRev, ctx: ctx, leave: func() {}}
	h.leaving.init(c.Settings.Classes)
	h.now = h.clock()
	var err error
	if h.balancer, err = balance.New(c.Settings, h); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if len(c.Known.Targets) > 0 {
		h.rev = c.Known.Rev
	}
	h.list(balance.ListRemembered, c.Known)
	if c.Control != "" {
		// Known before the first request, and before this process says that it is ready.
		if h.handover = newHandover(c.Common, c.Name, log); len(h.handover.ids) > 0 {
			h.tellOut()
		}
	}
	if c.Keepers != nil {
		return h, h.keep(ctx, c)
	}
	if !c.Settings.AskDiscovery {
		// An agent that pushes tells all who listen.
		h.moves = make(chan string, 1)
		from := h.rev
		h.watchers.Add(1)
		go func() {
			defer h.watchers.Done()
			h.follow(ctx, from, h.moves)
		}()
	}
	return h, nil
}

// move has discovery, or other keepers, asked at another address from now on. The loop alone calls it. Of several that come at once the
// last counts.
func (h *host) move(address string) {
	if h.keepers != nil {
		h.log.Info("keepers move", "to", address)
		if err := h.keepers.Move(strings.Split(address, ",")); err != nil {
			h.log.Error("keepers", "err", err)
		}
		return
	}
	h.log.Info("discovery moves", "to", address)
	if h.moves == nil {
		h.discovery.address.Store(address)
		h.rev = noRev
		h.leave() // the Balancer is told, and asks again
		return
	}
	select {
	case <-h.moves: // one that was not taken yet
	default:
	}
	h.moves <- address
}

// clock reads the Balancer's time.
func (h *host) clock() balance.Time { return time.Since(h.origin) }

// post has the loop do something. It never waits: what the loop waits for may be posting.
func (h *host) post(do func()) {
	h.mu.Lock()
	h.queue = append(h.queue, event{h.clock(), do}) // timed under the lock: the order is that of the times
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// ask has the loop do something and returns once it is done, or false if the loop ends first.
func (h *host) ask(do func()) bool {
	done := make(chan struct{})
	h.post(func() { do(); close(done) })
	select {
	case <-done:
		return true
	case <-h.ctx.Done():
		return false
	}
}

// tellOut tells the Balancer which servers staff have taken out. The loop alone calls it.
func (h *host) tellOut() { h.balancer.ByHand(h.now, h.handover.out()) }

// run is the loop. It ends with ctx.
func (h *host) run(ctx context.Context) {
	for {
		h.mu.Lock()
		batch := h.queue
		h.queue = nil
		h.mu.Unlock()
		for _, e := range batch {
			h.now = e.at
			e.do()
		}
		if len(batch) > 0 {
			continue
		}
		select {
		case <-h.wake:
		case <-ctx.Done():
			return
		}
	}
}

// serve has the Balancer decide on a request and returns its final answer, or false if ctx, the client's connection,
// ends first.
func (h *host) serve(ctx context.Context, c *call) (answer, bool) {
	c.answered = make(chan answer, 1)
	// Danger: a request that the Balancer left without an answer would hang until the client gives up.
	c.due = time.AfterFunc(time.Until(c.deadline)+answerMargin/2, func() { h.post(func() { h.abandon(c, true) }) })
	if c.rest != nil {
		c.due.Stop() // its time has not begun
	}
	h.post(func() { h.begin(c) })
	defer c.due.Stop()
	select {
	case a := <-c.answered:
		return a, true
	case <-ctx.Done():
		h.post(func() { h.abandon(c, false) })
		return answer{}, false
	}
}

func (h *host) begin(c *call) {
	h.counts.requests.Add(1)
	h.last++
	c.number = h.last
	h.calls[c.number] = c
	r := balance.Request{ID: c.number, Class: c.class, Tenant: c.tenant, Within: c.wait, Coming: c.rest != nil}
	if !r.Coming {
		r.Within = c.deadline.Sub(h.origin) - h.now
	}
	h.balancer.Request(h.now, r)
}

// bodyEnded begins a request's time: its body has come.
func (h *host) bodyEnded(c *call) {
	if c.over {
		return
	}
	now := h.origin.Add(h.now)
	c.deadline = h.leaving.by(now.Add(c.wait))
	c.due.Reset(time.Until(c.deadline) + answerMargin/2)
	for _, t := range c.attempts {
		if t.timer == nil {
			t.sent = h.now
			t.arm(c.deadline)
		}
	}
	h.balancer.BodyEnded(h.now, c.number, c.deadline.Sub(now))
}

// arm ends an attempt at a time, unless its timer is stopped before.
func (t *try) arm(end time.Time) {
	t.timer = time.AfterFunc(time.Until(end), func() { t.cancel(context.DeadlineExceeded) })
}

// began takes in that an attempt's answer comes and is to be passed on, which makes it the request's final one.
func (h *host) began(ctx context.Context, c *call, n int, f *flow) {
	if c.over || ctx.Err() != nil {
		f.leave()
		return
	}
	t := c.attempts[n]
	if t.timer != nil {
		t.timer.Stop()
	}
	t.began = h.now
	h.answer(c, answer{kind: served, flow: f})
	h.balancer.AnswerStarted(h.now, c.number, n)
}

// abandon ends a request that nobody waits for any more, or that is overdue.
func (h *host) abandon(c *call, overdue bool) {
	if c.over {
		return
	}
	if !overdue {
		h.counts.gone.Add(1)
		c.over = true
	} else {
		h.log.Warn("request overdue", "class", c.class)
		h.answer(c, answer{kind: failed})
	}
	h.balancer.ClientGone(h.now, c.number)
	h.forget(c)
}

// answer gives a request its final answer. The first counts.
func (h *host) answer(c *call, a answer) {
	if c != nil && !c.over {
		c.over = true
		c.answered <- a
	}
}

// forget lets go of a request that has its answer and has nothing out.
func (h *host) forget(c *call) {
	if c.over && c.out == 0 {
		delete(h.calls, c.number)
	}
}

// Send implements balance.Actions, as do the methods after it. It starts an attempt.
func (h *host) Send(id balance.RequestID, endpoint string, timeout time.Duration) {
	c := h.calls[id]
	if c == nil {
		return
	}
	n, t := len(c.attempts), &try{sent: h.now}
	var ctx context.Context
	ctx, t.cancel = context.WithCancelCause(h.ctx)
	if !c.deadline.IsZero() {
		end := c.deadline
		if own := h.origin.Add(h.now + timeout); timeout != 0 && own.Before(end) {
			end = own
		}
		t.arm(end)
		ctx = endsAt{ctx, end}
	}
	if c.over {
		t.cancel(nil) // Danger: an attempt after the final answer would be an effect that nobody knows of.
	}
	c.attempts = append(c.attempts, t)
	c.out++
	go func() {
		r := h.upstream.attempt(ctx, endpoint, &c.message, func(f *flow) {
			h.post(func() { h.began(ctx, c, n, f) })
		})
		t.cancel(nil)
		h.post(func() { h.result(c, n, endpoint, r) })
	}()
}

// endsAt is a context that says when it ends, while a timer that can be stopped ends it.
type endsAt struct {
	context.Context
	end time.Time
}

// Deadline implements context.Context.
func (c endsAt) Deadline() (time.Time, bool) { return c.end, true }

// result takes in how an attempt ended.
func (h *host) result(c *call, n int, endpoint string, r reply) {
	t := c.attempts[n]
	if t.timer != nil {
		t.timer.Stop()
	}
	if r.outcome == balance.Served {
		h.answer(c, answer{kind: served, body: r.body, ctype: r.ctype})
	}
	// Danger: one peer's nonsense, tried again elsewhere, would eject a whole fleet of sound servers. What a server
	// blames on the request is its final answer, and says nothing of the server.
	if r.blamed {
		h.counts.blamed.Add(1)
		h.answer(c, answer{kind: failed})
		r.outcome = balance.Cancelled
	}
	c.out--
	h.counts.attempts[r.outcome].Add(1)
	h.balancer.Result(h.now, balance.Result{ID: c.number, Attempt: n, Endpoint: endpoint, Outcome: r.outcome,
		Took: cmp.Or(t.began, h.now) - t.sent, Finished: c.over})
	h.forget(c)
}

// Cancel ends an attempt. Its result comes from its own goroutine.
func (h *host) Cancel(id balance.RequestID, attempt int) {
	if c := h.calls[id]; c != nil && attempt >= 0 && attempt < len(c.attempts) {
		c.attempts[attempt].cancel(nil)
	}
}

// Refuse answers that a retry does no harm.
func (h *host) Refuse(id balance.RequestID, after time.Duration) {
	h.end(id, answer{kind: refused, after: after})
}

// Fail answers without a promise.
func (h *host) Fail(id balance.RequestID) { h.end(id, answer{kind: failed}) }

func (h *host) end(id balance.RequestID, a answer) {
	if c := h.calls[id]; c != nil {
		h.answer(c, a)
		h.forget(c)
	}
}

// Timer starts a timer.
func (h *host) Timer(after time.Duration, token uint64) {
	time.AfterFunc(after, func() { h.post(func() { h.balancer.Timer(h.now, token) }) })
}

// Subscribe opens a watch. The Balancer asks for another only once it was told that the last one ended.
func (h *host) Subscribe() {
	var ctx context.Context
	ctx, h.leave = context.WithCancel(h.ctx)
	from := h.rev
	h.watchers.Add(1)
	go func() {
		defer h.watchers.Done()
		if err := h.watch(ctx, from, nil); h.ctx.Err() == nil {
			h.log.Info("discovery", "err", err)
			h.post(func() { h.balancer.Endpoints(h.now, balance.ListRefused, nil) })
		}
	}()
}

// watch has the loop take in what a watch tells, until it ends. came, if any, is called for each list.
func (h *host) watch(ctx context.Context, from int64, came func(List)) error {
	return h.discovery.watch(ctx, from, func(l List) {
		if came != nil {
			came(l)
		}
		h.post(func() {
			kind := balance.ListChanges
			if l.All {
				kind = balance.ListFull
			}
			h.rev = l.Rev
			h.list(kind, l)
		})
	})
}

// reload moves to where discovery is each time that told says so, until ctx is done. A configuration that cannot be read
// changes nothing.
func (h *host) reload(ctx context.Context, told <-chan os.Signal, discoveryAt func() (string, error)) {
	for {
		select {
		case <-told:
			address, err := discoveryAt()
			if err != nil {
				h.log.Error("reload", "err", err)
				continue
			}
			h.post(func() { h.move(address) })
		case <-ctx.Done():
			return
		}
	}
}

// follow keeps a watch open at an agent that pushes its news and answers at no cost, until ctx is done, and moves it to
// each address that comes from moves.
//
// Danger: what discovery has to say counts as told some seconds later, whether or not anybody listened. So a watch that
// ends is opened again soon, and one that moves, or breaks off twice in a list that cannot be read, asks for the whole list.
func (h *host) follow(ctx context.Context, from int64, moves <-chan string) {
	bad := 0
	for pause := leastPause; ; {
		now, leave := context.WithCancel(ctx)
		ended := make(chan error, 1)
		go func() {
			ended <- h.watch(now, from, func(l List) {
				from, pause, bad = l.Rev, leastPause, 0
			})
		}()
		var err error
		var address string
		select {
		case err = <-ended:
			leave()
			h.log.Info("discovery", "err", err)
			if errors.Is(err, errBadList) {
				if bad++; bad > 1 {
					from = noRev
				}
			}
			select {
			case address = <-moves:
			case <-time.After(jitter(pause)):
				pause = min(2*pause, mostPause)
			case <-ctx.Done():
				return
			}
		case address = <-moves:
			leave()
			<-ended
		case <-ctx.Done():
			leave()
			<-ended
			return
		}
		if address != "" {
			h.discovery.address.Store(address)
			from, pause = noRev, leastPause
		}
	}
}

// jitter is a time from half of the pause up to all of it. Danger: sidecars whose watches end together, as when what they
// ask is overbooked, would ask again together, each time.
func jitter(pause time.Duration) time.Duration { return pause/2 + rand.N(pause/2) }

// Log writes a line of the Balancer.
func (h *host) Log(text string) { h.log.Info(text) }

// list hands a list to the connections and to the Balancer, in this order: what it sends next must find its address.
func (h *host) list(kind balance.ListKind, l List) {
	l.All = l.All || kind == balance.ListRemembered
	h.upstream.update(l)
	entries := make([]balance.Endpoint, 0, len(l.Targets))
	for _, t := range l.Targets {
		entries = append(entries, balance.Endpoint{ID: t.ID, Zone: t.Zone, Kind: t.Kind, Cell: t.Cell, State: t.State,
			Size: t.Size, Started: h.started(t)})
	}
	h.balancer.Endpoints(h.now, kind, entries)
	if !h.isReady && (kind != balance.ListRemembered || len(entries) > 0) {
		h.isReady = true
		close(h.ready)
	}
}

// started is when a server started, in the Balancer's time; 0: long ago.
func (h *host) started(t Target) balance.Time {
	if t.Boot.IsZero() {
		return 0
	}
	return max(t.Boot.Sub(h.origin), 0)
}
