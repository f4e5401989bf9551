package pick

import "time"

// warmUpHintTTL is how long a server's own hint that it is warming up overrides a list that says otherwise.
const warmUpHintTTL = 3 * time.Second

// warmUpState is what this proxy knows about the warm-up of one server.
type warmUpState struct {
	until     Time // the server warms up until then; in the past if it is warm
	hintAt    Time // when the server last sent a hint; 0: never
	learnedAt Time // when this proxy learned of the last warm-up

	// Warm-ups that the list cannot show yet.
	awaitsNewerList  bool // the server may have begun to warm up, and no reading of the list recent enough to show it has come yet
	unconfirmed      bool // it may have begun to warm up at unconfirmedAt or before, and the control plane has not been in contact since
	unconfirmedAt    Time
	pacedUnconfirmed bool // it is treated as warming up only because a warm-up is unconfirmed
	warmAt           Time // when the newest health check was sent that the server answered as warm; 0: never

	// This proxy's share of the quota.
	isSender    bool // this proxy may send to the server while it warms up
	senderSince Time
	bucket      tokenBucket

	// State for checking the invariants.
	recentSends     sendWindow
	awaitsFirstSend bool // since it began to warm up, no request was sent to it as a warm server
	firstSendAt     Time // when the first such request was sent; 0: none was, or it has been checked
	endedLearnedAt  Time // when this proxy had learned of the warm-up that it considered over at firstSendAt
}

// hasRecentHint reports whether the server's own hint is still valid.
func (u *warmUpState) hasRecentHint(now Time) bool {
	return now-u.hintAt < warmUpHintTTL && u.hintAt > 0
}

// recordFirstSend records the first request that is sent to the server as a warm one.
func (u *warmUpState) recordFirstSend(now Time) {
	u.awaitsFirstSend, u.firstSendAt, u.endedLearnedAt, u.recentSends = false, now, u.learnedAt, sendWindow{}
}

// warmingUp reports whether s is warming up, as far as this proxy knows.
func (s *server) warmingUp(now Time) bool { return now < s.warmUp.until }

// warmUpRate is how many requests per second s can take while it warms up; 0: unbounded.
func (s *server) warmUpRate() float64 {
	if s.group == nil || s.group.service == nil {
		return 0
	}
	return s.group.service.WarmUpRequestsPerSecond
}

// duration returns how long servers of a service warm up; 0 if they never do or the service is not configured.
func (w *warmUpPacer) duration(service string) time.Duration {
	if configured := w.state.service(service); configured != nil {
		return configured.WarmUpTime
	}
	return 0
}

// set records until when the target warms up.
func (w *warmUpPacer) set(now Time, target *server, until Time) {
	warmUp := &target.warmUp
	if !target.warmingUp(now) && until > now {
		warmUp.bucket.tokens, warmUp.bucket.refilledAt = 0, now // the bucket starts empty
		warmUp.awaitsFirstSend, warmUp.recentSends, warmUp.learnedAt, warmUp.pacedUnconfirmed = true, sendWindow{}, now, false
		w.stats.WarmUpStarts++
	}
	warmUp.until = until
}

// update applies the newly read list entry of the target.
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
		warmUp.awaitsFirstSend = warmUp.awaitsFirstSend && !warmUp.pacedUnconfirmed // as far as is known, it never warmed up
	}
}

// updateSender records whether this proxy is a sender of s.
func (w *warmUpPacer) updateSender(now Time, s *server) {
	u := &s.warmUp
	wasSender := u.isSender
	u.isSender = w.isSender(s)
	switch {
	case !s.listed:
		u.senderSince = w.fleet.peersChangedAt // the current peers determine its senders once all of them know each other
	case !wasSender:
		u.senderSince = now
	}
}

// updateUnconfirmed records a stall that happened before the server was known, and contact with the control plane since.
func (w *warmUpPacer) updateUnconfirmed(now Time, u *warmUpState) {
	if w.fleet.stalled && w.fleet.stalledAt > u.unconfirmedAt {
		u.unconfirmed, u.unconfirmedAt = true, w.fleet.stalledAt
	}
	u.unconfirmed = u.unconfirmed && !w.state.hasContactSince(now, u.unconfirmedAt)
}

// unlistedEnd returns the latest time at which a warm-up of s that the list cannot show yet would be over; 0
// if there is none. The servers of a zone whose evacuation has ended may have begun to warm up shortly before.
func (w *warmUpPacer) unlistedEnd(s *server) Time {
	change, ok := w.zoneChanges[s.Zone]
	if !ok || change.seq <= w.state.ListCoversSeq || w.state.Evacuated[s.Zone] {
		return 0
	}
	return change.learnedAt + w.duration(s.Service)
}

// paceUntilConfirmed treats s as warming up until the control plane has been
// in contact after now, or until a warm-up that began by now would be over.
func (w *warmUpPacer) paceUntilConfirmed(now Time, s *server) {
	wasWarm := !s.warmingUp(now)
	w.set(now, s, max(s.warmUp.until, now+w.duration(s.Service)))
	u := &s.warmUp
	u.unconfirmed, u.unconfirmedAt, u.pacedUnconfirmed = true, now, u.pacedUnconfirmed || wasWarm
}

// checkEnd checks the list entry of s against the first request that was sent to s as a warm server: s must have been warm by then.
func (w *warmUpPacer) checkEnd(now Time, s *server) {
	u := &s.warmUp
	if u.firstSendAt == 0 || s.WarmUpMin <= 0 {
		return
	}
	// The listed warm-up began at this time at the latest. If that is after this proxy learned of the
	// previous warm-up, it is a new warm-up, which possibly no reading of the list could show in time.
	latestStart := now + s.WarmUpMax - w.duration(s.Service)
	warmUpEndInvariant.Check(latestStart > u.endedLearnedAt)
	u.firstSendAt = 0
}

// WarmingUp records the X-Cold-Ms header of a server: for how much longer it warms up; 0 if it is warm.
func (p *Picker) WarmingUp(now Time, id string, left time.Duration) {
	if s := p.servers[id]; s != nil {
		p.warmUps.set(now, s, now+max(left, 0))
		s.warmUp.hintAt = now
	}
}

// RecordStall records that the process was paused until now, without contact to the control plane since. Servers may have begun to warm up
// meanwhile, and requests have piled up. So all servers that can warm up are paced as if they were warming up, until UpdateClusterState
// brings a state that the control plane published after the pause, or until a warm-up that began by the end of the pause would be over.
func (p *Picker) RecordStall(now Time) {
	p.fleet.recordStall(now)
	for _, s := range p.servers {
		p.warmUps.paceUntilConfirmed(now, s)
	}
}

// AwaitsControlPlane reports whether the process was paused and the control plane has not been in contact since.
func (p *Picker) AwaitsControlPlane() bool { return p.fleet.stalled }

// AwaitsServerList reports whether servers are paced because they may have begun
// to warm up, and a newer reading of the list could show that they have not.
func (p *Picker) AwaitsServerList() bool {
	for _, s := range p.servers {
		if s.warmUp.awaitsNewerList {
			return true
		}
	}
	return false
}
