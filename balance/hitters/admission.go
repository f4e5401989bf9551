package hitters

import "time"

const (
	// growthFactor and backoffFactor are the multiples of what is served that are admitted next.
	growthFactor  = 1.01
	backoffFactor = 0.95
	// servedThreshold is the share of what was admitted below which some of it was not served.
	servedThreshold = 0.99
	// riseRate and fallRate are the shares of its way that the known capacity moves in a window.
	riseRate = 0.25
	fallRate = 0.02
	// usedThreshold is the share of the capacity below which some is left unused; fillRate is the share of that
	// which is admitted besides.
	usedThreshold = 0.9
	fillRate      = 0.2
	// minAdmittedFraction is the share of the low threshold, of what is served, that is admitted at the worst.
	minAdmittedFraction = 0.1
	// minRetryDelay is how long a rejected client waits at the least, and as much more at random.
	minRetryDelay = time.Second
)

// fibonacciFactor spreads keys over 64 bits (Fibonacci hashing: Knuth, The Art of Computer Programming, 6.4).
const fibonacciFactor = 0x9e3779b97f4a7c15

// setAdmittedShares says which part of its requests a heavy client keeps while servers are full: what they do
// is shared by max-min. Clients without a tally ask for little: less than the level.
func (d *Detector) setAdmittedShares(f fleet, tallies []tally) {
	others, admitted := d.demand(f, tallies)
	supply := d.supply(float64(f.served), admitted)
	// By a total that is not true, or where the others ask for all, it would be left with nothing.
	level := max(maxMin(supply-max(others, 0), tallies), minAdmittedFraction*d.settings.LowThreshold*supply)
	for _, t := range tallies {
		c := d.client(t.key)
		c.AdmittedShare = min(1, level/max(float64(t.total), 1))
		c.rejecting = c.rejecting && c.AdmittedShare < 1
	}
}

// demand is what all but the clients with a tally ask for, and what all do less what is rejected while
// servers are full.
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

// supply is the work that may be admitted next. What is served now, if no more were ever admitted, would only
// fall; and what is refused for other reasons would take a heavy client's last. So a little more is admitted
// each time, a little less only while some of it is not served, and more again where servers do less than
// before.
func (d *Detector) supply(served, admitted float64) float64 {
	supply := served * growthFactor
	if served < admitted*servedThreshold {
		supply = served * backoffFactor
	}
	d.capacity += max(riseRate*(supply-d.capacity), fallRate*(supply-d.capacity))
	d.unusedCapacity = max(0, d.unusedCapacity+fillRate*(usedThreshold*d.capacity-served))
	return supply + d.unusedCapacity
}

// ShouldReject tells whether a request of a client is to be rejected for others, as servers are full, and
// after which time it may return. Clients that got the same time would return together. Servers are not full
// any more just because a client's requests are rejected; that goes on until there is capacity for all of
// them.
func (d *Detector) ShouldReject(
	now Time, full bool, key, request uint64,
) (wait time.Duration, rejected bool) {
	c := d.heavyClient(key)
	if c == nil || now-d.current.startedAt > d.settings.ReportTTL { // as after this process was paused
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

// retrySpread is a time from 0 to under minRetryDelay that differs between requests.
func (d *Detector) retrySpread(key, request uint64) time.Duration {
	hash := (request ^ key ^ d.settings.Origin) * fibonacciFactor
	return time.Duration(float64(hash>>11) / (1 << 53) * float64(minRetryDelay))
}
