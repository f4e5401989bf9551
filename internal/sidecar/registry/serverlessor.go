package registry

import (
	"context"
	"slices"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/list"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// serverLessor counts, on the leader alone, when leases of servers end. Renewals are not in the log, of which they would be the most part. A
// new leader counts every lease from its own start, so that a lease may end late by its whole length, but never early. Times are those of
// the leader's monotonic clock, which the callers give.
//
// Invariant: within a window, no more than a share of the servers with leases is drained for time-outs, or MinCount of them; only a draining
// server is removed. Where far more time out at once, it is likelier that the nodes were partitioned off than that the servers are
// gone. Servers of a backup that have not registered since are not counted: they may be long gone.
type serverLessor struct {
	mu           sync.Mutex
	leases       map[string]serverLease // by uid; nil: this node does not lead
	recentDrains []time.Time            // one for each server drained within the window
	pending      int                    // leases that have ended, and whose servers may not be drained yet
	limits       expiryLimits
}

// expiryLimits bounds how leases end.
type expiryLimits struct {
	Grace    time.Duration // from the drain of a server whose lease has ended to its removal
	Share    float64       // part of the servers with leases that may be drained within Window
	MinCount int           // servers that may be drained within Window however few there are
	Window   time.Duration
}

// serverLease is one lease as this leader counts it.
type serverLease struct {
	token  int64 // fencing token of the lease
	bootMS int64 // of the process that has it
	ends   time.Time
	length time.Duration // 0: it cannot be renewed
}

// start begins to count: every lease begins anew when it is next evaluated.
func (l *serverLessor) start() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leases, l.recentDrains, l.pending = map[string]serverLease{}, nil, 0
}

// stop ends counting, as this node does not lead any more.
func (l *serverLessor) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leases, l.pending = nil, 0
}

// renew renews the lease of a process. It returns false where the process has none that can be renewed.
func (l *serverLessor) renew(now time.Time, uid string, bootMS int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	lease, known := l.leases[uid]
	if !known || lease.bootMS != bootMS || lease.length == 0 {
		return false
	}
	lease.ends = now.Add(lease.length)
	l.leases[uid] = lease
	return true
}

// evaluate compares the leases with the entries as they are, and returns those that have ended, as many as may end now.
func (l *serverLessor) evaluate(now time.Time, entries []state.Entry) []state.ExpiredLease {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leases == nil {
		return nil
	}
	leased := 0
	var toRemove, toDrain []state.ExpiredLease
	seen := make(map[string]bool, len(entries))
	for i := range entries {
		entry := &entries[i]
		if entry.LeaseMS == 0 {
			continue
		}
		leased++
		seen[entry.UID] = true
		lease := l.leaseOf(now, entry)
		if !now.After(lease.ends) {
			continue
		}
		expired := state.ExpiredLease{UID: entry.UID, Lease: lease.token}
		if entry.State == list.Serving && entry.Reason != state.RestoredFromBackup {
			toDrain = append(toDrain, expired)
		} else {
			toRemove = append(toRemove, expired)
		}
	}
	l.forgetExcept(seen)
	drains := min(l.allowedDrains(now, leased), len(toDrain), state.MaxBatch)
	l.pending = len(toDrain) - drains
	for range drains {
		l.recentDrains = append(l.recentDrains, now)
	}
	expired := slices.Concat(toDrain[:drains], toRemove)
	return expired[:min(len(expired), state.MaxBatch)]
}

// leaseOf returns the lease of an entry, which begins now where it is not known yet.
func (l *serverLessor) leaseOf(now time.Time, entry *state.Entry) serverLease {
	lease, known := l.leases[entry.UID]
	if known && lease.token == entry.Lease {
		return lease
	}
	length := time.Duration(entry.LeaseMS) * time.Millisecond
	lease = serverLease{token: entry.Lease, bootMS: entry.BootMS, ends: now.Add(length), length: length}
	switch entry.Reason {
	case state.LeaseExpired:
		lease.ends, lease.length = now.Add(l.limits.Grace), 0
	case state.RestoredFromBackup:
		lease.length = 0 // it has to register
	}
	l.leases[entry.UID] = lease
	return lease
}

func (l *serverLessor) forgetExcept(seen map[string]bool) {
	for uid := range l.leases {
		if !seen[uid] {
			delete(l.leases, uid)
		}
	}
}

// allowedDrains returns how many of the servers with leases may be drained now.
func (l *serverLessor) allowedDrains(now time.Time, leased int) int {
	for len(l.recentDrains) > 0 && now.Sub(l.recentDrains[0]) > l.limits.Window {
		l.recentDrains = l.recentDrains[1:]
	}
	allowed := max(l.limits.MinCount, int(l.limits.Share*float64(leased)))
	return max(0, allowed-len(l.recentDrains))
}

// counts returns how many leases are counted, and how many have ended and are pending.
func (l *serverLessor) counts() (counted, pending int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.leases), l.pending
}

const serverLeaseInterval = list.MinLease / 4 // between two evaluations

// runServerLeases ends leases of servers until ctx ends with this node's leadership.
func (n *Node) runServerLeases(ctx context.Context) {
	n.serverLessor.start()
	defer n.serverLessor.stop()
	ticker := time.NewTicker(serverLeaseInterval)
	defer ticker.Stop()
	lastPending := 0
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.expireServers(ctx, now)
			if _, pending := n.serverLessor.counts(); pending != lastPending {
				n.log.Warn("leases ended and held back: too many at once", "held", pending)
				lastPending = pending
			}
		}
	}
}

func (n *Node) expireServers(ctx context.Context, now time.Time) {
	var entries []state.Entry
	n.store.read(func(m *state.Machine) { entries = m.LeasedEntries() })
	expired := n.serverLessor.evaluate(now, entries)
	if len(expired) == 0 {
		return
	}
	for _, lease := range expired {
		n.log.Info("lease ended", "uid", lease.UID)
	}
	if _, err := n.propose(ctx, state.Command{Op: state.ExpireServers, Expired: expired}); err != nil && ctx.Err() == nil {
		n.log.Warn("leases", "err", err) // they are evaluated again
	}
}
