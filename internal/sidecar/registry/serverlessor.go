package registry

import (
	"context"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/list"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// serverLessor knows, on the leader alone, when leases end. Renewals do not go through the log: they would be most of it. A new
// leader gives every lease its whole length again, so a lease may end late by that, but never early. It decides without a
// clock of its own: times are those of the leader's monotonic clock.
//
// Invariant: of the servers with leases, no more than a share is drained for silence within a window, or Least of them; only
// what drains is removed. Servers of a backup that have said nothing since are not counted: they may be long gone. When far more fall silent at once it is likelier that the keepers were cut off than that the servers are gone.
type serverLessor struct {
	mu           sync.Mutex
	leases       map[string]serverLease // nil: this keeper does not lead
	recentDrains []time.Time            // when servers were drained lately
	pending      int                    // that have ended and are held back
	limits       expiryLimits
}

// expiryLimits bounds how leases end.
type expiryLimits struct {
	Grace    time.Duration // a server that drains as its lease ended is removed after so long
	Share    float64       // of those with leases that may be drained within Window
	MinCount int           // that may be within Window however few have leases
	Window   time.Duration
}

// serverLease is one lease as this leader counts it.
type serverLease struct {
	token  int64
	bootMS int64
	ends   time.Time
	length time.Duration
}

// start begins an office: all leases begin anew when they are next looked at.
func (l *serverLessor) start() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leases, l.recentDrains, l.pending = map[string]serverLease{}, nil, 0
}

// stop ends it.
func (l *serverLessor) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leases, l.pending = nil, 0
}

// renew begins a process's lease anew. It tells false where the process has none that runs.
func (l *serverLessor) renew(now time.Time, uid string, boot int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.leases[uid]
	if !ok || t.bootMS != boot || t.length == 0 {
		return false
	}
	t.ends = now.Add(t.length)
	l.leases[uid] = t
	return true
}

// evaluate takes in the entries as they are and returns the leases that have ended, as many as may end now.
func (l *serverLessor) evaluate(now time.Time, entries []state.Entry) []state.ExpiredLease {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leases == nil {
		return nil
	}
	leased := 0
	var ended, serving []state.ExpiredLease // those that drain already, and those that would be drained
	here := make(map[string]bool, len(entries))
	for _, e := range entries {
		if e.LeaseMS == 0 {
			continue
		}
		leased++
		here[e.UID] = true
		t, known := l.leases[e.UID]
		if !known || t.token != e.Lease {
			length := time.Duration(e.LeaseMS) * time.Millisecond
			t = serverLease{token: e.Lease, bootMS: e.BootMS, ends: now.Add(length), length: length}
			switch e.Reason {
			case state.LeaseExpired:
				t.ends, t.length = now.Add(l.limits.Grace), 0
			case state.RestoredFromBackup:
				t.length = 0 // it has to register
			}
			l.leases[e.UID] = t
		}
		switch {
		case !now.After(t.ends):
		case e.State == list.Serving && e.Reason != state.RestoredFromBackup:
			serving = append(serving, state.ExpiredLease{UID: e.UID, Lease: t.token})
		default:
			ended = append(ended, state.ExpiredLease{UID: e.UID, Lease: t.token})
		}
	}
	for uid := range l.leases {
		if !here[uid] {
			delete(l.leases, uid)
		}
	}
	for len(l.recentDrains) > 0 && now.Sub(l.recentDrains[0]) > l.limits.Window {
		l.recentDrains = l.recentDrains[1:]
	}
	free := max(l.limits.MinCount, int(l.limits.Share*float64(leased))) - len(l.recentDrains)
	free = min(max(free, 0), len(serving), state.MaxBatch)
	l.pending = len(serving) - free
	for range free {
		l.recentDrains = append(l.recentDrains, now)
	}
	ended = append(serving[:free:free], ended...)
	return ended[:min(len(ended), state.MaxBatch)]
}

// counts are how many leases run, and how many have ended and are held back.
func (l *serverLessor) counts() (running, held int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.leases), l.pending
}

const serverLeaseInterval = list.LeastLease / 4

// runServerLeases ends leases for as long as this keeper leads.
func (k *Node) runServerLeases(ctx context.Context) {
	k.serverLessor.start()
	defer k.serverLessor.stop()
	tick := time.NewTicker(serverLeaseInterval)
	defer tick.Stop()
	held := 0
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			var entries []state.Entry
			k.store.read(func(m *state.Machine) { entries = m.LeasedEntries() })
			ended := k.serverLessor.evaluate(now, entries)
			if _, n := k.serverLessor.counts(); n != held {
				k.log.Warn("leases ended and held back: too many at once", "held", n)
				held = n
			}
			if len(ended) == 0 {
				continue
			}
			for _, e := range ended {
				k.log.Info("lease ended", "uid", e.UID)
			}
			if _, err := k.propose(ctx, state.Command{Op: state.ExpireServers, Expired: ended}); err != nil && ctx.Err() == nil {
				k.log.Warn("leases", "err", err) // they are looked at again
			}
		}
	}
}
