package balance

import (
	"cmp"
	"math"
	"time"
)

const (
	// memoryTTL is the time in which what requests and an endpoint's own answers have taught decays to 1/e.
	memoryTTL = 6 * time.Second
	// recentTTL is the same for what answers of all have taught, and for own answers once none is newer.
	recentTTL = time.Second
	// unseenLoad is how many requests of other sidecars each endpoint is taken to hold.
	unseenLoad = 1.0
	// priorLoad is the load by which an endpoint's own record outweighs that of its peers.
	priorLoad = 2.0
	// classLatencyStep is the weight of an answer in the mean times of classes.
	classLatencyStep = 0.05
	// idleMinLoad is the load of a mean that is true to a third.
	idleMinLoad = 17
	// idleMemories is the number of memoryTTL in which the latency of an idle fleet is forgotten to 1/e.
	idleMemories = 10
	// degradedThreshold is the share of the shortest target that the group of a degraded endpoint counts for. It
	// weighs what an endpoint's group would, and is alone no reason to refuse.
	degradedThreshold = 0.6 * spillThreshold
	// minLoad keeps a mean over no load finite.
	minLoad = 1e-9
)

// latencySums are decaying sums over answers. Their quotient is the latency estimate: seconds for each unit
// of load.
type latencySums struct {
	latencySum float64 // of answer times, in seconds
	loadSum    float64 // of the requests that were held when the attempts were sent
}

// add takes in an answer.
func (s *latencySums) add(seconds, load float64) {
	s.latencySum += seconds
	s.loadSum += load
}

// scale multiplies both sums.
func (s *latencySums) scale(factor float64) {
	s.latencySum *= factor
	s.loadSum *= factor
}

// secondsPerLoad is the time that an endpoint takes for each request that it holds; in a group's sums for
// each request that is held for a unit of size.
func (s *latencySums) secondsPerLoad() float64 { return s.latencySum / math.Max(s.loadSum, minLoad) }

// latencyEstimates are the estimates that no endpoint or group has alone.
type latencyEstimates struct {
	shortestTarget float64       // of all classes, in seconds
	meanSeconds    []float64     // of answers, by class
	classLatency   []latencySums // by class: its answers' seconds and number, decaying with each answer of any
	warmingUp      latencySums   // of endpoints that warm up
	idleSeconds    float64       // of the fleet for each unit of load while it is idle: the least of late
	lastResultAt   Time          // when an attempt last ended
}

// newLatencyEstimates has each class start from its latency target.
func newLatencyEstimates(classes []Class) latencyEstimates {
	var l latencyEstimates
	for _, class := range classes {
		target := class.LatencyTarget.Seconds()
		l.shortestTarget = min(cmp.Or(l.shortestTarget, target), target)
		l.meanSeconds = append(l.meanSeconds, target)
		l.classLatency = append(l.classLatency, latencySums{
			latencySum: target / classLatencyStep,
			loadSum:    1 / classLatencyStep,
		})
	}
	return l
}

// expectedLatency is the answer time in seconds that a request sent now can expect, from what the endpoint's
// answers took for each request it held. A little-used endpoint goes by its group, as kinds and zones are not
// equally loaded, and a little-used group by the fleet.
//
// A sidecar that takes the fleet for too slow would send nothing and never learn better; so the estimate
// decays while no answer comes, as fast as what all have taught.
func (b *Balancer) expectedLatency(e *endpoint, now Time) float64 {
	prior := priorLoad * b.groupSecondsPerLoad(e) / e.capacity()
	perRequest := (e.latencySum*e.freshness + e.owedSeconds(now) + prior) /
		(e.loadSum*e.freshness + priorLoad)
	if e.pendingAnswers() == 0 {
		perRequest *= max(0, 1-(now-b.lastResultAt).Seconds()/recentTTL.Seconds())
	}
	return (float64(e.pendingAnswers()+1) + unseenLoad) * perRequest
}

// groupSecondsPerLoad is what an endpoint's peers take for each unit of load and size. An endpoint that warms
// up has no part in the queues of warm ones, which are longest just then; its peers are those that warm up.
func (b *Balancer) groupSecondsPerLoad(e *endpoint) float64 {
	home := e.homeGroup
	seconds := (home.latencySum + home.owedSeconds + priorLoad*b.fleet.secondsPerLoad()) /
		(home.loadSum + priorLoad)
	if !e.isWarm() {
		seconds = b.warmingUp.latencySum / (b.warmingUp.loadSum + priorLoad)
	}
	if e.reportedDegraded {
		seconds = max(seconds, degradedThreshold*b.shortestTarget*e.capacity())
	}
	return seconds
}

// observeLatency takes in the end of an attempt that says how long its endpoint takes.
func (b *Balancer) observeLatency(a *attempt, r Result) {
	answering := a.endpoint
	seconds := r.Latency.Seconds()
	if r.Outcome == Served || r.Outcome == TimedOut && !a.flight.isLost() {
		answering.add(seconds, a.load)
		answering.freshness = 1
	}
	if r.Outcome != Served { // what a silent endpoint never answers would make its sound peers seem slow
		return
	}
	loadPerSize := a.load / answering.capacity()
	if !answering.isWarm() {
		b.warmingUp.add(seconds, loadPerSize)
		return
	}
	answering.homeGroup.add(seconds, loadPerSize)
	b.fleet.add(seconds, loadPerSize)
}

// observeClassLatency takes in how many seconds an answer of a class took. A class without answers of its own
// tends to the mean of all classes: what an overload taught of a class that is then refused would have it
// refused for good.
func (b *Balancer) observeClassLatency(class int, seconds float64) {
	b.classLatency[class].add(seconds/(1-classLatencyStep), 1/(1-classLatencyStep))
	var all latencySums
	for i := range b.classLatency {
		b.classLatency[i].scale(1 - classLatencyStep)
		all.add(b.classLatency[i].latencySum, b.classLatency[i].loadSum)
	}
	for i, sums := range b.classLatency {
		b.meanSeconds[i] = (sums.latencySum + all.secondsPerLoad()) / (sums.loadSum + 1)
	}
}

// decay has what was learned count less by the time that has passed, and recounts warmth and the share that
// is ejected.
//
// What an overload has taught must not outlast it: endpoints that seem full get nothing and cannot show
// better. So one goes by its own answers while they are recent, and then by those of the others.
func (b *Balancer) decay(now Time, elapsed time.Duration) {
	memory, recent := remaining(elapsed, memoryTTL), remaining(elapsed, recentTTL)
	b.arrivals *= memory
	b.warmingUp.scale(recent)
	for _, g := range b.groups {
		g.scale(recent)
		g.owedSeconds = 0
	}
	b.capacityInUse = 0
	for _, e := range b.inUse {
		e.scale(memory)
		e.freshness *= recent
		e.warmth = b.warmthOf(e, now)
		e.homeGroup.owedSeconds += e.owedSeconds(now)
		b.capacityInUse += e.Size * e.warmth * b.zoneWeight[e.zoneIndex]
	}
	b.observeIdleLatency(memory)
	b.updatePanic(now)
}

// remaining is what is left after some time of what decays to 1/e in another.
func remaining(elapsed, ttl time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / ttl.Seconds())
}

// observeIdleLatency follows the fleet's latency down at once, and up slowly. If full went by the present
// latency, queues everywhere would raise the threshold, and no endpoint would be full.
func (b *Balancer) observeIdleLatency(memory float64) {
	if b.fleet.loadSum < idleMinLoad {
		return
	}
	present := b.fleet.secondsPerLoad()
	b.idleSeconds += (present - b.idleSeconds) * (1 - memory) / idleMemories
	if b.idleSeconds > present || b.idleSeconds == 0 {
		b.idleSeconds = present
	}
}
