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

// Kinds of errors.
var (
	// ErrUnavailable marks what could not be done in time. A change may or may not come about: ask again.
	ErrUnavailable = errors.New("replication: no answer in time: ask again")
	// ErrNotApplied marks, beside ErrUnavailable, a change that has not come about and will not.
	ErrNotApplied = errors.New("replication: not taken: ask again")
	// ErrStopped marks calls after Stop, and of a keeper that had to give up.
	ErrStopped = errors.New("replication: this keeper has stopped: ask another")
	// ErrNoDisk is given where a keeper that is no observer is started without a disk.
	ErrNoDisk = errors.New("replication: a keeper that votes needs a disk: set data_dir, or start it as an observer")
)

const tickInterval = 25 * time.Millisecond

// Options are what a Keeper is started with.
type Options struct {
	Addr, Zone, Region string            // of this machine; Addr is its IP address
	Port               int               // inner port, the same on all machines
	Seeds              []string          // IP addresses of the keepers that form the first view
	Bootstrap          bool              // this keeper may take part in forming it
	MachineLosses      int               // disks that may be lost at once
	ZoneLosses         int               // zones that may be lost at once, all of their keepers with them
	RegionLosses       int               // regions, likewise
	AckTimeout         time.Duration     // a change must be acknowledged within it; repair times are derived from it. 0: 5 s
	Disk               wal.Disk          // used by this keeper alone until Stop has returned; nil for an observer
	Observer           bool              // the machine has no disk: follows and passes calls on, never a voter nor a link
	Transport          http.RoundTripper // nil: connections of its own
	Log                log.Interface     // nil: the standard logger
}

// SubmitResult is what became of a change.
type SubmitResult struct {
	Verdict controlstate.Verdict
	Seq     uint64 // the record that the verdict rests on, committed
}

// Node is one member of the chain. Its methods may be called by several goroutines at once.
type Node struct {
	began     time.Time
	opt       Options
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	transport *transport
	disk      chan *DiskOp
	log       log.Interface

	mu               sync.Mutex
	core             *Core
	stopped          bool
	lastCallID       uint64
	waiters          map[uint64]chan Completion
	seq              uint64
	changed          chan struct{} // closed when the committed state changes
	loggedView       *View
	capacityReporter capacityReporter
}

// Start reads the disk and starts the keeper. It ends with ctx or Stop.
func Start(ctx context.Context, opt Options) (*Node, error) {
	if opt.Observer {
		opt.Disk = nullDisk{} // an identity that has voted before must not be taken up by one that cannot vote
	}
	if opt.Disk == nil {
		return nil, ErrNoDisk
	}
	meta, snap, entries, err := opt.Disk.Load()
	if err != nil {
		return nil, errors.Wrap(err, "replication: the disk cannot be read: repair it, or empty the keeper's data directory")
	}
	if opt.AckTimeout <= 0 {
		opt.AckTimeout = 5 * time.Second
	}
	if opt.Log == nil {
		opt.Log = log.Log
	}
	var random [24]byte
	if _, err := rand.Read(random[:]); err != nil {
		return nil, errors.Wrap(err, "replication: no random numbers")
	}
	cfg := Config{
		Self:          Member{ID: ID(hex.EncodeToString(random[:16])), Addr: opt.Addr, Zone: opt.Zone, Region: opt.Region},
		MachineLosses: opt.MachineLosses, ZoneLosses: opt.ZoneLosses, RegionLosses: opt.RegionLosses, Seeds: opt.Seeds, Bootstrap: opt.Bootstrap, Observer: opt.Observer,
		HeartbeatInterval: min(100*time.Millisecond, opt.AckTimeout/50), SuspectTimeout: min(700*time.Millisecond, opt.AckTimeout*7/50),
		SlowDiskTimeout: min(500*time.Millisecond, opt.AckTimeout/10),
		Incarnation:     binary.BigEndian.Uint64(random[16:]) | 1, Seed: binary.BigEndian.Uint64(random[:8]),
	}
	core, err := NewCore(cfg, controlMachine{}, meta, snap, entries)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	k := &Node{
		began: time.Now(), opt: opt, cancel: cancel, disk: make(chan *DiskOp, 1), log: opt.Log, core: core,
		waiters: map[uint64]chan Completion{}, changed: make(chan struct{}), loggedView: core.View(),
	}
	k.seq, _ = core.Committed()
	k.transport = newTransport(ctx, &k.wg, opt.Port, opt.Transport)
	k.wg.Go(func() { k.runDisk(ctx) })
	k.wg.Go(func() { k.runClock(ctx) })
	k.log.WithField("id", string(core.Self().ID)).Info("replication: keeper started")
	return k, nil
}

func (k *Node) now() time.Duration { return time.Since(k.began) }

// runClock tells the core the time.
func (k *Node) runClock(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	k.update(func(c *Core) { c.Tick(k.now()) })
	for {
		select {
		case <-ctx.Done():
			k.failWaiters()
			return
		case <-t.C:
			k.update(func(c *Core) { c.Tick(k.now()) })
		}
	}
}

// runDisk does the core's disk operations.
func (k *Node) runDisk(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case op := <-k.disk:
			err := op.Do(k.opt.Disk)
			k.update(func(c *Core) { c.DiskDone(k.now(), op.Token, err) })
		}
	}
}

// update has the core take an event and carries out what it wants.
func (k *Node) update(f func(*Core)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopped {
		return
	}
	f(k.core)
	out := k.core.Ready()
	for _, n := range out.LogEvents {
		k.log.Info(n)
	}
	for _, e := range out.Messages {
		k.transport.send(e)
	}
	if out.Disk != nil {
		k.disk <- out.Disk // has room: the core has one operation under way at most
	}
	for _, d := range out.Completions {
		if w := k.waiters[d.ID]; w != nil {
			delete(k.waiters, d.ID)
			w <- d
		}
	}
	if seq, _ := k.core.Committed(); seq != k.seq {
		k.seq = seq
		close(k.changed)
		k.changed = make(chan struct{})
	}
	k.capacityReporter.report(k.now(), k.core, k.log)
	if v := k.core.View(); v != k.loggedView {
		k.loggedView = v
		k.log.WithField("epoch", v.Epoch).Info("replication: new view: " + v.String())
	}
}

func (k *Node) failWaiters() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stopped = true
	for id, w := range k.waiters {
		delete(k.waiters, id)
		close(w)
	}
}

// Stop ends the keeper's goroutines and waits for them, at most as long as a disk write takes.
func (k *Node) Stop() {
	k.cancel()
	k.wg.Wait()
}

// Leave tells the others that this keeper is about to stop, and waits until it is out of the chain and enough other links
// hold what was acknowledged, or until ctx ends. Only then may its disk go.
func (k *Node) Leave(ctx context.Context) {
	k.update(func(c *Core) { c.Leave(k.now()) })
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		k.mu.Lock()
		left := k.stopped || k.core.Departed()
		k.mu.Unlock()
		if left {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Handler serves what other keepers send. Mount it at PathPrefix on the inner port.
func (k *Node) Handler() http.Handler {
	srv := replicationpb.NewReplicationServer(deliverer{k})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBatchBytes)
		srv.ServeHTTP(w, r)
	})
}

// PathPrefix is where Handler belongs.
const PathPrefix = replicationpb.ReplicationPathPrefix

type deliverer struct{ node *Node }

// Deliver takes messages of another keeper.
func (d deliverer) Deliver(_ context.Context, b *replicationpb.Batch) (*replicationpb.Empty, error) {
	d.node.update(func(c *Core) {
		for _, m := range b.GetMessages() {
			c.Receive(d.node.now(), m)
		}
	})
	return &replicationpb.Empty{}, nil
}

// await has the core take up something and waits for its completion.
func (k *Node) await(ctx context.Context, f func(c *Core, id uint64, ttl time.Duration)) (Completion, error) {
	ttl := k.opt.AckTimeout
	if d, ok := ctx.Deadline(); ok {
		ttl = time.Until(d)
	}
	if ttl <= 0 || ctx.Err() != nil {
		return Completion{}, errors.Mark(errors.Mark(errors.New("replication: the deadline has passed: ask again"), ErrNotApplied), ErrUnavailable)
	}
	done := make(chan Completion, 1)
	var id uint64
	k.update(func(c *Core) {
		k.lastCallID++
		id = k.lastCallID
		k.waiters[id] = done
		f(c, id, ttl)
	})
	if id == 0 {
		return Completion{}, ErrStopped
	}
	select {
	case d, ok := <-done:
		if !ok {
			return Completion{}, errors.Mark(ErrStopped, ErrUnavailable)
		}
		return d, nil
	case <-ctx.Done():
		k.update(func(c *Core) {
			delete(k.waiters, id)
			c.Abandon(id)
		})
		return Completion{}, errors.Mark(errors.Wrap(ctx.Err(), "replication: no answer"), ErrUnavailable)
	}
}

// Submit asks for a change and waits until what becomes of it is committed: acknowledged by enough disks. It may be
// called on any keeper. Without a deadline of ctx it waits for Options.Ack. Errors are marked ErrUnavailable, and
// ErrNotApplied too when the change is certain not to come about.
func (k *Node) Submit(ctx context.Context, change controlstate.Change) (SubmitResult, error) {
	d, err := k.await(ctx, func(c *Core, id uint64, ttl time.Duration) { c.Submit(k.now(), id, change, ttl) })
	if err != nil {
		return SubmitResult{}, err
	}
	switch d.Outcome {
	case Answered:
		return SubmitResult{Verdict: d.Verdict, Seq: d.Seq}, nil
	case Refused:
		return SubmitResult{}, errors.Mark(ErrNotApplied, ErrUnavailable)
	}
	return SubmitResult{}, ErrUnavailable
}

// Read gives the state after all that was acknowledged before the call, and perhaps later changes. It may be called on
// any keeper. Errors are marked ErrUnavailable.
func (k *Node) Read(ctx context.Context) (*controlstate.State, error) {
	d, err := k.await(ctx, func(c *Core, id uint64, ttl time.Duration) { c.Read(k.now(), id, ttl) })
	if err != nil {
		return nil, err
	}
	s, ok := d.State.(controlState)
	if d.Outcome != Answered || !ok {
		return nil, ErrUnavailable
	}
	return s.State, nil
}

// Committed gives the newest state known here to be committed, and a channel that is closed when there is a newer one.
func (k *Node) Committed() (*controlstate.State, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, s := k.core.Committed()
	cs, _ := s.(controlState)
	return cs.State, k.changed
}

// RecordsAfter lists the committed records after seq, at most of them; false where they are no longer or not yet known.
func (k *Node) RecordsAfter(seq uint64, most int) ([]controlstate.Record, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.core.RecordsAfter(seq, most)
}

// Current tells whether what Committed gives may be passed on as new: within the last 600 ms a majority of voters said
// that no later epoch is about, and this keeper is a link or fed by one.
func (k *Node) Current() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.stopped && k.core.Current(k.now())
}

// Partitioned tells whether this keeper has had no way to the chain for so long that a change asked for here would not be taken.
func (k *Node) Partitioned() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.stopped && k.core.Partitioned(k.now())
}

// View gives the newest view known here. Do not change it.
func (k *Node) View() *View {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.core.View()
}

// Err tells why this keeper has stopped taking part for good; the others go on without it. It is nil as long as all is
// well.
func (k *Node) Err() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.core.Err()
}

// Self gives this keeper's identity and place.
func (k *Node) Self() Member {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.core.Self()
}
