package distribution

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/catchup"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// lateFleet is a fleet whose machines are isolated for 20 s, so that the messages that they sent arrive late, with a record of the
// conditions that must hold at every moment.
type lateFleet struct {
	*testFleet
	t             *testing.T
	rng           *rand.Rand
	ackedAt       []time.Time          // when each change was acknowledged, by number minus one
	readAt        map[uint64]time.Time // when each version of the list was read
	version       uint64               // of the list
	isolatedUntil map[string]time.Time // ends of partitions, by machine
	faults        map[string]int       // number of events, by kind
	violations    map[string]int       // number of violated conditions, by kind
	shownReadAt   map[string]time.Time // when the newest list that a proxy has stored was read
}

// freshnessMargin is the tolerance of the conditions: a contact to a current node is valid for FreshnessTTL; sources here are never
// current beyond that; and two clocks are read at slightly different times.
const freshnessMargin = 50 * time.Millisecond

// lateFleetSteps is the number of steps of a run: at about 200 ms each, this covers several consecutive partitions.
const lateFleetSteps = 300

func newLateFleet(t *testing.T, rng *rand.Rand, servers TestingKnobs, proxies TestingKnobs) *lateFleet {
	t.Helper()
	w := &lateFleet{testFleet: newFleetWithKnobs(servers, "k1:1", "k2:1", "k3:1"), t: t, rng: rng, readAt: map[uint64]time.Time{},
		isolatedUntil: map[string]time.Time{}, faults: map[string]int{}, violations: map[string]int{}, shownReadAt: map[string]time.Time{}}
	for i := range 6 {
		w.startProxy(fmt.Sprint("p", i), func(options *SubscriberOptions) { options.knobs = proxies })
	}
	return w
}

// others returns all machines except host.
func (w *lateFleet) others(host string) []string {
	out := []string{}
	for _, k := range w.names {
		if k != host {
			out = append(out, k)
		}
	}
	for p := range w.proxies {
		if p != host {
			out = append(out, p)
		}
	}
	return out
}

// isolateFor holds back everything that a machine sends and receives for 20 s, or only its messages to and from the nodes.
func (w *lateFleet) isolateFor(host string, nodesOnly bool) {
	w.isolatedUntil[host] = time.Now().Add(20 * time.Second)
	for _, o := range w.others(host) {
		if _, proxy := w.proxies[o]; proxy && nodesOnly {
			continue
		}
		w.mesh.holdBack(host, o, true)
		w.mesh.holdBack(o, host, true)
	}
	if s := w.sources[host]; s != nil {
		s.setStale(true)
	}
	w.faults["isolated"]++
}

func (w *lateFleet) heal(host string) {
	delete(w.isolatedUntil, host)
	for _, o := range w.others(host) {
		if _, still := w.isolatedUntil[o]; !still {
			w.mesh.holdBack(host, o, false)
			w.mesh.holdBack(o, host, false)
		}
	}
	if s := w.sources[host]; s != nil {
		s.setStale(false)
	}
	w.faults["healed"]++
}

// step lets time pass and triggers random events.
func (w *lateFleet) step() {
	for host, end := range w.isolatedUntil {
		if time.Now().After(end) {
			w.heal(host)
		}
	}
	switch w.rng.IntN(12) {
	case 0:
		if len(w.isolatedUntil) == 0 {
			w.isolateFor(w.names[w.rng.IntN(3)], w.rng.IntN(2) == 0)
		}
	case 1:
		if p := fmt.Sprint("p", w.rng.IntN(6)); len(w.isolatedUntil) < 2 && w.isolatedUntil[p].IsZero() {
			w.isolateFor(p, false)
		}
	case 2, 3, 4:
		w.chain.add(noOpRecord())
		w.ackedAt = append(w.ackedAt, time.Now())
	case 5, 6:
		w.version++
		w.readAt[w.version] = time.Now()
		// An isolated node continues to read the list.
		if w.servers[w.names[w.rng.IntN(3)]].PutList(1, w.version, []pick.Server{{ID: fmt.Sprint("s", w.version)}}, boundsOf(softstate.Age{})) != nil {
			w.faults["rejected list"]++
		}
	}
	time.Sleep(time.Duration(w.rng.IntN(400)) * time.Millisecond)
}

// check checks the conditions for every proxy.
func (w *lateFleet) check() {
	now := time.Now()
	for proxyNode, proxy := range w.proxies {
		update := proxy.subscriber.Current()
		if update.Fresh && int(update.State.Seq) < len(w.ackedAt) && now.Sub(w.ackedAt[update.State.Seq]) > catchup.FreshnessTTL+freshnessMargin {
			w.violations["fresh without a change that was acknowledged earlier"]++
		}
		proxy.mu.Lock()
		if proxy.regressed {
			w.violations["the state went back"]++
		}
		proxy.mu.Unlock()
		proxy.subscriber.mu.Lock()
		if held := proxy.subscriber.soft.table.Get(softstate.ListKey); held != nil {
			if was := w.shownReadAt[proxyNode]; was.Sub(w.readAt[held.Version]) > maxListAgeSkew+freshnessMargin && !w.readAt[held.Version].IsZero() {
				w.violations["the list went back"]++
			} else if w.readAt[held.Version].After(was) {
				w.shownReadAt[proxyNode] = w.readAt[held.Version]
			}
			if age := now.Sub(w.readAt[held.Version]); held.AgeAt(now).Max < age-freshnessMargin && !w.readAt[held.Version].IsZero() {
				w.violations["the list's age is understated"]++
			}
		}
		proxy.subscriber.mu.Unlock()
	}
}

// runLateFleet runs a seed and returns the events and the violated conditions.
func runLateFleet(t *testing.T, seed uint64, servers TestingKnobs, proxies TestingKnobs) (faults, broken map[string]int) {
	t.Helper()
	w := newLateFleet(t, rand.New(rand.NewPCG(seed, 11)), servers, proxies)
	defer w.stop()
	time.Sleep(4 * time.Second)
	for range lateFleetSteps {
		w.step()
		w.check()
	}
	for host := range w.isolatedUntil {
		w.heal(host)
	}
	w.mesh.release()
	time.Sleep(6 * time.Second)
	w.check()
	for n, proxy := range w.proxies {
		if update := proxy.subscriber.Current(); !update.Fresh || int(update.State.Seq) != len(w.ackedAt) || len(update.Members) != len(w.proxies) {
			t.Errorf("proxy %s, 6 s after the last fault: fresh %v, record %d of %d, %d members", n, update.Fresh, update.State.Seq, len(w.ackedAt), len(update.Members))
		}
	}
	return w.faults, w.violations
}

// TestSeededPartitionsWithLateDelivery: nodes and proxies are isolated for 20 s, completely or only from the nodes, and the messages in
// transit arrive afterwards. A proxy must never go back, be fresh with a state that was superseded more than 1.6 s ago, go back to a list
// that was read over 2 s earlier, or understate the age of a list. 6 s after the last fault all proxies are up to date.
// DISTRIBUTION_SEEDS sets the number of seeds.
func TestSeededPartitionsWithLateDelivery(t *testing.T) {
	seeds, err := strconv.ParseUint(cmp.Or(os.Getenv("DISTRIBUTION_SEEDS"), "5"), 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	events := map[string]int{}
	for seed := range seeds {
		bubble.Test(t, func(t *testing.T) {
			faults, violations := runLateFleet(t, seed, TestingKnobs{}, TestingKnobs{})
			for what, n := range faults {
				events[what] += n
			}
			if len(violations) > 0 {
				t.Errorf("seed %d: violations %v", seed, violations)
			}
		})
	}
	t.Logf("%d seeds, events: %v", seeds, events)
	if events["isolated"] < int(seeds) || events["healed"] < int(seeds) {
		t.Errorf("the runs trigger too few events: %v", events)
	}
}

// TestSeededPartitionsControls: with one protection disabled, some seed violates the conditions.
func TestSeededPartitionsControls(t *testing.T) {
	for name, c := range map[string]struct {
		servers TestingKnobs
		proxies TestingKnobs
	}{
		"messages of peers are dated by their arrival": {servers: TestingKnobs{DateByArrival: true}},
	} {
		found := false
		for seed := uint64(0); seed < 20 && !found; seed++ {
			bubble.Test(t, func(t *testing.T) {
				_, violations := runLateFleet(t, seed, c.servers, c.proxies)
				found = len(violations) > 0
				if found {
					t.Logf("%s: seed %d: %v", name, seed, violations)
				}
			})
		}
		if !found {
			t.Errorf("%s: no violation in 20 seeds", name)
		}
	}
}
