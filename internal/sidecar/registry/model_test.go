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
	margin, fence, office, over bool
	bounded                     bool // effects land within the time that the margin has for them, and clocks keep to theirs
}

// modelProcess is a holder with its clock, the renewal that it has on its way, and effects that have not landed yet.
type modelProcess struct {
	who     string
	rate    float64 // of its clock, beside the leader's
	h       *singleton.Leases
	sent    time.Duration
	on      int // 0: no renewal is on its way; 1: to the leader; 2: back
	answer  []client.HeldDuty
	effects []modelEffect
}

type modelEffect struct {
	epoch int64
	born  time.Duration
}

// modelWorld is holders, keepers, the network between them and what is acted on, with one real clock.
type modelWorld struct {
	t       *rapid.T
	with    protections
	now     time.Duration
	m       *state.Machine
	l       *tenures
	late    []state.RoleCall // ends on their way to the log
	all     []*modelProcess
	fence   singleton.Fence
	highest int64 // epoch that was acted under
}

const (
	modelLease   = 1000 * time.Millisecond
	modelLanding = 100 * time.Millisecond
)

func (w *modelWorld) at() time.Time { return time.Unix(1000, 0).Add(w.now) }
func (w *modelWorld) clock(p *modelProcess) time.Duration {
	return time.Duration(float64(w.now) * p.rate)
}
func (w *modelWorld) do(op state.Op, c state.RoleCall) state.Result {
	c.NowMS = w.now.Milliseconds()
	return w.m.Apply(state.Command{Op: op, Role: &c})
}

// pass lets time go by; effects land on the way that must.
func (w *modelWorld) pass(d time.Duration) {
	end := w.now + d
	for w.with.bounded {
		var first *modelProcess
		for _, p := range w.all {
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
func (w *modelWorld) land(p *modelProcess) {
	e := p.effects[0]
	p.effects = p.effects[1:]
	d, _ := w.m.Role("d")
	if w.with.bounded && e.epoch != d.Epoch {
		w.t.Fatalf("two may act: an effect of %s under epoch %d while the duty is given under %d", p.who, e.epoch, d.Epoch)
	}
	act := func() error {
		if e.epoch < w.highest {
			w.t.Fatalf("a stale effect of %s under epoch %d is accepted after one under %d", p.who, e.epoch, w.highest)
		}
		w.highest = e.epoch
		return nil
	}
	if w.with.fence {
		_ = w.fence.Through(e.epoch, act) // refused
	} else {
		_ = act()
	}
}

func (w *modelWorld) step() {
	t := w.t
	p := rapid.SampledFrom(w.all).Draw(t, "process")
	switch rapid.SampledFrom([]string{"none", "pass", "renew", "act", "tick", "pass", "renew", "act", "tick", "send", "reach", "answer", "lose", "land", "late tick", "apply",
		"elect", "campaign", "release"}).Draw(t, "step") {
	case "renew":
		if p.on == 0 {
			w.send(p)
			w.reach(p)
			w.answer(p)
		}
	case "pass":
		w.pass(rapid.SampledFrom([]time.Duration{1, 50, 99, 400, 890, 1001}).Draw(t, "ms") * time.Millisecond)
	case "send":
		if p.on == 0 {
			w.send(p)
		}
	case "reach":
		if p.on == 1 {
			w.reach(p)
		}
	case "answer":
		if p.on == 2 {
			w.answer(p)
		}
	case "lose":
		p.on = 0
	case "act":
		d, _ := w.m.Role("d")
		for e := max(1, d.Epoch-3); e <= d.Epoch; e++ {
			if o, ok := p.h.Lease(w.clock(p), "d", e); ok {
				p.effects = append(p.effects, modelEffect{o.Epoch, w.now})
			}
		}
	case "land":
		if len(p.effects) > 0 {
			w.land(p)
		}
	case "tick":
		w.do(state.EndRoleLeases, w.look())
	case "late tick":
		w.late = append(w.late, w.look())
	case "apply":
		if len(w.late) > 0 {
			w.end()
		}
	case "elect":
		for range rapid.IntRange(0, len(w.late)).Draw(t, "in the log before") {
			w.end()
		}
		w.l = &tenures{}
		w.l.take(w.at(), w.do(state.StartLeaseTerm, state.RoleCall{}).Revision)
	case "campaign":
		w.do(state.Campaign, state.RoleCall{Name: "d", Process: p.who, TTLMS: modelLease.Milliseconds()})
	case "release":
		if d, _ := w.m.Role("d"); d.IsOwner(p.who) && len(p.effects) == 0 {
			p.h.Release("d", d.Epoch)
			w.do(state.Release, state.RoleCall{Name: "d", Process: p.who, Epoch: d.Epoch, Rejoin: true})
		}
	}
}

func (w *modelWorld) send(p *modelProcess) { p.sent, p.on = w.clock(p), 1 }

func (w *modelWorld) reach(p *modelProcess) {
	all := w.m.RolesOf(p.who)
	renewed, _ := w.l.renew(w.at(), p.who, all)
	p.on, p.answer = 2, nil
	for i, d := range all {
		if d.IsOwner(p.who) {
			p.answer = append(p.answer, client.HeldDuty{Name: "d", Epoch: d.Epoch, TTLMS: d.Owner.TTLMS, Renewed: renewed[i]})
		}
	}
}

func (w *modelWorld) answer(p *modelProcess) {
	p.on = 0
	p.h.Renewed(p.sent, w.clock(p), p.answer)
}

func (w *modelWorld) look() state.RoleCall {
	c := w.l.look(w.at(), w.m)
	c.TimedOut = nil // it is about holders
	if !w.with.over {
		for name, t := range w.l.terms {
			t.over = false
			w.l.terms[name] = t
		}
	}
	return c
}

// end applies the end that was decided first.
func (w *modelWorld) end() {
	c := w.late[0]
	w.late = w.late[1:]
	if !w.with.office {
		c.LeaseTerm = w.m.LeaseTerm()
	}
	w.do(state.EndRoleLeases, c)
}

func model(with protections) func(*rapid.T) {
	return func(t *rapid.T) {
		w := &modelWorld{t: t, with: with, m: state.New(), l: &tenures{}}
		w.l.take(w.at(), 0)
		margin := state.RoleLeaseMargin
		if !with.margin {
			margin = func(time.Duration) time.Duration { return 0 }
		}
		for i, rate := range []float64{rapid.SampledFrom([]float64{0.9901, 1, 1.0099}).Draw(t, "rate"), 1} {
			p := &modelProcess{who: fmt.Sprintf("p%d#1", i), rate: rate, h: singleton.NewLeases(margin)}
			w.all = append(w.all, p)
			w.do(state.Campaign, state.RoleCall{Name: "d", Process: p.who, TTLMS: modelLease.Milliseconds()})
		}
		for range 60 {
			w.step()
		}
	}
}

// TestDutyModel draws interleavings of holders, keepers, network and clocks. No two may act as long as effects and clocks keep to their
// bounds; what is acted on takes nothing stale in any case.
func TestDutyModel(t *testing.T) {
	t.Run("bounded", func(t *testing.T) { rapid.Check(t, model(protections{true, true, true, true, true})) })
	t.Run("stopped at will", func(t *testing.T) { rapid.Check(t, model(protections{true, true, true, true, false})) })
}

// failing is a test that is to fail.
type failing struct {
	*testing.T
	said   strings.Builder
	failed bool
}

func (f *failing) Logf(form string, args ...any)   { fmt.Fprintf(&f.said, form+"\n", args...) }
func (f *failing) Log(args ...any)                 { fmt.Fprintln(&f.said, args...) }
func (f *failing) Errorf(form string, args ...any) { f.Logf(form, args...); f.failed = true }
func (f *failing) Error(args ...any)               { f.Log(args...); f.failed = true }
func (f *failing) Fatalf(form string, args ...any) { f.Errorf(form, args...); runtime.Goexit() }
func (f *failing) Fatal(args ...any)               { f.Error(args...); runtime.Goexit() }
func (f *failing) Fail()                           { f.failed = true }
func (f *failing) FailNow()                        { f.failed = true; runtime.Goexit() }
func (f *failing) Failed() bool                    { return f.failed }

// TestDutyModelCanFail takes out each protection: the model finds what it is there for, in few steps.
func TestDutyModelCanFail(t *testing.T) {
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
		f := &failing{T: t}
		done := make(chan struct{})
		go func() {
			defer close(done)
			rapid.Check(f, model(with))
		}()
		<-done
		_, what, _ := strings.Cut(want, ": ")
		steps := slices.DeleteFunc(strings.Split(f.said.String(), "\n"), func(l string) bool { return !strings.Contains(l, "draw step:") || strings.Contains(l, "none") })
		if !f.failed || !strings.Contains(f.said.String(), what) || len(steps) > 25 {
			t.Errorf("without %s: failed %v, in %d steps:\n%s", want, f.failed, len(steps), f.said.String())
		}
		t.Logf("without %s, in %d steps: %s", want, len(steps), strings.Join(steps, " "))
	}
}
