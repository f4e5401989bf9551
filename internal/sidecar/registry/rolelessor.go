package registry

import (
	"context"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// roleLessor counts, on the leader alone, when leases of roles end. As with serverLessor, renewals are not in the log, and times are those of
// the leader's monotonic clock, which the callers give; a new leader takes every process as having renewed when it first evaluates it.
//
// Invariants: no lease ends before its whole length has passed since the last renewal that was answered was sent; once the end of a lease is
// decided, no renewal of it is answered. Without the second, an end that is on its way to the log would take a role from a process that was
// just told that its lease goes on. docs/singleton-roles.md has the proof that a role has one owner at a time; TestRoleModel checks it.
type roleLessor struct {
	mu           sync.Mutex
	leading      bool
	leaseTerm    int64                // number of the term, which the ends that are decided in it carry
	lastRenewals map[string]time.Time // by process
	leases       map[string]roleLease // by role
}

// roleLease is the lease of a role under one epoch.
type roleLease struct {
	epoch  int64
	since  time.Time // when this leader first saw it, or saw that renewals of it are barred
	barred bool      // renewals are refused
	ended  bool      // its end is decided
}

// start begins to count in a lease term.
func (l *roleLessor) start(leaseTerm int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leading, l.leaseTerm = true, leaseTerm
	l.lastRenewals, l.leases = map[string]time.Time{}, map[string]roleLease{}
}

// stop ends counting, as this node does not lead any more.
func (l *roleLessor) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leading = false
}

// renew records a renewal by a process, and returns for each of its roles whether its lease goes on. It returns false where this node does not
// count leases. The roles must have been read after the call arrived.
func (l *roleLessor) renew(now time.Time, process string, roles []state.Role) (renewed []bool, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leading {
		return nil, false
	}
	renewed = make([]bool, len(roles))
	for i := range roles {
		l.lastRenewals[process] = now
		role := &roles[i]
		if !role.IsOwner(process) || role.RenewalBarred {
			continue
		}
		lease, known := l.leases[role.Name]
		if !known || lease.epoch < role.Epoch {
			lease = roleLease{epoch: role.Epoch, since: now}
			l.leases[role.Name] = lease
		}
		renewed[i] = lease.epoch == role.Epoch && !lease.ended && !lease.barred
	}
	return renewed, true
}

// evaluate returns the leases that have ended and the candidates that timed out, as the arguments of state.EndRoleLeases.
func (l *roleLessor) evaluate(now time.Time, m *state.Machine) state.RoleCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leading {
		return state.RoleCall{}
	}
	call := state.RoleCall{LeaseTerm: l.leaseTerm}
	seen := map[string]bool{}
	m.EachRole(func(role *state.Role) {
		for i := range role.Waiting {
			candidate := &role.Waiting[i]
			seen[candidate.Process] = true
			if l.candidateTimedOut(now, candidate) {
				call.TimedOut = append(call.TimedOut, state.LeaseRef{Name: role.Name, Process: candidate.Process})
			}
		}
		if role.Owner == nil {
			return
		}
		seen[role.Owner.Process] = true
		if l.leaseEnded(now, role) {
			call.Ended = append(call.Ended, state.LeaseRef{Name: role.Name, Epoch: role.Epoch})
		}
	})
	for process := range l.lastRenewals {
		if !seen[process] {
			delete(l.lastRenewals, process)
		}
	}
	return call
}

// candidateTimedOut tells whether a candidate has not renewed for three quarters of its lease. It goes before the lease of an owner that stopped at
// the same time ends, so that the role is granted to a process that lives.
func (l *roleLessor) candidateTimedOut(now time.Time, candidate *state.Candidate) bool {
	return 4*l.sinceRenewal(now, candidate.Process) > 3*milliseconds(int(candidate.TTLMS))
}

// sinceRenewal returns the time since the last renewal of a process, which counts from now where none is known.
func (l *roleLessor) sinceRenewal(now time.Time, process string) time.Duration {
	last, known := l.lastRenewals[process]
	if !known {
		last = now
		l.lastRenewals[process] = now
	}
	return now.Sub(last)
}

// leaseEnded decides whether the lease of a role's owner has ended. What is decided stays so.
func (l *roleLessor) leaseEnded(now time.Time, role *state.Role) bool {
	lease, known := l.leases[role.Name]
	if !known || lease.epoch < role.Epoch || role.RenewalBarred && !lease.barred {
		endDecided := known && lease.epoch == role.Epoch && lease.ended
		lease = roleLease{epoch: role.Epoch, since: now, barred: role.RenewalBarred, ended: endDecided}
	}
	elapsed := min(l.sinceRenewal(now, role.Owner.Process), now.Sub(lease.since))
	if lease.barred { // the process's renewals are of its other roles
		elapsed = now.Sub(lease.since)
	}
	lease.ended = lease.ended || elapsed > milliseconds(int(role.Owner.TTLMS))
	l.leases[role.Name] = lease
	return lease.ended
}

const roleLeaseInterval = 50 * time.Millisecond // between two evaluations

// runRoleLeases ends leases of roles until ctx ends with this node's leadership. It begins a lease term before it counts, since ends that an
// earlier term decided may still be on their way to the log, also this node's own.
func (n *Node) runRoleLeases(ctx context.Context) {
	defer n.roleLessor.stop()
	ticker := time.NewTicker(roleLeaseInterval)
	defer ticker.Stop()
	started, leaseTerm := false, int64(0)
	for {
		var currentTerm int64
		n.store.read(func(m *state.Machine) { currentTerm = m.LeaseTerm() })
		if !started || currentTerm != leaseTerm {
			leaseTerm, started = n.startLeaseTerm(ctx)
		}
		if started {
			n.endRoleLeases(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// startLeaseTerm begins a lease term and returns its number, and whether it could begin. Before the first change of a role there is nothing to
// count, and the term 0 needs no command.
func (n *Node) startLeaseTerm(ctx context.Context) (leaseTerm int64, started bool) {
	anyRoles := false
	n.store.read(func(m *state.Machine) { anyRoles = m.RoleRevision() > 0 })
	if anyRoles {
		result, err := n.proposeRole(ctx, state.StartLeaseTerm, state.RoleCall{})
		if err != nil {
			if ctx.Err() == nil {
				n.log.Warn("role leases", "err", err) // the next round tries again
			}
			return 0, false
		}
		leaseTerm = result.Revision
	}
	n.roleLessor.start(leaseTerm)
	return leaseTerm, true
}

func (n *Node) endRoleLeases(ctx context.Context) {
	var call state.RoleCall
	now := time.Now()
	n.store.read(func(m *state.Machine) {
		if m.RoleRevision() == 0 {
			return
		}
		call = n.roleLessor.evaluate(now, m)
		call.Due = m.DueRoles(now.UnixMilli())
	})
	if len(call.Ended)+len(call.TimedOut)+len(call.Due) == 0 {
		return
	}
	for _, lease := range call.Ended {
		n.log.Info("role lease ended", "name", lease.Name, "epoch", lease.Epoch)
	}
	if _, err := n.proposeRole(ctx, state.EndRoleLeases, call); err != nil && ctx.Err() == nil {
		n.log.Warn("role leases", "err", err) // they are evaluated again
	}
}
