// Package link emulates a network with faults between the processes of an experiment, which all run on one machine and talk over
// loopback.
//
// Terms: a link joins a near end, the process that connects, to a far end, the process that listens. The far end wraps each
// connection that it accepts (Wrap); bytes are buffered in the far end's process and pass as the state of the link allows. So a link
// can be slow, lossy, blocked in one direction or partitioned, and the far end can lose its connections, while the kernel of the near
// end sees nothing but a peer that does not answer. Each near end has a loopback address of its own, by which a far end knows
// the caller (Near).
//
// Invariants: the bytes of one direction keep their order whatever the state of the link; what a link does not let pass is
// buffered and arrives when it passes again, unless the connection is reset or forgotten.
package link

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Direction is the way in which bytes travel on a link.
type Direction int

// The directions, seen from the near end, which is the one that connects.
const (
	ToFar Direction = iota
	ToNear
	directions
)

// State is the fault state of a link. The zero value passes everything without delay.
type State struct {
	Hold   [directions]bool `json:"hold"`   // nothing arrives in this direction while set; what was sent arrives afterwards
	Delay  time.Duration    `json:"delay"`  // in each direction
	Jitter time.Duration    `json:"jitter"` // added to Delay, uniform from 0; the order of a stream is kept
	Rate   int              `json:"rate"`   // bytes per second in each direction; 0: unbounded
	Loss   float64          `json:"loss"`   // probability that a packet is lost, in each direction; of a stream, that bytes are retransmitted
}

// plain reports whether the link has no fault.
func (s State) plain() bool { return s == State{} }

// Link has the state that all connections between a near end and a far end share. It is safe for concurrent use.
type Link struct {
	mu      sync.Mutex
	state   State
	changed chan struct{} // closed when state changes
	conns   map[*Conn]bool
}

// New returns a link without faults.
func New() *Link { return &Link{changed: make(chan struct{}), conns: map[*Conn]bool{}} }

// Set changes the state of the link, at once for all its connections.
func (l *Link) Set(s State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == s {
		return
	}
	l.state = s
	close(l.changed)
	l.changed = make(chan struct{})
}

// State returns the state of the link and a channel that is closed when it changes.
func (l *Link) State() (State, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.changed
}

// retransmissionTimeout is the additional delay of lost bytes of a stream: Linux's lower bound of the time-out (TCP_RTO_MIN).
const retransmissionTimeout = 200 * time.Millisecond

// dueAt draws when bytes of a stream that are sent now arrive, in ns of the lab's clock.
func (l *Link) dueAt(now int64) int64 {
	s, _ := l.State()
	now += int64(s.drawDelay())
	if s.Loss > 0 && rand.Float64() < s.Loss {
		now += int64(retransmissionTimeout)
	}
	return now
}

// drawDelay draws the delay of one direction.
func (s State) drawDelay() time.Duration {
	if s.Jitter > 0 {
		return s.Delay + rand.N(s.Jitter)
	}
	return s.Delay
}

// DrawPacket draws the fate of one packet to the far end: its delay, or, where passes is false, that it is lost. Packets may
// overtake each other.
func (l *Link) DrawPacket() (wait time.Duration, passes bool) {
	s, _ := l.State()
	return s.drawDelay(), !s.Hold[ToFar] && (s.Loss <= 0 || rand.Float64() >= s.Loss)
}

// Reset resets all connections of the link, as a machine does that restarted and knows none of them. It returns their number.
func (l *Link) Reset() int { return l.forEach((*Conn).Reset) }

// Forget drops the far end's side of all connections without a packet, so that they are half open at the near end. It returns their
// number.
func (l *Link) Forget() int { return l.forEach((*Conn).forget) }

// forEach calls do with each connection, without the lock, and returns their number.
func (l *Link) forEach(do func(*Conn)) int {
	l.mu.Lock()
	conns := make([]*Conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		do(c)
	}
	return len(conns)
}

func (l *Link) add(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
}

func (l *Link) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}
