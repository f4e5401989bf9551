package distribution

import (
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
)

// maxListAgeSkew is by how much the maximum age of a list may exceed that of the stored one for the list still to be merged, if neither
// is certainly older.
const maxListAgeSkew = 2 * time.Second

// softReplica is a proxy's replica of the soft state. The subscriber's mu guards it.
type softReplica struct {
	table              *softstate.Table
	cursor             softstate.Cursor // position in the table of the node that replied last
	unconfirmed        map[string]bool  // keys of list entries that no node has sent since all nodes lost their tables
	membershipComplete bool             // a table that lacks no live proxy has been merged
	skippedOldList     bool             // a list was not merged because it looked older than the stored one: request a complete table
	notifyListUpdates  bool             // see Subscriber.NotifyListUpdates
	alwaysReplaceTable bool             // see TestingKnobs
}

func newSoftReplica(alwaysReplaceTable bool) softReplica {
	return softReplica{table: softstate.NewTable(), alwaysReplaceTable: alwaysReplaceTable}
}

// listEntry returns the entry that states when the list was read, or nil if the reply has none.
func listEntry(reply *distributionpb.FollowReply) *distributionpb.Entry {
	isList := func(entry *distributionpb.Entry) bool { return entry.GetKey() == softstate.ListKey }
	i := slices.IndexFunc(reply.GetEntries(), isList)
	if i < 0 {
		return nil
	}
	return reply.GetEntries()[i]
}

// withoutListEntry removes the entry that states when the platform's list was read. The delta leaves out servers of that reading that it
// assumes to be known; with the entry but without them, older servers would seem to come from that reading.
func withoutListEntry(entries []*distributionpb.Entry) []*distributionpb.Entry {
	return slices.DeleteFunc(entries, func(entry *distributionpb.Entry) bool { return entry.GetKey() == softstate.ListKey })
}

// isCompleteTable reports whether a reply contains all entries of a node whose table lacks no live proxy.
func isCompleteTable(reply *distributionpb.FollowReply) bool {
	return reply.GetFull() && reply.GetComplete()
}

// merge applies everything in a reply but the control state and the loads, and reports whether anything relevant to the owner changed.
// The reply was made at most delay before now.
func (r *softReplica) merge(now time.Time, delay softstate.Age, req *distributionpb.FollowRequest, reply *distributionpb.FollowReply) (changed bool) {
	continues := r.continuesTable(req, reply)
	if !continues {
		reply.Entries = withoutListEntry(reply.GetEntries())
	}
	resync := r.trackSkippedList(r.hasOlderList(now, delay, reply), reply)
	changed = r.applyEntries(now, delay, reply)
	switch {
	case resync:
		r.cursor = softstate.Cursor{}
	case continues:
		r.cursor = softstate.CursorFromProto(reply.GetSoft())
	}
	return changed
}

// continuesTable reports whether a reply is a complete table, or a delta that continues the stored table: a concurrent call may have
// brought another node's table in the meantime.
func (r *softReplica) continuesTable(req *distributionpb.FollowRequest, reply *distributionpb.FollowReply) bool {
	if reply.GetFull() {
		return true
	}
	from, to := softstate.CursorFromProto(req.GetSoft()), softstate.CursorFromProto(reply.GetSoft())
	sameTable := to.BootID == r.cursor.BootID && from.BootID == to.BootID
	return sameTable && from.Number <= r.cursor.Number && to.Number >= r.cursor.Number
}

// hasOlderList reports whether the list in a reply was read before the stored one. A node that was isolated or paused may be current
// again before its peers have sent it their list.
func (r *softReplica) hasOlderList(now time.Time, delay softstate.Age, reply *distributionpb.FollowReply) bool {
	stored, sent := r.table.Get(softstate.ListKey), listEntry(reply)
	if stored == nil || sent == nil || r.alwaysReplaceTable {
		return false
	}
	if sent.GetFence() > stored.Fence {
		return false // servers merge it too, whatever its age
	}
	_, age := softstate.DecodeEntry(sent)
	sentAge, storedAge := age.Plus(delay), stored.AgeAt(now)
	return sentAge.Min > storedAge.Max || sentAge.Max-storedAge.Max > maxListAgeSkew
}

// applyEntries merges the entries of a reply and reports whether anything relevant changed. A complete table of a node whose table lacks
// no live proxy replaces the stored table, even entries with higher versions: nodes that have all lost their tables restart their version
// numbers. If the list was read before the stored one, its entries are not merged. delay bounds how long ago the reply was made.
func (r *softReplica) applyEntries(now time.Time, delay softstate.Age, reply *distributionpb.FollowReply) (changed bool) {
	target := r.table
	isOld := r.hasOlderList(now, delay, reply)
	if isCompleteTable(reply) && !r.membershipComplete {
		r.membershipComplete, changed = true, true
	}
	if isCompleteTable(reply) && !isOld {
		target = softstate.NewTable()
	}
	if listEntry(reply) != nil && !isOld && r.dropUnconfirmed(target) {
		changed = true
	}
	for _, message := range reply.GetEntries() {
		entry, age := softstate.DecodeEntry(message)
		if isOld && softstate.BelongsToList(entry.Key) {
			continue
		}
		if r.applyEntry(now, target, entry, age.Plus(delay)) {
			changed = true
		}
	}
	if target == r.table {
		return changed
	}
	r.copyList(target)
	r.table = target
	return true
}

// applyEntry merges one entry and reports whether the change is relevant to the owner.
func (r *softReplica) applyEntry(now time.Time, target *softstate.Table, entry softstate.Entry, age softstate.Age) bool {
	if entry.Key == "" || len(entry.Key) > maxKeyBytes {
		return false
	}
	if r.unconfirmed[entry.Key] {
		delete(r.unconfirmed, entry.Key)
		target.Drop(entry.Key)
	}
	relevant := !softstate.IsLazy(entry.Key) || r.notifyListUpdates
	return target.Merge(now, entry, age) && relevant
}

// dropUnconfirmed drops the unconfirmed entries, now that the list has been read again. It reports whether there were any.
func (r *softReplica) dropUnconfirmed(target *softstate.Table) (dropped bool) {
	for key := range r.unconfirmed {
		target.Drop(key)
	}
	dropped = len(r.unconfirmed) > 0
	r.unconfirmed = nil
	return dropped
}

// copyList copies the list's entries into the table that replaces the stored one, if the list has not been read since: until then old
// servers are better than none.
func (r *softReplica) copyList(target *softstate.Table) {
	if target.Get(softstate.ListKey) != nil {
		return
	}
	r.unconfirmed = map[string]bool{}
	for key, stored := range r.table.All() {
		if softstate.BelongsToList(key) && target.Put(stored.Entry, stored.MadeBetween) {
			r.unconfirmed[key] = true
		}
	}
}

// trackSkippedList remembers that a list is skipped because it is old, since the node considers it delivered. It reports whether the
// complete table has to be requested again because a list that is not old has arrived since.
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
