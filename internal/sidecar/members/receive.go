package members

import "time"

// receive processes a frame from a peer, and forwards it if it is new and mayForward is set. m.mu must not be held.
func (m *Members) receive(b []byte, mayForward bool) {
	if m.receiveExchange(b) {
		return
	}
	if c, err := decodeClaim(b); err == nil {
		m.receiveClaim(c)
		return
	}
	if p, err := decodeFarewell(b); err == nil {
		m.receiveFarewell(p, b, mayForward)
		return
	}
	m.receiveUpdate(b, mayForward)
}

// receiveClaim adopts the epoch of a claim and forwards the claim, if the member's own epoch rises by it.
func (m *Members) receiveClaim(c claim) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.epochs.receiveClaim(c) {
		m.view.Epoch = m.epochs.own.epoch()
		m.queueClaim(c)
	}
}

// receiveFarewell records the farewell of a process, and forwards it as it was encoded if it is new.
func (m *Members) receiveFarewell(p process, encoded []byte, mayForward bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.recordFarewell(p) && mayForward {
		m.broadcasts = append(m.broadcasts, &broadcast{name: farewellPrefix + p.name, encoded: encoded})
		wake(m.wakeWorker)
	}
}

// receiveUpdate merges what can only be an update, and forwards it if it is new and young and the queue is not full.
func (m *Members) receiveUpdate(b []byte, mayForward bool) {
	f, err := decodeUpdate(b)
	m.mu.Lock()
	fresh := m.acceptFrame(f, err)
	young := fresh && m.states.age(f, m.clock()) <= maxGossipAge
	m.mu.Unlock()
	if young && mayForward && m.queue.NumQueued() < maxQueued {
		m.queueFrame(f)
	}
}

// recordFarewell records the farewell of a process, and reports whether it is new. m.mu is held. The farewell is needed because
// memberlist does not say whether a process left or died, and only the index of one that left is reserved for its successor.
func (m *Members) recordFarewell(p process) bool {
	known := m.members[p.name] == p.start && p.name != m.options.Name
	for name := range m.lost {
		if parseNodeName(name) == p {
			known = true
			delete(m.lost, name)
		}
	}
	if !known || m.farewells[p.name].start == p.start {
		return false
	}
	m.farewells[p.name] = farewell{p.start, time.Now()}
	return true
}

// acceptFrame merges an update, or counts why it is not merged; err is that of decoding it. It reports whether OnUpdate is to be called
// for it and whether it may be forwarded. m.mu is held.
func (m *Members) acceptFrame(received frame, err error) bool {
	now := m.clock()
	switch start, known := m.members[received.name]; {
	case err != nil:
		m.counts.Malformed++
		return false
	case received.name == m.options.Name: // a frame of this process that came back, or of another process of this member
		m.counts.Duplicates++
		return false
	case !known || received.start != start:
		m.counts.NonMembers++
		return false
	case m.states.isNewer(received) && !m.spendBudget(received, now):
		m.counts.RateLimited++
		return false
	case !m.states.merge(received, now):
		m.counts.Duplicates++
		return false
	case m.states.age(received, now) > m.options.TTL:
		m.counts.Expired++
		return false
	}
	m.counts.Updates++
	m.lastUpdateAt = now
	m.pending[stateKey{received.name, received.kind}] = struct{}{}
	wake(m.wakeWorker)
	return true
}
