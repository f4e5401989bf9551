package members

import (
	"strconv"
	"time"

	"github.com/hashicorp/memberlist"
)

// broadcast is a frame in memberlist's queue of gossip. A later broadcast of the same name replaces it.
type broadcast struct {
	name    string
	encoded []byte
	age     func() time.Duration // of an update; nil: the frame carries no age
}

var _ memberlist.NamedBroadcast = (*broadcast)(nil)

// Name implements memberlist.NamedBroadcast, as do the methods after it.
func (b *broadcast) Name() string { return b.name }

// Invalidates returns false. memberlist compares the names of named broadcasts instead of calling it.
func (b *broadcast) Invalidates(memberlist.Broadcast) bool { return false }

// Message returns the frame to send, with its age at this moment.
func (b *broadcast) Message() []byte {
	if b.age == nil {
		return b.encoded
	}
	return withAge(b.encoded, b.age())
}

// Finished does nothing: nobody waits for a broadcast.
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

// queueClaim has the worker queue a claim for gossip, in place of earlier ones. m.mu is held.
func (m *Members) queueClaim(c claim) {
	m.broadcasts = append(m.broadcasts, &broadcast{name: "epoch", encoded: c.encode()})
	wake(m.wakeWorker)
}
