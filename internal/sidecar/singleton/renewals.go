package singleton

import (
	"context"
	mrand "math/rand/v2"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

const renewalsPerLease = 4

// runRenewals renews several times in a lease, and when it is signalled.
func (r *Runner) runRenewals(ctx context.Context) {
	interval := r.options.Lease / renewalsPerLease
	for {
		// Jitter, so that processes that came together do not go on renewing together.
		timer := time.NewTimer(interval*3/4 + mrand.N(interval/4+1))
		select {
		case <-timer.C:
		case <-r.renewNow:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return
		}
		r.renewOnce(ctx, max(interval, state.MinRoleLease/2))
	}
}

func (r *Runner) renewOnce(ctx context.Context, timeout time.Duration) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := Now() // before the call: the lease counts from here
	renewal, err := r.client.RenewRoles(callCtx, r.process)
	if err != nil {
		r.options.Log.Debug("renewal of roles", "err", err)
		return
	}
	r.applyRenewal(ctx, sent, renewal)
}

// applyRenewal applies the answer to a renewal: it starts works, passes on requests for a handover, releases what has ended for this process, and
// finds out which wanted roles are absent.
func (r *Runner) applyRenewal(ctx context.Context, sent Instant, renewal client.RoleRenewal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	begin, release := r.leases.ApplyRenewal(sent, Now(), renewal.Owned)
	for i := range renewal.Owned {
		r.passHandover(&renewal.Owned[i])
	}
	for _, lease := range release {
		r.releaseEnded(ctx, lease)
	}
	for _, lease := range begin {
		r.startWork(ctx, lease)
	}
	r.findAbsent(renewal)
}

// passHandover passes a requested handover on to the work. The caller holds r.mu.
func (r *Runner) passHandover(role *client.OwnedRole) {
	wanted := r.wanted[role.Name]
	if wanted == nil || wanted.lease == nil || wanted.lease.Epoch != role.Epoch {
		return
	}
	if role.HandoverRequested {
		wanted.lease.requestHandover()
	}
}

// releaseEnded releases a role whose lease has ended for this process, unless its work still runs, which does so when it returns. The caller holds
// r.mu.
func (r *Runner) releaseEnded(ctx context.Context, lease Lease) {
	wanted := r.wanted[lease.Name]
	workRuns := wanted != nil && wanted.lease != nil && !wanted.lease.isStuck()
	if workRuns {
		return
	}
	call := client.RoleCall{Rejoin: wanted != nil && !r.ending}
	r.tasks.Go(func() { r.release(ctx, lease, call) })
}

// startWork runs the work of a lease that begins. Where the work of an earlier lease has not returned, the role is released instead: no two works of
// a role run beside each other. The caller holds r.mu.
func (r *Runner) startWork(ctx context.Context, lease Lease) {
	wanted := r.wanted[lease.Name]
	if wanted == nil || wanted.lease != nil || r.ending {
		r.leases.End(lease.Name, lease.Epoch)
		signal(r.renewNow)
		return
	}
	owned := newOwnedLease(r, lease)
	wanted.lease = owned
	if lease.HandoverRequested {
		owned.requestHandover()
	}
	r.options.Log.Info("role lease begins", "name", lease.Name, "epoch", lease.Epoch)
	r.tasks.Go(func() { r.runWork(ctx, wanted, owned) })
}

// findAbsent marks the wanted roles that the process neither owns nor waits for. The caller holds r.mu.
func (r *Runner) findAbsent(renewal client.RoleRenewal) {
	known := map[string]bool{}
	for _, name := range renewal.Waiting {
		known[name] = true
	}
	for _, role := range renewal.Owned {
		known[role.Name] = true
	}
	for name, wanted := range r.wanted {
		wanted.absent = !known[name]
		if wanted.absent {
			signal(r.campaignNow)
		}
	}
}
