package singleton

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/state"
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
