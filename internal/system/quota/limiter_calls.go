package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	renewInterval   = 500 * time.Millisecond
	minCallInterval = 20 * time.Millisecond
	// announceInterval is the maximum time between two calls of a limiter that announces itself.
	announceInterval = time.Second
	// askPause is for how long no tokens are requested after a reply with too few of them, or after a failed call.
	askPause = 100 * time.Millisecond
	// reportAge is the time after which a lease is renewed although nothing has changed: three tenths of DefaultTTL.
	reportAge = 3 * DefaultTTL / 10
	// A change of demand is reported before reportAge if it exceeds reportChange
	// of the last reported demand plus reportChangeOfLimit of the limit.
	reportChange        = 0.25
	reportChangeOfLimit = 0.02
)

// callSchedule holds when a limiter makes its next call, and the state of the call in flight.
type callSchedule struct {
	sequence  uint64 // number of the newest call
	underWay  bool
	sentAt    time.Duration // when the newest call was sent
	renewedAt time.Duration // when all tenants were last checked for renewal
	named     []*lease      // tenants named by the call in flight
	wanted    []*lease      // tenants whose calls do not wait for the next renewal
	wantedAt  time.Duration // earliest time of those calls
	announces bool          // calls are made even if there is nothing to report
	complete  bool          // the newest call named every tenant of which a share is held
	reportAll bool          // the next call must name every tenant of which a share is held

	earlier map[uint64]time.Duration // sending times of all calls, only kept for TestingKnobs.AcceptOldReplies
}

// wantAt schedules a call that names a tenant, no earlier than at. It reports whether the schedule
// has changed: false if such a call is already scheduled for that time or an earlier one.
func (c *callSchedule) wantAt(held *lease, at time.Duration) bool {
	if held.wanted && held.wantedAt <= at {
		return false
	}
	if len(c.wanted) == 0 || at < c.wantedAt {
		c.wantedAt = at
	}
	if !held.wanted {
		c.wanted = append(c.wanted, held)
	}
	held.wanted, held.wantedAt = true, at
	return true
}

// takeWanted removes and returns the tenants whose scheduled calls are due.
func (c *callSchedule) takeWanted(now time.Duration) []*lease {
	var due, later []*lease
	for _, held := range c.wanted {
		if held.wantedAt <= now {
			held.wanted = false
			due = append(due, held)
		} else {
			later = append(later, held)
		}
	}
	c.wanted = nil
	for _, held := range later {
		held.wanted = false
		c.wantAt(held, held.wantedAt)
	}
	return due
}

// NextCall returns the earliest time at which NextRequest may return a request or Expire a resolution, and
// false if neither will before another method is called. It returns now for anything that is overdue.
func (l *Limiter) NextCall(now time.Duration) (at time.Duration, scheduled bool) {
	at = math.MaxInt64
	if len(l.waiters.waiters) > 0 {
		at = l.waiters.waiters[0].until
	}
	if !l.calls.underWay && !l.left {
		at = min(at, l.nextSending())
	}
	return max(at, now), at != math.MaxInt64
}

// nextSending returns when the next call may be due.
func (l *Limiter) nextSending() time.Duration {
	at := time.Duration(math.MaxInt64)
	if len(l.tenants) > 0 {
		at = l.calls.renewedAt + renewInterval
	}
	if len(l.calls.wanted) > 0 {
		at = min(at, l.calls.wantedAt)
	}
	if l.calls.announces {
		at = min(at, l.nextAnnouncement())
	}
	if l.calls.reportAll {
		at = l.now
	}
	if l.calls.sequence == 0 || at == math.MaxInt64 {
		return at
	}
	return max(at, l.calls.sentAt+minCallInterval)
}

// Announce makes the limiter call, while on, at least every announceInterval (1 s), and immediately
// if it has not called yet: an allocator that resumes its role waits for the limiters that it knew.
func (l *Limiter) Announce(on bool) { l.calls.announces = on }

// nextAnnouncement returns when a call is due even if there is nothing to report.
func (l *Limiter) nextAnnouncement() time.Duration {
	if l.calls.sequence == 0 {
		return l.now
	}
	return l.calls.sentAt + announceInterval
}

// NextRequest returns the request that is due, if any. It counts as sent at now, so the driver must read
// now before it sends the request. No further request is due until Receive or Fail reports the outcome.
func (l *Limiter) NextRequest(now time.Duration) (request LeaseRequest, due bool) {
	l.advance(now)
	if l.left || l.calls.underWay || l.now < l.nextSending() {
		return LeaseRequest{}, false
	}
	named := l.calls.takeWanted(l.now)
	if l.now >= l.calls.renewedAt+renewInterval {
		named = append(named, l.dueForRenewal(named)...)
	}
	if l.calls.reportAll {
		named = append(named, l.unnamedHeld(named)...)
	}
	announces := l.calls.announces && l.now >= l.nextAnnouncement()
	if len(named) == 0 && !announces && !l.calls.reportAll {
		return LeaseRequest{}, false
	}
	slices.SortFunc(named, func(a, b *lease) int { return cmp.Compare(a.tenant, b.tenant) })
	return l.send(named), true
}

// dueForRenewal returns the tenants, other than those already named, that are due to
// be reported to the allocator. It deletes those that have neither demand nor a lease.
func (l *Limiter) dueForRenewal(named []*lease) []*lease {
	l.calls.renewedAt = l.now
	already := leaseSet(named)
	var due []*lease
	for name, held := range l.tenants {
		held.advance(l, held.limit)
		switch {
		case already[held]:
		case held.idle(l.now):
			delete(l.tenants, name)
		case held.dueForRenewal(l.now):
			due = append(due, held)
		}
	}
	return due
}

// unnamedHeld returns the tenants of which a share is held, except for those already named.
func (l *Limiter) unnamedHeld(named []*lease) []*lease {
	already := leaseSet(named)
	var unnamed []*lease
	for _, held := range l.tenants {
		held.advance(l, held.limit)
		if !held.share.IsZero() && !already[held] {
			unnamed = append(unnamed, held)
		}
	}
	return unnamed
}

// namesAllHeld reports whether the call in flight names every tenant of which a share is held.
func (l *Limiter) namesAllHeld() bool {
	for _, held := range l.tenants {
		held.advance(l, held.limit)
		if !held.share.IsZero() && !held.inCall {
			return false
		}
	}
	return true
}

func leaseSet(leases []*lease) map[*lease]bool {
	set := make(map[*lease]bool, len(leases))
	for _, held := range leases {
		set[held] = true
	}
	return set
}

// idle reports whether the record of the tenant can be deleted.
func (h *lease) idle(now time.Duration) bool {
	return h.share.IsZero() && h.waiting == 0 && !h.wanted && !h.unconfirmed && h.demand.gone(now)
}

// dueForRenewal reports whether the tenant is due to be reported to the allocator.
func (h *lease) dueForRenewal(now time.Duration) bool {
	if h.unconfirmed || h.share.IsZero() || now >= h.reportedAt+reportAge || h.demand.gone(now) {
		return true
	}
	change := math.Abs(h.demand.perSecond(now) - h.reportedRate)
	return change > reportChange*h.reportedRate+reportChangeOfLimit*h.limit.RatePerSecond
}

// send returns the request of a call that names the given tenants, and marks that call as in flight.
func (l *Limiter) send(named []*lease) LeaseRequest {
	l.calls.sequence++
	l.calls.underWay, l.calls.sentAt, l.calls.named = true, l.now, named
	if l.options.Knobs.AcceptOldReplies {
		l.rememberSending()
	}
	request := LeaseRequest{Limiter: l.options.ID, Sequence: l.calls.sequence, Demands: make([]Demand, 0, len(named))}
	for _, held := range named {
		demand := held.demandLine(l)
		held.reportedAt, held.reportedRate = l.now, demand.RatePerSecond
		held.asked, held.inCall, held.unconfirmed = demand.Waiting, true, false
		request.Demands = append(request.Demands, demand)
	}
	l.calls.complete, l.calls.reportAll = l.namesAllHeld(), false
	request.Complete = l.calls.complete
	return request
}

func (l *Limiter) rememberSending() {
	if l.calls.earlier == nil {
		l.calls.earlier = map[uint64]time.Duration{}
	}
	l.calls.earlier[l.calls.sequence] = l.now
}

// Fail reports that the call with the given sequence got no reply in time, or that
// there was no allocator to send it to. A reply that arrives later is ignored.
func (l *Limiter) Fail(now time.Duration, sequence uint64) []Resolution {
	l.advance(now)
	if l.calls.underWay && sequence == l.calls.sequence {
		l.endCall()
	}
	return l.Expire(now)
}

// endCall ends the call in flight. Tenants that it named and that got no grant are named again by a later call.
func (l *Limiter) endCall() {
	named := l.calls.named
	l.calls.underWay, l.calls.named = false, nil
	for _, held := range named {
		if !held.inCall {
			continue
		}
		held.inCall = false
		held.unconfirmed = true
		if held.waiting > 0 {
			held.overLimit = false
			held.askAgainAt = l.now + askPause
			l.calls.wantAt(held, held.askAgainAt)
		}
	}
}
