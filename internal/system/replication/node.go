package replication

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

const tickInterval = 25 * time.Millisecond

// Node drives a Core with a clock, a disk and a network. It is a member of the chain or an observer. Its methods may be called
// concurrently.
type Node struct {
	began     time.Time
	opt       Options
	cancel    context.CancelFunc
	wg        sync.WaitGroup // of all goroutines of the node
	transport *transport
	disk      chan *DiskOp
	log       log.Interface

	mu               sync.Mutex // guards what follows
	core             *Core
	stopped          bool
	lastCallID       uint64
	waiters          map[uint64]chan Completion // by call ID
	seq              uint64                     // newest committed record, as last published
	changed          chan struct{}              // closed when the committed state changes
	loggedView       *View
	capacityReporter capacityReporter
}

// Start reads the disk and starts the node, which runs until ctx ends or Stop is called. The error is ErrNoDisk, or is marked
// wal.ErrDamaged if the disk's contents must be replaced.
func Start(ctx context.Context, opt Options) (*Node, error) {
	if err := opt.applyDefaults(); err != nil {
		return nil, err
	}
	stored, err := opt.Disk.Load()
	if err != nil {
		return nil, errors.Wrap(err, "replication: the disk cannot be read: repair it, or empty the node's data directory")
	}
	cfg, err := opt.coreConfig()
	if err != nil {
		return nil, err
	}
	core, err := NewCore(cfg, controlMachine{}, stored.Meta, stored.Snapshot, stored.Entries)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	n := &Node{
		began: time.Now(), opt: opt, cancel: cancel, disk: make(chan *DiskOp, 1), log: opt.Log, core: core,
		waiters: map[uint64]chan Completion{}, changed: make(chan struct{}), loggedView: core.View(),
	}
	n.seq, _ = core.Committed()
	n.transport = newTransport(ctx, &n.wg, opt.Port, opt.Transport)
	n.wg.Go(func() { n.runDisk(ctx) })
	n.wg.Go(func() { n.runClock(ctx) })
	n.log.WithField("id", string(core.Self().ID)).Info("replication: node started")
	return n, nil
}

// now returns the core's clock: the time since the start, from a monotonic clock.
func (n *Node) now() time.Duration { return time.Since(n.began) }

// runClock ticks until ctx ends.
func (n *Node) runClock(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	n.update(func(c *Core) { c.Tick(n.now()) })
	for {
		select {
		case <-ctx.Done():
			n.failWaiters()
			return
		case <-ticker.C:
			n.update(func(c *Core) { c.Tick(n.now()) })
		}
	}
}

// runDisk runs the core's disk operations until ctx ends.
func (n *Node) runDisk(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case op := <-n.disk:
			err := op.Do(n.opt.Disk)
			n.update(func(c *Core) { c.DiskDone(n.now(), op.Token, err) })
		}
	}
}

// update passes an event to the core and executes the work that it requests. It does nothing once the node is stopped.
func (n *Node) update(event func(*Core)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return
	}
	event(n.core)
	n.execute(n.core.Ready())
	n.publishState()
	n.capacityReporter.report(n.now(), n.core, n.log)
	if v := n.core.View(); v != n.loggedView {
		n.loggedView = v
		n.log.WithField("epoch", v.Epoch).Info("replication: new view: " + v.String())
	}
}

// execute executes the work that the core requests. The caller holds mu.
func (n *Node) execute(out Outputs) {
	for _, event := range out.LogEvents {
		n.log.Info(event)
	}
	for _, e := range out.Messages {
		n.transport.send(e)
	}
	if out.Disk != nil {
		n.disk <- out.Disk // does not block: the core has at most one operation in progress
	}
	for _, done := range out.Completions {
		if waiter := n.waiters[done.ID]; waiter != nil {
			delete(n.waiters, done.ID)
			waiter <- done
		}
	}
}

// publishState notifies those who wait for a change of the committed state. The caller holds mu.
func (n *Node) publishState() {
	if seq, _ := n.core.Committed(); seq != n.seq {
		n.seq = seq
		close(n.changed)
		n.changed = make(chan struct{})
	}
}

// failWaiters marks the node as stopped and ends all calls.
func (n *Node) failWaiters() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped = true
	for id, waiter := range n.waiters {
		delete(n.waiters, id)
		close(waiter)
	}
}

// Stop stops the node's goroutines and waits for them, for at most the duration of a disk write.
func (n *Node) Stop() {
	n.cancel()
	n.wg.Wait()
}

// SetSeeds replaces the addresses at which this node looks for others, after the settings have changed. They have no effect on which
// nodes form the first view.
func (n *Node) SetSeeds(seeds []string) {
	n.update(func(c *Core) { c.SetSeeds(n.now(), seeds) })
}

// Leave informs the other nodes that this node is about to stop, and waits until it is out of the chain and enough other replicas
// hold what was acknowledged, or until ctx ends. Only in the first case may its disk be removed.
func (n *Node) Leave(ctx context.Context) {
	n.update(func(c *Core) { c.Leave(n.now()) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for !n.hasDeparted() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (n *Node) hasDeparted() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stopped || n.core.Departed()
}

// Handler serves the messages of other nodes. Mount it at PathPrefix on the inner port.
func (n *Node) Handler() http.Handler {
	srv := replicationpb.NewReplicationServer(deliverer{n})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBatchBytes)
		srv.ServeHTTP(w, r)
	})
}

// PathPrefix is the path at which to mount Handler.
const PathPrefix = replicationpb.ReplicationPathPrefix

type deliverer struct{ node *Node }

// Deliver passes messages of another node to the core.
func (d deliverer) Deliver(_ context.Context, b *replicationpb.Batch) (*replicationpb.Empty, error) {
	d.node.update(func(c *Core) {
		for _, m := range b.GetMessages() {
			c.Receive(d.node.now(), m)
		}
	})
	return &replicationpb.Empty{}, nil
}
