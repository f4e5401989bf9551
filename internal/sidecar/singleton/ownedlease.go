package singleton

import (
	"context"
	"errors"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// Work is what a process does in a role under one lease. ctx ends at the latest with the lease. Once lease.HandoverRequested is closed, Work should
// finish its step and return. What it returns decides what follows:
//
//   - nil: the work is done for good, and the process is no candidate any more;
//   - ErrGaveUp: the same, after a failure;
//   - ErrHandedOver: the process becomes a candidate again;
//   - any other error: a failure, after which the process is a candidate again, with a backoff.
type Work func(ctx context.Context, lease *OwnedLease) error

// Why a work ends. ErrLeaseLost is the cause of its context (context.Cause) where the lease ended.
var (
	ErrHandedOver = errors.New("handed over")
	ErrGaveUp     = errors.New("given up")
	ErrLeaseLost  = errors.New("the lease is lost")
)

// OwnedLease is a lease of the process, with the work that runs under it.
type OwnedLease struct {
	Lease
	runner   *Runner
	handover chan struct{} // closed when a handover is requested
	released chan struct{} // closed when the work has returned and the role is released

	mu                sync.Mutex
	cancel            context.CancelCauseFunc // of the work; nil before it starts
	handoverRequested bool
	lostSince         Instant // when the runner first saw that the lease was lost; 0: not
	finalStep         *string
}

func newOwnedLease(runner *Runner, lease Lease) *OwnedLease {
	return &OwnedLease{Lease: lease, runner: runner, handover: make(chan struct{}), released: make(chan struct{})}
}

// Remaining returns how long the lease lasts if it is not renewed; 0: it has ended.
func (o *OwnedLease) Remaining() time.Duration {
	o.runner.mu.Lock()
	defer o.runner.mu.Unlock()
	now := Now()
	lease, ok := o.runner.leases.Lease(now, o.Name, o.Epoch)
	if !ok {
		return 0
	}
	return lease.Until - now
}

// Valid tells whether an effect may begin now, as far as clocks tell. The effect must carry the epoch all the same.
func (o *OwnedLease) Valid() bool { return o.Remaining() > 0 }

// HandoverRequested returns a channel that is closed when the work should finish its step and return ErrHandedOver.
func (o *OwnedLease) HandoverRequested() <-chan struct{} { return o.handover }

func (o *OwnedLease) requestHandover() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.handoverRequested {
		o.handoverRequested = true
		close(o.handover)
	}
}

// isStuck tells whether the lease was lost for longer than a margin while the work goes on. The work either acts no more, or only the fence helps.
// The role has to be released without it: the process renews its other roles, and with them this one for good.
func (o *OwnedLease) isStuck() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := Now()
	if o.lostSince == 0 {
		o.lostSince = now
	}
	return now-o.lostSince > state.RoleLeaseMargin(o.runner.options.Lease)
}

func (o *OwnedLease) cancelWork(cause error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.cancel != nil {
		o.cancel(cause)
	}
}

func (o *OwnedLease) setCancel(cancel context.CancelCauseFunc) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cancel = cancel
}

// SetFinalStep sets the step that is recorded with the release of the role, in one command with the grant to the next owner.
func (o *OwnedLease) SetFinalStep(step string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.finalStep = &step
}

func (o *OwnedLease) recordedFinalStep() *string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.finalStep
}

// Checkpoint records a step, from which the next owner goes on. Only the work may call it. Errors are those of client.ChangeRole; after
// client.ErrUncertain the work should return, since it cannot know what the next owner reads.
func (o *OwnedLease) Checkpoint(ctx context.Context, step string) error {
	number := o.StepNo
	call := client.RoleCall{Process: o.runner.process, Epoch: o.Epoch, Step: step, StepNo: &number}
	if _, err := o.runner.client.ChangeRole(ctx, client.Checkpoint, o.Name, call); err != nil {
		return err
	}
	o.Step, o.StepNo = step, o.StepNo+1
	return nil
}

// cancelWhenLost cancels the work when the lease ends, and returns when the work's context has ended.
func (o *OwnedLease) cancelWhenLost(workCtx context.Context) {
	for {
		remaining := o.Remaining()
		if remaining <= 0 {
			o.cancelWork(ErrLeaseLost)
			return
		}
		timer := time.NewTimer(remaining)
		select {
		case <-timer.C:
		case <-workCtx.Done():
			timer.Stop()
			return
		}
	}
}
