package turns

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const period = time.Second

// member is a simulated sidecar with its own clock.
type member struct {
	Position
	clockOffset time.Duration
	drift       float64 // relative clock drift
}

// randomMembers returns n random members.
func randomMembers(rng *rand.Rand, n int, clocksAgree bool) []member {
	list := make([]member, n)
	for i := range list {
		list[i].Index, list[i].Count = i, n
		if !clocksAgree {
			list[i].clockOffset = time.Duration(rng.Int64N(int64(24 * time.Hour)))
			list[i].drift = (rng.Float64() - 0.5) * 1e-3
		}
	}
	return list
}

func (m member) owns(subject uint64, at time.Duration) bool {
	return m.IsOwner(subject, at+m.clockOffset+time.Duration(float64(at)*m.drift), period)
}

// TestOneOwner checks the guarantees of the package: one owner per period if clocks agree, and otherwise one on average and never
// many at the same time.
func TestOneOwner(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, count := range []int{1, 2, 10, 100, 1000} {
		for _, clocksAgree := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d members, clocks agree %v", count, clocksAgree), func(t *testing.T) {
				sum, maxOwners, periods := countOwners(rng, count, clocksAgree)
				mean := float64(sum) / float64(periods)
				t.Logf("mean %.3f owners, at most %d", mean, maxOwners)
				if clocksAgree && (sum != periods || maxOwners != 1) {
					t.Errorf("%d owners in %d periods, want exactly one in each", sum, periods)
				}
				if math.Abs(mean-1) > 0.1 || maxOwners > min(count, 9) {
					t.Errorf("mean %.3f owners, want 1; at most %d, want %d", mean, maxOwners, min(count, 9))
				}
			})
		}
	}
}

// countOwners returns the total number of owners over some subjects and periods, the maximum in a period, and the number of
// periods.
func countOwners(rng *rand.Rand, count int, clocksAgree bool) (sum, maxOwners, periods int) {
	for subject := range uint64(20) {
		list := randomMembers(rng, count, clocksAgree)
		for k := range 100 {
			owners := 0
			for _, m := range list {
				if m.owns(subject, time.Duration(k)*period+period/2) {
					owners++
				}
			}
			sum += owners
			maxOwners = max(maxOwners, owners)
			periods++
		}
	}
	return sum, maxOwners, periods
}

// TestEveryMemberGetsTurns checks that each of n members has a turn within 3n periods, whatever its clock.
func TestEveryMemberGetsTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 1000).Draw(t, "members")
		position := Position{Index: rapid.IntRange(0, n-1).Draw(t, "place"), Count: n}
		subject, clock := rapid.Uint64().Draw(t, "what"), rapid.Int64Range(0, 1<<40).Draw(t, "clock")
		for k := range 3 * n {
			if position.IsOwner(subject, time.Duration(clock)*time.Microsecond+time.Duration(k)*period, period) {
				return
			}
		}
		t.Fatalf("no turn in %d periods", 3*n)
	})
}

// TestTurnsOfRemovedMember checks that only the periods of a removed member are lost while the others still count it, and none once
// they do not.
func TestTurnsOfRemovedMember(t *testing.T) {
	const members, periods = 10, 1000
	for _, known := range []bool{false, true} {
		served := 0
		for k := range periods {
			for place := range members - 1 { // the last member is gone
				position := Position{Index: place, Count: members}
				if known {
					position.Count = members - 1
				}
				if position.IsOwner(7, time.Duration(k)*period, period) {
					served++
				}
			}
		}
		if want := map[bool]int{false: periods - periods/members, true: periods}[known]; served < want-5 || served > want+5 {
			t.Errorf("known %v: %d of %d periods have an owner, want %d", known, served, periods, want)
		}
	}
}

// TestReturnInTurn checks that after an outage that ends for all members at the same time, they return at equal intervals.
func TestReturnInTurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, subject := rapid.IntRange(1, 1000).Draw(t, "members"), rapid.Uint64().Draw(t, "what")
		const span = 5 * time.Second
		seen := make([]bool, n)
		for place := range n {
			after := Position{Index: place, Count: n}.ReturnDelay(subject, span)
			if after < 0 || after >= span {
				t.Fatalf("member %d waits %v, want under %v", place, after, span)
			}
			slot := int(math.Round(float64(after) / float64(span) * float64(n)))
			if seen[slot] {
				t.Fatalf("two members return after %v", after)
			}
			seen[slot] = true
		}
	})
}
