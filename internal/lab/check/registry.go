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

// Last is the revision at the end, when all faults are over; 0: no keeper led.
type Last struct {
	Cluster string
	Rev     int64
}

// NodePeak is the most that a keeper's processes held at a sample, and what the last one used.
type NodePeak struct {
	MemoryMB    float64
	Descriptors int
	Used        float64 // share of a core, from its first sample to its last
	Pid         int
	First       int64   // sample, ns
	Before      float64 // seconds of a core at that
}

// isReader tells whether a near end reads the list at the end: a sidecar that has not left, or a client that only watches.
func isReader(p *plan.Plan, near int) bool {
	return near < len(p.Sidecars) && p.Sidecars[near].To == 0 || near >= p.NearWatcher(0)
}

// LaggingReaders are the readers that were not told the last revision.
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

func (e *Evidence) checkRegistry(f findings) {
	if e.Plan.File.Registry.Count == 0 {
		return
	}
	e.checkLinearizable(f)
	e.checkRevisions(f)
	if e.Last.Rev == 0 {
		f.violation("told-all", "no keeper leads at the end")
		return
	}
	f.observe("told-all", e.readersOfChanges())
	for _, near := range LaggingReaders(e.Plan, e.RegistryUpdates, e.Last) {
		f.violation("told-all", "reader %d was not told revision %d", near, e.Last.Rev)
	}
}

// readersOfChanges is how many readers there were to be told what changed while the load ran; 0: nothing did.
func (e *Evidence) readersOfChanges() (readers int) {
	before := int64(0) // the highest revision that was shown before the load
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

// entry is what one key holds, as far as a history of operations leaves it known.
type entry struct {
	revision int64 // below 0: of a write that was never answered, so above the one before
	value    int
}

// registerModel is one that is written with compare and set: each write names the revision that it replaces.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{entry{}} },
	Step: func(state, input, output any) []any {
		now, w := state.(entry), input.(ctl.RegistryCall)
		switch {
		case !w.Write && now == (entry{}): // what was made before the first operation
			return []any{entry{w.Rev, w.Value}}
		case !w.Write && w.Value == now.value && (w.Rev == now.revision || now.revision < 0 && w.Rev > -now.revision):
			return []any{entry{w.Rev, w.Value}}
		case !w.Write:
			return nil
		}
		fits := now.revision == w.Expect || now == (entry{}) || now.revision < 0 && w.Expect > -now.revision
		switch {
		case w.Outcome == "conflict" && (now.revision != w.Expect):
			return []any{state}
		case w.Outcome == "conflict":
			return nil
		case w.Outcome == "uncertain" && fits:
			return []any{state, entry{-w.Expect, w.Value}}
		case w.Outcome == "uncertain":
			return []any{state}
		case fits && w.Rev > w.Expect:
			return []any{entry{w.Rev, w.Value}}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

const linearizabilityTimeout = 20 * time.Second // for one entry's history

// checkLinearizable checks what the lab's own clients wrote and read, entry by entry (Herlihy and Wing, 1990).
func (e *Evidence) checkLinearizable(f findings) {
	keys := map[int][]porcupine.Operation{}
	for _, call := range e.RegistryCalls {
		if call.Outcome == "none" {
			continue
		}
		end := call.Return
		if call.Outcome == "uncertain" {
			end = math.MaxInt64
		}
		f.observe("linearizable", 1)
		keys[call.Key] = append(keys[call.Key], porcupine.Operation{ClientId: call.Client, Input: call, Output: call, Call: call.Call, Return: end})
	}
	model := registerModel.ToModel()
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		switch porcupine.CheckOperationsTimeout(model, keys[key], linearizabilityTimeout) {
		case porcupine.Illegal:
			f.violation("linearizable", "the %d operations on entry %d fit no order", len(keys[key]), key)
		case porcupine.Unknown:
			f.violation("linearizable", "the %d operations on entry %d could not be judged within %v", len(keys[key]), key, linearizabilityTimeout)
		}
	}
}

// checkRevisions checks what each watch was shown, in the order in which it came.
func (e *Evidence) checkRevisions(f findings) {
	updates := map[int64][]ctl.RegistryUpdate{}
	for _, update := range e.RegistryUpdates {
		if update.Watch {
			updates[update.Conn] = append(updates[update.Conn], update)
		}
	}
	for conn, all := range updates {
		f.observe("revisions", len(all))
		slices.SortStableFunc(all, func(a, b ctl.RegistryUpdate) int { return cmp.Compare(a.At, b.At) })
		revision := all[0].KnownRevision
		for _, update := range all { // a whole list may come instead of changes, but never from behind
			where := fmt.Sprintf("connection %d of reader %d to %s at %s", conn, update.Near, update.Node, e.when(update.At))
			switch {
			case update.Rev < revision:
				f.violation("revisions", "%s: revision %d after %d", where, update.Rev, revision)
			case !update.Complete && update.ServerCount > 0 && update.Rev != revision+int64(update.ServerCount):
				f.violation("revisions", "%s: %d changes lead from revision %d to %d", where, update.ServerCount, revision, update.Rev)
			case !update.Complete && update.ServerCount == 0 && update.Rev != revision:
				f.violation("revisions", "%s: nothing changed from revision %d to %d", where, revision, update.Rev)
			}
			revision = update.Rev
		}
	}
}
