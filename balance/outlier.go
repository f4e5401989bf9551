package balance

import (
	"math"
	"time"

	"gradeusher.example/gradeusher/balance/signals"
)

const (
	// ejectionThreshold is the count of failures that ejects: two without some successes between them.
	ejectionThreshold = 1.6
	// failureDecay is what a success leaves of the count of failures.
	failureDecay = 0.85
	// failuresAfterEjection has the next failure after an endpoint's return eject it again.
	failuresAfterEjection = 1
	// ejectionTime is how long an ejection lasts.
	ejectionTime = 5 * time.Second
	// panicThreshold is the share of the size in use above which ejections are suspended.
	panicThreshold = 0.5
)

// failureKinds is what an outcome that may eject an endpoint says of how it fails.
var failureKinds = map[Outcome]signals.Kind{
	TimedOut:      signals.Unresponsive,
	Errored:       signals.Failing,
	ConnectFailed: signals.Failing,
	Reset:         signals.Failing,
}

// outlierState is what an endpoint's results say of whether it works.
type outlierState struct {
	failures     float64      // count, decaying with successes
	ejectedUntil Time         // by this sidecar's results or the verdicts of others
	lastServed   Time         // when it last answered a request of this sidecar; 0: never
	failureKind  signals.Kind // how it failed when this sidecar last ejected it, until it serves again
	failedAt     Time         // when it last failed so or rejected a request
	rejections   int          // requests that it rejected since it last served this sidecar
}

// observeResult takes in how an attempt ended.
func (b *Balancer) observeResult(ended *attempt, r Result, now Time) {
	b.lastResultAt = now
	b.observeLatency(ended, r)
	e := ended.endpoint
	switch r.Outcome {
	case Saturated: // its queue is full: as bad as an answer at the latency target
		e.latencySum += b.shortestTarget
		e.freshness = 1
		e.rejections++
		e.failedAt = now
	case Served:
		e.failures *= failureDecay
		e.lastServed = now
		e.failureKind = signals.None
		e.rejections = 0
	case Errored, TimedOut, ConnectFailed, Reset:
		b.observeFailure(ended, r.Outcome, now)
	}
}

// observeFailure counts a failure, and ejects the endpoint after too many: one that fails fast looks idle and
// would draw all requests. A failure counts less the more answers have overtaken it.
func (b *Balancer) observeFailure(ended *attempt, outcome Outcome, now Time) {
	failing := ended.endpoint
	if outcome == TimedOut && ended.sentAt > failing.lastServed {
		failing.failureKind = failureKinds[outcome]
		failing.failedAt = now
	}
	failing.failures += math.Pow(failureDecay, float64(ended.flight.overtaken))
	if failing.failures < ejectionThreshold {
		return
	}
	failing.ejectedUntil = now + ejectionTime
	failing.failures = failuresAfterEjection
	failing.failureKind = failureKinds[outcome]
	failing.failedAt = now
	b.actions.Log("ejected " + failing.ID)
	b.regroup(now)
}

// updatePanic suspends ejections where most endpoints seem bad: then the fault is likely this sidecar's own.
func (b *Balancer) updatePanic(now Time) {
	var ejected, all float64
	for _, e := range b.inUse {
		all += e.Size
		if e.isEjected(now) {
			ejected += e.Size
		}
	}
	b.inPanic = ejected > panicThreshold*all
}
