package balance

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gradeusher.example/gradeusher/balance/signals"
)

// endpoint is a server and what this sidecar has seen of it.
type endpoint struct {
	Endpoint
	inFlight         int          // this sidecar's attempts out
	flights          []*flight    // those, in the order of their sending
	latencySum       float64      // fading sum of the seconds that answers took
	loadSum          float64      // and of the requests it held
	freshness        float64      // share of these two that counts still: 1 with each answer, and fading fast
	failures         float64      // count of faults, fading with successes
	ejectedUntil     Time         // ejected until
	lastServed       Time         // when it last gave an answer to this sidecar; 0: never
	failureKind      signals.Kind // how it failed when this sidecar last ejected it, until it serves again
	failedAt         Time
	rejections       int     // requests turned away since it last served this sidecar
	reportedDegraded bool    // full or slow, by the word of members
	condemnedSince   Time    // since when members' word ejects it; 0: it does not
	probeUntil       Time    // until then it is this sidecar's turn to try it all the same
	probedAt         Time    // when it last did
	reported         bool    // to the members, as of the last Witness
	warmUpStart      Time    // when it started as far as its warmth goes; 0: long ago
	outOfService     bool    // taken out by hand
	warmth           float64 // share of its capacity that it has
	turnCredit       float64 // part of a turn that it has earned since the last send to it, by its share of the sends
	zoneIndex        int     // 1 in another zone, 0 in the sidecar's own
	homeGroup        *group  // the first whose tags it carries; its peers there are alike
	inGroup          []bool  // which groups' tags it carries
	inSubset         bool    // in the subset of one of them
	eligible         bool    // may be chosen for the request in hand
}

// flight is an attempt that is out, as its endpoint sees it.
type flight struct {
	requestID   RequestID
	attempt     int // of the attempt
	sentAt      Time
	overtaken   int  // answers that the endpoint has given to attempts sent after it
	cancelled   bool // off
	noAnswerDue bool // no answer is due: its body is still coming, or the answer is
}

// isReady tells whether an endpoint may be used at all.
func (e *endpoint) isReady() bool { return e.State == Ready && !e.outOfService }

// capacity is the registered size of what an endpoint can do now.
func (e *endpoint) capacity() float64 { return e.Size * math.Max(e.warmth, 0.01) }

// process is the endpoint's present process, as far as the list tells.
func (e *endpoint) process() signals.Process {
	return signals.Process{Server: e.ID, Start: int64(e.Started)}
}

// orderHash is the endpoint's in the order that members share.
func (e *endpoint) orderHash() uint64 { return xxhash.Sum64String(e.ID) }

// Here is counted what endpoints owe. It decides nothing.

// owedSeconds is the sum in seconds of how long the requests in flight have been out. Danger: the first answers to
// come are the quick ones; a slowed endpoint owes answers before its answers tell; a dead one looks idle.
func (e *endpoint) owedSeconds(now Time) float64 {
	var sum Time
	for _, f := range e.flights {
		if !f.isLost() {
			sum += now - f.sentAt
		}
	}
	return sum.Seconds()
}

// pendingAnswers is the number of requests in flight whose answers may still come.
func (e *endpoint) pendingAnswers() (n int) {
	for _, f := range e.flights {
		if !f.isLost() {
			n++
		}
	}
	return n
}

// addFlight takes in that the request's next attempt is sent.
func (e *endpoint) addFlight(q *request, now Time) *flight {
	e.inFlight++
	e.flights = append(e.flights, &flight{requestID: q.ID, attempt: len(q.attempts), sentAt: now, noAnswerDue: q.BodyIncomplete})
	return e.flights[len(e.flights)-1]
}

// removeFlight takes in that an attempt has ended, and what that tells of those sent before it.
func (e *endpoint) removeFlight(f *flight, served bool) {
	at := slices.Index(e.flights, f)
	e.flights = slices.Delete(e.flights, at, at+1)
	e.inFlight--
	for _, old := range e.flights[:at] {
		if served && !old.noAnswerDue && old.sentAt < f.sentAt {
			old.overtaken++
		}
	}
}
