package distribution

import (
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"math"
	"slices"
	"time"
)

// listFence is the fence of the newest whole reading of the platform's list; 0: none has come. The caller holds mu.
func (h *Server) listFence() uint64 {
	if held := h.table.Get(softstate.ListKey); held != nil {
		return held.Fence
	}
	return 0
}

// deleteServersOfOldFences deletes the servers that were told under fences below that of the list, which has just come with all of its
// servers: whoever read it may not know of all that the former reader told. The caller holds mu.
func (h *Server) deleteServersOfOldFences(now time.Time, fence uint64) {
	version := h.table.Get(softstate.ListKey).Version
	for _, it := range slices.Clone(h.table.Live(softstate.ServerPrefix)) {
		if it.Fence < fence {
			h.mergeEntry(now, softstate.Entry{Key: it.Key, Fence: fence, Version: version, Deleted: true}, softstate.Age{})
		}
	}
}

// ListVersion tells the fence and version of the newest whole reading of the platform's list that has come here, and its
// age; zeros and the longest age before any has.
func (h *Server) ListVersion() (fence, version uint64, age time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.table.Get(softstate.ListKey)
	if held == nil {
		return 0, 0, math.MaxInt64
	}
	return held.Fence, held.Version, held.AgeAt(time.Now()).Max
}
