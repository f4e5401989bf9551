package balance

import (
	"slices"
	"testing"
	"time"

	"gradeusher.example/gradeusher/balance/turns"
)

// newSidecarWithKnownTraffic starts a sidecar whose traffic is low and known.
func newSidecarWithKnownTraffic(t *testing.T, self, peers, servers int) (*Balancer, *host) {
	t.Helper()
	b, recorder := startSidecar(t, self, peers, endpointList(servers))
	if b.TrafficLevel() != 0 {
		t.Fatalf("traffic level %d before the traffic is known, want 0", b.TrafficLevel())
	}
	for recorder.now = levelInterval; b.TrafficLevel() == 0; recorder.now += levelInterval {
		b.arrivals = 1
		b.Timer(recorder.now, tickToken)
	}
	return b, recorder
}

// TestMembersGiveSubsetPositions checks that sidecars that know their positions among similar members use each server equally
// often, and that they use the same subset as before once they no longer have a valid position.
func TestMembersGiveSubsetPositions(t *testing.T) {
	const peers, servers = 30, 60
	for _, test := range []struct {
		name      string
		level     int  // traffic level of the peers; 0: unknown
		mixed     bool // every second peer is in another zone or has another traffic level
		exactUses bool
	}{{"levels known", 1, false, true}, {"levels unknown", 0, false, true}, {"every second different", 1, true, false}} {
		t.Run(test.name, func(t *testing.T) {
			users := map[string]int{}
			for self := range peers {
				if test.mixed && self%2 == 1 {
					continue
				}
				for _, id := range endpointsAsMember(t, self, peers, servers, test.level, test.mixed) {
					users[id]++
				}
			}
			checkUsers(t, users, endpointList(servers), peers*minSubset/servers, test.exactUses)
		})
	}
}

// checkUsers checks the number of sidecars that use each server against the exact or maximum number.
func checkUsers(t *testing.T, users map[string]int, list []Endpoint, want int, exact bool) {
	t.Helper()
	for _, e := range list {
		if count := users[e.ID]; count > want || exact && count != want {
			t.Errorf("%s is used by %d sidecars, want %d", e.ID, count, want)
		}
	}
}

// endpointsAsMember returns the servers that a sidecar uses as a member. It checks that the sidecar uses the same servers as alone
// when it is given an invalid index.
func endpointsAsMember(t *testing.T, self, peers, servers, level int, mixed bool) []string {
	t.Helper()
	b, recorder := newSidecarWithKnownTraffic(t, 0, 1, servers) // all have index 0, so alone they all use the same servers
	all := make([]Peer, peers)
	for i := range all {
		all[i] = Peer{b.settings.Zone, level * b.TrafficLevel()}
		if mixed && i%2 == 1 {
			all[i] = []Peer{{b.settings.Zone, b.TrafficLevel() + 1}, {"elsewhere", b.TrafficLevel()}}[i/2%2]
		}
	}
	alone := ids(b.inUse)
	b.SetMembers(recorder.now, self, all)
	if got, want := b.turnPosition(), (turns.Position{Index: self, Count: peers}); got != want {
		t.Fatalf("position for turns %v, want %v", got, want)
	}
	used := ids(b.inUse)
	for _, wrong := range []int{-1, peers} {
		b.SetMembers(recorder.now, self, all)
		if b.SetMembers(recorder.now, wrong, all); !slices.Equal(ids(b.inUse), alone) {
			t.Errorf("with the invalid index %d of %d it uses %v, want %v as alone", wrong, peers, ids(b.inUse), alone)
		}
	}
	if got, want := b.turnPosition(), (turns.Position{Index: 0, Count: 1}); got != want {
		t.Errorf("position for turns %v, want %v", got, want)
	}
	return used
}

// TestReplacementsAreSpread checks that ejected servers with neighbouring names are replaced by many different servers, because
// subsets follow the order of hashes.
func TestReplacementsAreSpread(t *testing.T) {
	const peers, servers, ejected = 60, 120, 12
	users := map[string]int{}
	for self := range peers {
		b, recorder := newSidecarWithKnownTraffic(t, self, peers, servers)
		for _, e := range b.endpoints[:ejected] {
			e.ejectedUntil = recorder.now + time.Minute
		}
		b.SetMembers(recorder.now, self, make([]Peer, peers))
		working := 0
		for _, e := range b.inUse {
			if recorder.now >= e.ejectedUntil {
				users[e.ID]++
				working++
			}
		}
		if working != minSubset {
			t.Fatalf("sidecar %d has %d working endpoints, want %d", self, working, minSubset)
		}
	}
	for id, n := range users {
		if maxUsers := 3 * peers * minSubset / (servers - ejected); n > maxUsers {
			t.Errorf("%s is used by %d sidecars, want at most %d", id, n, maxUsers)
		}
	}
}

// TestLoadSpreadsAmongMembers measures how evenly servers are loaded by sidecars of uneven traffic, and how stable the subsets
// are, with and without known members.
func TestLoadSpreadsAmongMembers(t *testing.T) {
	mostAlone, churnAlone := measureSpread(t, false)
	mostMembers, churnMembers := measureSpread(t, true)
	if churnMembers > churnAlone/4 {
		t.Errorf("%.1f servers join a subset per minute with known members, %.1f without", churnMembers, churnAlone)
	}
	if mostMembers > 1+(mostAlone-1)*0.8 {
		t.Errorf("the busiest server gets %.2f of the mean with known members, %.2f without", mostMembers, mostAlone)
	}
}

// measureSpread returns the load of the busiest server relative to the mean, and how many servers join a subset per minute.
func measureSpread(t *testing.T, members bool) (busiest, churn float64) {
	t.Helper()
	const sidecars, servers, rate, seconds = 100, 100, 170, 300
	simulated := newSimulatedFleet(t, sidecars, endpointList(servers), rate)
	simulated.run(simulated.now + 26*time.Second)
	used := make([]map[string]bool, sidecars)
	for second := range seconds {
		if members {
			simulated.setMembers()
		}
		simulated.run(simulated.now + time.Second)
		joined := simulated.updateUsed(used)
		if second > 0 {
			churn += joined
		}
	}
	var got []int
	for _, sent := range simulated.sent {
		first, _ := slices.BinarySearch(sent, simulated.now-(seconds-5)*time.Second)
		got = append(got, len(sent)-first)
	}
	busiest = float64(slices.Max(got)) / (rate * (seconds - 5) / servers)
	churn *= 60.0 / (seconds - 1) / sidecars
	t.Logf("members %v: busiest server got %.2f of the mean in %d s, %.1f servers joined a subset per minute",
		members, busiest, seconds-5, churn)
	return busiest, churn
}

// updateUsed records the servers that each sidecar uses, and returns how many of them it did not use before.
func (f *simulatedFleet) updateUsed(used []map[string]bool) (joined float64) {
	for self, b := range f.sidecars {
		now := map[string]bool{}
		for _, id := range ids(b.inUse) {
			now[id] = true
			if !used[self][id] {
				joined++
			}
		}
		used[self] = now
	}
	return joined
}
