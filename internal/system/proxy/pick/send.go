package pick

import "time"

const (
	// indexedMemoryShare is the fraction of a server's memory that is assumed to cache prefixes.
	indexedMemoryShare = 0.7
	// plainOverdueFactor is the number of average service times after which the response of a server without an engine is overdue.
	plainOverdueFactor = 4

	minFullTime = 200 * time.Millisecond // a server that reported that it is full is avoided for at least this long
	maxFullTime = 500 * time.Millisecond // and at most this long
)

// send registers an attempt at the target, which has the estimated cost, and completes the result.
func (p *Picker) send(input *pickInput, result Result, target *server, estimated cost) Result {
	now, r := input.now, input.request
	started := p.attempts.start(now, r, target)
	target.outlier.StartAttempt(started.ticket)
	p.checkEligibility(r, target)
	if target.warmingUp(now) && target.warmUpRate() > 0 {
		result.SendWithin = warmUpSendTimeout
	}
	p.warmUps.recordSend(now, target)
	if r.countedAttempts > 0 {
		started.isRetry = true
		target.group.budget.RecordRetry(now, 1)
	}
	r.countedAttempts++
	target.load.own.Requests++
	target.idle.acquire(now, target.group.idleTimeout)
	if target.group.engine() != nil {
		started.expectedAt = now + durationMS(estimated.firstEventMS)
		p.recordPrefill(input, started)
	} else {
		started.expectedAt = now + durationMS(estimated.firstEventMS+plainOverdueFactor*target.group.serviceTimeMS)
	}
	target.pending.add(started)
	result.Decision, result.Server, result.Ticket = Send, target.Server, started.ticket
	return result
}

// recordPrefill records the work and memory that an attempt adds at a model server, and that its prompt is cached there from now on.
func (p *Picker) recordPrefill(input *pickInput, a *attempt) {
	r, s := input.request, a.server
	lookup := &p.scratch.lookup
	p.prefixes.Find(input.prompt, lookup)
	tokensIn := max(r.TokensIn, 0)
	cachedTokens := min(lookup.CachedTokens(&s.prefixes), tokensIn)
	a.prefillTokens = int64(tokensIn - cachedTokens)
	a.memoryTokens = a.prefillTokens + int64(max(r.MaxTokensOut, 0))
	serverIdle := s.load.own.Prefill == 0 && s.load.peers.Prefill == 0
	a.measuresRate = serverIdle && cachedTokens == 0 && a.prefillTokens >= minSampleTokens && !s.warmingUp(input.now)
	s.group.demand.Add(input.now, p.isLongPrompt(tokensIn), a.prefillTokens)
	s.load.own.Prefill += a.prefillTokens
	s.load.own.Tokens += a.memoryTokens
	p.prefixes.Record(&s.prefixes, input.prompt, int64(indexedMemoryShare*float64(s.group.engine().CacheTokens)))
}

// ResponseStarted records that the head of a response has arrived: the server is alive.
func (p *Picker) ResponseStarted(now Time, ticket uint64) {
	a := p.attempts.byTicket[ticket]
	if a == nil {
		return
	}
	p.recordReachable(now, a.server)
	a.server.outlier.RecordResponse(a.ticket)
	if a.server.group.engine() == nil {
		a.endPending()
	}
}

// FirstEvent records that the first event of a stream has arrived, so its prompt is prefilled and cached at the server.
func (p *Picker) FirstEvent(now Time, ticket uint64) {
	a := p.attempts.byTicket[ticket]
	if a == nil || !a.isPending {
		return
	}
	a.endPending()
	p.recordReachable(now, a.server)
	a.server.outlier.RecordResponse(a.ticket)
	if a.measuresRate {
		p.observePrefill(now, a)
	}
}

// Done ends an attempt. retryAfter is the value of the server's Retry-After, 0
// if there was none. Done ignores a ticket that is unknown or already ended.
func (p *Picker) Done(now Time, ticket uint64, outcome AttemptOutcome, retryAfter time.Duration) {
	ended := p.attempts.byTicket[ticket]
	if ended == nil {
		return
	}
	delete(p.attempts.byTicket, ticket)
	ended.endPending()
	ended.server.load.own.Requests--
	ended.server.load.own.Tokens -= ended.memoryTokens
	wasProbe := ended.server.outlier.EndAttempt(ticket)
	switch outcome {
	case Served:
		p.recordServed(now, ended)
	case NotExecuted:
		p.recordNotExecuted(now, ended.server, retryAfter)
	case Misdirected:
		ended.server.misdirected, ended.server.misdirectedAt = true, now
		p.prefixes.RemoveServer(&ended.server.prefixes)
	case ConnectFailed:
		ended.recordNoAnswer(now)
		ended.recordNotSent(now)
	case TimedOut:
		ended.recordNoAnswer(now)
	case ConnectionLost:
		ended.server.outlier.RecordBroken(now, wasProbe)
	case ServerError:
		ended.server.outlier.RecordServerError(now)
	case Canceled:
	}
	p.attempts.release(ended)
}

// recordServed records a complete response.
func (p *Picker) recordServed(now Time, a *attempt) {
	s := a.server
	s.idle.release(now)
	p.recordReachable(now, s)
	s.outlier.RecordSuccess()
	s.group.observeServiceTime(ms(now - a.sentAt))
	s.group.observeServed()
}

// recordNotExecuted records that a server rejected a request because it was full.
func (p *Picker) recordNotExecuted(now Time, s *server, retryAfter time.Duration) {
	s.idle.release(now)
	p.recordReachable(now, s)
	s.outlier.RecordRejection()
	s.group.observeFull(s.load.requests(now, p.peerLoadsAt), s.slots())
	s.fullUntil = now + min(max(retryAfter, minFullTime), maxFullTime)
}

// recordNoAnswer records that no response came back: idle connections to the server are likely broken, too.
func (a *attempt) recordNoAnswer(now Time) {
	a.server.idle = idleConns{}
	a.server.outlier.RecordFailure(now)
}

// recordNotSent reverts the counts of an attempt that never reached its server.
func (a *attempt) recordNotSent(now Time) {
	a.request.countedAttempts--
	if a.isRetry {
		a.server.group.budget.RecordRetry(now, -1)
	}
}

// recordReachable records that s has responded. If neither s nor the control
// plane could be reached before, s may have begun to warm up unnoticed.
func (p *Picker) recordReachable(now Time, s *server) {
	if s.outlier.Unreachable() && p.state.Stale {
		p.warmUps.paceUntilConfirmed(now, s)
	}
}
