package balance

import (
	"slices"
	"testing"
	"time"

	"gradeusher.example/gradeusher/balance/hitters"
)

// TestHeavyClientIsRejected has one client ask for most of the work of a small fleet. While servers are full, it alone is refused,
// and told when to come back; while they are not, nobody is.
func TestHeavyClientIsRejected(t *testing.T) {
	const heavy, light = 7, 8
	set := settings()
	h := hitters.Defaults()
	set.Hitters = &h
	b, host := start(t, set, pair())
	var id RequestID
	// play has the heavy client ask ten times as often as others do, and returns what was refused of each.
	play := func(long time.Duration, full bool) (asked, refused [2]int, all []RequestID) {
		for end := host.now + long; host.now < end; host.now += 10 * time.Millisecond {
			if b.sheddingUntil = 0; full {
				b.sheddingUntil = host.now + time.Second
			}
			for n := range 11 {
				client := heavy
				if n == 10 {
					client = light + int(id)%100
				}
				before := len(host.refused)
				id++
				b.Request(host.now, Request{ID: id, Tenant: -1, TimeLeft: time.Second, Client: uint64(client)})
				i := min(client-heavy, 1)
				asked[i]++
				if len(host.refused) > before {
					refused[i]++
					if host.advice < time.Second || host.advice >= 2*time.Second {
						t.Fatalf("told to come back after %v", host.advice)
					}
				}
				if full && n%2 == 0 && n < 10 { // a server turns half of the heavy one's away
					host.answer(b, host.now, Saturated)
					host.sent = nil
				} else {
					host.answer(b, host.now, Served)
				}
			}
			if host.now%h.Window < 10*time.Millisecond {
				b.HeavyHitters().EndWindow(host.now)
			}
		}
		return asked, refused, host.refused
	}
	if _, refused, _ := play(4*time.Second, false); refused != [2]int{} {
		t.Errorf("%v refused where there is room", refused)
	}
	if held := b.HeavyHitters().Clients(); len(held) != 1 || held[0].Key != heavy || held[0].State != hitters.Heavy {
		t.Fatalf("%+v held", held)
	}
	asked, refused, all := play(4*time.Second, true)
	if refused[0] < asked[0]/10 || refused[0] > asked[0]*9/10 || refused[1] != 0 {
		t.Errorf("%v refused of %v where servers are full", refused, asked)
	}
	slices.Sort(all)
	if once := slices.Compact(slices.Clone(all)); len(once) != len(all) {
		t.Errorf("%d refusals of %d requests", len(all), len(once))
	}
	// Room is seen by what is served once less gives way, not by servers that are full no more: within seconds, not at once.
	if asked, refused, _ := play(2*time.Second, false); refused[0] > asked[0]/10 || refused[1] != 0 {
		t.Errorf("%v refused of %v as there is room again", refused, asked)
	}
	if _, refused, _ := play(time.Second, false); refused != [2]int{} {
		t.Errorf("%v refused where there is room again", refused)
	}
}
