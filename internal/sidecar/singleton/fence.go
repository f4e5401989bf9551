package singleton

import (
	"fmt"
	"sync"
)

// Fence stands before what is acted on: it refuses an effect under a lower epoch than one that it has let through. It is what
// holds when clocks do not. Any goroutine may use it; the zero value has let nothing through.
type Fence struct {
	mu      sync.Mutex
	highest int64
	refused int64
}

// Do does an effect under an epoch, or refuses it. While it is done no other goes through. Errors are do's, or say what the
// epoch is and which has been let through.
func (f *Fence) Do(epoch int64, do func() error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if epoch < f.highest {
		f.refused++
		return fmt.Errorf("epoch %d is over: %d has acted", epoch, f.highest)
	}
	f.highest = epoch
	return do()
}

// Counts are the highest epoch that was let through, and how many effects were refused.
func (f *Fence) Counts() (highest, refused int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.highest, f.refused
}
