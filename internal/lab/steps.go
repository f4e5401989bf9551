package lab

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/plan"
)

// Effect is when a step took effect. Times are in seconds from the start of the load.
type Effect struct {
	Fault   int           `json:"fault"` // index in the file
	Do      plan.StepKind `json:"do"`
	On      string        `json:"on"`              // what it acted on, as reports show it
	Planned float64       `json:"planned_s"`       // when the plan has it
	Seen    float64       `json:"effect_s"`        // when it took effect, or failed
	Error   string        `json:"error,omitempty"` // why it failed
}

const maxConcurrentLinkSteps = 64 // steps that change links of servers or of the list at the same time

// Steps applies all steps of the plan at their times, and returns when each took effect, in the order of their planned times. start is the
// start of the load, in ns of the lab's clock. When ctx is done, further steps are left out. A step that could not be applied is an error
// of the lab as well (Err).
func (f *Fleet) Steps(ctx context.Context, start int64) []Effect {
	runner := &stepRunner{fleet: f, start: start}
	runner.linkSteps.SetLimit(maxConcurrentLinkSteps)
	for i := range f.plan.Steps {
		step := &f.plan.Steps[i]
		afterLoad := step.At > plan.Seconds(f.plan.File.Seconds)
		if afterLoad || !waitUntil(ctx, start+int64(step.At)) {
			break
		}
		runner.run(ctx, step)
	}
	runner.awaitLinkSteps()
	runner.tasks.Wait()
	slices.SortStableFunc(runner.effects, func(a, b Effect) int { return cmp.Compare(a.Planned, b.Planned) })
	return runner.effects
}

// waitUntil waits until a time, in ns of the lab's clock. It reports false where ctx was done before.
func waitUntil(ctx context.Context, at int64) bool { return clock.Sleep(ctx, clock.Until(at)) }

// endOf returns when what a step does was over, in ns of the lab's clock, and the step's error. Its argument is evaluated first.
func endOf(err error) (at int64, _ error) { return clock.Now(), err }

// stepRunner runs steps. Those that take a while run in goroutines of their own, so that the next one is not late.
type stepRunner struct {
	fleet     *Fleet
	start     int64          // of the load, ns of the lab's clock
	tasks     sync.WaitGroup // steps that take a while, but for linkSteps
	linkSteps errgroup.Group // steps that change links of servers or of the list

	mu      sync.Mutex
	effects []Effect
}

// record records when a step took effect, in ns of the lab's clock, or why it did not.
func (r *stepRunner) record(step *plan.Step, at int64, err error) {
	effect := Effect{Fault: step.Fault, Do: step.Do, On: r.fleet.targetName(step), Planned: step.At.Seconds(), Seen: float64(at-r.start) / 1e9}
	if err != nil {
		effect.Error = err.Error()
		r.fleet.recordError(fmt.Errorf("%s %s: %w", step.Do, effect.On, err))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.effects = append(r.effects, effect)
}

// run applies a step, or starts a goroutine that does.
func (r *stepRunner) run(ctx context.Context, step *plan.Step) {
	switch {
	case plan.IsNode(step.Sidecar):
		r.runOnNode(ctx, step)
		return
	case step.Peers:
		r.runTask(func() {
			at, err := r.fleet.peers.applyLinkFault(step)
			r.record(step, at, err)
		})
		return
	case step.Do == plan.Link:
		r.linkSteps.Go(func() error {
			at, err := r.fleet.links.apply(step)
			r.record(step, at, err)
			return nil
		})
		return
	}
	r.awaitLinkSteps() // a fault of servers may rely on the state of their links
	switch step.Do {
	case plan.Term, plan.Kill, plan.Start:
		r.runProcessStep(ctx, step)
	default:
		at, err := r.fleet.applyStep(step)
		r.record(step, at, err)
	}
}

// awaitLinkSteps waits until all changes of links that were started have taken effect.
func (r *stepRunner) awaitLinkSteps() {
	_ = r.linkSteps.Wait() // always nil, as record gets the errors
}

// runTask runs a step in a goroutine, for which Steps waits at its end.
func (r *stepRunner) runTask(apply func()) {
	r.tasks.Add(1)
	go func() {
		defer r.tasks.Done()
		apply()
	}()
}

// runOnNode applies a step to a registry node. Steps that wait for a process or for the registry run in goroutines, one after the other
// for each node.
func (r *stepRunner) runOnNode(ctx context.Context, step *plan.Step) {
	r.tasks.Add(1)
	apply := func() {
		defer r.tasks.Done()
		at, err := r.fleet.registry.applyStep(ctx, step)
		if ctx.Err() != nil {
			err = nil // the experiment is over, or was broken off
		}
		r.record(step, at, err)
	}
	switch step.Do {
	case plan.Kill, plan.Term, plan.Start, plan.Tear, plan.Backup, plan.Restore:
		r.fleet.registry.runInOrder(step, apply)
	default:
		apply()
	}
}

// runProcessStep starts or ends the process of a sidecar or of the list in a goroutine, which waits for that.
func (r *stepRunner) runProcessStep(ctx context.Context, step *plan.Step) {
	endsSidecar := step.Do != plan.Start && step.Sidecar != plan.ListIndex
	if endsSidecar {
		r.fleet.sidecars[step.Sidecar].tasks.Add(1) // before the step that starts the next process can wait for this end
	}
	r.runTask(func() {
		at, err := r.fleet.startOrEnd(ctx, step)
		if endsSidecar {
			r.fleet.sidecars[step.Sidecar].tasks.Done()
		}
		r.record(step, at, err)
	})
}
