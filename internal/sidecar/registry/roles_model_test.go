package registry

import (
	"flag"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/singleton"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// protections are what the model can go without. What is left on must suffice; what is off must be seen to fail.
type protections struct {
	margin, fence, term, ended bool
	bounded                    bool // effects land within the time that the margin has for them, and clocks drift no more than it covers
}

// modelStage is where the renewal of a process is.
type modelStage int

const (
	renewalIdle     modelStage = iota
	renewalSent                // on its way to the leader
	renewalAnswered            // on its way back
)

// modelProcess is a candidate or owner with its clock, its renewal, and effects that have not landed yet.
type modelProcess struct {
	name    string
	rate    float64 // of its clock, compared with the leader's
	leases  *singleton.Leases
	sent    time.Duration
	stage   modelStage
	answer  []client.OwnedRole
	effects []modelEffect
}

type modelEffect struct {
	epoch int64
	born  time.Duration
}

// modelCluster is processes, the leader, the network between them and the resource that the role d acts on, with one real clock.
type modelCluster struct {
	t            *rapid.T
	protections  protections
	now          time.Duration
	machine      *state.Machine
	lessor       *roleLessor
	delayedEnds  []state.RoleCall // ends on their way to the log
	processes    []*modelProcess
	fence        singleton.Fence
	highestEpoch int64 // under which the resource was acted on
}

const (
	modelLease   = 1000 * time.Millisecond
	modelLanding = 100 * time.Millisecond
	modelSteps   = 60
)

func newModelCluster(t *rapid.T, with protections) *modelCluster {
	cluster := &modelCluster{t: t, protections: with, machine: state.New(), lessor: &roleLessor{}}
	cluster.lessor.start(0)
	margin := state.RoleLeaseMargin
	if !with.margin {
		margin = func(time.Duration) time.Duration { return 0 }
	}
	drift := rapid.SampledFrom([]float64{0.9901, 1, 1.0099}).Draw(t, "rate")
	for i, rate := range []float64{drift, 1} {
		process := &modelProcess{name: fmt.Sprintf("p%d#1", i), rate: rate, leases: singleton.NewLeases(margin)}
		cluster.processes = append(cluster.processes, process)
		cluster.campaign(process)
	}
	return cluster
}

func (mc *modelCluster) leaderTime() time.Time { return time.Unix(1000, 0).Add(mc.now) }

func (mc *modelCluster) clock(p *modelProcess) time.Duration {
	return time.Duration(float64(mc.now) * p.rate)
}

func (mc *modelCluster) apply(op state.Op, call state.RoleCall) state.Result {
	call.NowMS = mc.now.Milliseconds()
	return mc.machine.Apply(state.Command{Op: op, Role: &call})
}

// advance lets time pass. Where effects are bounded, those that are due land on the way.
func (mc *modelCluster) advance(d time.Duration) {
	end := mc.now + d
	for mc.protections.bounded {
		first := mc.firstDue(end)
		if first == nil {
			break
		}
		mc.now = max(mc.now, first.effects[0].born+modelLanding)
		mc.land(first)
	}
	mc.now = end
}

// firstDue returns the process whose effect has to land first of those that have to land by a time, or nil.
func (mc *modelCluster) firstDue(end time.Duration) *modelProcess {
	var first *modelProcess
	for _, process := range mc.processes {
		if len(process.effects) == 0 || process.effects[0].born+modelLanding > end {
			continue
		}
		if first == nil || process.effects[0].born < first.effects[0].born {
			first = process
		}
	}
	return first
}

// land has the oldest effect of a process reach the resource.
func (mc *modelCluster) land(p *modelProcess) {
	if len(p.effects) == 0 {
		return
	}
	effect := p.effects[0]
	p.effects = p.effects[1:]
	role, _ := mc.machine.Role("d")
	if mc.protections.bounded && effect.epoch != role.Epoch {
		mc.t.Fatalf("two may act: an effect of %s under epoch %d while the role is granted under %d", p.name, effect.epoch, role.Epoch)
	}
	act := func() error {
		if effect.epoch < mc.highestEpoch {
			mc.t.Fatalf("a stale effect of %s under epoch %d is accepted after one under %d", p.name, effect.epoch, mc.highestEpoch)
		}
		mc.highestEpoch = effect.epoch
		return nil
	}
	if mc.protections.fence {
		_ = mc.fence.Do(effect.epoch, act) // refused where it is stale
	} else {
		_ = act()
	}
}

// step draws a process and what happens.
func (mc *modelCluster) step() {
	steps := map[string]func(*modelProcess){
		"none":      func(*modelProcess) {},
		"pass":      mc.pass,
		"renew":     mc.renew,
		"send":      mc.send,
		"reach":     mc.reach,
		"answer":    mc.receiveAnswer,
		"lose":      func(p *modelProcess) { p.stage = renewalIdle },
		"act":       mc.act,
		"land":      mc.land,
		"tick":      func(*modelProcess) { mc.apply(state.EndRoleLeases, mc.evaluate()) },
		"late tick": func(*modelProcess) { mc.delayedEnds = append(mc.delayedEnds, mc.evaluate()) },
		"apply":     func(*modelProcess) { mc.applyDelayedEnd() },
		"elect":     func(*modelProcess) { mc.elect() },
		"campaign":  mc.campaign,
		"release":   mc.release,
	}
	process := rapid.SampledFrom(mc.processes).Draw(mc.t, "process")
	name := rapid.SampledFrom([]string{"none", "pass", "renew", "act", "tick", "pass", "renew", "act", "tick", "send", "reach", "answer", "lose", "land", "late tick", "apply",
		"elect", "campaign", "release"}).Draw(mc.t, "step")
	steps[name](process)
}

func (mc *modelCluster) pass(*modelProcess) {
	mc.advance(rapid.SampledFrom([]time.Duration{1, 50, 99, 400, 890, 1001}).Draw(mc.t, "ms") * time.Millisecond)
}

// renew is a renewal without delay.
func (mc *modelCluster) renew(p *modelProcess) {
	if p.stage == renewalIdle {
		mc.send(p)
		mc.reach(p)
		mc.receiveAnswer(p)
	}
}

func (mc *modelCluster) send(p *modelProcess) {
	if p.stage == renewalIdle {
		p.sent, p.stage = mc.clock(p), renewalSent
	}
}

// reach has a renewal reach the leader.
func (mc *modelCluster) reach(p *modelProcess) {
	if p.stage != renewalSent {
		return
	}
	roles := mc.machine.RolesOf(p.name)
	renewed, _ := mc.lessor.renew(mc.leaderTime(), p.name, roles)
	p.stage, p.answer = renewalAnswered, nil
	for i, role := range roles {
		if role.IsOwner(p.name) {
			p.answer = append(p.answer, client.OwnedRole{Name: "d", Epoch: role.Epoch, TTLMS: role.Owner.TTLMS, Renewed: renewed[i]})
		}
	}
}

func (mc *modelCluster) receiveAnswer(p *modelProcess) {
	if p.stage == renewalAnswered {
		p.stage = renewalIdle
		p.leases.ApplyRenewal(p.sent, mc.clock(p), p.answer)
	}
}

// act begins an effect under each of the latest epochs under which the process may act.
func (mc *modelCluster) act(p *modelProcess) {
	role, _ := mc.machine.Role("d")
	for epoch := max(1, role.Epoch-3); epoch <= role.Epoch; epoch++ {
		if lease, ok := p.leases.Lease(mc.clock(p), "d", epoch); ok {
			p.effects = append(p.effects, modelEffect{lease.Epoch, mc.now})
		}
	}
}

// evaluate returns the ends that the lessor decides. Candidates do not time out, since the model is about owners.
func (mc *modelCluster) evaluate() state.RoleCall {
	call := mc.lessor.evaluate(mc.leaderTime(), mc.machine)
	call.TimedOut = nil
	if !mc.protections.ended {
		for name, lease := range mc.lessor.leases {
			lease.ended = false
			mc.lessor.leases[name] = lease
		}
	}
	return call
}

// applyDelayedEnd applies the end that was decided first of those on their way to the log.
func (mc *modelCluster) applyDelayedEnd() {
	if len(mc.delayedEnds) == 0 {
		return
	}
	call := mc.delayedEnds[0]
	mc.delayedEnds = mc.delayedEnds[1:]
	if !mc.protections.term {
		call.LeaseTerm = mc.machine.LeaseTerm()
	}
	mc.apply(state.EndRoleLeases, call)
}

// elect makes another leader, before whose term some of the delayed ends come in the log.
func (mc *modelCluster) elect() {
	for range rapid.IntRange(0, len(mc.delayedEnds)).Draw(mc.t, "in the log before") {
		mc.applyDelayedEnd()
	}
	mc.lessor = &roleLessor{}
	mc.lessor.start(mc.apply(state.StartLeaseTerm, state.RoleCall{}).Revision)
}

func (mc *modelCluster) campaign(p *modelProcess) {
	mc.apply(state.Campaign, state.RoleCall{Name: "d", Process: p.name, TTLMS: modelLease.Milliseconds()})
}

func (mc *modelCluster) release(p *modelProcess) {
	role, _ := mc.machine.Role("d")
	if role.IsOwner(p.name) && len(p.effects) == 0 {
		p.leases.End("d", role.Epoch)
		mc.apply(state.Release, state.RoleCall{Name: "d", Process: p.name, Epoch: role.Epoch, Rejoin: true})
	}
}

func checkModel(with protections) func(*rapid.T) {
	return func(t *rapid.T) {
		cluster := newModelCluster(t, with)
		for range modelSteps {
			cluster.step()
		}
	}
}

// TestRoleModel draws interleavings of owners, leaders, network and clocks. No two processes may act at the same time as long as effects and clocks
// keep to their bounds; the resource accepts nothing stale in any case.
func TestRoleModel(t *testing.T) {
	t.Run("bounded", func(t *testing.T) { rapid.Check(t, checkModel(protections{true, true, true, true, true})) })
	t.Run("paused at will", func(t *testing.T) { rapid.Check(t, checkModel(protections{true, true, true, true, false})) })
}

// failingTB is a test that is to fail.
type failingTB struct {
	*testing.T
	output strings.Builder
	failed bool
}

func (f *failingTB) Logf(form string, args ...any)   { _, _ = fmt.Fprintf(&f.output, form+"\n", args...) }
func (f *failingTB) Log(args ...any)                 { _, _ = fmt.Fprintln(&f.output, args...) }
func (f *failingTB) Errorf(form string, args ...any) { f.Logf(form, args...); f.failed = true }
func (f *failingTB) Error(args ...any)               { f.Log(args...); f.failed = true }
func (f *failingTB) Fatalf(form string, args ...any) { f.Errorf(form, args...); runtime.Goexit() }
func (f *failingTB) Fatal(args ...any)               { f.Error(args...); runtime.Goexit() }
func (f *failingTB) Fail()                           { f.failed = true }
func (f *failingTB) FailNow()                        { f.failed = true; runtime.Goexit() }
func (f *failingTB) Failed() bool                    { return f.failed }

// TestRoleModelFindsFaults takes out each protection: the model finds the fault that it prevents, in few steps.
func TestRoleModelFindsFaults(t *testing.T) {
	for name, value := range map[string]string{"rapid.nofailfile": "true", "rapid.seed": "1", "rapid.checks": "20000"} {
		before := flag.Lookup(name).Value.String()
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = flag.Set(name, before) }) // which was valid
	}
	for name, test := range map[string]struct {
		fault string
		with  protections
	}{
		"margin":                {"two may act", protections{false, true, true, true, true}},
		"fence":                 {"a stale effect", protections{true, false, true, true, false}},
		"number of the term":    {"two may act", protections{true, true, false, true, true}},
		"mark of a decided end": {"two may act", protections{true, true, true, false, true}},
	} {
		t.Run(name, func(t *testing.T) {
			output, failed := runFailing(t, checkModel(test.with))
			steps := slices.DeleteFunc(strings.Split(output, "\n"), func(line string) bool {
				return !strings.Contains(line, "draw step:") || strings.Contains(line, "none")
			})
			if !failed || !strings.Contains(output, test.fault) || len(steps) > 25 {
				t.Errorf("failed %v, in %d steps:\n%s", failed, len(steps), output)
			}
			t.Logf("in %d steps: %s", len(steps), strings.Join(steps, " "))
		})
	}
}

// runFailing checks a property that is to fail, and returns what the check wrote and whether it failed.
func runFailing(t *testing.T, property func(*rapid.T)) (output string, failed bool) {
	t.Helper()
	tb := &failingTB{T: t}
	done := make(chan struct{})
	go func() { // a failure ends the goroutine
		defer close(done)
		rapid.Check(tb, property)
	}()
	<-done
	return tb.output.String(), tb.failed
}
