package balance

import (
	"slices"
	"testing"
	"time"

	"gradeusher.example/gradeusher/balance/turns"
)

// TestMembersGiveSubsetsTheirPlaces: sidecars that know their places among those alike use each server equally often, and
// do what they did alone once they know them no more, or are told what cannot be.
func TestMembersGiveSubsetsTheirPlaces(t *testing.T) {
	const peers, servers = 30, 60
	users := map[string]int{}
	for self := range peers {
		b, h := sidecar(t, 0, 1, fleet(servers)) // all of one number: alone, all use the same
		if b.Level() != 0 {
			t.Fatalf("level %d before the traffic is known", b.Level())
		}
		for h.now = levelSettle; b.Level() == 0; h.now += levelSettle {
			b.arrived = 1
			b.Timer(h.now, tokenTick)
		}
		before := ids(b.active)
		b.Members(h.now, Place{self, peers}, Place{self, peers})
		if got, want := b.view(), (turns.View{Place: self, Count: peers}); got != want {
			t.Fatalf("turns go by %v, want %v", got, want)
		}
		for _, e := range b.active {
			users[e.ID]++
		}
		for _, p := range []Place{{}, {-1, 5}, {5, 5}, {0, -1}} {
			b.Members(h.now, Place{self, peers}, Place{self, peers})
			if b.Members(h.now, p, p); !slices.Equal(ids(b.active), before) {
				t.Errorf("told of place %v, %v are used; want %v as alone", p, ids(b.active), before)
			}
			if got, want := b.view(), (turns.View{Place: 0, Count: 1}); got != want {
				t.Fatalf("turns go by %v, want %v", got, want)
			}
		}
	}
	for _, e := range fleet(servers) {
		if n := users[e.ID]; n != peers*least/servers {
			t.Errorf("%s is used by %d sidecars, want %d", e.ID, n, peers*least/servers)
		}
	}
}

// TestMakingUpIsSpread: in the order of hashes, neighbours by name that are all ejected are made up for by many.
func TestMakingUpIsSpread(t *testing.T) {
	const peers, servers, gone = 60, 120, 12
	users := map[string]int{}
	for self := range peers {
		b, h := sidecar(t, self, peers, fleet(servers))
		for h.now = levelSettle; b.Level() == 0; h.now += levelSettle {
			b.arrived = 1
			b.Timer(h.now, tokenTick)
		}
		for _, e := range b.endpoints[:gone] {
			e.until = h.now + time.Minute
		}
		b.Members(h.now, Place{self, peers}, Place{self, peers})
		working := 0
		for _, e := range b.active {
			if h.now >= e.until {
				users[e.ID]++
				working++
			}
		}
		if working != least {
			t.Fatalf("sidecar %d has %d working endpoints, want %d", self, working, least)
		}
	}
	for id, n := range users {
		if most := 3 * peers * least / (servers - gone); n > most {
			t.Errorf("%s is used by %d sidecars, want %d at most", id, n, most)
		}
	}
}
