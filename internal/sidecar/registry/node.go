// Package registry is the registry node: it serves the list of servers, the route table and the singleton roles over HTTP/1.1, and keeps
// them the same on all nodes of the cluster by raft.
//
// Terms: a node is one process of the cluster; the leader is the node that raft has elected for a term; a watch is a call whose answer
// goes on, a line of JSON for each change; a server or a role has a lease, which ends unless it is renewed (docs/singleton-roles.md has
// the proof for roles).
//
// The state is the replicated state machine of package state. A node has of its own only what can be lost with it: the watches that
// are open, and, on the leader, the times at which leases end, which are not in the log.
package registry

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"gradeusher.example/gradeusher/internal/sidecar/replica"
)

// Node is one registry node.
type Node struct {
	config  Config
	log     *slog.Logger
	store   *store
	replica *replica.Replica
	metrics *metrics
	ending  chan struct{} // closed when the node ends: watches end then

	calls         chan struct{} // holds an element for each call in progress that is no watch
	watchStarts   *rate.Limiter
	watchers      atomic.Int64 // open watches of the list
	routeWatchers atomic.Int64
	roleWatchers  atomic.Int64

	views        *viewCache
	serverLessor serverLessor
	roleLessor   roleLessor

	membership sync.Mutex   // one change of members, or one restore, at a time
	restoring  sync.RWMutex // held for writing while a backup replaces the state: no role changes then
}

func milliseconds(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

func newNode(config Config, log *slog.Logger) *Node {
	startsPerSecond := config.Limits.WatchStartsPerSecond
	node := &Node{
		config:      config,
		log:         log,
		store:       newStore(),
		ending:      make(chan struct{}),
		calls:       make(chan struct{}, config.Limits.MaxCalls),
		watchStarts: rate.NewLimiter(rate.Limit(startsPerSecond), max(1, startsPerSecond/4)),
	}
	node.serverLessor.limits = expiryLimits{
		Grace:    milliseconds(config.Leases.GraceMS),
		Share:    config.Leases.Share,
		MinCount: config.Leases.MinCount,
		Window:   milliseconds(config.Leases.WindowMS),
	}
	node.metrics = newMetrics(node)
	node.views = newViewCache(node.store, node.metrics.recordRoutesEncoded)
	return node
}

// httpAddress returns the address at which others reach the node's HTTP server.
func (n *Node) httpAddress() string { return cmp.Or(n.config.AdvertiseHTTP, n.config.HTTP) }

// raftAddress returns the address at which other nodes reach the node's raft transport.
func (n *Node) raftAddress() string { return cmp.Or(n.config.AdvertiseRaft, n.config.Raft) }

func (n *Node) raftFolder() string { return filepath.Join(n.config.Folder, "raft") }

// Run is a registry node until ctx is done or the node was removed from the cluster. It calls ready, which may be nil, with the address at
// which it serves HTTP. Errors are those of listening, of the store and of the replica.
func Run(ctx context.Context, config Config, log *slog.Logger, ready func(httpAddress string)) error {
	node := newNode(config, log)
	// An end that is asked for early is no error of listening.
	listener, err := (&net.ListenConfig{}).Listen(context.WithoutCancel(ctx), "tcp", config.HTTP)
	if err != nil {
		return fmt.Errorf("http: %w", err)
	}
	defer func() { _ = listener.Close() }() // an error says that the HTTP server has closed it
	lost, err := node.checkStore(ctx)
	if err != nil {
		return err
	}
	if ctx.Err() != nil {
		return nil
	}
	mustJoin := config.Join || lost
	if err := node.openReplica(mustJoin); err != nil { //nolint:contextcheck // the replica lives until Close, after leadership was handed over
		return err
	}
	err = node.serve(ctx, listener, mustJoin, ready)
	return errors.Join(err, node.replica.Close())
}

// openReplica starts raft. A node that must join has no peers until the leader adds it.
func (n *Node) openReplica(mustJoin bool) error {
	var peers []replica.Peer
	if !mustJoin {
		for _, peer := range n.config.Peers {
			peers = append(peers, replica.Peer{Name: peer.Name, Address: peer.Raft})
		}
	}
	var err error
	n.replica, err = replica.Open(replica.Options{
		Name:      n.config.Name,
		Folder:    n.raftFolder(),
		Bind:      n.config.Raft,
		Advertise: n.config.AdvertiseRaft,
		Peers:     peers,
		Timing: replica.Timing{
			Heartbeat:     milliseconds(n.config.Timing.HeartbeatMS),
			SnapshotEvery: milliseconds(n.config.Timing.SnapshotMS),
			SnapshotAfter: n.config.Timing.SnapshotAfter,
			Trailing:      n.config.Timing.Trailing,
		},
		Machine:  n.store,
		Log:      n.log,
		OnLeader: n.leadCluster,
	})
	return err
}

// serve answers calls until ctx is done, the node was removed or the HTTP server fails. Then it hands leadership over, and ends watches
// and calls in order.
func (n *Node) serve(ctx context.Context, listener net.Listener, mustJoin bool, ready func(httpAddress string)) error {
	server := &http.Server{
		Handler:           n.handler(),
		ReadHeaderTimeout: milliseconds(n.config.Limits.ReadMS),
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    16 << 10,
		ErrorLog:          slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	taskCtx, cancel := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	if mustJoin {
		tasks.Go(func() { n.join(taskCtx) })
	}
	n.log.Info("serving", "name", n.config.Name, "http", listener.Addr().String())
	if ready != nil {
		ready(listener.Addr().String())
	}
	removed := make(chan bool, 1)
	tasks.Go(func() { removed <- n.awaitRemoval(taskCtx) })
	select {
	case err := <-served:
		return fmt.Errorf("http: %w", err)
	case <-ctx.Done():
	case <-removed:
		if ctx.Err() == nil {
			n.log.Warn("removed from the cluster")
		}
	}
	n.shutDown(ctx, server)
	return nil
}

// shutDown hands leadership over, ends watches with the revision from which their clients resume elsewhere, and lets calls finish.
func (n *Node) shutDown(ctx context.Context, server *http.Server) {
	if err := n.replica.StepDown(); err != nil {
		n.log.Info("stops", "err", err) // the others elect a leader after a time-out
	}
	close(n.ending)
	finishCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(finishCtx); err != nil {
		_ = server.Close() // clients that do not read their answers lose them
	}
}

const shutdownTimeout = time.Second // for calls in progress
