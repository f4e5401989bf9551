package members

import (
	"math/rand/v2"
	"time"

	"github.com/hashicorp/memberlist"
)

// This file brings updates to all members, whatever their number. Gossip forwards young updates: it is the fastest way while there are
// few, and carries no more than fits into its packets. What it leaves out or the network loses is repaired by exchanges: every
// busyExchangeInterval while there are updates, else every quietExchangeInterval, each member asks another one, drawn at random, for newer
// states, and both get what they lack (digest.go). In each interval the share of members that lack a state shrinks by a factor of about e
// squared, independently of other states.
//
// Bounds: a member sends exchangeBytesPerSecond in exchanges, and gossipNodes packets of gossip in each gossipInterval. An origin publishes
// at most its share (budget.go), which it enforces on itself and the others enforce on it.

// The timing of exchanges.
const (
	busyExchangeInterval  = 150 * time.Millisecond // between a member's questions while there are updates, a quarter more or less
	quietExchangeInterval = 600 * time.Millisecond // and otherwise
	busyTime              = time.Second            // after the last update, in which the shorter interval holds
	maxGossipAge          = 500 * time.Millisecond // of updates that are gossiped on
	maxQueued             = 24                     // frames in the queue to which updates of others are added: own states would wait behind them
	maxQuestions          = 64                     // that wait for their answers; more are dropped
	maxDeltas             = 16                     // packets of updates in answer to one question
)

// runExchange asks other members and answers their questions, from when the member listens until it ends.
func (m *Members) runExchange() {
	defer m.goroutines.Done()
	select {
	case <-m.listening:
	case <-m.ctx.Done():
		return
	}
	next := time.NewTimer(rand.N(busyExchangeInterval))
	defer next.Stop()
	var budget byteBudget
	for {
		select {
		case <-next.C:
			to, asks, busy := m.nextQuestion()
			m.sendExchange(&budget, to, asks)
			interval := quietExchangeInterval
			if busy {
				interval = busyExchangeInterval
			}
			next.Reset(interval*3/4 + rand.N(interval/2))
		case q := <-m.questions:
			to, packets := m.answerQuestion(q)
			m.sendExchange(&budget, to, packets)
		case <-m.ctx.Done():
			return
		}
	}
}

// sendExchange sends packets of an exchange to an address, as far as the budget for them goes.
func (m *Members) sendExchange(budget *byteBudget, to string, packets [][]byte) {
	for _, b := range packets {
		if !budget.spend(len(b), m.clock(), exchangeBytesPerSecond, exchangeBurstBytes) {
			m.countSendLimited()
		} else if err := m.list.SendToAddress(memberlist.Address{Addr: to}, b); err != nil {
			m.options.Log.Debug("members", "exchange", err)
		}
	}
}

// countSendLimited counts a packet that was not sent, or a question that was dropped. m.mu must not be held.
func (m *Members) countSendLimited() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.SendLimited++
}

// nextQuestion returns a question to a peer that is drawn at random, encoded, with the peer's address, and whether there was an update within
// busyTime. It returns no question if there is no peer.
func (m *Members) nextQuestion() (to string, asks [][]byte, busy bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers == nil {
		m.peers = m.peerAddresses()
	}
	if len(m.peers) == 0 {
		return "", nil, false
	}
	now := m.clock()
	asks = m.states.ask(m.process(), rand.Uint32(), now, m.options.TTL, func(name string) bool {
		closed := !m.mayReceiveFrom(name, now)
		if closed {
			m.counts.RateLimited++
		}
		return closed
	})
	return m.peers[rand.IntN(len(m.peers))], asks, now-m.lastUpdateAt < busyTime
}

// peerAddresses returns the addresses of the processes of other members that are there. m.mu is held.
func (m *Members) peerAddresses() []string {
	var peers []string
	for name, n := range m.nodes {
		if name != m.ownNode {
			peers = append(peers, n.address)
		}
	}
	return peers
}

// receiveExchange processes a frame of an exchange, and reports whether it is one. Questions are queued for runExchange.
func (m *Members) receiveExchange(b []byte) bool {
	var asked question
	var err error
	switch {
	case len(b) == 0:
		return false
	case b[0] == askForm:
		asked, err = decodeAsk(b)
	case b[0] == wantForm:
		asked, err = decodeWants(b)
	case b[0] == deltaForm:
		err = unpack(b[1:], func(f []byte) {
			if len(f) > 0 && f[0] == updateForm {
				m.receive(f, true)
			}
		})
	default:
		return false
	}
	if err != nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.counts.Malformed++
	} else if asked != nil {
		select {
		case m.questions <- asked:
		default:
			m.countSendLimited()
		}
	}
	return true
}

// answerQuestion returns the packets that answer a question, and the asker's address. It returns none if the asker is not a process that
// is there.
func (m *Members) answerQuestion(q question) (to string, packets [][]byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	asker := m.nodes[q.from().nodeName()]
	if asker == nil {
		m.counts.NonMembers++
		return "", nil
	}
	now := m.clock()
	give, want := q.answer(m.states, m.process(), now, m.options.TTL)
	if want != nil {
		packets = append(packets, want)
	}
	deltas := m.states.deltas(give, now)
	return asker.address, append(packets, deltas[:min(len(deltas), maxDeltas)]...)
}
