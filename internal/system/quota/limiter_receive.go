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
	sentAt, expected := l.expects(reply)
	if !expected || l.left {
		return l.Expire(now)
	}
	l.calls.reportAll = reply.Learning && !l.calls.complete
	var resolutions []Resolution
	if !reply.Rejected {
		for _, grant := range reply.Grants {
			resolutions = append(resolutions, l.receiveGrant(grant, reply, sentAt)...)
		}
	}
	if l.calls.underWay && reply.Sequence == l.calls.sequence {
		l.endCall()
	}
	return append(resolutions, l.Expire(now)...)
}

// expects returns the time from which the leases of a reply count, and whether the reply is accepted.
func (l *Limiter) expects(reply LeaseReply) (sentAt time.Duration, expected bool) {
	sentAt, expected = l.calls.sentAt, l.calls.underWay && reply.Sequence == l.calls.sequence
	if l.now > sentAt+maxReplyAge && !l.options.Knobs.TakeLateReplies { // the driver's timer may fire late if the process was paused
		expected = false
	}
	if l.options.Knobs.AcceptOldReplies {
		sentAt, expected = l.calls.earlier[reply.Sequence]
	}
	if l.options.Knobs.LateExpiry {
		sentAt = l.now
	}
	return sentAt, expected
}

// receiveGrant applies the grant of a reply for one tenant that the call named.
func (l *Limiter) receiveGrant(grant Grant, reply LeaseReply, sentAt time.Duration) []Resolution {
	held := l.tenants[grant.Tenant]
	if held == nil || !grant.Share.valid() {
		return nil
	}
	if !held.inCall && !l.options.Knobs.AcceptOldReplies {
		return nil
	}
	held.inCall = false
	held.renew(l, grant.Share, sentAt+reply.TTL)
	if held.unconfirmed {
		l.calls.wantAt(held, l.now)
	}
	return l.resolve(held, grant.Tokens, reply.Learning, sentAt)
}

// resolve decides on the waiting requests: they are served first from the bucket, then from the tokens that
// arrived in time. Where the allocator had fewer tokens than were requested, the remaining requests are
// over the limit. Otherwise the remaining ones arrived after the call was sent, and wait for the next one.
func (l *Limiter) resolve(held *lease, tokens int, learning bool, sentAt time.Duration) []Resolution {
	exhausted := tokens < held.asked
	if l.now > sentAt+l.options.Bounds.TokenTTL() && !l.options.Knobs.KeepTokens {
		tokens = 0
	}
	l.waiters.grantTo(held, held.bucket.take(held.waiting))
	l.waiters.grantTo(held, tokens)
	held.overLimit = exhausted && (!learning || !held.share.IsZero())
	held.askAgainAt = l.now
	if exhausted {
		held.askAgainAt += askPause
	}
	if held.overLimit {
		return l.waiters.deny(l.waiters.of(held), held.retryAfter(l.now))
	}
	if held.waiting > 0 {
		l.calls.wantAt(held, held.askAgainAt)
	}
	return l.waiters.giveUp(l.waiters.complete(held))
}
