// Package replica keeps a state machine the same on several nodes, by hashicorp/raft with a bbolt log and file snapshots. It does not know what
// commands mean.
//
// Terms are raft's (Ongaro, "Consensus: Bridging Theory and Practice", 2014): a leader is elected for a term; a command is committed once a
// majority has it on disk; a voter is a member that counts for a majority.
//
// Invariants: a command that Propose has answered without an error is on the disks of a majority and never lost; every replica applies the
// same commands in the same order; at most one replica is Ready in a term.
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
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"
)

// Machine is the state machine that is replicated. One goroutine calls its methods.
type Machine interface {
	// Apply applies a command and returns what Propose returns for it. It must be deterministic.
	Apply(command []byte) any
	// Snapshot returns the state as bytes.
	Snapshot() ([]byte, error)
	// Restore replaces the state by that of a snapshot.
	Restore(io.Reader) error
}

// Peer is a member of the cluster.
type Peer struct {
	Name    string `json:"name"`
	Address string `json:"raft"`
	Voter   bool   `json:"voter"`
}

// Timing bounds how quickly a leader is replaced and how much is stored. Zero fields stand for the defaults.
type Timing struct {
	Heartbeat     time.Duration // without a heartbeat of the leader for so long, a replica stands for election
	SnapshotEvery time.Duration // shortest interval of snapshots
	SnapshotAfter uint64        // commands between snapshots
	Trailing      uint64        // commands that stay in the log behind a snapshot, for replicas that are behind
}

// The defaults of Timing. With a heartbeat time-out of 400 ms, a leader that pauses for less keeps its leadership, and a lost one is replaced
// within 2 s.
const (
	DefaultHeartbeat     = 400 * time.Millisecond
	DefaultSnapshotEvery = 20 * time.Second
	DefaultSnapshotAfter = 8192
	DefaultTrailing      = 4096
)

// Options say what a replica is.
type Options struct {
	Name      string
	Folder    string // of the log and the snapshots; of this replica alone
	Bind      string // address at which it listens, and whose host it dials from
	Advertise string // address at which others reach it; "": Bind
	Peers     []Peer // all members at the cluster's first start, including this one; none: it waits to be added
	Timing    Timing
	Machine   Machine
	Log       *slog.Logger
	// OnLeader is called when this replica begins to lead and has applied all that was acknowledged before. Its context ends with the
	// leadership; a next call begins after it returned.
	OnLeader func(context.Context)
}

// Replica is one member of the cluster. Its methods are safe for concurrent use.
type Replica struct {
	options       Options
	raft          *raft.Raft
	store         *retryingStore
	transport     *raft.NetworkTransport
	ready         atomic.Bool // it leads and has applied what was acknowledged before
	leadership    chan bool   // raft sends true when this replica begins to lead, false when it ceases to
	endLeadership context.CancelFunc
	tasks         sync.WaitGroup
}

const (
	retainedSnapshots    = 2
	maxConnectionsToPeer = 3
	enqueueTimeout       = time.Second      // for room in raft's queue of proposals
	membershipTimeout    = 10 * time.Second // of a change of members, and of a restore
	peerTimeout          = 2 * time.Second  // of a message to a peer
	openTimeout          = time.Second      // for another process to unlock the log
	closeTimeout         = 3 * time.Second  // of a shutdown, and of a transfer of leadership
)

// Open starts a replica, which Close ends. Errors say what of the folder or of the addresses cannot be used.
func Open(options Options) (*Replica, error) {
	if err := os.MkdirAll(options.Folder, 0o700); err != nil {
		return nil, fmt.Errorf("folder: %w", err)
	}
	logger := hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Info, DisableTime: true, Output: logWriter{options.Log}})
	r := &Replica{options: options, leadership: make(chan bool, 16)}
	log, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(options.Folder, logFile), BoltOptions: &bbolt.Options{Timeout: openTimeout}})
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	r.store = &retryingStore{BoltStore: log, log: options.Log, stop: make(chan struct{})}
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(options.Folder, retainedSnapshots, logger)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("snapshots: %w", err), log.Close())
	}
	layer, err := newStreamLayer(options.Bind, cmp.Or(options.Advertise, options.Bind))
	if err != nil {
		return nil, errors.Join(fmt.Errorf("raft: %w", err), log.Close())
	}
	r.transport = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: layer, MaxPool: maxConnectionsToPeer, Timeout: peerTimeout,
		Logger: logger})
	if err := r.startRaft(r.raftConfig(logger), snapshots); err != nil {
		return nil, errors.Join(fmt.Errorf("raft: %w", err), r.transport.Close(), log.Close())
	}
	r.tasks.Go(func() { r.followLeadership() })
	return r, nil
}

func (r *Replica) raftConfig(logger hclog.Logger) *raft.Config {
	timing := r.options.Timing
	config := raft.DefaultConfig()
	config.LocalID = raft.ServerID(r.options.Name)
	config.HeartbeatTimeout = cmp.Or(timing.Heartbeat, DefaultHeartbeat)
	config.ElectionTimeout = config.HeartbeatTimeout
	config.LeaderLeaseTimeout = config.HeartbeatTimeout * 3 / 4
	config.CommitTimeout = config.HeartbeatTimeout / 20
	config.SnapshotInterval = cmp.Or(timing.SnapshotEvery, DefaultSnapshotEvery)
	config.SnapshotThreshold = cmp.Or(timing.SnapshotAfter, DefaultSnapshotAfter)
	config.TrailingLogs = cmp.Or(timing.Trailing, DefaultTrailing)
	config.Logger = logger
	config.NotifyCh = r.leadership
	return config
}

// startRaft starts raft, with the members of Options.Peers where nothing is stored yet.
func (r *Replica) startRaft(config *raft.Config, snapshots raft.SnapshotStore) error {
	log := r.store.BoltStore // a log entry that cannot be written is refused by raft itself
	hasState, err := raft.HasExistingState(log, log, snapshots)
	if err != nil {
		return err
	}
	if !hasState && len(r.options.Peers) > 0 {
		var members raft.Configuration
		for _, peer := range r.options.Peers {
			members.Servers = append(members.Servers, raft.Server{ID: raft.ServerID(peer.Name), Address: raft.ServerAddress(peer.Address)})
		}
		if err := raft.BootstrapCluster(config, log, r.store, snapshots, r.transport, members); err != nil {
			return err
		}
	}
	r.raft, err = raft.NewRaft(config, fsm{r.options.Machine}, log, r.store, snapshots, r.transport)
	return err
}

// Close ends the replica. Where raft does not end in time, because the disk cannot be written or a peer does not answer, it returns all the same
// and leaves the rest to the end of the process: what was acknowledged is on the disk.
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
	close(r.leadership) // raft's goroutines have ended, and send nothing more
	r.tasks.Wait()
	return errors.Join(err, r.transport.Close(), r.store.Close())
}
