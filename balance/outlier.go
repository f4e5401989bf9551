package balance

import (
	"math"
	"time"

	"gradeusher.example/gradeusher/balance/signals"
)

const (
	// ejectionThreshold is the failure count at which an endpoint is ejected: two failures with few successes
	// between.
	ejectionThreshold = 1.6
	// failureDecay is the factor by which a success reduces the failure count.
	failureDecay = 0.85
	// failuresAfterEjection is the failure count after an ejection. It makes the first failure after the
	// endpoint's return eject it again.
	failuresAfterEjection = 1
	// ejectionTime is how long an ejection lasts.
	ejectionTime = 5 * time.Second
	// panicThreshold is the ejected share of the size in use above which ejections are suspended.
	panicThreshold = 0.5
)

// failureKinds maps each outcome that may eject an endpoint to the kind of failure it indicates.
var failureKinds = map[Outcome]signals.Kind{
	TimedOut:      signals.Unresponsive,
	Errored:       signals.Failing,
	ConnectFailed: signals.Failing,
	Reset:         signals.Failing,
}

// outlierState is the outlier detection state of an endpoint.
type outlierState struct {
	failures     float64      // failure count, decaying with successes
	ejectedUntil Time         // due to this sidecar's results or the verdicts of others
	lastServed   Time         // when it last answered a request of this sidecar; 0: never
	failureKind  signals.Kind // how it failed when this sidecar last ejected it; None once it serves again
	failedAt     Time         // when it last failed in this way or rejected a request
	rejections   int          // requests that it has rejected since it last served this sidecar
}

// observeResult updates latency estimates and outlier detection with the result of an attempt.
func (b *Balancer) observeResult(ended *attempt, r Result, now Time) {
	b.lastResultAt = now
	b.observeLatency(ended, r)
	e := ended.endpoint
	switch r.Outcome {
	case Saturated: // its queue is full, which counts like an answer at the latency target
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

// observeFailure counts a failure and ejects the endpoint after too many of them. An endpoint that fails fast
// looks idle and would otherwise attract all requests. A failure counts less the more later answers have
// overtaken it.
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

// updatePanic suspends ejections while most of the capacity in use is ejected, because then the fault is
// probably on this sidecar's side.
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
