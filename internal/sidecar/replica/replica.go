// Package replica keeps one state machine the same on several keepers, by the library's raft with a bolt store and file
// snapshots. It does not know what commands mean.
//
// Invariants: a command that Propose has answered without error is on the disks of a majority and never lost; every replica
// applies the same commands in the same order; at most one replica is Ready to lead in a term.
package replica

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"
)

// Machine is what is replicated. Apply, Snapshot and Restore are called by one goroutine.
type Machine interface {
	Apply(command []byte) any
	Snapshot() ([]byte, error)
	Restore(io.Reader) error
}

// Peer is a member of the cluster.
type Peer struct {
	Name    string `json:"name"`
	Address string `json:"raft"`
	Voter   bool   `json:"voter"`
}

// Timing is how quick the agreement is. Zero fields are replaced by the defaults.
type Timing struct {
	Heartbeat     time.Duration // without one from the leader for so long, a replica stands for election
	SnapshotEvery time.Duration // at most so often a snapshot is taken
	SnapshotAfter uint64        // commands since the last one
	Trailing      uint64        // commands kept behind a snapshot, for replicas that are behind
}

// The defaults of Timing. A heartbeat of 400 ms lets a replica that is stopped for less than that keep its office, and has
// another in office within 2 s.
const (
	DefaultHeartbeat     = 400 * time.Millisecond
	DefaultSnapshotEvery = 20 * time.Second
	DefaultSnapshotAfter = 8192
	DefaultTrailing      = 4096
)

// Options say what a replica is.
type Options struct {
	Name      string
	Folder    string // of its log and snapshots
	Bind      string // address that it listens at, and whose host it calls from
	Advertise string // where others call it; "": Bind
	Peers     []Peer // the cluster at its first start, with this one; none: it waits to be added
	Timing    Timing
	Machine   Machine
	Log       *slog.Logger
	// Led is called, one call after the other, when this replica begins to lead a term, having applied all that was
	// acknowledged before, with a context that ends when it no longer leads.
	OnLeader func(context.Context)
}

// What can become of a proposal. After ErrUncertain the command may or may not have been applied; after the others it was not.
var (
	ErrNotLeader = errors.New("not the leader")
	ErrBusy      = errors.New("too much to do")
	ErrUncertain = errors.New("the outcome is unknown: leadership was lost meanwhile")
)

// Replica is one member of the cluster.
type Replica struct {
	options       Options
	raft          *raft.Raft
	store         *retryingStore
	transport     *raft.NetworkTransport
	ready         atomic.Bool // it leads and has applied what was acknowledged before
	leadership    chan bool
	endLeadership context.CancelFunc
	tasks         sync.WaitGroup
}

const (
	retainedSnapshots    = 2
	enqueueTimeout       = time.Second
	membershipTimeout    = 10 * time.Second // of a change of members
	peerTimeout          = 2 * time.Second  // of sending to a peer
	openTimeout          = time.Second      // for another process to let go of the folder
	restoreRetryInterval = 2 * time.Second  // after which a restore is helped on
)

// Open starts a replica. Close ends it.
func Open(o Options) (r *Replica, err error) {
	if err := os.MkdirAll(o.Folder, 0o700); err != nil {
		return nil, fmt.Errorf("folder: %w", err)
	}
	logger := hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Info, DisableTime: true, Output: logWriter{o.Log}})
	r = &Replica{options: o, leadership: make(chan bool, 16)}
	config := raft.DefaultConfig()
	config.LocalID = raft.ServerID(o.Name)
	t := o.Timing
	config.HeartbeatTimeout = cmp.Or(t.Heartbeat, DefaultHeartbeat)
	config.ElectionTimeout = config.HeartbeatTimeout
	config.LeaderLeaseTimeout = config.HeartbeatTimeout * 3 / 4
	config.CommitTimeout = config.HeartbeatTimeout / 20
	config.SnapshotInterval = cmp.Or(t.SnapshotEvery, DefaultSnapshotEvery)
	config.SnapshotThreshold = cmp.Or(t.SnapshotAfter, DefaultSnapshotAfter)
	config.TrailingLogs = cmp.Or(t.Trailing, DefaultTrailing)
	config.Logger = logger
	config.NotifyCh = r.leadership

	store, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(o.Folder, logFile), BoltOptions: &bbolt.Options{Timeout: openTimeout}})
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	stable := &retryingStore{store, o.Log, make(chan struct{})}
	r.store = stable
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(o.Folder, retainedSnapshots, logger)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("snapshots: %w", err), store.Close())
	}
	layer, err := newLayer(o.Bind, cmp.Or(o.Advertise, o.Bind))
	if err != nil {
		return nil, errors.Join(fmt.Errorf("raft: %w", err), store.Close())
	}
	r.transport = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: layer, MaxPool: 3, Timeout: peerTimeout, Logger: logger})
	known, err := raft.HasExistingState(store, store, snapshots)
	if err == nil && !known && len(o.Peers) > 0 {
		var c raft.Configuration
		for _, p := range o.Peers {
			c.Servers = append(c.Servers, raft.Server{ID: raft.ServerID(p.Name), Address: raft.ServerAddress(p.Address)})
		}
		err = raft.BootstrapCluster(config, store, stable, snapshots, r.transport, c)
	}
	if err == nil {
		r.raft, err = raft.NewRaft(config, fsm{o.Machine}, store, stable, snapshots, r.transport)
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("raft: %w", err), r.transport.Close(), store.Close())
	}
	r.tasks.Add(1)
	go r.followLeadership(r.leadership)
	return r, nil
}

// followLeadership hears when this replica begins and ceases to lead, until the channel closes.
func (r *Replica) followLeadership(leads <-chan bool) {
	defer r.tasks.Done()
	var office sync.WaitGroup
	cease := func() {
		r.ready.Store(false)
		if r.endLeadership != nil {
			r.endLeadership()
		}
		office.Wait()
	}
	defer cease()
	for lead := range leads {
		cease()
		if !lead {
			continue
		}
		var ctx context.Context
		ctx, r.endLeadership = context.WithCancel(context.Background())
		office.Add(1)
		go func() {
			defer office.Done()
			// What was acknowledged in earlier terms may not be applied here yet.
			if err := r.raft.Barrier(0).Error(); err != nil || ctx.Err() != nil {
				return
			}
			r.ready.Store(true)
			if r.options.OnLeader != nil {
				r.options.OnLeader(ctx)
			}
		}()
	}
}

// StepDown has another member lead, if this one does, so that nobody waits for an election when it ends. Errors say why none
// can; nothing is lost then but time.
func (r *Replica) StepDown() error {
	if r.raft.State() != raft.Leader {
		return nil
	}
	done := make(chan error, 1)
	go func() { done <- r.raft.LeadershipTransfer().Error() }()
	select {
	case err := <-done:
		if err != nil {
			return fmt.Errorf("step down: %w", err)
		}
		return nil
	case <-time.After(closeTimeout):
		return fmt.Errorf("step down: nobody took over within %v", closeTimeout)
	}
}

// Removed tells whether this replica was taken out of the cluster while it led it, and so has ended.
func (r *Replica) Removed() bool { return r.raft.State() == raft.Shutdown }

const closeTimeout = 3 * time.Second

// Close ends the replica. While the disk cannot be written, or a peer is silent, it leaves what waits for that to the end of
// the process: what was acknowledged is on the disk.
func (r *Replica) Close() error {
	close(r.store.stop)
	done := make(chan error, 1)
	go func() { done <- r.raft.Shutdown().Error() }()
	var err error
	select {
	case err = <-done:
	case <-time.After(closeTimeout):
		r.options.Log.Warn("raft does not end", "within", closeTimeout)
		return nil
	}
	close(r.leadership) // raft's goroutines have ended, and tell nothing more
	r.tasks.Wait()
	return errors.Join(err, r.transport.Close(), r.store.Close())
}

// Ready tells whether this replica leads and has applied all that was acknowledged before its term.
func (r *Replica) Ready() bool { return r.ready.Load() && r.raft.State() == raft.Leader }

// Propose has a command agreed on and returns what the machine answered. Errors wrap ErrNotLeader, ErrBusy, ErrUncertain, or
// are ctx's, which is uncertain too.
func (r *Replica) Propose(ctx context.Context, command []byte) (any, error) {
	if !r.Ready() {
		return nil, ErrNotLeader
	}
	future := r.raft.Apply(command, enqueueTimeout)
	done := make(chan error, 1)
	go func() { done <- future.Error() }()
	select {
	case err := <-done:
		if err != nil {
			return nil, translateError(err)
		}
		return future.Response(), nil
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrUncertain, ctx.Err())
	}
}

func translateError(err error) error {
	switch {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		return ErrNotLeader
	case errors.Is(err, raft.ErrEnqueueTimeout):
		return ErrBusy
	case errors.Is(err, raft.ErrLeadershipLost), errors.Is(err, raft.ErrAbortedByRestore), errors.Is(err, raft.ErrRaftShutdown):
		return fmt.Errorf("%w (%w)", ErrUncertain, err)
	}
	return fmt.Errorf("%w: %w", ErrUncertain, err)
}

// Confirm returns once this replica has proved that it still leads and has applied everything that was acknowledged before
// the call, so that a read afterwards is linearizable (Ongaro's dissertation, 6.4). Errors are ErrNotLeader or ctx's.
func (r *Replica) Confirm(ctx context.Context) error {
	if !r.Ready() {
		return ErrNotLeader
	}
	index := r.raft.CommitIndex()
	done := make(chan error, 1)
	go func() { done <- r.raft.VerifyLeader().Error() }()
	select {
	case err := <-done:
		if err != nil {
			return ErrNotLeader
		}
	case <-ctx.Done():
		return ctx.Err()
	}
	for r.raft.AppliedIndex() < index {
		select {
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Status is what a replica knows of the agreement.
type Status struct {
	Name    string        `json:"name"`
	Role    string        `json:"role"` // "leader", "follower", "candidate"
	Leader  string        `json:"leader"`
	Term    uint64        `json:"term"`
	Commit  uint64        `json:"commit_index"`
	Applied uint64        `json:"applied_index"`
	Last    uint64        `json:"last_index"`
	Age     time.Duration `json:"-"` // see Age
	Peers   []Peer        `json:"peers"`
}

// Status tells it.
func (r *Replica) Status() Status {
	_, leader := r.raft.LeaderWithID()
	age, ok := r.Age()
	if !ok {
		age = -1
	}
	s := Status{Name: r.options.Name, Role: strings.ToLower(r.raft.State().String()), Leader: string(leader), Term: r.raft.CurrentTerm(),
		Commit: r.raft.CommitIndex(), Applied: r.raft.AppliedIndex(), Last: r.raft.LastIndex(), Age: age}
	s.Peers, _ = r.Peers() // without them while it ends
	return s
}

// Age is how long ago this replica last knew itself in touch with the leader; 0 on the leader. It tells false where it has
// not been since its start.
func (r *Replica) Age() (time.Duration, bool) {
	if r.Ready() {
		return 0, true
	}
	last := r.raft.LastContact()
	if last.IsZero() {
		return 0, false
	}
	return time.Since(last), true
}

// Leader is the name of the leader; "": none is known.
func (r *Replica) Leader() string {
	_, id := r.raft.LeaderWithID()
	return string(id)
}
