package balance

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gradeusher.example/gradeusher/balance/signals"
)

// reportExchange makes each sidecar send its report every 200 ms, as long as this or the previous report has verdicts. All other
// sidecars receive it 200 ms later.
type reportExchange struct {
	fleet      *simulatedFleet
	seq        uint64
	reports    []signals.Report
	deliveries []func()
}

func (g *reportExchange) exchange() {
	for _, deliver := range g.deliveries {
		deliver()
	}
	g.deliveries, g.seq = nil, g.seq+1
	for self, b := range g.fleet.sidecars {
		r := b.LocalReport(g.fleet.now)
		if len(r.Verdicts)+len(g.reports[self].Verdicts) == 0 {
			continue
		}
		g.reports[self] = r
		for other, to := range g.fleet.sidecars {
			if other != self {
				seq := g.seq
				g.deliveries = append(g.deliveries, func() {
					to.ReceiveReport(g.fleet.now, signals.Statement{Origin: fmt.Sprint(self), Start: 1, Seq: seq, Age: 200 * time.Millisecond, Report: r})
				})
			}
		}
	}
}

// simulateUnresponsive makes a server stop answering for 8 s. It returns after what time 95% of the sidecars that used the server sent
// their last request to it, how many attempts it got meanwhile, and after what time it gets at least half of its share again. If
// members is set, the sidecars know each other and exchange reports.
func simulateUnresponsive(t *testing.T, sidecars int, members bool) (avoided time.Duration, attempts int, back time.Duration) {
	const silence = 8 * time.Second
	servers := endpointList(20)
	simulated := newSimulatedFleet(t, sidecars, servers, 3*float64(sidecars))
	g := &reportExchange{fleet: simulated, reports: make([]signals.Report, sidecars)}
	run := func(until Time) {
		for simulated.now < until {
			if members {
				g.exchange()
			}
			simulated.run(simulated.now + 200*time.Millisecond)
		}
	}
	run(simulated.now + 26*time.Second)
	if members {
		simulated.setMembers()
	}
	run(simulated.now + 10*time.Second)
	from := simulated.now
	simulated.unresponsive = simulated.sidecars[0].inUse[0].ID
	used := map[int]bool{}
	for self, b := range simulated.sidecars {
		used[self] = b.byID[simulated.unresponsive].loadSum > 0.2
	}
	simulated.sends = nil
	run(from + silence)
	at := make([]time.Duration, 0, sidecars)
	last := map[int]Time{}
	for _, s := range simulated.sends {
		if s.to == simulated.unresponsive {
			attempts++
			last[s.self] = s.at - from
		}
	}
	for self, usesIt := range used {
		if usesIt {
			at = append(at, last[self])
		}
	}
	slices.Sort(at)
	id := simulated.unresponsive
	simulated.unresponsive = ""
	share := 3 * sidecars / len(servers)
	for back = time.Second; back < 20*time.Second; back += time.Second / 2 {
		run(from + silence + back)
		first, _ := slices.BinarySearch(simulated.sent[id], simulated.now-time.Second)
		if len(simulated.sent[id])-first >= share/2 {
			break
		}
	}
	return at[int(math.Ceil(0.95*float64(len(at))))-1], attempts, back
}

// TestFleetAvoidsUnresponsive checks that sidecars that exchange reports avoid an unresponsive server sooner and with fewer attempts
// than sidecars on their own, and that the server is used again soon after it recovers. One sidecar in 20 probes it within the 8 s,
// since otherwise none would notice the recovery.
func TestFleetAvoidsUnresponsive(t *testing.T) {
	for _, test := range []struct {
		sidecars int
		within   time.Duration
		part     float64 // maximum share of the attempts without exchange
	}{{20, 2500 * time.Millisecond, 0.3}, {100, 1500 * time.Millisecond, 0.3}, {300, 1500 * time.Millisecond, 0.2}} {
		n := test.sidecars
		alone, aloneAttempts, _ := simulateUnresponsive(t, n, false)
		avoided, attempts, back := simulateUnresponsive(t, n, true)
		t.Logf("%d sidecars: 95%% avoid it after %v and %d attempts, alone %v and %d; back after %v",
			n, avoided, attempts, alone, aloneAttempts, back)
		if avoided > test.within || float64(attempts) > test.part*float64(aloneAttempts) || back > 5*time.Second {
			t.Errorf("%d sidecars: want at most %v, %.0f attempts and 5 s", n, test.within, test.part*float64(aloneAttempts))
		}
	}
}
