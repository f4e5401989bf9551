package main

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/singleton"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// TestDuty has processes hold one duty while they are killed, stopped and asked, and while the keepers' leader is killed. The resource sees
// that nothing is done under a stale epoch and that no two act at once, and how long nobody does. GRADEUSHER_DUTY_FAULTS: how many kills, and handovers
// that are asked.
func TestDuty(t *testing.T) {
	t.Parallel()
	faults := 3
	if v, err := strconv.Atoi(os.Getenv("GRADEUSHER_DUTY_FAULTS")); err == nil {
		faults = v
	}
	f := newRoleFleet(t, 3)
	var killed, asked, stopped []time.Duration
	resumed := 0
	for i := range faults {
		name, e := f.activeOwner()
		at := time.Now()
		if err := f.candidates[name].Process.Kill(); err != nil {
			t.Fatal(err)
		}
		after, _ := f.awaitHandover(e, at)
		killed = append(killed, after)
		f.startCandidate()

		_, e = f.activeOwner()
		if err := newCommand(t, "duty", "release", "work", "--keepers", strings.Join(f.addresses(), ",")).Run(); err != nil {
			t.Fatal(err)
		}
		_, without := f.awaitHandover(e, at)
		asked = append(asked, without)
		if i >= 3 {
			continue // they take long
		}

		// Only who renews is stopped: its guard ends the command in time.
		name, e = f.activeOwner()
		at = time.Now()
		f.signal(syscall.SIGSTOP, f.candidates[name].Process.Pid)
		after, _ = f.awaitHandover(e, at)
		stopped = append(stopped, after)
		f.signal(syscall.SIGCONT, f.candidates[name].Process.Pid)

		// All of it is stopped, in the middle of its effects: clocks are of no help when it is resumed, the fence is. It is resumed once another acts.
		name, e = f.activeOwner()
		f.signal(syscall.SIGSTOP, f.candidates[name].Process.Pid, e.guard, e.pid)
		f.awaitHandover(e, at)
		f.signal(syscall.SIGCONT, e.pid)
		eventually(t, "refusal", func() bool {
			return slices.ContainsFunc(f.resource.effects(), func(n effect) bool { return n.epoch == e.epoch && !n.allowed })
		})
		resumed++
		f.signal(syscall.SIGCONT, e.guard, f.candidates[name].Process.Pid)
	}
	_, before := f.activeOwner()
	leader := f.leader()
	f.kill(leader)
	f.leader()
	f.start(leader)
	f.activeOwner()
	if first, _, ok := f.resource.firstAfter(before); ok { // an election takes about as long as this short lease bears
		t.Logf("the duty went from epoch %d to %d with the keepers' leader", before.epoch, first.epoch)
	}
	highest, stale, refused := int64(0), 0, 0
	pids := map[int64]int{}
	for _, e := range f.resource.effects() {
		if !e.allowed {
			refused++
			continue
		}
		if e.epoch < highest {
			stale++
		}
		highest = max(highest, e.epoch)
		if pid, ok := pids[e.epoch]; ok && pid != e.pid {
			t.Errorf("%d and %d act under epoch %d", pid, e.pid, e.epoch)
		}
		pids[e.epoch] = e.pid
	}
	if stale > 0 {
		t.Errorf("%d effects under a stale epoch were let through", stale)
	}
	if refused != resumed {
		t.Errorf("%d effects were refused; %d that were stopped whole can have had one each", refused, resumed)
	}
	t.Logf("%d effects under %d epochs, %d of those of stopped processes refused; lease %v; without one who acts after kill -9: %s; after asked: %s; after SIGSTOP of who renews: %s",
		len(f.resource.effects()), len(pids), refused, testLease, percentiles(killed), percentiles(asked), percentiles(stopped))
	if most := killed[len(killed)-1]; most > testLease+500*time.Millisecond+startupAllowance {
		t.Errorf("%v passed after a kill, with leases of %v", most, testLease)
	}
}

// TestDutyMajority has a holder lose the majority of the keepers for longer than its lease: it stops by itself in time, and begins under
// another epoch when they are back.
func TestDutyMajority(t *testing.T) {
	t.Parallel()
	f := newRoleFleet(t, 3)
	_, e := f.activeOwner()
	leader := f.leader()
	i := slices.Index(f.nodes, leader)
	other := f.nodes[(i+1)%3]
	f.kill(leader)
	at := time.Now() // a renewal that the leader answered was sent before
	f.kill(other)
	eventually(t, "end", func() bool {
		_, acts := f.resource.lastEffect()
		return !acts
	})
	all := f.resource.effects()
	last := all[len(all)-1]
	if after := last.at.Sub(at); last.epoch != e.epoch || after > testLease-state.RoleLeaseMargin(testLease)+100*time.Millisecond {
		t.Errorf("it acts under %d, and %v after the last renewal, with a lease of %v", last.epoch, after, testLease)
	}
	f.start(leader)
	f.start(other)
	if _, next := f.activeOwner(); next.epoch <= e.epoch {
		t.Errorf("epoch %d after %d", next.epoch, e.epoch)
	}
	for _, e := range f.resource.effects() {
		if !e.allowed {
			t.Errorf("an effect under epoch %d came late", e.epoch)
		}
	}
}

// TestDutySweep has duties out of use forgotten by one of two sweepers, also once the first is killed, and others left alone. Epochs go on.
func TestDutySweep(t *testing.T) {
	t.Parallel()
	k := newRegistryCluster(t, 1, "")
	k.leader()
	change := func(turn client.RoleAction, name, who string, epoch int64) state.Role {
		t.Helper()
		d, err := k.client.ChangeRole(k.callContext(), turn, name, client.RoleCall{Process: who, Epoch: epoch, TTLMS: 300_000})
		if err != nil {
			t.Fatal(err)
		}
		return d.Role
	}
	leave := func(name string) (epoch int64) {
		epoch = change(client.Campaign, name, "a#1", 0).Epoch
		change(client.Release, name, "a#1", epoch)
		return epoch
	}
	change(client.Campaign, "used", "a#1", 0)
	first := leave("old")
	sweepers := map[string]*command{}
	for _, name := range []string{"s1", "s2"} {
		c := newCommand(t, "duty", "sweep", "--keepers", k.addresses()[0], "--as", name, "--lease", "1s", "--every", "50ms", "--idle", "1s")
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		sweepers[name] = c
		t.Cleanup(func() {
			_ = c.Process.Kill() // one was
			_ = c.Wait()
		})
	}
	swept := func() (by string) {
		t.Helper()
		eventually(t, "sweep", func() bool {
			n, err := k.client.Roles(k.callContext(), "")
			if err != nil {
				return false
			}
			names := ""
			for _, d := range n.Roles {
				names += d.Name + " "
				if d.Name == singleton.SweepRole && d.Owner != nil {
					by = state.ProcessName(d.Owner.Process)
				}
			}
			return names == "sweep used " && by != ""
		})
		return by
	}
	by := swept()
	if second := leave("old"); second <= first {
		t.Errorf("epoch %d after %d", second, first)
	}
	if err := sweepers[by].Process.Kill(); err != nil {
		t.Fatal(err)
	}
	leave("older")
	swept()
	sweep := change(client.Campaign, singleton.SweepRole, "a#1", 0)
	_, err := k.client.ChangeRole(k.callContext(), client.Forget, singleton.SweepRole, client.RoleCall{Process: sweep.Owner.Process, Epoch: sweep.Epoch - 1, IdleRoles: []string{"used"}, IdleMS: 1000})
	if err == nil || !strings.Contains(err.Error(), "does not hold sweep") {
		t.Errorf("a sweep under the epoch before: %v", err)
	}
}

// TestDutyHold has a command's exit code passed on, its environment told, and one that TERM does not end killed.
func TestDutyHold(t *testing.T) {
	t.Parallel()
	k := newRegistryCluster(t, 1, "")
	k.leader()
	out := filepath.Join(t.TempDir(), "said")
	hold := func(script string, more ...string) *command {
		args := append([]string{"duty", "hold", "d", "--keepers", k.addresses()[0], "--as", "h", "--lease", "1s", "--grace", "100ms"}, more...)
		return newCommand(t, append(args, "--", "sh", "-c", script, "x", out)...)
	}
	c := hold(`echo "$GRADEUSHER_DUTY $GRADEUSHER_EPOCH" >> "$1"; exit 7`)
	if code := c.waitForExit(t); code != 7 {
		t.Errorf("exit %d: %s", code, &c.err)
	}
	c = hold(`trap "" TERM; echo "$GRADEUSHER_DUTY $GRADEUSHER_EPOCH" >> "$1"; while :; do sleep 0.1; done`, "--once")
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "second term", func() bool {
		text, _ := os.ReadFile(out) // not yet
		return string(text) == "d 1\nd 2\n"
	})
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if code := c.waitForExit(t); code != 1 {
		t.Errorf("exit %d: %s", code, &c.err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	n, err := k.client.Roles(ctx, "d")
	if err != nil || len(n.Roles) != 1 || n.Roles[0].Owner != nil || len(n.Roles[0].Waiting) > 0 {
		t.Errorf("%+v, %v", n, err)
	}
	for want, args := range map[string][]string{
		"nobody holds d": {"release", "d"}, "no duty": {"list", "e"}, "too short|not within": {"hold", "d", "--lease", "100ms", "--", "true"},
		"--grace 3s": {"hold", "d", "--grace", "3s", "--", "true"}, "executable file not found": {"hold", "d", "--", "no-such-program"}, `"z" does not wait`: {"move", "full", "z"},
	} {
		if args[0] == "move" {
			if _, err := k.client.ChangeRole(ctx, client.Campaign, "full", client.RoleCall{Process: "a#1", TTLMS: 300_000}); err != nil {
				t.Fatal(err)
			}
		}
		c := newCommand(t, append([]string{"duty", args[0], "--keepers", k.addresses()[0]}, args[1:]...)...)
		code := c.waitForExit(t)
		said := slices.ContainsFunc(strings.Split(want, "|"), func(w string) bool { return strings.Contains(c.err.String(), w) })
		if wantCode := map[bool]int{true: 2, false: 1}[args[0] == "hold"]; code != wantCode || !said {
			t.Errorf("%v: exit %d, %s", args, code, &c.err)
		}
	}
}
