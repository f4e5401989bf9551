package distribution

import (
	"math"
	"time"
)

// ListVersion tells the fence and version of the newest whole reading of the platform's list that has come here, and its
// age; zeros and the longest age before any has.
func (h *Hub) ListVersion() (fence, version uint64, age time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.table.items[listKey]
	if held == nil {
		return 0, 0, math.MaxInt64
	}
	return held.Fence, held.Version, held.age(time.Now()).Most
}
