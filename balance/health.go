package balance

import (
	"math"
	"time"
)

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

// secondsPerLoad is the time to get through a request held for each unit of size: answer times over held.
func (g *group) secondsPerLoad() float64 { return g.latencySum / math.Max(g.loadSum, 1e-9) }

// sheddingThreshold is the expected answer time in seconds above which a class is refused while it is tight.
// Worth for each second that answers take counts: a class that has a quarter of the dearest's waits half as
// long.
func (b *Balancer) sheddingThreshold(class int) float64 {
	own := b.settings.Classes[class].Value / b.meanSeconds[class]
	dearest := math.SmallestNonzeroFloat64
	for i, c := range b.settings.Classes {
		dearest = math.Max(dearest, c.Value/b.meanSeconds[i])
	}
	return refusalThreshold * b.shortestTarget * math.Sqrt(own/dearest)
}

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

// capacity is the registered size of what an endpoint can do now.
func (e *endpoint) capacity() float64 { return e.Size * math.Max(e.warmth, 0.01) }

// isLost tells whether so many later answers have passed an attempt that its own is not slow but isLost, or
// none is due for now. Danger: one isLost answer would close an endpoint that serves all others, until that
// attempt times out; a body that comes slowly, or an answer that is read slowly, would make it seem slow.
func (f *flight) isLost() bool { return f.noAnswerDue || f.overtaken >= lostThreshold }

// cancelLost calls off what is lost at an endpoint where the request may be sent elsewhere. Danger: a
// heavy request is passed too, and its work would be done twice; so it gets many times what its class takes.
func (b *Balancer) cancelLost(e *endpoint, now Time) {
	for _, f := range e.flights {
		q := b.requests[f.requestID]
		if !f.isLost() || f.noAnswerDue || f.cancelled || q == nil || q.finished || q.class.Effect != Idempotent ||
			!b.settings.CancelAllowed || len(q.attempts) >= b.settings.MaxAttempts {
			continue
		}
		if (now - f.sentAt).Seconds() >= max(cancelThreshold*q.class.LatencyTarget.Seconds(),
			heavyMultiple*b.meanSeconds[q.Class]) {
			f.cancelled = true
			b.actions.Cancel(f.requestID, f.attempt)
		}
	}
}

// observeResult takes in how an attempt ended.
func (b *Balancer) observeResult(a *attempt, r Result, now Time) {
	e := a.endpoint
	b.lastResultAt = now
	if r.Outcome == Served || r.Outcome == TimedOut && !a.flight.isLost() {
		e.latencySum += r.Latency.Seconds()
		e.loadSum += a.load
		e.freshness = 1
	}
	if r.Outcome == Served { // Danger: what a silent endpoint never answers would make its sound peers seem slow
		peers := []*group{e.homeGroup, b.fleet}
		if e.warmth < 1 {
			peers = []*group{&b.warmingUp}
		}
		for _, g := range peers {
			g.latencySum += r.Latency.Seconds()
			g.loadSum += a.load / e.capacity()
		}
	}
	switch r.Outcome {
	case Saturated: // its queue is full: as bad as an answer at the aim
		e.latencySum, e.freshness, e.rejections, e.failedAt = e.latencySum+b.shortestTarget, 1, e.rejections+1, now
	case Served:
		e.failures, e.lastServed, e.failureKind, e.rejections = e.failures*failureDecay, now, 0, 0
	case Errored, TimedOut, ConnectFailed, Reset:
		if r.Outcome == TimedOut && a.sentAt > e.lastServed {
			e.failureKind, e.failedAt = failureKinds[r.Outcome], now
		}
		// Danger: an endpoint that fails fast looks idle and draws all requests.
		if e.failures += math.Pow(failureDecay, float64(a.flight.overtaken)); e.failures >= ejectionThreshold {
			e.ejectedUntil = now + ejectionTime
			e.failures = 1 // the next fault after its return ejects it again
			e.failureKind, e.failedAt = failureKinds[r.Outcome], now
			b.actions.Log("ejected " + e.ID)
			b.regroup(now)
		}
	}
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

// warmthOf is the share of its capacity that an endpoint has: it rises evenly from its start.
func (b *Balancer) warmthOf(e *endpoint, now Time) float64 {
	age := now - e.warmUpStart
	if e.warmUpStart <= 0 || age >= b.settings.WarmUpTime {
		return 1
	}
	return b.settings.StartCapacity + (1-b.settings.StartCapacity)*max(age.Seconds(), 0)/
		b.settings.WarmUpTime.Seconds()
}

// hasWarmUpTurn tells whether an endpoint is warm, or has its next turn for the share of its capacity that it
// has. Danger: sidecars that all turn to a cold endpoint, as it alone seems free, push it over. When each
// keeps to its turns, it gets no more for its warmth than half the fall multiple of the fleet's mean,
// whatever the number of sidecars.
func (b *Balancer) hasWarmUpTurn(e *endpoint) bool { return e.warmth >= 1 || e.turnCredit >= 1 }
