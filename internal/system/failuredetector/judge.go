package failuredetector

import (
	"slices"
	"time"
)

// repeatVerdict is how often a verdict is told again while the members still count the process live: what told it
// first may have been lost with the keeper that was told.
const repeatVerdict = time.Second

// judge moves one watched node on: from silence to suspicion, from suspicion to a verdict.
func (d *Detector) judge(now Time, node string, w *watch) {
	switch {
	case w.left:
	case w.down:
		if now-w.reported >= repeatVerdict && d.Connected(now) {
			d.verdict(now, node, w)
		}
	case now-w.silentSince() < d.o.SuspectTimeout:
		w.suspect, w.notHeard = false, nil
	case !w.suspect:
		w.suspect, w.deadline = true, now+d.o.ProbeTimeout
		w.probeFailed, w.notHeard = false, map[string]bool{}
		d.out.Probe = append(d.out.Probe, node)
		d.ask(now, node, w)
	case w.probeFailed && (now >= w.deadline || d.allNotHeard(node, w)) && d.Connected(now):
		d.verdict(now, node, w)
	case now >= w.deadline+d.o.ProbeTimeout:
		// The call was not made, or this node may itself be the one that is cut off: try again.
		w.suspect = false
	case now-w.asked >= d.o.ProbeTimeout/4:
		d.ask(now, node, w) // a question or its answer may have been lost
	}
}

// silentSince is the moment from which silence counts.
func (w *watch) silentSince() Time {
	if w.everHeard {
		return max(w.since, w.heard)
	}
	return w.since
}

// ask puts the question to the other watchers of a node. Any answer also shows that this node is connected.
func (d *Detector) ask(now Time, node string, w *watch) {
	w.asked = now
	nonce := d.question(now)
	for _, other := range d.others(node) {
		d.send(other, Message{Kind: IndirectPing, Nonce: nonce, Node: node, NodeIncarnation: w.incarnation})
	}
}

// others are the other watchers of a node.
func (d *Detector) others(node string) []string {
	return slices.DeleteFunc(Watchers(node, d.live, d.o.Watchers), func(n string) bool { return n == d.o.Self })
}

// allNotHeard tells whether all other watchers have answered, and none of them hears the node.
func (d *Detector) allNotHeard(node string, w *watch) bool {
	others := d.others(node)
	for _, n := range others {
		if !w.notHeard[n] {
			return false
		}
	}
	return len(others) > 0
}

func (d *Detector) verdict(now Time, node string, w *watch) {
	w.down, w.suspect, w.reported = true, false, now
	d.out.Verdicts = append(d.out.Verdicts, Verdict{Node: node, Incarnation: w.incarnation, Down: true})
}

// markHeard notes that a process was heard at a moment.
func (d *Detector) markHeard(now Time, node string, incarnation uint64, at Time) {
	w := d.watched[node]
	if w == nil || incarnation != w.incarnation {
		return
	}
	if !w.everHeard || at > w.heard {
		w.heard, w.everHeard = at, true
	}
	if now-w.heard >= d.o.SuspectTimeout {
		return // too old to clear anything
	}
	w.suspect, w.notHeard = false, nil
	if w.down {
		w.down = false
		d.out.Verdicts = append(d.out.Verdicts, Verdict{Node: node, Incarnation: incarnation})
	}
}

// probeIncarnation has a second path asked which process of a node lives. Incarnations have no order, so of two that are heard
// only a fresh answer tells which is the present one: a datagram may come late from a process that is no more.
func (d *Detector) probeIncarnation(now Time, node string, w *watch) {
	if w.incarnationAsked == 0 || now-w.incarnationAsked >= d.o.HeartbeatInterval {
		w.incarnationAsked = now
		d.out.Probe = append(d.out.Probe, node)
	}
}

// ProbeResult takes what a call over a second path that began at asked brought: the incarnation of the process that
// answered, or that none did in time.
func (d *Detector) ProbeResult(now, asked Time, node string, incarnation uint64, alive bool) {
	d.advance(now)
	if alive && now-asked >= d.o.SuspectTimeout {
		return // the answer may have lain in a buffer while this process was paused
	}
	w := d.watched[node]
	switch {
	case !alive:
		if w != nil && w.suspect {
			w.probeFailed = true
		}
		return
	case w != nil && w.incarnation != incarnation:
		w.replace(now, incarnation)
	}
	d.contact = now
	d.markHeard(now, node, incarnation, asked)
}

// Receive takes a message. Those of nodes that are not members are dropped.
func (d *Detector) Receive(now Time, m Message) {
	d.advance(now)
	if m.From == d.o.Self || !d.members[m.From] {
		return
	}
	asked := now
	switch m.Kind {
	case Pong, IndirectNack, IndirectAck:
		var ok bool
		if asked, ok = d.askedAt(now, m.Nonce); !ok {
			return // it lay in a buffer, or answers a former process
		}
		d.connected = true
	case Heartbeat, Ping, IndirectPing, Leave:
	default:
		return
	}
	d.contact = now
	if w := d.watched[m.From]; w != nil {
		switch {
		case m.Kind == Leave:
			w.left = w.left || w.incarnation == m.Incarnation
		case w.incarnation != m.Incarnation:
			d.probeIncarnation(now, m.From, w)
		default:
			d.markHeard(now, m.From, m.Incarnation, now)
		}
	}
	switch m.Kind {
	case Ping:
		d.send(m.From, Message{Kind: Pong, Nonce: m.Nonce})
	case IndirectPing:
		d.answer(now, m)
	case IndirectAck:
		d.markHeard(now, m.Node, m.NodeIncarnation, asked-m.Age)
	case IndirectNack:
		if w := d.watched[m.Node]; w != nil && w.suspect && w.incarnation == m.NodeIncarnation {
			w.notHeard[m.From] = true
		}
	}
}

// answer tells what this node itself has heard of the one asked about. What it was only told by others counts with the
// age that it had, so rumours do not keep a dead process alive.
func (d *Detector) answer(now Time, m Message) {
	reply := Message{Kind: IndirectNack, Nonce: m.Nonce, Node: m.Node, NodeIncarnation: m.NodeIncarnation}
	w := d.watched[m.Node]
	if w != nil && w.everHeard && now-w.heard < d.o.SuspectTimeout {
		reply.Kind, reply.NodeIncarnation, reply.Age = IndirectAck, w.incarnation, now-w.heard
	}
	d.send(m.From, reply)
}
