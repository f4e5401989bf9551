package members

import (
	"math/rand/v2"
	"time"

	"github.com/hashicorp/memberlist"
)

// This file brings updates to all members, however many there are. Gossip forwards young ones: it is the quickest while there is
// little, and carries no more than its packets do. What it leaves out, or a network loses, comes by exchanges: every
// pushPullInterval each member asks one other, drawn, what that one has newer, and both get what they lack (digest.go). The share of those
// who lack a state then shrinks in each such time by a factor of e squared or so, whatever there is besides it.
//
// Bounds: a member sends exchangeBytesPerSecond bytes a second in exchanges, and gossip's gossipNodes packets each gossipInterval; an origin
// publishes at most its share (budget.go), which it enforces on itself and the others enforce on it.

// The timing of exchanges.
const (
	busyExchangeInterval  = 150 * time.Millisecond // between own questions, while there are updates
	quietExchangeInterval = 600 * time.Millisecond // and else
	busyTime              = time.Second            // after the last update
	maxGossipAge          = 500 * time.Millisecond // older updates are not gossiped
	maxQueued             = 24                     // states to gossip on: with more, each member's own ones would wait behind them
	maxQuestions          = 64                     // questions to answer
	maxDeltas             = 16                     // packets in answer to one
)

// peerNode is a process of another member and where it is.
type peerNode struct{ name, address string }

// runExchange asks and answers until the member ends.
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

func (m *Members) countSendLimited() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.SendLimited++
}

// nextQuestion returns what to ask whom now, and whether there was an update within busyTime.
func (m *Members) nextQuestion() (to string, asks [][]byte, busy bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers == nil {
		m.peers = m.peerNodes()
	}
	if len(m.peers) == 0 {
		return "", nil, false
	}
	now := m.clock()
	asks = m.states.ask(process{m.options.Name, m.start}, rand.Uint32(), now, m.options.TTL, func(name string) bool {
		closed := !m.mayReceiveFrom(name, now)
		if closed {
			m.counts.RateLimited++
		}
		return closed
	})
	return m.peers[rand.IntN(len(m.peers))].address, asks, now-m.lastUpdateAt < busyTime
}

// peerNodes returns the processes of the other members that are there. m.mu is held.
func (m *Members) peerNodes() []peerNode {
	var peers []peerNode
	for name, n := range m.nodes {
		if name != m.ownNode {
			peers = append(peers, peerNode{name, n.address})
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

// answerQuestion returns what to send to whom in answer to a question; nothing where the asker is not a process that is there.
func (m *Members) answerQuestion(q question) (to string, packets [][]byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	asker := m.nodes[q.from().nodeName()]
	if asker == nil {
		m.counts.NonMembers++
		return "", nil
	}
	now := m.clock()
	give, want := q.answer(m.states, process{m.options.Name, m.start}, now, m.options.TTL)
	if want != nil {
		packets = append(packets, want)
	}
	deltas := m.states.deltas(give, now)
	return asker.address, append(packets, deltas[:min(len(deltas), maxDeltas)]...)
}
