package singleton

import (
	"context"
	"errors"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// Work is done in an office. ctx ends at the latest when the office does; once Asked is closed it should finish its step and
// return. nil: the work is done for good, and this process does not wait for the duty again; ErrGaveUp: nor does it then, and it
// failed; ErrHandedOver: it waits again; any other error is a failure, and it waits again, after pauses that grow.
type Work func(ctx context.Context, t *HeldLease) error

// Why an office ends.
var (
	ErrHandedOver = errors.New("handed over")
	ErrGaveUp     = errors.New("given up")
	ErrLeaseLost  = errors.New("the office is lost")
)

// HeldLease is an office with its work.
type HeldLease struct {
	Lease
	runner   *Runner
	handover chan struct{}
	released chan struct{} // its work has returned and it is released

	mu                sync.Mutex
	cancel            context.CancelCauseFunc
	handoverRequested bool
	lostSince         Instant // it was seen that it is
	finalStep         *string
}

// Remaining is how long the office lasts if it is not renewed; 0: it is over.
func (t *HeldLease) Remaining() time.Duration {
	t.runner.mu.Lock()
	defer t.runner.mu.Unlock()
	now := Now()
	o, ok := t.runner.leases.Lease(now, t.Name, t.Epoch)
	if !ok {
		return 0
	}
	return o.Until - now
}

// Valid tells whether an effect may begin now, as far as clocks tell. The effect has to carry the epoch all the same.
func (t *HeldLease) Valid() bool { return t.Remaining() > 0 }

// HandoverRequested is closed when the work should finish its step and return ErrHandedOver.
func (t *HeldLease) HandoverRequested() <-chan struct{} { return t.handover }

func (t *HeldLease) requestHandover() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.handoverRequested {
		t.handoverRequested = true
		close(t.handover)
	}
}

// isStuck tells that an office was lost for longer than a margin, while its work goes on: it acts no more, or only the fence helps.
// Danger: its process renews other duties, and so this one for good.
func (t *HeldLease) isStuck() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := Now()
	if t.lostSince == 0 {
		t.lostSince = now
	}
	return now-t.lostSince > state.RoleLeaseMargin(t.runner.options.Lease)
}

func (t *HeldLease) cancelWork(why error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cancel != nil {
		t.cancel(why)
	}
}

// SetFinalStep is recorded as the step with the release of the office.
func (t *HeldLease) SetFinalStep(step string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.finalStep = &step
}

func (t *HeldLease) finalStepNow() *string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.finalStep
}

// Checkpoint records a step, so that whoever comes next begins there. Only the work calls it. Errors are those of client.ChangeDuty;
// after client.ErrUncertain the work should return, as it cannot know what the next reads.
func (t *HeldLease) Checkpoint(ctx context.Context, step string) error {
	no := t.StepNo
	_, err := t.runner.client.ChangeRole(ctx, client.Checkpoint, t.Name, client.RoleCall{Process: t.runner.process, Epoch: t.Epoch, Step: step, StepNo: &no})
	if err == nil {
		t.StepNo++
		t.Step = step
	}
	return err
}

// cancelWhenLost ends the work when the office does.
func (t *HeldLease) cancelWhenLost(work context.Context) {
	for {
		left := t.Remaining()
		if left <= 0 {
			t.cancelWork(ErrLeaseLost)
			return
		}
		timer := time.NewTimer(left)
		select {
		case <-timer.C:
		case <-work.Done():
			timer.Stop()
			return
		}
	}
}
