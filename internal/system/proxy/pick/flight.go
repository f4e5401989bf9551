package pick

import (
	"time"

	"gradeusher.example/gradeusher/internal/system/proxy/pick/prefixcache"
)

const (
	indexedMemoryShare = 0.7                    // of a server's memory that is estimated to cache parts
	minFullTime        = 200 * time.Millisecond // a server that said it is full is spared this long
	maxFullTime        = 500 * time.Millisecond
	plainOverdueFactor = 4 // an answer without a prompt is overdue after this many usual times
)

// send registers r's way to s and makes the verdict.
func (p *Picker) send(now Time, c Result, r *Request, s *server, at cost, prompt *prefixcache.Chain) Result {
	f := p.freeAttempts
	if f == nil {
		f = &attempt{}
	} else {
		p.freeAttempts = f.next
		*f = attempt{}
	}
	p.lastTicket++
	f.ticket, f.server, f.request, f.sentAt = p.lastTicket, s, r, now
	p.attempts[f.ticket] = f
	s.outlier.StartAttempt(f.ticket)
	p.checkEligibility(r, s)
	if s.warmingUp(now) && s.warmUpRate() > 0 {
		c.SendWithin = warmUpSendTimeout
	}
	p.warmUps.recordSend(now, s)
	if r.arrived > 0 {
		f.isRetry = true
		s.group.budget.RecordRetry(now, 1)
	}
	r.arrived++
	s.ownLoad.Requests++
	s.idle.take(now, s.group.idleTimeout)
	if e := s.group.service.Engine; e != nil {
		w := &p.costModel
		*w = costModel{tokensIn: max(r.TokensIn, 0)}
		p.prefixes.Find(prompt, &w.cached)
		kept := w.cachedTokens(s)
		f.prefillTokens = int64(w.tokensIn - kept)
		s.group.demand.Add(now, p.isLongPrompt(w.tokensIn), f.prefillTokens)
		f.memoryTokens = f.prefillTokens + int64(max(r.MaxTokensOut, 0))
		f.measuresRate = kept == 0 && s.ownLoad.Prefill == 0 && s.peerLoad.Prefill == 0 && f.prefillTokens >= 1000 && !s.warmingUp(now)
		f.expectedAt = now + durationMS(at.firstEvent)
		s.ownLoad.Prefill += f.prefillTokens
		s.ownLoad.Tokens += f.memoryTokens
		p.prefixes.Record(&s.prefixes, prompt, int64(indexedMemoryShare*float64(e.CacheTokens)))
	} else {
		f.expectedAt = now + durationMS(at.firstEvent+plainOverdueFactor*s.group.serviceTimeMS)
	}
	f.pending = true
	s.addPending(f)
	c.Verdict, c.Server, c.Ticket = Send, s.Server, f.ticket
	return c
}

// addPending appends f to the sends whose first event is awaited.
func (s *server) addPending(f *attempt) {
	f.prev, f.next = s.newestPending, nil
	if s.newestPending != nil {
		s.newestPending.next = f
	} else {
		s.oldestPending = f
	}
	s.newestPending = f
}

// endPending takes f off the sends whose first event is awaited.
func (f *attempt) endPending() {
	if !f.pending {
		return
	}
	f.pending = false
	s := f.server
	s.ownLoad.Prefill -= f.prefillTokens
	if f.prev != nil {
		f.prev.next = f.next
	} else {
		s.oldestPending = f.next
	}
	if f.next != nil {
		f.next.prev = f.prev
	} else {
		s.newestPending = f.prev
	}
	f.prev, f.next = nil, nil
}

// Started tells that the head of an answer has come: the server lives.
func (p *Picker) Started(now Time, ticket uint64) {
	if f := p.attempts[ticket]; f != nil {
		p.recordReachable(now, f.server)
		f.server.outlier.RecordResponse(f.ticket)
		if e := f.server.group.service; e == nil || e.Engine == nil {
			f.endPending()
		}
	}
}

// recordReachable takes note that s has answered. Where it could not be recordReachable before, and no keeper either, it may have turned cold unseen.
func (p *Picker) recordReachable(now Time, s *server) {
	if s.outlier.Unreachable() && p.state.Stale {
		p.warmUps.paceUntilConfirmed(now, s)
	}
}

// FirstEvent tells that the first event of a stream has come, so its prompt is read and kept there.
func (p *Picker) FirstEvent(now Time, ticket uint64) {
	f := p.attempts[ticket]
	if f == nil || !f.pending {
		return
	}
	f.endPending()
	s := f.server
	p.recordReachable(now, s)
	s.outlier.RecordResponse(f.ticket)
	if !f.measuresRate {
		return
	}
	took := ms(now-f.sentAt) - ms(p.settings.StepTime) - p.roundTrip(s)
	if took <= 1 {
		return
	}
	n := float64(f.prefillTokens)
	rate := n / max(took-n*n/2e6*attentionMSPerMillionPairs, took/3)
	if rate > 4*p.prefillRate.tokensPerMS { // another proxy had it read there: this tells nothing of the rate
		return
	}
	p.prefillRate.observe(rate)
	if want := min(max(rate/p.prefillRate.tokensPerMS, 0.4), 1.5); want > s.relativeSpeed {
		s.relativeSpeed *= 1.03
	} else {
		s.relativeSpeed /= 1.03
	}
}

// Done ends a send. retryAfter is what the server's Retry-After told, 0 if nothing. A ticket that is not known, or was
// ended before, does nothing.
func (p *Picker) Done(now Time, ticket uint64, o Outcome, retryAfter time.Duration) {
	f := p.attempts[ticket]
	if f == nil {
		return
	}
	delete(p.attempts, ticket)
	s, g := f.server, f.server.group
	f.endPending()
	s.ownLoad.Requests--
	s.ownLoad.Tokens -= f.memoryTokens
	wasProbe := s.outlier.EndAttempt(ticket)
	switch o {
	case Served:
		s.idle.put(now)
		p.recordReachable(now, s)
		s.outlier.RecordSuccess()
		g.serviceTimeMS += (min(ms(now-f.sentAt), 10*g.serviceTimeMS+100) - g.serviceTimeMS) / 32
		g.capacityPerSlot = min(g.capacityPerSlot+capacityIncrement, maxCapacityPerSlot)
	case NotExecuted:
		s.idle.put(now)
		p.recordReachable(now, s)
		s.outlier.RecordRejection()
		g.capacityPerSlot = max(minCapacityPerSlot, min(g.capacityPerSlot, float64(s.load(now, p.peerLoadsAt))/float64(s.slots())))
		s.fullUntil = now + min(max(retryAfter, minFullTime), maxFullTime)
	case Misdirected:
		s.misdirected, s.misdirectedAt = true, now
		p.prefixes.RemoveServer(&s.prefixes)
	case ConnectFailed:
		s.idle = idleConns{}
		s.outlier.RecordFailure(now)
		f.request.arrived--
		if f.isRetry {
			g.budget.RecordRetry(now, -1)
		}
	case TimedOut:
		s.idle = idleConns{}
		s.outlier.RecordFailure(now)
	case ConnectionLost:
		s.outlier.RecordBroken(now, wasProbe)
	case ServerError:
		s.outlier.RecordServerError(now)
	case Canceled:
	}
	*f = attempt{next: p.freeAttempts}
	p.freeAttempts = f
}
