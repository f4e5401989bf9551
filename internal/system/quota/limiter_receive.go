package quota

import "time"

// maxReplyAge is the age of a call beyond which its reply is not accepted. It is less than
// HandoverTime minus the time for which a former allocator's authority lasts (600 ms): if a call was
// sent before the former allocator saw the lease expire, the reply of its successor comes too late.
const maxReplyAge = 500 * time.Millisecond

// Receive processes the reply to the newest call, and ignores any other: an older
// reply could grant shares that the allocator has since counted as returned.
func (l *Limiter) Receive(now time.Duration, reply LeaseReply) []Resolution {
	l.advance(now)
	sentAt, expected := l.checkReply(reply)
	if !expected || l.hasLeft {
		return l.Expire(now)
	}
	l.calls.reportAll = reply.Learning && !l.calls.complete
	var resolutions []Resolution
	if !reply.Rejected {
		for _, grant := range reply.Grants {
			resolutions = append(resolutions, l.receiveGrant(grant, reply, sentAt)...)
		}
	}
	if l.calls.inFlight && reply.Sequence == l.calls.sequence {
		l.endCall()
	}
	return append(resolutions, l.Expire(now)...)
}

// checkReply returns the time from which the leases of a reply count, and whether the reply is accepted.
func (l *Limiter) checkReply(reply LeaseReply) (sentAt time.Duration, expected bool) {
	sentAt, expected = l.calls.sentAt, l.calls.inFlight && reply.Sequence == l.calls.sequence
	if l.now > sentAt+maxReplyAge && !l.options.Knobs.AcceptLateReplies { // the driver's timer may fire late if the process was paused
		expected = false
	}
	if l.options.Knobs.AcceptOldReplies {
		sentAt, expected = l.calls.sendTimes[reply.Sequence]
	}
	if l.options.Knobs.LateExpiry {
		sentAt = l.now
	}
	return sentAt, expected
}

// receiveGrant applies the grant of a reply for one tenant that the call named.
func (l *Limiter) receiveGrant(grant Grant, reply LeaseReply, sentAt time.Duration) []Resolution {
	state := l.tenants[grant.Tenant]
	if state == nil || !grant.Share.valid() {
		return nil
	}
	if !state.inCall && !l.options.Knobs.AcceptOldReplies {
		return nil
	}
	state.inCall = false
	state.renew(l, grant.Share, sentAt+reply.TTL)
	if state.unconfirmed {
		l.calls.scheduleCall(state, l.now)
	}
	return l.resolve(state, grant.Tokens, reply.Learning, sentAt)
}

// resolve decides on the waiting requests: they are served first from the bucket, then from the tokens that
// arrived in time. Where the allocator had fewer tokens than were requested, the remaining requests are
// over the limit. Otherwise the remaining ones arrived after the call was sent, and wait for the next one.
func (l *Limiter) resolve(state *tenantState, tokens int, learning bool, sentAt time.Duration) []Resolution {
	exhausted := tokens < state.waitingAtCall
	if l.now > sentAt+l.options.Bounds.TokenTTL() && !l.options.Knobs.KeepTokens {
		tokens = 0
	}
	l.waiters.grantTo(state, state.bucket.take(state.waiting))
	l.waiters.grantTo(state, tokens)
	state.overLimit = exhausted && (!learning || !state.share.IsZero())
	state.nextTokenRequestAt = l.now
	if exhausted {
		state.nextTokenRequestAt += tokenRetryDelay
	}
	if state.overLimit {
		return l.waiters.resolveDenied(l.waiters.waitersOf(state), state.retryAfter(l.now))
	}
	if state.waiting > 0 {
		l.calls.scheduleCall(state, state.nextTokenRequestAt)
	}
	return l.waiters.resolveUnavailable(l.waiters.fullyGranted(state))
}
