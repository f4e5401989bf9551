package replication

import (
	"fmt"
	"sort"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

func (w *clusterSim) fail(err error) {
	if w.violation == nil {
		w.violation = fmt.Errorf("%v: %w", w.now, err)
		w.trace("%v BROKEN %v", w.now, err)
		w.dump()
	}
}

// dump shows what every machine knows.
func (w *clusterSim) dump() {
	w.trace("truth %d, acked %d, lost %d, whole %v", len(w.truth), w.acked, w.lost, w.isFullyReplicated())
	for _, m := range w.nodes {
		r, ok := m.durableState()
		if !m.isRunning() {
			w.trace("machine %d %s down, gone %v; disk %v %v view %d active %d", m.name, m.member.Addr, m.removed, ok, r.identity.ID, epochOf(r.view), r.activeEpoch)
			continue
		}
		c := m.core
		w.trace("machine %d %s %s frozen %v view %d %s entered %v base %d past %v active %d/%d sealed %d next %v promised %v",
			m.name, m.member.Addr, c.self.ID, m.paused, c.acceptor.view.Epoch, c.acceptor.view, c.acceptor.viewDurable, c.acceptor.view.base, c.acceptor.view.past,
			c.acceptor.activeEpoch, c.acceptor.durableActive, c.acceptor.sealedEpoch, c.acceptor.acceptedView, c.acceptor.promised)
		w.trace("   log %d..%d disk %d unsure %v install %v bad %v; committed %d matched %d joined %v start %d floor %d fed %v quiet %v prop %v want %v now %v",
			c.chain.log.base, c.chain.log.end(), c.writer.durableEnd, c.writer.truncateNeeded, c.writer.pendingInstall != nil, c.writer.unhealthy, c.chain.commitIndex, c.chain.matchIndex, c.chain.upstreamMatched,
			c.chain.epochStartIndex, c.chain.minReadIndex, c.chain.caughtUp, c.liveness.graceUntil, c.proposer.proposal != nil, c.proposer.proposeAt, c.now)
		for id, p := range c.chain.downstream {
			w.trace("   down %s %+v", id, *p)
		}
		for id, p := range c.liveness.peers {
			w.trace("   peer %s alive %v good %v since %v: %v", id, c.liveness.isAlive(id), c.liveness.isEligible(id), p.eligibleSince, p.heartbeat)
		}
	}
	for _, p := range w.proxies {
		w.trace("proxy %s up %v frozen %v record %d fresh at %v disturbed at %v", p.name, p.running, p.paused, p.seq, p.freshAt, p.eventAt)
	}
}

func epochOf(v *View) uint64 {
	if v == nil {
		return 0
	}
	return v.Epoch
}

// check holds the machine's view and committed log against those of all others.
func (w *clusterSim) check(m *simNode) {
	c := m.core
	if c == nil || w.violation != nil {
		return
	}
	if err := c.Err(); err != nil {
		w.fail(fmt.Errorf("machine %d stopped: %w", m.name, err))
		return
	}
	w.checkView(m, c.View())
	seq, state := c.Committed()
	if seq < m.committed {
		w.fail(fmt.Errorf("machine %d went back from record %d to %d", m.name, m.committed, seq))
	}
	for s := m.committed + 1; s <= seq; s++ {
		if s > c.chain.log.base && s <= c.chain.log.end() {
			w.checkRecord(m, s)
		}
	}
	w.checkActive(m)
	w.checkLeft(m)
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

func (w *clusterSim) checkView(m *simNode, v *View) {
	if v == m.view || v.Epoch == 0 {
		return
	}
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

// checkRecord holds a committed record against what others have committed under its number.
func (w *clusterSim) checkRecord(m *simNode, s uint64) {
	e := m.core.chain.log.at(s)
	id := fmt.Sprintf("%d %d %d %s %s", e.epoch, e.rec.Op, e.rec.Base, e.rec.Body, e.rec.Zone)
	switch {
	case s <= uint64(len(w.truth)):
		if w.truth[s-1] != id {
			w.fail(fmt.Errorf("machine %d has committed record %d as %q, another as %q", m.name, s, id, w.truth[s-1]))
		}
	case s == uint64(len(w.truth))+1:
		next, err := w.states[s-1].Apply(e.rec)
		if err != nil {
			w.fail(fmt.Errorf("machine %d has committed record %d: %w", m.name, s, err))
			return
		}
		w.truth = append(w.truth, id)
		w.epochs = append(w.epochs, m.core.View().Epoch)
		w.states = append(w.states, next.(*toy))
		w.committed(e.rec)
	default:
		w.fail(fmt.Errorf("machine %d has committed record %d, but none has %d", m.name, s, len(w.truth)+1))
	}
}

// checkActive holds what an active link has on disk against what was acknowledged up to its epoch.
func (w *clusterSim) checkActive(m *simNode) {
	c := m.core
	if c.acceptor.durableActive == 0 || c.acceptor.activeEpoch == 0 {
		return
	}
	i := sort.Search(len(w.epochs), func(i int) bool { return w.epochs[i] > c.acceptor.durableActive })
	if end := m.disk.end(); end < uint64(i) {
		w.fail(fmt.Errorf("machine %d was active in epoch %d, which has acknowledged %d records, but holds %d", m.name, c.acceptor.durableActive, i, end))
	}
}

// ack is the newest record acknowledged at a time.
type ack struct {
	at  time.Duration
	seq uint64
}

// checkCurrent holds a keeper that would pass on what it has as new against what was acknowledged long before.
func (w *clusterSim) checkCurrent(m *simNode) {
	c := m.core
	if c == nil || w.violation != nil || !c.Current(m.clock()) {
		return
	}
	if seq := w.ackedBefore(w.now - currentBound); c.chain.commitIndex < seq {
		w.fail(fmt.Errorf("machine %d counts as current with record %d, but %d was acknowledged over %v ago", m.name, c.chain.commitIndex, seq, currentBound))
	}
}

// ended holds an answer against what is committed.
func (w *clusterSim) ended(a *simCall, d Completion) {
	if w.violation != nil {
		return
	}
	if w.onAnswer != nil {
		w.onAnswer(a, d)
	}
	if a.read {
		w.checkRead(a, d)
	} else {
		w.trace("%v answer to %s at machine %d: outcome %d %v record %d", w.now, keyOf(a.change), a.node.name, d.Outcome, d.Verdict, d.Seq)
		w.checkAnswer(a, d)
	}
	if a.inside != nil {
		a.inside(d)
		return
	}
	w.answer(a, d)
}

// checkRead: a read gives a committed state, with all that was acknowledged or read before it was asked for.
func (w *clusterSim) checkRead(a *simCall, d Completion) {
	if d.Outcome != Answered {
		return
	}
	w.stats.reads++
	if d.Seq < a.acked {
		w.fail(fmt.Errorf("a read at machine %d gave record %d, but %d had been acknowledged or read", a.node.name, d.Seq, a.acked))
	} else if d.Seq > uint64(len(w.truth)) || describe(d.State.(*toy)) != describe(w.states[d.Seq]) {
		w.fail(fmt.Errorf("a read gave %q at record %d", describe(d.State.(*toy)), d.Seq))
	}
	w.newestRead = max(w.newestRead, d.Seq)
}

// checkAnswer holds the answer to a change against what is committed, and notes what it promises.
func (w *clusterSim) checkAnswer(a *simCall, d Completion) {
	key := keyOf(a.change)
	l := w.entryOf(key)
	taken := w.acceptedAt[key]
	switch {
	case d.Outcome == Unknown:
		w.stats.unknown++
	case d.Outcome == Refused:
		w.stats.refused++
		l.refused++
	case d.Verdict.Kind == controlstate.Accepted, d.Verdict.Kind == controlstate.AlreadyApplied:
		w.checkAcknowledged(a, d, l, taken)
	case d.Verdict.Kind == controlstate.Stale, d.Verdict.Kind == controlstate.Invalid:
		w.stats.stale++
		l.rejected = true
		if taken > 0 {
			w.fail(fmt.Errorf("%s is record %d and was refused when it came again: %v", key, taken, d.Verdict))
		}
		if d.Verdict.Kind == controlstate.Invalid && !a.fail() {
			w.fail(fmt.Errorf("%s counts as invalid: %v", key, d.Verdict))
		}
		found := a.fail()
		for s := a.acked; s <= uint64(len(w.truth)); s++ {
			found = found || w.states[s].rev != a.change.Base
		}
		if !found {
			w.fail(fmt.Errorf("%s was called stale, but its base was the newest version all the time", key))
		}
	default:
		w.stats.unknown++
	}
}

func (w *clusterSim) checkAcknowledged(a *simCall, d Completion, l *changeHistory, taken uint64) {
	key := keyOf(a.change)
	already := d.Verdict.Kind == controlstate.AlreadyApplied
	if already {
		w.stats.already++
	} else {
		w.stats.accepted++
	}
	zone := a.change.Op == controlstate.OpEvacuate || a.change.Op == controlstate.OpReadmit
	switch {
	case a.fail():
		w.fail(fmt.Errorf("%s was acknowledged", key))
	case zone && already:
		// It was in force at some time between the question and the answer.
		found := false
		for s := a.acked; s <= uint64(len(w.truth)); s++ {
			found = found || w.states[s].zones[a.change.Zone].Evacuated == (a.change.Op == controlstate.OpEvacuate)
		}
		if !found {
			w.fail(fmt.Errorf("%s counts as in force, but is not", key))
		}
		taken = a.acked
	case taken == 0:
		w.fail(fmt.Errorf("%s was acknowledged but is not committed", key))
	case !already && d.Seq != taken && !zone:
		w.fail(fmt.Errorf("%s was acknowledged as record %d but is record %d", key, d.Seq, taken))
	case !already && d.Seq <= a.first:
		w.fail(fmt.Errorf("%s was acknowledged as record %d but first asked for after %d was acknowledged", key, d.Seq, a.first))
	}
	if zone && !already {
		taken = d.Seq
	}
	l.acked = true
	w.acked = max(w.acked, taken)
	w.acks = append(w.acks, ack{w.now, w.acked})
	armed := w.onAck
	w.onAck = nil
	for _, do := range armed {
		w.after(0, do)
	}
}
