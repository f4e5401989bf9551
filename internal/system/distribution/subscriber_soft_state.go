package distribution

import (
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
)

// maxListAgeSkew is by how much a list may look older than the one that is held and still be taken, where neither is certainly
// the older one.
const maxListAgeSkew = 2 * time.Second

// listEntry finds the entry that tells when the list was read; nil where a reply brings none.
func listEntry(reply *distributionpb.FollowReply) *distributionpb.Entry {
	i := slices.IndexFunc(reply.GetEntries(), func(w *distributionpb.Entry) bool { return w.GetKey() == softstate.ListKey })
	if i < 0 {
		return nil
	}
	return reply.GetEntries()[i]
}

// bringsOlderList tells whether the list in a reply was read before the one that is held. A keeper that was cut off or stood
// still may be current again before the others have told it of their list. The caller holds mu.
func (f *Subscriber) bringsOlderList(now time.Time, delay softstate.Age, reply *distributionpb.FollowReply) bool {
	held, told := f.table.Get(softstate.ListKey), listEntry(reply)
	if held == nil || told == nil || f.options.Knobs.ReplaceAlways {
		return false
	}
	if told.GetFence() > held.Fence {
		return false // keepers take it as well, whatever its age
	}
	_, age := softstate.DecodeEntry(told)
	toldAge, heldAge := age.Plus(delay), held.AgeAt(now)
	return toldAge.Min > heldAge.Max || toldAge.Max-heldAge.Max > maxListAgeSkew
}

// applyEntries takes soft state in and tells whether anything that matters changed. A whole table of a keeper that misses
// nothing takes the place of what is held, even of higher versions: keepers that all lost their tables count anew. But of a
// list that was read before the one that is held nothing is taken. delay is how long ago the reply was made. The caller holds mu.
func (f *Subscriber) applyEntries(now time.Time, delay softstate.Age, reply *distributionpb.FollowReply) (changed bool) {
	into := f.table
	old := f.bringsOlderList(now, delay, reply)
	if reply.GetFull() && reply.GetComplete() && !f.membershipComplete {
		f.membershipComplete, changed = true, true
	}
	if reply.GetFull() && reply.GetComplete() && !old {
		into = softstate.NewTable()
	}
	if listEntry(reply) != nil && !old {
		for key := range f.unconfirmedServers {
			into.Drop(key)
		}
		f.unconfirmedServers, changed = nil, changed || len(f.unconfirmedServers) > 0
	}
	for _, w := range reply.GetEntries() {
		e, age := softstate.DecodeEntry(w)
		if e.Key == "" || len(e.Key) > 2*softstate.MaxIDBytes || old && softstate.BelongsToList(e.Key) {
			continue
		}
		if f.unconfirmedServers[e.Key] {
			delete(f.unconfirmedServers, e.Key)
			into.Drop(e.Key)
		}
		if into.Merge(now, e, age.Plus(delay)) && (!softstate.IsLazy(e.Key) || f.notifyListUpdates) {
			changed = true
		}
	}
	if into == f.table {
		return changed
	}
	if into.Get(softstate.ListKey) == nil {
		// The list has not been read since: until then old servers are better than none.
		f.unconfirmedServers = map[string]bool{}
		for key, it := range f.table.All() {
			if softstate.BelongsToList(key) && into.Put(it.Entry, it.MadeBetween) {
				f.unconfirmedServers[key] = true
			}
		}
	}
	f.table = into
	return true
}

// trackSkippedList remembers that a list is skipped, as it is old: the keeper counts it as told. It tells whether the whole table is to be
// asked for again, as a list has come since that is not old. The caller holds mu.
func (f *Subscriber) trackSkippedList(old bool, reply *distributionpb.FollowReply) (again bool) {
	switch {
	case old:
		f.skippedOldList = true
	case reply.GetFull() && reply.GetComplete():
		f.skippedOldList = false
	default:
		return f.skippedOldList && listEntry(reply) != nil
	}
	return false
}
