package soak

import (
	"time"

	"gradeusher.example/gradeusher/internal/lab/testcluster"
)

// Times of the plans of Wake.
const (
	wakeFor     = 18 * time.Second
	peerKilled  = time.Second // so that clients of the other proxy of the region turn to the one that is paused next
	peerDown    = 9 * time.Second
	pausedAt    = 1500 * time.Millisecond
	evacuatedAt = pausedAt + 200*time.Millisecond // so that the paused proxy does not know of the evacuation
	// pausedFor ends when the servers of the evacuated zone have just begun to warm up under the ids that the paused proxy knows, while the
	// servers of the region's other zone are down: the evacuation is acknowledged within half a second, and Bounds.Evacuate after that the
	// servers begin to warm up.
	pausedFor       = 6100 * time.Millisecond
	wakeWarmUpLead  = 2 * time.Second
	partitionBefore = 500 * time.Millisecond // before the proxy continues
	partitionAfter  = 2 * time.Second        // after that
)

// Settings of the deployment in which the plans of Wake are played.
const (
	wakeDeadline = 10 * time.Second // of the most frequent kind of request, longer than the pause
	wakeGapMS    = 1200             // latency target of that kind between events; clients wait eight times as long for a stream to begin
	wakeSlots    = 64               // more requests than a server that warms up may get in a second, so that slots do not hide an overload
)

// NewWakeScenario returns the deployment in which the plans of Wake are played: that of a seed, with clients that wait longer and servers with
// more slots.
func NewWakeScenario(seed uint64) *testcluster.Scenario {
	s := NewScenario(seed)
	s.Config.Routes[questionRoute].GapAim = wakeGapMS
	s.Config.Routes[questionRoute].Timeout = int(wakeDeadline.Milliseconds())
	s.Kinds[questionRoute].Deadline = wakeDeadline
	setSlots(s, wakeSlots)
	return s
}

// Waking names a plan of Wake, by what else happens in it. Its text is a value of a flag.
type Waking string

// The plans of Wake.
const (
	WakeOne         Waking = "wake"
	WakePartitioned Waking = "wake-cut" // the proxy is partitioned from the control plane when it continues, and for some time after
	WakeTwo         Waking = "wake-two" // the other proxy of its region is paused with it
)

// Wake returns a fixed plan: a proxy is paused for some seconds, and continues with the servers that it knew before, while all requests that
// have waited want one at once. The other proxy of its region is down, unless it is paused too.
func Wake(seed uint64, form Waking, scenario *testcluster.Scenario) *Plan {
	peer, paused := scenario.Machines[0].IP, scenario.Machines[1].IP
	first := Fault{Kind: KillProxy, Target: peer, Start: peerKilled, Length: peerDown}
	if form == WakeTwo {
		first = Fault{Kind: PauseProxy, Target: peer, Start: pausedAt, Length: pausedFor}
	}
	down := wakeWarmUpLead + aloneFor
	p := &Plan{Seed: seed, For: wakeFor, Delay: 20 * time.Millisecond, Faults: []Fault{
		first,
		{Kind: PauseProxy, Target: paused, Start: pausedAt, Length: pausedFor},
		{Kind: EndEvacuationAlone, Target: homeZones[0], Other: homeZones[1], Start: evacuatedAt, WarmUpLead: wakeWarmUpLead, Down: down,
			Length: scenario.Bounds.Evacuate + down + warmUpOf(scenario) + warmUpMargin},
	}}
	if form == WakePartitioned {
		p.Faults = append(p.Faults, Fault{Kind: PartitionProxy, Target: paused, Start: pausedAt + pausedFor - partitionBefore,
			Length: partitionBefore + partitionAfter})
	}
	return p
}
