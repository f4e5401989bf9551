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

// TestRole has processes hold one duty while they are killed, stopped and asked, and while the keepers' leader is killed. The resource sees
// that nothing is done under a stale epoch and that no two act at once, and how long nobody does. GRADEUSHER_DUTY_FAULTS: how many kills, and handovers
// that are asked.
func TestRole(t *testing.T) {
	t.Parallel()
	faults := 3
	if v, err := strconv.Atoi(os.Getenv("GRADEUSHER_DUTY_FAULTS")); err == nil {
		faults = v
	}
	fleet := newRoleFleet(t, 3)
	var killed, asked, stopped []time.Duration
	resumed := 0
	for fault := range faults {
		name, acting := fleet.activeOwner()
		at := time.Now()
		if err := fleet.candidates[name].Process.Kill(); err != nil {
			t.Fatal(err)
		}
		after, _ := fleet.awaitHandover(acting, at)
		killed = append(killed, after)
		fleet.startCandidate()

		_, acting = fleet.activeOwner()
		if err := newCommand(t, "duty", "release", "work", "--keepers", strings.Join(fleet.addresses(), ",")).Run(); err != nil {
			t.Fatal(err)
		}
		_, without := fleet.awaitHandover(acting, at)
		asked = append(asked, without)
		if fault >= 3 {
			continue // they take long
		}

		// Only who renews is stopped: its guard ends the command in time.
		name, acting = fleet.activeOwner()
		at = time.Now()
		fleet.signal(syscall.SIGSTOP, fleet.candidates[name].Process.Pid)
		after, _ = fleet.awaitHandover(acting, at)
		stopped = append(stopped, after)
		fleet.signal(syscall.SIGCONT, fleet.candidates[name].Process.Pid)

		// All of it is stopped, in the middle of its effects: clocks are of no help when it is resumed, the fence is. It is resumed once another acts.
		name, acting = fleet.activeOwner()
		fleet.signal(syscall.SIGSTOP, fleet.candidates[name].Process.Pid, acting.guard, acting.pid)
		fleet.awaitHandover(acting, at)
		fleet.signal(syscall.SIGCONT, acting.pid)
		eventually(t, "refusal", func() bool {
			return slices.ContainsFunc(fleet.resource.effects(), func(n effect) bool { return n.epoch == acting.epoch && !n.allowed })
		})
		resumed++
		fleet.signal(syscall.SIGCONT, acting.guard, fleet.candidates[name].Process.Pid)
	}
	_, before := fleet.activeOwner()
	leader := fleet.leader()
	fleet.kill(leader)
	fleet.leader()
	fleet.start(leader)
	fleet.activeOwner()
	if first, _, ok := fleet.resource.firstAfter(before); ok { // an election takes about as long as this short lease bears
		t.Logf("the duty went from epoch %d to %d with the keepers' leader", before.epoch, first.epoch)
	}
	highest, stale, refused := int64(0), 0, 0
	pids := map[int64]int{}
	for _, acting := range fleet.resource.effects() {
		if !acting.allowed {
			refused++
			continue
		}
		if acting.epoch < highest {
			stale++
		}
		highest = max(highest, acting.epoch)
		if pid, ok := pids[acting.epoch]; ok && pid != acting.pid {
			t.Errorf("%d and %d act under epoch %d", pid, acting.pid, acting.epoch)
		}
		pids[acting.epoch] = acting.pid
	}
	if stale > 0 {
		t.Errorf("%d effects under a stale epoch were let through", stale)
	}
	if refused != resumed {
		t.Errorf("%d effects were refused; %d that were stopped whole can have had one each", refused, resumed)
	}
	t.Logf("%d effects under %d epochs, %d of those of stopped processes refused; lease %v; without one who acts after kill -9: %s; after asked: %s; after SIGSTOP of who renews: %s",
		len(fleet.resource.effects()), len(pids), refused, testLease, percentiles(killed), percentiles(asked), percentiles(stopped))
	if longest := killed[len(killed)-1]; longest > testLease+500*time.Millisecond+startupAllowance {
		t.Errorf("%v passed after a kill, with leases of %v", longest, testLease)
	}
}

// TestRoleWithoutMajority has a holder lose the majority of the keepers for longer than its lease: it stops by itself in time, and begins under
// another epoch when they are back.
func TestRoleWithoutMajority(t *testing.T) {
	t.Parallel()
	fleet := newRoleFleet(t, 3)
	_, acting := fleet.activeOwner()
	leader := fleet.leader()
	i := slices.Index(fleet.nodes, leader)
	other := fleet.nodes[(i+1)%3]
	fleet.kill(leader)
	at := time.Now() // a renewal that the leader answered was sent before
	fleet.kill(other)
	eventually(t, "end", func() bool {
		_, acts := fleet.resource.lastEffect()
		return !acts
	})
	all := fleet.resource.effects()
	last := all[len(all)-1]
	if after := last.at.Sub(at); last.epoch != acting.epoch || after > testLease-state.RoleLeaseMargin(testLease)+100*time.Millisecond {
		t.Errorf("it acts under %d, and %v after the last renewal, with a lease of %v", last.epoch, after, testLease)
	}
	fleet.start(leader)
	fleet.start(other)
	if _, next := fleet.activeOwner(); next.epoch <= acting.epoch {
		t.Errorf("epoch %d after %d", next.epoch, acting.epoch)
	}
	for _, acting := range fleet.resource.effects() {
		if !acting.allowed {
			t.Errorf("an effect under epoch %d came late", acting.epoch)
		}
	}
}

// TestRoleSweep has duties out of use forgotten by one of two sweepers, also once the first is killed, and others left alone. Epochs go on.
func TestRoleSweep(t *testing.T) {
	t.Parallel()
	cluster := newRegistryCluster(t, 1, "")
	cluster.leader()
	change := func(turn client.RoleAction, name, who string, epoch int64) state.Role {
		t.Helper()
		changed, err := cluster.client.ChangeRole(cluster.callContext(), turn, name, client.RoleCall{Process: who, Epoch: epoch, TTLMS: 300_000})
		if err != nil {
			t.Fatal(err)
		}
		return changed.Role
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
		sweeper := newCommand(t, "duty", "sweep", "--keepers", cluster.addresses()[0], "--as", name, "--lease", "1s", "--every", "50ms", "--idle", "1s")
		if err := sweeper.Start(); err != nil {
			t.Fatal(err)
		}
		sweepers[name] = sweeper
		t.Cleanup(func() {
			_ = sweeper.Process.Kill() // one was
			_ = sweeper.Wait()
		})
	}
	swept := func() (by string) {
		t.Helper()
		eventually(t, "sweep", func() bool {
			update, err := cluster.client.Roles(cluster.callContext(), "")
			if err != nil {
				return false
			}
			names := ""
			for _, changed := range update.Roles {
				names += changed.Name + " "
				if changed.Name == singleton.SweepRole && changed.Owner != nil {
					by = state.ProcessName(changed.Owner.Process)
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
	_, err := cluster.client.ChangeRole(cluster.callContext(), client.Forget, singleton.SweepRole, client.RoleCall{Process: sweep.Owner.Process, Epoch: sweep.Epoch - 1, IdleRoles: []string{"used"}, IdleMS: 1000})
	if err == nil || !strings.Contains(err.Error(), "does not hold sweep") {
		t.Errorf("a sweep under the epoch before: %v", err)
	}
}

// TestRoleHold has a command's exit code passed on, its environment told, and one that TERM does not end killed.
func TestRoleHold(t *testing.T) {
	t.Parallel()
	cluster := newRegistryCluster(t, 1, "")
	cluster.leader()
	out := filepath.Join(t.TempDir(), "said")
	hold := func(script string, more ...string) *command {
		args := append([]string{"duty", "hold", "d", "--keepers", cluster.addresses()[0], "--as", "h", "--lease", "1s", "--grace", "100ms"}, more...)
		return newCommand(t, append(args, "--", "sh", "-c", script, "x", out)...)
	}
	holder := hold(`echo "$GRADEUSHER_DUTY $GRADEUSHER_EPOCH" >> "$1"; exit 7`)
	if code := holder.waitForExit(t); code != 7 {
		t.Errorf("exit %d: %s", code, &holder.err)
	}
	holder = hold(`trap "" TERM; echo "$GRADEUSHER_DUTY $GRADEUSHER_EPOCH" >> "$1"; while :; do sleep 0.1; done`, "--once")
	if err := holder.Start(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "second term", func() bool {
		text, _ := os.ReadFile(out) // not yet
		return string(text) == "d 1\nd 2\n"
	})
	if err := holder.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if code := holder.waitForExit(t); code != 1 {
		t.Errorf("exit %d: %s", code, &holder.err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	update, err := cluster.client.Roles(ctx, "d")
	if err != nil || len(update.Roles) != 1 || update.Roles[0].Owner != nil || len(update.Roles[0].Waiting) > 0 {
		t.Errorf("%+v, %v", update, err)
	}
	for want, args := range map[string][]string{
		"nobody holds d": {"release", "d"}, "no duty": {"list", "e"}, "too short|not within": {"hold", "d", "--lease", "100ms", "--", "true"},
		"--grace 3s": {"hold", "d", "--grace", "3s", "--", "true"}, "executable file not found": {"hold", "d", "--", "no-such-program"}, `"z" does not wait`: {"move", "full", "z"},
	} {
		if args[0] == "move" {
			if _, err := cluster.client.ChangeRole(ctx, client.Campaign, "full", client.RoleCall{Process: "a#1", TTLMS: 300_000}); err != nil {
				t.Fatal(err)
			}
		}
		holder := newCommand(t, append([]string{"duty", args[0], "--keepers", cluster.addresses()[0]}, args[1:]...)...)
		code := holder.waitForExit(t)
		said := slices.ContainsFunc(strings.Split(want, "|"), func(w string) bool { return strings.Contains(holder.err.String(), w) })
		if wantCode := map[bool]int{true: 2, false: 1}[args[0] == "hold"]; code != wantCode || !said {
			t.Errorf("%v: exit %d, %s", args, code, &holder.err)
		}
	}
}
