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

// protections are what the model can go without. What is left on must hold; what is off must be seen to fail.
type protections struct {
	margin, fence, term, ended bool
	bounded                    bool // effects land within the time that the margin has for them, and clocks keep to theirs
}

// modelProcess is a holder with its clock, the renewal that it has on its way, and effects that have not landed yet.
type modelProcess struct {
	name    string
	rate    float64 // of its clock, beside the leader's
	leases  *singleton.Leases
	sent    time.Duration
	stage   int // 0: no renewal is on its way; 1: to the leader; 2: back
	answer  []client.OwnedRole
	effects []modelEffect
}

type modelEffect struct {
	epoch int64
	born  time.Duration
}

// modelCluster is holders, keepers, the network between them and what is acted on, with one real clock.
type modelCluster struct {
	t            *rapid.T
	protections  protections
	now          time.Duration
	machine      *state.Machine
	lessor       *roleLessor
	delayedEnds  []state.RoleCall // ends on their way to the log
	processes    []*modelProcess
	fence        singleton.Fence
	highestEpoch int64 // epoch that was acted under
}

const (
	modelLease   = 1000 * time.Millisecond
	modelLanding = 100 * time.Millisecond
)

func (w *modelCluster) leaderTime() time.Time { return time.Unix(1000, 0).Add(w.now) }
func (w *modelCluster) clock(p *modelProcess) time.Duration {
	return time.Duration(float64(w.now) * p.rate)
}
func (w *modelCluster) apply(op state.Op, c state.RoleCall) state.Result {
	c.NowMS = w.now.Milliseconds()
	return w.machine.Apply(state.Command{Op: op, Role: &c})
}

// advance lets time go by; effects land on the way that must.
func (w *modelCluster) advance(d time.Duration) {
	end := w.now + d
	for w.protections.bounded {
		var first *modelProcess
		for _, p := range w.processes {
			if len(p.effects) > 0 && p.effects[0].born+modelLanding <= end && (first == nil || p.effects[0].born < first.effects[0].born) {
				first = p
			}
		}
		if first == nil {
			break
		}
		w.now = max(w.now, first.effects[0].born+modelLanding)
		w.land(first)
	}
	w.now = end
}

// land has the oldest effect of a process reach what it acts on.
func (w *modelCluster) land(p *modelProcess) {
	e := p.effects[0]
	p.effects = p.effects[1:]
	d, _ := w.machine.Role("d")
	if w.protections.bounded && e.epoch != d.Epoch {
		w.t.Fatalf("two may act: an effect of %s under epoch %d while the duty is given under %d", p.name, e.epoch, d.Epoch)
	}
	act := func() error {
		if e.epoch < w.highestEpoch {
			w.t.Fatalf("a stale effect of %s under epoch %d is accepted after one under %d", p.name, e.epoch, w.highestEpoch)
		}
		w.highestEpoch = e.epoch
		return nil
	}
	if w.protections.fence {
		_ = w.fence.Do(e.epoch, act) // refused
	} else {
		_ = act()
	}
}

func (w *modelCluster) step() {
	t := w.t
	p := rapid.SampledFrom(w.processes).Draw(t, "process")
	switch rapid.SampledFrom([]string{"none", "pass", "renew", "act", "tick", "pass", "renew", "act", "tick", "send", "reach", "answer", "lose", "land", "late tick", "apply",
		"elect", "campaign", "release"}).Draw(t, "step") {
	case "renew":
		if p.stage == 0 {
			w.send(p)
			w.reach(p)
			w.answer(p)
		}
	case "pass":
		w.advance(rapid.SampledFrom([]time.Duration{1, 50, 99, 400, 890, 1001}).Draw(t, "ms") * time.Millisecond)
	case "send":
		if p.stage == 0 {
			w.send(p)
		}
	case "reach":
		if p.stage == 1 {
			w.reach(p)
		}
	case "answer":
		if p.stage == 2 {
			w.answer(p)
		}
	case "lose":
		p.stage = 0
	case "act":
		d, _ := w.machine.Role("d")
		for e := max(1, d.Epoch-3); e <= d.Epoch; e++ {
			if o, ok := p.leases.Lease(w.clock(p), "d", e); ok {
				p.effects = append(p.effects, modelEffect{o.Epoch, w.now})
			}
		}
	case "land":
		if len(p.effects) > 0 {
			w.land(p)
		}
	case "tick":
		w.apply(state.EndRoleLeases, w.evaluate())
	case "late tick":
		w.delayedEnds = append(w.delayedEnds, w.evaluate())
	case "apply":
		if len(w.delayedEnds) > 0 {
			w.applyDelayedEnd()
		}
	case "elect":
		for range rapid.IntRange(0, len(w.delayedEnds)).Draw(t, "in the log before") {
			w.applyDelayedEnd()
		}
		w.lessor = &roleLessor{}
		w.lessor.start(w.apply(state.StartLeaseTerm, state.RoleCall{}).Revision)
	case "campaign":
		w.apply(state.Campaign, state.RoleCall{Name: "d", Process: p.name, TTLMS: modelLease.Milliseconds()})
	case "release":
		if d, _ := w.machine.Role("d"); d.IsOwner(p.name) && len(p.effects) == 0 {
			p.leases.Release("d", d.Epoch)
			w.apply(state.Release, state.RoleCall{Name: "d", Process: p.name, Epoch: d.Epoch, Rejoin: true})
		}
	}
}

func (w *modelCluster) send(p *modelProcess) { p.sent, p.stage = w.clock(p), 1 }

func (w *modelCluster) reach(p *modelProcess) {
	all := w.machine.RolesOf(p.name)
	renewed, _ := w.lessor.renew(w.leaderTime(), p.name, all)
	p.stage, p.answer = 2, nil
	for i, d := range all {
		if d.IsOwner(p.name) {
			p.answer = append(p.answer, client.OwnedRole{Name: "d", Epoch: d.Epoch, TTLMS: d.Owner.TTLMS, Renewed: renewed[i]})
		}
	}
}

func (w *modelCluster) answer(p *modelProcess) {
	p.stage = 0
	p.leases.Renewed(p.sent, w.clock(p), p.answer)
}

func (w *modelCluster) evaluate() state.RoleCall {
	c := w.lessor.evaluate(w.leaderTime(), w.machine)
	c.TimedOut = nil // it is about holders
	if !w.protections.ended {
		for name, t := range w.lessor.leases {
			t.ended = false
			w.lessor.leases[name] = t
		}
	}
	return c
}

// applyDelayedEnd applies the applyDelayedEnd that was decided first.
func (w *modelCluster) applyDelayedEnd() {
	c := w.delayedEnds[0]
	w.delayedEnds = w.delayedEnds[1:]
	if !w.protections.term {
		c.LeaseTerm = w.machine.LeaseTerm()
	}
	w.apply(state.EndRoleLeases, c)
}

func model(with protections) func(*rapid.T) {
	return func(t *rapid.T) {
		w := &modelCluster{t: t, protections: with, machine: state.New(), lessor: &roleLessor{}}
		w.lessor.start(0)
		margin := state.RoleLeaseMargin
		if !with.margin {
			margin = func(time.Duration) time.Duration { return 0 }
		}
		for i, rate := range []float64{rapid.SampledFrom([]float64{0.9901, 1, 1.0099}).Draw(t, "rate"), 1} {
			p := &modelProcess{name: fmt.Sprintf("p%d#1", i), rate: rate, leases: singleton.NewLeases(margin)}
			w.processes = append(w.processes, p)
			w.apply(state.Campaign, state.RoleCall{Name: "d", Process: p.name, TTLMS: modelLease.Milliseconds()})
		}
		for range 60 {
			w.step()
		}
	}
}

// TestRoleModel draws interleavings of holders, keepers, network and clocks. No two may act as long as effects and clocks keep to their
// bounds; what is acted on takes nothing stale in any case.
func TestRoleModel(t *testing.T) {
	t.Run("bounded", func(t *testing.T) { rapid.Check(t, model(protections{true, true, true, true, true})) })
	t.Run("stopped at will", func(t *testing.T) { rapid.Check(t, model(protections{true, true, true, true, false})) })
}

// failingTB is a test that is to fail.
type failingTB struct {
	*testing.T
	output strings.Builder
	failed bool
}

func (f *failingTB) Logf(form string, args ...any)   { fmt.Fprintf(&f.output, form+"\n", args...) }
func (f *failingTB) Log(args ...any)                 { fmt.Fprintln(&f.output, args...) }
func (f *failingTB) Errorf(form string, args ...any) { f.Logf(form, args...); f.failed = true }
func (f *failingTB) Error(args ...any)               { f.Log(args...); f.failed = true }
func (f *failingTB) Fatalf(form string, args ...any) { f.Errorf(form, args...); runtime.Goexit() }
func (f *failingTB) Fatal(args ...any)               { f.Error(args...); runtime.Goexit() }
func (f *failingTB) Fail()                           { f.failed = true }
func (f *failingTB) FailNow()                        { f.failed = true; runtime.Goexit() }
func (f *failingTB) Failed() bool                    { return f.failed }

// TestRoleModelFindsFaults takes out each protection: the model finds what it is there for, in few steps.
func TestRoleModelFindsFaults(t *testing.T) {
	for name, value := range map[string]string{"rapid.nofailfile": "true", "rapid.seed": "1", "rapid.checks": "20000"} {
		was := flag.Lookup(name).Value.String()
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = flag.Set(name, was) }) // it was its value
	}
	for want, with := range map[string]protections{
		"margin: two may act": {false, true, true, true, true}, "fence: a stale effect": {true, false, true, true, false},
		"office: two may act": {true, true, false, true, true}, "over: two may act": {true, true, true, false, true},
	} {
		f := &failingTB{T: t}
		done := make(chan struct{})
		go func() {
			defer close(done)
			rapid.Check(f, model(with))
		}()
		<-done
		_, what, _ := strings.Cut(want, ": ")
		steps := slices.DeleteFunc(strings.Split(f.output.String(), "\n"), func(l string) bool { return !strings.Contains(l, "draw step:") || strings.Contains(l, "none") })
		if !f.failed || !strings.Contains(f.output.String(), what) || len(steps) > 25 {
			t.Errorf("without %s: failed %v, in %d steps:\n%s", want, f.failed, len(steps), f.output.String())
		}
		t.Logf("without %s, in %d steps: %s", want, len(steps), strings.Join(steps, " "))
	}
}
