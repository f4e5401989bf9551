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

// targetName is what a step acts on, as reports show it.
func (f *Fleet) targetName(step *plan.Step) string {
	switch {
	case plan.IsNode(step.Sidecar):
		return f.registry.targetName(step)
	case step.Do == plan.FalseReports:
		return fmt.Sprintf("%d liars", len(step.Nears))
	case step.Peers:
		return fmt.Sprintf("%d sidecars", len(step.Nears))
	case step.Server != "":
		return step.Server
	case step.Sidecar >= 0:
		return f.plan.Sidecars[step.Sidecar].Name
	}
	return "list"
}

// applyStep applies a step that waits for no process. It returns when that took effect, in ns of the lab's clock.
func (f *Fleet) applyStep(step *plan.Step) (at int64, err error) {
	switch step.Do {
	case plan.Stop, plan.Cont:
		return f.pauseOrResume(step)
	case plan.Disk:
		return f.setDiskFault(step)
	case plan.Isolate:
		event, err := f.host[step.Server].order(ctl.Order{Do: ctl.CommandIsolate, UID: step.Server, On: step.On})
		return event.At, err
	case plan.FalseReports:
		return f.orderFalseReports(step)
	case plan.UpdateList:
		return f.updateList(step)
	case plan.ListMode:
		event, err := f.list.current().order(ctl.Order{Do: ctl.CommandListMode, Mode: step.Mode, Late: step.By.Seconds()})
		return event.At, err
	case plan.Add:
		return f.addSuccessor(step)
	}
	return f.orderServer(step)
}

// setDiskFault begins or ends a fault of a sidecar's disk.
func (f *Fleet) setDiskFault(step *plan.Step) (at int64, err error) {
	target := f.sidecars[step.Sidecar]
	target.mu.Lock()
	defer target.mu.Unlock()
	return endOf(target.process.SetDiskFault(step.Mode))
}

// updateList has the list learn a server's state. A server that is gone has no start.
func (f *Fleet) updateList(step *plan.Step) (at int64, err error) {
	f.mu.Lock()
	entry := f.entries[step.Server]
	f.mu.Unlock()
	entry.State = step.State
	if step.State == string(list.Deleted) {
		entry.BootMS = 0
	}
	return endOf(f.list.addEntry(entry))
}

// addSuccessor starts a server that takes the place of another one, and tells its process the state of its links.
func (f *Fleet) addSuccessor(step *plan.Step) (at int64, err error) {
	_, event, err := f.addServer(step.Server, true)
	if err == nil {
		err = f.links.resend(step.Server)
	}
	return event.At, err
}

// orderServer has a server, or the list where the step names none, obey a step whose kind is a command of stand-ins.
func (f *Fleet) orderServer(step *plan.Step) (at int64, err error) {
	order := ctl.Order{Do: ctl.Command(step.Do), UID: step.Server, Nears: step.Nears, By: int64(step.By)}
	if step.Do == plan.ServerFault {
		order.Fault = &step.Trouble
	}
	event, err := f.processOf(step.Server).order(order)
	if err == nil && step.Do == plan.Revive {
		f.mu.Lock()
		entry := f.entries[step.Server]
		entry.BootMS, entry.Ports = event.BootMS, event.Ports
		f.entries[step.Server] = entry
		f.mu.Unlock()
	}
	return event.At, err
}

// processOf is the process of a server or, where uid is "", of the list.
func (f *Fleet) processOf(uid string) *child {
	if uid == "" {
		return f.list.current()
	}
	return f.host[uid]
}

// endOfTime is later than any time of the lab's clock, in ns.
const endOfTime = int64(1) << 62

// pauseOrResume stops or continues the process of a sidecar or of the list by a signal. It records when a sidecar's process was stopped.
func (f *Fleet) pauseOrResume(step *plan.Step) (at int64, err error) {
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
	at = clock.Now()
	err = target.process.Signal(sig, false)
	if step.Do == plan.Cont {
		run.Stops[len(run.Stops)-1].To = clock.Now()
	} else {
		run.Stops = append(run.Stops, check.Span{From: at, To: endOfTime})
	}
	return at, err
}

// startOrEnd starts or ends the process of a sidecar or of the list, and waits for that. It returns when the process was ready, or when it
// was sent the signal, in ns of the lab's clock.
func (f *Fleet) startOrEnd(ctx context.Context, step *plan.Step) (at int64, err error) {
	switch {
	case step.Sidecar == plan.ListIndex:
		return f.startOrEndList(step)
	case step.Do == plan.Start:
		return f.restartSidecar(ctx, f.sidecars[step.Sidecar])
	}
	return endSidecar(f.sidecars[step.Sidecar], step.Do == plan.Kill)
}

// restartSidecar starts a sidecar's next process once the one before has ended, and waits until it answers.
func (f *Fleet) restartSidecar(ctx context.Context, target *sidecar) (at int64, err error) {
	target.tasks.Wait()
	if err := f.startSidecar(target); err != nil {
		return clock.Now(), err
	}
	err = f.awaitReady(ctx, target)
	if ctx.Err() != nil {
		err = nil // the experiment was broken off
	}
	return clock.Now(), err
}

// endSidecar ends a sidecar's process by SIGKILL or SIGTERM, and records that it was killed and when it ended.
func endSidecar(target *sidecar, kill bool) (at int64, err error) {
	at = clock.Now()
	sig := syscall.SIGTERM
	target.mu.Lock()
	process := target.process
	run := &target.runs[len(target.runs)-1] // nobody adds one before this process has ended
	if kill {
		sig, run.Killed = syscall.SIGKILL, at
	}
	target.mu.Unlock()
	ended, err := endBy(process, sig)
	if err != nil || !ended {
		return at, err
	}
	target.mu.Lock()
	defer target.mu.Unlock()
	run.To = process.Exit().At
	return at, nil
}

// endBy ends a process by a signal, and by SIGKILL where it has not ended plan.TermGrace later. It reports false where the process had
// ended by itself, which shows in its exit.
func endBy(process *proc.Process, sig syscall.Signal) (ended bool, err error) {
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

// startOrEndList starts or ends the list's process, and waits for that.
func (f *Fleet) startOrEndList(step *plan.Step) (at int64, err error) {
	process := f.list.current()
	switch step.Do {
	case plan.Start:
		<-process.Ended()
		if err := f.list.start(); err != nil {
			return clock.Now(), err
		}
		at = clock.Now()
		return at, f.links.resend("")
	case plan.Kill:
		err := process.Signal(syscall.SIGKILL, true)
		<-process.Ended()
		return clock.Now(), err
	}
	process.End(plan.TermGrace) // closes its input: a stand-in does not handle SIGTERM
	return clock.Now(), nil
}
