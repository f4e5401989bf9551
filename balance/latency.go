package balance

import (
	"cmp"
	"math"
	"time"
)

const (
	// memoryTTL is the time constant with which request counts and sums over an endpoint's own answers decay to
	// 1/e.
	memoryTTL = 6 * time.Second
	// recentTTL is the time constant for sums over the answers of all endpoints, and for the weight of an
	// endpoint's own answers once no new ones arrive.
	recentTTL = time.Second
	// unseenLoad is the number of requests from other sidecars that each endpoint is assumed to be working on.
	unseenLoad = 1.0
	// priorLoad is the load at which an endpoint's own answers weigh as much as the estimate of its group.
	priorLoad = 2.0
	// classLatencyStep is the weight of one answer in the mean answer times of classes.
	classLatencyStep = 0.05
	// idleMinLoad is the load at which a mean is accurate to a third.
	idleMinLoad = 17
	// idleMemories is the time constant of the idle fleet's latency, in units of memoryTTL.
	idleMemories = 10
	// degradedThreshold is the group latency assumed for a degraded endpoint, as a share of the shortest target.
	// It has the weight of the group's estimate and on its own is no reason to refuse requests.
	degradedThreshold = 0.6 * spillThreshold
	// minLoad keeps a mean over zero load finite.
	minLoad = 1e-9
)

// latencySums holds decaying sums over answers. Their quotient is the latency estimate in seconds per unit of
// load.
type latencySums struct {
	latencySum float64 // sum of answer times in seconds
	loadSum    float64 // sum of the endpoint's loads when the attempts were sent
}

// add adds an answer.
func (s *latencySums) add(seconds, load float64) {
	s.latencySum += seconds
	s.loadSum += load
}

// scale multiplies both sums.
func (s *latencySums) scale(factor float64) {
	s.latencySum *= factor
	s.loadSum *= factor
}

// secondsPerLoad returns the answer time per unit of load. In the sums of a group, load is per unit of size.
func (s *latencySums) secondsPerLoad() float64 { return s.latencySum / math.Max(s.loadSum, minLoad) }

// latencyEstimates holds the estimates that are not specific to an endpoint or group.
type latencyEstimates struct {
	shortestTarget float64       // shortest latency target of all classes, in seconds
	meanSeconds    []float64     // mean answer time by class
	classLatency   []latencySums // by class: seconds and count of answers, decaying with any answer
	warmingUp      latencySums   // over endpoints that are warming up
	idleSeconds    float64       // latency of the idle fleet per unit of load: the recent minimum
	lastResultAt   Time          // when an attempt last ended
}

// newLatencyEstimates initializes the mean answer time of each class with its latency target.
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

// expectedLatency returns the expected answer time, in seconds, of a request sent now. It is based on the
// endpoint's answer times per unit of load. For an endpoint with few answers it falls back to the endpoint's
// group, since kinds and zones are not equally loaded, and for a group with few answers to the fleet.
//
// A sidecar that considers the whole fleet too slow would send nothing and never learn otherwise. So the
// estimate of an endpoint without attempts in flight falls to zero within recentTTL while no result arrives.
func (b *Balancer) expectedLatency(e *endpoint, now Time) float64 {
	prior := priorLoad * b.groupSecondsPerLoad(e) / e.capacity()
	perRequest := (e.latencySum*e.freshness + e.pendingSeconds(now) + prior) /
		(e.loadSum*e.freshness + priorLoad)
	if e.pendingAnswers() == 0 {
		perRequest *= max(0, 1-(now-b.lastResultAt).Seconds()/recentTTL.Seconds())
	}
	return (float64(e.pendingAnswers()+1) + unseenLoad) * perRequest
}

// groupSecondsPerLoad returns the answer time of an endpoint's peers per unit of load and size. An endpoint
// that is warming up does not share the queues of warm endpoints, which are longest just then, so its peers
// are the other endpoints that are warming up.
func (b *Balancer) groupSecondsPerLoad(e *endpoint) float64 {
	home := e.homeGroup
	seconds := (home.latencySum + home.pendingSeconds + priorLoad*b.fleet.secondsPerLoad()) /
		(home.loadSum + priorLoad)
	if !e.isWarm() {
		seconds = b.warmingUp.latencySum / (b.warmingUp.loadSum + priorLoad)
	}
	if e.reportedDegraded {
		seconds = max(seconds, degradedThreshold*b.shortestTarget*e.capacity())
	}
	return seconds
}

// observeLatency updates the latency estimates of the endpoint, its group and the fleet with the result of an
// attempt.
func (b *Balancer) observeLatency(a *attempt, r Result) {
	answering := a.endpoint
	seconds := r.Latency.Seconds()
	if r.Outcome == Served || r.Outcome == TimedOut && !a.flight.isLost() {
		answering.add(seconds, a.load)
		answering.freshness = 1
	}
	if r.Outcome != Served { // the timeouts of an unresponsive endpoint would make its healthy peers seem slow
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

// observeClassLatency adds the answer time of a request to the mean of its class. A class without recent
// answers tends towards the mean of all classes. Otherwise a class that seemed slow during an overload and
// was refused for it would be refused forever.
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

// decay reduces the weight of past observations by the elapsed time, and updates warmth, the capacity in use
// and panic.
//
// Estimates from an overload must not outlast it: endpoints that seem full get no requests and cannot prove
// otherwise. So the estimate of an endpoint is based on its own answers while they are recent, and later on
// those of its peers.
func (b *Balancer) decay(now Time, elapsed time.Duration) {
	memory, recent := remaining(elapsed, memoryTTL), remaining(elapsed, recentTTL)
	b.arrivals *= memory
	b.warmingUp.scale(recent)
	for _, g := range b.groups {
		g.scale(recent)
		g.pendingSeconds = 0
	}
	b.capacityInUse = 0
	for _, e := range b.inUse {
		e.scale(memory)
		e.freshness *= recent
		e.warmth = b.warmthOf(e, now)
		e.homeGroup.pendingSeconds += e.pendingSeconds(now)
		b.capacityInUse += e.Size * e.warmth * b.zoneWeight[e.zoneIndex]
	}
	b.observeIdleLatency(memory)
	b.updatePanic(now)
}

// remaining returns the share that is left after the elapsed time of a value that decays to 1/e within ttl.
func remaining(elapsed, ttl time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / ttl.Seconds())
}

// observeIdleLatency follows decreases of the fleet's latency immediately and increases slowly. If the
// current latency determined when an endpoint is full, queues everywhere would raise that threshold and no
// endpoint would count as full.
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
