package replication

import (
	"math/rand/v2"
	"time"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// maxLogEvents bounds the log events between two calls of Ready.
const maxLogEvents = 16

// environment is what all parts of a core share: settings, clock, random numbers, and the outputs that they add to.
type environment struct {
	cfg      Config
	self     Member // this node, with the ID of its disk
	now      time.Duration
	rng      *rand.Rand
	out      Outputs
	loopback []*replicationpb.Message // to this node itself
	err      error                    // why the core takes no part any more

	addressOf func(ID) string // empty where it is not known
}

// send adds a message to the outputs where the receiver's address is known.
func (c *environment) send(to ID, m *replicationpb.Message) {
	m.From, m.To = string(c.self.ID), string(to)
	if to == c.self.ID {
		c.loopback = append(c.loopback, m)
		return
	}
	if addr := c.addressOf(to); addr != "" {
		c.out.Messages = append(c.out.Messages, Envelope{Addr: addr, Msg: m})
	}
}

// logEvent adds a line for the log; more than maxLogEvents between two calls of Ready are dropped.
func (c *environment) logEvent(s string) {
	if len(c.out.LogEvents) < maxLogEvents {
		c.out.LogEvents = append(c.out.LogEvents, s)
	}
}

// fail ends this node's part for good; the others remove it from the chain.
func (c *environment) fail(err error) {
	if c.err == nil {
		c.err = err
		c.logEvent(err.Error())
	}
}

// jitter is a random time of at most d.
func (c *environment) jitter(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d) + 1))
}

// isThisIncarnation tells whether an answer is for a call of this incarnation: calls of another may have had the same numbers.
func (c *environment) isThisIncarnation(incarnation uint64) bool {
	return incarnation == c.cfg.Incarnation || c.cfg.knobs.AcceptAnyIncarnation
}
