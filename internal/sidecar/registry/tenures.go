package registry

import (
	"context"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// tenures knows, on the leader alone, when leases of duties end. As with lessor, renewals do not go through the log and times
// are those of this leader's monotonic clock; a new leader counts everybody as heard when its office began. It has no clock.
//
// Invariants: no lease ends before its whole length has passed since the last renewal that was answered was sent; once an
// end is decided no renewal of that office is answered. Danger: without the second, an end that is on its way to the log would
// take a duty from one who has just been told that he has it.
type tenures struct {
	mu     sync.Mutex
	on     bool
	office int64 // its number, which ends that it decides carry
	began  time.Time
	heard  map[string]time.Time // processes, when they last renewed
	terms  map[string]tenure    // by duty
}

// tenure is one office of a duty.
type tenure struct {
	epoch  int64
	since  time.Time // it is known here, or known to be barred
	barred bool
	over   bool // its end is decided
}

// take begins counting.
func (l *tenures) take(now time.Time, office int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.on, l.office, l.began, l.heard, l.terms = true, office, now, map[string]time.Time{}, map[string]tenure{}
}

func (l *tenures) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.on = false
}

// renew notes that a process renewed, and tells of which of its duties the lease goes on. It tells false where this keeper does
// not count leases. The duties must be as they were after the call came.
func (l *tenures) renew(now time.Time, who string, all []state.Role) (on []bool, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.on {
		return nil, false
	}
	on = make([]bool, len(all))
	for i := range all {
		l.heard[who] = now
		d := &all[i]
		if !d.IsOwner(who) || d.RenewalBarred {
			continue
		}
		t, known := l.terms[d.Name]
		if !known || t.epoch < d.Epoch {
			t = tenure{epoch: d.Epoch, since: now}
			l.terms[d.Name] = t
		}
		on[i] = t.epoch == d.Epoch && !t.over && !t.barred
	}
	return on, true
}

// look takes in the duties as they are, and decides which leases have ended and who is silent that waits.
func (l *tenures) look(now time.Time, m *state.Machine) (c state.RoleCall) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.on {
		return c
	}
	c.LeaseTerm = l.office
	silence := func(who string) time.Duration {
		at, known := l.heard[who]
		if !known {
			at = now
			l.heard[who] = now
		}
		return now.Sub(at)
	}
	here := map[string]bool{}
	m.EachRole(func(d *state.Role) {
		for _, w := range d.Waiting {
			here[w.Process] = true
			if 4*silence(w.Process) > 3*millis(int(w.TTLMS)) {
				c.TimedOut = append(c.TimedOut, state.LeaseRef{Name: d.Name, Process: w.Process})
			}
		}
		if d.Owner == nil {
			return
		}
		here[d.Owner.Process] = true
		t, known := l.terms[d.Name]
		if !known || t.epoch < d.Epoch || d.RenewalBarred && !t.barred {
			t = tenure{epoch: d.Epoch, since: now, barred: d.RenewalBarred, over: known && t.epoch == d.Epoch && t.over}
		}
		past := min(silence(d.Owner.Process), now.Sub(t.since))
		if t.barred { // what it renews are its other duties
			past = now.Sub(t.since)
		}
		if t.over = t.over || past > millis(int(d.Owner.TTLMS)); t.over {
			c.Ended = append(c.Ended, state.LeaseRef{Name: d.Name, Epoch: d.Epoch})
		}
		l.terms[d.Name] = t
	})
	for who := range l.heard {
		if !here[who] {
			delete(l.heard, who)
		}
	}
	return c
}

const tenuresEvery = 50 * time.Millisecond

// tenure ends leases of duties for as long as this keeper leads.
func (k *Node) tenure(ctx context.Context) {
	defer k.tenures.leave()
	tick := time.NewTicker(tenuresEvery)
	defer tick.Stop()
	for began, office := false, int64(0); ; {
		var now int64
		any := false
		k.store.read(func(m *state.Machine) { now, any = m.LeaseTerm(), m.RoleRevision() > 0 })
		// Danger: ends that an earlier office decided may still be on their way to the log, also this keeper's own.
		if !began || now != office {
			number, err := int64(0), error(nil)
			if any {
				number, err = k.proposeDuty(ctx, state.StartLeaseTerm, state.RoleCall{})
			}
			if began = err == nil; began {
				office = number
				k.tenures.take(time.Now(), office)
			} else if ctx.Err() == nil {
				k.log.Warn("duties", "err", err) // it is tried again
			}
		}
		if began {
			k.endTenures(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (k *Node) endTenures(ctx context.Context) {
	var c state.RoleCall
	now := time.Now()
	k.store.read(func(m *state.Machine) {
		if m.RoleRevision() == 0 {
			return
		}
		c = k.tenures.look(now, m)
		c.Due = m.DueRoles(now.UnixMilli())
	})
	if len(c.Ended)+len(c.TimedOut)+len(c.Due) == 0 {
		return
	}
	for _, e := range c.Ended {
		k.log.Info("duty ended", "name", e.Name, "epoch", e.Epoch)
	}
	if _, err := k.proposeDuty(ctx, state.EndRoleLeases, c); err != nil && ctx.Err() == nil {
		k.log.Warn("duties", "err", err) // they are looked at again
	}
}
