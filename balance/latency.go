package balance

import (
	"math"
	"time"
)

// secondsPerLoad is the time to get through a request held for each unit of size: answer times over held.
func (g *group) secondsPerLoad() float64 { return g.latencySum / math.Max(g.loadSum, 1e-9) }

// expectedLatency is the answer time in seconds that a request sent now can expectedLatency, from what the
// endpoint's answers took for each request held. A little-used one is judged by its group, as kinds and zones
// are not equally loaded, and a little-used group by the fleet. Danger: a sidecar that believes the fleet too
// slow sends nothing and never learns better; the belief fades while no answer comes, as fast as what all
// have taught. Danger: a cold endpoint has no part in warm ones' queues, longest just then; cold ones are its
// peers.
func (b *Balancer) expectedLatency(e *endpoint, now Time) float64 {
	group := (e.homeGroup.latencySum + e.homeGroup.owedSeconds + priorLoad*b.fleet.secondsPerLoad()) /
		(e.homeGroup.loadSum + priorLoad)
	if e.warmth < 1 {
		group = b.warmingUp.latencySum / (b.warmingUp.loadSum + priorLoad)
	}
	// By the word of members. It weighs what its group would, and is alone no reason to refuse.
	if e.reportedDegraded {
		group = max(group, 0.6*spillThreshold*b.shortestTarget*e.capacity())
	}
	drain := (e.latencySum*e.freshness + e.owedSeconds(now) + priorLoad*group/e.capacity()) /
		(e.loadSum*e.freshness + priorLoad)
	if e.pendingAnswers() == 0 {
		drain *= max(0, 1-(now-b.lastResultAt).Seconds()/recentTTL.Seconds())
	}
	return (float64(e.pendingAnswers()+1) + unseenLoad) * drain
}

// observeClassLatency takes in how many seconds an answer of a class took. Danger: what a jam taught of a
// class that is then refused would have it refused for good; without answers of its own it is taken for all
// classes' mean.
func (b *Balancer) observeClassLatency(class int, took float64) {
	b.classLatency[class].latencySum += took / (1 - classLatencyStep)
	b.classLatency[class].loadSum += 1 / (1 - classLatencyStep)
	var all group
	for i := range b.classLatency {
		b.classLatency[i].decay(1 - classLatencyStep)
		all.latencySum += b.classLatency[i].latencySum
		all.loadSum += b.classLatency[i].loadSum
	}
	for i, w := range b.classLatency {
		b.meanSeconds[i] = (w.latencySum + all.secondsPerLoad()) / (w.loadSum + 1)
	}
}

// decay lets go of the knowledge that is older by some time, and recounts warmth and the share ejected.
// Danger: what a jam has taught must not outlast it. Endpoints that seem full get nothing and cannot tell
// better: one is believed what its own answers told while they are recent, and then what the others tell.
// Danger: where most endpoints seem bad, the fault is likely our own; then ejection is suspended.
func (b *Balancer) decay(now Time, older time.Duration) {
	var out, all float64
	kept := func(memory time.Duration) float64 { return math.Exp(-older.Seconds() / memory.Seconds()) }
	b.arrivals, b.capacityInUse = b.arrivals*kept(memoryTTL), 0
	b.warmingUp.decay(kept(recentTTL))
	for _, g := range b.groups {
		g.decay(kept(recentTTL))
	}
	keep := kept(memoryTTL)
	for _, e := range b.inUse {
		e.latencySum, e.loadSum, e.freshness = e.latencySum*keep, e.loadSum*keep, e.freshness*kept(recentTTL)
		e.warmth = b.warmthOf(e, now)
		e.homeGroup.owedSeconds += e.owedSeconds(now)
		b.capacityInUse += e.Size * e.warmth * b.zoneWeight[e.zoneIndex]
		if all += e.Size; now < e.ejectedUntil {
			out += e.Size
		}
	}
	// Danger: if full went by the present usual time, queues everywhere would raise the bar, and none be full.
	if u := b.fleet.secondsPerLoad(); b.fleet.loadSum >= idleMinLoad {
		if b.idleSeconds += (u - b.idleSeconds) * (1 - kept(memoryTTL)) / idleMemories; b.idleSeconds > u ||
			b.idleSeconds == 0 {
			b.idleSeconds = u
		}
	}
	b.inPanic = out > panicThreshold*all
}

func (g *group) decay(keep float64) {
	g.latencySum, g.loadSum, g.owedSeconds = g.latencySum*keep, g.loadSum*keep, 0
}

const (
	tickInterval = 100 * time.Millisecond // housekeeping
	memoryTTL    = 6 * time.Second        // what requests and own answers have taught fades by 1/e in it
	recentTTL    = time.Second            // what answers of all have, and own ones with none newer
	// Of the usual time for its size when idle: below it none is full.
	fullThreshold = 2.5
	unseenLoad    = 1.0 // requests of others that each endpoint is taken to hold
	// Requests held by which an endpoint's own record outweighs its peers'.
	priorLoad         = 2.0
	idleMinLoad       = 17   // requests held in a mean that is true to a third
	idleMemories      = 10   // memories in which what an idle fleet takes is forgotten by 1/e
	ejectionThreshold = 1.6  // faults that eject: two without some successes between them
	failureDecay      = 0.85 // what a success leaves of the faults
	// Later answers of its endpoint after which an attempt's own is lost.
	lostThreshold   = 4
	cancelThreshold = 0.25            // of its aim: a lost attempt is not called off sooner
	heavyMultiple   = 8.0             // times its class's mean time: few requests take longer
	ejectionTime    = 5 * time.Second // an ejection lasts; the next fault after it is another
	// Of the ready size: with more ejected, the fault is likely our own.
	panicThreshold = 0.5
	spillThreshold = 0.5 // of the shortest aim: above it an endpoint is full
	// Of the crossing charge, in aims: an answer sooner by that is worth it.
	crossingTargets = 8.0
	// Of the shortest aim: no answer expected later is worth its work.
	refusalThreshold = 0.85
	classLatencyStep = 0.05 // weight of an answer in the mean times of classes
	// Bar of requests beyond an allowance, as a share of their class's.
	overAllowanceShare = 0.5
	likelyShare        = 0.5           // of the time left: a mean answer within it mostly comes in time
	levelInterval      = 2 * memoryTTL // a level stays so long at least: the traffic is known by then
	minZoneWeight      = 0.001         // weight of other zones at least: enough to know them
	zoneWeightStep     = 0.03          // of the way to go, what a tick moves the weight of other zones
)
