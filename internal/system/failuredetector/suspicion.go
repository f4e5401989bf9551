package failuredetector

import (
	"slices"
	"time"
)

// verdictRepeatInterval is how often a verdict is told again while the members still count the process live: what told it
// first may have been lost with the keeper that was told.
const verdictRepeatInterval = time.Second

// evaluateLiveness moves one watched node on: from silence to suspicion, from suspicion to a verdict.
func (d *Detector) evaluateLiveness(now Time, node string, w *watchedNode) {
	switch {
	case w.left:
	case w.down:
		if now-w.lastVerdict >= verdictRepeatInterval && d.Connected(now) {
			d.reportDown(now, node, w)
		}
	case now-w.silentSince() < d.options.SuspectTimeout:
		w.suspected, w.nacks = false, nil
	case !w.suspected:
		w.suspected, w.suspicionDeadline = true, now+d.options.ProbeTimeout
		w.probeFailed, w.nacks = false, map[string]bool{}
		d.output.Probe = append(d.output.Probe, node)
		d.sendIndirectPings(now, node, w)
	case w.probeFailed && (now >= w.suspicionDeadline || d.allOthersNacked(node, w)) && d.Connected(now):
		d.reportDown(now, node, w)
	case now >= w.suspicionDeadline+d.options.ProbeTimeout:
		// The call was not made, or this node may itself be the one that is cut off: try again.
		w.suspected = false
	case now-w.lastIndirectPing >= d.options.ProbeTimeout/4:
		d.sendIndirectPings(now, node, w) // a question or its answer may have been lost
	}
}

// sendIndirectPings puts the question to the other watchers of a node. Any answer also shows that this node is connected.
func (d *Detector) sendIndirectPings(now Time, node string, w *watchedNode) {
	w.lastIndirectPing = now
	nonce := d.recordPing(now)
	for _, other := range d.otherWatchers(node) {
		d.send(other, Message{Kind: IndirectPing, Nonce: nonce, Node: node, NodeIncarnation: w.incarnation})
	}
}

// otherWatchers are the other watchers of a node.
func (d *Detector) otherWatchers(node string) []string {
	return slices.DeleteFunc(Watchers(node, d.live, d.options.Watchers), func(n string) bool { return n == d.options.Self })
}

// allOthersNacked tells whether all other watchers have answered, and none of them hears the node.
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
	w.down, w.suspected, w.lastVerdict = true, false, now
	d.output.Verdicts = append(d.output.Verdicts, Verdict{Node: node, Incarnation: w.incarnation, Down: true})
}

// recordContact notes that a process was heard at a moment.
func (d *Detector) recordContact(now Time, node string, incarnation uint64, at Time) {
	w := d.watched[node]
	if w == nil || incarnation != w.incarnation {
		return
	}
	if !w.contacted || at > w.lastContact {
		w.lastContact, w.contacted = at, true
	}
	if now-w.lastContact >= d.options.SuspectTimeout {
		return // too old to clear anything
	}
	w.suspected, w.nacks = false, nil
	if w.down {
		w.down = false
		d.output.Verdicts = append(d.output.Verdicts, Verdict{Node: node, Incarnation: incarnation})
	}
}

// confirmIncarnation has a second path asked which process of a node lives. Incarnations have no order, so of two that are heard
// only a fresh answer tells which is the present one: a datagram may come late from a process that is no more.
func (d *Detector) confirmIncarnation(now Time, node string, w *watchedNode) {
	if w.lastIncarnationProbe == 0 || now-w.lastIncarnationProbe >= d.options.HeartbeatInterval {
		w.lastIncarnationProbe = now
		d.output.Probe = append(d.output.Probe, node)
	}
}

// ProbeResult takes what a call over a second path that began at asked brought: the incarnation of the process that
// answered, or that none did in time.
func (d *Detector) ProbeResult(now, sentAt Time, node string, incarnation uint64, alive bool) {
	d.advanceClock(now)
	if alive && now-sentAt >= d.options.SuspectTimeout {
		return // the answer may have lain in a buffer while this process was paused
	}
	w := d.watched[node]
	switch {
	case !alive:
		if w != nil && w.suspected {
			w.probeFailed = true
		}
		return
	case w != nil && w.incarnation != incarnation:
		w.replace(now, incarnation)
	}
	d.lastContact = now
	d.recordContact(now, node, incarnation, sentAt)
}

// Receive takes a message. Those of nodes that are not members are dropped.
func (d *Detector) Receive(now Time, message Message) {
	d.advanceClock(now)
	if message.From == d.options.Self || !d.isMember[message.From] {
		return
	}
	sentAt := now
	switch message.Kind {
	case Pong, IndirectNack, IndirectAck:
		var ok bool
		if sentAt, ok = d.pingSentAt(now, message.Nonce); !ok {
			return // it lay in a buffer, or answers a former process
		}
		d.connected = true
	case Heartbeat, Ping, IndirectPing, Leave:
	default:
		return
	}
	d.lastContact = now
	if w := d.watched[message.From]; w != nil {
		switch {
		case message.Kind == Leave:
			w.left = w.left || w.incarnation == message.Incarnation
		case w.incarnation != message.Incarnation:
			d.confirmIncarnation(now, message.From, w)
		default:
			d.recordContact(now, message.From, message.Incarnation, now)
		}
	}
	switch message.Kind {
	case Ping:
		d.send(message.From, Message{Kind: Pong, Nonce: message.Nonce})
	case IndirectPing:
		d.answerIndirectPing(now, message)
	case IndirectAck:
		d.recordContact(now, message.Node, message.NodeIncarnation, sentAt-message.Age)
	case IndirectNack:
		if w := d.watched[message.Node]; w != nil && w.suspected && w.incarnation == message.NodeIncarnation {
			w.nacks[message.From] = true
		}
	}
}

// answerIndirectPing tells what this node itself has heard of the one asked about. What it was only told by others counts with the
// age that it had, so rumours do not keep a dead process alive.
func (d *Detector) answerIndirectPing(now Time, m Message) {
	reply := Message{Kind: IndirectNack, Nonce: m.Nonce, Node: m.Node, NodeIncarnation: m.NodeIncarnation}
	w := d.watched[m.Node]
	if w != nil && w.contacted && now-w.lastContact < d.options.SuspectTimeout {
		reply.Kind, reply.NodeIncarnation, reply.Age = IndirectAck, w.incarnation, now-w.lastContact
	}
	d.send(m.From, reply)
}
