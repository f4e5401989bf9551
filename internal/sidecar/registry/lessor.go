package registry

import (
	"context"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/list"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// lessor knows, on the leader alone, when leases end. Renewals do not go through the log: they would be most of it. A new
// leader gives every lease its whole length again, so a lease may end late by that, but never early. It decides without a
// clock of its own: times are those of the leader's monotonic clock.
//
// Invariant: of the servers with leases, no more than a share is drained for silence within a window, or Least of them; only
// what drains is removed. Servers of a backup that have said nothing since are not counted: they may be long gone. When far more fall silent at once it is likelier that the keepers were cut off than that the servers are gone.
type lessor struct {
	mu      sync.Mutex
	started map[string]term // nil: this keeper does not lead
	recent  []time.Time     // when servers were drained lately
	held    int             // that have ended and are held back
	expires expiry
}

// expiry bounds how leases end.
type expiry struct {
	Grace  time.Duration // a server that drains as its lease ended is removed after so long
	Share  float64       // of those with leases that may be drained within Window
	Least  int           // that may be within Window however few have leases
	Window time.Duration
}

// term is one lease as this leader counts it.
type term struct {
	lease int64
	boot  int64
	ends  time.Time
	held  time.Duration
}

// take begins an office: all leases begin anew when they are next looked at.
func (l *lessor) take() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.started, l.recent, l.held = map[string]term{}, nil, 0
}

// leave ends it.
func (l *lessor) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.started, l.held = nil, 0
}

// renew begins a process's lease anew. It tells false where the process has none that runs.
func (l *lessor) renew(now time.Time, uid string, boot int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.started[uid]
	if !ok || t.boot != boot || t.held == 0 {
		return false
	}
	t.ends = now.Add(t.held)
	l.started[uid] = t
	return true
}

// look takes in the entries as they are and returns the leases that have ended, as many as may end now.
func (l *lessor) look(now time.Time, entries []state.Entry) []state.Ended {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.started == nil {
		return nil
	}
	leased := 0
	var ended, serving []state.Ended // those that drain already, and those that would be drained
	here := make(map[string]bool, len(entries))
	for _, e := range entries {
		if e.LeaseMS == 0 {
			continue
		}
		leased++
		here[e.UID] = true
		t, known := l.started[e.UID]
		if !known || t.lease != e.Lease {
			length := time.Duration(e.LeaseMS) * time.Millisecond
			t = term{lease: e.Lease, boot: e.BootMS, ends: now.Add(length), held: length}
			switch e.Why {
			case state.LeaseOver:
				t.ends, t.held = now.Add(l.expires.Grace), 0
			case state.Restored:
				t.held = 0 // it has to register
			}
			l.started[e.UID] = t
		}
		switch {
		case !now.After(t.ends):
		case e.State == list.Serving && e.Why != state.Restored:
			serving = append(serving, state.Ended{UID: e.UID, Lease: t.lease})
		default:
			ended = append(ended, state.Ended{UID: e.UID, Lease: t.lease})
		}
	}
	for uid := range l.started {
		if !here[uid] {
			delete(l.started, uid)
		}
	}
	for len(l.recent) > 0 && now.Sub(l.recent[0]) > l.expires.Window {
		l.recent = l.recent[1:]
	}
	free := max(l.expires.Least, int(l.expires.Share*float64(leased))) - len(l.recent)
	free = min(max(free, 0), len(serving), state.MostBatch)
	l.held = len(serving) - free
	for range free {
		l.recent = append(l.recent, now)
	}
	ended = append(serving[:free:free], ended...)
	return ended[:min(len(ended), state.MostBatch)]
}

// figures are how many leases run, and how many have ended and are held back.
func (l *lessor) figures() (running, held int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.started), l.held
}

const lookEvery = list.MinLease / 4

// lease ends leases for as long as this keeper leads.
func (k *Node) lease(ctx context.Context) {
	k.lessor.take()
	defer k.lessor.leave()
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	held := 0
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			var entries []state.Entry
			k.store.read(func(m *state.Machine) { entries = m.Leased() })
			ended := k.lessor.look(now, entries)
			if _, n := k.lessor.figures(); n != held {
				k.log.Warn("leases ended and held back: too many at once", "held", n)
				held = n
			}
			if len(ended) == 0 {
				continue
			}
			for _, e := range ended {
				k.log.Info("lease ended", "uid", e.UID)
			}
			if _, err := k.propose(ctx, state.Command{Op: state.Expire, Ended: ended}); err != nil && ctx.Err() == nil {
				k.log.Warn("leases", "err", err) // they are looked at again
			}
		}
	}
}
