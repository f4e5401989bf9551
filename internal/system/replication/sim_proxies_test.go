package replication

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/distribution/catchup"
)

// The values of distribution.Subscriber and Server, which this file models: see subscriber_poll.go and server_follow.go there. What a
// server replies and how a subscriber applies it is decided by distribution/catchup's own functions.
const (
	proxyPrefix       = "10.1."
	longPollTimeout   = time.Second
	pollTimeoutMargin = 400 * time.Millisecond // in addition to the hold time, before another node is tried
	seekTimeout       = 1200 * time.Millisecond
	seekStagger       = 50 * time.Millisecond
	avoidTime         = 2 * time.Second
	maxPollRecords    = 64 // per reply
)

// proxy is a process that follows the nodes, as distribution.Subscriber does.
type proxy struct {
	w           *clusterSim
	name        string
	addr        string
	incarnation int
	running     bool
	paused      bool
	inbox       []func()
	eventAt     time.Duration // when the last fault at this proxy began or ended

	seq        uint64
	state      *toy
	knownNodes []string
	failed     map[string]time.Duration
	freshAt    time.Duration // newest time for which it is certain that nothing newer had been acknowledged; negative: never
	calls      uint64
	inFlight   map[uint64]func(*pollReply) // by call
}

// poll is a proxy's call that a node keeps pending.
type poll struct {
	seq          uint64
	start, until time.Duration
	reply        func(*pollReply)
}

// pollReply is a node's reply; nil means that there was none.
type pollReply struct {
	current  bool
	newest   uint64        // newest record that the node knows to be committed
	checked  time.Duration // how long it waited before it checked whether it is current
	records  []controlstate.Record
	snapshot []byte
	snapSeq  uint64
	nodes    []string
}

func (w *clusterSim) newProxy(i int) {
	p := &proxy{w: w, name: fmt.Sprintf("p%d", i), addr: fmt.Sprintf("%s0.%d", proxyPrefix, i+1)}
	w.proxies = append(w.proxies, p)
	w.after(time.Duration(w.rng.IntN(300))*time.Millisecond, p.start)
}

func (p *proxy) start() {
	if p.running {
		return
	}
	p.running, p.paused, p.inbox = true, false, nil
	p.incarnation++
	p.eventAt = p.w.now
	p.seq, p.state, p.freshAt = 0, &toy{}, -1
	p.knownNodes = slices.Clone(p.w.seeds)
	p.failed, p.inFlight = map[string]time.Duration{}, map[uint64]func(*pollReply){}
	p.findNode()
	p.watchAge(p.incarnation)
}

func (p *proxy) stop() {
	p.running, p.paused, p.inbox, p.inFlight = false, false, nil, nil
	p.eventAt = p.w.now
}

// run runs do in the given incarnation of the process, after a pause if the process is paused.
func (p *proxy) run(incarnation int, do func()) {
	switch {
	case p.incarnation != incarnation || !p.running:
	case p.paused:
		p.inbox = append(p.inbox, do)
	default:
		do()
	}
}

func (p *proxy) after(d time.Duration, do func()) {
	incarnation := p.incarnation
	p.w.after(d, func() { p.run(incarnation, do) })
}

func (p *proxy) pause(d time.Duration) {
	incarnation := p.incarnation
	p.paused, p.eventAt = p.running, p.w.now
	p.w.after(d, func() { p.resume(incarnation) })
}

func (p *proxy) resume(incarnation int) {
	if p.incarnation != incarnation || !p.paused {
		return
	}
	p.paused, p.eventAt = false, p.w.now
	inbox := p.inbox
	p.inbox = nil
	for _, do := range inbox {
		p.run(incarnation, do)
	}
}

// call polls a node; done receives the reply, or nil if there is none in time.
func (p *proxy) call(keeper string, hold, patience time.Duration, done func(*pollReply)) {
	w := p.w
	p.calls++
	id, incarnation, seq, asked := p.calls, p.incarnation, p.seq, w.now
	finish := func(r *pollReply) {
		if p.inFlight[id] == nil {
			return
		}
		delete(p.inFlight, id)
		if r != nil && !p.applyReply(r, asked) {
			r = nil
		}
		done(r)
	}
	p.inFlight[id] = finish
	p.after(hold+patience, func() { finish(nil) })
	w.transmit(p.addr, keeper, time.Millisecond, func() {
		m := w.nodeAt(keeper)
		if m == nil || m.core == nil {
			return
		}
		core := m.core
		m.run(core, func() {
			m.serve(&poll{seq: seq, start: w.now, until: w.now + hold, reply: func(r *pollReply) {
				if w.onReply != nil {
					w.onReply(m, r)
				}
				w.transmit(keeper, p.addr, time.Millisecond, func() { p.run(incarnation, func() { finish(r) }) })
			}})
		})
	})
}

// serve answers a poll as Hub.Follow does: immediately if the node is not current or has something newer, otherwise when that becomes
// true, at the latest when the hold time ends.
func (m *simNode) serve(p *poll) {
	core := m.core
	if !core.Current(m.clock()) {
		p.reply(&pollReply{})
		return
	}
	m.polls = append(m.polls, p)
	m.sim.after(max(0, p.until-m.sim.now), func() { m.run(core, func() {}) })
}

// wakePolls answers the pending polls that are due.
func (m *simNode) wakePolls() {
	if m.core == nil || len(m.polls) == 0 {
		return
	}
	current := m.core.Current(m.clock())
	m.polls = slices.DeleteFunc(m.polls, func(p *poll) bool {
		if current && m.core.chain.commitIndex <= p.seq && m.sim.now < p.until {
			return false
		}
		p.reply(m.answerPoll(p, current))
		return true
	})
}

// answerPoll answers with the records after those that the proxy holds, or a snapshot if they are no longer available.
func (m *simNode) answerPoll(request *poll, current bool) *pollReply {
	m.sim.stats.polls++
	seq, state := m.core.Committed()
	r := &pollReply{current: current, newest: seq, checked: m.sim.now - request.start}
	v := m.core.View()
	for _, id := range v.Chain {
		if member, ok := v.Voter(id); ok {
			r.nodes = append(r.nodes, member.Addr)
		}
	}
	if !current {
		return r
	}
	records, known := m.core.RecordsAfter(request.seq, maxPollRecords+1)
	stock := catchup.Availability{Committed: seq, Known: known && len(records) > 0, Records: len(records)}
	switch catchup.PlanReply(request.seq, stock, maxPollRecords) {
	case catchup.Records:
		r.records = records
	case catchup.NewSnapshot:
		r.snapshot, r.snapSeq = state.Encode(), seq
	}
	return r
}

// offer returns what a reply offers of the control state.
func (r *pollReply) offer(age time.Duration) catchup.Offer {
	o := catchup.Offer{Current: r.current, Newest: r.newest, Snapshot: r.snapSeq, Age: age}
	if n := len(r.records); n > 0 {
		o.First, o.Last = r.records[0].Seq, r.records[n-1].Seq
	}
	return o
}

// applyReply applies the reply to a call that was sent at asked, and reports whether it arrived in time.
func (p *proxy) applyReply(r *pollReply, asked time.Duration) bool {
	checked := asked + r.checked
	offer := r.offer(p.w.now - checked)
	if len(r.nodes) > 0 {
		p.knownNodes = r.nodes
	}
	before := p.seq
	step := catchup.Position{Seq: p.seq}.Plan(offer)
	if step.Snapshot {
		s, err := toyMachine{}.Decode(r.snapshot)
		if err != nil {
			p.w.fail(fmt.Errorf("proxy %s: %w", p.name, err))
			return false
		}
		p.state, p.seq = s.(*toy), r.snapSeq
	}
	for _, rec := range r.records {
		if step.First == 0 || rec.Seq < step.First {
			continue
		}
		s, err := p.state.Apply(rec)
		if err != nil {
			p.w.fail(fmt.Errorf("proxy %s: %w", p.name, err))
			return false
		}
		p.state, p.seq = s.(*toy), rec.Seq
	}
	p.checkState(before)
	if (catchup.Position{Seq: p.seq}).ProvesFreshness(offer) {
		p.freshAt = max(p.freshAt, checked)
	}
	return !offer.Expired()
}

// findNode tries the nodes, those that failed recently last, until one that is current has replied.
func (p *proxy) findNode() {
	nodes := p.rankNodes()
	search := &nodeSearch{proxy: p, open: len(nodes)}
	for i, node := range nodes {
		p.after(time.Duration(i)*seekStagger, func() { search.try(node) })
	}
}

// nodeSearch is a proxy's search for a node to follow.
type nodeSearch struct {
	*proxy
	found bool
	open  int // nodes that have neither replied nor failed
}

func (s *nodeSearch) try(node string) {
	if s.found {
		return
	}
	s.call(node, 0, seekTimeout, func(r *pollReply) {
		if s.open--; s.found {
			return
		}
		if r != nil && r.current {
			s.found = true
			s.follow(node)
			return
		}
		if r == nil {
			s.failed[node] = s.w.now
		}
		if s.open == 0 {
			s.after(20*time.Millisecond+time.Duration(s.w.rng.IntN(180))*time.Millisecond, s.findNode)
		}
	})
}

// rankNodes returns the nodes to try. The seeds are always included, in case all other nodes are lost.
func (p *proxy) rankNodes() []string {
	list := slices.Clone(p.knownNodes)
	for _, s := range p.w.seeds {
		if !slices.Contains(list, s) {
			list = append(list, s)
		}
	}
	p.w.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	sort.SliceStable(list, func(i, j int) bool { return !p.isAvoided(list[i]) && p.isAvoided(list[j]) })
	return list
}

func (p *proxy) isAvoided(node string) bool {
	at, ok := p.failed[node]
	return ok && p.w.now-at < avoidTime
}

// follow polls one node until it does not reply or is not current.
func (p *proxy) follow(node string) {
	p.call(node, longPollTimeout, pollTimeoutMargin, func(r *pollReply) {
		if r == nil || !r.current {
			p.failed[node] = p.w.now
			p.findNode()
			return
		}
		p.follow(node)
	})
}
