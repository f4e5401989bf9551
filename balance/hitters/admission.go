package hitters

import "time"

const (
	// growthFactor and backoffFactor are the multiples of the served work that are admitted next.
	growthFactor  = 1.01
	backoffFactor = 0.95
	// servedThreshold is the share of the admitted work; if less is served, some of the admitted work was not
	// served.
	servedThreshold = 0.99
	// riseRate and fallRate are the fractions of the difference by which the capacity estimate moves in a
	// window.
	riseRate = 0.25
	fallRate = 0.02
	// usedThreshold is the share of the capacity below which some of it counts as unused. fillRate is the share
	// of the unused capacity that is admitted in addition.
	usedThreshold = 0.9
	fillRate      = 0.2
	// minAdmittedFraction is the minimum that a heavy client keeps, as a fraction of the low threshold's share
	// of the supply.
	minAdmittedFraction = 0.1
	// minRetryDelay is the minimum time that a rejected client waits. A random part of up to the same length is
	// added.
	minRetryDelay = time.Second
)

// fibonacciFactor spreads keys over 64 bits (Fibonacci hashing: Knuth, The Art of Computer Programming, 6.4).
const fibonacciFactor = 0x9e3779b97f4a7c15

// setAdmittedShares sets the share of its requests that each heavy client keeps while servers are full, by
// max-min fairness over the servers' work. Clients without a tally ask for less than the level.
func (d *Detector) setAdmittedShares(f fleet, tallies []tally) {
	others, admitted := d.demand(f, tallies)
	supply := d.supply(float64(f.served), admitted)
	// The minimum applies if a reported total is wrong or the other clients ask for everything. Heavy clients
	// would otherwise get nothing.
	level := max(maxMin(supply-max(others, 0), tallies), minAdmittedFraction*d.settings.LowThreshold*supply)
	for _, t := range tallies {
		c := d.client(t.key)
		c.AdmittedShare = min(1, level/max(float64(t.total), 1))
		c.rejecting = c.rejecting && c.AdmittedShare < 1
	}
}

// demand returns the work that clients without a tally ask for, and the work that all clients ask for minus
// what is rejected while servers are full.
func (d *Detector) demand(f fleet, tallies []tally) (others, admitted float64) {
	others, admitted = float64(f.total), float64(f.total)
	for _, t := range tallies {
		others -= float64(t.total)
		if c := d.heavyClient(t.key); c != nil {
			admitted -= float64(t.total) * (1 - c.AdmittedShare)
		}
	}
	return others, admitted
}

// supply returns the work that may be admitted next. If no more than the work served now were ever admitted,
// that work could only fall, and refusals for other reasons would leave nothing to heavy clients. So a little
// more is admitted each time, a little less only while some of the admitted work is not served, and more
// again if servers do less work than before.
func (d *Detector) supply(served, admitted float64) float64 {
	supply := served * growthFactor
	if served < admitted*servedThreshold {
		supply = served * backoffFactor
	}
	d.capacity += max(riseRate*(supply-d.capacity), fallRate*(supply-d.capacity))
	d.unusedCapacity = max(0, d.unusedCapacity+fillRate*(usedThreshold*d.capacity-served))
	return supply + d.unusedCapacity
}

// ShouldReject reports whether a request of a heavy client is to be rejected in favour of other clients
// because servers are full, and after what time the client may retry. The time varies so that clients do not
// return together. Rejecting a client's requests can by itself make servers less than full, so the rejections
// continue until there is capacity for all of the client's requests.
func (d *Detector) ShouldReject(
	now Time, full bool, key, request uint64,
) (wait time.Duration, rejected bool) {
	c := d.heavyClient(key)
	if c == nil || now-d.current.startedAt > d.settings.ReportTTL { // e.g. after this process was paused
		return 0, false
	}
	c.rejecting = c.rejecting || full
	if !c.rejecting {
		return 0, false
	}
	c.credit += c.AdmittedShare
	if c.credit >= 1 {
		c.credit--
		return 0, false
	}
	d.rejected++
	return minRetryDelay + d.retrySpread(key, request), true
}

// retrySpread returns a time from 0 to less than minRetryDelay that differs between requests.
func (d *Detector) retrySpread(key, request uint64) time.Duration {
	hash := (request ^ key ^ d.settings.Origin) * fibonacciFactor
	return time.Duration(float64(hash>>11) / (1 << 53) * float64(minRetryDelay))
}
