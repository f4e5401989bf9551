package soak

import (
	"time"

	"gradeusher.example/gradeusher/internal/lab/testcluster"
)

// Times of the plans of Wake.
const (
	wakeFor     = 18 * time.Second
	peerKilled  = time.Second // clients of the other proxy of the region turn to the one that is paused next
	peerDown    = 9 * time.Second
	pausedAt    = 1500 * time.Millisecond
	evacuatedAt = pausedAt + 200*time.Millisecond // so that the paused proxy does not know of it
	// pausedFor ends when the servers of the evacuated zone have just begun to warm up under their ids, and those of the region's other
	// zone are down: the evacuation is acknowledged within half a second, and they begin to warm up a time of Bounds.Evacuate after that.
	pausedFor = 6100 * time.Millisecond
	wakeChill = 2 * time.Second
	cutBefore = 500 * time.Millisecond // the proxy goes on
	cutAfter  = 2 * time.Second
	waitFor   = 10 * time.Second // that clients of the most frequent kind wait, longer than the pause
	waitGap   = 1200             // ms; for a stream to begin they wait eight times that
	wakeSlots = 64               // more than a server may get while it warms up in a second, so that slots do not hold a flood back
	question  = 1                // that kind's place in the scenario's routes and kinds
)

// NewWakeScenario gives the deployment in which the plans of Wake are played: that of a seed, with patient clients and roomy servers.
func NewWakeScenario(seed uint64) *testcluster.Scenario {
	s := NewScenario(seed)
	s.Config.Routes[question].GapAim = waitGap
	s.Config.Routes[question].Timeout = int(waitFor.Milliseconds())
	s.Kinds[question].Deadline = waitFor
	setSlots(s, wakeSlots)
	return s
}

// Waking is what else happens in a plan of Wake.
type Waking string

// The plans of Wake.
const (
	WakeOne Waking = "wake"
	WakeCut Waking = "wake-cut" // its links to the keepers are cut when it goes on, and for some time after
	WakeTwo Waking = "wake-two" // the other proxy of its region is paused with it
)

// Wake gives a fixed plan: a proxy is paused for some seconds, and goes on with the servers that it knew before, while all requests
// that have waited want one at once. The other proxy of its region is down, unless it is paused too.
func Wake(seed uint64, form Waking, scene *testcluster.Scenario) *Plan {
	peer, paused := scene.Machines[0].IP, scene.Machines[1].IP
	first := Fault{Kind: KillProxy, Target: peer, Start: peerKilled, Length: peerDown}
	if form == WakeTwo {
		first = Fault{Kind: PauseProxy, Target: peer, Start: pausedAt, Length: pausedFor}
	}
	p := &Plan{Seed: seed, For: wakeFor, Delay: 20 * time.Millisecond, Faults: []Fault{
		first,
		{Kind: PauseProxy, Target: paused, Start: pausedAt, Length: pausedFor},
		{Kind: EndEvacuationAlone, Target: homeZones[0], Other: homeZones[1], Start: evacuatedAt, WarmUpLead: wakeChill, Down: wakeChill + aloneFor,
			Length: scene.Bounds.Evacuate + wakeChill + aloneFor + coldFor(scene) + coldMargin},
	}}
	if form == WakeCut {
		p.Faults = append(p.Faults, Fault{Kind: PartitionProxy, Target: paused, Start: pausedAt + pausedFor - cutBefore, Length: cutBefore + cutAfter})
	}
	return p
}
