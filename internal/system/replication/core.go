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
	cfg     Config
	machine Machine
	now     time.Duration
	rng     *rand.Rand
	out     Outputs
	local   []*replicationpb.Message // to itself
	err     error

	reg      register
	ready    bool   // the identity is on disk
	entered  bool   // the view is on disk
	activeOn uint64 // reg.active, reg.sealed and reg.view.Epoch as they are on disk
	sealedOn uint64
	epochOn  uint64

	log               memLog
	state             State // after committed
	committed         uint64
	matched           uint64 // up to here the log is known to be the one upstream, in this epoch
	upstreamCommitted uint64 // committed according to upstream (learners)
	fedAt             time.Duration
	fed               bool
	joined            bool    // an append of the link before has matched, in this epoch and life
	readFloor         uint64  // no read below: may be acknowledged
	start             uint64  // where the log of the head ended when it entered the epoch
	ahead             []State // the head's: after each record above committed
	down              map[ID]*progress
	ackedAt           time.Duration
	disk              storage

	peers       map[ID]*peer
	number      uint64 // of the last heartbeat sent
	sentAt      [sentRing]time.Duration
	heartbeatAt time.Duration
	graceUntil  time.Duration // until then silence says nothing
	reachedAt   time.Duration // when there was last a way to the chain; not before graceUntil
	leaving     bool

	prop        *proposal
	wantAt      time.Duration // when a change of the view was first wanted; negative: none is
	backoff     time.Duration
	plannedAt   time.Duration
	seenRound   uint64
	noHeadSince time.Duration // when it was first seen that no link may lead; negative: one may
	seedsAt     time.Duration // when a majority of the seeds was first known; negative: never

	submits map[uint64]*submit // asked here
	changes map[changeKey]*pendingChange
	pending []*pendingChange // in the head's log, not yet committed, by number
	reads   map[uint64]*read
	keys    uint64 // last key of a submit
	round   confirmRound
}

// NewCore makes a core from what the disk holds. Call Tick soon and then every few tens of milliseconds.
func NewCore(cfg Config, machine Machine, meta map[string][]byte, snap wal.Snapshot, entries []wal.Entry) (*Core, error) {
	cfg.defaults()
	c := &Core{
		cfg: cfg, machine: machine, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)), //nolint:gosec // jitter
		state: machine.Empty(), wantAt: -1, seedsAt: -1, noHeadSince: -1, heartbeatAt: -cfg.HeartbeatInterval,
		number: firstNumber(cfg.Incarnation), down: map[ID]*progress{}, peers: map[ID]*peer{}, submits: map[uint64]*submit{},
		changes: map[changeKey]*pendingChange{}, reads: map[uint64]*read{},
	}
	if data, ok := meta[metaRegister]; ok {
		var p replicationpb.Register
		if err := proto.Unmarshal(data, &p); err != nil {
			return nil, unreadable(err, "the register")
		}
		c.reg = registerOf(&p)
		id := c.reg.self.ID
		if id == "" {
			return nil, unreadable(errors.New("it names no identity"), "the register")
		}
		c.reg.self = cfg.Self
		c.reg.self.ID = id
		c.ready = true
	} else {
		c.reg = register{self: cfg.Self, view: &View{}}
	}
	if err := c.load(snap, entries); err != nil {
		return nil, err
	}
	c.activeOn, c.sealedOn, c.epochOn = c.reg.active, c.reg.sealed, c.reg.view.Epoch
	c.entered = c.reg.view.Epoch > 0
	// An active link's log goes beyond where the head's ended when the epoch began.
	c.readFloor, c.start = c.log.end(), c.log.end()
	c.graceUntil = cfg.SuspectTimeout + cfg.HeartbeatInterval
	c.reachedAt = c.graceUntil
	if !c.ready {
		c.persist(func() { c.ready = true })
	}
	if err := c.enter(); err != nil {
		return nil, unreadable(err, "the log")
	}
	return c, nil
}

func (c *Core) load(snap wal.Snapshot, entries []wal.Entry) error {
	if snap.Seq > 0 {
		var p replicationpb.Image
		if err := proto.Unmarshal(snap.Data, &p); err != nil {
			return unreadable(err, "the snapshot")
		}
		s, err := c.machine.Decode(p.GetState())
		if err != nil {
			return unreadable(err, "the snapshot")
		}
		c.state, c.committed = s, snap.Seq
		c.log.base, c.log.baseEpoch = snap.Seq, p.GetEpoch()
		c.disk.snapshot = snap.Seq
	}
	for _, e := range entries {
		if e.Seq <= c.log.end() {
			continue
		}
		var p replicationpb.Entry
		if err := proto.Unmarshal(e.Data, &p); err != nil || p.GetSeq() != c.log.end()+1 {
			return unreadable(err, fmt.Sprintf("record %d", e.Seq))
		}
		c.log.entries = append(c.log.entries, entryOf(&p))
		c.disk.bytes += len(e.Data)
	}
	c.disk.end = c.log.end()
	return nil
}

// unreadable marks what the disk gave back whole but is not what a keeper writes: it is as good as damaged.
func unreadable(err error, what string) error {
	if err == nil {
		err = errors.New("its number is not the next one")
	}
	return errors.Mark(errors.Wrapf(err, "replication: %s on disk cannot be read: put the log aside and start under a new identity", what), wal.ErrDamaged)
}

// Self is this keeper; its ID is the one on disk.
func (c *Core) Self() Member { return c.reg.self }

// View is the newest view known.
func (c *Core) View() *View { return c.reg.view }

// Committed is the newest number known to be committed and the state after it.
func (c *Core) Committed() (uint64, State) { return c.committed, c.state }

// Err tells why the core has stopped taking part: a bug or a disk that lies. It is nil as long as all is well.
func (c *Core) Err() error { return c.err }

// RecordsAfter lists the committed records after seq, at most of them; false where they are no longer or not yet known.
func (c *Core) RecordsAfter(seq uint64, most int) ([]controlstate.Record, bool) {
	if seq < c.log.base || seq > c.committed {
		return nil, false
	}
	var out []controlstate.Record
	for s := seq + 1; s <= c.committed && s <= c.log.end() && len(out) < most; s++ {
		out = append(out, c.log.at(s).rec)
	}
	return out, true
}

// Leave makes the others take this keeper out of the chain, as soon as enough others hold what was acknowledged.
func (c *Core) Leave(now time.Duration) {
	c.advance(now)
	c.leaving = true
	c.sendHeartbeats()
	c.settle()
}

// Departed tells whether nobody counts on this keeper any more: it is no link, and enough links that are alive hold what was
// acknowledged. The disk of a silent one may be gone.
func (c *Core) Departed() bool {
	v := c.reg.view
	if v.place(c.reg.self.ID) >= 0 {
		return false
	}
	var links []Member
	for _, id := range v.Chain {
		if m, ok := v.Voter(id); ok && c.alive(id) {
			links = append(links, m)
		}
	}
	return c.cfg.Observer || v.Epoch == 0 || c.holders(links) >= c.cfg.links()
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
		c.reachedAt = c.graceUntil
	}
	c.now = max(c.now, now)
}

// Tick tells the time.
func (c *Core) Tick(now time.Duration) {
	c.advance(now)
	c.watchDisk()
	c.watchReach()
	if c.now-c.heartbeatAt >= c.heartbeatInterval() {
		c.sendHeartbeats()
	}
	c.tickChain()
	c.tickSubmits()
	c.tickReads()
	c.tickAgree()
	c.settle()
}

// Receive takes a message from another keeper. It keeps m.
func (c *Core) Receive(now time.Duration, m *replicationpb.Message) {
	c.advance(now)
	if to := ID(m.GetTo()); to != "" && to != c.reg.self.ID || ID(m.GetFrom()) == c.reg.self.ID {
		return
	}
	c.handle(m)
	c.settle()
}

// settle does what the last event made possible.
func (c *Core) settle() {
	for len(c.local) > 0 {
		m := c.local[0]
		c.local = c.local[1:]
		c.handle(m)
	}
	if c.err == nil {
		c.startWrite()
	}
	if !c.ready || c.err != nil {
		c.out.Messages = nil
	}
}

func (c *Core) handle(m *replicationpb.Message) {
	from := ID(m.GetFrom())
	switch b := m.GetBody().(type) {
	case *replicationpb.Message_Heartbeat:
		c.onHeartbeat(from, b.Heartbeat)
	case *replicationpb.Message_Prepare:
		c.onPrepare(from, b.Prepare)
	case *replicationpb.Message_Promise:
		c.onPromise(from, b.Promise)
	case *replicationpb.Message_Accept:
		c.onAccept(from, b.Accept)
	case *replicationpb.Message_Accepted:
		c.onAccepted(from, b.Accepted)
	case *replicationpb.Message_Reject:
		c.onReject(b.Reject)
	case *replicationpb.Message_Chosen:
		c.adopt(viewOf(b.Chosen.GetView()))
	case *replicationpb.Message_Append:
		c.onAppend(from, b.Append)
	case *replicationpb.Message_Ack:
		c.onAck(from, b.Ack)
	case *replicationpb.Message_Install:
		c.onInstall(from, b.Install)
	case *replicationpb.Message_Follow:
		c.onFollow(from, b.Follow)
	case *replicationpb.Message_Forward:
		c.onForward(from, b.Forward)
	case *replicationpb.Message_Answer:
		c.onAnswer(b.Answer)
	case *replicationpb.Message_Confirm:
		c.onConfirm(from, b.Confirm)
	case *replicationpb.Message_Confirmed:
		c.onConfirmed(from, b.Confirmed)
	case *replicationpb.Message_ReadIndex:
		c.onReadIndex(from, b.ReadIndex)
	case *replicationpb.Message_Seal:
		c.onSeal(b.Seal)
	case *replicationpb.Message_ReadAt:
		c.onReadAt(b.ReadAt)
	}
}

// send sends to the keeper with the identity, when its address is known.
func (c *Core) send(to ID, m *replicationpb.Message) {
	m.From, m.To = string(c.reg.self.ID), string(to)
	if to == c.reg.self.ID {
		c.local = append(c.local, m)
		return
	}
	if addr := c.addr(to); addr != "" {
		c.out.Messages = append(c.out.Messages, Envelope{Addr: addr, Msg: m})
	}
}

func (c *Core) addr(id ID) string {
	if p := c.peers[id]; p != nil {
		return p.member.Addr
	}
	if m, ok := c.reg.view.Voter(id); ok {
		return m.Addr
	}
	if c.reg.next != nil {
		if m, ok := c.reg.next.Voter(id); ok {
			return m.Addr
		}
	}
	return ""
}

func (c *Core) note(s string) {
	if len(c.out.LogEvents) < 16 {
		c.out.LogEvents = append(c.out.LogEvents, s)
	}
}

// fail stops this keeper's part for good; the others cut it out.
func (c *Core) fail(err error) {
	if c.err == nil {
		c.err = err
		c.note(err.Error())
	}
}

func (c *Core) isVoter(v *View) bool {
	if v.Epoch == 0 {
		return c.cfg.Bootstrap && slices.Contains(c.cfg.Seeds, c.reg.self.Addr) && (!c.cfg.Observer || c.noSeedHasDisk())
	}
	if c.cfg.Observer {
		return false
	}
	_, ok := v.Voter(c.reg.self.ID)
	return ok
}
