// Package members gives sidecars a view of each other: who is a member, which index each member has, and the newest states that
// each has published. It does not interpret the states. Membership and gossip are hashicorp/memberlist's, which implements SWIM with
// Lifeguard. This package adds the index and the epoch of a view, and brings each member the updates that gossip did not.
//
// # Terms
//
//   - A member is a sidecar, identified by its name. Its processes follow each other, each with a later start.
//   - A view is the set of members as one of them sees it, with an epoch: a number on which the members agree.
//   - A state is what a member, its origin, published last of one kind. An update is a state on its way to the others.
//   - A claim says that a member gave a set of members an epoch. A farewell says that a process ends by itself.
//   - A frame is the encoded form of an update, a claim, a farewell, or a message of an exchange.
//   - An exchange compares the states of two members, and brings each what it lacks (anti-entropy).
//
// # Invariants
//
// Where all members follow the protocol:
//
//   - A member that dies is out of the others' views within about 2 s, from 20 to 300 members. One that leaves is out of them
//     handoverTime after its farewell arrived, unless its successor has joined by then.
//   - Two members with the same epoch have the same set of members, hence the same indexes. An epoch never decreases.
//   - For each origin and kind, updates arrive in the order in which they were published; some may be left out. None is older than
//     the TTL, and each is of a process that is its member's newest when it arrives.
//   - The old and the new process of an upgrade are one member. The old one's farewell does not remove the new one.
//
// Members are not authenticated. Whoever can reach a member's port can join, and publish states in the name of another member; that
// member ignores what comes in its own name.
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

// Counts are counters of one member since its start, and the length of its queue.
type Counts struct {
	Traffic

	// Frames that were received.
	Updates    int64 // of a newer state than was stored, within the TTL
	Duplicates int64 // of a state that was stored already, or of this member itself
	Expired    int64 // of a newer state that was older than the TTL
	Malformed  int64 // that could not be decoded
	NonMembers int64 // of a process that is not its member's newest; also questions of unknown processes, and processes beyond maxMembers

	Delayed     int64 // calls of Publish after which states had to wait, as this member published too much
	RateLimited int64 // frames rejected, and states not asked for, as their origin published too much
	SendLimited int64 // packets of exchanges not sent, as this member sent too much, and questions beyond maxQuestions
	Queued      int   // frames that wait to be gossiped
	Joins       int64 // attempts to join through other members
	JoinsFailed int64 // those that reached none

	ListenErrors int64 // attempts to listen that failed, though the address was not in use
	LeftOut      int64 // states and claims that were left out of push-pulls for want of room, which exchanges bring
}

const (
	farewellPrefix = "farewell/" // of the name of a broadcast that is a farewell, before the member's name
	maxMembers     = 4096        // processes that are known at once
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

	// list and transport are set under mu before listening is closed. Whoever has waited for that reads them without it.
	list      *memberlist.Memberlist
	transport *transport

	// mu guards what follows. It is not held while memberlist or queue is called: they call back under their own locks.
	mu     sync.Mutex
	counts Counts

	nodes     map[string]*node       // processes that are there, by memberlist's name
	peers     []string               // addresses of the nodes of other members; nil: to be taken from nodes
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

// New returns a member that knows of itself only, until Start. It returns an OptionError for the first option that is not valid.
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
	m.ownNode = m.process().nodeName()
	m.queue = &memberlist.TransmitLimitedQueue{RetransmitMult: retransmitMult, NumNodes: m.count}
	m.nodes[m.ownNode] = &node{process: m.process()}
	m.updateView()
	m.notifiedEpoch = m.view.Epoch
	return m, nil
}

// Start has the member listen and join the others until Close. Once ctx is done it calls neither OnUpdate nor OnView any more, and takes
// no part in exchanges. Where the address is in use, as by the earlier process of an upgrade, Start returns nil and the member tries
// again until it listens, whatever error comes then; other errors of this first attempt are returned.
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

// Close sends the farewell, which takes leaveTimeout at most, closes the sockets and waits for the member's own goroutines. Only the
// first call has an effect, and none if it comes before Start. Goroutines of memberlist may end somewhat later.
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
		m.queue.QueueBroadcast(&broadcast{name: farewellPrefix + m.options.Name, encoded: m.process().encodeFarewell()})
		if err := list.Leave(leaveTimeout); err != nil {
			m.options.Log.Debug("members", "leave", err)
		}
		if err := list.Shutdown(); err != nil {
			m.options.Log.Debug("members", "shutdown", err)
		}
	})
}

// View returns the view as last computed. Its Names are shared and must not be changed.
func (m *Members) View() View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view
}

// Counts returns the counters as they stand.
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

// Address returns the host and port at which the member listens; "" until it does.
func (m *Members) Address() string {
	select {
	case <-m.listening:
	default:
		return ""
	}
	host, _, _ := net.SplitHostPort(m.options.Listen)
	return net.JoinHostPort(host, strconv.Itoa(m.transport.port()))
}

// process returns the member's own process.
func (m *Members) process() process { return process{m.options.Name, m.start} }

// clock returns the monotonic time since this member was made, which is the clock of all durations that are points in time.
func (m *Members) clock() time.Duration { return time.Since(m.startedAt) }

// count returns how many members are there, for memberlist's queue among others.
func (m *Members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.members)
}

// wake wakes the goroutine that receives from a channel of capacity 1, now or the next time that it waits.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
