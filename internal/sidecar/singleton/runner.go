package singleton

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	mrand "math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// Runner holds duties for a process.
type Runner struct {
	options     Options
	process     string
	client      *client.Client
	renewNow    chan struct{} // something may have changed: renew now
	campaignNow chan struct{} // the wanted duties that miss may have changed
	tasks       sync.WaitGroup

	mu     sync.Mutex
	leases *Leases
	wanted map[string]*wantedRole
	ending bool
}

// wantedRole is a duty that this process wants.
type wantedRole struct {
	location string
	work     Work
	lease    *HeldLease // it is in office, or its work has not returned yet
	done     chan struct{}
	absent   bool // it neither holds nor waits
}

// NewRunner is a process that wants nothing yet.
func NewRunner(o Options) (*Runner, error) {
	var id [8]byte
	_, _ = rand.Read(id[:]) // never fails (crypto/rand)
	r := &Runner{options: o, process: o.Name + "#" + hex.EncodeToString(id[:]), leases: NewLeases(nil), wanted: map[string]*wantedRole{}, renewNow: make(chan struct{}, 1), campaignNow: make(chan struct{}, 1)}
	if err := state.CheckProcess(r.process); err != nil {
		return nil, err
	}
	if o.Lease < state.MinRoleLease || o.Lease > state.MaxRoleLease {
		return nil, fmt.Errorf("a lease of %v is not within %v to %v", o.Lease, state.MinRoleLease, state.MaxRoleLease)
	}
	c, err := client.New(o.Registry)
	if err != nil {
		return nil, err
	}
	r.client = c
	return r, nil
}

// Process is this run of the process.
func (r *Runner) Process() string { return r.process }

// Want has the process wait for a duty and do a work whenever it holds it, from before Run. at is the room where it should be
// held, which the first says who wants it. done is closed once the work is done for good.
func (r *Runner) Want(name, at string, work Work) (done <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := &wantedRole{location: at, work: work, done: make(chan struct{}), absent: true}
	r.wanted[name] = w
	return w.done
}

// Run holds duties until ctx is done. Then works are asked to finish their steps, which may take up to drain, and what is held is
// released, and what is waited for is given up.
func (r *Runner) Run(ctx context.Context, drain time.Duration) {
	defer r.client.Close()
	on, stop := context.WithCancel(context.WithoutCancel(ctx))
	for _, do := range []func(context.Context){r.runRenewals, r.runCampaigns, r.watch} {
		r.tasks.Add(1)
		go func() {
			defer r.tasks.Done()
			do(on)
		}()
	}
	<-ctx.Done()
	r.mu.Lock()
	r.ending = true
	var busy []*HeldLease
	for _, w := range r.wanted {
		if w.lease != nil {
			w.lease.requestHandover()
			busy = append(busy, w.lease)
		}
	}
	r.mu.Unlock()
	late := time.NewTimer(drain)
	defer late.Stop()
	for _, t := range busy {
		select {
		case <-t.released:
		case <-late.C:
			for _, t := range busy {
				t.cancelWork(ErrLeaseLost)
			}
			<-t.released
		}
	}
	stop()
	r.tasks.Wait()
	leave, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.options.Lease/2)
	defer cancel()
	for name, w := range r.wanted {
		if !w.absent {
			_, _ = r.client.ChangeRole(leave, client.Withdraw, name, client.RoleCall{Process: r.process}) // or it falls out of line by its silence
		}
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// watch renews at once where a watch tells of something that this process does not know.
func (r *Runner) watch(ctx context.Context) {
	err := client.WatchRoles(ctx, r.options.Registry, r.process, r.options.Log, func(client.RolesUpdate) { signal(r.renewNow) })
	if err != nil {
		r.options.Log.Error("duties", "err", err)
	}
}

// runRenewals renews four times in a lease, and when it is poked.
func (r *Runner) runRenewals(ctx context.Context) {
	every := r.options.Lease / 4
	for {
		// Drawn, so that processes that came together do not renew together for good.
		timer := time.NewTimer(every*3/4 + mrand.N(every/4+1))
		select {
		case <-timer.C:
		case <-r.renewNow:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return
		}
		call, cancel := context.WithTimeout(ctx, max(every, state.MinRoleLease/2))
		sent := Now()
		a, err := r.client.RenewRoles(call, r.process)
		cancel()
		if err != nil {
			r.options.Log.Debug("duties", "err", err)
			continue
		}
		r.applyRenewal(ctx, sent, a)
	}
}

// applyRenewal takes the answer to a renewal, begins works, and sees what is missing.
func (r *Runner) applyRenewal(ctx context.Context, sent Instant, a client.RoleRenewal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	begin, let := r.leases.Renewed(sent, Now(), a.Owned)
	known := map[string]bool{}
	for _, name := range a.Waiting {
		known[name] = true
	}
	for _, d := range a.Owned {
		known[d.Name] = true
		if w := r.wanted[d.Name]; w != nil && w.lease != nil && w.lease.Epoch == d.Epoch && d.HandoverRequested {
			w.lease.requestHandover()
		}
	}
	for _, o := range let {
		if w := r.wanted[o.Name]; w == nil || w.lease == nil || w.lease.isStuck() { // else it is released when its work has returned
			q := client.RoleCall{Rejoin: w != nil && !r.ending}
			r.tasks.Add(1)
			go func() {
				defer r.tasks.Done()
				r.release(ctx, o, q)
			}()
		}
	}
	for _, o := range begin {
		w := r.wanted[o.Name]
		if w == nil || w.lease != nil || r.ending { // the work of an office that was lost goes on: not beside it
			r.leases.Release(o.Name, o.Epoch)
			signal(r.renewNow)
			continue
		}
		t := &HeldLease{Lease: o, runner: r, handover: make(chan struct{}), released: make(chan struct{})}
		w.lease = t
		if o.HandoverRequested {
			t.requestHandover()
		}
		r.options.Log.Info("duty held", "name", o.Name, "epoch", o.Epoch)
		r.tasks.Add(1)
		go func() {
			defer r.tasks.Done()
			r.runWork(ctx, w, t)
		}()
	}
	for name, w := range r.wanted {
		if w.absent = !known[name]; w.absent {
			signal(r.campaignNow)
		}
	}
}

// runCampaigns has this process wait for the duties that it wants and neither holds nor waits for.
func (r *Runner) runCampaigns(ctx context.Context) {
	first := true
	for {
		if !first {
			select {
			case <-r.campaignNow:
			case <-ctx.Done():
				return
			}
			// Many may have fallen out of line at once, as when keepers come back.
			timer := time.NewTimer(mrand.N(r.options.Lease / 8))
			select {
			case <-timer.C:
			case <-ctx.Done():
				timer.Stop()
				return
			}
		}
		first = false
		type one struct{ name, at string }
		var all []one
		r.mu.Lock()
		for name, w := range r.wanted {
			if w.absent && !r.ending && w.lease == nil {
				all = append(all, one{name, w.location})
			}
		}
		r.mu.Unlock()
		slices.SortFunc(all, func(a, b one) int { return mrand.IntN(3) - 1 }) // two who come together share what is free
		for _, d := range all {
			call, cancel := context.WithTimeout(ctx, max(r.options.Lease, 3*time.Second))
			_, err := r.client.ChangeRole(call, client.Campaign, d.name, client.RoleCall{Process: r.process, Location: r.options.Location, RoleLocation: d.at, Load: r.options.Load, TTLMS: r.options.Lease.Milliseconds()})
			cancel()
			if err != nil && ctx.Err() == nil {
				r.options.Log.Warn("campaign", "name", d.name, "err", err) // the next renewal shows that it is missing
			}
			signal(r.renewNow)
		}
	}
}

// runWork does the work of an office, and releases it.
func (r *Runner) runWork(ctx context.Context, w *wantedRole, t *HeldLease) {
	work, cancel := context.WithCancelCause(ctx)
	t.mu.Lock()
	t.cancel = cancel
	t.mu.Unlock()
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		t.cancelWhenLost(work)
	}()
	err := w.work(work, t)
	lost := !t.Valid()
	cancel(ErrLeaseLost)
	<-watched
	final := t.finalStepNow()
	ends := err == nil || errors.Is(err, ErrGaveUp)
	q := client.RoleCall{Rejoin: !ends, Failed: err != nil && !errors.Is(err, ErrHandedOver) && !lost}
	if final != nil {
		q.Step, q.StepNo = *final, &t.StepNo
	}
	r.mu.Lock()
	if r.ending {
		q.Rejoin = false
	}
	r.leases.Release(t.Name, t.Epoch)
	if ends {
		delete(r.wanted, t.Name)
	}
	r.mu.Unlock()
	r.options.Log.Info("duty let go", "name", t.Name, "epoch", t.Epoch, "err", err)
	r.release(context.WithoutCancel(ctx), t.Lease, q)
	r.mu.Lock()
	w.lease = nil
	r.mu.Unlock()
	if ends {
		close(w.done)
	}
	close(t.released)
	signal(r.renewNow)
}

// release lets go of an office. Where it cannot be said, the office ends with its lease.
func (r *Runner) release(ctx context.Context, o Lease, q client.RoleCall) {
	call, cancel := context.WithTimeout(ctx, r.options.Lease)
	defer cancel()
	q.Process, q.Epoch = r.process, o.Epoch
	_, err := r.client.ChangeRole(call, client.Release, o.Name, q)
	var refused *client.RefusedError
	if err != nil && !(errors.As(err, &refused) && refused.Status == http.StatusConflict) { // it is not ours any more
		r.options.Log.Warn("release", "name", o.Name, "epoch", o.Epoch, "err", err)
	}
}
