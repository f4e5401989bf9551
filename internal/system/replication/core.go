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

// Outputs is the work that the core requests.
type Outputs struct {
	Messages    []Envelope   // to send, in order; any of them may be lost
	Disk        *DiskOp      // to run; report its result with DiskDone. nil: none
	Completions []Completion // of calls to Submit and Read
	LogEvents   []string     // lines for the log
}

// Core is one node's part in the chain and in the agreement on views. It is a pure state machine: it routes messages, ticks and the
// results of writes to its parts, and Ready returns the work that they request. Its times count from the start of the process, on a
// monotonic clock. It is not safe for concurrent use.
type Core struct {
	*environment
	acceptor     *acceptor         // this node's vote on views
	proposer     *proposer         // gets views chosen
	planner      *planner          // computes the next view
	chain        *chainReplica     // log, commit index, neighbours
	confirmation *readConfirmation // asks the voters whether the epoch is still current
	calls        *clientCalls      // calls made at this node
	decider      *changeDecider    // changes forwarded to this node as the head
	liveness     *liveness         // tracks peers by their heartbeats
	writer       *diskWriter       // writes to disk, one at a time
}

// newCore creates a core with nothing on disk yet, and connects its parts.
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
			contacts:        contacts{seeds: cfg.Seeds},
		},
		writer: &diskWriter{environment: env},
	}
	core.connect()
	return core
}

// connect gives each part references to the parts that it uses.
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

// NewCore creates a core from the contents of the disk. Call Tick soon afterwards, and then every few tens of milliseconds.
func NewCore(cfg Config, machine Machine, meta map[string][]byte, snap wal.Snapshot, entries []wal.Entry) (*Core, error) {
	core := newCore(cfg, machine)
	if data, ok := meta[metaAcceptor]; ok {
		if err := core.loadAcceptor(data); err != nil {
			return nil, err
		}
	}
	if err := core.loadFirstStart(meta); err != nil {
		return nil, err
	}
	if err := core.chain.loadLog(snap, entries); err != nil {
		return nil, err
	}
	// The log of a replica that was active may extend beyond where the head's log ended when the epoch began.
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

// loadAcceptor restores the acceptor's state from disk.
func (c *Core) loadAcceptor(data []byte) error {
	const what = "the acceptor state"
	var p replicationpb.Register
	if err := proto.Unmarshal(data, &p); err != nil {
		return damagedDataError(err, what)
	}
	state := acceptorStateOf(&p)
	if state.identity.ID == "" {
		return damagedDataError(errors.New("it contains no identity"), what)
	}
	c.self.ID = state.identity.ID
	state.identity = c.self
	c.acceptor.restart(state)
	return nil
}

// Leave makes the other nodes remove this node from the chain, as soon as enough of them hold what was acknowledged. Departed reports
// when that is done.
func (c *Core) Leave(now time.Duration) {
	c.advance(now)
	c.liveness.draining = true
	c.announce()
	c.flush()
}

// announce reports this node's state to the others, and requests records if this node is outside the chain.
func (c *Core) announce() {
	c.liveness.sendHeartbeats()
	c.chain.sendFollow()
}

// Ready returns the requested work and clears it.
func (c *Core) Ready() Outputs {
	out := c.out
	c.out = Outputs{}
	return out
}

// advance moves the core's clock forward; it never goes backwards. Ticks come every few tens of milliseconds, so a jump means that
// the process was stalled. Messages that others sent in the meantime have not been read yet, so no peer must be suspected because of
// the gap.
func (c *Core) advance(now time.Duration) {
	if now-c.now > c.cfg.SuspectTimeout/2 {
		c.liveness.startGrace(now + c.cfg.SuspectTimeout)
	}
	c.now = max(c.now, now)
}

// Tick moves the clock forward, and does everything that has become due.
func (c *Core) Tick(now time.Duration) {
	c.advance(now)
	c.writer.checkWriteProgress()
	c.liveness.recordChainReachability()
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

// Receive handles a message from another node. The core retains m.
func (c *Core) Receive(now time.Duration, m *replicationpb.Message) {
	c.advance(now)
	isForAnother := m.GetTo() != "" && ID(m.GetTo()) != c.self.ID
	if isForAnother || ID(m.GetFrom()) == c.self.ID {
		return
	}
	c.step(m)
	c.flush()
}

// flush delivers the messages that this node has sent to itself, and starts the next write. No message leaves a node before its
// identity is on disk.
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

// step routes a message to the part that handles it.
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

// Submit requests a change. A Completion with id follows within ttl.
func (c *Core) Submit(now time.Duration, id uint64, ch controlstate.Change, ttl time.Duration) {
	c.advance(now)
	if c.calls.startSubmit(id, ch, ttl) {
		c.flush()
	}
}

// Read requests the state after everything that was acknowledged before the call. A Completion with id follows within ttl.
func (c *Core) Read(now time.Duration, id uint64, ttl time.Duration) {
	c.advance(now)
	if c.calls.startRead(id, ttl) {
		c.flush()
	}
}

// Abandon ends a Submit or Read without a Completion, because its caller no longer waits. The call is not sent again; what was
// already sent may still be applied.
func (c *Core) Abandon(id uint64) {
	c.calls.abandonCall(id)
}

// DiskDone reports the result of the operation with the token.
func (c *Core) DiskDone(now time.Duration, token uint64, err error) {
	c.advance(now)
	if !c.writer.finishWrite(token, err) {
		return
	}
	c.chain.onDurableChange()
	c.flush()
}

// adoptView makes a chosen view this node's own, unless this node has a later one. The node takes part in the view once it is on
// disk. The steps, in this order:
//
//  1. chainReplica.discardRestoredLog: a node that does not lead its first view empties a restored log, and adopts the view once the
//     empty log is on disk.
//  2. acceptor.enterEpoch: the view becomes the current one, and the vote on the next one opens. A head becomes active here.
//  3. proposer.reset, and the planner restarts its wait for a head: proposals of the previous epoch are void.
//  4. chainReplica.leaveEpoch: what was known of the previous epoch's neighbors is forgotten.
//  5. changeDecider.abandonChanges: unless this node remains the head, it answers the changes that it can no longer decide.
//  6. diskWriter.persist: the view and the acceptor state are written. Everything that follows waits for this write.
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
			c.announce() // its next heartbeat is far off, and calls wait for contact with the new head
		}
	})
}
