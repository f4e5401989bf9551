package pick

import (
	"math"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick/rendezvous"
)

// Cold servers. Their bound counts the requests of all proxies together within any second. Every holder paces its sends
// evenly at an equal part of warmUpUtilization of the rate and saves up one at the most, so that in any second all holders together
// send at most warmUpUtilization × rate + holders, and a fifth of the former more, as requests go out up to warmUpSendTimeout later. There are as many holders as keep this under the bound. They are the first by
// rendezvous hashing; in a small fleet, all proxies.

const (
	// warmUpUtilization is the part of a cold server's rate that is used.
	warmUpUtilization = 0.85
	// warmUpSendTimeout is how long a request may take from its choice until it goes out to a cold server: what is chosen in a second
	// and so much more may go out within one. It leaves room for a connection to another region.
	warmUpSendTimeout = 200 * time.Millisecond
)

// maxWarmUpSends is what a cold server may receive within a second, from all.
func (p *Picker) maxWarmUpSends(rate float64) float64 {
	return rate*p.settings.WarmUpExcess + p.settings.WarmUpSlack
}

// warmUpSenders is how many proxies share a cold server, and how many requests a second each of them may send.
func (p *Picker) warmUpSenders(rate float64) (holders int, each float64) {
	use := min(warmUpUtilization*rate, 0.6*p.maxWarmUpSends(rate))
	spare := p.maxWarmUpSends(rate) - use
	holders = min(max(int(0.7*spare), 1), p.fleetSize.count())
	return holders, use / float64(holders)
}

// warmUpRate is the requests a second that a cold server of s's service bears; 0: no bound.
func (s *server) warmUpRate() float64 {
	if s.group == nil || s.group.service == nil {
		return 0
	}
	return s.group.service.WarmUpRate
}

// allPeersSend tells whether every live proxy is a holder of a cold server of that rate.
func (p *Picker) allPeersSend(rate float64) bool {
	n, _ := p.warmUpSenders(rate)
	return n >= p.fleetSize.count()
}

// maxStaleSending is how long a Stale proxy holds where all do: the others remember it for longer.
const maxStaleSending = fleetSizeTTL - 5*time.Second

// sendsFrom tells from when on this proxy, a holder of s, may act as one; false: not at all for now. Where the holders are some
// of the proxies, others take the place of one that they have given up: it has stopped by the time that they begin.
func (p *Picker) sendsFrom(now Time, s *server) (Time, bool) {
	few := !p.allPeersSend(s.warmUpRate())
	if p.state.Stale && (few || now-p.staleSince > maxStaleSending) || p.stalled && few {
		return 0, false
	}
	if few {
		return max(s.senderSince, p.resumedAt) + successorDelay, s.isSender && !p.state.MembershipIncomplete
	}
	return s.senderSince + newSenderDelay, s.isSender && !p.state.MembershipIncomplete
}

// isWarmUpSender tells whether this proxy is one of the holders of s.
func (p *Picker) isWarmUpSender(s *server) bool {
	service := p.service(s.Service)
	if service == nil {
		return false // who becomes a holder once the service is named again waits for the former ones
	}
	rate := service.WarmUpRate
	if rate <= 0 {
		return true
	}
	if !slices.Contains(p.state.Peers, p.state.Self) {
		return false // the others do not count this proxy
	}
	if p.allPeersSend(rate) {
		return true
	}
	n, _ := p.warmUpSenders(rate)
	mine := rendezvous.Weight(s.hash, rendezvous.Hash(p.state.Self))
	better := 0
	for _, peer := range p.state.Peers {
		if peer == p.state.Self {
			continue
		}
		if h := rendezvous.Weight(s.hash, rendezvous.Hash(peer)); h > mine || h == mine && peer < p.state.Self {
			if better++; better >= n {
				return false
			}
		}
	}
	return true
}

// hasWarmUpToken refills the bucket of a cold server and tells whether this proxy may send to it now.
func (p *Picker) hasWarmUpToken(now Time, s *server) bool {
	rate := s.warmUpRate()
	if rate <= 0 {
		return true
	}
	from, may := p.sendsFrom(now, s)
	if !may || now < from {
		return false
	}
	s.refilledAt = max(s.refilledAt, from) // nothing was saved up before
	_, each := p.warmUpSenders(rate)
	if now > s.refilledAt {
		s.tokens = min(1, s.tokens+each*(now-s.refilledAt).Seconds())
		s.refilledAt, s.maxRefillRate = now, max(s.maxRefillRate, each)
	}
	return s.tokens >= 1
}

// warmUpWait is in how many milliseconds this proxy may send to a cold server again; infinite: it is no holder.
func (p *Picker) warmUpWait(now Time, s *server) float64 {
	from, may := p.sendsFrom(now, s)
	if !may {
		return math.Inf(1)
	}
	_, each := p.warmUpSenders(s.warmUpRate())
	paced := (1 - s.tokens) / each * 1000
	return min(paced+max(0, ms(from-now)), ms(s.warmUntil-now))
}

// recordWarmUpSend takes note of a request that is sent to s now, which draws on the pace where s is cold.
func (p *Picker) recordWarmUpSend(now Time, s *server) {
	switch {
	case s.warmingUp(now):
		p.stats.WarmUpSends++
		if rate := s.warmUpRate(); rate > 0 {
			s.tokens--
			_, each := p.warmUpSenders(rate)
			warmUpRateInvariant.Check(s.recentWarmUpSends.add(now, max(each, s.maxRefillRate)))
			s.maxRefillRate = 0
		}
	case s.awaitsFirstWarmSend:
		s.awaitsFirstWarmSend, s.firstWarmSendAt, s.endedWarmUpLearnedAt, s.recentWarmUpSends = false, now, s.warmUpLearnedAt, sendWindow{}
		p.stats.WarmUpEnds++
	}
}

// updateWarmUp takes what the list tells of s's cold state, which has just been read.
func (p *Picker) updateWarmUp(now Time, s *server) {
	p.checkWarmUpEnd(now, s)
	until := now + s.WarmUpMax
	if latest := p.unconfirmedWarmUpEnd(s); now < latest {
		s.awaitsNewerList, until = true, max(until, latest)
	} else {
		s.awaitsNewerList = false
	}
	if now-s.warmUpHintAt < warmUpHintTTL && s.warmUpHintAt > 0 || s.awaitsNewerList {
		until = max(until, s.warmUntil) // the server's own word counts, or the list cannot know yet
	}
	if p.stalled && p.stalledAt > s.unconfirmedAt {
		s.unconfirmed, s.unconfirmedAt = true, p.stalledAt // it is new here
	}
	if s.unconfirmed = s.unconfirmed && !p.hasContactSince(now, s.unconfirmedAt); s.unconfirmed {
		until = max(until, s.unconfirmedAt+p.warmUpTime(s.Service))
	}
	if until > now {
		p.setWarmingUp(now, s, until)
	} else if s.warmingUp(now) {
		s.warmUntil = now
		s.awaitsFirstWarmSend = s.awaitsFirstWarmSend && !s.pacedUnconfirmed // it never was, as far as is known
	}
}

// unconfirmedWarmUpEnd is when a cold state of s would be over, at the latest, that the list can't show yet: the servers of a zone that
// is taken back may have become cold shortly before.
func (p *Picker) unconfirmedWarmUpEnd(s *server) Time {
	change, ok := p.zoneChanges[s.Zone]
	if !ok || change.number <= p.state.ListCoversSeq || p.state.Evacuated[s.Zone] {
		return 0
	}
	return change.learnedAt + p.warmUpTime(s.Service)
}

// zoneChange is the record that last evacuated a zone or took it back, and when this proxy heard of it.
type zoneChange struct {
	number    uint64
	learnedAt Time
}

// zoneChanges are those of the zones by name. A zone whose servers are gone is remembered for zoneChangeTTL.
type zoneChanges map[string]zoneChange

const zoneChangeTTL = time.Minute

// update takes in the numbers of the zones' last changes.
func (z zoneChanges) update(now Time, numbers map[string]uint64) {
	for zone, number := range numbers {
		if number > 0 && z[zone].number != number {
			z[zone] = zoneChange{number, now}
		}
	}
	for zone, change := range z {
		if _, listed := numbers[zone]; !listed && now-change.learnedAt > zoneChangeTTL {
			delete(z, zone)
		}
	}
}

// warmUpTime is how long servers of a service stay cold; 0: they are never cold, as far as is known.
func (p *Picker) warmUpTime(service string) time.Duration {
	if sv := p.service(service); sv != nil {
		return sv.WarmUpTime
	}
	return 0
}

// service is what the configuration says of a service; nil: nothing.
func (p *Picker) service(name string) *config.Service {
	if p.state.Config == nil {
		return nil
	}
	return p.state.Config.Services[name]
}

// Stalled takes note that the process stood still until now, and hears no keeper since. Servers may have turned cold meanwhile,
// and requests have piled up: all servers that can be cold are paced as such until SetWorld tells what a keeper knew after the
// stall, or until a cold state that began by its end would be over.
func (p *Picker) Stalled(now Time) {
	p.stalled, p.stalledAt = true, now
	for _, s := range p.servers {
		p.paceUntilConfirmed(now, s)
	}
}

// paceUntilConfirmed paces s as cold until SetWorld tells what a keeper knew after now, or until a cold state that began by now would be over.
func (p *Picker) paceUntilConfirmed(now Time, s *server) {
	warm := !s.warmingUp(now)
	p.setWarmingUp(now, s, max(s.warmUntil, now+p.warmUpTime(s.Service)))
	s.unconfirmed, s.unconfirmedAt, s.pacedUnconfirmed = true, now, s.pacedUnconfirmed || warm
}

// hasContactSince tells whether a keeper told of the world after a moment.
func (p *Picker) hasContactSince(now, since Time) bool {
	return now-p.state.ContactAge-p.state.Age >= since
}

// AwaitsControlPlane tells whether the process stood still and no keeper's word from after that has come.
func (p *Picker) AwaitsControlPlane() bool { return p.stalled }

// AwaitsServerList tells whether a newer reading of the list would free servers that may have turned cold unseen.
func (p *Picker) AwaitsServerList() bool {
	for _, s := range p.servers {
		if s.awaitsNewerList {
			return true
		}
	}
	return false
}
