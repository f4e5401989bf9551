package rendezvous

import (
	"fmt"
	"testing"
)

// owner returns the member with the highest weight for a key.
func owner(key uint64, members []string) (best string) {
	var highest uint64
	for _, member := range members {
		if weight := Weight(key, Hash(member)); best == "" || weight > highest {
			best, highest = member, weight
		}
	}
	return best
}

// TestLeavingMemberMovesOnlyItsKeys removes a member: the other members keep their keys. It also checks that the keys are divided evenly.
func TestLeavingMemberMovesOnlyItsKeys(t *testing.T) {
	members := []string{"a", "b", "c", "d"}
	counts := map[string]int{}
	for i := range uint64(4000) {
		key := Mix(i)
		before := owner(key, members)
		counts[before]++
		if after := owner(key, members[:3]); before != "d" && after != before {
			t.Fatalf("key %d moved from %s to %s", key, before, after)
		}
	}
	for _, member := range members {
		if n := counts[member]; n < 850 || n > 1150 {
			t.Errorf("%s owns %d of 4000 keys, want about 1000", member, n)
		}
	}
}

func TestMixIsPinned(t *testing.T) {
	if got := fmt.Sprintf("%016x", Mix(1)); got != "5692161d100b05e5" {
		t.Errorf("Mix(1) = %s, want 5692161d100b05e5", got)
	}
}
