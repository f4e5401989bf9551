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

// originAge is how far before the program's start the Balancer's clock begins. The Balancer takes a time of 0 or less for long
// ago; a server that started just before this program would pass for warm.
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
func newHost(ctx context.Context, config *Config, log *slog.Logger) (*host, error) {
	counted := newCounts(config.Settings.Classes)
	driver := &host{log: log, counts: counted, origin: time.Now().Add(-originAge), ready: make(chan struct{}), listed: make(chan struct{}), wake: make(chan struct{}, 1),
		upstream:  newUpstream(config.Limits.ConnectTimeout, config.Limits.IdleTimeout, config.Sockets, counted, newByteBudget(budgetOf(config.MemoryMB))),
		discovery: newDiscovery(config.Discovery, config.Limits.ConnectTimeout, !config.Settings.SubscribeToDiscovery),
		handover:  &handover{log: log},
		calls:     map[balance.RequestID]*call{}, table: newServerTable(config.Known), ctx: ctx, closeWatch: func() {}}
	driver.discovery.firstTimeout = cmp.Or(config.agentFirstTimeout, agentFirstTimeout)
	driver.shutdown.init(config.Settings.Classes)
	driver.now = driver.clock()
	var err error
	if driver.balancer, err = balance.New(config.Settings, driver); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if config.KeepSnapshot && config.SharedDir != "" {
		driver.snapshots = newSnapshotFile(config.SharedDir, config.Name, log)
	}
	driver.applyList(balance.ListCached, config.Known)
	driver.restoreSnapshot()
	if config.Control != "" {
		// Known before the first request, and before this process says that it is ready.
		if driver.handover = newHandover(config.SharedDir, config.Name, log); len(driver.handover.ids) > 0 {
			driver.applyOutOfService()
		}
	}
	return driver, nil
}

// startFollowing joins the members and follows lists, route tables and reports, until the host's context is done.
func (h *host) startFollowing(config *Config) error {
	ctx := h.ctx
	listen := map[uint8]func(members.Update){kindSignals: h.receiveSignals}
	if config.Hitters != nil {
		listen[kindHitters] = h.receiveHitters(config)
	}
	if config.Members != nil {
		if err := h.joinMembers(ctx, config, listen); err != nil {
			return err
		}
	}
	if config.Hitters != nil {
		h.watchers.Go(func() { h.endHittersWindows(ctx, config.Settings.Hitters.Window) })
	}
	if err := h.followRoutes(ctx, config); err != nil {
		return err
	}
	switch {
	case config.Registry != nil:
		return h.followRegistry(ctx, config)
	case !config.Settings.SubscribeToDiscovery:
		// An agent that pushes its lists does so to all who listen.
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

// applyOutOfService hands the servers that operators have taken out to the Balancer. The loop alone calls it.
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
