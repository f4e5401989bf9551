package settings

import (
	"runtime"
	"runtime/debug"
)

// ApplyToRuntime configures Go's runtime for the limits. The cost of memory depends on its peak, so garbage is collected early: the
// heap may grow by growthPercent over the live heap, and its soft limit is the fraction heapPart of the process's memory.
func (l Limits) ApplyToRuntime() {
	const (
		growthPercent = 35
		heapPart      = 0.7
	)
	debug.SetGCPercent(growthPercent)
	debug.SetMemoryLimit(int64(float64(l.MemoryMB<<20) * heapPart))
	runtime.GOMAXPROCS(max(int(l.Cores), 1))
}
