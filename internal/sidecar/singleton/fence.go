package singleton

import (
	"fmt"
	"sync"
)

// Fence stands before a resource: it refuses an effect under a lower epoch than one that it has let through. It holds where clocks do not, as
// for a process that was stopped between its look at the clock and the effect (Kleppmann, "How to do distributed locking", 2016). It is
// safe for concurrent use; the zero value has let nothing through.
type Fence struct {
	mu      sync.Mutex
	highest int64
	refused int64
}

// StaleEpochError is the refusal of an effect. The process that has it should stop acting in the role.
type StaleEpochError struct {
	Epoch   int64 // of the effect
	Highest int64 // that was let through
}

func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("epoch %d is over: %d has acted", e.Epoch, e.Highest)
}

// Do calls effect under an epoch, or refuses it. One effect goes through at a time. Errors are those of effect, or a *StaleEpochError.
func (f *Fence) Do(epoch int64, effect func() error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if epoch < f.highest {
		f.refused++
		return &StaleEpochError{Epoch: epoch, Highest: f.highest}
	}
	f.highest = epoch
	return effect()
}

// Counts returns the highest epoch that was let through, and how many effects were refused.
func (f *Fence) Counts() (highest, refused int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.highest, f.refused
}
