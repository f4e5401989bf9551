// Package outlier detects servers that do not answer, ejects them for a time that grows with each failure, and lets single probe
// requests decide whether they are back.
//
// Terms, as in Envoy's outlier detection and in circuit breakers: a server is suspected from its first failure on; it is ejected while
// it gets no requests; once its ejection time is over it is half open: one request at a time, the probe, may go to it, until one is
// answered. Consecutive failures double the ejection time from 0.5 s up to 4 s.
//
// The package is pure and not safe for concurrent use. Times are readings of the caller's monotonic clock.
package outlier

import "time"

const (
	// baseEjectionTime is how long a server is ejected after its first failure.
	baseEjectionTime = 500 * time.Millisecond
	// maxEjectionTime bounds the doubling.
	maxEjectionTime = 4 * time.Second
	// maxProbeDelay is how long after the ejection time probes are left to requests that can be retried elsewhere.
	maxProbeDelay = 2 * time.Second
	// maxCountedFailures bounds the counter of consecutive failures; the ejection time has reached its bound by then.
	maxCountedFailures = 8
	// maxConsecutiveBroken is how many broken answers in a row eject a server.
	maxConsecutiveBroken = 2
	// maxConsecutiveServerErrors is how many answers of 5xx in a row eject a server.
	maxConsecutiveServerErrors = 5
)

// Detector is the state of one server. The zero value is a server that has not failed.
type Detector struct {
	consecutiveFailures     int           // failures to get any answer
	consecutiveBroken       int           // answers that broke off
	consecutiveServerErrors int           // answers of 5xx
	ejectedUntil            time.Duration // 0: not ejected since the last answer
	probe                   uint64        // ticket of the probe under way; 0: none
}

// Suspected reports whether the server has failed since its last answer.
func (d *Detector) Suspected() bool { return d.consecutiveFailures > 0 || d.ejectedUntil > 0 }

// Unreachable reports whether the last attempts got no answer at all.
func (d *Detector) Unreachable() bool { return d.consecutiveFailures > 0 }

// WasEjected reports whether the server was ejected and has not answered since, whether or not its ejection time is over.
func (d *Detector) WasEjected() bool { return d.ejectedUntil > 0 }

// EjectedUntil is the end of the last ejection; 0: none since the last answer.
func (d *Detector) EjectedUntil() time.Duration { return d.ejectedUntil }

// Probing reports whether a probe is under way.
func (d *Detector) Probing() bool { return d.probe != 0 }

// Ejected reports whether the server gets nothing: its ejection time is not over, or a probe is under way.
func (d *Detector) Ejected(now time.Duration) bool {
	return now < d.ejectedUntil || d.Suspected() && d.Probing()
}

// MayProbe reports whether a request may be the probe of a suspected server. That is best left to a request that can be retried at
// another server; one that can't probes only a server that nobody has probed for long.
func (d *Detector) MayProbe(now time.Duration, canRetry bool) bool {
	return canRetry || now >= d.ejectedUntil+maxProbeDelay
}

// StartAttempt notes that an attempt with a ticket other than 0 goes to the server. It becomes the probe of a suspected one that has none.
func (d *Detector) StartAttempt(ticket uint64) {
	if d.Suspected() && !d.Probing() {
		d.probe = ticket
	}
}

// EndAttempt notes that an attempt is over, and reports whether it was the probe.
func (d *Detector) EndAttempt(ticket uint64) (wasProbe bool) {
	if d.probe != ticket {
		return false
	}
	d.probe = 0
	return true
}

// RecordResponse notes that the server has begun to answer an attempt: it ends suspicion.
func (d *Detector) RecordResponse(ticket uint64) {
	d.EndAttempt(ticket)
	d.consecutiveFailures, d.ejectedUntil = 0, 0
}

// RecordSuccess notes a whole answer.
func (d *Detector) RecordSuccess() {
	d.consecutiveServerErrors = 0
	d.RecordRejection()
}

// RecordRejection notes an answer that says that the request was not executed: the server lives.
func (d *Detector) RecordRejection() {
	d.consecutiveFailures, d.consecutiveBroken, d.ejectedUntil = 0, 0, 0
}

// RecordFailure notes that an attempt got no answer, and ejects the server.
func (d *Detector) RecordFailure(now time.Duration) {
	if now < d.ejectedUntil {
		return // attempts that were under way when the first of them failed
	}
	d.consecutiveFailures = min(d.consecutiveFailures+1, maxCountedFailures)
	d.ejectedUntil = now + min(baseEjectionTime<<(d.consecutiveFailures-1), maxEjectionTime)
}

// RecordBroken notes an answer that broke off. Several in a row, or one of a probe, count as a failure.
func (d *Detector) RecordBroken(now time.Duration, wasProbe bool) {
	if d.consecutiveBroken++; d.consecutiveBroken >= maxConsecutiveBroken || wasProbe {
		d.RecordFailure(now)
	}
}

// RecordServerError notes an answer of 5xx: the server lives, but several in a row eject it.
func (d *Detector) RecordServerError(now time.Duration) {
	d.consecutiveFailures, d.consecutiveBroken = 0, 0
	if d.consecutiveServerErrors++; d.consecutiveServerErrors >= maxConsecutiveServerErrors {
		d.ejectedUntil = max(d.ejectedUntil, now+baseEjectionTime)
	} else {
		d.ejectedUntil = 0
	}
}
