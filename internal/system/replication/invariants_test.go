package replication

import (
	"fmt"
	"sort"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// asked is a change or read under way, and what was known when it was asked for.
type asked struct {
	id     uint64
	at     *machine
	client int
	read   bool
	change controlstate.Change
	tries  int
	ttl    time.Duration // 0: drawn
	acked  uint64
}

// truthAt describes a state.
func describe(s *toy) string {
	last := ""
	if s.last != nil {
		last = s.last.Body
	}
	return fmt.Sprintf("%d %s %s", s.rev, last, s.note)
}

func (w *world) fail(err error) {
	if w.broken == nil {
		w.broken = fmt.Errorf("%v: %w", w.now, err)
		w.trace("%v BROKEN %v", w.now, err)
		w.dump()
	}
}

// dump shows what every machine knows.
func (w *world) dump() {
	w.trace("truth %d, acked %d, lost %d, whole %v", len(w.truth), w.acked, w.lost, w.whole())
	for _, m := range w.nodes {
		r, ok := m.held()
		if !m.up() {
			w.trace("machine %d %s down, gone %v; disk %v %v view %d active %d", m.name, m.member.Addr, m.gone, ok, r.self.ID, epochOf(r.view), r.active)
			continue
		}
		c := m.core
		w.trace("machine %d %s %s frozen %v view %d %s entered %v base %d past %v active %d/%d sealed %d next %v promised %v",
			m.name, m.member.Addr, c.reg.self.ID, m.frozen, c.reg.view.Epoch, c.reg.view, c.entered, c.reg.view.base, c.reg.view.past,
			c.reg.active, c.activeOn, c.reg.sealed, c.reg.next, c.reg.promised)
		w.trace("   log %d..%d disk %d unsure %v install %v bad %v; committed %d matched %d joined %v start %d floor %d fed %v quiet %v prop %v want %v now %v",
			c.log.base, c.log.end(), c.disk.end, c.disk.unsure, c.disk.install != nil, c.disk.bad, c.committed, c.matched, c.joined,
			c.start, c.readFloor, c.fed, c.graceUntil, c.prop != nil, c.wantAt, c.now)
		for id, p := range c.down {
			w.trace("   down %s %+v", id, *p)
		}
		for id, p := range c.peers {
			w.trace("   peer %s alive %v good %v since %v: %v", id, c.alive(id), c.good(id), p.goodAt, p.heartbeat)
		}
	}
}

func epochOf(v *View) uint64 {
	if v == nil {
		return 0
	}
	return v.Epoch
}

// check holds the machine's view and committed log against those of all others.
func (w *world) check(m *machine) {
	c := m.core
	if c == nil || w.broken != nil {
		return
	}
	if err := c.Err(); err != nil {
		w.fail(fmt.Errorf("machine %d stopped: %w", m.name, err))
		return
	}
	if v := c.View(); v != m.view && v.Epoch > 0 {
		if m.view != nil && v.Epoch < m.view.Epoch {
			w.fail(fmt.Errorf("machine %d went back from view %d to %d", m.name, m.view.Epoch, v.Epoch))
		}
		m.view = v
		s := fmt.Sprint(v.Chain, v.Voters)
		if was, ok := w.viewOf[v.Epoch]; ok && was != s {
			w.fail(fmt.Errorf("two views of epoch %d: %s and %s", v.Epoch, was, s))
		}
		if w.viewOf[v.Epoch] == "" {
			w.stats.views++
		}
		w.viewOf[v.Epoch] = s
		if w.newest == nil || v.Epoch > w.newest.Epoch {
			w.newest = v
		}
	}
	seq, state := c.Committed()
	if seq < m.committed {
		w.fail(fmt.Errorf("machine %d went back from record %d to %d", m.name, m.committed, seq))
	}
	for s := m.committed + 1; s <= seq; s++ {
		if s <= c.log.base || s > c.log.end() {
			continue
		}
		e := c.log.at(s)
		id := fmt.Sprintf("%d %d %s %s", e.epoch, e.rec.Op, e.rec.Body, e.rec.Zone)
		switch {
		case s <= uint64(len(w.truth)):
			if w.truth[s-1] != id {
				w.fail(fmt.Errorf("machine %d has committed record %d as %q, another as %q", m.name, s, id, w.truth[s-1]))
			}
		case s == uint64(len(w.truth))+1:
			w.truth = append(w.truth, id)
			w.epochs = append(w.epochs, c.View().Epoch)
			next, _ := w.states[s-1].Apply(e.rec)
			w.states = append(w.states, next.(*toy))
		default:
			w.fail(fmt.Errorf("machine %d has committed record %d, but none has %d", m.name, s, len(w.truth)+1))
		}
	}
	w.checkActive(m)
	if seq == m.committed && m.checked == state {
		return
	}
	m.committed, m.checked = seq, state
	if seq >= uint64(len(w.states)) {
		w.fail(fmt.Errorf("machine %d is at record %d, which nobody has committed", m.name, seq))
	} else if got, want := describe(state.(*toy)), describe(w.states[seq]); got != want {
		w.fail(fmt.Errorf("machine %d has %q after record %d, others %q", m.name, got, seq, want))
	}
}

// checkActive holds what an active link has on disk against what was acknowledged up to its epoch.
func (w *world) checkActive(m *machine) {
	c := m.core
	if c.activeOn == 0 || c.reg.active == 0 {
		return
	}
	i := sort.Search(len(w.epochs), func(i int) bool { return w.epochs[i] > c.activeOn })
	end := m.disk.snap.Seq
	if n := len(m.disk.entries); n > 0 {
		end = m.disk.entries[n-1].Seq
	}
	if end < uint64(i) {
		w.fail(fmt.Errorf("machine %d was active in epoch %d, which has acknowledged %d records, but holds %d", m.name, c.activeOn, i, end))
	}
}

// ack is the newest record acknowledged at a time.
type ack struct {
	at  time.Duration
	seq uint64
}

// checkCurrent holds a keeper that would pass on what it has as new against what was acknowledged long before.
func (w *world) checkCurrent(m *machine) {
	c := m.core
	if c == nil || w.broken != nil || !c.Current(m.clock()) {
		return
	}
	i := sort.Search(len(w.acks), func(i int) bool { return w.acks[i].at > w.now-time.Second })
	if i > 0 && c.committed < w.acks[i-1].seq {
		w.fail(fmt.Errorf("machine %d counts as current with record %d, but %d was acknowledged %v ago",
			m.name, c.committed, w.acks[i-1].seq, w.now-w.acks[i-1].at))
	}
}

// ended holds an answer against what is committed.
func (w *world) ended(a *asked, d Completion) {
	if w.broken != nil {
		return
	}
	top := uint64(len(w.truth))
	body := string(a.change.Body)
	if a.read {
		if d.Outcome == Answered {
			w.stats.reads++
			if d.Seq < a.acked {
				w.fail(fmt.Errorf("a read at machine %d gave record %d, but %d had been acknowledged", a.at.name, d.Seq, a.acked))
			} else if d.Seq > top || describe(d.State.(*toy)) != describe(w.states[d.Seq]) {
				w.fail(fmt.Errorf("a read gave %q at record %d", describe(d.State.(*toy)), d.Seq))
			}
		}
		w.clientDone(a, d)
		return
	}
	w.trace("%v answer to %q base %d at machine %d: outcome %d %v record %d", w.now, body, a.change.Base, a.at.name, d.Outcome, d.Verdict, d.Seq)
	switch {
	case d.Outcome == Unknown:
		w.stats.unknown++
		w.vague[body] = true
	case d.Outcome == Refused:
		w.stats.refused++
		w.never(body)
	case d.Verdict.Kind == controlstate.Accept:
		w.stats.accepted++
		if d.Seq == 0 || d.Seq > top {
			w.fail(fmt.Errorf("record %d was acknowledged but is not committed", d.Seq))
		} else if rec := w.states[d.Seq]; body != "" && (rec.last == nil || rec.last.Body != body) || body == "" && rec.note != a.change.Zone {
			w.fail(fmt.Errorf("record %d was acknowledged as %q %q but is %q", d.Seq, body, a.change.Zone, w.truth[d.Seq-1]))
		} else if d.Seq <= a.acked && a.tries == 1 {
			w.fail(fmt.Errorf("record %d was asked for after %d was acknowledged", d.Seq, a.acked))
		}
		w.acked = max(w.acked, d.Seq)
		w.acks = append(w.acks, ack{w.now, w.acked})
		armed := w.onAck
		w.onAck = nil
		for _, do := range armed {
			w.after(0, do)
		}
	case d.Verdict.Kind == controlstate.Already:
		w.stats.already++
		found := false
		for r := w.states[top].last; r != nil; r = r.prev {
			found = found || r.Body == body
		}
		if !found {
			w.fail(fmt.Errorf("%q counts as taken before, but no committed record has it", body))
		}
	case d.Verdict.Kind == controlstate.Stale:
		w.stats.stale++
		w.never(body)
		found := false
		for s := a.acked; s <= top; s++ {
			found = found || w.states[s].rev != a.change.Base
		}
		if !found {
			w.fail(fmt.Errorf("%q on version %d was called stale, but it was the newest all the time", body, a.change.Base))
		}
	}
	w.clientDone(a, d)
}

// never notes that a change must not come about any more.
func (w *world) never(body string) {
	if body != "" && !w.vague[body] {
		w.refused[body] = true
	}
}

func (w *world) checkRefused() {
	for r := w.states[len(w.states)-1].last; r != nil; r = r.prev {
		if w.refused[r.Body] {
			w.fail(fmt.Errorf("%q was refused and came about", r.Body))
		}
	}
	seen := map[string]bool{}
	for r := w.states[len(w.states)-1].last; r != nil; r = r.prev {
		if seen[r.Body] {
			w.fail(fmt.Errorf("%q came about twice", r.Body))
		}
		seen[r.Body] = true
	}
	notes := map[string]int{}
	for _, s := range w.truth {
		if notes[s]++; notes[s] > 1 {
			w.fail(fmt.Errorf("record %q is there twice", s))
		}
	}
}

// client asks for one thing after another.
func (w *world) client(n int) {
	if w.broken != nil || w.clientsEnd {
		return
	}
	m := w.nodes[w.rng.IntN(len(w.nodes))]
	if !m.up() || m.frozen {
		w.after(50*time.Millisecond, func() { w.client(n) })
		return
	}
	w.ids++
	a := &asked{id: w.ids, at: m, client: n, acked: w.acked, tries: 1}
	switch k := w.rng.IntN(20); {
	case k < 6:
		a.read = true
	case k < 9:
		a.change = controlstate.Change{Op: controlstate.OpEvacuate, Zone: fmt.Sprintf("z%d", a.id)}
	case k < 10:
		a.change = controlstate.Change{Op: controlstate.OpReplace, Body: []byte("bad")}
	default:
		// What an operator knows is at best as new as the last answer, and may be what a keeper has not yet confirmed.
		base := w.states[len(w.states)-1].rev
		if w.rng.IntN(5) == 0 {
			base = w.states[w.acked].rev - int64(w.rng.IntN(2))
		}
		a.change = controlstate.Change{Op: controlstate.OpReplace, Base: base, Body: fmt.Appendf(nil, "c%d-%d", n, a.id)}
	}
	w.ask(a)
}

func (w *world) ask(a *asked) {
	w.asked[a.id] = a
	ttl := 4 * time.Second
	if w.rng.IntN(3) == 0 {
		ttl = time.Duration(100+w.rng.IntN(1500)) * time.Millisecond
	}
	if a.ttl > 0 {
		ttl = a.ttl
	}
	m := a.at
	w.trace("%v asked at machine %d: read %v %q base %d zone %q", w.now, m.name, a.read, a.change.Body, a.change.Base, a.change.Zone)
	if a.read {
		m.core.Read(m.clock(), a.id, ttl)
	} else {
		m.core.Submit(m.clock(), a.id, a.change, ttl)
	}
	m.drain()
}

func (w *world) clientDone(a *asked, d Completion) {
	w.after(time.Duration(10+w.rng.IntN(250))*time.Millisecond, func() {
		if d.Outcome == Unknown && a.change.Op == controlstate.OpReplace && w.rng.IntN(10) < 7 && a.tries < 5 {
			if m := w.nodes[w.rng.IntN(len(w.nodes))]; m.up() && !m.frozen {
				w.ids++
				again := *a
				again.id, again.at, again.tries = w.ids, m, a.tries+1
				w.ask(&again)
				return
			}
		}
		w.client(a.client)
	})
}
