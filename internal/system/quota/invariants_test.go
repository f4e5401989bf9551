package quota

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/invariant/invarianttest"
)

func TestMain(m *testing.M) { invarianttest.Main(m, nil) }

func TestSharesInvariantDetectsExcessGrants(t *testing.T) {
	invarianttest.Expect(t, sharesWithinLimit, func() {
		s := newScript(t, TestingKnobs{IgnoreOthers: true})
		node := s.allocator(0)
		s.call(s.limiter("a"), node, 10*time.Second, 10*time.Second)
		s.call(s.limiter("b"), node, 11*time.Second, 11*time.Second)
	})
}

func TestTakesInvariantDetectsOverdrawnBuckets(t *testing.T) {
	invarianttest.Expect(t, takesWithinBucket, func() {
		overdrawn := bucket{level: -1}
		overdrawn.take(1)
	})
}
