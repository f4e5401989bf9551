package controlstate

import (
	"slices"
	"sort"
)

// MaxHistory is the number of applied configuration changes that a state remembers. Each takes 32 bytes of memory and at most 34
// bytes of an encoding (18 if revisions and sequence numbers increase in small steps).
const MaxHistory = 4096

// appliedChange is one applied configuration change in the history.
type appliedChange struct {
	Revision int64  // revision that resulted from the change
	Seq      uint64 // sequence number of its record
	Digest   digest
}

// changeHistory remembers the newest applied changes, so that a retry is recognised. At most one change builds on a revision, so
// the changes form a linear sequence: each builds on the revision of its predecessor.
type changeHistory struct {
	disabled     bool            // no changes are remembered, and baseRevision is the current revision
	baseRevision int64           // revision that the oldest remembered change builds on
	legacyCount  int             // how many of the oldest changes have digests of encoding 1
	changes      []appliedChange // oldest first
}

// builtOn returns the remembered change that was applied on the revision base, or nil if there is none.
func (h *changeHistory) builtOn(base int64) *appliedChange {
	if len(h.changes) == 0 {
		return nil
	}
	if base == h.baseRevision {
		return &h.changes[0]
	}
	i := sort.Search(len(h.changes), func(i int) bool { return h.changes[i].Revision >= base })
	if i+1 >= len(h.changes) || h.changes[i].Revision != base {
		return nil
	}
	return &h.changes[i+1]
}

// matches reports whether entry remembers change, whose digest is sum.
func (h *changeHistory) matches(entry *appliedChange, change Change, sum digest) bool {
	if entry.Seq <= h.lastLegacySeq() {
		return entry.Digest == change.legacyDigest()
	}
	return entry.Digest == sum
}

// lastLegacySeq returns the number of the newest record with a digest of encoding 1, or 0 if there is none.
func (h *changeHistory) lastLegacySeq() uint64 {
	if h.legacyCount == 0 {
		return 0
	}
	return h.changes[h.legacyCount-1].Seq
}

// withChange returns a history with one more change. The receiver is not changed.
func (h *changeHistory) withChange(change appliedChange) changeHistory {
	if h.disabled {
		return changeHistory{disabled: true, baseRevision: change.Revision}
	}
	next := changeHistory{baseRevision: h.baseRevision, legacyCount: h.legacyCount, changes: h.changes}
	if len(next.changes) >= MaxHistory {
		next.baseRevision, next.changes = next.changes[0].Revision, next.changes[1:]
		next.legacyCount = max(0, next.legacyCount-1)
	}
	next.changes = append(slices.Clip(next.changes), change) // Clip makes append copy
	return next
}

// lastSeq returns the record number of the newest remembered change, or fallback if there is none.
func (h *changeHistory) lastSeq(fallback uint64) uint64 {
	if len(h.changes) == 0 {
		return fallback
	}
	return h.changes[len(h.changes)-1].Seq
}
