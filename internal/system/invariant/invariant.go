// Package invariant checks the invariants of the system at run time.
//
// A proof or a test covers only the cases that its author thought of. An Invariant is checked in production as well: a violation is
// counted in a metric, listed in the status of the process and reported to the receiver that Notify has set; it does not stop the
// process or the operation. A check that passes costs one branch. Tests fail on any violation: see package invarianttest.
package invariant

import (
	"fmt"
	"math/bits"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// Invariant is a condition that must be true whenever it is checked. Create it once with New, as a package variable.
type Invariant struct {
	name, statement string
	violations      *metrics.Counter
}

// Violation describes a violation to the receiver that Notify has set.
type Violation struct {
	Name      string
	Statement string
	Count     uint64 // since the start of the process, this one included
}

var (
	mu         sync.Mutex // guards registered
	registered []*Invariant
	receiver   atomic.Pointer[func(Violation)]
)

// New registers an invariant under a unique name of the form package_statement. The statement describes the condition, for the log.
func New(name, statement string) *Invariant {
	i := &Invariant{name: name, statement: statement,
		violations: metrics.GetOrCreateCounter(fmt.Sprintf("gradeusher_invariant_violations_total{invariant=%q}", name))}
	mu.Lock()
	defer mu.Unlock()
	registered = append(registered, i)
	return i
}

// Check records a violation unless holds is true, and returns holds. It is safe for concurrent use.
func (i *Invariant) Check(holds bool) bool {
	if !holds {
		i.recordViolation()
	}
	return holds
}

// recordViolation counts a violation. It notifies the receiver only at counts that are powers of two, which keeps the log short.
func (i *Invariant) recordViolation() {
	i.violations.Inc()
	count := i.violations.Get()
	if notify := receiver.Load(); notify != nil && bits.OnesCount64(count) == 1 {
		(*notify)(Violation{Name: i.name, Statement: i.statement, Count: count})
	}
}

// Name returns the invariant's name.
func (i *Invariant) Name() string { return i.name }

// Violations returns the number of violations since the start of the process.
func (i *Invariant) Violations() uint64 { return i.violations.Get() }

// Violations returns the number of violations of each invariant that was violated, by name, or nil if there was none.
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

// Notify sets the receiver of violations and replaces an earlier one. The goroutine that makes the check calls receive, possibly
// while it holds locks, so receive must return quickly and must not check invariants. It is called for the first violation of an
// invariant, the second, the fourth and so on.
func Notify(receive func(Violation)) { receiver.Store(&receive) }
