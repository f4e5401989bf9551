package failuredetector

import (
	"slices"
	"time"
)

// reportRepeatInterval is how often a down report is repeated while the membership list still contains the process: the first one
// may have been lost with the node that received it.
const reportRepeatInterval = time.Second

// evaluateLiveness advances the state of one watched node: from a timeout to a suspicion, and from a suspicion to a down report.
func (d *Detector) evaluateLiveness(now Time, node string, w *watchedNode) {
	switch {
	case w.left:
	case w.down:
		if now-w.lastReportedAt >= reportRepeatInterval && d.Connected(now) {
			d.reportDown(now, node, w)
		}
	case w.sinceLastContact(now) < d.options.SuspectTimeout:
		w.clearSuspicion()
	case !w.suspected:
		w.beginSuspicion(now, d.options.ProbeTimeout)
		d.output.Probe = append(d.output.Probe, node)
		d.sendIndirectPings(now, node, w)
	case d.isConfirmed(now, node, w) && d.Connected(now):
		d.reportDown(now, node, w)
	case now >= w.suspicionDeadline+d.options.ProbeTimeout:
		// The probe was not made, or this node may itself be the partitioned one: start a new suspicion.
		w.clearSuspicion()
	case now-w.lastIndirectPing >= d.options.ProbeTimeout/4:
		d.sendIndirectPings(now, node, w) // a ping or its reply may have been lost
	}
}

// isConfirmed reports whether a suspicion is confirmed: the second path failed, and either the deadline passed without a
// refutation or all other watchers replied that they have had no recent contact with the node.
func (d *Detector) isConfirmed(now Time, node string, w *watchedNode) bool {
	return w.probeFailed && (now >= w.suspicionDeadline || d.allOthersNacked(node, w))
}

// sendIndirectPings asks the other watchers of a node for their last contact with it. Any reply also shows that this node is connected.
func (d *Detector) sendIndirectPings(now Time, node string, w *watchedNode) {
	w.lastIndirectPing = now
	nonce := d.pings.record(now)
	for _, other := range d.otherWatchers(node) {
		d.send(other, Message{Kind: IndirectPing, Nonce: nonce, Node: node, NodeIncarnation: w.incarnation})
	}
}

// otherWatchers returns the watchers of a node besides this one.
func (d *Detector) otherWatchers(node string) []string {
	return slices.DeleteFunc(Watchers(node, d.live, d.options.Watchers), func(n string) bool { return n == d.options.Self })
}

// allOthersNacked reports whether there are other watchers, and all of them have replied that they have had no recent
// contact with the node.
func (d *Detector) allOthersNacked(node string, w *watchedNode) bool {
	others := d.otherWatchers(node)
	for _, n := range others {
		if !w.nacks[n] {
			return false
		}
	}
	return len(others) > 0
}

func (d *Detector) reportDown(now Time, node string, w *watchedNode) {
	w.down, w.suspected, w.lastReportedAt = true, false, now
	d.output.DownReports = append(d.output.DownReports, DownReport{Node: node, Incarnation: w.incarnation, Down: true})
}

// recordContact records contact with a process at contactedAt, which is now or earlier. Recent contact refutes a suspicion and
// retracts a down report.
func (d *Detector) recordContact(now Time, node string, incarnation uint64, contactedAt Time) {
	w := d.watched[node]
	if w == nil || incarnation != w.incarnation {
		return
	}
	if !w.contacted || contactedAt > w.lastContact {
		w.lastContact, w.contacted = contactedAt, true
	}
	if now-w.lastContact >= d.options.SuspectTimeout {
		return // too old to refute anything
	}
	w.clearSuspicion()
	if w.down {
		w.down = false
		d.output.DownReports = append(d.output.DownReports, DownReport{Node: node, Incarnation: incarnation})
	}
}

// confirmIncarnation requests a probe of a node for its current incarnation. Incarnations are unordered, and a datagram of a process
// that has ended may arrive late, so only a fresh reply shows which of two incarnations is the current one.
func (d *Detector) confirmIncarnation(now Time, node string, w *watchedNode) {
	if w.lastIncarnationProbe == 0 || now-w.lastIncarnationProbe >= d.options.HeartbeatInterval {
		w.lastIncarnationProbe = now
		d.output.Probe = append(d.output.Probe, node)
	}
}

// ProbeResult applies the outcome of a probe over the second path that began at sentAt: the incarnation of the process that
// replied, or alive == false if none replied in time.
func (d *Detector) ProbeResult(now, sentAt Time, node string, incarnation uint64, alive bool) {
	d.advanceClock(now)
	if alive && now-sentAt >= d.options.SuspectTimeout {
		return // the reply may have waited in a buffer while this process was paused
	}
	w := d.watched[node]
	if !alive {
		if w != nil && w.suspected {
			w.probeFailed = true
		}
		return
	}
	if w != nil && w.incarnation != incarnation {
		w.replace(now, incarnation)
	}
	d.lastContact = now
	d.recordContact(now, node, incarnation, sentAt)
}
