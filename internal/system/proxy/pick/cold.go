package pick

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gradeusher.example/gradeusher/internal/system/config"
)

// Cold servers. Their bound counts the requests of all proxies together within any second. Every holder paces its sends
// evenly at an equal part of coldUse of the rate and saves up one at the most, so that in any second all holders together
// send at most coldUse × rate + holders, and a fifth of the former more, as requests go out up to coldSendWithin later. There are as many holders as keep this under the bound. They are the first by
// rendezvous hashing; in a small fleet, all proxies.

const (
	// coldUse is the part of a cold server's rate that is used.
	coldUse = 0.85
	// coldSendWithin is how long a request may take from its choice until it goes out to a cold server: what is chosen in a second
	// and so much more may go out within one. It leaves room for a connection to another region.
	coldSendWithin = 200 * time.Millisecond
)

// coldBound is what a cold server may receive within a second, from all.
func (p *Picker) coldBound(rate float64) float64 { return rate*p.set.WarmUpExcess + p.set.WarmUpSlack }

// coldHolders is how many proxies share a cold server, and how many requests a second each of them may send.
func (p *Picker) coldHolders(rate float64) (holders int, each float64) {
	use := min(coldUse*rate, 0.6*p.coldBound(rate))
	spare := p.coldBound(rate) - use
	holders = min(max(int(0.7*spare), 1), p.peers.count())
	return holders, use / float64(holders)
}

// coldRate is the requests a second that a cold server of s's service bears; 0: no bound.
func (s *server) coldRate() float64 {
	if s.group == nil || s.group.service == nil {
		return 0
	}
	return s.group.service.WarmUpRequestsPerSecond
}

// allHold tells whether every live proxy is a holder of a cold server of that rate.
func (p *Picker) allHold(rate float64) bool {
	n, _ := p.coldHolders(rate)
	return n >= p.peers.count()
}

// staleMost is how long a Stale proxy holds where all do: the others remember it for longer.
const staleMost = peerMemory - 5*time.Second

// holdsFrom tells from when on this proxy, a holder of s, may act as one; false: not at all for now. Where the holders are some
// of the proxies, others take the place of one that they have given up: it has stopped by the time that they begin.
func (p *Picker) holdsFrom(now Time, s *server) (Time, bool) {
	few := !p.allHold(s.coldRate())
	if p.world.Stale && (few || now-p.staleSince > staleMost) || p.stalled && few {
		return 0, false
	}
	if few {
		return max(s.holderSince, p.resumed) + successorWait, s.holder && !p.world.MembershipIncomplete
	}
	return s.holderSince + holderWait, s.holder && !p.world.MembershipIncomplete
}

// holderOf tells whether this proxy is one of the holders of s.
func (p *Picker) holderOf(s *server) bool {
	service := p.service(s.Service)
	if service == nil {
		return false // who becomes a holder once the service is named again waits for the former ones
	}
	rate := service.WarmUpRequestsPerSecond
	if rate <= 0 {
		return true
	}
	if !slices.Contains(p.world.Peers, p.world.Self) {
		return false // the others do not count this proxy
	}
	if p.allHold(rate) {
		return true
	}
	n, _ := p.coldHolders(rate)
	mine := hashOf(s.hash, p.world.Self)
	better := 0
	for _, peer := range p.world.Peers {
		if peer == p.world.Self {
			continue
		}
		if h := mix(s.hash ^ xxhash.Sum64String(peer)); h > mine || h == mine && peer < p.world.Self {
			if better++; better >= n {
				return false
			}
		}
	}
	return true
}

// coldToken refills the bucket of a cold server and tells whether this proxy may send to it now.
func (p *Picker) coldToken(now Time, s *server) bool {
	rate := s.coldRate()
	if rate <= 0 {
		return true
	}
	from, may := p.holdsFrom(now, s)
	if !may || now < from {
		return false
	}
	s.tokenAt = max(s.tokenAt, from) // nothing was saved up before
	_, each := p.coldHolders(rate)
	if now > s.tokenAt {
		s.token = min(1, s.token+each*(now-s.tokenAt).Seconds())
		s.tokenAt, s.tokenRate = now, max(s.tokenRate, each)
	}
	return s.token >= 1
}

// coldWait is in how many milliseconds this proxy may send to a cold server again; infinite: it is no holder.
func (p *Picker) coldWait(now Time, s *server) float64 {
	from, may := p.holdsFrom(now, s)
	if !may {
		return math.Inf(1)
	}
	_, each := p.coldHolders(s.coldRate())
	paced := (1 - s.token) / each * 1000
	return min(paced+max(0, ms(from-now)), ms(s.coldUntil-now))
}

// spendCold takes note of a request that is sent to s now, which draws on the pace where s is cold.
func (p *Picker) spendCold(now Time, s *server) {
	switch {
	case s.cold(now):
		p.stats.WarmUpSends++
		if rate := s.coldRate(); rate > 0 {
			s.token--
			_, each := p.coldHolders(rate)
			coldPaceKept.Check(s.coldSent.add(now, max(each, s.tokenRate)))
			s.tokenRate = 0
		}
	case s.wasCold:
		s.wasCold, s.warmedAt, s.warmedSince, s.coldSent = false, now, s.coldSince, coldWindow{}
		p.stats.WarmUpEnds++
	}
}

// listCold takes what the list tells of s's cold state, which has just been read.
func (p *Picker) listCold(now Time, s *server) {
	p.checkColdEnd(now, s)
	until := now + s.WarmUpMax
	if latest := p.unseenColdEnd(s); now < latest {
		s.unproven, until = true, max(until, latest)
	} else {
		s.unproven = false
	}
	if now-s.coldTold < coldHintLife && s.coldTold > 0 || s.unproven {
		until = max(until, s.coldUntil) // the server's own word counts, or the list cannot know yet
	}
	if p.stalled && p.stalledAt > s.unseenAt {
		s.unseen, s.unseenAt = true, p.stalledAt // it is new here
	}
	if s.unseen = s.unseen && !p.heardSince(now, s.unseenAt); s.unseen {
		until = max(until, s.unseenAt+p.coldFor(s.Service))
	}
	if until > now {
		p.setCold(now, s, until)
	} else if s.cold(now) {
		s.coldUntil = now
		s.wasCold = s.wasCold && !s.pacedUnseen // it never was, as far as is known
	}
}

// unseenColdEnd is when a cold state of s would be over, at the latest, that the list can't show yet: the servers of a zone that
// is taken back may have become cold shortly before.
func (p *Picker) unseenColdEnd(s *server) Time {
	change, ok := p.zoneChanges[s.Zone]
	if !ok || change.number <= p.world.ListCoversSeq || p.world.Evacuated[s.Zone] {
		return 0
	}
	return change.heard + p.coldFor(s.Service)
}

// zoneChange is the record that last evacuated a zone or took it back, and when this proxy heard of it.
type zoneChange struct {
	number uint64
	heard  Time
}

// zoneChanges are those of the zones by name. A zone whose servers are gone is remembered for zoneMemory.
type zoneChanges map[string]zoneChange

const zoneMemory = time.Minute

// note takes in the numbers of the zones' last changes.
func (z zoneChanges) note(now Time, numbers map[string]uint64) {
	for zone, number := range numbers {
		if number > 0 && z[zone].number != number {
			z[zone] = zoneChange{number, now}
		}
	}
	for zone, change := range z {
		if _, listed := numbers[zone]; !listed && now-change.heard > zoneMemory {
			delete(z, zone)
		}
	}
}

// coldFor is how long servers of a service stay cold; 0: they are never cold, as far as is known.
func (p *Picker) coldFor(service string) time.Duration {
	if sv := p.service(service); sv != nil {
		return sv.WarmUpTime
	}
	return 0
}

// service is what the configuration says of a service; nil: nothing.
func (p *Picker) service(name string) *config.Service {
	if p.world.Config == nil {
		return nil
	}
	return p.world.Config.Services[name]
}

// Stalled takes note that the process stood still until now, and hears no keeper since. Servers may have turned cold meanwhile,
// and requests have piled up: all servers that can be cold are paced as such until SetWorld tells what a keeper knew after the
// stall, or until a cold state that began by its end would be over.
func (p *Picker) Stalled(now Time) {
	p.stalled, p.stalledAt = true, now
	for _, s := range p.servers {
		p.paceUnseen(now, s)
	}
}

// paceUnseen paces s as cold until SetWorld tells what a keeper knew after now, or until a cold state that began by now would be over.
func (p *Picker) paceUnseen(now Time, s *server) {
	warm := !s.cold(now)
	p.setCold(now, s, max(s.coldUntil, now+p.coldFor(s.Service)))
	s.unseen, s.unseenAt, s.pacedUnseen = true, now, s.pacedUnseen || warm
}

// heardSince tells whether a keeper told of the world after a moment.
func (p *Picker) heardSince(now, since Time) bool {
	return now-p.world.ContactAge-p.world.Age >= since
}

// AwaitsControlPlane tells whether the process stood still and no keeper's word from after that has come.
func (p *Picker) AwaitsControlPlane() bool { return p.stalled }

// AwaitsServerList tells whether a newer reading of the list would free servers that may have turned cold unseen.
func (p *Picker) AwaitsServerList() bool {
	for _, s := range p.servers {
		if s.unproven {
			return true
		}
	}
	return false
}
