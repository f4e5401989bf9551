package replication

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
	"gradeusher.example/gradeusher/internal/system/wal"
)

// Envelope is a message and the address to send it to.
type Envelope struct {
	Addr string
	Msg  *replicationpb.Message
}

// Outputs is what the core wants done.
type Outputs struct {
	Messages    []Envelope   // send them, in order; any may be lost
	Disk        *DiskOp      // run it and report its end with DiskDone; nil: none
	Completions []Completion // of Submit and Read
	LogEvents   []string     // for people
}

// Core is one node's part of the chain and of the agreement on views. It is a pure state machine: it routes messages, ticks and the
// results of writes to its parts and hands out by Ready what they want done. Its times are since the start of the process, from a
// monotonic clock. It is not safe for concurrent use.
type Core struct {
	*environment
	acceptor     *acceptor         // this node's vote on views
	proposer     *proposer         // has views chosen
	planner      *planner          // works out the next view
	chain        *chainReplica     // log, commit index, neighbours
	confirmation *readConfirmation // asks the voters whether the epoch still stands
	calls        *clientCalls      // asked here
	decider      *changeDecider    // asked of the head
	liveness     *liveness         // peers and their heartbeats
	writer       *diskWriter       // writes to disk, one at a time
}

// newCore makes a core of which nothing is on disk yet, and connects its parts.
func newCore(cfg Config, machine Machine) *Core {
	cfg.applyDefaults()
	env := &environment{cfg: cfg, self: cfg.Self, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation))} //nolint:gosec // jitter
	core := &Core{
		environment:  env,
		acceptor:     &acceptor{environment: env, acceptorState: acceptorState{identity: cfg.Self, view: &View{}}},
		proposer:     &proposer{environment: env, proposeAt: -1},
		planner:      &planner{environment: env, seedMajoritySince: -1, headlessSince: -1},
		chain:        &chainReplica{environment: env, machine: machine, state: machine.Empty(), downstream: map[ID]*progress{}},
		confirmation: &readConfirmation{environment: env},
		calls:        &clientCalls{environment: env, submits: map[uint64]*pendingSubmit{}, reads: map[uint64]*pendingRead{}},
		decider:      &changeDecider{environment: env, changes: map[changeKey]*pendingChange{}},
		liveness: &liveness{
			environment: env, peers: map[ID]*peer{}, lastHeartbeatSentAt: -cfg.HeartbeatInterval,
			heartbeatNumber: firstHeartbeatNumber(cfg.Incarnation),
		},
		writer: &diskWriter{environment: env},
	}
	core.connect()
	return core
}

// connect gives each part those that it asks.
func (c *Core) connect() {
	c.addressOf = c.liveness.addressOf
	c.acceptor.writer, c.acceptor.liveness, c.acceptor.adoptView = c.writer, c.liveness, c.adoptView
	c.acceptor.yieldProposal, c.acceptor.announce = c.proposer.yield, c.announce
	c.proposer.acceptor, c.proposer.writer, c.proposer.liveness = c.acceptor, c.writer, c.liveness
	c.proposer.planner, c.proposer.adoptView = c.planner, c.adoptView
	c.planner.acceptor, c.planner.liveness, c.planner.chain = c.acceptor, c.liveness, c.chain
	c.chain.acceptor, c.chain.writer, c.chain.liveness, c.chain.completer = c.acceptor, c.writer, c.liveness, c
	c.confirmation.acceptor, c.confirmation.chain = c.acceptor, c.chain
	c.calls.acceptor, c.calls.liveness, c.calls.chain = c.acceptor, c.liveness, c.chain
	c.decider.acceptor, c.decider.writer, c.decider.liveness = c.acceptor, c.writer, c.liveness
	c.decider.chain, c.decider.confirmation = c.chain, c.confirmation
	c.liveness.acceptor, c.liveness.writer, c.liveness.replica = c.acceptor, c.writer, c.chain
	c.writer.acceptor, c.writer.chain = c.acceptor, c.chain
}

func (c *Core) completeChanges() { c.decider.completeChanges() }

func (c *Core) completeReads() { c.calls.completeReads() }

// NewCore makes a core from what the disk holds. Call Tick soon and then every few tens of milliseconds.
func NewCore(cfg Config, machine Machine, meta map[string][]byte, snap wal.Snapshot, entries []wal.Entry) (*Core, error) {
	core := newCore(cfg, machine)
	if data, ok := meta[metaAcceptor]; ok {
		if err := core.loadAcceptor(data); err != nil {
			return nil, err
		}
	}
	if err := core.chain.loadLog(snap, entries); err != nil {
		return nil, err
	}
	// The log of a replica that was active goes beyond where the head's ended when the epoch began.
	core.chain.minReadIndex, core.chain.epochStartIndex = core.chain.log.end(), core.chain.log.end()
	core.liveness.startGrace(core.cfg.SuspectTimeout + core.cfg.HeartbeatInterval)
	if !core.acceptor.identityDurable {
		core.writer.persist(func() { core.acceptor.identityDurable = true })
	}
	if err := core.chain.enterView(); err != nil {
		return nil, damagedDataError(err, "the log")
	}
	return core, nil
}

// loadAcceptor takes up the acceptor's state from disk.
func (c *Core) loadAcceptor(data []byte) error {
	const what = "the register"
	var p replicationpb.Register
	if err := proto.Unmarshal(data, &p); err != nil {
		return damagedDataError(err, what)
	}
	state := acceptorStateOf(&p)
	if state.identity.ID == "" {
		return damagedDataError(errors.New("it names no identity"), what)
	}
	c.self.ID = state.identity.ID
	state.identity = c.self
	c.acceptor.restart(state)
	return nil
}

// Leave makes the others remove this node from the chain, as soon as enough others hold what was acknowledged. Departed tells when that is
// done.
func (c *Core) Leave(now time.Duration) {
	c.advance(now)
	c.liveness.draining = true
	c.announce()
	c.flush()
}

// announce tells the others of this node's state, and asks to be sent records where it is outside the chain.
func (c *Core) announce() {
	c.liveness.sendHeartbeats()
	c.chain.sendFollow()
}

// Ready hands over what is to be done, once.
func (c *Core) Ready() Outputs {
	out := c.out
	c.out = Outputs{}
	return out
}

// advance moves the core's clock on; it never goes back. Ticks come every few tens of milliseconds, so a leap means that the process was
// stalled: what others sent meanwhile has yet to be read, and nobody is to be suspected for it.
func (c *Core) advance(now time.Duration) {
	if now-c.now > c.cfg.SuspectTimeout/2 {
		c.liveness.startGrace(now + c.cfg.SuspectTimeout)
	}
	c.now = max(c.now, now)
}

// Tick moves the clock on, and does what has become due.
func (c *Core) Tick(now time.Duration) {
	c.advance(now)
	c.writer.superviseWrites()
	c.liveness.observeReach()
	if c.now-c.liveness.lastHeartbeatSentAt >= c.liveness.heartbeatInterval() {
		c.announce()
	}
	c.chain.tickChain()
	c.calls.tickSubmits()
	c.decider.forgetChanges()
	c.calls.tickReads()
	c.confirmation.tickConfirmation()
	c.proposer.tickProposer()
	c.flush()
}

// Receive takes a message from another node. The core keeps m.
func (c *Core) Receive(now time.Duration, m *replicationpb.Message) {
	c.advance(now)
	isForAnother := m.GetTo() != "" && ID(m.GetTo()) != c.self.ID
	if isForAnother || ID(m.GetFrom()) == c.self.ID {
		return
	}
	c.step(m)
	c.flush()
}

// flush delivers what this node has sent to itself, and starts the next write. Nothing leaves a node before its identity is on disk.
func (c *Core) flush() {
	for len(c.loopback) > 0 {
		m := c.loopback[0]
		c.loopback = c.loopback[1:]
		c.step(m)
	}
	if c.err == nil {
		c.writer.startWrite()
	}
	if !c.acceptor.identityDurable || c.err != nil {
		c.out.Messages = nil
	}
}

// step routes a message to the part that it is for.
func (c *Core) step(m *replicationpb.Message) {
	from := ID(m.GetFrom())
	switch b := m.GetBody().(type) {
	case *replicationpb.Message_Heartbeat:
		c.liveness.handleHeartbeat(from, b.Heartbeat)
	case *replicationpb.Message_Prepare:
		c.acceptor.handlePrepare(from, b.Prepare)
	case *replicationpb.Message_Promise:
		c.proposer.handlePromise(from, b.Promise)
	case *replicationpb.Message_Accept:
		c.acceptor.handleAccept(from, b.Accept)
	case *replicationpb.Message_Accepted:
		c.proposer.handleAccepted(from, b.Accepted)
	case *replicationpb.Message_Reject:
		c.proposer.handleReject(b.Reject)
	case *replicationpb.Message_Chosen:
		c.adoptView(viewOf(b.Chosen.GetView()))
	case *replicationpb.Message_Append:
		c.chain.handleAppend(from, b.Append)
	case *replicationpb.Message_Ack:
		c.chain.handleAck(from, b.Ack)
	case *replicationpb.Message_Install:
		c.chain.handleInstall(from, b.Install)
	case *replicationpb.Message_Follow:
		c.chain.handleFollow(from, b.Follow)
	case *replicationpb.Message_Forward:
		c.decider.handleForward(from, b.Forward)
	case *replicationpb.Message_Answer:
		c.calls.handleAnswer(b.Answer)
	case *replicationpb.Message_Confirm:
		c.confirmation.handleConfirm(from, b.Confirm)
	case *replicationpb.Message_Confirmed:
		c.confirmation.handleConfirmed(from, b.Confirmed)
	case *replicationpb.Message_ReadIndex:
		c.confirmation.handleReadIndex(from, b.ReadIndex)
	case *replicationpb.Message_Seal:
		c.acceptor.handleSeal(b.Seal)
	case *replicationpb.Message_ReadAt:
		c.calls.handleReadAt(b.ReadAt)
	}
}

// Submit asks for a change. A Completion with id follows within ttl.
func (c *Core) Submit(now time.Duration, id uint64, ch controlstate.Change, ttl time.Duration) {
	c.advance(now)
	if c.calls.startSubmit(id, ch, ttl) {
		c.flush()
	}
}

// Read asks for the state after all that was acknowledged before. A Completion with id follows within ttl.
func (c *Core) Read(now time.Duration, id uint64, ttl time.Duration) {
	c.advance(now)
	if c.calls.startRead(id, ttl) {
		c.flush()
	}
}

// Abandon ends a Submit or Read without a Completion: nobody waits for it. It is not sent again; what was sent may yet be applied.
func (c *Core) Abandon(id uint64) {
	c.calls.abandonCall(id)
}

// DiskDone tells that the operation with the token has ended, and how.
func (c *Core) DiskDone(now time.Duration, token uint64, err error) {
	c.advance(now)
	if !c.writer.finishWrite(token, err) {
		return
	}
	c.chain.onDurableChange()
	c.flush()
}

// adoptView makes a chosen view this node's own, unless it has a later one. It takes part in it once the view is on disk. The steps, in
// this order:
//
//  1. chainReplica.discardRestoredLog: a node that does not lead its first view empties a restored log, and adopts the view once that is on disk.
//  2. acceptor.enterEpoch: the view becomes the present one, and the vote on the next one is open. A head becomes active here.
//  3. proposer.reset, and the planner waits anew: what was proposed for the former epoch is void.
//  4. chainReplica.leaveEpoch: what was known of the former epoch's neighbours is forgotten.
//  5. changeDecider.abandonChanges: unless this node remains the head, it answers the changes that it cannot decide any more.
//  6. diskWriter.persist: the view and the acceptor state are written. All that follows waits for it.
//  7. chainReplica.enterView, with enterAsHead at the head: the replica takes part.
func (c *Core) adoptView(v *View) {
	if v == nil || v.Epoch <= c.acceptor.view.Epoch || c.chain.discardRestoredLog(v) {
		return
	}
	c.acceptor.enterEpoch(v)
	c.proposer.reset()
	c.planner.headlessSince = -1
	c.chain.leaveEpoch()
	c.decider.abandonChanges()
	c.writer.persist(func() {
		if c.acceptor.view != v {
			return
		}
		c.acceptor.viewDurable = true
		if err := c.chain.enterView(); err != nil {
			c.fail(err)
		}
		if c.cfg.Observer {
			c.announce() // its next heartbeat is far off, and calls wait for a contact with the new head
		}
	})
}
