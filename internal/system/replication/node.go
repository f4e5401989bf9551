package replication

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
	"gradeusher.example/gradeusher/internal/system/wal"
)

const (
	tickInterval      = 25 * time.Millisecond
	defaultAckTimeout = 5 * time.Second
)

// Options are what a Node is started with.
type Options struct {
	Addr, Zone, Region string            // of this machine; Addr is its IP address
	Port               int               // inner port, the same on all machines
	Seeds              []string          // IP addresses of the nodes that form the first view
	Bootstrap          bool              // this node may take part in forming it
	MachineLosses      int               // disks that may be lost at once
	ZoneLosses         int               // zones that may be lost at once, all of their nodes with them
	RegionLosses       int               // regions, likewise
	AckTimeout         time.Duration     // a change must be acknowledged within it; repair times are derived from it. 0: 5 s
	Disk               wal.Disk          // used by this node alone until Stop has returned; nil for an observer
	Observer           bool              // the machine has no disk: follows and forwards calls, never a voter nor a chain replica
	Transport          http.RoundTripper // nil: connections of its own
	Log                log.Interface     // nil: the standard logger
}

// applyDefaults fills in what is not set, and checks that there is a disk.
func (o *Options) applyDefaults() error {
	if o.Observer {
		o.Disk = nullDisk{} // an identity that has voted before must not be taken up by one that cannot vote
	}
	if o.Disk == nil {
		return ErrNoDisk
	}
	if o.AckTimeout <= 0 {
		o.AckTimeout = defaultAckTimeout
	}
	if o.Log == nil {
		o.Log = log.Log
	}
	return nil
}

// coreConfig derives the configuration of the core. Identity, incarnation and jitter are random.
func (o *Options) coreConfig() (Config, error) {
	var random [24]byte
	if _, err := rand.Read(random[:]); err != nil {
		return Config{}, errors.Wrap(err, "replication: no random numbers")
	}
	identity, incarnation := random[:16], random[16:]
	return Config{
		Self:              Member{ID: ID(hex.EncodeToString(identity)), Addr: o.Addr, Zone: o.Zone, Region: o.Region},
		MachineLosses:     o.MachineLosses,
		ZoneLosses:        o.ZoneLosses,
		RegionLosses:      o.RegionLosses,
		Seeds:             o.Seeds,
		Bootstrap:         o.Bootstrap,
		Observer:          o.Observer,
		HeartbeatInterval: min(defaultHeartbeatInterval, o.AckTimeout/50),
		SuspectTimeout:    min(defaultSuspectTimeout, o.AckTimeout*7/50),
		SlowDiskTimeout:   min(defaultSlowDiskTimeout, o.AckTimeout/10),
		Incarnation:       binary.BigEndian.Uint64(incarnation) | 1,
		Seed:              binary.BigEndian.Uint64(identity),
	}, nil
}

// SubmitResult is what became of a change.
type SubmitResult struct {
	Verdict controlstate.Verdict
	Seq     uint64 // the record that the verdict rests on, committed
}

// Node drives a Core with a clock, a disk and a network: one member of the chain, or an observer. Its methods may be called by several
// goroutines at once.
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
	waiters          map[uint64]chan Completion // by call
	seq              uint64                     // committed, as last published
	changed          chan struct{}              // closed when the committed state changes
	loggedView       *View
	capacityReporter capacityReporter
}

// Start reads the disk and starts the node. It ends with ctx or Stop. The error is ErrNoDisk, or marked wal.ErrDamaged where the disk is to be
// replaced.
func Start(ctx context.Context, opt Options) (*Node, error) {
	if err := opt.applyDefaults(); err != nil {
		return nil, err
	}
	meta, snap, entries, err := opt.Disk.Load()
	if err != nil {
		return nil, errors.Wrap(err, "replication: the disk cannot be read: repair it, or empty the node's data directory")
	}
	cfg, err := opt.coreConfig()
	if err != nil {
		return nil, err
	}
	core, err := NewCore(cfg, controlMachine{}, meta, snap, entries)
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

// now is the core's clock: the time since the start, from a monotonic clock.
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

// update has the core take up an event and carries out what it wants. It does nothing once the node is stopped.
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

// execute carries out what the core wants. The caller holds mu.
func (n *Node) execute(out Outputs) {
	for _, event := range out.LogEvents {
		n.log.Info(event)
	}
	for _, e := range out.Messages {
		n.transport.send(e)
	}
	if out.Disk != nil {
		n.disk <- out.Disk // does not block: the core has one operation in progress at most
	}
	for _, done := range out.Completions {
		if waiter := n.waiters[done.ID]; waiter != nil {
			delete(n.waiters, done.ID)
			waiter <- done
		}
	}
}

// publishState tells those who wait for a change of the committed state. The caller holds mu.
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

// Stop ends the node's goroutines and waits for them, at most as long as a disk write takes.
func (n *Node) Stop() {
	n.cancel()
	n.wg.Wait()
}

// Leave tells the others that this node is about to stop, and waits until it is out of the chain and enough other replicas hold what was
// acknowledged, or until ctx ends. Only then may its disk go.
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

// Handler serves what other nodes send. Mount it at PathPrefix on the inner port.
func (n *Node) Handler() http.Handler {
	srv := replicationpb.NewReplicationServer(deliverer{n})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBatchBytes)
		srv.ServeHTTP(w, r)
	})
}

// PathPrefix is where Handler belongs.
const PathPrefix = replicationpb.ReplicationPathPrefix

type deliverer struct{ node *Node }

// Deliver takes messages of another node.
func (d deliverer) Deliver(_ context.Context, b *replicationpb.Batch) (*replicationpb.Empty, error) {
	d.node.update(func(c *Core) {
		for _, m := range b.GetMessages() {
			c.Receive(d.node.now(), m)
		}
	})
	return &replicationpb.Empty{}, nil
}

// call has the core take up a call and waits for its completion.
func (n *Node) call(ctx context.Context, start func(c *Core, id uint64, ttl time.Duration)) (Completion, error) {
	ttl := n.opt.AckTimeout
	if deadline, ok := ctx.Deadline(); ok {
		ttl = time.Until(deadline)
	}
	if ttl <= 0 || ctx.Err() != nil {
		err := errors.New("replication: the deadline has passed: ask again")
		return Completion{}, errors.Mark(errors.Mark(err, ErrNotApplied), ErrUnavailable)
	}
	waiter := make(chan Completion, 1)
	var id uint64
	n.update(func(c *Core) {
		n.lastCallID++
		id = n.lastCallID
		n.waiters[id] = waiter
		start(c, id, ttl)
	})
	if id == 0 {
		return Completion{}, ErrStopped
	}
	select {
	case done, ok := <-waiter:
		if !ok {
			return Completion{}, errors.Mark(ErrStopped, ErrUnavailable)
		}
		return done, nil
	case <-ctx.Done():
		n.update(func(c *Core) {
			delete(n.waiters, id)
			c.Abandon(id)
		})
		return Completion{}, errors.Mark(errors.Wrap(ctx.Err(), "replication: no answer"), ErrUnavailable)
	}
}

// Submit asks for a change and waits until what becomes of it is committed: acknowledged by enough disks. It may be called on any node. Without
// a deadline of ctx it waits for Options.AckTimeout. Errors are marked ErrUnavailable, and ErrNotApplied too when the change is certain not to
// be applied; after Stop the error is ErrStopped.
func (n *Node) Submit(ctx context.Context, change controlstate.Change) (SubmitResult, error) {
	done, err := n.call(ctx, func(c *Core, id uint64, ttl time.Duration) { c.Submit(n.now(), id, change, ttl) })
	if err != nil {
		return SubmitResult{}, err
	}
	switch done.Outcome {
	case Answered:
		return SubmitResult{Verdict: done.Verdict, Seq: done.Seq}, nil
	case Refused:
		return SubmitResult{}, errors.Mark(ErrNotApplied, ErrUnavailable)
	}
	return SubmitResult{}, ErrUnavailable
}

// Read returns the state after all that was acknowledged before the call, and perhaps later changes. It may be called on any node. Errors are
// marked ErrUnavailable; after Stop the error is ErrStopped.
func (n *Node) Read(ctx context.Context) (*controlstate.State, error) {
	done, err := n.call(ctx, func(c *Core, id uint64, ttl time.Duration) { c.Read(n.now(), id, ttl) })
	if err != nil {
		return nil, err
	}
	state, ok := done.State.(controlState)
	if done.Outcome != Answered || !ok {
		return nil, ErrUnavailable
	}
	return state.State, nil
}

// Committed returns the newest state known here to be committed, and a channel that is closed when there is a newer one.
func (n *Node) Committed() (*controlstate.State, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, s := n.core.Committed()
	state, _ := s.(controlState)
	return state.State, n.changed
}

// RecordsAfter lists the committed records after seq, at most limit of them; false where they are no longer or not yet known.
func (n *Node) RecordsAfter(seq uint64, limit int) ([]controlstate.Record, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.RecordsAfter(seq, limit)
}

// Current reports whether what Committed gives may be passed on as new: within the last 600 ms (900 ms at an observer) a majority of the voters
// confirmed that they know of no later epoch, and this node is a chain replica or a learner that has caught up.
func (n *Node) Current() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.stopped && n.core.Current(n.now())
}

// Partitioned reports whether this node has had no way to the chain for so long that a change asked for here would not be accepted.
func (n *Node) Partitioned() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.stopped && n.core.Partitioned(n.now())
}

// Capacity compares the nodes that exist with those that the tolerance needs, as this node sees them now.
func (n *Node) Capacity() Capacity {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Capacity()
}

// View returns the newest view known here. The caller must not change it.
func (n *Node) View() *View {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.View()
}

// Err tells why this node takes no part any more, for good; the others go on without it. It is nil as long as all is well.
func (n *Node) Err() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Err()
}

// Self returns this node's identity, address, zone and region.
func (n *Node) Self() Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Self()
}
