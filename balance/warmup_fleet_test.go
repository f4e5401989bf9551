package balance

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// simulatedFleet simulates sidecars of uneven traffic that use the same servers, and records the requests that servers get.
type simulatedFleet struct {
	rng          *rand.Rand
	now          Time
	sidecars     []*Balancer
	hosts        []*host
	rate         []float64 // requests per second, by sidecar
	next         []Time    // time of the next request, by sidecar
	ids          RequestID
	answers      []pendingAnswer // sorted by time
	refusing     string          // server that refuses connections
	unresponsive string          // server that accepts requests but does not answer
	sent         map[string][]Time
	sends        []sentRequest
}

type sentRequest struct {
	self int
	to   string
	at   Time
}

type pendingAnswer struct {
	at   Time
	self int
	send sendCall
	hung bool
}

const simulationTick, hangTime = 20 * time.Millisecond, 1500 * time.Millisecond

func newSimulatedFleet(t *testing.T, sidecars int, servers []Endpoint, rate float64) *simulatedFleet {
	f := &simulatedFleet{rng: rand.New(rand.NewPCG(uint64(sidecars), uint64(len(servers)))), now: time.Minute, sent: map[string][]Time{}}
	var sum float64
	for self := range sidecars {
		b, recorder := startSidecar(t, self, sidecars, servers)
		f.sidecars, f.hosts = append(f.sidecars, b), append(f.hosts, recorder)
		f.rate = append(f.rate, f.rng.ExpFloat64())
		sum += f.rate[self]
	}
	for self := range f.rate {
		f.rate[self] *= rate / sum
		f.next = append(f.next, f.now+f.nextGap(self))
	}
	return f
}

func (f *simulatedFleet) nextGap(self int) Time {
	return time.Duration(f.rng.ExpFloat64() / f.rate[self] * float64(time.Second))
}

// setMembers passes the list of all members to each sidecar.
func (f *simulatedFleet) setMembers() {
	var peers []Peer
	for _, b := range f.sidecars {
		peers = append(peers, Peer{b.settings.Zone, b.TrafficLevel()})
	}
	for self, b := range f.sidecars {
		b.SetMembers(f.now, self, peers)
	}
}

// run simulates until the given time.
func (f *simulatedFleet) run(until Time) {
	for ; f.now < until; f.now += simulationTick {
		for len(f.answers) > 0 && f.answers[0].at <= f.now {
			due := f.answers[0]
			f.answers = f.answers[1:]
			f.answer(due)
		}
		for self, b := range f.sidecars {
			for ; f.next[self] <= f.now; f.next[self] += f.nextGap(self) {
				f.ids++
				b.Request(f.now, Request{ID: f.ids, Tenant: -1, TimeLeft: 3 * time.Second})
				f.collectSends(self)
			}
			if (f.now/simulationTick+Time(self))%(tickInterval/simulationTick) == 0 {
				b.Timer(f.now, tickToken)
			}
		}
	}
}

// answer ends an attempt.
func (f *simulatedFleet) answer(due pendingAnswer) {
	r := Result{ID: due.send.id, Endpoint: due.send.to, Latency: 100 * time.Millisecond, Finished: true}
	if due.send.to == f.refusing {
		r.Outcome, r.Finished = ConnectFailed, false
	}
	if due.hung {
		r.Outcome, r.Finished, r.Latency = TimedOut, false, hangTime
	}
	if q := f.sidecars[due.self].requests[r.ID]; q != nil { // only the last attempt is in flight
		r.Attempt = len(q.attempts) - 1
	}
	f.sidecars[due.self].Result(f.now, r)
	f.collectSends(due.self)
}

func (f *simulatedFleet) collectSends(self int) {
	for _, s := range f.hosts[self].sent {
		f.sent[s.to] = append(f.sent[s.to], f.now)
		f.sends = append(f.sends, sentRequest{self, s.to, f.now})
		at := f.now + 100*time.Millisecond
		if s.to == f.refusing {
			at = f.now + simulationTick
		}
		hung := s.to == f.unresponsive
		if hung {
			at = f.now + hangTime
		}
		i, _ := slices.BinarySearchFunc(f.answers, at, func(a pendingAnswer, t Time) int { return cmp.Compare(a.at, t+1) })
		f.answers = slices.Insert(f.answers, i, pendingAnswer{at, self, s, hung})
	}
	f.hosts[self].sent = nil
}

// worstExcess returns the maximum ratio of the requests that a server got within any OverloadTime after from, to the number that
// it may get: OverloadMultiple times what it could do at that time, plus a margin for chance.
func (f *simulatedFleet) worstExcess(id string, from Time, capacity float64) (worst float64) {
	set, sent := settings(), f.sent[id]
	for i, first := range sent {
		if first < from {
			continue
		}
		j := i
		for j < len(sent) && sent[j] < first+set.OverloadTime {
			j++
		}
		warm := set.StartCapacity + (1-set.StartCapacity)*min((first-from).Seconds()/set.WarmUpTime.Seconds(), 1)
		allowed := set.OverloadMultiple * warm * capacity * set.OverloadTime.Seconds()
		worst = max(worst, float64(j-i)/(allowed+3*math.Sqrt(allowed)+3))
	}
	return worst
}

// TestWarmUpBudgetAddsUp checks for various numbers of sidecars of uneven traffic that all of them together do not overload an
// endpoint that is warming up, and that it still gets enough requests to be useful. The endpoint returns alone, after it has
// refused connections for some seconds, or together with all other endpoints.
func TestWarmUpBudgetAddsUp(t *testing.T) {
	for _, size := range []struct{ sidecars, servers int }{{1, 20}, {100, 20}, {1000, 50}} {
		for _, known := range []bool{false, true} {
			for _, scenario := range []string{"alone", "refusing", "all"} {
				name := fmt.Sprintf("%d sidecars, %d servers, members known %v, %s", size.sidecars, size.servers, known, scenario)
				t.Run(name, func(t *testing.T) {
					checkWarmUpBudget(t, size.sidecars, size.servers, known, scenario)
				})
			}
		}
	}
}

// checkWarmUpBudget simulates the return of an endpoint in one of the ways of TestWarmUpBudgetAddsUp and checks its requests.
func checkWarmUpBudget(t *testing.T, sidecars, servers int, known bool, scenario string) {
	t.Helper()
	const capacity, load = 20, 0.8
	list := endpointList(servers)
	simulated := newSimulatedFleet(t, sidecars, list, load*capacity*float64(servers))
	simulated.run(simulated.now + 13*time.Second)
	if known {
		simulated.setMembers()
	}
	from := simulated.now
	for i := range list {
		if scenario == "all" || i == 0 {
			list[i].Started = simulated.now
		}
	}
	if scenario == "refusing" {
		simulated.refusing = list[0].ID
	}
	for _, b := range simulated.sidecars {
		b.Endpoints(simulated.now, ListFull, list)
	}
	simulated.run(simulated.now + 5*time.Second)
	simulated.refusing = ""
	simulated.run(simulated.now + 5*time.Second)
	var worst, got float64
	for _, e := range list {
		if e.Started != 0 {
			worst = max(worst, simulated.worstExcess(e.ID, from, capacity))
		}
	}
	for _, at := range simulated.sent[list[0].ID] {
		if at >= from {
			got++
		}
	}
	t.Logf("at most %.2f of the requests that an endpoint may get, %4.0f requests in 10 s", worst, got)
	if worst > 1 {
		t.Errorf("an endpoint that is warming up got %.2f times the requests that it may get", worst)
	}
	if even := capacity * 10 * (1 + settings().StartCapacity) / 2; scenario != "refusing" && got < even/2 {
		t.Errorf("an endpoint that is warming up got %.0f requests in 10 s, and could handle %.0f", got, even)
	}
}
