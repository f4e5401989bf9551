package sidecar

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"gradeusher.example/gradeusher/balance"
	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/members"
)

// originAge is how far before the program's start the Balancer's clock begins. Danger: it takes a time of 0 or less for long
// ago; a server that booted just before this program would pass for warm.
const originAge = 24 * time.Hour

// host runs the Balancer. Its loop is the only goroutine that touches it; everything that happens is posted to it.
type host struct {
	log       *slog.Logger
	counts    *counts
	origin    time.Time
	upstream  *upstream
	discovery *discovery
	keepers   *client.ListSubscriber // of the list, in place of discovery; nil: there are none
	routing   routing
	handover  *handover
	kept      *kept // nil: a process leaves nothing to the next one
	leaving   leaving
	members   *members.Members // nil: none are known
	ready     chan struct{}    // closed once servers are known
	told      chan struct{}    // closed once a list came: what is known is not from before this process

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
	isReady  bool
	isTold   bool
	company  company
	watching bool               // a watch that the Balancer asked for is open, or will be after a move
	leave    context.CancelFunc // ends it
	moveTo   string             // where the next one is opened; "": where it was

	ledger *ledger // of the watch that is open, and of the loop between two
}

// event is what happened at a time.
type event struct {
	at balance.Time
	do func()
}

// newHost returns a host whose attempts and watches end with ctx. It starts nothing.
func newHost(ctx context.Context, c *Config, log *slog.Logger) (*host, error) {
	n := newCounts(c.Settings.Classes)
	h := &host{log: log, counts: n, origin: time.Now().Add(-originAge), ready: make(chan struct{}), told: make(chan struct{}), wake: make(chan struct{}, 1),
		upstream:  newUpstream(c.Limits.ConnectTimeout, c.Limits.IdleClose, c.Sockets, n, newBudget(budgetOf(c.MemoryMB))),
		discovery: newDiscovery(c.Discovery, c.Limits.ConnectTimeout, !c.Settings.AskDiscovery),
		handover:  &handover{log: log},
		calls:     map[balance.RequestID]*call{}, ledger: newLedger(c.Known), ctx: ctx, leave: func() {}}
	h.discovery.within = cmp.Or(c.agentWithin, agentWithin)
	h.leaving.init(c.Settings.Classes)
	h.now = h.clock()
	var err error
	if h.balancer, err = balance.New(c.Settings, h); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if c.Beliefs && c.Common != "" {
		h.kept = newKept(c.Common, c.Name, log)
	}
	h.list(balance.ListRemembered, c.Known)
	h.takeUp()
	if c.Control != "" {
		// Known before the first request, and before this process says that it is ready.
		if h.handover = newHandover(c.Common, c.Name, log); len(h.handover.ids) > 0 {
			h.tellOut()
		}
	}
	return h, nil
}

// learn has the host hear of members and follow what they, keepers and agents tell, until its context is done.
func (h *host) learn(c *Config) error {
	ctx := h.ctx
	listen := map[uint8]func(members.News){kindSignals: h.signalsTold}
	if c.Hitters != nil {
		listen[kindHitters] = h.hittersTold(c)
	}
	if c.Members != nil {
		if err := h.meet(ctx, c, listen); err != nil {
			return err
		}
	}
	if c.Hitters != nil {
		h.watchers.Go(func() { h.judgeClients(ctx, c.Settings.Hitters.Window) })
	}
	if err := h.followRoutes(ctx, c); err != nil {
		return err
	}
	switch {
	case c.Keepers != nil:
		return h.keep(ctx, c)
	case !c.Settings.AskDiscovery:
		// An agent that pushes tells all who listen.
		h.moves = make(chan string, 1)
		h.watchers.Add(1)
		go func() {
			defer h.watchers.Done()
			h.follow(ctx, h.moves)
		}()
	}
	return nil
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
