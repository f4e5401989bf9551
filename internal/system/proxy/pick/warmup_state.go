package pick

import "time"

// warmUpHintTTL is how long a server's own hint that it warms up outlives a list that says that it does not.
const warmUpHintTTL = 3 * time.Second

// warmUpState is what this proxy knows of one server's warm-up.
type warmUpState struct {
	until     Time // the server warms up until then; in the past: it does not
	hintAt    Time // of the server's last hint; 0: none
	learnedAt Time // when this proxy learned of the last warm-up

	// What the list cannot show yet.
	awaitsNewerList  bool // the server may have begun to warm up without a reading of the list that could show it
	unconfirmed      bool // it may have begun to at unconfirmedAt or before, and the control plane has not been in contact since
	unconfirmedAt    Time
	pacedUnconfirmed bool // it counts as warming up only because that is unconfirmed

	// This proxy's part of the quota.
	isSender    bool // this proxy may send to the server while it warms up
	senderSince Time
	bucket      tokenBucket

	// What the invariants are checked by.
	recentSends     sendWindow
	awaitsFirstSend bool // no request was sent to it as to a warm server since it began to warm up
	firstSendAt     Time // when the first one was; 0: none, or it has been checked
	endedLearnedAt  Time // when this proxy had learned of the warm-up that it took to be over then
}

// hasRecentHint reports whether the server's own hint still counts.
func (u *warmUpState) hasRecentHint(now Time) bool {
	return now-u.hintAt < warmUpHintTTL && u.hintAt > 0
}

// recordFirstSend notes the first request that is sent to the server as to a warm one.
func (u *warmUpState) recordFirstSend(now Time) {
	u.awaitsFirstSend, u.firstSendAt, u.endedLearnedAt, u.recentSends = false, now, u.learnedAt, sendWindow{}
}

// warmingUp reports whether s warms up, as far as this proxy knows.
func (s *server) warmingUp(now Time) bool { return now < s.warmUp.until }

// warmUpRate is the requests a second that s bears while it warms up; 0: no bound.
func (s *server) warmUpRate() float64 {
	if s.group == nil || s.group.service == nil {
		return 0
	}
	return s.group.service.WarmUpRequestsPerSecond
}

// duration is how long servers of a service warm up; 0: they never do, as far as is known.
func (w *warmUpPacer) duration(service string) time.Duration {
	if configured := w.state.service(service); configured != nil {
		return configured.WarmUpTime
	}
	return 0
}

// set notes until when s warms up.
func (w *warmUpPacer) set(now Time, target *server, until Time) {
	warmUp := &target.warmUp
	if !target.warmingUp(now) && until > now {
		warmUp.bucket.tokens, warmUp.bucket.refilledAt = 0, now // nothing was saved up
		warmUp.awaitsFirstSend, warmUp.recentSends, warmUp.learnedAt, warmUp.pacedUnconfirmed = true, sendWindow{}, now, false
		w.stats.WarmUpStarts++
	}
	warmUp.until = until
}

// update takes in what the list says of the target, which has just been read.
func (w *warmUpPacer) update(now Time, target *server) {
	w.checkEnd(now, target)
	warmUp := &target.warmUp
	until := now + target.WarmUpMax
	unlisted := w.unlistedEnd(target)
	if warmUp.awaitsNewerList = now < unlisted; warmUp.awaitsNewerList {
		until = max(until, unlisted)
	}
	if warmUp.hasRecentHint(now) || warmUp.awaitsNewerList {
		until = max(until, warmUp.until)
	}
	w.updateUnconfirmed(now, warmUp)
	if warmUp.unconfirmed {
		until = max(until, warmUp.unconfirmedAt+w.duration(target.Service))
	}
	if until > now {
		w.set(now, target, until)
	} else if target.warmingUp(now) {
		warmUp.until = now
		warmUp.awaitsFirstSend = warmUp.awaitsFirstSend && !warmUp.pacedUnconfirmed // it never warmed up, as far as is known
	}
}

// updateSender takes in whether this proxy is a sender of s.
func (w *warmUpPacer) updateSender(now Time, s *server) {
	u := &s.warmUp
	wasSender := u.isSender
	u.isSender = w.isSender(s)
	switch {
	case !s.listed:
		u.senderSince = w.fleet.peersChangedAt // its senders are those that these peers name, once all know them
	case !wasSender:
		u.senderSince = now
	}
}

// updateUnconfirmed takes in a stall that came before the server was known, and contact with the control plane since.
func (w *warmUpPacer) updateUnconfirmed(now Time, u *warmUpState) {
	if w.fleet.stalled && w.fleet.stalledAt > u.unconfirmedAt {
		u.unconfirmed, u.unconfirmedAt = true, w.fleet.stalledAt
	}
	u.unconfirmed = u.unconfirmed && !w.state.hasContactSince(now, u.unconfirmedAt)
}

// unlistedEnd is when a warm-up of s that the list can't show yet would be over, at the latest; 0: there is none. The servers of a zone
// whose evacuation has ended may have begun to warm up shortly before.
func (w *warmUpPacer) unlistedEnd(s *server) Time {
	change, ok := w.zoneChanges[s.Zone]
	if !ok || change.seq <= w.state.ListCoversSeq || w.state.Evacuated[s.Zone] {
		return 0
	}
	return change.learnedAt + w.duration(s.Service)
}

// paceUntilConfirmed paces s as warming up until the control plane has been in contact after now, or until a warm-up that began by now
// would be over.
func (w *warmUpPacer) paceUntilConfirmed(now Time, s *server) {
	wasWarm := !s.warmingUp(now)
	w.set(now, s, max(s.warmUp.until, now+w.duration(s.Service)))
	u := &s.warmUp
	u.unconfirmed, u.unconfirmedAt, u.pacedUnconfirmed = true, now, u.pacedUnconfirmed || wasWarm
}

// checkEnd checks, by what the list says now, that s was warm when a request first went to it as to a warm server.
func (w *warmUpPacer) checkEnd(now Time, s *server) {
	u := &s.warmUp
	if u.firstSendAt == 0 || s.WarmUpMin <= 0 {
		return
	}
	// The listed warm-up began at this time at the latest. One that began after this proxy had learned of the former one is another one,
	// which no reading may have shown in time.
	latestStart := now + s.WarmUpMax - w.duration(s.Service)
	warmUpEndInvariant.Check(latestStart > u.endedLearnedAt)
	u.firstSendAt = 0
}

// WarmingUp takes in X-Cold-Ms: how much longer the server warms up; 0: no longer.
func (p *Picker) WarmingUp(now Time, id string, left time.Duration) {
	if s := p.servers[id]; s != nil {
		p.warmUps.set(now, s, now+max(left, 0))
		s.warmUp.hintAt = now
	}
}

// RecordStall notes that the process was paused until now, and without contact to the control plane since. Servers may have begun to warm up
// meanwhile, and requests have piled up: all servers that can warm up are paced as if they did, until UpdateClusterState brings what the
// control plane knew after the pause, or until a warm-up that began by its end would be over.
func (p *Picker) RecordStall(now Time) {
	p.fleet.recordStall(now)
	for _, s := range p.servers {
		p.warmUps.paceUntilConfirmed(now, s)
	}
}

// AwaitsControlPlane reports whether the process was paused and the control plane has not been in contact since.
func (p *Picker) AwaitsControlPlane() bool { return p.fleet.stalled }

// AwaitsServerList reports whether a newer reading of the list would free servers that may have begun to warm up unseen.
func (p *Picker) AwaitsServerList() bool {
	for _, s := range p.servers {
		if s.warmUp.awaitsNewerList {
			return true
		}
	}
	return false
}
