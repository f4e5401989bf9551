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

// maxPauses bounds how often TestRole pauses processes: a pause takes long.
const maxPauses = 3

// TestRole has processes own one role while they are killed, paused and asked, and while the registry's leader is killed. The resource
// sees that nothing is done under a stale epoch and that no two act at once, and how long nobody does. GRADEUSHER_DUTY_FAULTS: how many
// kills, and handovers that are asked.
func TestRole(t *testing.T) {
	t.Parallel()
	faults := 3
	if v, err := strconv.Atoi(os.Getenv("GRADEUSHER_DUTY_FAULTS")); err == nil {
		faults = v
	}
	fleet := newRoleFleet(t, 3)
	var killed, asked, paused []time.Duration
	for fault := range faults {
		killed = append(killed, fleet.killOwner())
		asked = append(asked, fleet.releaseOwner())
		if fault < maxPauses {
			paused = append(paused, fleet.pauseRenewals())
			fleet.pauseOwner()
		}
	}
	checkLeaderLoss(t, fleet)
	summary := summarize(t, fleet.resource.effects())
	if summary.stale > 0 {
		t.Errorf("%d effects under a stale epoch were let through", summary.stale)
	}
	if resumed := min(faults, maxPauses); summary.refused != resumed {
		t.Errorf("%d effects were refused; %d that were stopped whole can have had one each", summary.refused, resumed)
	}
	t.Logf("%d effects under %d epochs, %d of those of stopped processes refused; lease %v; without one who acts after kill -9: %s; after asked: %s; after SIGSTOP of who renews: %s",
		len(fleet.resource.effects()), summary.epochs, summary.refused, testLease, percentiles(killed), percentiles(asked), percentiles(paused))
	if longest := slices.Max(killed); longest > testLease+500*time.Millisecond+startupAllowance {
		t.Errorf("%v passed after a kill, with leases of %v", longest, testLease)
	}
}

// killOwner kills the owner, starts another candidate, and returns how long after the kill the next owner acted.
func (f *roleFleet) killOwner() time.Duration {
	f.t.Helper()
	name, acting := f.activeOwner()
	killedAt := time.Now()
	if err := f.candidates[name].Process.Kill(); err != nil {
		f.t.Fatal(err)
	}
	after, _ := f.awaitHandover(acting, killedAt)
	f.startCandidate()
	return after
}

// releaseOwner requests a handover and returns for how long nobody acted.
func (f *roleFleet) releaseOwner() time.Duration {
	f.t.Helper()
	_, acting := f.activeOwner()
	if err := newCommand(f.t, "duty", "release", "work", "--keepers", strings.Join(f.addresses(), ",")).Run(); err != nil {
		f.t.Fatal(err)
	}
	_, without := f.awaitHandover(acting, time.Now())
	return without
}

// pauseRenewals pauses only the process that renews the lease: its guard ends the command in time. It returns how long after the pause
// the next owner acted.
func (f *roleFleet) pauseRenewals() time.Duration {
	f.t.Helper()
	name, acting := f.activeOwner()
	pausedAt := time.Now()
	f.signal(syscall.SIGSTOP, f.candidates[name].Process.Pid)
	after, _ := f.awaitHandover(acting, pausedAt)
	f.signal(syscall.SIGCONT, f.candidates[name].Process.Pid)
	return after
}

// pauseOwner pauses all processes of the owner, amid its effects: clocks are of no help when it is resumed, the fencing token is. It is
// resumed once another acts, and its next effect has to be refused.
func (f *roleFleet) pauseOwner() {
	f.t.Helper()
	name, acting := f.activeOwner()
	f.signal(syscall.SIGSTOP, f.candidates[name].Process.Pid, acting.guard, acting.pid)
	f.awaitHandover(acting, time.Now())
	f.signal(syscall.SIGCONT, acting.pid)
	eventually(f.t, "refusal", func() bool {
		return slices.ContainsFunc(f.resource.effects(), func(e effect) bool { return e.epoch == acting.epoch && !e.allowed })
	})
	f.signal(syscall.SIGCONT, acting.guard, f.candidates[name].Process.Pid)
}

// checkLeaderLoss kills the registry's leader and starts it again; somebody acts afterwards.
func checkLeaderLoss(t *testing.T, fleet *roleFleet) {
	t.Helper()
	_, before := fleet.activeOwner()
	leader := fleet.leader()
	fleet.kill(leader)
	fleet.leader()
	fleet.start(leader)
	fleet.activeOwner()
	if first, _, ok := fleet.resource.firstAfter(before); ok { // an election takes about as long as this short lease bears
		t.Logf("the duty went from epoch %d to %d with the keepers' leader", before.epoch, first.epoch)
	}
}

// effectSummary counts effects.
type effectSummary struct{ epochs, stale, refused int }

// summarize counts effects, and fails the test where two processes acted under one epoch.
func summarize(t *testing.T, effects []effect) (summary effectSummary) {
	t.Helper()
	highest := int64(0)
	pids := map[int64]int{}
	for _, e := range effects {
		if !e.allowed {
			summary.refused++
			continue
		}
		if e.epoch < highest {
			summary.stale++
		}
		highest = max(highest, e.epoch)
		if pid, ok := pids[e.epoch]; ok && pid != e.pid {
			t.Errorf("%d and %d act under epoch %d", pid, e.pid, e.epoch)
		}
		pids[e.epoch] = e.pid
	}
	summary.epochs = len(pids)
	return summary
}

// TestRoleWithoutMajority has an owner lose the majority of the registry for longer than its lease: it stops by itself in time, and begins
// under another epoch when the nodes are back.
func TestRoleWithoutMajority(t *testing.T) {
	t.Parallel()
	fleet := newRoleFleet(t, 3)
	_, acting := fleet.activeOwner()
	leader := fleet.leader()
	other := fleet.nodes[(slices.Index(fleet.nodes, leader)+1)%3]
	fleet.kill(leader)
	killedAt := time.Now() // a renewal that the leader answered was sent before
	fleet.kill(other)
	eventually(t, "end", func() bool {
		_, acts := fleet.resource.lastEffect()
		return !acts
	})
	all := fleet.resource.effects()
	last := all[len(all)-1]
	if after := last.at.Sub(killedAt); last.epoch != acting.epoch || after > testLease-state.RoleLeaseMargin(testLease)+100*time.Millisecond {
		t.Errorf("it acts under %d, and %v after the last renewal, with a lease of %v", last.epoch, after, testLease)
	}
	fleet.start(leader)
	fleet.start(other)
	if _, next := fleet.activeOwner(); next.epoch <= acting.epoch {
		t.Errorf("epoch %d after %d", next.epoch, acting.epoch)
	}
	for _, e := range fleet.resource.effects() {
		if !e.allowed {
			t.Errorf("an effect under epoch %d came late", e.epoch)
		}
	}
}

// TestRoleSweep has idle roles forgotten by one of two sweepers, also once the first is killed, and others left alone. Epochs go on.
func TestRoleSweep(t *testing.T) {
	t.Parallel()
	cluster := newRegistryCluster(t, 1, "")
	cluster.leader()
	cluster.changeRole(client.Campaign, "used", 0)
	first := cluster.useRole("old")
	sweepers := map[string]*command{}
	for _, name := range []string{"s1", "s2"} {
		sweepers[name] = cluster.startSweeper(name)
	}
	owner := cluster.awaitSweep()
	if second := cluster.useRole("old"); second <= first {
		t.Errorf("epoch %d after %d", second, first)
	}
	if err := sweepers[owner].Process.Kill(); err != nil {
		t.Fatal(err)
	}
	cluster.useRole("older")
	cluster.awaitSweep()
	sweep := cluster.changeRole(client.Campaign, singleton.SweepRole, 0)
	_, err := cluster.client.ChangeRole(cluster.callContext(), client.Forget, singleton.SweepRole,
		client.RoleCall{Process: sweep.Owner.Process, Epoch: sweep.Epoch - 1, IdleRoles: []string{"used"}, IdleMS: 1000})
	if err == nil || !strings.Contains(err.Error(), "does not hold sweep") {
		t.Errorf("a sweep under the epoch before: %v", err)
	}
}

// changeRole makes a change in the name of the process a#1.
func (k *registryCluster) changeRole(action client.RoleAction, name string, epoch int64) state.Role {
	k.t.Helper()
	changed, err := k.client.ChangeRole(k.callContext(), action, name, client.RoleCall{Process: "a#1", Epoch: epoch, TTLMS: 300_000})
	if err != nil {
		k.t.Fatal(err)
	}
	return changed.Role
}

// useRole has a process own a role and release it, and returns the epoch.
func (k *registryCluster) useRole(name string) (epoch int64) {
	k.t.Helper()
	epoch = k.changeRole(client.Campaign, name, 0).Epoch
	k.changeRole(client.Release, name, epoch)
	return epoch
}

func (k *registryCluster) startSweeper(name string) *command {
	k.t.Helper()
	sweeper := newCommand(k.t, "duty", "sweep", "--keepers", k.addresses()[0], "--as", name, "--lease", "1s", "--every", "50ms", "--idle", "1s")
	if err := sweeper.Start(); err != nil {
		k.t.Fatal(err)
	}
	k.t.Cleanup(func() {
		_ = sweeper.Process.Kill() // one was
		_ = sweeper.Wait()
	})
	return sweeper
}

// awaitSweep waits until only the roles in use are left, and returns the name of the sweeper.
func (k *registryCluster) awaitSweep() (owner string) {
	k.t.Helper()
	eventually(k.t, "sweep", func() bool {
		update, err := k.client.Roles(k.callContext(), "")
		if err != nil {
			return false
		}
		names := ""
		for _, role := range update.Roles {
			names += role.Name + " "
			if role.Name == singleton.SweepRole && role.Owner != nil {
				owner = state.ProcessName(role.Owner.Process)
			}
		}
		return names == "sweep used " && owner != ""
	})
	return owner
}

// TestRoleHold has a command's exit code passed on, its environment set, one that TERM does not end killed, and bad calls refused.
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
	if _, err := cluster.client.ChangeRole(ctx, client.Campaign, "full", client.RoleCall{Process: "a#1", TTLMS: 300_000}); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		command string
		args    []string
		code    int
		errors  []string // one of them is printed
	}{
		{"release", []string{"d"}, exitFailure, []string{"nobody holds d"}},
		{"list", []string{"e"}, exitFailure, []string{"no duty"}},
		{"move", []string{"full", "z"}, exitFailure, []string{`"z" does not wait`}},
		{"hold", []string{"d", "--lease", "100ms", "--", "true"}, exitUsage, []string{"too short", "not within"}},
		{"hold", []string{"d", "--grace", "3s", "--", "true"}, exitUsage, []string{"--grace 3s"}},
		{"hold", []string{"d", "--", "no-such-program"}, exitUsage, []string{"executable file not found"}},
	} {
		t.Run(test.command+" "+strings.Join(test.args, " "), func(t *testing.T) {
			c := newCommand(t, append([]string{"duty", test.command, "--keepers", cluster.addresses()[0]}, test.args...)...)
			code := c.waitForExit(t)
			printed := slices.ContainsFunc(test.errors, func(text string) bool { return strings.Contains(c.err.String(), text) })
			if code != test.code || !printed {
				t.Errorf("exit %d, %s", code, &c.err)
			}
		})
	}
}
