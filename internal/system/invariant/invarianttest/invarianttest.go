// Package invarianttest fails tests during which an invariant of the system was violated.
package invarianttest

import (
	"fmt"
	"os"
	"sync"
	"testing"

	"gradeusher.example/gradeusher/internal/system/invariant"
)

var (
	mu      sync.Mutex
	allowed = map[string]uint64{} // violations that tests caused on purpose, by name
)

// Main is the TestMain of a package whose code checks invariants: it runs the tests and exits with status 1 if there was a violation
// that Expect has not allowed. If done is not nil, it is called after the tests have passed, and an error from it fails the run.
func Main(m *testing.M, done func() error) {
	code := m.Run()
	for name, count := range invariant.Violations() {
		mu.Lock()
		unexpected := count - min(count, allowed[name])
		mu.Unlock()
		if unexpected > 0 {
			fmt.Fprintf(os.Stderr, "FAIL: invariant %s was violated %d times\n", name, unexpected)
			code = max(code, 1)
		}
	}
	if done != nil && code == 0 {
		if err := done(); err != nil {
			fmt.Fprintln(os.Stderr, "FAIL:", err)
			code = 1
		}
	}
	os.Exit(code)
}

// Expect runs violate, which must violate the invariant, and allows the violations that occur meanwhile. Tests that use it must not
// run in parallel with others that check the same invariant.
func Expect(t testing.TB, i *invariant.Invariant, violate func()) {
	t.Helper()
	before := i.Violations()
	violate()
	seen := i.Violations() - before
	if seen == 0 {
		t.Errorf("the invariant %s was not violated, although the test expects a violation", i.Name())
	}
	mu.Lock()
	defer mu.Unlock()
	allowed[i.Name()] += seen
}
