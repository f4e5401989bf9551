package distribution

import (
	"slices"
	"strings"
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
)

// listTolerance is by how much a list may look older than the one that is held and still be taken, where neither is certainly
// the older one.
const listTolerance = 2 * time.Second

// ofList tells whether an entry comes with the platform's list.
func ofList(key string) bool { return key == listKey || strings.HasPrefix(key, serverPrefix) }

// listEntry finds the entry that tells when the list was read; nil where a reply brings none.
func listEntry(reply *distributionpb.FollowReply) *distributionpb.Entry {
	i := slices.IndexFunc(reply.GetEntries(), func(w *distributionpb.Entry) bool { return w.GetKey() == listKey })
	if i < 0 {
		return nil
	}
	return reply.GetEntries()[i]
}

// tellsOldList tells whether the list in a reply was read before the one that is held. A keeper that was cut off or stood
// still may be current again before the others have told it of their list. The caller holds mu.
func (f *Subscriber) tellsOldList(now time.Time, delay Age, reply *distributionpb.FollowReply) bool {
	held, told := f.table.items[listKey], listEntry(reply)
	if held == nil || told == nil || f.opt.hooks.replaceAlways {
		return false
	}
	if told.GetFence() > held.Fence {
		return false // keepers take it as well, whatever its age
	}
	_, age := fromWire(told)
	toldAge, heldAge := age.plus(delay), held.age(now)
	return toldAge.Min > heldAge.Max || toldAge.Max-heldAge.Max > listTolerance
}

// takeEntries takes soft state in and tells whether anything that matters changed. A whole table of a keeper that misses
// nothing takes the place of what is held, even of higher versions: keepers that all lost their tables count anew. But of a
// list that was read before the one that is held nothing is taken. delay is how long ago the reply was made. The caller holds mu.
func (f *Subscriber) takeEntries(now time.Time, delay Age, reply *distributionpb.FollowReply) (changed bool) {
	into := f.table
	old := f.tellsOldList(now, delay, reply)
	if reply.GetFull() && reply.GetComplete() && !f.whole {
		f.whole, changed = true, true
	}
	if reply.GetFull() && reply.GetComplete() && !old {
		into = newTable()
	}
	if listEntry(reply) != nil && !old {
		for key := range f.unconfirmed {
			into.drop(key)
		}
		f.unconfirmed, changed = nil, changed || len(f.unconfirmed) > 0
	}
	for _, w := range reply.GetEntries() {
		e, age := fromWire(w)
		if e.Key == "" || len(e.Key) > 2*maxID || old && ofList(e.Key) {
			continue
		}
		if f.unconfirmed[e.Key] {
			delete(f.unconfirmed, e.Key)
			into.drop(e.Key)
		}
		if into.merge(now, e, age.plus(delay)) && (!lazy(e.Key) || f.awaitsList) {
			changed = true
		}
	}
	if into == f.table {
		return changed
	}
	if into.items[listKey] == nil {
		// The list has not been read since: until then old servers are better than none.
		f.unconfirmed = map[string]bool{}
		for key, it := range f.table.items {
			if ofList(key) && into.put(it.Entry, it.made) {
				f.unconfirmed[key] = true
			}
		}
	}
	f.table = into
	return true
}

// noteSkipped remembers that a list is skipped, as it is old: the keeper counts it as told. It tells whether the whole table is to be
// asked for again, as a list has come since that is not old. The caller holds mu.
func (f *Subscriber) noteSkipped(old bool, reply *distributionpb.FollowReply) (again bool) {
	switch {
	case old:
		f.skipped = true
	case reply.GetFull() && reply.GetComplete():
		f.skipped = false
	default:
		return f.skipped && listEntry(reply) != nil
	}
	return false
}
