package lab

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"gradeusher.example/gradeusher/internal/lab/check"
	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/plan"
	"gradeusher.example/gradeusher/internal/lab/proc"
	"gradeusher.example/gradeusher/internal/sidecar/list"
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

func (f *Fleet) targetName(s *plan.Step) string {
	switch {
	case plan.IsNode(s.Sidecar):
		return f.registry.targetName(s)
	case s.Do == plan.FalseReports:
		return fmt.Sprintf("%d liars", len(s.Nears))
	case s.Peers:
		return fmt.Sprintf("%d sidecars", len(s.Nears))
	case s.Server != "":
		return s.Server
	case s.Sidecar >= 0:
		return f.plan.Sidecars[s.Sidecar].Name
	}
	return "list"
}

// applyStep applies a step that does not wait for a process.
func (f *Fleet) applyStep(step *plan.Step) (int64, error) {
	switch step.Do {
	case plan.Stop, plan.Cont:
		return f.pauseOrResume(step)
	case plan.Disk:
		c := f.sidecars[step.Sidecar]
		c.mu.Lock()
		defer c.mu.Unlock()
		return clock.Now(), c.process.SetDiskFault(step.Mode)
	case plan.Isolate:
		n, err := f.host[step.Server].order(ctl.Order{Do: ctl.CommandIsolate, UID: step.Server, On: step.On})
		return n.At, err
	case plan.FalseReports:
		return f.orderFalseReports(step)
	case plan.UpdateList:
		f.mu.Lock()
		e := f.entries[step.Server]
		if e.State = step.State; step.State == string(list.Deleted) {
			e.BootMS = 0
		}
		f.mu.Unlock()
		return clock.Now(), f.list.addEntry(e)
	case plan.ListMode:
		n, err := f.list.current().order(ctl.Order{Do: ctl.CommandListMode, Mode: step.Mode, Late: step.By.Seconds()})
		return n.At, err
	case plan.Add:
		_, n, err := f.addServer(step.Server, true)
		if err == nil {
			err = f.links.resend(step.Server)
		}
		return n.At, err
	}
	o := ctl.Order{Do: ctl.Command(step.Do), UID: step.Server, Nears: step.Nears, By: int64(step.By)}
	if step.Do == plan.ServerFault {
		o.Fault = &step.Trouble
	}
	n, err := f.processOf(step.Server).order(o)
	if err == nil && step.Do == plan.Revive {
		f.mu.Lock()
		e := f.entries[step.Server]
		e.BootMS, e.Ports = n.BootMS, n.Ports
		f.entries[step.Server] = e
		f.mu.Unlock()
	}
	return n.At, err
}

// processOf is the process where a server or, by "", the list is.
func (f *Fleet) processOf(uid string) *child {
	if uid == "" {
		return f.list.current()
	}
	return f.host[uid]
}

func (f *Fleet) pauseOrResume(step *plan.Step) (int64, error) {
	sig := syscall.SIGSTOP
	if step.Do == plan.Cont {
		sig = syscall.SIGCONT
	}
	if step.Sidecar == plan.ListIndex {
		err := f.list.current().Signal(sig, false)
		return clock.Now(), err
	}
	target := f.sidecars[step.Sidecar]
	target.mu.Lock()
	defer target.mu.Unlock()
	run := &target.runs[len(target.runs)-1]
	now := clock.Now()
	err := target.process.Signal(sig, false)
	if sig == syscall.SIGSTOP {
		run.Stops = append(run.Stops, check.Span{From: now, To: forever})
	} else {
		run.Stops[len(run.Stops)-1].To = clock.Now()
	}
	return now, err
}

const forever = int64(1) << 62

// startOrEnd starts or ends a sidecar's or the list's process, and waits for that.
func (f *Fleet) startOrEnd(ctx context.Context, step *plan.Step) (int64, error) {
	if step.Sidecar == plan.ListIndex {
		return f.applyListStep(step)
	}
	target := f.sidecars[step.Sidecar]
	if step.Do == plan.Start {
		target.tasks.Wait() // for the end of the one before
		if err := f.startSidecar(target); err != nil {
			return clock.Now(), err
		}
		err := f.awaitReady(ctx, target)
		if ctx.Err() != nil {
			err = nil // the experiment was broken off
		}
		return clock.Now(), err
	}
	at := clock.Now()
	sig := syscall.SIGTERM
	target.mu.Lock()
	p := target.process
	run := &target.runs[len(target.runs)-1] // nobody adds one before this process has ended
	if step.Do == plan.Kill {
		sig, run.Killed = syscall.SIGKILL, at
	}
	target.mu.Unlock()
	if ended, err := endBy(p, sig); err != nil || !ended {
		return at, err
	}
	target.mu.Lock()
	defer target.mu.Unlock()
	run.To = p.Exit().At
	return at, nil
}

// endBy ends a process by a signal, and by SIGKILL if that is not enough in time. It reports false where the process had ended by
// itself, which shows in its exit.
func endBy(process *proc.Process, sig syscall.Signal) (bool, error) {
	select {
	case <-process.Ended():
		return false, nil
	default:
	}
	if err := process.Signal(sig, true); err != nil {
		return false, err
	}
	timer := time.NewTimer(plan.TermGrace)
	defer timer.Stop()
	select {
	case <-process.Ended():
	case <-timer.C:
		process.Kill()
	}
	return true, nil
}

func (f *Fleet) applyListStep(s *plan.Step) (int64, error) {
	process := f.list.current()
	switch s.Do {
	case plan.Start:
		<-process.Ended()
		if err := f.list.start(); err != nil {
			return clock.Now(), err
		}
		return clock.Now(), f.links.resend("")
	case plan.Kill:
		err := process.Signal(syscall.SIGKILL, true)
		<-process.Ended()
		return clock.Now(), err
	}
	process.End(plan.TermGrace) // by the end of its input: a stand-in knows no SIGTERM of its own
	return clock.Now(), nil
}
