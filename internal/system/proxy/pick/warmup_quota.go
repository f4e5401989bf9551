package pick

import (
	"math"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/proxy/pick/rendezvous"
)

// The bound on a warming server counts the requests of all proxies together within any second. Its argument: some proxies are the server's
// senders. Each paces its requests evenly at an equal part of a common rate, at most warmUpUtilization of the server's warm-up rate, and
// saves up one at the most. So in any second all senders together choose at most that rate and one for each sender, and a fifth of the
// rate more goes out, as requests go out up to warmUpSendTimeout after they were chosen. There are as many senders as keep this under the
// bound: the first by rendezvous hashing; in a small fleet, all proxies. Who becomes a sender waits until others, who may still act as
// senders in its place, have learned that they are none, or have stopped as their state is stale.

const (
	// warmUpUtilization is the part of a warming server's rate that is used.
	warmUpUtilization = 0.85
	// maxUsedBoundShare is the part of the bound, in any second, that the common rate may take; the rest is for what senders save up.
	maxUsedBoundShare = 0.6
	// sendersPerSpareRequest is how many senders there are for each request of the bound that the common rate leaves.
	sendersPerSpareRequest = 0.7
	// warmUpSendTimeout is how long a request may take from its choice until it goes out to a warming server: what is chosen in a second
	// and so much more may go out within one. It leaves room for a connection to another region.
	warmUpSendTimeout = 200 * time.Millisecond
	// maxStaleSending is how long a Stale proxy goes on as a sender where all proxies are: the others count it for longer.
	maxStaleSending = fleetSizeTTL - 5*time.Second
	// newSenderDelay is how long a new sender waits until the others count it as one, too.
	newSenderDelay = time.Second
	// successorDelay is longer than a proxy that others have given up goes on as a sender: it is Stale 1.6 s after the last contact with
	// the control plane (catchup.FreshnessTTL).
	successorDelay = 1800 * time.Millisecond
)

// warmUpPacer decides when this proxy may send to servers that warm up, and keeps what is known of their warm-up.
type warmUpPacer struct {
	settings    *Settings
	state       *ClusterState
	fleet       *fleetView
	stats       *Stats
	zoneChanges zoneChanges
}

// warmUpQuota is how a warming server's rate is divided.
type warmUpQuota struct {
	senders   int     // proxies
	perSecond float64 // requests that each of them may send
}

// maxSends is how many requests a warming server with a warm-up rate, in requests a second, may get within any second from all proxies.
func (w *warmUpPacer) maxSends(rate float64) float64 {
	return rate*w.settings.WarmUpExcess + w.settings.WarmUpSlack
}

// quota divides a warm-up rate, in requests a second.
func (w *warmUpPacer) quota(rate float64) warmUpQuota {
	use := min(warmUpUtilization*rate, maxUsedBoundShare*w.maxSends(rate))
	spare := w.maxSends(rate) - use
	senders := min(max(int(sendersPerSpareRequest*spare), 1), w.fleet.size.count())
	return warmUpQuota{senders, use / float64(senders)}
}

// allPeersSend reports whether every live proxy is a sender of a warming server with that rate.
func (w *warmUpPacer) allPeersSend(rate float64) bool {
	return w.quota(rate).senders >= w.fleet.size.count()
}

// isSender reports whether this proxy is one of the senders of s.
func (w *warmUpPacer) isSender(s *server) bool {
	service := w.state.service(s.Service)
	if service == nil {
		return false // who becomes a sender once the service is named again waits for the former ones
	}
	rate := service.WarmUpRequestsPerSecond
	if rate <= 0 {
		return true
	}
	if !slices.Contains(w.state.Peers, w.state.Self) {
		return false // the others do not count this proxy
	}
	return w.allPeersSend(rate) || w.ranksWithin(s, w.quota(rate).senders)
}

// ranksWithin reports whether this proxy is one of the first n peers by rendezvous hashing for s. Names break ties.
func (w *warmUpPacer) ranksWithin(s *server, n int) bool {
	own := rendezvous.Weight(s.hash, rendezvous.Hash(w.state.Self))
	ahead := 0
	for _, peer := range w.state.Peers {
		if peer == w.state.Self {
			continue
		}
		weight := rendezvous.Weight(s.hash, rendezvous.Hash(peer))
		if weight > own || weight == own && peer < w.state.Self {
			if ahead++; ahead >= n {
				return false
			}
		}
	}
	return true
}

// sendsFrom is from when on this proxy may act as a sender of s; false: not at all for now. Where the senders are some of the proxies,
// others replace one that they have given up: it has stopped by the time that they begin.
func (w *warmUpPacer) sendsFrom(now Time, s *server) (from Time, ok bool) {
	replaceable := !w.allPeersSend(s.warmUpRate())
	if w.mayBeReplaced(now, replaceable) {
		return 0, false
	}
	ok = s.warmUp.isSender && !w.state.MembershipIncomplete
	if replaceable {
		return max(s.warmUp.senderSince, w.fleet.resumedAt) + successorDelay, ok
	}
	return s.warmUp.senderSince + newSenderDelay, ok
}

// mayBeReplaced reports whether others may by now send in this proxy's place, or no longer count it.
func (w *warmUpPacer) mayBeReplaced(now Time, replaceable bool) bool {
	if w.state.Stale {
		return replaceable || now-w.fleet.staleSince > maxStaleSending
	}
	return w.fleet.stalled && replaceable
}

// maySend refills the token bucket of a warming server, and reports whether this proxy may send to it now.
func (w *warmUpPacer) maySend(now Time, s *server) bool {
	rate := s.warmUpRate()
	if rate <= 0 {
		return true
	}
	from, ok := w.sendsFrom(now, s)
	if !ok || now < from {
		return false
	}
	s.warmUp.bucket.refill(now, from, w.quota(rate).perSecond)
	return s.warmUp.bucket.tokens >= 1
}

// waitMS is in how many milliseconds this proxy may send to a warming server again; infinite: it is no sender.
func (w *warmUpPacer) waitMS(now Time, s *server) float64 {
	from, ok := w.sendsFrom(now, s)
	if !ok {
		return math.Inf(1)
	}
	paced := (1 - s.warmUp.bucket.tokens) / w.quota(s.warmUpRate()).perSecond * 1000
	return min(paced+max(0, ms(from-now)), ms(s.warmUp.until-now))
}

// recordSend notes that a request is sent to s now, which takes a token where s warms up.
func (w *warmUpPacer) recordSend(now Time, s *server) {
	u := &s.warmUp
	switch {
	case s.warmingUp(now):
		w.stats.WarmUpSends++
		if rate := s.warmUpRate(); rate > 0 {
			paceRate := max(w.quota(rate).perSecond, u.bucket.take())
			warmUpRateInvariant.Check(u.recentSends.add(now, paceRate))
		}
	case u.awaitsFirstSend:
		u.recordFirstSend(now)
		w.stats.WarmUpEnds++
	}
}

// tokenBucket paces requests. It saves up one token at the most.
type tokenBucket struct {
	tokens     float64
	refilledAt Time
	maxRate    float64 // the highest rate, in tokens a second, by which it was refilled since the last take
}

// refill adds the tokens of the time since the last refill, or since from if that is later, at a rate in tokens a second.
func (b *tokenBucket) refill(now, from Time, rate float64) {
	b.refilledAt = max(b.refilledAt, from)
	if now > b.refilledAt {
		b.tokens = min(1, b.tokens+rate*(now-b.refilledAt).Seconds())
		b.refilledAt, b.maxRate = now, max(b.maxRate, rate)
	}
}

// take removes a token, and gives the highest rate by which the bucket was refilled since the last one was taken.
func (b *tokenBucket) take() (maxRate float64) {
	b.tokens--
	maxRate, b.maxRate = b.maxRate, 0
	return maxRate
}
