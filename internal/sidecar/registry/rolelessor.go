package registry

import (
	"context"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// roleLessor knows, on the leader alone, when leases of duties end. As with lessor, renewals do not go through the log and times
// are those of this leader's monotonic clock; a new leader counts everybody as heard when its office began. It has no clock.
//
// Invariants: no lease ends before its whole length has passed since the last renewal that was answered was sent; once an
// end is decided no renewal of that office is answered. Danger: without the second, an end that is on its way to the log would
// take a duty from one who has just been told that he has it.
type roleLessor struct {
	mu           sync.Mutex
	leading      bool
	leaseTerm    int64 // its number, which ends that it decides carry
	startedAt    time.Time
	lastRenewals map[string]time.Time // processes, when they last renewed
	leases       map[string]roleLease // by duty
}

// roleLease is one office of a duty.
type roleLease struct {
	epoch  int64
	since  time.Time // it is known here, or known to be barred
	barred bool
	ended  bool // its end is decided
}

// start begins counting.
func (l *roleLessor) start(now time.Time, office int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leading, l.leaseTerm, l.startedAt, l.lastRenewals, l.leases = true, office, now, map[string]time.Time{}, map[string]roleLease{}
}

func (l *roleLessor) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leading = false
}

// renew notes that a process renewed, and tells of which of its duties the lease goes on. It tells false where this keeper does
// not count leases. The duties must be as they were after the call came.
func (l *roleLessor) renew(now time.Time, who string, all []state.Role) (on []bool, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leading {
		return nil, false
	}
	on = make([]bool, len(all))
	for i := range all {
		l.lastRenewals[who] = now
		d := &all[i]
		if !d.IsOwner(who) || d.RenewalBarred {
			continue
		}
		t, known := l.leases[d.Name]
		if !known || t.epoch < d.Epoch {
			t = roleLease{epoch: d.Epoch, since: now}
			l.leases[d.Name] = t
		}
		on[i] = t.epoch == d.Epoch && !t.ended && !t.barred
	}
	return on, true
}

// evaluate takes in the duties as they are, and decides which leases have ended and who is silent that waits.
func (l *roleLessor) evaluate(now time.Time, m *state.Machine) (c state.RoleCall) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leading {
		return c
	}
	c.LeaseTerm = l.leaseTerm
	silence := func(who string) time.Duration {
		at, known := l.lastRenewals[who]
		if !known {
			at = now
			l.lastRenewals[who] = now
		}
		return now.Sub(at)
	}
	here := map[string]bool{}
	m.EachRole(func(d *state.Role) {
		for _, w := range d.Waiting {
			here[w.Process] = true
			if 4*silence(w.Process) > 3*milliseconds(int(w.TTLMS)) {
				c.TimedOut = append(c.TimedOut, state.LeaseRef{Name: d.Name, Process: w.Process})
			}
		}
		if d.Owner == nil {
			return
		}
		here[d.Owner.Process] = true
		t, known := l.leases[d.Name]
		if !known || t.epoch < d.Epoch || d.RenewalBarred && !t.barred {
			t = roleLease{epoch: d.Epoch, since: now, barred: d.RenewalBarred, ended: known && t.epoch == d.Epoch && t.ended}
		}
		past := min(silence(d.Owner.Process), now.Sub(t.since))
		if t.barred { // what it renews are its other duties
			past = now.Sub(t.since)
		}
		if t.ended = t.ended || past > milliseconds(int(d.Owner.TTLMS)); t.ended {
			c.Ended = append(c.Ended, state.LeaseRef{Name: d.Name, Epoch: d.Epoch})
		}
		l.leases[d.Name] = t
	})
	for who := range l.lastRenewals {
		if !here[who] {
			delete(l.lastRenewals, who)
		}
	}
	return c
}

const roleLeaseInterval = 50 * time.Millisecond

// runRoleLeases ends leases of duties for as long as this keeper leads.
func (k *Node) runRoleLeases(ctx context.Context) {
	defer k.roleLessor.stop()
	tick := time.NewTicker(roleLeaseInterval)
	defer tick.Stop()
	for began, office := false, int64(0); ; {
		var now int64
		any := false
		k.store.read(func(m *state.Machine) { now, any = m.LeaseTerm(), m.RoleRevision() > 0 })
		// Danger: ends that an earlier office decided may still be on their way to the log, also this keeper's own.
		if !began || now != office {
			number, err := int64(0), error(nil)
			if any {
				number, err = k.proposeRoleChange(ctx, state.StartLeaseTerm, state.RoleCall{})
			}
			if began = err == nil; began {
				office = number
				k.roleLessor.start(time.Now(), office)
			} else if ctx.Err() == nil {
				k.log.Warn("duties", "err", err) // it is tried again
			}
		}
		if began {
			k.endRoleLeases(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (k *Node) endRoleLeases(ctx context.Context) {
	var c state.RoleCall
	now := time.Now()
	k.store.read(func(m *state.Machine) {
		if m.RoleRevision() == 0 {
			return
		}
		c = k.roleLessor.evaluate(now, m)
		c.Due = m.DueRoles(now.UnixMilli())
	})
	if len(c.Ended)+len(c.TimedOut)+len(c.Due) == 0 {
		return
	}
	for _, e := range c.Ended {
		k.log.Info("duty ended", "name", e.Name, "epoch", e.Epoch)
	}
	if _, err := k.proposeRoleChange(ctx, state.EndRoleLeases, c); err != nil && ctx.Err() == nil {
		k.log.Warn("duties", "err", err) // they are looked at again
	}
}
