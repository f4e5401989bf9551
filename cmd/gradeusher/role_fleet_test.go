package main

import (
	"bufio"
	"context"
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

// actorArgument is the first argument of a process that is to act as the owner of a role, on the resource whose address is the second.
const actorArgument = "test-actor"

func init() {
	if len(os.Args) == 3 && os.Args[1] == actorArgument {
		runActor(os.Args[2])
	}
}

// runActor sends effects to the resource, one after the other, until it refuses one.
func runActor(at string) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(context.Background(), "tcp", at)
	if err != nil {
		os.Exit(3)
	}
	answers := bufio.NewScanner(conn)
	for {
		_, _ = fmt.Fprintf(conn, "%s %d %d\n", os.Getenv("GRADEUSHER_EPOCH"), os.Getpid(), os.Getppid())
		if !answers.Scan() || answers.Text() != "done" {
			os.Exit(4)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// effect is what an actor sent to the resource.
type effect struct {
	epoch      int64
	pid, guard int
	at         time.Time
	allowed    bool // by the fencing token
}

// resource is what the owner of a role acts on. It checks fencing tokens and records who acts when, from outside.
type resource struct {
	listener net.Listener
	fence    singleton.Fence
	mu       sync.Mutex
	received []effect
	running  sync.WaitGroup
}

func newResource(t *testing.T) *resource {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
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
		_ = listener.Close() // ends the loop above
		target.running.Wait()
	})
	return target
}

// serve receives the effects of one actor until that ends.
func (a *resource) serve(conn net.Conn) {
	defer a.running.Done()
	defer func() { _ = conn.Close() }() // the actor has ended
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

// firstAfter returns the first effect under a higher epoch than e's, and the last one under e's.
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

// testLease is the lease of the processes that campaign for the role.
const testLease = 1500 * time.Millisecond

// roleFleet is a registry, processes that campaign for one role, and the resource that its owner acts on.
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

// startCandidate starts one more process that campaigns for the role.
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

// activeOwner waits until the owner acts and two others wait, and returns its name and latest effect.
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

// awaitHandover waits until another process acts, and returns how long that was after a time and after the last effect of the one before.
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

// startupAllowance is for what a process needs to start, which is no part of the claim: tests run beside others.
const startupAllowance = time.Second

func (f *roleFleet) signal(sig syscall.Signal, pids ...int) {
	f.t.Helper()
	for _, pid := range pids {
		if err := syscall.Kill(pid, sig); err != nil {
			f.t.Fatal(err)
		}
	}
}
