package soak

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/lab/link"
	"gradeusher.example/gradeusher/internal/lab/testcluster"
)

// TestPlans: a seed gives one plan; every plan holds the incident, and faults end by themselves, overlap, and do not
// touch what another one touches.
func TestPlans(t *testing.T) {
	kinds, cutFrom := map[Kind]int{}, map[int]int{}
	for _, last := range []time.Duration{MinDuration, 30 * time.Second, MaxDuration} {
		full := 0
		for seed := range uint64(200) {
			scene := NewScenario(seed)
			p := Draw(seed, last, scene)
			if !reflect.DeepEqual(p, Draw(seed, last, NewScenario(seed))) {
				t.Fatalf("seed %d gives two plans", seed)
			}
			checkPlan(t, p, scene)
			if p.MaxConcurrent() == MaxConcurrentFaults {
				full++
			}
			for _, one := range p.Faults {
				kinds[one.Kind]++
				cutFrom[len(one.Servers)]++
			}
			if last == MaxDuration && seed > 20 {
				break
			}
		}
		if full == 0 {
			t.Errorf("no plan of %v has %d troubles at once", last, MaxConcurrentFaults)
		}
	}
	for n := 1; n <= maxPartitionedServers; n++ {
		if cutFrom[n] == 0 {
			t.Errorf("no proxy is ever cut from %d servers", n)
		}
	}
	for _, o := range kindWeights {
		if kinds[o.kind] == 0 {
			t.Errorf("%q never happens", o.kind)
		}
	}
}

// TestWakePlans: the proxy is paused before the evacuation begins, and goes on while the zone's servers are cold.
func TestWakePlans(t *testing.T) {
	for _, form := range []Waking{WakeOne, WakeCut, WakeTwo} {
		scene := NewWakeScenario(1)
		p, cut := Wake(1, form, scene), form == WakeCut
		at := map[Kind]Fault{}
		for _, one := range p.Faults {
			at[one.Kind] = one
			if one.end() > p.For {
				t.Errorf("%v ends too late", one)
			}
		}
		pause, evacuation := at[PauseProxy], at[EndEvacuationAlone]
		chilled := evacuation.Start + scene.Bounds.Evacuate
		if pause.Start >= evacuation.Start || pause.end() < chilled+ackedWithin || pause.end() > chilled+evacuation.WarmUpLead {
			t.Errorf("%v, with %v", pause, evacuation)
		}
		if wait := scene.Kinds[question].Deadline; wait <= pause.Length {
			t.Errorf("clients wait %v: %v", wait, pause)
		}
		if _, killed := at[KillProxy]; killed == (form == WakeTwo) || len(p.Faults) != map[Waking]int{WakeOne: 3, WakeCut: 4, WakeTwo: 3}[form] {
			t.Errorf("%s: %v", form, p.Faults)
		}
		if c, ok := at[PartitionProxy]; ok != cut || cut && (c.Target != pause.Target || c.Start > pause.end() || c.end() != pause.end()+cutAfter) {
			t.Errorf("cut: %v, %v", ok, c)
		}
		if n := scene.Servers[0].Engine.Slots; n != wakeSlots || NewScenario(1).Servers[0].Engine.Slots != slots {
			t.Errorf("%d slots", n)
		}
	}
}

const ackedWithin = 500 * time.Millisecond // an evacuation

func checkPlan(t *testing.T, p *Plan, scene *testcluster.Scenario) {
	t.Helper()
	d := &drawer{scene: scene}
	if p.Delay < 20*time.Millisecond || p.Delay > 55*time.Millisecond {
		t.Errorf("seed %d: %v between regions", p.Seed, p.Delay)
	}
	if !slices.ContainsFunc(p.Faults, func(one Fault) bool { return one.Kind == RestartZoneDuringEvacuation }) {
		t.Errorf("seed %d: the incident is missing", p.Seed)
	}
	for i, one := range p.Faults {
		if one.Start < warmUp || one.end() > p.For-calmPeriod || one.Length <= 0 || overlapping(p.Faults, one.Start) > MaxConcurrentFaults {
			t.Errorf("seed %d: %v", p.Seed, one)
		}
		for _, other := range p.Faults[i+1:] {
			if other.Start >= one.end()+minSeparation {
				continue
			}
			for _, c := range d.claims(one) {
				if slices.Contains(d.claims(other), c) {
					t.Errorf("seed %d: %v and %v touch %s", p.Seed, one, other, c)
				}
			}
		}
	}
}

// TestPathsAndStates: what a cut or slow link is laid on, and which way.
func TestPathsAndStates(t *testing.T) {
	const ip, server = "127.0.1.1", "127.0.2.1:0"
	m, other := testcluster.Machine{IP: ip}, testcluster.Machine{IP: "127.0.1.2"}
	proxy, keeper := testcluster.ProxyName(m), testcluster.ControlPlaneName(m)
	paths := []testcluster.Path{{From: proxy, To: testcluster.ControlPlaneName(other)}, {From: testcluster.ProxyName(other), To: proxy}, {From: keeper, To: testcluster.ListEnd},
		{From: keeper, To: testcluster.ControlPlaneName(other)}, {From: testcluster.ProxyName(other), To: keeper}, {From: testcluster.ControlPlaneName(other), To: testcluster.ListEnd},
		{To: server}, {To: "127.0.2.2:0"}, {From: proxy, To: server}, {From: proxy, To: "127.0.2.2:0"}, {From: testcluster.ProxyName(other), To: server}}
	for _, c := range []struct {
		kind          Kind
		target        string
		servers       []string
		calls, called []int // of paths
	}{
		{PartitionProxy, ip, nil, []int{0}, []int{1}}, {SlowProxy, ip, nil, []int{0}, []int{1}}, {PartitionControlPlane, ip, nil, []int{3}, []int{4}},
		{PartitionFromList, ip, nil, []int{2}, nil}, {PartitionAllFromList, "", nil, []int{2, 5}, nil}, {SlowLists, "", nil, []int{2, 5}, nil},
		{PartitionServer, server, nil, nil, []int{6, 8, 10}}, {PartitionFromServers, ip, []string{server}, []int{8}, nil},
		{PartitionFromServers, ip, []string{server, "127.0.2.2:0"}, []int{8, 9}, nil}, {PartitionFromServers, ip, nil, nil, nil},
	} {
		calls, called := Fault{Kind: c.kind, Target: c.target, Servers: c.servers}.matchPaths()
		var got, gotCalled []int
		for i, p := range paths {
			if calls(p) {
				got = append(got, i)
			}
			if called(p) {
				gotCalled = append(gotCalled, i)
			}
		}
		if !slices.Equal(got, c.calls) || !slices.Equal(gotCalled, c.called) {
			t.Errorf("%s: calls %v, called %v", c.kind, got, gotCalled)
		}
	}
	for _, c := range []struct {
		one     Fault
		out, in link.State
	}{
		{Fault{Kind: PartitionProxy}, link.State{Hold: [2]bool{true, true}}, link.State{Hold: [2]bool{true, true}}},
		{Fault{Kind: PartitionProxy, Direction: Outbound}, link.State{Hold: [2]bool{link.ToFar: true}}, link.State{Hold: [2]bool{link.ToNear: true}}},
		{Fault{Kind: PartitionProxy, Direction: Inbound}, link.State{Hold: [2]bool{link.ToNear: true}}, link.State{Hold: [2]bool{link.ToFar: true}}},
		{Fault{Kind: PartitionFromServers, Direction: Outbound}, link.State{Hold: [2]bool{link.ToFar: true}}, link.State{Hold: [2]bool{link.ToNear: true}}},
		{Fault{Kind: SlowProxy, Delay: 5, Jitter: 2}, link.State{Delay: 5, Jitter: 2}, link.State{Delay: 5, Jitter: 2}},
	} {
		if out, in := c.one.linkStates(); out != c.out || in != c.in {
			t.Errorf("%v: out %+v, in %+v", c.one, out, in)
		}
	}
}

func TestTroubleLine(t *testing.T) {
	one := Fault{Kind: RestartZoneDuringEvacuation, Target: "a", Other: "b", Start: time.Second, Length: 2 * time.Second, Down: time.Second}
	if got, want := one.String(), " 1.000 s to  3.000 s  cold return while the other zone is evacuated: a, evacuated: b, down 1s"; got != want {
		t.Errorf("%q, want %q", got, want)
	}
	one = Fault{Kind: PartitionFromServers, Target: "a", Servers: []string{"b", "c"}, Direction: Outbound, Length: time.Second}
	if got, want := one.String(), " 0.000 s to  1.000 s  cut proxy from servers a: b, c, outward only"; got != want {
		t.Errorf("%q, want %q", got, want)
	}
	one = Fault{Kind: PartitionProxy, Target: "a", Direction: Inbound, Length: time.Second}
	if got, want := one.String(), " 0.000 s to  1.000 s  cut proxy from keepers a, inward only"; got != want {
		t.Errorf("%q, want %q", got, want)
	}
}
