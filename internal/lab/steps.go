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
)

// Effect is when a step took effect, from the start of the load.
type Effect struct {
	Fault   int     `json:"fault"`
	Do      string  `json:"do"`
	On      string  `json:"on"`
	Planned float64 `json:"planned_s"`
	Seen    float64 `json:"effect_s"`
	Error   string  `json:"error,omitempty"`
}

// Steps takes all steps of the plan in time, and returns when each took effect. A step that could not be taken is an error
// of the lab.
func (f *Fleet) Steps(ctx context.Context, start int64) []Effect {
	var mu sync.Mutex
	var effects []Effect
	var tasks sync.WaitGroup
	done := func(s *plan.Step, at int64, err error) {
		e := Effect{Fault: s.Fault, Do: s.Do, On: f.nameOf(s), Planned: s.At.Seconds(), Seen: float64(at-start) / 1e9}
		if err != nil {
			e.Error = err.Error()
			f.fault(fmt.Errorf("%s %s: %w", s.Do, e.On, err))
		}
		mu.Lock()
		defer mu.Unlock()
		effects = append(effects, e)
	}
	var links errgroup.Group
	links.SetLimit(mostLinksAtOnce)
	for i := range f.plan.Steps {
		s := &f.plan.Steps[i]
		if s.At > plan.Seconds(f.plan.File.Seconds) {
			break // what a fault would still bring after the load
		}
		if !waitUntil(ctx, start+int64(s.At)) {
			break
		}
		if plan.OnKeepers(s.Sidecar) {
			tasks.Add(1)
			run := func() {
				defer tasks.Done()
				at, err := f.keepers.step(ctx, s)
				if ctx.Err() != nil {
					err = nil // the experiment is over, or was broken off
				}
				done(s, at, err)
			}
			switch s.Do {
			case plan.Kill, plan.Term, plan.Start, plan.Tear, plan.Backup, plan.Restore: // which wait
				f.keepers.inTurn(s, run)
			default:
				run()
			}
			continue
		}
		if s.Peers { // of many links at once
			tasks.Add(1)
			go func() {
				defer tasks.Done()
				at, err := f.peers.step(s)
				done(s, at, err)
			}()
			continue
		}
		if s.Do == plan.Link { // of many far ends at once
			links.Go(func() error {
				at, err := f.links.set(s)
				done(s, at, err)
				return nil
			})
			continue
		}
		_ = links.Wait() // errors are told to done; what comes after a change of links comes after it
		switch s.Do {
		case plan.Term, plan.Kill, plan.Start: // which wait for the process
			tasks.Add(1)
			ends := s.Do != plan.Start && s.Sidecar != plan.ListIndex
			if ends {
				f.sidecars[s.Sidecar].tasks.Add(1) // before a start that waits for it can begin
			}
			go func() {
				defer tasks.Done()
				at, err := f.process(ctx, s)
				if ends {
					f.sidecars[s.Sidecar].tasks.Done()
				}
				done(s, at, err)
			}()
			continue
		}
		at, err := f.step(s)
		done(s, at, err)
	}
	_ = links.Wait()
	tasks.Wait()
	slices.SortStableFunc(effects, func(a, b Effect) int { return cmp.Compare(a.Planned, b.Planned) })
	return effects
}

const mostLinksAtOnce = 64

func waitUntil(ctx context.Context, t int64) bool { return clock.Sleep(ctx, clock.Until(t)) }

func (f *Fleet) nameOf(s *plan.Step) string {
	switch {
	case plan.OnKeepers(s.Sidecar):
		return f.keepers.nameOf(s)
	case s.Do == plan.Lie:
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

// step takes one step that needs no waiting.
func (f *Fleet) step(s *plan.Step) (int64, error) {
	switch s.Do {
	case plan.Stop, plan.Cont:
		return f.stop(s)
	case plan.Disk:
		c := f.sidecars[s.Sidecar]
		c.mu.Lock()
		defer c.mu.Unlock()
		return clock.Now(), c.run.SetDiskState(s.Mode)
	case plan.Silent:
		n, err := f.host[s.Server].order(ctl.Order{Do: "silent", UID: s.Server, On: s.On})
		return n.At, err
	case plan.Lie:
		return f.lie(s)
	case plan.Tell:
		f.mu.Lock()
		e := f.entries[s.Server]
		if e.State = s.State; s.State == "DELETED" {
			e.BootMS = 0
		}
		f.mu.Unlock()
		return clock.Now(), f.list.tell(e)
	case plan.Mode:
		n, err := f.list.current().order(ctl.Order{Do: "list-mode", Mode: s.Mode, Late: s.By.Seconds()})
		return n.At, err
	case plan.Add:
		_, n, err := f.addServer(s.Server, true)
		if err == nil {
			err = f.links.again(s.Server)
		}
		return n.At, err
	}
	o := ctl.Order{Do: s.Do, UID: s.Server, Nears: s.Nears, By: int64(s.By)}
	if s.Do == plan.Trouble {
		o.Trouble = &s.Trouble
	}
	n, err := f.far(s.Server).order(o)
	if err == nil && s.Do == plan.Revive {
		f.mu.Lock()
		e := f.entries[s.Server]
		e.BootMS, e.Ports = n.BootMS, n.Ports
		f.entries[s.Server] = e
		f.mu.Unlock()
	}
	return n.At, err
}

// far is the process where a server or, by "", the list is.
func (f *Fleet) far(uid string) *child {
	if uid == "" {
		return f.list.current()
	}
	return f.host[uid]
}

func (f *Fleet) stop(s *plan.Step) (int64, error) {
	sig := syscall.SIGSTOP
	if s.Do == plan.Cont {
		sig = syscall.SIGCONT
	}
	if s.Sidecar == plan.ListIndex {
		err := f.list.current().Signal(sig, false)
		return clock.Now(), err
	}
	c := f.sidecars[s.Sidecar]
	c.mu.Lock()
	defer c.mu.Unlock()
	run := &c.runs[len(c.runs)-1]
	now := clock.Now()
	err := c.run.Signal(sig, false)
	if sig == syscall.SIGSTOP {
		run.Stops = append(run.Stops, check.Span{From: now, To: forever})
	} else {
		run.Stops[len(run.Stops)-1].To = clock.Now()
	}
	return now, err
}

const forever = int64(1) << 62

// process ends or starts a process.
func (f *Fleet) process(ctx context.Context, s *plan.Step) (int64, error) {
	if s.Sidecar == plan.ListIndex {
		return f.listStep(s)
	}
	c := f.sidecars[s.Sidecar]
	if s.Do == plan.Start {
		c.tasks.Wait() // for the end of the one before
		if err := f.startSidecar(c); err != nil {
			return clock.Now(), err
		}
		err := f.ready(ctx, c)
		if ctx.Err() != nil {
			err = nil // the experiment was broken off
		}
		return clock.Now(), err
	}
	at := clock.Now()
	sig := syscall.SIGTERM
	c.mu.Lock()
	p := c.run
	run := &c.runs[len(c.runs)-1] // nobody adds one before this process has ended
	if s.Do == plan.Kill {
		sig, run.Killed = syscall.SIGKILL, at
	}
	c.mu.Unlock()
	if ended, err := endBy(p, sig); err != nil || !ended {
		return at, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	run.To = p.Exit().At
	return at, nil
}

// endBy ends a process by a signal, and by SIGKILL if that is not enough in time. It tells false where the process had ended by
// itself, which shows in its exit.
func endBy(p *proc.Process, sig syscall.Signal) (bool, error) {
	select {
	case <-p.Ended():
		return false, nil
	default:
	}
	if err := p.Signal(sig, true); err != nil {
		return false, err
	}
	timer := time.NewTimer(plan.TermGrace)
	defer timer.Stop()
	select {
	case <-p.Ended():
	case <-timer.C:
		p.Kill()
	}
	return true, nil
}

func (f *Fleet) listStep(s *plan.Step) (int64, error) {
	c := f.list.current()
	switch s.Do {
	case plan.Start:
		<-c.Ended()
		if err := f.list.start(); err != nil {
			return clock.Now(), err
		}
		return clock.Now(), f.links.again("")
	case plan.Kill:
		err := c.Signal(syscall.SIGKILL, true)
		<-c.Ended()
		return clock.Now(), err
	}
	c.Terminate(plan.TermGrace) // by the end of its input: a stand-in knows no SIGTERM of its own
	return clock.Now(), nil
}
