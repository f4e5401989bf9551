// Package singleton is a process that owns singleton roles: work that one process of a fleet does at a time (docs/singleton-roles.md). Registry
// nodes grant a role under a lease and a rising epoch; the owner renews the lease, stops by its own clock before the lease can have
// ended for the nodes, and puts the epoch on everything it does.
//
// Terms: a role is work with a name; a lease is the right to act in a role under one epoch; a fence is what refuses an effect under an
// epoch that is over, where clocks do not suffice.
//
// Leases decides when a process may act, without I/O or a clock. Runner makes the calls and runs the works. Fence stands before a
// resource. TestRoleModel of package registry checks Leases and Fence together with the leader's side.
package singleton

import (
	"maps"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// Instant is a time of the process's own clock, counted from any start. The clock never goes back, and counts the time in which the machine
// sleeps.
type Instant = time.Duration

// Lease is the right of a process to act in a role under one epoch.
type Lease struct {
	Name              string
	Epoch             int64
	Until             Instant // the process may act before that
	HandoverRequested bool    // it should finish its step and hand the role over
	Step              string  // what the owner before recorded, as of the last renewal
	StepNo            int64   // the number of that step
}

// Leases is what a process knows of the leases that it has. It does no I/O and reads no clock.
//
// Invariants: the process may act under an epoch only before the time at which a renewal that was answered was sent, plus the length of the
// lease, minus the margin; an epoch that has ended for the process never begins again.
type Leases struct {
	margin      func(lease time.Duration) time.Duration
	leases      map[string]*Lease // by role
	endedEpochs map[string]int64  // by role: the highest epoch that has ended for this process
}

// NewLeases returns Leases without any. margin returns how long before the end of a lease the process stops; nil stands for
// state.RoleLeaseMargin.
func NewLeases(margin func(lease time.Duration) time.Duration) *Leases {
	if margin == nil {
		margin = state.RoleLeaseMargin
	}
	return &Leases{margin: margin, leases: map[string]*Lease{}, endedEpochs: map[string]int64{}}
}

// ApplyRenewal applies the answer to a renewal that was sent at a time. Answers must be applied in the order in which the renewals were sent. The
// caller must have read the clock before it sent the renewal, also where the call was retried. It returns the leases that begin, and
// those that the nodes count for this process though they have ended for it, which it has to release.
func (l *Leases) ApplyRenewal(sent, now Instant, owned []client.OwnedRole) (begin, release []Lease) {
	l.EndExpired(now)
	seen := map[string]bool{}
	for i := range owned {
		role := &owned[i]
		seen[role.Name] = true
		if role.Epoch <= l.endedEpochs[role.Name] {
			release = append(release, Lease{Name: role.Name, Epoch: role.Epoch, StepNo: role.StepNo})
			continue
		}
		if l.applyRole(sent, now, role) {
			begin = append(begin, *l.leases[role.Name])
		}
	}
	for name, lease := range l.leases {
		if !seen[name] {
			l.endLease(lease)
		}
	}
	return begin, release
}

// applyRole applies the renewal of one role, and returns whether a lease begins by it.
func (l *Leases) applyRole(sent, now Instant, role *client.OwnedRole) (begins bool) {
	length := time.Duration(role.TTLMS) * time.Millisecond
	until := sent + length - l.margin(length)
	lease := l.leases[role.Name]
	if lease != nil && lease.Epoch != role.Epoch { // it was lost, and granted again
		l.endLease(lease)
		lease = nil
	}
	if lease == nil {
		if !role.Renewed || until <= now {
			return false // the next renewal may begin it
		}
		lease = &Lease{Name: role.Name, Epoch: role.Epoch}
		l.leases[role.Name] = lease
		begins = true
	}
	if role.Renewed {
		lease.Until = max(lease.Until, until)
	}
	lease.HandoverRequested, lease.Step, lease.StepNo = role.HandoverRequested, role.Step, role.StepNo
	return begins
}

func (l *Leases) endLease(lease *Lease) {
	l.endedEpochs[lease.Name] = max(l.endedEpochs[lease.Name], lease.Epoch)
	delete(l.leases, lease.Name)
}

// Lease returns the lease of a role under an epoch, and whether the process may act under it now.
func (l *Leases) Lease(now Instant, name string, epoch int64) (Lease, bool) {
	lease := l.leases[name]
	if lease == nil || lease.Epoch != epoch || now >= lease.Until {
		return Lease{}, false
	}
	return *lease, true
}

// End ends a lease, before the process releases the role.
func (l *Leases) End(name string, epoch int64) {
	l.endedEpochs[name] = max(l.endedEpochs[name], epoch)
	if lease := l.leases[name]; lease != nil && lease.Epoch <= epoch {
		l.endLease(lease)
	}
}

// EndExpired ends the leases whose time is over.
func (l *Leases) EndExpired(now Instant) {
	for _, name := range slices.Sorted(maps.Keys(l.leases)) {
		if lease := l.leases[name]; now >= lease.Until {
			l.endLease(lease)
		}
	}
}
