package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/singleton"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// actorArgument is the first argument of a process that is to act under a duty, at the address that is the second.
const actorArgument = "test-actor"

func init() {
	if len(os.Args) == 3 && os.Args[1] == actorArgument {
		runActor(os.Args[2])
	}
}

// runActor has effects on the resource, one after the other, until that refuses one.
func runActor(at string) {
	c, err := net.Dial("tcp", at)
	if err != nil {
		os.Exit(3)
	}
	answers := bufio.NewScanner(c)
	for {
		_, _ = fmt.Fprintf(c, "%s %d %d\n", os.Getenv("GRADEUSHER_EPOCH"), os.Getpid(), os.Getppid())
		if !answers.Scan() || answers.Text() != "done" {
			os.Exit(4)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// effect is one that came to the resource.
type effect struct {
	epoch      int64
	pid, guard int
	at         time.Time
	allowed    bool // the fence let it through
}

// resource is what the holder of a duty acts on, behind a fence. It sees who acts when, from outside.
type resource struct {
	listener net.Listener
	fence    singleton.Fence
	mu       sync.Mutex
	received []effect
	running  sync.WaitGroup
}

func newResource(t *testing.T) *resource {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target := &resource{listener: listener}
	target.running.Add(1)
	go func() {
		defer target.running.Done()
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			target.running.Add(1)
			go target.serve(c)
		}
	}()
	t.Cleanup(func() {
		listener.Close()
		target.running.Wait()
	})
	return target
}

// serve ends with the actor.
func (a *resource) serve(conn net.Conn) {
	defer a.running.Done()
	defer conn.Close()
	for in := bufio.NewScanner(conn); in.Scan(); {
		var e effect
		if _, err := fmt.Sscan(in.Text(), &e.epoch, &e.pid, &e.guard); err != nil {
			return
		}
		err := a.fence.Do(e.epoch, func() error { return nil })
		e.at, e.allowed = time.Now(), err == nil
		a.mu.Lock()
		a.received = append(a.received, e)
		a.mu.Unlock()
		answer := "done\n"
		if err != nil {
			answer = "refused\n"
		}
		if _, err := conn.Write([]byte(answer)); err != nil {
			return
		}
	}
}

func (a *resource) effects() []effect {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.received)
}

// lastEffect is the one that acted lastEffect, if it did within the lastEffect moment.
func (a *resource) lastEffect() (e effect, ok bool) {
	all := a.effects()
	if len(all) == 0 {
		return e, false
	}
	e = all[len(all)-1]
	return e, e.allowed && time.Since(e.at) < 100*time.Millisecond
}

// firstAfter is the first effect under a higher epoch than e's, and the last under that.
func (a *resource) firstAfter(e effect) (first, last effect, ok bool) {
	for _, n := range a.effects() {
		if n.epoch > e.epoch && n.allowed {
			return n, e, true
		}
		if n.epoch == e.epoch {
			e = n
		}
	}
	return e, e, false
}

const testLease = 1500 * time.Millisecond

// roleFleet is keepers, processes that hold one duty, and the resource that it acts on.
type roleFleet struct {
	*registryCluster
	resource   *resource
	candidates map[string]*command
	started    int
}

func newRoleFleet(t *testing.T, holders int) *roleFleet {
	f := &roleFleet{registryCluster: newRegistryCluster(t, 3, ""), resource: newResource(t), candidates: map[string]*command{}}
	f.leader()
	for range holders {
		f.startCandidate()
	}
	return f
}

// startCandidate starts one more process that waits for the duty.
func (f *roleFleet) startCandidate() {
	f.t.Helper()
	f.started++
	me, err := os.Executable()
	if err != nil {
		f.t.Fatal(err)
	}
	name := fmt.Sprintf("h%d", f.started)
	c := newCommand(f.t, "duty", "hold", "work", "--as", name, "--keepers", strings.Join(f.addresses(), ","), "--lease", testLease.String(), "--", me, actorArgument, f.resource.listener.Addr().String())
	c.Stdin = nil
	if err := c.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.candidates[name] = c
	f.t.Cleanup(func() {
		_ = c.Process.Signal(syscall.SIGCONT) // it may have ended, as below
		_ = c.Process.Kill()
		_ = c.Wait()
		if f.t.Failed() {
			f.t.Logf("%s:\n%s", name, &c.err)
		}
	})
}

// activeOwner is the process that holds the duty, once it acts and another waits.
func (f *roleFleet) activeOwner() (name string, e effect) {
	f.t.Helper()
	eventually(f.t, "holder that acts", func() bool {
		n, err := f.client.Roles(f.callContext(), "work")
		if err != nil || len(n.Roles) != 1 || n.Roles[0].Owner == nil || len(n.Roles[0].Waiting) < 2 {
			return false
		}
		var ok bool
		e, ok = f.resource.lastEffect()
		name = state.ProcessName(n.Roles[0].Owner.Process)
		return ok && e.epoch == n.Roles[0].Epoch
	})
	return name, e
}

// awaitHandover waits until another acts, and tells how long after a time and after the last effect of the one before that was.
func (f *roleFleet) awaitHandover(e effect, from time.Time) (after, without time.Duration) {
	f.t.Helper()
	var first, last effect
	eventually(f.t, "next that acts", func() (ok bool) {
		first, last, ok = f.resource.firstAfter(e)
		return ok
	})
	return first.at.Sub(from), first.at.Sub(last.at)
}

func percentiles(all []time.Duration) string {
	slices.Sort(all)
	at := func(p float64) time.Duration {
		return all[min(len(all)-1, int(p*float64(len(all))))].Round(time.Millisecond)
	}
	return fmt.Sprintf("p50 %v, p99 %v of %d", at(0.5), at(0.99), len(all))
}

const startupAllowance = time.Second // tests run beside others, and what a process needs to start is no part of the promise

func (f *roleFleet) signal(sig syscall.Signal, pids ...int) {
	f.t.Helper()
	for _, pid := range pids {
		if err := syscall.Kill(pid, sig); err != nil {
			f.t.Fatal(err)
		}
	}
}
