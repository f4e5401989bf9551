package soak

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/lab/link"
	"gradeusher.example/gradeusher/internal/lab/testcluster"
)

// TestPlans checks that a seed always gives the same plan, that each plan has the restart of a zone during an evacuation, and that faults overlap
// within their bounds and without a claim in common.
func TestPlans(t *testing.T) {
	counts := planCounts{kinds: map[Kind]int{}, partitioned: map[int]int{}}
	for _, last := range []time.Duration{MinDuration, 30 * time.Second, MaxDuration} {
		seeds := uint64(200)
		if last == MaxDuration {
			seeds = 22 // they are long
		}
		full := 0
		for seed := range seeds {
			scenario := NewScenario(seed)
			plan := Draw(seed, last, scenario)
			if !reflect.DeepEqual(plan, Draw(seed, last, NewScenario(seed))) {
				t.Fatalf("seed %d gives two plans", seed)
			}
			checkPlan(t, plan, scenario)
			if plan.MaxConcurrent() == MaxConcurrentFaults {
				full++
			}
			counts.add(plan)
		}
		if full == 0 {
			t.Errorf("no plan of %v has %d faults at once", last, MaxConcurrentFaults)
		}
	}
	counts.checkAllDrawn(t)
}

// planCounts counts the faults of plans by their kinds, and partitions of proxies by how many servers they concern.
type planCounts struct {
	kinds       map[Kind]int
	partitioned map[int]int
}

func (c *planCounts) add(plan *Plan) {
	for i := range plan.Faults {
		c.kinds[plan.Faults[i].Kind]++
		c.partitioned[len(plan.Faults[i].Servers)]++
	}
}

func (c *planCounts) checkAllDrawn(t *testing.T) {
	t.Helper()
	for n := 1; n <= maxPartitionedServers; n++ {
		if c.partitioned[n] == 0 {
			t.Errorf("no proxy is ever cut from %d servers", n)
		}
	}
	for _, o := range kindSpecs {
		if c.kinds[o.kind] == 0 {
			t.Errorf("%q never happens", o.kind)
		}
	}
}

// TestWakePlans checks that the proxy is paused before the evacuation begins, and continues while the zone's servers warm up.
func TestWakePlans(t *testing.T) {
	for form, faults := range map[Waking]int{WakeOne: 3, WakePartitioned: 4, WakeTwo: 3} {
		t.Run(string(form), func(t *testing.T) {
			scenario := NewWakeScenario(1)
			plan := Wake(1, form, scenario)
			byKind := map[Kind]Fault{}
			for _, fault := range plan.Faults {
				byKind[fault.Kind] = fault
				if fault.end() > plan.For {
					t.Errorf("%v ends too late", fault)
				}
			}
			if _, killed := byKind[KillProxy]; killed == (form == WakeTwo) || len(plan.Faults) != faults {
				t.Errorf("%v", plan.Faults)
			}
			checkWakeTimes(t, byKind, scenario)
			checkWakePartition(t, byKind, form == WakePartitioned)
			if n := scenario.Servers[0].Engine.Slots; n != wakeSlots || NewScenario(1).Servers[0].Engine.Slots != slots {
				t.Errorf("%d slots", n)
			}
		})
	}
}

func checkWakeTimes(t *testing.T, byKind map[Kind]Fault, scenario *testcluster.Scenario) {
	t.Helper()
	pause, evacuation := byKind[PauseProxy], byKind[EndEvacuationAlone]
	warmUpStart := evacuation.Start + scenario.Bounds.Evacuate
	if pause.Start >= evacuation.Start || pause.end() < warmUpStart+ackedWithin || pause.end() > warmUpStart+evacuation.WarmUpLead {
		t.Errorf("%v, with %v", pause, evacuation)
	}
	if wait := scenario.Kinds[questionRoute].Deadline; wait <= pause.Length {
		t.Errorf("clients wait %v: %v", wait, pause)
	}
}

func checkWakePartition(t *testing.T, byKind map[Kind]Fault, want bool) {
	t.Helper()
	pause := byKind[PauseProxy]
	partition, ok := byKind[PartitionProxy]
	if ok != want {
		t.Errorf("partition: %v, want %v", ok, want)
	}
	if ok && (partition.Target != pause.Target || partition.Start > pause.end() || partition.end() != pause.end()+partitionAfter) {
		t.Errorf("partition: %v", partition)
	}
}

const ackedWithin = 500 * time.Millisecond // an evacuation

func checkPlan(t *testing.T, plan *Plan, scene *testcluster.Scenario) {
	t.Helper()
	drawing := &drawer{scenario: scene}
	if plan.Delay < 20*time.Millisecond || plan.Delay > 55*time.Millisecond {
		t.Errorf("seed %d: %v between regions", plan.Seed, plan.Delay)
	}
	if !slices.ContainsFunc(plan.Faults, func(one Fault) bool { return one.Kind == RestartZoneDuringEvacuation }) {
		t.Errorf("seed %d: the incident is missing", plan.Seed)
	}
	for i, one := range plan.Faults {
		if one.Start < initialCalm || one.end() > plan.For-calmPeriod || one.Length <= 0 || overlapping(plan.Faults, one.Start) > MaxConcurrentFaults {
			t.Errorf("seed %d: %v", plan.Seed, one)
		}
		for _, other := range plan.Faults[i+1:] {
			if other.Start >= one.end()+minSeparation {
				continue
			}
			for _, c := range drawing.claims(one) {
				if slices.Contains(drawing.claims(other), c) {
					t.Errorf("seed %d: %v and %v touch %s", plan.Seed, one, other, c)
				}
			}
		}
	}
}

// TestPathsAndStates checks into which links partitions and delays are injected, and in which direction.
func TestPathsAndStates(t *testing.T) {
	const ip, server = "127.0.1.1", "127.0.2.1:0"
	m, other := testcluster.Machine{IP: ip}, testcluster.Machine{IP: "127.0.1.2"}
	proxy, keeper := testcluster.ProxyName(m), testcluster.ControlPlaneName(m)
	paths := []testcluster.Path{{From: proxy, To: testcluster.ControlPlaneName(other)}, {From: testcluster.ProxyName(other), To: proxy}, {From: keeper, To: testcluster.ListEnd},
		{From: keeper, To: testcluster.ControlPlaneName(other)}, {From: testcluster.ProxyName(other), To: keeper}, {From: testcluster.ControlPlaneName(other), To: testcluster.ListEnd},
		{To: server}, {To: "127.0.2.2:0"}, {From: proxy, To: server}, {From: proxy, To: "127.0.2.2:0"}, {From: testcluster.ProxyName(other), To: server}}
	for _, test := range []struct {
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
		calls, called := Fault{Kind: test.kind, Target: test.target, Servers: test.servers}.matchPaths()
		var got, gotCalled []int
		for i, p := range paths {
			if calls(p) {
				got = append(got, i)
			}
			if called(p) {
				gotCalled = append(gotCalled, i)
			}
		}
		if !slices.Equal(got, test.calls) || !slices.Equal(gotCalled, test.called) {
			t.Errorf("%s: calls %v, called %v", test.kind, got, gotCalled)
		}
	}
	for _, test := range []struct {
		one     Fault
		out, in link.State
	}{
		{Fault{Kind: PartitionProxy}, link.State{Hold: [2]bool{true, true}}, link.State{Hold: [2]bool{true, true}}},
		{Fault{Kind: PartitionProxy, Direction: Outbound}, link.State{Hold: [2]bool{link.ToFar: true}}, link.State{Hold: [2]bool{link.ToNear: true}}},
		{Fault{Kind: PartitionProxy, Direction: Inbound}, link.State{Hold: [2]bool{link.ToNear: true}}, link.State{Hold: [2]bool{link.ToFar: true}}},
		{Fault{Kind: PartitionFromServers, Direction: Outbound}, link.State{Hold: [2]bool{link.ToFar: true}}, link.State{Hold: [2]bool{link.ToNear: true}}},
		{Fault{Kind: SlowProxy, Delay: 5, Jitter: 2}, link.State{Delay: 5, Jitter: 2}, link.State{Delay: 5, Jitter: 2}},
	} {
		if out, in := test.one.linkStates(); out != test.out || in != test.in {
			t.Errorf("%v: out %+v, in %+v", test.one, out, in)
		}
	}
}

func TestFaultString(t *testing.T) {
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

// TestDrainClaimsItsServer checks that a server which is drained, stopped and started is not one of a zone whose servers stop and start meanwhile,
// while its links may be slow or partitioned.
func TestDrainClaimsItsServer(t *testing.T) {
	drawing := &drawer{scenario: NewScenario(1)}
	server := drawing.scenario.Servers[0]
	drain := Fault{Kind: DrainServer, Target: server.Address}
	for _, beside := range []struct {
		other    Fault
		excluded bool
	}{
		{Fault{Kind: RestartZone, Target: server.Zone}, true},
		{Fault{Kind: RestartZone, Target: otherZone(drawing.scenario, server.Zone)}, false},
		{Fault{Kind: EvacuateZone, Target: server.Zone}, true},
		{Fault{Kind: EndEvacuationAlone, Target: otherZone(drawing.scenario, server.Zone), Other: server.Zone}, true},
		{Fault{Kind: DrainServer, Target: server.Address}, true},
		{Fault{Kind: DrainServer, Target: drawing.scenario.Servers[1].Address}, false},
		{Fault{Kind: PartitionServer, Target: server.Address}, true},
	} {
		if got := drawing.haveClaimInCommon(drain, beside.other); got != beside.excluded {
			t.Errorf("%v beside %v: excluded %v, want %v", drain, beside.other, got, beside.excluded)
		}
	}
	if drawing.haveClaimInCommon(Fault{Kind: SlowServer, Target: server.Address}, Fault{Kind: RestartZone, Target: server.Zone}) {
		t.Error("links of a server may not be slow while its zone restarts")
	}
}

// otherZone returns a zone with servers that is not the given one.
func otherZone(scenario *testcluster.Scenario, zone string) string {
	for _, s := range scenario.Servers {
		if s.Zone != zone {
			return s.Zone
		}
	}
	return ""
}
