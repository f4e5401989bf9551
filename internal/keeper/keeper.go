// Package keeper is a keeper: the list of servers over HTTP/1.1, watches that fan out, admission, and what a leader does
// besides. What it knows is the replicated state machine's; it keeps nothing of its own but who watches and which leases run.
package keeper

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
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

	"gradeusher.example/gradeusher/internal/replica"
	"gradeusher.example/gradeusher/internal/state"
)

// Keeper is one keeper process.
type Keeper struct {
	config   Config
	log      *slog.Logger
	store    *store
	replica  *replica.Replica
	lessor   lessor
	calls    chan struct{} // a place for each call that is no watch
	starts   *rate.Limiter
	watchers atomic.Int64
	metrics  *metrics
	member   sync.Mutex // one change of members at a time
	ending   chan struct{}
}

func millis(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

// Run is a keeper until stop is done. ready is called with the address at which it answers.
func Run(stop context.Context, c Config, log *slog.Logger, ready func(http string)) (err error) {
	k := &Keeper{config: c, log: log, store: newStore(), calls: make(chan struct{}, c.Limits.Calls),
		starts: rate.NewLimiter(rate.Limit(c.Limits.Starts), max(1, c.Limits.Starts/4)), ending: make(chan struct{})}
	k.lessor.expires = expiry{Grace: millis(c.Leases.GraceMS), Share: c.Leases.Share, Least: c.Leases.Least, Window: millis(c.Leases.WindowMS)}
	k.metrics = newMetrics(k)
	l, err := net.Listen("tcp", c.HTTP)
	if err != nil {
		return fmt.Errorf("http: %w", err)
	}
	defer l.Close()
	var peers []replica.Peer
	if !c.Join {
		for _, p := range c.Peers {
			peers = append(peers, replica.Peer{Name: p.Name, Address: p.Raft})
		}
	}
	k.replica, err = replica.Open(replica.Options{Name: c.Name, Folder: filepath.Join(c.Folder, "raft"), Bind: c.Raft, Advertise: c.AdvertiseRaft, Peers: peers,
		Timing: replica.Timing{Heartbeat: millis(c.Timing.HeartbeatMS), SnapshotEvery: millis(c.Timing.SnapshotMS),
			SnapshotAfter: c.Timing.SnapshotAfter, Trailing: c.Timing.Trailing},
		Machine: k.store, Log: log, Led: k.lead})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, k.replica.Close()) }()
	web := &http.Server{Handler: k.handler(), ReadHeaderTimeout: millis(c.Limits.ReadMS), IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 16 << 10,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	served := make(chan error, 1)
	go func() { served <- web.Serve(l) }()
	ctx, cancel := context.WithCancel(stop)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	if c.Join {
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
	select {
	case err := <-served:
		return fmt.Errorf("http: %w", err)
	case <-stop.Done():
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

// lead is what a keeper does while it leads.
func (k *Keeper) lead(ctx context.Context) {
	k.log.Info("leads", "term", k.replica.Status().Term)
	defer k.log.Info("leads no more")
	var id [8]byte
	_, _ = rand.Read(id[:]) // never fails (crypto/rand)
	cluster := ""
	k.store.read(func(m *state.Machine) { cluster = m.Cluster() })
	var first []state.Command
	if cluster == "" {
		first = append(first, state.Command{Op: state.Found, Cluster: hex.EncodeToString(id[:])})
	}
	first = append(first, state.Command{Op: state.Member, Keeper: &state.Keeper{Name: k.config.Name, HTTP: or(k.config.AdvertiseHTTP, k.config.HTTP)}})
	for _, c := range first {
		if _, err := k.propose(ctx, c); err != nil {
			if ctx.Err() == nil {
				k.log.Error("leads", "op", c.Op, "err", err)
			}
			return
		}
	}
	k.lease(ctx)
}

// propose has a command agreed on. Errors are replica's, or a *state.Error.
func (k *Keeper) propose(ctx context.Context, c state.Command) (state.Result, error) {
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

// joinCall is what a keeper that joins says of itself.
type joinCall struct {
	Name    string `json:"name"`
	Raft    string `json:"raft"`
	HTTP    string `json:"http"`
	Applied uint64 `json:"applied_index"` // how far it has come
}

const joinEvery = 300 * time.Millisecond

// join asks the peers to be taken in until one of them, the leader, says that this keeper has its vote.
func (k *Keeper) join(ctx context.Context) {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	defer client.CloseIdleConnections()
	tick := time.NewTicker(joinEvery)
	defer tick.Stop()
	for n := 0; ; n++ {
		for _, p := range k.config.Peers {
			call := joinCall{k.config.Name, or(k.config.AdvertiseRaft, k.config.Raft), or(k.config.AdvertiseHTTP, k.config.HTTP), k.replica.Status().Applied}
			body, err := json.Marshal(call)
			if err != nil {
				k.log.Error("join", "err", err)
				return
			}
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.HTTP+"/v1/keepers", bytes.NewReader(body))
			if err != nil {
				k.log.Error("join", "err", err)
				return
			}
			resp, err := client.Do(req)
			if err != nil {
				k.log.Debug("join", "peer", p.Name, "err", err)
				continue
			}
			var said problem
			_ = json.NewDecoder(resp.Body).Decode(&said) // what cannot be read says nothing
			resp.Body.Close()
			switch {
			case resp.StatusCode == http.StatusOK:
				k.log.Info("joined", "by", p.Name)
				return
			case resp.StatusCode == http.StatusConflict && n%10 == 0:
				k.log.Warn("join", "peer", p.Name, "err", said.Reason)
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}
