// Package members lets sidecars know each other: who is a member, which index each has, and the newest state of each. It
// carries updates of these states and does not judge what they mean. Membership and gossip are hashicorp/memberlist's (SWIM with
// Lifeguard).
//
// # Terms
//
//   - A member is a sidecar by its name; its processes follow each other, each with a later start.
//   - A view is the set of members as one of them sees it, with its epoch. A state is what an origin (a member) published last of
//     one kind; an update is a state on its way.
//   - A frame is the encoded form of an update, a claim (of an epoch) or a farewell.
//
// # Invariants
//
// With members that tell the truth about themselves:
//
//   - A member that dies is out of the others' views within about 2 s, from 20 to 300 members; one that leaves, within 1 s more
//     than its farewell takes, unless its successor is there by then.
//   - Two members with the same epoch have the same set, hence the same indexes. An epoch never goes down.
//   - Updates come newest first for each origin and kind, never older than the TTL, and only of members' own processes.
//   - Old and new process of an upgrade are one member. The old one's farewell does not take the new one out.
//
// Members are not authenticated. Whoever can reach a member's port can join, and state what it likes in the name of another; a
// forged state of a member is seen, and overruled, by that member only.
package members

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// Update is the newest state of one kind that an origin published.
type Update struct {
	Origin  string // a member's name
	Start   int64  // of its process: a later one replaces an earlier
	Seq     uint64 // of that process, over all kinds
	Kind    uint8
	Age     time.Duration // since it was published, at the time of this call; see states
	Payload []byte
}

// Counts is what a member did since its start.
type Counts struct {
	Traffic
	Updates, Duplicates, Expired, Malformed, NonMembers int64 // frames: new ones, known ones, over the bound, not readable, of no member
	Delayed                                             int64 // own states that had to wait, as this member published too much; see Publish
	RateLimited                                         int64 // frames rejected, or states not asked for, as their origin published too much
	SendLimited                                         int64 // packets of exchanges not sent, as this member sent too much, or was asked too much
	Queued                                              int   // frames to pass on
	Joins, JoinsFailed                                  int64 // attempts to join
}

const (
	farewellPrefix = "farewell/"
	maxMembers     = 4096
)

// Members is one member, from New to Close.
type Members struct {
	options   Options
	start     int64     // of this process, Unix time in nanoseconds; compared only with processes of the same member
	startedAt time.Time // the same, with the monotonic reading that clock counts from
	ownNode   string    // memberlist's name for this process

	ctx        context.Context // done once the member ends
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	closing    sync.Once
	listening  chan struct{} // closed once transport and list are set
	wakeWorker chan struct{} // capacity 1
	wakeJoiner chan struct{} // capacity 1
	questions  chan question // of peers, which runExchange answers
	queue      *memberlist.TransmitLimitedQueue

	// mu guards what follows. It is not held while memberlist or queue is called: they call back under their own locks.
	mu        sync.Mutex
	list      *memberlist.Memberlist
	transport *transport
	counts    Counts

	nodes     map[string]*node       // processes that are there, by memberlist's name
	peers     []peerNode             // the nodes of other members; nil: to be taken from nodes
	members   map[string]int64       // the latest start of each member that is there
	farewells map[string]farewell    // the last of each member whose index is reserved for a successor
	lost      map[string]lostProcess // processes that died or fell out of touch, by memberlist's name

	epochs        epochs
	view          View
	viewStale     bool          // nodes changed since view was computed
	notifiedEpoch uint64        // the epoch of the last view that OnView was called with
	nextClaim     time.Duration // when the own claim is gossiped again, by clock
	broadcasts    []*broadcast  // claims and farewells that the worker has to queue

	seq          uint64 // of the last state that was published
	states       *states
	pending      map[stateKey]struct{}  // states that OnUpdate is to be called with
	delayed      []frame                // own states that wait for the budget, one a kind
	budgets      map[string]*byteBudget // by origin, the own one included
	lastUpdateAt time.Duration          // when the last update was published or accepted, by clock
}

// node is a process of a member, and where it is reached.
type node struct {
	process
	address string
}

// lostProcess is where a process was that is not seen any more, and since when.
type lostProcess struct {
	address string
	lostAt  time.Time
}

// farewell is what a process sends when it ends by itself, and when it arrived.
type farewell struct {
	start      int64 // of the process
	receivedAt time.Time
}

// New checks the options; its errors are OptionErrors. The member knows nobody until Start.
func New(options Options) (*Members, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	options.TTL = cmp.Or(options.TTL, DefaultTTL)
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	now := time.Now()
	m := &Members{options: options, start: now.UnixNano(), startedAt: now, listening: make(chan struct{}),
		wakeWorker: make(chan struct{}, 1), wakeJoiner: make(chan struct{}, 1),
		nodes: map[string]*node{}, members: map[string]int64{}, farewells: map[string]farewell{}, lost: map[string]lostProcess{},
		states: newStates(), pending: map[stateKey]struct{}{}, budgets: map[string]*byteBudget{}, questions: make(chan question, maxQuestions)}
	m.ownNode = process{options.Name, m.start}.nodeName()
	m.queue = &memberlist.TransmitLimitedQueue{RetransmitMult: retransmitMult, NumNodes: m.count}
	m.nodes[m.ownNode] = &node{process: process{options.Name, m.start}}
	m.updateView()
	m.notifiedEpoch = m.view.Epoch
	return m, nil
}

// Start has the member listen and join until Close; once ctx is done it notifies and publishes nothing more. Where the address is in use, as by the process that this
// one follows, it goes on trying; other errors are returned.
func (m *Members) Start(ctx context.Context) error {
	m.ctx, m.cancel = context.WithCancel(ctx)
	err := m.listen()
	if err != nil && !errors.Is(err, errInUse) {
		m.cancel()
		return err
	}
	m.goroutines.Add(3)
	go m.runWorker()
	go m.runExchange()
	go m.runJoin(err == nil)
	return nil
}

// Close leaves and ends. The farewell takes half a second at most.
func (m *Members) Close() {
	m.closing.Do(func() {
		if m.cancel == nil {
			return
		}
		m.cancel()
		m.goroutines.Wait()
		m.mu.Lock()
		list := m.list
		m.mu.Unlock()
		if list == nil {
			return
		}
		m.queue.QueueBroadcast(&broadcast{name: farewellPrefix + m.options.Name, encoded: process{m.options.Name, m.start}.encodeFarewell()})
		if err := list.Leave(leaveTimeout); err != nil {
			m.options.Log.Debug("members", "leave", err)
		}
		if err := list.Shutdown(); err != nil {
			m.options.Log.Debug("members", "shutdown", err)
		}
	})
}

// View is who is a member now.
func (m *Members) View() View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view
}

// Counts are the figures as they stand.
func (m *Members) Counts() Counts {
	waiting := m.queue.NumQueued() // not under the lock, which the queue takes under its own
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.counts
	if m.transport != nil {
		c.Traffic = m.transport.traffic()
	}
	c.Queued = waiting
	return c
}

// Address is where this member listens; "" until it does.
func (m *Members) Address() string {
	select {
	case <-m.listening:
	default:
		return ""
	}
	host, _, _ := net.SplitHostPort(m.options.Listen)
	return net.JoinHostPort(host, strconv.Itoa(m.transport.port()))
}

// clock is the time since this process's start, monotonic.
func (m *Members) clock() time.Duration { return time.Since(m.startedAt) }

func (m *Members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.members)
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
