package replication

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/distribution/catchup"
)

// The figures of distribution.Subscriber and Server, which this file models: see subscriber_poll.go and server_follow.go there.
// What a server replies and what a subscriber makes of it are decided by distribution/catchup's own functions.
const (
	proxyPrefix = "10.1."
	pollHold    = time.Second
	pollSilence = 400 * time.Millisecond // beyond the hold, until another keeper is taken
	seekTimeout = 1200 * time.Millisecond
	seekStagger = 50 * time.Millisecond
	avoidFor    = 2 * time.Second
	pollRecords = 64 // in one answer
)

// proxy is a process that follows the keepers, as distribution.Subscriber does.
type proxy struct {
	w       *world
	name    string
	addr    string
	life    int
	up      bool
	frozen  bool
	inbox   []func()
	eventAt time.Duration // of the last fault's begin or end here

	seq     uint64
	state   *toy
	known   []string // keepers
	failed  map[string]time.Duration
	freshAt time.Duration // when it was certainly so that nothing newer had been acknowledged; negative: never
	calls   uint64
	open    map[uint64]func(*pollReply) // calls under way
}

// poll is a proxy's call that a keeper holds.
type poll struct {
	seq          uint64
	start, until time.Duration
	reply        func(*pollReply)
}

// pollReply is a keeper's answer; nil stands for silence.
type pollReply struct {
	current  bool
	newest   uint64        // that the keeper knows to be committed
	checked  time.Duration // how long it waited before it asked whether it is current
	records  []controlstate.Record
	snapshot []byte
	snapSeq  uint64
	keepers  []string
}

func (w *world) newProxy(i int) {
	p := &proxy{w: w, name: fmt.Sprintf("p%d", i), addr: fmt.Sprintf("%s0.%d", proxyPrefix, i+1)}
	w.proxies = append(w.proxies, p)
	w.after(time.Duration(w.rng.IntN(300))*time.Millisecond, p.start)
}

func (p *proxy) start() {
	if p.up {
		return
	}
	p.up, p.frozen, p.inbox = true, false, nil
	p.life++
	p.eventAt = p.w.now
	p.seq, p.state, p.freshAt = 0, &toy{}, -1
	p.known = slices.Clone(p.w.seeds)
	p.failed, p.open = map[string]time.Duration{}, map[uint64]func(*pollReply){}
	p.seek()
	p.watch(p.life)
}

func (p *proxy) stop() {
	p.up, p.frozen, p.inbox, p.open = false, false, nil, nil
	p.eventAt = p.w.now
}

// run has the process of a life do something, when it is not frozen.
func (p *proxy) run(life int, do func()) {
	switch {
	case p.life != life || !p.up:
	case p.frozen:
		p.inbox = append(p.inbox, do)
	default:
		do()
	}
}

func (p *proxy) after(d time.Duration, do func()) {
	life := p.life
	p.w.after(d, func() { p.run(life, do) })
}

func (p *proxy) freeze(d time.Duration) {
	life := p.life
	p.frozen, p.eventAt = p.up, p.w.now
	p.w.after(d, func() { p.thaw(life) })
}

func (p *proxy) thaw(life int) {
	if p.life != life || !p.frozen {
		return
	}
	p.frozen, p.eventAt = false, p.w.now
	inbox := p.inbox
	p.inbox = nil
	for _, do := range inbox {
		p.run(life, do)
	}
}

// call polls a keeper; done is told the answer, or nil when the keeper is silent.
func (p *proxy) call(keeper string, hold, patience time.Duration, done func(*pollReply)) {
	w := p.w
	p.calls++
	id, life, seq, asked := p.calls, p.life, p.seq, w.now
	finish := func(r *pollReply) {
		if p.open[id] == nil {
			return
		}
		delete(p.open, id)
		if r != nil && !p.take(r, asked) {
			r = nil
		}
		done(r)
	}
	p.open[id] = finish
	p.after(hold+patience, func() { finish(nil) })
	w.carry(p.addr, keeper, time.Millisecond, func() {
		m := w.at(keeper)
		if m == nil || m.core == nil {
			return
		}
		core := m.core
		m.run(core, func() {
			m.serve(&poll{seq: seq, start: w.now, until: w.now + hold, reply: func(r *pollReply) {
				if w.onReply != nil {
					w.onReply(m, r)
				}
				w.carry(keeper, p.addr, time.Millisecond, func() { p.run(life, func() { finish(r) }) })
			}})
		})
	})
}

// serve answers a poll as Hub.Follow does: at once where the keeper is not current or has something newer, otherwise when
// that comes about, at the latest when the hold ends.
func (m *machine) serve(p *poll) {
	core := m.core
	if !core.Current(m.clock()) {
		p.reply(&pollReply{})
		return
	}
	m.polls = append(m.polls, p)
	m.w.after(max(0, p.until-m.w.now), func() { m.run(core, func() {}) })
}

// wakePolls answers the held polls that are due.
func (m *machine) wakePolls() {
	if m.core == nil || len(m.polls) == 0 {
		return
	}
	current := m.core.Current(m.clock())
	m.polls = slices.DeleteFunc(m.polls, func(p *poll) bool {
		if current && m.core.committed <= p.seq && m.w.now < p.until {
			return false
		}
		p.reply(m.answerPoll(p, current))
		return true
	})
}

// answerPoll gives the records after what the proxy holds, or a snapshot where those are gone.
func (m *machine) answerPoll(p *poll, current bool) *pollReply {
	m.w.stats.polls++
	seq, state := m.core.Committed()
	r := &pollReply{current: current, newest: seq, checked: m.w.now - p.start}
	v := m.core.View()
	for _, id := range v.Chain {
		if member, ok := v.Voter(id); ok {
			r.keepers = append(r.keepers, member.Addr)
		}
	}
	if !current {
		return r
	}
	records, known := m.core.RecordsAfter(p.seq, pollRecords+1)
	stock := catchup.Availability{Committed: seq, Known: known && len(records) > 0, Records: len(records)}
	switch catchup.PlanReply(p.seq, stock, pollRecords) {
	case catchup.Records:
		r.records = records
	case catchup.NewSnapshot:
		r.snapshot, r.snapSeq = state.Encode(), seq
	}
	return r
}

// offer is what an answer says of the control state.
func (r *pollReply) offer(age time.Duration) catchup.Offer {
	o := catchup.Offer{Current: r.current, Newest: r.newest, Snapshot: r.snapSeq, Age: age}
	if n := len(r.records); n > 0 {
		o.First, o.Last = r.records[0].Seq, r.records[n-1].Seq
	}
	return o
}

// take takes in an answer to a call that was sent at asked, and tells whether it came in time.
func (p *proxy) take(r *pollReply, asked time.Duration) bool {
	checked := asked + r.checked
	offer := r.offer(p.w.now - checked)
	if len(r.keepers) > 0 {
		p.known = r.keepers
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
	p.checkHeld(before)
	if (catchup.Position{Seq: p.seq}).ProvesFreshness(offer) {
		p.freshAt = max(p.freshAt, checked)
	}
	return !offer.Expired()
}

// seek tries the keepers, those that just failed last, until one that is current has answered.
func (p *proxy) seek() {
	list := p.ranked()
	settled, open := false, len(list)
	for i, keeper := range list {
		p.after(time.Duration(i)*seekStagger, func() {
			if settled {
				return
			}
			p.call(keeper, 0, seekTimeout, func(r *pollReply) {
				if open--; settled {
					return
				}
				if r != nil && r.current {
					settled = true
					p.follow(keeper)
					return
				}
				if r == nil {
					p.failed[keeper] = p.w.now
				}
				if open == 0 {
					p.after(20*time.Millisecond+time.Duration(p.w.rng.IntN(180))*time.Millisecond, p.seek)
				}
			})
		})
	}
}

// ranked gives the keepers to try. The seeds stay known, in case all others are gone.
func (p *proxy) ranked() []string {
	list := slices.Clone(p.known)
	for _, s := range p.w.seeds {
		if !slices.Contains(list, s) {
			list = append(list, s)
		}
	}
	p.w.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	sort.SliceStable(list, func(i, j int) bool { return !p.avoids(list[i]) && p.avoids(list[j]) })
	return list
}

func (p *proxy) avoids(keeper string) bool {
	at, ok := p.failed[keeper]
	return ok && p.w.now-at < avoidFor
}

// follow polls one keeper until it is silent or not current.
func (p *proxy) follow(keeper string) {
	p.call(keeper, pollHold, pollSilence, func(r *pollReply) {
		if r == nil || !r.current {
			p.failed[keeper] = p.w.now
			p.seek()
			return
		}
		p.follow(keeper)
	})
}
