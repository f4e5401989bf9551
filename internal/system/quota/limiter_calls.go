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
	// tokenRetryDelay is for how long no tokens are requested after a reply with too few of them, or after a failed call.
	tokenRetryDelay = 100 * time.Millisecond
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
	inFlight  bool
	sentAt    time.Duration  // when the newest call was sent
	renewedAt time.Duration  // when all tenants were last checked for renewal
	named     []*tenantState // tenants named by the call in flight
	wanted    []*tenantState // tenants whose calls do not wait for the next renewal
	wantedAt  time.Duration  // earliest time of those calls
	announces bool           // calls are made even if there is nothing to report
	complete  bool           // the newest call named every tenant of which a share is held
	reportAll bool           // the next call must name every tenant of which a share is held

	sendTimes map[uint64]time.Duration // sending times of all calls, only kept for TestingKnobs.AcceptOldReplies
}

// scheduleCall schedules a call that names a tenant, no earlier than at. It reports whether the schedule
// has changed: false if such a call is already scheduled for that time or an earlier one.
func (c *callSchedule) scheduleCall(state *tenantState, at time.Duration) bool {
	if state.wanted && state.wantedAt <= at {
		return false
	}
	if len(c.wanted) == 0 || at < c.wantedAt {
		c.wantedAt = at
	}
	if !state.wanted {
		c.wanted = append(c.wanted, state)
	}
	state.wanted, state.wantedAt = true, at
	return true
}

// takeDue removes and returns the tenants whose scheduled calls are due.
func (c *callSchedule) takeDue(now time.Duration) []*tenantState {
	var due, later []*tenantState
	for _, state := range c.wanted {
		if state.wantedAt <= now {
			state.wanted = false
			due = append(due, state)
		} else {
			later = append(later, state)
		}
	}
	c.wanted = nil
	for _, state := range later {
		state.wanted = false
		c.scheduleCall(state, state.wantedAt)
	}
	return due
}

// NextCall returns the earliest time at which NextRequest may return a request or Expire a resolution, and
// false if neither will before another method is called. It returns now for anything that is overdue.
func (l *Limiter) NextCall(now time.Duration) (at time.Duration, scheduled bool) {
	at = math.MaxInt64
	if len(l.waiters.waiters) > 0 {
		at = l.waiters.waiters[0].deadline
	}
	if !l.calls.inFlight && !l.hasLeft {
		at = min(at, l.nextSendTime())
	}
	return max(at, now), at != math.MaxInt64
}

// nextSendTime returns when the next call may be due.
func (l *Limiter) nextSendTime() time.Duration {
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
	if l.hasLeft || l.calls.inFlight || l.now < l.nextSendTime() {
		return LeaseRequest{}, false
	}
	named := l.calls.takeDue(l.now)
	if l.now >= l.calls.renewedAt+renewInterval {
		named = append(named, l.dueForRenewal(named)...)
	}
	if l.calls.reportAll {
		named = append(named, l.unnamedWithShare(named)...)
	}
	announces := l.calls.announces && l.now >= l.nextAnnouncement()
	if len(named) == 0 && !announces && !l.calls.reportAll {
		return LeaseRequest{}, false
	}
	slices.SortFunc(named, func(a, b *tenantState) int { return cmp.Compare(a.tenant, b.tenant) })
	return l.send(named), true
}

// dueForRenewal returns the tenants, other than those already named, that are due to
// be reported to the allocator. It deletes those that have neither demand nor a lease.
func (l *Limiter) dueForRenewal(named []*tenantState) []*tenantState {
	l.calls.renewedAt = l.now
	already := tenantSet(named)
	var due []*tenantState
	for name, state := range l.tenants {
		state.advance(l, state.limit)
		switch {
		case already[state]:
		case state.idle(l.now):
			delete(l.tenants, name)
		case state.dueForRenewal(l.now):
			due = append(due, state)
		}
	}
	return due
}

// unnamedWithShare returns the tenants of which a share is held, except for those already named.
func (l *Limiter) unnamedWithShare(named []*tenantState) []*tenantState {
	already := tenantSet(named)
	var unnamed []*tenantState
	for _, state := range l.tenants {
		state.advance(l, state.limit)
		if !state.share.IsZero() && !already[state] {
			unnamed = append(unnamed, state)
		}
	}
	return unnamed
}

// isCallComplete reports whether the call in flight names every tenant of which a share is held.
func (l *Limiter) isCallComplete() bool {
	for _, state := range l.tenants {
		state.advance(l, state.limit)
		if !state.share.IsZero() && !state.inCall {
			return false
		}
	}
	return true
}

func tenantSet(states []*tenantState) map[*tenantState]bool {
	set := make(map[*tenantState]bool, len(states))
	for _, state := range states {
		set[state] = true
	}
	return set
}

// idle reports whether the record of the tenant can be deleted.
func (t *tenantState) idle(now time.Duration) bool {
	return t.share.IsZero() && t.waiting == 0 && !t.wanted && !t.unconfirmed && t.demand.hasStopped(now)
}

// dueForRenewal reports whether the tenant is due to be reported to the allocator.
func (t *tenantState) dueForRenewal(now time.Duration) bool {
	if t.unconfirmed || t.share.IsZero() || now >= t.reportedAt+reportAge || t.demand.hasStopped(now) {
		return true
	}
	change := math.Abs(t.demand.perSecond(now) - t.reportedRate)
	return change > reportChange*t.reportedRate+reportChangeOfLimit*t.limit.RatePerSecond
}

// send returns the request of a call that names the given tenants, and marks that call as in flight.
func (l *Limiter) send(named []*tenantState) LeaseRequest {
	l.calls.sequence++
	l.calls.inFlight, l.calls.sentAt, l.calls.named = true, l.now, named
	if l.options.Knobs.AcceptOldReplies {
		l.recordSendTime()
	}
	request := LeaseRequest{Limiter: l.options.ID, Sequence: l.calls.sequence, Demands: make([]Demand, 0, len(named))}
	for _, state := range named {
		demand := state.demandReport(l)
		state.reportedAt, state.reportedRate = l.now, demand.RatePerSecond
		state.waitingAtCall, state.inCall, state.unconfirmed = demand.Waiting, true, false
		request.Demands = append(request.Demands, demand)
	}
	l.calls.complete, l.calls.reportAll = l.isCallComplete(), false
	request.Complete = l.calls.complete
	return request
}

func (l *Limiter) recordSendTime() {
	if l.calls.sendTimes == nil {
		l.calls.sendTimes = map[uint64]time.Duration{}
	}
	l.calls.sendTimes[l.calls.sequence] = l.now
}

// Fail reports that the call with the given sequence got no reply in time, or that
// there was no allocator to send it to. A reply that arrives later is ignored.
func (l *Limiter) Fail(now time.Duration, sequence uint64) []Resolution {
	l.advance(now)
	if l.calls.inFlight && sequence == l.calls.sequence {
		l.endCall()
	}
	return l.Expire(now)
}

// endCall ends the call in flight. Tenants that it named and that got no grant are named again by a later call.
func (l *Limiter) endCall() {
	named := l.calls.named
	l.calls.inFlight, l.calls.named = false, nil
	for _, state := range named {
		if !state.inCall {
			continue
		}
		state.inCall = false
		state.unconfirmed = true
		if state.waiting > 0 {
			state.overLimit = false
			state.nextTokenRequestAt = l.now + tokenRetryDelay
			l.calls.scheduleCall(state, state.nextTokenRequestAt)
		}
	}
}
