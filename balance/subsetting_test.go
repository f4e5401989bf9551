package balance

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// minSubset is the number of endpoints of a group that an idle sidecar uses.
const minSubset = 4

// endpointList returns a list of n identical endpoints of one group.
func endpointList(n int) (list []Endpoint) {
	for i := range n {
		list = append(list, Endpoint{ID: fmt.Sprintf("s%04d", i), Zone: "x", Kind: "big", Size: 1})
	}
	return list
}

// startSidecar starts the sidecar with index self among the given number of peers.
func startSidecar(t *testing.T, self, peers int, list []Endpoint) (*Balancer, *host) {
	t.Helper()
	set := settings()
	set.Index, set.PeerCount, set.Seed = self, peers, uint64(self)
	return start(t, set, list)
}

func ids(members []*endpoint) (out []string) {
	for _, e := range members {
		out = append(out, e.ID)
	}
	return out
}

func TestSubsetsSpreadEvenly(t *testing.T) {
	const peers, servers = 1000, 200
	list := endpointList(servers)
	users := map[string]int{}
	for self := range peers {
		b, _ := startSidecar(t, self, peers, list)
		if n := len(b.inUse); n != minSubset {
			t.Fatalf("an idle sidecar uses %d endpoints, want %d", n, minSubset)
		}
		for _, e := range b.inUse {
			users[e.ID]++
		}
	}
	mean := peers * minSubset / servers
	for _, e := range list {
		if n := users[e.ID]; n < mean-2 || n > mean+2 {
			t.Errorf("%s is used by %d sidecars, want about %d", e.ID, n, mean)
		}
	}
}

func TestSubsetFollowsTraffic(t *testing.T) {
	b, recorder := startSidecar(t, 3, 10, endpointList(200))
	first := ids(b.inUse)
	for range 300 { // 30 s with 10 requests per second
		recorder.now += tickInterval
		b.Timer(recorder.now, tickToken)
		serveRequests(b, recorder, 1, 10*time.Millisecond)
	}
	if n, want := len(b.inUse), 10*memoryTTL.Seconds(); float64(n) < want*0.8 || float64(n) > want*1.2 {
		t.Errorf("%d endpoints are used at 10 requests per second, want about %.0f", n, want)
	}
	if got := ids(b.inUse); !slices.Equal(got[:len(first)], first) {
		t.Errorf("the larger subset starts with %v, want the smaller one %v", got[:len(first)], first)
	}
}

func TestSubsetReplacesEjected(t *testing.T) {
	b, recorder := startSidecar(t, 3, 10, endpointList(200))
	first := ids(b.inUse)
	for range 2 {
		for i := range RequestID(minSubset) {
			id := RequestID(len(recorder.logs)*100) + i + RequestID(recorder.now)
			if to := sendRequest(b, recorder, id); to != "" {
				outcome := Served
				if to == first[0] {
					outcome = Errored
				}
				b.Result(recorder.now, Result{ID: id, Endpoint: to, Outcome: outcome, Latency: time.Millisecond, Finished: true})
			}
			recorder.now += time.Millisecond
		}
	}
	if len(recorder.logs) != 1 {
		t.Fatalf("%d ejections, want 1", len(recorder.logs))
	}
	if n, want := len(b.inUse), int(math.Ceil(b.arrivals))+1; n != want {
		t.Errorf("%d endpoints are used while one is ejected, want %d", n, want)
	}
}

func TestListChangeMovesFew(t *testing.T) {
	const servers = 200
	moved := 0
	for self := range 100 {
		b, recorder := startSidecar(t, self, 100, endpointList(servers))
		before := ids(b.inUse)
		b.Endpoints(recorder.now, ListChanges, []Endpoint{{ID: "s0100x", Zone: "x", Kind: "big", Size: 1}})
		for _, id := range ids(b.inUse) {
			if !slices.Contains(before, id) {
				moved++
			}
		}
	}
	if moved > 100 {
		t.Errorf("adding one endpoint to %d changed %d members of 100 subsets, want at most one per subset", servers, moved)
	}
}

// TestWarmingUpEndpointAmongManySidecars checks that all sidecars together do not overload an endpoint that is warming up, even if
// all other endpoints reject requests, whatever the number of sidecars and although they do not coordinate.
func TestWarmingUpEndpointAmongManySidecars(t *testing.T) {
	const seconds = 2
	for _, peers := range []int{5, 100, 1000} {
		t.Run(fmt.Sprint(peers, " sidecars"), func(t *testing.T) {
			var cold, all float64
			for self := range peers {
				share := 8000 / peers * (self % 2) // half of the sidecars carry all traffic
				fromCold, fromAll := sendsWithOthersSaturated(t, self, peers, share, seconds)
				cold, all = cold+fromCold, all+fromAll
			}
			// On average, an endpoint gets one of 20 requests, and each request may have three attempts.
			warm := settings().StartCapacity + (1-settings().StartCapacity)*seconds/settings().WarmUpTime.Seconds()
			if maxCold := all / 20 * 3 * warm; cold > maxCold {
				t.Errorf("%.0f of %.0f requests went to the endpoint that is warming up, want at most %.0f", cold, all, maxCold)
			}
		})
	}
}

// sendsWithOthersSaturated returns the number of requests that a sidecar sends to an endpoint that is warming up while all other
// endpoints reject requests, and the number of all requests.
func sendsWithOthersSaturated(t *testing.T, self, peers, share, seconds int) (cold, all float64) {
	t.Helper()
	list := endpointList(20)
	b, recorder := startSidecar(t, self, peers, list)
	fresh := list[0]
	fresh.Started = recorder.now
	b.Endpoints(recorder.now, ListChanges, []Endpoint{fresh})
	id := RequestID(0)
	for tick := range seconds * 10 {
		recorder.now += tickInterval
		b.Timer(recorder.now, tickToken)
		for int(id)*seconds*10 < share*(tick+1) {
			id++
			to := sendRequest(b, recorder, id)
			all++
			outcome := Saturated
			if to == fresh.ID {
				cold++
				outcome = Served
			}
			if to != "" {
				b.Result(recorder.now, Result{ID: id, Endpoint: to, Outcome: outcome, Latency: time.Millisecond})
			}
		}
	}
	return cold, all
}

// TestWarmingUpEndpointGetsItsShare guards against sidecars that all wait for a full round before they send to a cold endpoint. In
// a large fleet, a round takes longer than the warm-up.
func TestWarmingUpEndpointGetsItsShare(t *testing.T) {
	for _, test := range []struct{ peers, servers int }{{3, 9}, {80, 60}} {
		list := endpointList(test.servers)
		var cold, all float64
		for self := range test.peers {
			b, recorder := startSidecar(t, self, test.peers, list)
			for range 40 { // enough traffic to use every endpoint
				b.Timer(recorder.now, tickToken)
				serveRequests(b, recorder, 10, 20*time.Millisecond)
			}
			fresh := list[0]
			fresh.Started = recorder.now
			b.Endpoints(recorder.now, ListChanges, []Endpoint{fresh})
			for id := range RequestID(2 * test.servers) {
				recorder.now += 10 * time.Millisecond
				to := sendRequest(b, recorder, 1+id)
				if all++; to == fresh.ID {
					cold++
				}
				b.Result(recorder.now, Result{ID: 1 + id, Endpoint: to, Latency: 20 * time.Millisecond, Finished: true})
			}
		}
		// Half of what would overload it if all endpoints were fully loaded and it had the minimum capacity.
		share := settings().StartCapacity / (float64(test.servers-1) + settings().StartCapacity)
		if want := share * all * settings().OverloadMultiple / 2; cold < 0.75*want-1 || cold > 1.25*want+1 {
			t.Errorf("%d sidecars sent %.0f of %.0f requests to a cold endpoint of %d, want about %.1f", test.peers, cold, all,
				test.servers, want)
		}
	}
}

// discoveryTimerHost is a host that records when a Balancer is to call discovery.
type discoveryTimerHost struct {
	host
	after time.Duration
}

func (a *discoveryTimerHost) Timer(after time.Duration, token uint64) {
	if token == discoveryToken {
		a.after = after
	}
}

func TestFirstCallsAreSpread(t *testing.T) {
	set := settings()
	set.SubscribeToDiscovery, set.DiscoveryDeadline, set.PeerCount = true, 10*time.Second, 1000
	seconds := make([]int, set.DiscoveryDeadline/2/time.Second)
	for set.Index = range set.PeerCount {
		a := &discoveryTimerHost{}
		if _, err := New(set, a); err != nil {
			t.Fatal(err)
		}
		if a.after < 0 || a.after >= set.DiscoveryDeadline/2 {
			t.Fatalf("sidecar %d calls discovery after %v, want at most half of DiscoveryDeadline", set.Index, a.after)
		}
		seconds[a.after/time.Second]++
	}
	for i, n := range seconds {
		if n < 150 || n > 250 {
			t.Errorf("%d of 1000 sidecars call discovery in second %d, want about 200", n, i)
		}
	}
}
