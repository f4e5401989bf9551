package replication

import (
	"fmt"
	"math/rand/v2"
	"slices"
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
	Messages    []Envelope
	Disk        *DiskOp // report its end with DiskDone
	Completions []Completion
	LogEvents   []string // for the log
}

// Core is one keeper's part of the chain and of the agreement. Its times are since the start of the process, from a
// monotonic clock. It is not safe for concurrent use.
type Core struct {
	cfg      Config
	machine  Machine
	now      time.Duration
	rng      *rand.Rand
	out      Outputs
	self     Member
	loopback []*replicationpb.Message // to itself
	err      error

	acceptor        acceptorState
	identityDurable bool   // the identity is on disk
	viewDurable     bool   // the view is on disk
	durableActive   uint64 // reg.active, reg.sealed and reg.view.Epoch as they are on disk
	durableSealed   uint64
	durableEpoch    uint64

	log                 memoryLog
	state               State // after committed
	commitIndex         uint64
	matchIndex          uint64 // up to here the log is known to be the one upstream, in this epoch
	upstreamCommitIndex uint64 // committed according to upstream (learners)
	caughtUpAt          time.Duration
	caughtUp            bool
	upstreamMatched     bool    // an append of the link before has matched, in this epoch and life
	minReadIndex        uint64  // no read below: may be acknowledged
	epochStartIndex     uint64  // where the log of the head ended when it entered the epoch
	uncommittedStates   []State // the head's: after each record above committed
	downstream          map[ID]*progress
	ackSentAt           time.Duration
	writer              diskWriter

	peers           map[ID]*peer
	heartbeatNumber uint64 // of the last heartbeat sent
	heartbeatSentAt [heartbeatHistory]time.Duration
	lastHeartbeatAt time.Duration
	graceUntil      time.Duration // until then silence says nothing
	chainReachedAt  time.Duration // when there was last a way to the chain; not before graceUntil
	leaving         bool

	proposal          *proposal
	proposeAt         time.Duration // when a change of the view was first wanted; negative: none is
	backoffUntil      time.Duration
	lastPlannedAt     time.Duration
	highestRoundSeen  uint64
	headlessSince     time.Duration // when it was first seen that no link may lead; negative: one may
	seedMajoritySince time.Duration // when a majority of the seeds was first known; negative: never

	submits        map[uint64]*submit // asked here
	changes        map[changeKey]*pendingChange
	pending        []*pendingChange // in the head's log, not yet committed, by number
	reads          map[uint64]*read
	lastCallNumber uint64 // last key of a submit
	confirmation   readConfirmation
}

// NewCore makes a core from what the disk holds. Call Tick soon and then every few tens of milliseconds.
func NewCore(cfg Config, machine Machine, meta map[string][]byte, snap wal.Snapshot, entries []wal.Entry) (*Core, error) {
	cfg.applyDefaults()
	c := &Core{
		cfg: cfg, self: cfg.Self, machine: machine, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)), //nolint:gosec // jitter
		state: machine.Empty(), proposeAt: -1, seedMajoritySince: -1, headlessSince: -1, lastHeartbeatAt: -cfg.HeartbeatInterval,
		heartbeatNumber: firstHeartbeatNumber(cfg.Incarnation), downstream: map[ID]*progress{}, peers: map[ID]*peer{}, submits: map[uint64]*submit{},
		changes: map[changeKey]*pendingChange{}, reads: map[uint64]*read{},
	}
	if data, ok := meta[metaAcceptor]; ok {
		var p replicationpb.Register
		if err := proto.Unmarshal(data, &p); err != nil {
			return nil, damagedDataError(err, "the register")
		}
		c.acceptor = acceptorStateOf(&p)
		id := c.acceptor.identity.ID
		if id == "" {
			return nil, damagedDataError(errors.New("it names no identity"), "the register")
		}
		c.self.ID = id
		c.acceptor.identity = c.self
		c.identityDurable = true
	} else {
		c.acceptor = acceptorState{identity: cfg.Self, view: &View{}}
	}
	if err := c.loadLog(snap, entries); err != nil {
		return nil, err
	}
	c.durableActive, c.durableSealed, c.durableEpoch = c.acceptor.activeEpoch, c.acceptor.sealedEpoch, c.acceptor.view.Epoch
	c.viewDurable = c.acceptor.view.Epoch > 0
	// An active link's log goes beyond where the head's ended when the epoch began.
	c.minReadIndex, c.epochStartIndex = c.log.end(), c.log.end()
	c.graceUntil = cfg.SuspectTimeout + cfg.HeartbeatInterval
	c.chainReachedAt = c.graceUntil
	if !c.identityDurable {
		c.persist(func() { c.identityDurable = true })
	}
	if err := c.enterView(); err != nil {
		return nil, damagedDataError(err, "the log")
	}
	return c, nil
}

func (c *Core) loadLog(snap wal.Snapshot, entries []wal.Entry) error {
	if snap.Seq > 0 {
		var p replicationpb.Image
		if err := proto.Unmarshal(snap.Data, &p); err != nil {
			return damagedDataError(err, "the snapshot")
		}
		s, err := c.machine.Decode(p.GetState())
		if err != nil {
			return damagedDataError(err, "the snapshot")
		}
		c.state, c.commitIndex = s, snap.Seq
		c.log.base, c.log.baseEpoch = snap.Seq, p.GetEpoch()
		c.writer.snapshotSeq = snap.Seq
	}
	for _, e := range entries {
		if e.Seq <= c.log.end() {
			continue
		}
		var p replicationpb.Entry
		if err := proto.Unmarshal(e.Data, &p); err != nil || p.GetSeq() != c.log.end()+1 {
			return damagedDataError(err, fmt.Sprintf("record %d", e.Seq))
		}
		c.log.entries = append(c.log.entries, entryOf(&p))
		c.writer.loggedBytes += len(e.Data)
	}
	c.writer.durableEnd = c.log.end()
	return nil
}

// damagedDataError marks what the disk gave back whole but is not what a keeper writes: it is as good as damaged.
func damagedDataError(err error, what string) error {
	if err == nil {
		err = errors.New("its number is not the next one")
	}
	return errors.Mark(errors.Wrapf(err, "replication: %s on disk cannot be read: put the log aside and start under a new identity", what), wal.ErrDamaged)
}

// Self is this keeper; its ID is the one on disk.
func (c *Core) Self() Member { return c.self }

// View is the newest view known.
func (c *Core) View() *View { return c.acceptor.view }

// Committed is the newest number known to be committed and the state after it.
func (c *Core) Committed() (uint64, State) { return c.commitIndex, c.state }

// Err tells why the core has stopped taking part: a bug or a disk that lies. It is nil as long as all is well.
func (c *Core) Err() error { return c.err }

// RecordsAfter lists the committed records after seq, at most of them; false where they are no longer or not yet known.
func (c *Core) RecordsAfter(seq uint64, most int) ([]controlstate.Record, bool) {
	if seq < c.log.base || seq > c.commitIndex {
		return nil, false
	}
	var out []controlstate.Record
	for s := seq + 1; s <= c.commitIndex && s <= c.log.end() && len(out) < most; s++ {
		out = append(out, c.log.at(s).rec)
	}
	return out, true
}

// Leave makes the others take this keeper out of the chain, as soon as enough others hold what was acknowledged.
func (c *Core) Leave(now time.Duration) {
	c.advance(now)
	c.leaving = true
	c.sendHeartbeats()
	c.flush()
}

// Departed tells whether nobody counts on this keeper any more: it is no link, and enough links that are alive hold what was
// acknowledged. The disk of a silent one may be gone.
func (c *Core) Departed() bool {
	v := c.acceptor.view
	if v.chainIndex(c.self.ID) >= 0 {
		return false
	}
	var links []Member
	for _, id := range v.Chain {
		if m, ok := v.Voter(id); ok && c.isAlive(id) {
			links = append(links, m)
		}
	}
	return c.cfg.Observer || v.Epoch == 0 || c.countHolders(links) >= c.cfg.minChainLength()
}

// Ready hands over what is to be done.
func (c *Core) Ready() Outputs {
	out := c.out
	c.out = Outputs{}
	return out
}

// advance moves the core's time on; it never goes back. Ticks come every few tens of milliseconds, so a leap means that the
// process stood still: what others sent meanwhile has yet to be read, and their silence says nothing.
func (c *Core) advance(now time.Duration) {
	if now-c.now > c.cfg.SuspectTimeout/2 {
		c.graceUntil = now + c.cfg.SuspectTimeout
		c.chainReachedAt = c.graceUntil
	}
	c.now = max(c.now, now)
}

// Tick tells the time.
func (c *Core) Tick(now time.Duration) {
	c.advance(now)
	c.superviseWrites()
	c.observeReach()
	if c.now-c.lastHeartbeatAt >= c.heartbeatInterval() {
		c.sendHeartbeats()
	}
	c.tickChain()
	c.tickSubmits()
	c.forgetChanges()
	c.tickReads()
	c.tickConfirmation()
	c.tickProposer()
	c.flush()
}

// Receive takes a message from another keeper. It keeps m.
func (c *Core) Receive(now time.Duration, m *replicationpb.Message) {
	c.advance(now)
	if to := ID(m.GetTo()); to != "" && to != c.self.ID || ID(m.GetFrom()) == c.self.ID {
		return
	}
	c.step(m)
	c.flush()
}

// flush does what the last event made possible.
func (c *Core) flush() {
	for len(c.loopback) > 0 {
		m := c.loopback[0]
		c.loopback = c.loopback[1:]
		c.step(m)
	}
	if c.err == nil {
		c.startWrite()
	}
	if !c.identityDurable || c.err != nil {
		c.out.Messages = nil
	}
}

func (c *Core) step(m *replicationpb.Message) {
	from := ID(m.GetFrom())
	switch b := m.GetBody().(type) {
	case *replicationpb.Message_Heartbeat:
		c.handleHeartbeat(from, b.Heartbeat)
	case *replicationpb.Message_Prepare:
		c.handlePrepare(from, b.Prepare)
	case *replicationpb.Message_Promise:
		c.handlePromise(from, b.Promise)
	case *replicationpb.Message_Accept:
		c.handleAccept(from, b.Accept)
	case *replicationpb.Message_Accepted:
		c.handleAccepted(from, b.Accepted)
	case *replicationpb.Message_Reject:
		c.handleReject(b.Reject)
	case *replicationpb.Message_Chosen:
		c.adoptView(viewOf(b.Chosen.GetView()))
	case *replicationpb.Message_Append:
		c.handleAppend(from, b.Append)
	case *replicationpb.Message_Ack:
		c.handleAck(from, b.Ack)
	case *replicationpb.Message_Install:
		c.handleInstall(from, b.Install)
	case *replicationpb.Message_Follow:
		c.handleFollow(from, b.Follow)
	case *replicationpb.Message_Forward:
		c.handleForward(from, b.Forward)
	case *replicationpb.Message_Answer:
		c.handleAnswer(b.Answer)
	case *replicationpb.Message_Confirm:
		c.handleConfirm(from, b.Confirm)
	case *replicationpb.Message_Confirmed:
		c.handleConfirmed(from, b.Confirmed)
	case *replicationpb.Message_ReadIndex:
		c.handleReadIndex(from, b.ReadIndex)
	case *replicationpb.Message_Seal:
		c.handleSeal(b.Seal)
	case *replicationpb.Message_ReadAt:
		c.handleReadAt(b.ReadAt)
	}
}

// send sends to the keeper with the identity, when its address is known.
func (c *Core) send(to ID, m *replicationpb.Message) {
	m.From, m.To = string(c.self.ID), string(to)
	if to == c.self.ID {
		c.loopback = append(c.loopback, m)
		return
	}
	if addr := c.addressOf(to); addr != "" {
		c.out.Messages = append(c.out.Messages, Envelope{Addr: addr, Msg: m})
	}
}

func (c *Core) addressOf(id ID) string {
	if p := c.peers[id]; p != nil {
		return p.member.Addr
	}
	if m, ok := c.acceptor.view.Voter(id); ok {
		return m.Addr
	}
	if c.acceptor.acceptedView != nil {
		if m, ok := c.acceptor.acceptedView.Voter(id); ok {
			return m.Addr
		}
	}
	return ""
}

func (c *Core) logEvent(s string) {
	if len(c.out.LogEvents) < 16 {
		c.out.LogEvents = append(c.out.LogEvents, s)
	}
}

// fail stops this keeper's part for good; the others cut it out.
func (c *Core) fail(err error) {
	if c.err == nil {
		c.err = err
		c.logEvent(err.Error())
	}
}

func (c *Core) isVoter(v *View) bool {
	if v.Epoch == 0 {
		return c.cfg.Bootstrap && slices.Contains(c.cfg.Seeds, c.self.Addr) && (!c.cfg.Observer || c.noSeedHasDisk())
	}
	if c.cfg.Observer {
		return false
	}
	_, ok := v.Voter(c.self.ID)
	return ok
}
