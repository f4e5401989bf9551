// Package keeper is a keeper: the list of servers over HTTP/1.1, watches that fan out, admission, and what a leader does
// besides. What it knows is the replicated state machine's; it keeps nothing of its own but who watches and which leases run.
package registry

import (
	"bytes"
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"gradeusher.example/gradeusher/internal/sidecar/replica"
	"gradeusher.example/gradeusher/internal/sidecar/sealed"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// Node is one keeper process.
type Node struct {
	config       Config
	log          *slog.Logger
	store        *store
	replica      *replica.Replica
	serverLessor serverLessor
	calls        chan struct{} // a place for each call that is no watch
	watchStarts  *rate.Limiter
	watchers     atomic.Int64
	views        *viewCache

	routeWatchers atomic.Int64
	roleWatchers  atomic.Int64
	roleLessor    roleLessor
	restoring     sync.RWMutex // a backup takes the place of the state; duties are left alone
	metrics       *metrics
	membership    sync.Mutex // one change of members at a time
	ending        chan struct{}
}

func milliseconds(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

// Run is a keeper until stop is done. ready is called with the address at which it answers.
func Run(stop context.Context, c Config, log *slog.Logger, ready func(http string)) (err error) {
	k := &Node{config: c, log: log, store: newStore(), calls: make(chan struct{}, c.Limits.MaxCalls),
		watchStarts: rate.NewLimiter(rate.Limit(c.Limits.WatchStartsPerSecond), max(1, c.Limits.WatchStartsPerSecond/4)), ending: make(chan struct{})}
	k.serverLessor.limits = expiryLimits{Grace: milliseconds(c.Leases.GraceMS), Share: c.Leases.Share, MinCount: c.Leases.MinCount, Window: milliseconds(c.Leases.WindowMS)}
	k.metrics = newMetrics(k)
	k.views = newViewCache(k.store, k.metrics.recordRoutesEncoded)
	l, err := net.Listen("tcp", c.HTTP)
	if err != nil {
		return fmt.Errorf("http: %w", err)
	}
	defer l.Close()
	lost, err := k.checkStore(stop)
	if err != nil {
		return err
	}
	if stop.Err() != nil {
		return nil
	}
	var peers []replica.Peer
	if !c.Join && !lost {
		for _, p := range c.Peers {
			peers = append(peers, replica.Peer{Name: p.Name, Address: p.Raft})
		}
	}
	k.replica, err = replica.Open(replica.Options{Name: c.Name, Folder: filepath.Join(c.Folder, "raft"), Bind: c.Raft, Advertise: c.AdvertiseRaft, Peers: peers,
		Timing: replica.Timing{Heartbeat: milliseconds(c.Timing.HeartbeatMS), SnapshotEvery: milliseconds(c.Timing.SnapshotMS),
			SnapshotAfter: c.Timing.SnapshotAfter, Trailing: c.Timing.Trailing},
		Machine: k.store, Log: log, Led: k.leadCluster})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, k.replica.Close()) }()
	web := &http.Server{Handler: k.handler(), ReadHeaderTimeout: milliseconds(c.Limits.ReadMS), IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 16 << 10,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	served := make(chan error, 1)
	go func() { served <- web.Serve(l) }()
	ctx, cancel := context.WithCancel(stop)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	if c.Join || lost {
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			k.join(ctx)
		}()
	}
	log.Info("serving", "name", c.Name, "http", l.Addr().String())
	if ready != nil {
		ready(l.Addr().String())
	}
	removed := make(chan bool, 1)
	tasks.Add(1)
	go func() {
		defer tasks.Done()
		removed <- k.awaitRemoval(ctx)
	}()
	select {
	case err := <-served:
		return fmt.Errorf("http: %w", err)
	case <-stop.Done():
	case <-removed:
		if stop.Err() == nil {
			log.Warn("removed from the cluster")
		}
	}
	if err := k.replica.StepDown(); err != nil {
		log.Info("stops", "err", err) // the others elect one, in a while
	}
	// Watches end, with the revision that their watchers can go on from elsewhere; calls are finished.
	close(k.ending)
	finish, done := context.WithTimeout(context.Background(), time.Second)
	defer done()
	if err := web.Shutdown(finish); err != nil {
		_ = web.Close() // who does not take his answer is cut off
	}
	return nil
}

// leadCluster is what a keeper does while it leads.
func (k *Node) leadCluster(ctx context.Context) {
	k.log.Info("leads", "term", k.replica.Status().Term)
	defer k.log.Info("leads no more")
	var id [8]byte
	_, _ = rand.Read(id[:]) // never fails (crypto/rand)
	cluster := ""
	k.store.read(func(m *state.Machine) { cluster = m.Cluster() })
	var first []state.Command
	if cluster == "" {
		first = append(first, state.Command{Op: state.FoundCluster, Cluster: hex.EncodeToString(id[:])})
	}
	first = append(first, state.Command{Op: state.SetNode, Node: &state.Node{Name: k.config.Name, HTTPAddress: cmp.Or(k.config.AdvertiseHTTP, k.config.HTTP)}})
	for _, c := range first {
		for _, err := k.propose(ctx, c); err != nil; _, err = k.propose(ctx, c) {
			k.log.Warn("leads", "op", c.Op, "err", err)
			select {
			case <-ctx.Done():
				return
			case <-time.After(serverLeaseInterval): // too much to do, or out of office in a moment
			}
		}
	}
	var duties sync.WaitGroup
	defer duties.Wait()
	duties.Add(1)
	go func() {
		defer duties.Done()
		k.runRoleLeases(ctx)
	}()
	k.runServerLeases(ctx)
}

// propose has a command agreed on. Errors are replica's, or a *state.Error.
func (k *Node) propose(ctx context.Context, c state.Command) (state.Result, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return state.Result{}, fmt.Errorf("command: %w", err)
	}
	v, err := k.replica.Propose(ctx, text)
	if err != nil {
		return state.Result{}, err
	}
	r, ok := v.(state.Result)
	if !ok {
		return r, fmt.Errorf("command: the machine answered %T", v)
	}
	if r.Err != nil {
		return r, r.Err
	}
	return r, nil
}

// joinRequest is what a keeper that joins says of itself.
type joinRequest struct {
	Name    string `json:"name"`
	Raft    string `json:"raft"`
	HTTP    string `json:"http"`
	Applied uint64 `json:"applied_index"`  // how far it has come
	Lost    bool   `json:"lost,omitempty"` // its store is gone, and its vote must be before it comes again
}

const joinInterval = 300 * time.Millisecond

// join asks the peers to be taken in until one of them, the leader, says that this keeper has its vote.
func (k *Node) join(ctx context.Context) {
	tick := time.NewTicker(joinInterval)
	defer tick.Stop()
	for {
		code, err := k.askToJoin(ctx, k.replica.Status().Applied, false)
		if code == http.StatusOK {
			if err := os.Remove(k.lostMarkerPath()); err != nil && !errors.Is(err, os.ErrNotExist) {
				k.log.Error("join", "err", err) // the next start joins once more
			}
			k.log.Info("joined")
			return
		}
		if err != nil {
			k.log.Debug("join", "err", err)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// askToJoin asks every peer to take this keeper in, and returns what the one answered that leads; 0: none does.
func (k *Node) askToJoin(ctx context.Context, applied uint64, lost bool) (int, error) {
	client := &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	defer client.CloseIdleConnections()
	body, err := json.Marshal(joinRequest{k.config.Name, cmp.Or(k.config.AdvertiseRaft, k.config.Raft), cmp.Or(k.config.AdvertiseHTTP, k.config.HTTP), applied, lost})
	if err != nil {
		return 0, err
	}
	var last error
	var others []string
	for _, p := range k.config.Peers {
		if p.Name != k.config.Name {
			others = append(others, p.HTTP)
		}
	}
	for i := 0; i < len(others); i++ {
		at := others[i]
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at+"/v1/keepers", bytes.NewReader(body))
		if err != nil {
			return 0, err
		}
		resp, err := client.Do(req)
		if err != nil {
			last = err
			continue
		}
		var said problem
		_ = json.NewDecoder(resp.Body).Decode(&said) // what cannot be read says nothing
		resp.Body.Close()
		switch resp.StatusCode {
		case http.StatusOK, http.StatusAccepted:
			return resp.StatusCode, nil
		case http.StatusConflict:
			k.log.Warn("join", "peer", at, "err", said.Reason)
		}
		last = fmt.Errorf("%s: %s", at, said.Reason)
		if said.LeaderHTTP != "" && !slices.Contains(others, said.LeaderHTTP) && len(others) < maxPeersAsked {
			others = append(others, said.LeaderHTTP) // who leads, though no peer of this one's file
		}
	}
	return 0, last
}

const maxPeersAsked = 16

// lostMarkerPath is the file that tells that this keeper's store was unsound and its vote has to be taken before it has one again.
func (k *Node) lostMarkerPath() string { return filepath.Join(k.config.Folder, "lost") }

// checkStore looks at the store before it is opened. One that is unsound is set aside, and the others are asked to take this
// keeper's vote, so that it can come as a new one with nothing. It tells whether it has to join.
func (k *Node) checkStore(ctx context.Context) (lost bool, err error) {
	if err := os.MkdirAll(k.config.Folder, 0o700); err != nil {
		return false, fmt.Errorf("folder: %w", err)
	}
	folder := filepath.Join(k.config.Folder, "raft")
	_, err = os.Stat(k.lostMarkerPath())
	marked := err == nil
	if err = replica.Check(folder); err == nil && !marked {
		return false, nil
	}
	if err != nil && !errors.Is(err, replica.ErrUnsound) {
		return false, err
	}
	if err != nil && !marked {
		if markErr := sealed.WriteFile(k.lostMarkerPath(), []byte(err.Error()+"\n")); markErr != nil {
			return false, errors.Join(err, markErr)
		}
	}
	if _, there := os.Stat(folder); there == nil {
		aside, moved := sealed.SetAside(folder)
		if moved != nil {
			return false, errors.Join(err, moved)
		}
		k.log.Error("the store is set aside", "err", err, "as", aside)
	}
	if len(k.config.Peers) < 2 && !k.config.Join {
		return false, fmt.Errorf("%s tells that the store was lost, and there is no other keeper to get it from: remove that file to begin anew, and restore a backup",
			k.lostMarkerPath())
	}
	tick := time.NewTicker(joinInterval)
	defer tick.Stop()
	for {
		code, err := k.askToJoin(ctx, 0, true)
		if code != 0 {
			return true, nil
		}
		k.log.Debug("lost", "err", err)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return true, nil
		}
	}
}
