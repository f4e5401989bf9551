// Package invariant counts, in the running system, how often something did not hold that must always hold. A check costs a
// branch while it holds. Violations are counted as metrics, listed in the status of a process and logged by whoever asked to be
// notified; nothing is stopped by one. Tests fail on any violation: see package invarianttest.
package invariant

import (
	"fmt"
	"math/bits"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// Invariant is one statement that must hold whenever it is checked. Make it once, as a package variable, by New.
type Invariant struct {
	name, statement string
	violations      *metrics.Counter
}

// Violation is what Notify's receiver is told.
type Violation struct {
	Name      string
	Statement string
	Count     uint64 // in the life of the process, this one included
}

var (
	mu         sync.Mutex
	registered []*Invariant
	receiver   atomic.Pointer[func(Violation)]
)

// New registers an invariant under a name of the form package_statement, which is to be unique. The statement says what must
// hold, for the log.
func New(name, statement string) *Invariant {
	i := &Invariant{name: name, statement: statement,
		violations: metrics.GetOrCreateCounter(fmt.Sprintf("gradeusher_invariant_violations_total{invariant=%q}", name))}
	mu.Lock()
	defer mu.Unlock()
	registered = append(registered, i)
	return i
}

// Check counts a violation unless holds, and returns holds. It may be called from any goroutine.
func (i *Invariant) Check(holds bool) bool {
	if !holds {
		i.recordViolation()
	}
	return holds
}

// recordViolation counts a violation. The receiver is told of the first, the second, the fourth and so on, so that a log stays short.
func (i *Invariant) recordViolation() {
	i.violations.Inc()
	count := i.violations.Get()
	if notify := receiver.Load(); notify != nil && bits.OnesCount64(count) == 1 {
		(*notify)(Violation{Name: i.name, Statement: i.statement, Count: count})
	}
}

// Name is the invariant's.
func (i *Invariant) Name() string { return i.name }

// Violations is how often the invariant was violated in the life of the process.
func (i *Invariant) Violations() uint64 { return i.violations.Get() }

// Violations gives the count of each invariant that was violated, by name; nil where all hold.
func Violations() map[string]uint64 {
	mu.Lock()
	defer mu.Unlock()
	var counts map[string]uint64
	for _, i := range registered {
		if n := i.violations.Get(); n > 0 {
			if counts == nil {
				counts = map[string]uint64{}
			}
			counts[i.name] = n
		}
	}
	return counts
}

// Notify has f told of violations from now on, in place of an earlier receiver. It is called where the check is made, possibly
// under locks, so it must return soon and must not check invariants.
func Notify(f func(Violation)) { receiver.Store(&f) }
