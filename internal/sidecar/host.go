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

// originAge is how long before the program's start the Balancer's clock begins. The Balancer reads a time of 0 or
// less as "long ago", so without this a server that started just before this program would be taken for warm.
const originAge = 24 * time.Hour

// host runs the Balancer. Its loop is the only goroutine that touches the Balancer; everything that
// happens elsewhere is posted to the loop.
type host struct {
	log       *slog.Logger
	counts    *counts
	origin    time.Time
	upstream  *upstream
	discovery *discovery
	registry  *client.ListSubscriber // subscription to the registry's list, in place of discovery; nil: none
	routing   routing
	handover  *handover
	snapshots *snapshotFile // nil: no snapshot is left for the next process
	shutdown  shutdownClock
	members   *members.Members // nil: this sidecar is on its own
	ready     chan struct{}    // closed once servers are known
	listed    chan struct{}    // closed once a list has arrived that is not from before this process

	moves    chan string    // new addresses of an agent that pushes its lists
	watchers sync.WaitGroup // goroutines that watch discovery, the registry and the members

	mu    sync.Mutex
	queue []event
	wake  chan struct{}

	// Only the loop uses these.
	ctx         context.Context
	balancer    *balance.Balancer
	now         balance.Time
	lastID      balance.RequestID
	calls       map[balance.RequestID]*call
	isReady     bool
	isListed    bool
	fleet       fleetState
	watching    bool               // a watch that the Balancer asked for is open, or will be opened after a move
	closeWatch  context.CancelFunc // ends it
	nextAddress string             // where the next watch is opened; "": at the same address

	table *serverTable // used by the open watch, and by the loop while none is open
}

// event is a function for the loop to call, with the time at which it was posted.
type event struct {
	at balance.Time
	do func()
}

// newHost returns a host whose attempts and watches end with ctx. It starts no goroutine.
func newHost(ctx context.Context, config *Config, log *slog.Logger) (*host, error) {
	counted := newCounts(config.Settings.Classes)
	driver := &host{log: log, counts: counted, origin: time.Now().Add(-originAge), ready: make(chan struct{}), listed: make(chan struct{}), wake: make(chan struct{}, 1),
		upstream:  newUpstream(config.Limits.ConnectTimeout, config.Limits.IdleTimeout, config.Sockets, counted, newByteBudget(bufferBudget(config.MemoryMB))),
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
		// The Balancer must know these before the first request, and before this process reports that it is ready.
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
		// An agent that pushes its lists does so to every watch; the Balancer need not subscribe.
		h.moves = make(chan string, 1)
		h.watchers.Add(1)
		go func() {
			defer h.watchers.Done()
			h.follow(ctx, h.moves)
		}()
	}
	return nil
}

// clock returns the present time on the Balancer's clock.
func (h *host) clock() balance.Time { return time.Since(h.origin) }

// post queues a function for the loop. It never blocks: the loop may be waiting for the goroutine that posts.
func (h *host) post(do func()) {
	h.mu.Lock()
	h.queue = append(h.queue, event{h.clock(), do}) // the time is read under the lock, so that the queue is in order of time
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// ask has the loop call a function and returns once that is done, or false if the loop ends first.
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

// applyOutOfService tells the Balancer which servers operators have taken out of service. Only the loop calls it.
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
