// Package link is the loopback network between the processes of an experiment, with faults. A far end listens through it:
// what is accepted is handed over byte by byte as the link's state allows, so a link can be slow, silent in one direction,
// cut, or forgotten by the far end, while the near end's kernel sees nothing but a quiet peer.
//
// The stand-ins wrap the sockets that they accept.
package link

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Direction is which way bytes go on a link.
type Direction int

// The near end is the one that connects.
const (
	ToFar Direction = iota
	ToNear
	directions
)

// State is how a link is now. The zero value carries everything at once.
type State struct {
	Hold   [directions]bool `json:"hold"`   // nothing arrives; it does when the hold ends
	Delay  time.Duration    `json:"delay"`  // one way
	Jitter time.Duration    `json:"jitter"` // added to it, evenly from 0; the order is kept
	Rate   int              `json:"rate"`   // bytes a second, each way; 0: unbounded
	Loss   float64          `json:"loss"`   // share of the packets that do not arrive, each way; what a stream loses comes late
}

func (s State) plain() bool { return s == State{} }

// Link is one link's state; all connections over it share it. It is safe for concurrent use.
type Link struct {
	mu      sync.Mutex
	state   State
	changed chan struct{} // closed when state changes
	conns   map[*Conn]bool
}

// New is a link without faults.
func New() *Link { return &Link{changed: make(chan struct{}), conns: map[*Conn]bool{}} }

// Set changes the link's state.
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

// State is the link's state and a channel that is closed when it changes.
func (l *Link) State() (State, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.changed
}

// retransmissionTimeout is how late what a stream has lost arrives: the least time after which Linux sends it again (TCP_RTO_MIN).
const retransmissionTimeout = 200 * time.Millisecond

func (l *Link) dueAt(now int64) int64 {
	s, _ := l.State()
	now += int64(s.drawDelay())
	if s.Loss > 0 && rand.Float64() < s.Loss {
		now += int64(retransmissionTimeout)
	}
	return now
}

// drawDelay draws how long the way takes.
func (s State) drawDelay() time.Duration {
	if s.Jitter > 0 {
		return s.Delay + rand.N(s.Jitter)
	}
	return s.Delay
}

// DrawPacket draws what becomes of a packet to the far end: how long it takes, or, where passes is false, that it is lost. Packets
// may overtake each other.
func (l *Link) DrawPacket() (wait time.Duration, passes bool) {
	s, _ := l.State()
	return s.drawDelay(), !s.Hold[ToFar] && (s.Loss <= 0 || rand.Float64() >= s.Loss)
}

// Reset ends all connections of the link at once, as by a machine that came back and knows none of them.
func (l *Link) Reset() int { return l.forEach((*Conn).Reset) }

// Forget has the far end lose all connections without a word: the near end holds them half open.
func (l *Link) Forget() int { return l.forEach((*Conn).forget) }

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
