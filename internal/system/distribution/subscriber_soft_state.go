package distribution

import (
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
)

// maxListAgeSkew is by how much a list may look older than the one that is stored and still be merged, where neither is certainly
// the older one.
const maxListAgeSkew = 2 * time.Second

// softReplica is a proxy's replica of the soft state. The subscriber's mu guards it.
type softReplica struct {
	table              *softstate.Table
	cursor             softstate.Cursor // in the table of the node that replied last
	unconfirmed        map[string]bool  // keys of the list that no node has sent since all lost their tables
	membershipComplete bool             // a table that lacks no live proxy has been merged
	skippedOldList     bool             // a list was not merged, as it looked older than the stored one: a complete table is to be sent again
	notifyListUpdates  bool             // see Subscriber.NotifyListUpdates
	replaceAlways      bool             // see TestingKnobs
}

func newSoftReplica(replaceAlways bool) softReplica {
	return softReplica{table: softstate.NewTable(), replaceAlways: replaceAlways}
}

// listEntry finds the entry that says when the list was read; nil where a reply brings none.
func listEntry(reply *distributionpb.FollowReply) *distributionpb.Entry {
	isList := func(entry *distributionpb.Entry) bool { return entry.GetKey() == softstate.ListKey }
	i := slices.IndexFunc(reply.GetEntries(), isList)
	if i < 0 {
		return nil
	}
	return reply.GetEntries()[i]
}

// withoutListEntry leaves out the entry that says when the platform's list was read: without the servers that the reading showed, and
// that the delta takes for known, it would make older ones look as if they came from that reading.
func withoutListEntry(entries []*distributionpb.Entry) []*distributionpb.Entry {
	return slices.DeleteFunc(entries, func(entry *distributionpb.Entry) bool { return entry.GetKey() == softstate.ListKey })
}

// isCompleteTable reports whether a reply brings all entries of a node that misses no live proxy.
func isCompleteTable(reply *distributionpb.FollowReply) bool {
	return reply.GetFull() && reply.GetComplete()
}

// merge takes in all of a reply but the control state and the loads, and reports whether anything changed that matters to the owner. The
// reply was made at some moment of the delay before now.
func (r *softReplica) merge(now time.Time, delay softstate.Age, req *distributionpb.FollowRequest, reply *distributionpb.FollowReply) (changed bool) {
	continues := r.continuesTable(req, reply)
	if !continues {
		reply.Entries = withoutListEntry(reply.GetEntries())
	}
	resync := r.trackSkippedList(r.bringsOlderList(now, delay, reply), reply)
	changed = r.applyEntries(now, delay, reply)
	switch {
	case resync:
		r.cursor = softstate.Cursor{}
	case continues:
		r.cursor = softstate.CursorFromProto(reply.GetSoft())
	}
	return changed
}

// continuesTable reports whether a reply is a complete table, or a delta that continues what is stored: another call may have brought the
// table of another node in the meantime.
func (r *softReplica) continuesTable(req *distributionpb.FollowRequest, reply *distributionpb.FollowReply) bool {
	if reply.GetFull() {
		return true
	}
	from, to := softstate.CursorFromProto(req.GetSoft()), softstate.CursorFromProto(reply.GetSoft())
	sameTable := to.BootID == r.cursor.BootID && from.BootID == to.BootID
	return sameTable && from.Number <= r.cursor.Number && to.Number >= r.cursor.Number
}

// bringsOlderList reports whether the list in a reply was read before the one that is stored. A node that was isolated or paused
// may be current again before its peers have sent it their list.
func (r *softReplica) bringsOlderList(now time.Time, delay softstate.Age, reply *distributionpb.FollowReply) bool {
	stored, sent := r.table.Get(softstate.ListKey), listEntry(reply)
	if stored == nil || sent == nil || r.replaceAlways {
		return false
	}
	if sent.GetFence() > stored.Fence {
		return false // servers merge it as well, whatever its age
	}
	_, age := softstate.DecodeEntry(sent)
	sentAge, storedAge := age.Plus(delay), stored.AgeAt(now)
	return sentAge.Min > storedAge.Max || sentAge.Max-storedAge.Max > maxListAgeSkew
}

// applyEntries merges the entries of a reply and reports whether anything that matters changed. A complete table of a node that misses
// nothing takes the place of what is stored, even of higher versions: nodes that all lost their tables count versions anew. But of a
// list that was read before the stored one nothing is merged. delay is how long ago the reply was made.
func (r *softReplica) applyEntries(now time.Time, delay softstate.Age, reply *distributionpb.FollowReply) (changed bool) {
	into := r.table
	isOld := r.bringsOlderList(now, delay, reply)
	if isCompleteTable(reply) && !r.membershipComplete {
		r.membershipComplete, changed = true, true
	}
	if isCompleteTable(reply) && !isOld {
		into = softstate.NewTable()
	}
	if listEntry(reply) != nil && !isOld && r.dropUnconfirmed(into) {
		changed = true
	}
	for _, message := range reply.GetEntries() {
		entry, age := softstate.DecodeEntry(message)
		if isOld && softstate.BelongsToList(entry.Key) {
			continue
		}
		if r.applyEntry(now, into, entry, age.Plus(delay)) {
			changed = true
		}
	}
	if into == r.table {
		return changed
	}
	r.carryList(into)
	r.table = into
	return true
}

// applyEntry merges one entry and reports whether that matters.
func (r *softReplica) applyEntry(now time.Time, into *softstate.Table, entry softstate.Entry, age softstate.Age) bool {
	if entry.Key == "" || len(entry.Key) > maxKeyBytes {
		return false
	}
	if r.unconfirmed[entry.Key] {
		delete(r.unconfirmed, entry.Key)
		into.Drop(entry.Key)
	}
	matters := !softstate.IsLazy(entry.Key) || r.notifyListUpdates
	return into.Merge(now, entry, age) && matters
}

// dropUnconfirmed drops the servers that no node has sent, now that the list has been read again. It reports whether there were any.
func (r *softReplica) dropUnconfirmed(into *softstate.Table) (dropped bool) {
	for key := range r.unconfirmed {
		into.Drop(key)
	}
	dropped = len(r.unconfirmed) > 0
	r.unconfirmed = nil
	return dropped
}

// carryList carries the list over into the table that is to take the place of the stored one, where the list has not been read since:
// until then old servers are better than none.
func (r *softReplica) carryList(into *softstate.Table) {
	if into.Get(softstate.ListKey) != nil {
		return
	}
	r.unconfirmed = map[string]bool{}
	for key, stored := range r.table.All() {
		if softstate.BelongsToList(key) && into.Put(stored.Entry, stored.MadeBetween) {
			r.unconfirmed[key] = true
		}
	}
}

// trackSkippedList remembers that a list is skipped, as it is old: the node counts it as sent. It reports whether the complete table is to be
// asked for again, as a list has come since that is not old.
func (r *softReplica) trackSkippedList(isOld bool, reply *distributionpb.FollowReply) (resync bool) {
	switch {
	case isOld:
		r.skippedOldList = true
	case isCompleteTable(reply):
		r.skippedOldList = false
	default:
		return r.skippedOldList && listEntry(reply) != nil
	}
	return false
}
