package singleton

import (
	"context"
	"errors"
	"net/http"

	"gradeusher.example/gradeusher/internal/sidecar/client"
)

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
