// Package outlier detects servers that do not respond, ejects them for a time that grows
// with each failure, and uses single probe requests to decide whether they have recovered.
//
// Terms, as in Envoy's outlier detection and in circuit breakers: a server is suspected from its first failure on; it
// is ejected while it gets no requests; once its ejection time is over it is half open: one request at a time, the
// probe, may go to it, until one is answered. Consecutive failures double the ejection time from 0.5 s up to 4 s.
//
// The package is pure and not safe for concurrent use. Times are readings of the caller's monotonic clock.
package outlier

import "time"

const (
	// baseEjectionTime is how long a server is ejected after its first failure.
	baseEjectionTime = 500 * time.Millisecond
	// maxEjectionTime limits the doubling.
	maxEjectionTime = 4 * time.Second
	// maxProbeDelay is how long after the ejection time only requests that can be retried elsewhere are used as probes.
	maxProbeDelay = 2 * time.Second
	// maxCountedFailures limits the counter of consecutive failures; the ejection time has reached its maximum by then.
	maxCountedFailures = 8
	// maxConsecutiveBroken is how many consecutive broken responses eject a server.
	maxConsecutiveBroken = 2
	// maxConsecutiveServerErrors is how many consecutive 5xx responses eject a server.
	maxConsecutiveServerErrors = 5
)

// Detector is the state of one server. The zero value is a server that has not failed.
type Detector struct {
	consecutiveFailures     int           // attempts without any response
	consecutiveBroken       int           // responses that broke off
	consecutiveServerErrors int           // 5xx responses
	ejectedUntil            time.Duration // 0: not ejected since the last response
	probe                   uint64        // ticket of the probe in flight; 0: none
}

// Suspected reports whether the server has failed since its last response.
func (d *Detector) Suspected() bool { return d.consecutiveFailures > 0 || d.ejectedUntil > 0 }

// Unreachable reports whether the last attempts got no response at all.
func (d *Detector) Unreachable() bool { return d.consecutiveFailures > 0 }

// WasEjected reports whether the server was ejected and has not responded since, whether or not its ejection time is over.
func (d *Detector) WasEjected() bool { return d.ejectedUntil > 0 }

// EjectedUntil returns the end of the last ejection; 0 if there was none since the last response.
func (d *Detector) EjectedUntil() time.Duration { return d.ejectedUntil }

// Probing reports whether a probe is in flight.
func (d *Detector) Probing() bool { return d.probe != 0 }

// Ejected reports whether the server gets no requests: its ejection time is not over, or a probe is in flight.
func (d *Detector) Ejected(now time.Duration) bool {
	return now < d.ejectedUntil || d.Suspected() && d.Probing()
}

// MayProbe reports whether a request may be the probe of a suspected server. Requests that can be retried at
// another server are preferred; others may probe only once maxProbeDelay has passed since the end of the ejection.
func (d *Detector) MayProbe(now time.Duration, canRetry bool) bool {
	return canRetry || now >= d.ejectedUntil+maxProbeDelay
}

// StartAttempt records that an attempt with a nonzero ticket is sent to the server.
// If the server is suspected and has no probe, the attempt becomes its probe.
func (d *Detector) StartAttempt(ticket uint64) {
	if d.Suspected() && !d.Probing() {
		d.probe = ticket
	}
}

// EndAttempt records that an attempt has ended, and reports whether it was the probe.
func (d *Detector) EndAttempt(ticket uint64) (wasProbe bool) {
	if d.probe != ticket {
		return false
	}
	d.probe = 0
	return true
}

// RecordResponse records that the server has begun to respond to an attempt: it is no longer suspected.
func (d *Detector) RecordResponse(ticket uint64) {
	d.EndAttempt(ticket)
	d.consecutiveFailures, d.ejectedUntil = 0, 0
}

// RecordSuccess records a complete response.
func (d *Detector) RecordSuccess() {
	d.consecutiveServerErrors = 0
	d.RecordRejection()
}

// RecordRejection records a response that reports that the request was not executed: the server is alive.
func (d *Detector) RecordRejection() {
	d.consecutiveFailures, d.consecutiveBroken, d.ejectedUntil = 0, 0, 0
}

// RecordFailure records that an attempt got no response, and ejects the server.
func (d *Detector) RecordFailure(now time.Duration) {
	if now < d.ejectedUntil {
		return // this attempt was already in flight when the first one failed
	}
	d.consecutiveFailures = min(d.consecutiveFailures+1, maxCountedFailures)
	d.ejectedUntil = now + min(baseEjectionTime<<(d.consecutiveFailures-1), maxEjectionTime)
}

// RecordBroken records a response that broke off. Several in a row, or one to a probe, count as a failure.
func (d *Detector) RecordBroken(now time.Duration, wasProbe bool) {
	if d.consecutiveBroken++; d.consecutiveBroken >= maxConsecutiveBroken || wasProbe {
		d.RecordFailure(now)
	}
}

// RecordServerError records a 5xx response: the server is alive, but several in a row eject it.
func (d *Detector) RecordServerError(now time.Duration) {
	d.consecutiveFailures, d.consecutiveBroken = 0, 0
	if d.consecutiveServerErrors++; d.consecutiveServerErrors >= maxConsecutiveServerErrors {
		d.ejectedUntil = max(d.ejectedUntil, now+baseEjectionTime)
	} else {
		d.ejectedUntil = 0
	}
}
