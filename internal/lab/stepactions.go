package lab

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"gradeusher.example/gradeusher/internal/lab/check"
	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/plan"
	"gradeusher.example/gradeusher/internal/lab/proc"
	"gradeusher.example/gradeusher/internal/sidecar/list"
)

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
