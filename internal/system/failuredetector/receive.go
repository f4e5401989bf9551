package failuredetector

// Receive applies a message. Messages from nodes that are not members, and stale replies, are dropped.
func (d *Detector) Receive(now Time, message Message) {
	d.advanceClock(now)
	if message.From == d.options.Self || !d.isMember[message.From] {
		return
	}
	sentAt := now // for a reply: when its ping was sent
	switch message.Kind {
	case Pong, IndirectNack, IndirectAck:
		var fresh bool
		if sentAt, fresh = d.freshReply(now, message.Nonce); !fresh {
			return
		}
		d.connected = true
	case Heartbeat, Ping, IndirectPing, Leave:
	default:
		return
	}
	d.lastContact = now
	d.observeSender(now, message)
	switch message.Kind {
	case Ping:
		d.send(message.From, Message{Kind: Pong, Nonce: message.Nonce})
	case IndirectPing:
		d.answerIndirectPing(now, message)
	case IndirectAck:
		d.recordContact(now, message.Node, message.NodeIncarnation, sentAt-message.Age)
	case IndirectNack:
		if w := d.watched[message.Node]; w != nil {
			w.recordNack(message.From, message.NodeIncarnation)
		}
	}
}

// freshReply returns when the ping of a reply was sent, and whether the reply is recent enough to be valid evidence: other
// replies waited in a buffer, or answer a ping of a former process.
func (d *Detector) freshReply(now Time, nonce uint64) (sentAt Time, fresh bool) {
	if d.options.knobs.AcceptStaleReplies {
		return now, true
	}
	sentAt, known := d.pings.sentAt(nonce)
	return sentAt, known && now-sentAt < d.options.SuspectTimeout
}

// observeSender updates the state of a message's sender, if this node watches it.
func (d *Detector) observeSender(now Time, message Message) {
	w := d.watched[message.From]
	switch {
	case w == nil:
	case message.Kind == Leave:
		w.left = w.left || w.incarnation == message.Incarnation
	case w.incarnation != message.Incarnation:
		d.confirmIncarnation(now, message.From, w)
	default:
		d.recordContact(now, message.From, message.Incarnation, now)
	}
}

// answerIndirectPing replies with the last contact that this node had with the requested node. Contact reported by other watchers
// keeps its age, so that second-hand reports do not keep a dead process in the membership list.
func (d *Detector) answerIndirectPing(now Time, ping Message) {
	reply := Message{Kind: IndirectNack, Nonce: ping.Nonce, Node: ping.Node, NodeIncarnation: ping.NodeIncarnation}
	w := d.watched[ping.Node]
	if w != nil && w.contacted && now-w.lastContact < d.options.SuspectTimeout {
		reply.Kind, reply.NodeIncarnation, reply.Age = IndirectAck, w.incarnation, now-w.lastContact
	}
	d.send(ping.From, reply)
}
