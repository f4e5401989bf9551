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

// Effect is when a step took effect, from the start of the load.
type Effect struct {
	Fault   int           `json:"fault"`
	Do      plan.StepKind `json:"do"`
	On      string        `json:"on"`
	Planned float64       `json:"planned_s"`
	Seen    float64       `json:"effect_s"`
	Error   string        `json:"error,omitempty"`
}

// Steps applies all steps of the plan at their times, and returns when each took effect, in the order of their times. A step that
// could not be applied is an error of the lab (Err).
func (f *Fleet) Steps(ctx context.Context, start int64) []Effect {
	runner := &stepRunner{fleet: f, start: start}
	runner.links.SetLimit(maxConcurrentLinks)
	for i := range f.plan.Steps {
		s := &f.plan.Steps[i]
		if s.At > plan.Seconds(f.plan.File.Seconds) {
			break // what a fault would still change after the load
		}
		if !waitUntil(ctx, start+int64(s.At)) {
			break
		}
		runner.apply(ctx, s)
	}
	_ = runner.links.Wait() // never fails: record gets the errors
	runner.tasks.Wait()
	slices.SortStableFunc(runner.effects, func(a, b Effect) int { return cmp.Compare(a.Planned, b.Planned) })
	return runner.effects
}

// stepRunner applies steps. Those that wait run in tasks, so that the next one is in time.
type stepRunner struct {
	fleet *Fleet
	start int64          // of the load, ns of the lab's clock
	tasks sync.WaitGroup // steps that wait
	links errgroup.Group // steps that change links of servers or of the list

	mu      sync.Mutex
	effects []Effect
}

// record records that a step took effect at a time, or why it did not.
func (r *stepRunner) record(s *plan.Step, at int64, err error) {
	effect := Effect{Fault: s.Fault, Do: s.Do, On: r.fleet.targetName(s), Planned: s.At.Seconds(), Seen: float64(at-r.start) / 1e9}
	if err != nil {
		effect.Error = err.Error()
		r.fleet.addFault(fmt.Errorf("%s %s: %w", s.Do, effect.On, err))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.effects = append(r.effects, effect)
}

// apply applies a step, or starts a task that does.
func (r *stepRunner) apply(ctx context.Context, step *plan.Step) {
	switch {
	case plan.IsNode(step.Sidecar):
		r.applyToRegistry(ctx, step)
		return
	case step.Peers: // of many links at once
		r.goTask(func() {
			at, err := r.fleet.peers.applyLinkFault(step)
			r.record(step, at, err)
		})
		return
	case step.Do == plan.Link: // of many far ends at once
		r.links.Go(func() error {
			at, err := r.fleet.links.apply(step)
			r.record(step, at, err)
			return nil
		})
		return
	}
	_ = r.links.Wait() // never fails; a step after a change of links comes after it
	switch step.Do {
	case plan.Term, plan.Kill, plan.Start: // which wait for the process
		r.startOrEnd(ctx, step)
	default:
		at, err := r.fleet.applyStep(step)
		r.record(step, at, err)
	}
}

func (r *stepRunner) goTask(run func()) {
	r.tasks.Add(1)
	go func() {
		defer r.tasks.Done()
		run()
	}()
}

// applyToRegistry applies a step to a registry node. Steps that wait run in order for each node.
func (r *stepRunner) applyToRegistry(ctx context.Context, s *plan.Step) {
	r.tasks.Add(1)
	run := func() {
		defer r.tasks.Done()
		at, err := r.fleet.registry.applyStep(ctx, s)
		if ctx.Err() != nil {
			err = nil // the experiment is over, or was broken off
		}
		r.record(s, at, err)
	}
	switch s.Do {
	case plan.Kill, plan.Term, plan.Start, plan.Tear, plan.Backup, plan.Restore: // which wait
		r.fleet.registry.runInOrder(s, run)
	default:
		run()
	}
}

// startOrEnd starts or ends a sidecar's or the list's process in a task.
func (r *stepRunner) startOrEnd(ctx context.Context, s *plan.Step) {
	endsSidecar := s.Do != plan.Start && s.Sidecar != plan.ListIndex
	if endsSidecar {
		r.fleet.sidecars[s.Sidecar].tasks.Add(1) // before a start that waits for it can begin
	}
	r.goTask(func() {
		at, err := r.fleet.startOrEnd(ctx, s)
		if endsSidecar {
			r.fleet.sidecars[s.Sidecar].tasks.Done()
		}
		r.record(s, at, err)
	})
}

const maxConcurrentLinks = 64 // steps that change links at once

func waitUntil(ctx context.Context, t int64) bool { return clock.Sleep(ctx, clock.Until(t)) }
