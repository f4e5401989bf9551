package settings

import (
	"runtime"
	"runtime/debug"
)

// ApplyToRuntime fits Go's runtime to the limits. Memory is priced by its peak, so garbage is collected early: the heap may grow
// by a third over what lives, and is held under seven tenths of the limit.
func (l Limits) ApplyToRuntime() {
	const growth, share = 35, 0.7
	debug.SetGCPercent(growth)
	debug.SetMemoryLimit(int64(float64(l.MemoryMB<<20) * share))
	runtime.GOMAXPROCS(max(int(l.Cores), 1))
}
