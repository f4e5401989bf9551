package singleton

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	mrand "math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

const (
	renewalsPerLease   = 4
	minCampaignTimeout = 3 * time.Second // of the call with which a process becomes a candidate
)

// Runner owns roles for a process and runs their works.
type Runner struct {
	options     Options
	process     string // NAME#RUN
	client      *client.Client
	renewNow    chan struct{} // signalled when something may have changed
	campaignNow chan struct{} // signalled when a wanted role is absent
	tasks       sync.WaitGroup

	mu     sync.Mutex
	leases *Leases
	wanted map[string]*wantedRole
	ending bool
}

// wantedRole is a role that this process wants.
type wantedRole struct {
	location string
	work     Work
	lease    *OwnedLease   // the process owns the role, or its work has not returned yet
	done     chan struct{} // closed when the work is done for good
	absent   bool          // the process neither owns the role nor waits for it, as far as it knows
}

// NewRunner returns a runner without roles. Errors say which option is invalid.
func NewRunner(options Options) (*Runner, error) {
	var run [8]byte
	_, _ = rand.Read(run[:]) // never fails (crypto/rand)
	process := options.Name + "#" + hex.EncodeToString(run[:])
	if err := state.CheckProcess(process); err != nil {
		return nil, err
	}
	if err := options.check(); err != nil {
		return nil, err
	}
	registry, err := client.New(options.Registry)
	if err != nil {
		return nil, err
	}
	return &Runner{
		options:     options,
		process:     process,
		client:      registry,
		renewNow:    make(chan struct{}, 1),
		campaignNow: make(chan struct{}, 1),
		leases:      NewLeases(nil),
		wanted:      map[string]*wantedRole{},
	}, nil
}

// Process returns this run of the process, as NAME#RUN.
func (r *Runner) Process() string { return r.process }

// Want has the process be a candidate for a role, and do a work whenever it owns the role. It must be called before Run. location is preferred for
// the owner; the role's first candidate sets it. done is closed once the work is done for good.
func (r *Runner) Want(name, location string, work Work) (done <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wanted := &wantedRole{location: location, work: work, done: make(chan struct{}), absent: true}
	r.wanted[name] = wanted
	return wanted.done
}

// Run owns roles until ctx is done. Then it asks the works to finish their steps, for which they have up to drain, releases the roles and
// withdraws from those that it waits for.
func (r *Runner) Run(ctx context.Context, drain time.Duration) {
	defer r.client.Close()
	taskCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	for _, task := range []func(context.Context){r.runRenewals, r.runCampaigns, r.watch} {
		r.tasks.Go(func() { task(taskCtx) })
	}
	<-ctx.Done()
	r.drain(drain)
	stop()
	r.tasks.Wait()
	r.withdraw(context.WithoutCancel(ctx))
}

// drain requests the handover of all roles, and returns once their works have returned and they are released. Works that take longer than timeout
// are cancelled.
func (r *Runner) drain(timeout time.Duration) {
	owned := r.beginDrain()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for _, lease := range owned {
		select {
		case <-lease.released:
		case <-timer.C:
			for _, lease := range owned {
				lease.cancelWork(ErrLeaseLost)
			}
			<-lease.released
		}
	}
}

func (r *Runner) beginDrain() (owned []*OwnedLease) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ending = true
	for _, wanted := range r.wanted {
		if wanted.lease != nil {
			wanted.lease.requestHandover()
			owned = append(owned, wanted.lease)
		}
	}
	return owned
}

// withdraw withdraws from the roles that the process waits for. Where a call fails, the process times out as a candidate.
func (r *Runner) withdraw(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Lease/2)
	defer cancel()
	for name, wanted := range r.wanted {
		if !wanted.absent {
			_, _ = r.client.ChangeRole(ctx, client.Withdraw, name, client.RoleCall{Process: r.process})
		}
	}
}

// signal wakes the receiver of a channel of capacity 1.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// watch has the leases be renewed at once when a watch says that something changed.
func (r *Runner) watch(ctx context.Context) {
	err := client.WatchRoles(ctx, r.options.Registry, r.process, r.options.Log, func(client.RolesUpdate) { signal(r.renewNow) })
	if err != nil {
		r.options.Log.Error("watch of roles", "err", err)
	}
}

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

// runCampaigns has the process become a candidate for the wanted roles that are absent, at first and whenever it is signalled.
func (r *Runner) runCampaigns(ctx context.Context) {
	r.campaignForAbsent(ctx)
	for {
		select {
		case <-r.campaignNow:
		case <-ctx.Done():
			return
		}
		// Many processes may have timed out as candidates at once, as when the registry comes back.
		timer := time.NewTimer(mrand.N(r.options.Lease / 8))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		r.campaignForAbsent(ctx)
	}
}

// campaign is a role that the process is to become a candidate for.
type campaign struct{ name, location string }

func (r *Runner) campaignForAbsent(ctx context.Context) {
	campaigns := r.absentRoles()
	// In random order, so that two processes that come together share the roles that are free.
	slices.SortFunc(campaigns, func(_, _ campaign) int { return mrand.IntN(3) - 1 })
	for _, c := range campaigns {
		r.campaign(ctx, c)
	}
}

func (r *Runner) absentRoles() (campaigns []campaign) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, wanted := range r.wanted {
		if wanted.absent && !r.ending && wanted.lease == nil {
			campaigns = append(campaigns, campaign{name, wanted.location})
		}
	}
	return campaigns
}

func (r *Runner) campaign(ctx context.Context, c campaign) {
	callCtx, cancel := context.WithTimeout(ctx, max(r.options.Lease, minCampaignTimeout))
	defer cancel()
	_, err := r.client.ChangeRole(callCtx, client.Campaign, c.name, client.RoleCall{
		Process:      r.process,
		Location:     r.options.Location,
		RoleLocation: c.location,
		Load:         r.options.Load,
		TTLMS:        r.options.Lease.Milliseconds(),
	})
	if err != nil && ctx.Err() == nil {
		r.options.Log.Warn("campaign", "name", c.name, "err", err) // the next renewal shows that the role is absent
	}
	signal(r.renewNow)
}

// runWork runs the work of a lease, and releases the role when it returns.
func (r *Runner) runWork(ctx context.Context, wanted *wantedRole, lease *OwnedLease) {
	workCtx, cancel := context.WithCancelCause(ctx)
	lease.setCancel(cancel)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		lease.cancelWhenLost(workCtx)
	}()
	err := wanted.work(workCtx, lease)
	lost := !lease.Valid()
	cancel(ErrLeaseLost)
	<-watched
	doneForGood := err == nil || errors.Is(err, ErrGaveUp)
	call := client.RoleCall{Failed: err != nil && !errors.Is(err, ErrHandedOver) && !lost}
	if step := lease.recordedFinalStep(); step != nil {
		call.Step, call.StepNo = *step, &lease.StepNo
	}
	call.Rejoin = r.endOwned(lease.Lease, doneForGood)
	r.options.Log.Info("role released", "name", lease.Name, "epoch", lease.Epoch, "err", err)
	r.release(context.WithoutCancel(ctx), lease.Lease, call)
	r.mu.Lock()
	wanted.lease = nil
	r.mu.Unlock()
	if doneForGood {
		close(wanted.done)
	}
	close(lease.released)
	signal(r.renewNow)
}

// endOwned ends a lease whose work has returned, and returns whether the process is to become a candidate again.
func (r *Runner) endOwned(lease Lease, doneForGood bool) (rejoin bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leases.End(lease.Name, lease.Epoch)
	if doneForGood {
		delete(r.wanted, lease.Name)
	}
	return !doneForGood && !r.ending
}

// release releases a role. Where the call fails, the lease ends by itself.
func (r *Runner) release(ctx context.Context, lease Lease, call client.RoleCall) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Lease)
	defer cancel()
	call.Process, call.Epoch = r.process, lease.Epoch
	_, err := r.client.ChangeRole(ctx, client.Release, lease.Name, call)
	if err != nil && !isConflict(err) { // a conflict says that another process has the role
		r.options.Log.Warn("release", "name", lease.Name, "epoch", lease.Epoch, "err", err)
	}
}

func isConflict(err error) bool {
	var refused *client.RefusedError
	return errors.As(err, &refused) && refused.Status == http.StatusConflict
}
