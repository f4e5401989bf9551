package pick

import "time"

const (
	fullLeast      = 200 * time.Millisecond // a server that said it is full is spared this long
	fullMost       = 500 * time.Millisecond
	newSenderDelay = time.Second // a new holder of a cold server waits until others send as its holders, too
	// successorDelay is longer than a proxy that others have given up goes on as a holder: it is Stale 1.6 s after a keeper's
	// last word (distribution.FreshnessTTL).
	successorDelay             = 1800 * time.Millisecond
	maxConsecutiveBroken       = 2 // answers that broke off in a row before a server is doubted
	maxConsecutiveServerErrors = 5 // 5xx in a row before it is
	plainOverdueFactor         = 4 // an answer without a prompt is overdue after this many usual times
)

// send registers r's way to s and makes the verdict.
func (p *Picker) send(now Time, c Choice, r *Request, s *server, at cost, prompt *prefixChain) Choice {
	f := p.free
	if f == nil {
		f = &send{}
	} else {
		p.free = f.next
		*f = send{}
	}
	p.ticket++
	f.ticket, f.server, f.request, f.at = p.ticket, s, r, now
	p.sends[f.ticket] = f
	if s.suspected() && s.probe == nil {
		s.probe = f
	}
	p.checkEligibility(r, s)
	if s.warmingUp(now) && s.warmUpRate() > 0 {
		c.SendWithin = warmUpSendTimeout
	}
	p.recordWarmUpSend(now, s)
	if r.arrived > 0 {
		f.charged = true
		s.group.budget.repeat(now, 1)
	}
	r.arrived++
	s.own.Requests++
	s.kept.take(now, s.group.keptFor)
	if e := s.group.service.Engine; e != nil {
		w := &p.costModel
		*w = costModel{prompt: prompt, tokensIn: max(r.TokensIn, 0)}
		for i := range prompt.n {
			w.holders[i] = p.prefixes.byKey[prompt.keys[i]]
		}
		kept := w.cachedTokens(s)
		f.prefill = int64(w.tokensIn - kept)
		s.group.demand.add(now, p.isLongPrompt(w.tokensIn), f.prefill)
		f.tokens = f.prefill + int64(max(r.TokensOut, 0))
		f.alone = kept == 0 && s.own.Prefill == 0 && s.others.Prefill == 0 && f.prefill >= 1000 && !s.warmingUp(now)
		f.due = now + span(at.firstEvent)
		s.own.Prefill += f.prefill
		s.own.Tokens += f.tokens
		p.prefixes.record(s, prompt, int64(indexedMemoryShare*float64(e.CacheTokens)))
	} else {
		f.due = now + span(at.firstEvent+plainOverdueFactor*s.group.serviceTime)
	}
	f.pending = true
	s.await(f)
	c.Verdict, c.Server, c.Ticket = Send, s.Server, f.ticket
	return c
}

// await appends f to the sends whose first event is awaited.
func (s *server) await(f *send) {
	f.prev, f.next = s.last, nil
	if s.last != nil {
		s.last.next = f
	} else {
		s.first = f
	}
	s.last = f
}

// settle takes f off the sends whose first event is awaited.
func (f *send) settle() {
	if !f.pending {
		return
	}
	f.pending = false
	s := f.server
	s.own.Prefill -= f.prefill
	if f.prev != nil {
		f.prev.next = f.next
	} else {
		s.first = f.next
	}
	if f.next != nil {
		f.next.prev = f.prev
	} else {
		s.last = f.prev
	}
	f.prev, f.next = nil, nil
}

// Connected tells that the ticket's request was written whole to a connection of its server.
func (p *Picker) Connected(now Time, ticket uint64) {}

// Started tells that the head of an answer has come: the server lives.
func (p *Picker) Started(now Time, ticket uint64) {
	if f := p.sends[ticket]; f != nil {
		p.recordReachable(now, f.server)
		f.server.recordResponse(f)
		if e := f.server.group.service; e == nil || e.Engine == nil {
			f.settle()
		}
	}
}

// recordReachable takes note that s has answered. Where it could not be recordReachable before, and no keeper either, it may have turned cold unseen.
func (p *Picker) recordReachable(now Time, s *server) {
	if s.consecutiveFailures > 0 && p.world.Stale {
		p.paceUntilConfirmed(now, s)
	}
}

// recordResponse ends the doubt in a server that has begun to answer f.
func (s *server) recordResponse(f *send) {
	if s.probe == f {
		s.probe = nil
	}
	s.consecutiveFailures, s.ejectedUntil = 0, 0
}

// FirstEvent tells that the first event of a stream has come, so its prompt is read and kept there.
func (p *Picker) FirstEvent(now Time, ticket uint64) {
	f := p.sends[ticket]
	if f == nil || !f.pending {
		return
	}
	f.settle()
	s := f.server
	p.recordReachable(now, s)
	s.recordResponse(f)
	if !f.alone {
		return
	}
	took := ms(now-f.at) - ms(p.set.StepTime) - p.roundTrip(s)
	if took <= 1 {
		return
	}
	n := float64(f.prefill)
	rate := n / max(took-n*n/2e6*attentionMSPerMillionPairs, took/3)
	if rate > 4*p.prefillRate.tokensPerMS { // another proxy had it read there: this tells nothing of the rate
		return
	}
	p.prefillRate.observe(rate)
	if want := min(max(rate/p.prefillRate.tokensPerMS, 0.4), 1.5); want > s.speed {
		s.speed *= 1.03
	} else {
		s.speed /= 1.03
	}
}

// Done ends a send. retryAfter is what the server's Retry-After told, 0 if nothing. A ticket that is not known, or was
// ended before, does nothing.
func (p *Picker) Done(now Time, ticket uint64, o Outcome, retryAfter time.Duration) {
	f := p.sends[ticket]
	if f == nil {
		return
	}
	delete(p.sends, ticket)
	s, g := f.server, f.server.group
	f.settle()
	s.own.Requests--
	s.own.Tokens -= f.tokens
	trial := s.probe == f
	if trial {
		s.probe = nil
	}
	switch o {
	case Served:
		s.kept.put(now)
		p.recordReachable(now, s)
		s.consecutiveServerErrors = 0
		s.recordSuccess()
		g.serviceTime += (min(ms(now-f.at), 10*g.serviceTime+100) - g.serviceTime) / 32
		g.room = min(g.room+roomGrow, roomMost)
	case NotExecuted:
		s.kept.put(now)
		p.recordReachable(now, s)
		s.recordSuccess()
		g.room = max(roomLeast, min(g.room, float64(s.load(now, p.othersAt))/float64(s.slots())))
		s.fullUntil = now + min(max(retryAfter, fullLeast), fullMost)
	case Misdirected:
		s.misdirected, s.misdirectedAt = true, now
		p.prefixes.removeServer(s)
	case ConnectFailed:
		s.kept = kept{}
		s.recordFailure(now)
		f.request.arrived--
		if f.charged {
			g.budget.repeat(now, -1)
		}
	case TimedOut:
		s.kept = kept{}
		s.recordFailure(now)
	case ConnectionLost:
		if s.consecutiveBroken++; s.consecutiveBroken >= maxConsecutiveBroken || trial {
			s.recordFailure(now)
		}
	case ServerError:
		s.consecutiveFailures, s.consecutiveBroken = 0, 0
		if s.consecutiveServerErrors++; s.consecutiveServerErrors >= maxConsecutiveServerErrors {
			s.ejectedUntil = max(s.ejectedUntil, now+baseEjectionTime)
		} else {
			s.ejectedUntil = 0
		}
	case Canceled:
	}
	*f = send{next: p.free}
	p.free = f
}
