package replication

import (
	"math/rand/v2"
	"time"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// maxLogEvents bounds the log events between two calls of Ready.
const maxLogEvents = 16

// environment is shared by all parts of a core: settings, clock, random numbers, and the outputs that they add to.
type environment struct {
	cfg      Config
	self     Member // this node, with the ID of its disk
	now      time.Duration
	rng      *rand.Rand
	out      Outputs
	loopback []*replicationpb.Message // messages from this node to itself
	err      error                    // why the core no longer takes part

	addressOf func(ID) string // returns an empty address if it is not known
}

// send adds a message to the outputs if the receiver's address is known.
func (e *environment) send(to ID, m *replicationpb.Message) {
	m.From, m.To = string(e.self.ID), string(to)
	if to == e.self.ID {
		e.loopback = append(e.loopback, m)
		return
	}
	if addr := e.addressOf(to); addr != "" {
		e.out.Messages = append(e.out.Messages, Envelope{Addr: addr, Msg: m})
	}
}

// logEvent adds a line for the log; lines beyond maxLogEvents between two calls of Ready are dropped.
func (e *environment) logEvent(s string) {
	if len(e.out.LogEvents) < maxLogEvents {
		e.out.LogEvents = append(e.out.LogEvents, s)
	}
}

// fail permanently ends this node's participation; the others remove it from the chain.
func (e *environment) fail(err error) {
	if e.err == nil {
		e.err = err
		e.logEvent(err.Error())
	}
}

// jitter returns a random duration of at most d.
func (e *environment) jitter(d time.Duration) time.Duration {
	return time.Duration(e.rng.Int64N(int64(d) + 1))
}

// isThisIncarnation reports whether an answer is for a call of this incarnation: calls of other incarnations may have had the same
// numbers.
func (e *environment) isThisIncarnation(incarnation uint64) bool {
	return incarnation == e.cfg.Incarnation || e.cfg.knobs.AcceptAnyIncarnation
}
