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
		w.trace("%v VIOLATION %v", w.now, err)
		w.dump()
	}
}

// dump traces the state of every node.
func (w *clusterSim) dump() {
	w.trace("truth %d, acked %d, lost %d, complete %v", len(w.committedRecords), w.acked, w.lost, w.isFullyReplicated())
	for _, m := range w.nodes {
		r, ok := m.durableState()
		if !m.isRunning() {
			w.trace("machine %d %s down, removed %v; disk %v %v view %d active %d", m.name, m.member.Addr, m.removed, ok, r.identity.ID, epochOf(r.view), r.activeEpoch)
			continue
		}
		c := m.core
		w.trace("machine %d %s %s paused %v view %d %s durable %v min head epoch %d earlier chains %v active %d/%d sealed %d accepted %v promised %v",
			m.name, m.member.Addr, c.self.ID, m.paused, c.acceptor.view.Epoch, c.acceptor.view, c.acceptor.viewDurable, c.acceptor.view.minHeadEpoch, c.acceptor.view.earlierChains,
			c.acceptor.activeEpoch, c.acceptor.durableActiveEpoch, c.acceptor.sealedEpoch, c.acceptor.acceptedView, c.acceptor.promised)
		w.trace("   log %d..%d disk %d truncate %v install %v unhealthy %v; committed %d match %d upstream matched %v start %d min read %d caught up %v grace %v proposing %v propose at %v now %v",
			c.chain.log.base, c.chain.log.end(), c.writer.durableEnd, c.writer.truncateNeeded, c.writer.pendingInstall != nil, c.writer.unhealthy, c.chain.commitIndex, c.chain.matchIndex, c.chain.upstreamMatched,
			c.chain.epochStartIndex, c.chain.minReadIndex, c.chain.caughtUp, c.liveness.graceUntil, c.proposer.proposal != nil, c.proposer.proposeAt, c.now)
		for id, p := range c.chain.downstream {
			w.trace("   downstream %s %+v", id, *p)
		}
		for id, p := range c.liveness.peers {
			w.trace("   peer %s alive %v eligible %v since %v: %v", id, c.liveness.isAlive(id), c.liveness.isEligible(id), p.eligibleSince, p.heartbeat)
		}
	}
	for _, p := range w.proxies {
		w.trace("proxy %s running %v paused %v record %d fresh at %v disturbed at %v", p.name, p.running, p.paused, p.seq, p.freshAt, p.eventAt)
	}
}

func epochOf(v *View) uint64 {
	if v == nil {
		return 0
	}
	return v.Epoch
}

// check compares the node's view and committed log with those of all others.
func (w *clusterSim) check(node *simNode) {
	core := node.core
	if core == nil || w.violation != nil {
		return
	}
	if err := core.Err(); err != nil {
		w.fail(fmt.Errorf("node %d stopped: %w", node.name, err))
		return
	}
	w.checkView(node, core.View())
	seq, state := core.Committed()
	if seq < node.committed {
		w.fail(fmt.Errorf("node %d went back from record %d to %d", node.name, node.committed, seq))
	}
	for s := node.committed + 1; s <= seq; s++ {
		if s > core.chain.log.base && s <= core.chain.log.end() {
			w.checkRecord(node, s)
		}
	}
	w.checkActive(node)
	w.checkLeft(node)
	if seq == node.committed && node.checked == state {
		return
	}
	node.committed, node.checked = seq, state
	if seq >= uint64(len(w.states)) {
		w.fail(fmt.Errorf("node %d is at record %d, which no node has committed", node.name, seq))
	} else if got, want := describe(state.(*toy)), describe(w.states[seq]); got != want {
		w.fail(fmt.Errorf("node %d has %q after record %d, others %q", node.name, got, seq, want))
	}
}

func (w *clusterSim) checkView(node *simNode, view *View) {
	if view == node.view || view.Epoch == 0 {
		return
	}
	if node.view != nil && view.Epoch < node.view.Epoch {
		w.fail(fmt.Errorf("node %d went back from view %d to %d", node.name, node.view.Epoch, view.Epoch))
	}
	node.view = view
	s := fmt.Sprint(view.Chain, view.Voters)
	if was, ok := w.viewOf[view.Epoch]; ok && was != s {
		w.fail(fmt.Errorf("two views of epoch %d: %s and %s", view.Epoch, was, s))
	}
	if w.viewOf[view.Epoch] == "" {
		w.stats.views++
	}
	w.viewOf[view.Epoch] = s
	if w.newest == nil || view.Epoch > w.newest.Epoch {
		w.newest = view
	}
}

// checkRecord compares a committed record with what others have committed under its number.
func (w *clusterSim) checkRecord(node *simNode, seq uint64) {
	rec := node.core.chain.log.at(seq)
	id := fmt.Sprintf("%d %d %d %s %s", rec.epoch, rec.rec.Op, rec.rec.Base, rec.rec.Body, rec.rec.Zone)
	switch {
	case seq <= uint64(len(w.committedRecords)):
		if w.committedRecords[seq-1] != id {
			w.fail(fmt.Errorf("node %d has committed record %d as %q, another as %q", node.name, seq, id, w.committedRecords[seq-1]))
		}
	case seq == uint64(len(w.committedRecords))+1:
		next, err := w.states[seq-1].Apply(rec.rec)
		if err != nil {
			w.fail(fmt.Errorf("node %d has committed record %d: %w", node.name, seq, err))
			return
		}
		w.committedRecords = append(w.committedRecords, id)
		w.epochs = append(w.epochs, node.core.View().Epoch)
		w.states = append(w.states, next.(*toy))
		w.committed(rec.rec)
	default:
		w.fail(fmt.Errorf("node %d has committed record %d, but no node has committed %d", node.name, seq, len(w.committedRecords)+1))
	}
}

// checkActive checks that an active replica has on disk what was acknowledged up to its epoch.
func (w *clusterSim) checkActive(m *simNode) {
	c := m.core
	if c.acceptor.durableActiveEpoch == 0 || c.acceptor.activeEpoch == 0 {
		return
	}
	i := sort.Search(len(w.epochs), func(i int) bool { return w.epochs[i] > c.acceptor.durableActiveEpoch })
	if end := m.disk.end(); end < uint64(i) {
		w.fail(fmt.Errorf("node %d was active in epoch %d, which has acknowledged %d records, but holds %d", m.name, c.acceptor.durableActiveEpoch, i, end))
	}
}

// ack is the newest acknowledged record at a given time.
type ack struct {
	at  time.Duration
	seq uint64
}

// checkCurrent checks that a node that counts as current holds everything that was acknowledged more than currentBound ago.
func (w *clusterSim) checkCurrent(m *simNode) {
	c := m.core
	if c == nil || w.violation != nil || !c.Current(m.clock()) {
		return
	}
	if seq := w.ackedBefore(w.now - currentBound); c.chain.commitIndex < seq {
		w.fail(fmt.Errorf("node %d counts as current with record %d, but %d was acknowledged over %v ago", m.name, c.chain.commitIndex, seq, currentBound))
	}
}

// checkCompletion compares an answer with what is committed.
func (w *clusterSim) checkCompletion(call *simCall, done Completion) {
	if w.violation != nil {
		return
	}
	if w.onAnswer != nil {
		w.onAnswer(call, done)
	}
	if call.read {
		w.checkRead(call, done)
	} else {
		w.trace("%v answer to %s at machine %d: outcome %d %v record %d", w.now, keyOf(call.change), call.node.name, done.Outcome, done.Verdict, done.Seq)
		w.checkAnswer(call, done)
	}
	if call.onInternalRead != nil {
		call.onInternalRead(done)
		return
	}
	w.answer(call, done)
}

// checkRead checks that a read returns a committed state, with everything that was acknowledged or read before it was requested.
func (w *clusterSim) checkRead(a *simCall, d Completion) {
	if d.Outcome != Answered {
		return
	}
	w.stats.reads++
	if d.Seq < a.acked {
		w.fail(fmt.Errorf("a read at node %d returned record %d, but %d had been acknowledged or read", a.node.name, d.Seq, a.acked))
	} else if d.Seq > uint64(len(w.committedRecords)) || describe(d.State.(*toy)) != describe(w.states[d.Seq]) {
		w.fail(fmt.Errorf("a read returned %q at record %d", describe(d.State.(*toy)), d.Seq))
	}
	w.newestRead = max(w.newestRead, d.Seq)
}

// checkAnswer compares the answer to a change with what is committed, and records what the answer promises.
func (w *clusterSim) checkAnswer(call *simCall, done Completion) {
	key := keyOf(call.change)
	l := w.historyOf(key)
	taken := w.acceptedAt[key]
	switch {
	case done.Outcome == Unknown:
		w.stats.unknown++
	case done.Outcome == Refused:
		w.stats.refused++
		l.refused++
	case done.Verdict.Kind == controlstate.Accepted, done.Verdict.Kind == controlstate.AlreadyApplied:
		w.checkAcknowledged(call, done, l, taken)
	case done.Verdict.Kind == controlstate.Stale, done.Verdict.Kind == controlstate.Invalid:
		w.stats.stale++
		l.rejected = true
		if taken > 0 {
			w.fail(fmt.Errorf("%s is record %d, but was refused when it was repeated: %v", key, taken, done.Verdict))
		}
		if done.Verdict.Kind == controlstate.Invalid && !call.isInvalid() {
			w.fail(fmt.Errorf("%s counts as invalid: %v", key, done.Verdict))
		}
		found := call.isInvalid()
		for s := call.acked; s <= uint64(len(w.committedRecords)); s++ {
			found = found || w.states[s].rev != call.change.Base
		}
		if !found {
			w.fail(fmt.Errorf("%s was reported as stale, but its base was the newest version all the time", key))
		}
	default:
		w.stats.unknown++
	}
}

func (w *clusterSim) checkAcknowledged(call *simCall, done Completion, history *changeHistory, taken uint64) {
	key := keyOf(call.change)
	already := done.Verdict.Kind == controlstate.AlreadyApplied
	if already {
		w.stats.already++
	} else {
		w.stats.accepted++
	}
	zone := call.change.Op == controlstate.OpEvacuate || call.change.Op == controlstate.OpReadmit
	switch {
	case call.isInvalid():
		w.fail(fmt.Errorf("%s was acknowledged", key))
	case zone && already:
		// The zone was in the requested state at some time between the request and the answer.
		found := false
		for s := call.acked; s <= uint64(len(w.committedRecords)); s++ {
			found = found || w.states[s].zones[call.change.Zone].Evacuated == (call.change.Op == controlstate.OpEvacuate)
		}
		if !found {
			w.fail(fmt.Errorf("%s was reported as already applied, but is not", key))
		}
		taken = call.acked
	case taken == 0:
		w.fail(fmt.Errorf("%s was acknowledged but is not committed", key))
	case !already && done.Seq != taken && !zone:
		w.fail(fmt.Errorf("%s was acknowledged as record %d but is record %d", key, done.Seq, taken))
	case !already && done.Seq <= call.first:
		w.fail(fmt.Errorf("%s was acknowledged as record %d but first requested after %d was acknowledged", key, done.Seq, call.first))
	}
	if zone && !already {
		taken = done.Seq
	}
	history.acked = true
	w.acked = max(w.acked, taken)
	w.acks = append(w.acks, ack{w.now, w.acked})
	armed := w.onAck
	w.onAck = nil
	for _, do := range armed {
		w.after(0, do)
	}
}
