package members

import (
	"strconv"
	"time"

	"github.com/hashicorp/memberlist"
)

// broadcast is a frame to gossip. A later broadcast of the same name replaces it.
type broadcast struct {
	name    string
	encoded []byte
	age     func() time.Duration // nil: it has none
}

var _ memberlist.NamedBroadcast = (*broadcast)(nil)

// Name implements memberlist.NamedBroadcast, as do the methods after it.
func (b *broadcast) Name() string { return b.name }

// Invalidates is not asked for broadcasts with a name.
func (b *broadcast) Invalidates(memberlist.Broadcast) bool { return false }

// Message is the frame, with its age as it is sent.
func (b *broadcast) Message() []byte {
	if b.age == nil {
		return b.encoded
	}
	return withAge(b.encoded, b.age())
}

// Finished implements memberlist.Broadcast.
func (b *broadcast) Finished() {}

// queueFrame queues a frame for gossip. m.mu must not be held.
func (m *Members) queueFrame(f frame) {
	b := &broadcast{name: strconv.Itoa(int(f.kind)) + "/" + f.name, encoded: f.encode()}
	b.age = func() time.Duration {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.states.age(f, m.clock())
	}
	m.queue.QueueBroadcast(b)
}

// queueClaim queues the member's own claim for gossip, in place of earlier ones. m.mu is held.
func (m *Members) queueClaim(c claim) {
	m.broadcasts = append(m.broadcasts, &broadcast{name: "epoch", encoded: c.encode()})
	wake(m.wakeWorker)
}
