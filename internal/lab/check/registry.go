package check

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/plan"
)

// Last is the revision of the registry at the end, when all faults are over; Rev 0: no node led.
type Last struct {
	Cluster string
	Rev     int64
}

// NodePeak is the largest use of resources by the processes of a registry node at a sample, and the processor time of the last one.
type NodePeak struct {
	MemoryMB    float64
	Descriptors int
	Used        float64 // share of a core, from its first sample to its last
	Pid         int     // of the last process
	First       int64   // time of its first sample, ns
	Before      float64 // seconds of a core at that sample
}

// isReader reports whether a near end reads the list at the end: a sidecar that has not left, or a client that only watches.
func isReader(p *plan.Plan, near int) bool {
	stays := near < len(p.Sidecars) && p.Sidecars[near].To == 0
	return stays || near >= p.NearWatcher(0)
}

// LaggingReaders are the readers, by index of their near end, that did not receive the last revision.
func LaggingReaders(p *plan.Plan, updates []ctl.RegistryUpdate, last Last) (all []int) {
	known := map[int]int64{}
	for _, update := range updates {
		if update.Cluster == last.Cluster && update.Watch {
			known[update.Near] = max(known[update.Near], update.Rev)
		}
	}
	for near := range p.Nears() {
		if isReader(p, near) && known[near] < last.Rev {
			all = append(all, near)
		}
	}
	return all
}

// checkRegistry checks linearizable, revisions and told-all.
func (e *Evidence) checkRegistry(found findings) {
	if e.Plan.File.Registry.Count == 0 {
		return
	}
	e.checkLinearizable(found)
	e.checkRevisions(found)
	if e.Last.Rev == 0 {
		found.violation("told-all", "no keeper leads at the end")
		return
	}
	found.observe("told-all", e.readersOfChanges())
	for _, near := range LaggingReaders(e.Plan, e.RegistryUpdates, e.Last) {
		found.violation("told-all", "reader %d was not told revision %d", near, e.Last.Rev)
	}
}

// readersOfChanges is how many readers had to receive what changed while the load ran; 0: nothing did.
func (e *Evidence) readersOfChanges() (readers int) {
	before := int64(0) // the highest revision that was published before the load
	for _, update := range e.RegistryUpdates {
		if update.At < e.Start && update.Cluster == e.Last.Cluster {
			before = max(before, update.Rev)
		}
	}
	if e.Last.Rev <= before {
		return 0
	}
	for near := range e.Plan.Nears() {
		if isReader(e.Plan, near) {
			readers++
		}
	}
	return readers
}

// entry is what one key has, as far as a history of operations determines it.
type entry struct {
	revision int64 // negative: of a write without an answer, above the revision of the same amount
	value    int
}

// admits reports whether the entry may have a revision, which a write requires or a read returned.
func (e entry) admits(revision int64) bool {
	return revision == e.revision || e.revision < 0 && revision > -e.revision
}

// registerModel is a register that is written by compare and set: each write names the revision that it replaces. The zero entry stands for
// what was written before the first operation, of which nothing is known.
var registerModel = porcupine.NondeterministicModel{
	Init:  func() []any { return []any{entry{}} },
	Step:  func(state, input, _ any) []any { return nextEntries(state.(entry), input.(ctl.RegistryCall)) },
	Equal: func(a, b any) bool { return a == b },
}

// nextEntries are the entries that may follow a call; none: the call is not possible.
func nextEntries(now entry, call ctl.RegistryCall) []any {
	unknown := now == entry{}
	written := entry{call.Rev, call.Value}
	if !call.Write {
		if unknown || call.Value == now.value && now.admits(call.Rev) {
			return []any{written}
		}
		return nil
	}
	applies := unknown || now.admits(call.Expect)
	switch call.Outcome {
	case ctl.CallConflict:
		if now.revision != call.Expect {
			return []any{now}
		}
		return nil
	case ctl.CallUncertain:
		if applies {
			return []any{now, entry{-call.Expect, call.Value}}
		}
		return []any{now}
	}
	if applies && call.Rev > call.Expect {
		return []any{written}
	}
	return nil
}

const linearizabilityTimeout = 20 * time.Second // for the history of one entry

// checkLinearizable checks what the lab's own clients wrote and read, entry by entry, for linearizability is local (Herlihy and Wing, 1990).
func (e *Evidence) checkLinearizable(found findings) {
	keys := map[int][]porcupine.Operation{}
	for _, call := range e.RegistryCalls {
		if call.Outcome == ctl.CallNone {
			continue
		}
		end := call.Return
		if call.Outcome == ctl.CallUncertain {
			end = math.MaxInt64
		}
		found.observe("linearizable", 1)
		keys[call.Key] = append(keys[call.Key], porcupine.Operation{ClientId: call.Client, Input: call, Output: call, Call: call.Call, Return: end})
	}
	model := registerModel.ToModel()
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		switch porcupine.CheckOperationsTimeout(model, keys[key], linearizabilityTimeout) {
		case porcupine.Illegal:
			found.violation("linearizable", "the %d operations on entry %d fit no order", len(keys[key]), key)
		case porcupine.Unknown:
			found.violation("linearizable", "the %d operations on entry %d could not be judged within %v", len(keys[key]), key, linearizabilityTimeout)
		}
	}
}

// checkRevisions checks the updates of each watch in the order in which they were written.
func (e *Evidence) checkRevisions(found findings) {
	watches := map[int64][]ctl.RegistryUpdate{} // by connection
	for _, update := range e.RegistryUpdates {
		if update.Watch {
			watches[update.Conn] = append(watches[update.Conn], update)
		}
	}
	for conn, updates := range watches {
		found.observe("revisions", len(updates))
		slices.SortStableFunc(updates, func(a, b ctl.RegistryUpdate) int { return cmp.Compare(a.At, b.At) })
		revision := updates[0].KnownRevision
		for _, update := range updates {
			where := fmt.Sprintf("connection %d of reader %d to %s at %s", conn, update.Near, update.Node, e.when(update.At))
			checkRevision(found, where, revision, update)
			revision = update.Rev
		}
	}
}

// checkRevision checks an update against the revision that the watcher has. A complete list may replace changes, but never by an earlier
// revision.
func checkRevision(found findings, where string, revision int64, update ctl.RegistryUpdate) {
	switch {
	case update.Rev < revision:
		found.violation("revisions", "%s: revision %d after %d", where, update.Rev, revision)
	case update.Complete:
	case update.ServerCount > 0 && update.Rev != revision+int64(update.ServerCount):
		found.violation("revisions", "%s: %d changes lead from revision %d to %d", where, update.ServerCount, revision, update.Rev)
	case update.ServerCount == 0 && update.Rev != revision:
		found.violation("revisions", "%s: nothing changed from revision %d to %d", where, revision, update.Rev)
	}
}
