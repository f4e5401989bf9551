package members

import "slices"

// Publish replaces this member's state of a kind. The payload must not be changed afterwards. A member that publishes more than its
// share (see originShare: 640 bytes a second at 300 members, headers included) sends its newest state later, and leaves out a state
// that is replaced before it was sent. A kind or payload beyond its bound is refused with a BoundsError.
func (m *Members) Publish(kind uint8, payload []byte) error {
	if kind >= MaxKinds || len(payload) > MaxPayloadBytes {
		return &BoundsError{Kind: kind, Bytes: len(payload)}
	}
	m.mu.Lock()
	f := frame{name: m.options.Name, kind: kind, start: m.start, publishedAt: m.clock(), payload: payload}
	if i := slices.IndexFunc(m.delayed, func(w frame) bool { return w.kind == kind }); i >= 0 {
		m.delayed[i] = f
	} else {
		m.delayed = append(m.delayed, f)
	}
	now := m.releaseDelayedLocked()
	if len(m.delayed) > 0 {
		m.counts.Delayed++
	}
	m.mu.Unlock()
	for _, f := range now {
		m.queueFrame(f)
	}
	return nil
}

// releaseDelayed publishes delayed states as far as the member's share goes, and returns them. m.mu must not be held.
func (m *Members) releaseDelayed() []frame {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.releaseDelayedLocked()
}

// releaseDelayedLocked is releaseDelayed for callers that hold m.mu.
func (m *Members) releaseDelayedLocked() (released []frame) {
	b := m.budgets[m.options.Name]
	if b == nil {
		b = &byteBudget{}
		m.budgets[m.options.Name] = b
	}
	rate := originShare(len(m.members))
	for len(m.delayed) > 0 && b.spend(m.delayed[0].size(), m.clock(), rate, rate*burstSeconds) {
		f := m.delayed[0]
		m.delayed = m.delayed[1:]
		m.seq++
		f.seq = m.seq
		m.states.merge(f, f.publishedAt)
		m.lastUpdateAt = m.clock()
		released = append(released, f)
	}
	return released
}
