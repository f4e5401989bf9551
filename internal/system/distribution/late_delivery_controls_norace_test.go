//go:build !race

package distribution

import (
	"testing"
	"testing/synctest"
)

// Not with the race detector: go1.26.8's runtime crashed in this test (SIGSEGV in runtime.(*timer).maybeRunChan, in a bubble of
// testing/synctest), though the test looks for no races. .ci/run plays it without.

// TestSeededPartitionsControls: with a protection taken out some seed breaks what must hold.
func TestSeededPartitionsControls(t *testing.T) {
	for name, c := range map[string]struct {
		servers TestingKnobs
		proxies TestingKnobs
	}{
		"messages of peers are dated by their arrival": {servers: TestingKnobs{DateByArrival: true}},
	} {
		found := false
		for seed := uint64(0); seed < 20 && !found; seed++ {
			synctest.Test(t, func(t *testing.T) {
				_, violations := runLateFleet(t, seed, c.servers, c.proxies)
				found = len(violations) > 0
				if found {
					t.Logf("%s: seed %d: %v", name, seed, violations)
				}
			})
		}
		if !found {
			t.Errorf("%s: nothing was broken in 20 seeds", name)
		}
	}
}
