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
	o      Options
	who    string
	client *client.Client
	poke   chan struct{} // something may have changed: renew now
	calls  chan struct{} // the wanted duties that miss may have changed
	tasks  sync.WaitGroup

	mu     sync.Mutex
	holder *Leases
	wanted map[string]*want
	ending bool
}

// want is a duty that this process wants.
type want struct {
	at     string
	work   Work
	tenure *HeldLease // it is in office, or its work has not returned yet
	done   chan struct{}
	missed bool // it neither holds nor waits
}

// NewRunner is a process that wants nothing yet.
func NewRunner(o Options) (*Runner, error) {
	var id [8]byte
	_, _ = rand.Read(id[:]) // never fails (crypto/rand)
	r := &Runner{o: o, who: o.Name + "#" + hex.EncodeToString(id[:]), holder: NewLeases(nil), wanted: map[string]*want{}, poke: make(chan struct{}, 1), calls: make(chan struct{}, 1)}
	if err := state.CheckProcess(r.who); err != nil {
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

// Who is this run of the process.
func (r *Runner) Who() string { return r.who }

// Want has the process wait for a duty and do a work whenever it holds it, from before Run. at is the room where it should be
// held, which the first says who wants it. done is closed once the work is done for good.
func (r *Runner) Want(name, at string, work Work) (done <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := &want{at: at, work: work, done: make(chan struct{}), missed: true}
	r.wanted[name] = w
	return w.done
}

// Run holds duties until ctx is done. Then works are asked to finish their steps, which may take up to drain, and what is held is
// released, and what is waited for is given up.
func (r *Runner) Run(ctx context.Context, drain time.Duration) {
	defer r.client.Close()
	on, stop := context.WithCancel(context.WithoutCancel(ctx))
	for _, do := range []func(context.Context){r.renew, r.campaign, r.follow} {
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
		if w.tenure != nil {
			w.tenure.ask()
			busy = append(busy, w.tenure)
		}
	}
	r.mu.Unlock()
	late := time.NewTimer(drain)
	defer late.Stop()
	for _, t := range busy {
		select {
		case <-t.over:
		case <-late.C:
			for _, t := range busy {
				t.cancel(ErrLeaseLost)
			}
			<-t.over
		}
	}
	stop()
	r.tasks.Wait()
	leave, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.o.Lease/2)
	defer cancel()
	for name, w := range r.wanted {
		if !w.missed {
			_, _ = r.client.ChangeRole(leave, client.Withdraw, name, client.RoleCall{Process: r.who}) // or it falls out of line by its silence
		}
	}
}

func nudge(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// follow renews at once where a watch tells of something that this process does not know.
func (r *Runner) follow(ctx context.Context) {
	err := client.WatchRoles(ctx, r.o.Registry, r.who, r.o.Log, func(client.RolesUpdate) { nudge(r.poke) })
	if err != nil {
		r.o.Log.Error("duties", "err", err)
	}
}

// renew renews four times in a lease, and when it is poked.
func (r *Runner) renew(ctx context.Context) {
	every := r.o.Lease / 4
	for {
		// Drawn, so that processes that came together do not renew together for good.
		timer := time.NewTimer(every*3/4 + mrand.N(every/4+1))
		select {
		case <-timer.C:
		case <-r.poke:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return
		}
		call, cancel := context.WithTimeout(ctx, max(every, state.MinRoleLease/2))
		sent := Now()
		a, err := r.client.RenewRoles(call, r.who)
		cancel()
		if err != nil {
			r.o.Log.Debug("duties", "err", err)
			continue
		}
		r.take(ctx, sent, a)
	}
}

// take takes the answer to a renewal, begins works, and sees what is missing.
func (r *Runner) take(ctx context.Context, sent Instant, a client.RoleRenewal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	begin, let := r.holder.Renewed(sent, Now(), a.Owned)
	known := map[string]bool{}
	for _, name := range a.Waiting {
		known[name] = true
	}
	for _, d := range a.Owned {
		known[d.Name] = true
		if w := r.wanted[d.Name]; w != nil && w.tenure != nil && w.tenure.Epoch == d.Epoch && d.HandoverRequested {
			w.tenure.ask()
		}
	}
	for _, o := range let {
		if w := r.wanted[o.Name]; w == nil || w.tenure == nil || w.tenure.hangs() { // else it is released when its work has returned
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
		if w == nil || w.tenure != nil || r.ending { // the work of an office that was lost goes on: not beside it
			r.holder.Release(o.Name, o.Epoch)
			nudge(r.poke)
			continue
		}
		t := &HeldLease{Lease: o, runner: r, asked: make(chan struct{}), over: make(chan struct{})}
		w.tenure = t
		if o.HandOver {
			t.ask()
		}
		r.o.Log.Info("duty held", "name", o.Name, "epoch", o.Epoch)
		r.tasks.Add(1)
		go func() {
			defer r.tasks.Done()
			r.serve(ctx, w, t)
		}()
	}
	for name, w := range r.wanted {
		if w.missed = !known[name]; w.missed {
			nudge(r.calls)
		}
	}
}

// campaign has this process wait for the duties that it wants and neither holds nor waits for.
func (r *Runner) campaign(ctx context.Context) {
	first := true
	for {
		if !first {
			select {
			case <-r.calls:
			case <-ctx.Done():
				return
			}
			// Many may have fallen out of line at once, as when keepers come back.
			timer := time.NewTimer(mrand.N(r.o.Lease / 8))
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
			if w.missed && !r.ending && w.tenure == nil {
				all = append(all, one{name, w.at})
			}
		}
		r.mu.Unlock()
		slices.SortFunc(all, func(a, b one) int { return mrand.IntN(3) - 1 }) // two who come together share what is free
		for _, d := range all {
			call, cancel := context.WithTimeout(ctx, max(r.o.Lease, 3*time.Second))
			_, err := r.client.ChangeRole(call, client.Campaign, d.name, client.RoleCall{Process: r.who, Location: r.o.Location, RoleLocation: d.at, Load: r.o.Load, TTLMS: r.o.Lease.Milliseconds()})
			cancel()
			if err != nil && ctx.Err() == nil {
				r.o.Log.Warn("campaign", "name", d.name, "err", err) // the next renewal shows that it is missing
			}
			nudge(r.poke)
		}
	}
}

// serve does the work of an office, and releases it.
func (r *Runner) serve(ctx context.Context, w *want, t *HeldLease) {
	work, cancel := context.WithCancelCause(ctx)
	t.mu.Lock()
	t.stop = cancel
	t.mu.Unlock()
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		t.watch(work)
	}()
	err := w.work(work, t)
	lost := !t.Valid()
	cancel(ErrLeaseLost)
	<-watched
	final := t.final()
	ends := err == nil || errors.Is(err, ErrGaveUp)
	q := client.RoleCall{Rejoin: !ends, Failed: err != nil && !errors.Is(err, ErrHandedOver) && !lost}
	if final != nil {
		q.Step, q.StepNo = *final, &t.StepNo
	}
	r.mu.Lock()
	if r.ending {
		q.Rejoin = false
	}
	r.holder.Release(t.Name, t.Epoch)
	if ends {
		delete(r.wanted, t.Name)
	}
	r.mu.Unlock()
	r.o.Log.Info("duty let go", "name", t.Name, "epoch", t.Epoch, "err", err)
	r.release(context.WithoutCancel(ctx), t.Lease, q)
	r.mu.Lock()
	w.tenure = nil
	r.mu.Unlock()
	if ends {
		close(w.done)
	}
	close(t.over)
	nudge(r.poke)
}

// release lets go of an office. Where it cannot be said, the office ends with its lease.
func (r *Runner) release(ctx context.Context, o Lease, q client.RoleCall) {
	call, cancel := context.WithTimeout(ctx, r.o.Lease)
	defer cancel()
	q.Process, q.Epoch = r.who, o.Epoch
	_, err := r.client.ChangeRole(call, client.Release, o.Name, q)
	var refused *client.RefusedError
	if err != nil && !(errors.As(err, &refused) && refused.Status == http.StatusConflict) { // it is not ours any more
		r.o.Log.Warn("release", "name", o.Name, "epoch", o.Epoch, "err", err)
	}
}
