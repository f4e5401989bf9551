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
	registry  *client.ListSubscriber // of the list, in place of discovery; nil: there are none
	routing   routing
	handover  *handover
	snapshots *snapshotFile // nil: a process leaves nothing to the next one
	shutdown  shutdownClock
	members   *members.Members // nil: none are known
	ready     chan struct{}    // closed once servers are known
	listed    chan struct{}    // closed once a list came: what is known is not from before this process

	moves    chan string    // addresses to which an agent that pushes moves
	watchers sync.WaitGroup // of discovery

	mu    sync.Mutex
	queue []event
	wake  chan struct{}

	// Of the loop.
	ctx         context.Context
	balancer    *balance.Balancer
	now         balance.Time
	lastID      balance.RequestID
	calls       map[balance.RequestID]*call
	isReady     bool
	isListed    bool
	fleet       fleetState
	watching    bool               // a watch that the Balancer asked for is open, or will be after a move
	closeWatch  context.CancelFunc // ends it
	nextAddress string             // where the next one is opened; "": where it was

	table *serverTable // of the watch that is open, and of the loop between two
}

// event is what happened at a time.
type event struct {
	at balance.Time
	do func()
}

// newHost returns a host whose attempts and watches end with ctx. It starts nothing.
func newHost(ctx context.Context, c *Config, log *slog.Logger) (*host, error) {
	n := newCounts(c.Settings.Classes)
	h := &host{log: log, counts: n, origin: time.Now().Add(-originAge), ready: make(chan struct{}), listed: make(chan struct{}), wake: make(chan struct{}, 1),
		upstream:  newUpstream(c.Limits.ConnectTimeout, c.Limits.IdleClose, c.Sockets, n, newByteBudget(budgetOf(c.MemoryMB))),
		discovery: newDiscovery(c.Discovery, c.Limits.ConnectTimeout, !c.Settings.SubscribeToDiscovery),
		handover:  &handover{log: log},
		calls:     map[balance.RequestID]*call{}, table: newServerTable(c.Known), ctx: ctx, closeWatch: func() {}}
	h.discovery.firstTimeout = cmp.Or(c.agentFirstTimeout, agentFirstTimeout)
	h.shutdown.init(c.Settings.Classes)
	h.now = h.clock()
	var err error
	if h.balancer, err = balance.New(c.Settings, h); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if c.KeepSnapshot && c.SharedDir != "" {
		h.snapshots = newSnapshotFile(c.SharedDir, c.Name, log)
	}
	h.applyList(balance.ListCached, c.Known)
	h.restoreSnapshot()
	if c.Control != "" {
		// Known before the first request, and before this process says that it is ready.
		if h.handover = newHandover(c.SharedDir, c.Name, log); len(h.handover.ids) > 0 {
			h.applyOutOfService()
		}
	}
	return h, nil
}

// startFollowing has the host hear of members and follow what they, keepers and agents tell, until its context is done.
func (h *host) startFollowing(c *Config) error {
	ctx := h.ctx
	listen := map[uint8]func(members.News){kindSignals: h.receiveSignals}
	if c.Hitters != nil {
		listen[kindHitters] = h.receiveHitters(c)
	}
	if c.Members != nil {
		if err := h.joinMembers(ctx, c, listen); err != nil {
			return err
		}
	}
	if c.Hitters != nil {
		h.watchers.Go(func() { h.endHittersWindows(ctx, c.Settings.Hitters.Window) })
	}
	if err := h.followRoutes(ctx, c); err != nil {
		return err
	}
	switch {
	case c.Registry != nil:
		return h.followRegistry(ctx, c)
	case !c.Settings.SubscribeToDiscovery:
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

// applyOutOfService tells the Balancer which servers staff have taken out. The loop alone calls it.
func (h *host) applyOutOfService() { h.balancer.SetOutOfService(h.now, h.handover.out()) }

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
