package pick

import (
	"math"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/proxy/pick/rendezvous"
)

// The bound on a warming server counts the requests of all proxies together within any second. Argument: some of the proxies are the
// server's senders. Each sender paces its requests evenly at an equal share of a common rate, which is at most warmUpUtilization of
// the server's warm-up rate, and saves up at most one request. So in any second all senders together choose the server for at most
// that common rate plus one request per sender. A further fifth of the rate may go out in that second, because requests go out up to
// warmUpSendTimeout after they were chosen. The number of senders is limited so that the total stays under the bound: the senders
// are the first proxies by rendezvous hashing; in a small fleet, all proxies. A proxy that becomes a sender waits until the others,
// which may still act as senders in its place, have learned that they are not senders, or have stopped because their state is stale.

const (
	// warmUpUtilization is the fraction of a warming server's rate that is used.
	warmUpUtilization = 0.85
	// maxUsedBoundShare is the largest fraction of the bound, in any second, that
	// the common rate may use; the rest is for the requests that senders save up.
	maxUsedBoundShare = 0.6
	// sendersPerSpareRequest is the number of senders for each request of the bound that the common rate leaves unused.
	sendersPerSpareRequest = 0.7
	// warmUpSendTimeout is how long after its choice a request may still go out to a warming server: the requests that are
	// chosen within a second plus this timeout may all go out within one second. It is long enough to connect to another region.
	warmUpSendTimeout = 200 * time.Millisecond
	// maxStaleSending is how long a Stale proxy continues to send where all proxies are senders: the others count it for longer.
	maxStaleSending = fleetSizeTTL - 5*time.Second
	// newSenderDelay is how long a new sender waits so that the others count it as a sender, too.
	newSenderDelay = time.Second
	// successorDelay is longer than a proxy that others have given up continues to send: it
	// becomes Stale 1.6 s after its last contact with the control plane (catchup.FreshnessTTL).
	successorDelay = 1800 * time.Millisecond
)

// warmUpPacer decides when this proxy may send to warming servers, and keeps what is known about their warm-up.
type warmUpPacer struct {
	settings    *Settings
	state       *ClusterState
	fleet       *fleetView
	stats       *Stats
	zoneChanges zoneChanges
}

// warmUpQuota is the division of a warming server's rate among its senders.
type warmUpQuota struct {
	senders   int     // number of proxies
	perSecond float64 // requests per second that each sender may send
}

// maxSends returns how many requests a server with a warm-up rate, in requests per second, may get from all proxies within any second.
func (w *warmUpPacer) maxSends(rate float64) float64 {
	return rate*w.settings.WarmUpExcess + w.settings.WarmUpSlack
}

// quota divides a warm-up rate, in requests per second, among the senders.
func (w *warmUpPacer) quota(rate float64) warmUpQuota {
	usedRate := min(warmUpUtilization*rate, maxUsedBoundShare*w.maxSends(rate))
	spareRequests := w.maxSends(rate) - usedRate
	senders := min(max(int(sendersPerSpareRequest*spareRequests), 1), w.fleet.size.count())
	return warmUpQuota{senders, usedRate / float64(senders)}
}

// allPeersSend reports whether every live proxy is a sender of a warming server with this rate.
func (w *warmUpPacer) allPeersSend(rate float64) bool {
	return w.quota(rate).senders >= w.fleet.size.count()
}

// isSender reports whether this proxy is one of the senders of s.
func (w *warmUpPacer) isSender(s *server) bool {
	service := w.state.service(s.Service)
	if service == nil {
		return false // whoever becomes a sender once the service is configured again waits for the former senders to stop
	}
	rate := service.WarmUpRequestsPerSecond
	if rate <= 0 {
		return true
	}
	if !slices.Contains(w.state.Peers, w.state.Self) {
		return false // the other proxies do not count this one
	}
	return w.allPeersSend(rate) || w.isAmongFirst(s, w.quota(rate).senders)
}

// isAmongFirst reports whether this proxy is among the first n peers by rendezvous hashing for s. Ties are broken by name.
func (w *warmUpPacer) isAmongFirst(s *server, n int) bool {
	own := rendezvous.Weight(s.hash, rendezvous.Hash(w.state.Self))
	higherRanked := 0
	for _, peer := range w.state.Peers {
		if peer == w.state.Self {
			continue
		}
		weight := rendezvous.Weight(s.hash, rendezvous.Hash(peer))
		if weight > own || weight == own && peer < w.state.Self {
			if higherRanked++; higherRanked >= n {
				return false
			}
		}
	}
	return true
}

// sendingStart returns the time from which this proxy may act as a sender of s; ok is false if it may not for now. Where only some of the
// proxies are senders, the others replace a sender that they have given up, and that sender has stopped by the time its successor begins.
func (w *warmUpPacer) sendingStart(now Time, s *server) (from Time, ok bool) {
	replaceable := !w.allPeersSend(s.warmUpRate())
	if w.isPossiblyReplaced(now, replaceable) {
		return 0, false
	}
	ok = s.warmUp.isSender && !w.state.MembershipIncomplete
	if replaceable {
		return max(s.warmUp.senderSince, w.fleet.resumedAt) + successorDelay, ok
	}
	return s.warmUp.senderSince + newSenderDelay, ok
}

// isPossiblyReplaced reports whether other proxies may by now send in place of this one, or no longer count it.
func (w *warmUpPacer) isPossiblyReplaced(now Time, replaceable bool) bool {
	if w.state.Stale {
		return replaceable || now-w.fleet.staleSince > maxStaleSending
	}
	return w.fleet.stalled && replaceable
}

// canSend refills the token bucket of a warming server and reports whether this proxy may send to the server now.
func (w *warmUpPacer) canSend(now Time, s *server) bool {
	rate := s.warmUpRate()
	if rate <= 0 {
		return true
	}
	from, ok := w.sendingStart(now, s)
	if !ok || now < from {
		return false
	}
	s.warmUp.bucket.refill(now, from, w.quota(rate).perSecond)
	return s.warmUp.bucket.tokens >= 1
}

// waitMS returns in how many milliseconds this proxy may send to a warming server again; it is infinite if this proxy is not a sender.
func (w *warmUpPacer) waitMS(now Time, s *server) float64 {
	from, ok := w.sendingStart(now, s)
	if !ok {
		return math.Inf(1)
	}
	tokenWaitMS := (1 - s.warmUp.bucket.tokens) / w.quota(s.warmUpRate()).perSecond * 1000
	return min(tokenWaitMS+max(0, ms(from-now)), ms(s.warmUp.until-now))
}

// recordSend records that a request is sent to s now. If s is warming up, this takes a token.
func (w *warmUpPacer) recordSend(now Time, s *server) {
	warmUp := &s.warmUp
	switch {
	case s.warmingUp(now):
		w.stats.WarmUpSends++
		if rate := s.warmUpRate(); rate > 0 {
			paceRate := max(w.quota(rate).perSecond, warmUp.bucket.take())
			warmUpRateInvariant.Check(warmUp.recentSends.add(now, paceRate))
		}
	case warmUp.awaitsFirstSend:
		warmUp.recordFirstSend(now)
		w.stats.WarmUpEnds++
	}
}

// tokenBucket paces requests. It holds at most one token.
type tokenBucket struct {
	tokens     float64
	refilledAt Time
	maxRate    float64 // highest refill rate, in tokens per second, since the last take
}

// refill adds the tokens for the time since the last refill, or since from if that is later, at a rate in tokens per second.
func (b *tokenBucket) refill(now, from Time, rate float64) {
	b.refilledAt = max(b.refilledAt, from)
	if now > b.refilledAt {
		b.tokens = min(1, b.tokens+rate*(now-b.refilledAt).Seconds())
		b.refilledAt, b.maxRate = now, max(b.maxRate, rate)
	}
}

// take removes a token and returns the highest refill rate since the previous take.
func (b *tokenBucket) take() (maxRate float64) {
	b.tokens--
	maxRate, b.maxRate = b.maxRate, 0
	return maxRate
}
