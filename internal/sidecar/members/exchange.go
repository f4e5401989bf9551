package members

import (
	"math/rand/v2"
	"time"

	"github.com/hashicorp/memberlist"
)

// Here is how news gets to all, whatever there is of it. Gossip passes on what is young: it is the quickest while there is
// little, and carries no more than its packets do. What it leaves out, or a network loses, comes by exchanges: every
// exchangeEvery each member asks one other, drawn, what that one has newer, and both get what they lack (digest.go). The share of those
// who lack a state then shrinks in each such time by a factor of e squared or so, whatever there is besides it.
//
// Bounds: a member sends sendBudget bytes a second in exchanges, and gossip's gossipNodes packets each gossipEvery; an origin
// tells its share (budget.go), which it keeps to itself, and to which the others hold it.

// The timing of exchanges.
const (
	exchangeFresh = 150 * time.Millisecond // between own questions, while there is news
	exchangeQuiet = 600 * time.Millisecond // and else
	livelyFor     = time.Second            // after the last news
	youngFor      = 500 * time.Millisecond // news that is older is not gossiped on
	mostQueued    = 24                     // states to gossip on: with more, each member's own ones would wait behind them
	mostAsked     = 64                     // questions to answer
	mostDeltas    = 16                     // packets in answer to one
)

// peerNode is a process of another member and where it is.
type peerNode struct{ name, address string }

// exchange asks and answers until the member ends.
func (m *Members) exchange() {
	defer m.owned.Done()
	select {
	case <-m.bound:
	case <-m.ctx.Done():
		return
	}
	next := time.NewTimer(rand.N(exchangeFresh))
	defer next.Stop()
	var sent budget
	send := func(to string, packets [][]byte) {
		for _, b := range packets {
			if !sent.take(len(b), m.clock(), sendBudget, sendAtOnce) {
				m.short()
			} else if err := m.list.SendToAddress(memberlist.Address{Addr: to}, b); err != nil {
				m.o.Log.Debug("members", "exchange", err)
			}
		}
	}
	for {
		select {
		case <-next.C:
			to, asks, lively := m.question()
			send(to, asks)
			every := exchangeQuiet
			if lively {
				every = exchangeFresh
			}
			next.Reset(every*3/4 + rand.N(every/2))
		case q := <-m.asked:
			to, packets := m.reply(q)
			send(to, packets)
		case <-m.ctx.Done():
			return
		}
	}
}

func (m *Members) short() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Short++
}

// question is what to ask whom now, and whether there was news lately.
func (m *Members) question() (to string, asks [][]byte, lively bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers == nil {
		for name, n := range m.nodes {
			if name != m.own {
				m.peers = append(m.peers, peerNode{name, n.address})
			}
		}
	}
	if len(m.peers) == 0 {
		return "", nil, false
	}
	now := m.clock()
	asks = m.states.ask(process{m.o.Name, m.start}, rand.Uint32(), now, m.o.Bound, func(name string) bool {
		closed := !m.open(name, now)
		if closed {
			m.counts.Cut++
		}
		return closed
	})
	return m.peers[rand.IntN(len(m.peers))].address, asks, now-m.lively < livelyFor
}

// exchanged takes in a frame of an exchange, and tells whether it is one. Questions are put by for the exchanger.
func (m *Members) exchanged(b []byte) bool {
	var q any
	var err error
	switch {
	case len(b) == 0:
		return false
	case b[0] == askForm:
		q, err = decodeAsk(b)
	case b[0] == wantForm:
		q, err = decodeWants(b)
	case b[0] == deltaForm:
		err = unpack(b[1:], func(f []byte) {
			if len(f) > 0 && f[0] == newsForm {
				m.take(f, true)
			}
		})
	default:
		return false
	}
	if err != nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.counts.Bad++
	} else if q != nil {
		select {
		case m.asked <- q:
		default:
			m.short()
		}
	}
	return true
}

// reply is what to send to whom in answer to a question.
func (m *Members) reply(q any) (to string, packets [][]byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	var who process
	var give []frame
	var want []uint32
	switch q := q.(type) {
	case *versions:
		who = q.asker
		give, want = m.states.answer(q, now, m.o.Bound)
		if len(want) > 0 {
			packets = append(packets, encodeWants(process{m.o.Name, m.start}, q.salt, want))
		}
	case *wants:
		who = q.wanter
		give = m.states.wanted(q, now, m.o.Bound)
	}
	n := m.nodes[who.node()]
	if n == nil {
		m.counts.Strangers++
		return "", nil
	}
	deltas := m.states.deltas(give, now)
	return n.address, append(packets, deltas[:min(len(deltas), mostDeltas)]...)
}

// open tells whether another origin may tell more, as seen here. The own states are held back where they are told. The lock
// is held, as in the next one.
func (m *Members) open(name string, now time.Duration) bool {
	if name == m.o.Name {
		return true
	}
	b := m.budgets[name]
	rate := lenience * share(len(m.members))
	return b == nil || b.open(now, rate, rate*savedUp)
}

// allow counts a frame of another's on the share of its origin, and tells whether it is within.
func (m *Members) allow(f frame, now time.Duration) bool {
	b := m.budgets[f.name]
	if b == nil {
		b = &budget{}
		m.budgets[f.name] = b
	}
	rate := lenience * share(len(m.members))
	return b.take(f.size(), now, rate, rate*savedUp)
}

// release has own states that wait be told, as far as the own share goes, and returns them. The lock is not held.
func (m *Members) release() []frame {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.releaseLocked()
}

func (m *Members) releaseLocked() (told []frame) {
	b := m.budgets[m.o.Name]
	if b == nil {
		b = &budget{}
		m.budgets[m.o.Name] = b
	}
	rate := share(len(m.members))
	for len(m.waiting) > 0 && b.take(m.waiting[0].size(), m.clock(), rate, rate*savedUp) {
		f := m.waiting[0]
		m.waiting = m.waiting[1:]
		m.seq++
		f.seq = m.seq
		m.states.merge(f, f.stamp)
		m.lively = m.clock()
		told = append(told, f)
	}
	return told
}
