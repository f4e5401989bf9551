package distribution

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/catchup"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// lateWorld is a fleet whose machines are cut off for 20 s, so that what they sent comes afterwards, with what must hold of
// it at every moment.
type lateWorld struct {
	*fleet
	t       *testing.T
	rng     *rand.Rand
	acked   []time.Time          // when each change was acknowledged, by number less one
	read    map[uint64]time.Time // when each version of the list was read
	version uint64               // of the list
	until   map[string]time.Time // ends of cuts, by machine
	faults  map[string]int       // what came about
	broken  map[string]int       // what did not hold
	shown   map[string]time.Time // when the newest list that a proxy held was read
}

// Bounds of what must hold: a word of a current keeper counts for FreshnessTTL; sources here are never current beyond that; and
// two clocks are read a moment apart.
const lateMargin = 50 * time.Millisecond

// lateSteps is how many steps a run has: at about 200 ms each, room for some cuts one after the other.
const lateSteps = 300

func newLateWorld(t *testing.T, rng *rand.Rand, hub TestingKnobs, proxies TestingKnobs) *lateWorld {
	t.Helper()
	w := &lateWorld{fleet: newFleetWithKnobs(hub, "k1:1", "k2:1", "k3:1"), t: t, rng: rng, read: map[uint64]time.Time{},
		until: map[string]time.Time{}, faults: map[string]int{}, broken: map[string]int{}, shown: map[string]time.Time{}}
	for i := range 6 {
		w.startFollower(fmt.Sprint("p", i), func(o *SubscriberOptions) { o.Knobs = proxies })
	}
	return w
}

// others gives all machines but one.
func (w *lateWorld) others(host string) []string {
	out := []string{}
	for _, k := range w.names {
		if k != host {
			out = append(out, k)
		}
	}
	for p := range w.followers {
		if p != host {
			out = append(out, p)
		}
	}
	return out
}

// cutFor holds back all that a machine sends and gets for 20 s, or only what comes from or goes to the keepers.
func (w *lateWorld) cutFor(host string, keepersOnly bool) {
	w.until[host] = time.Now().Add(20 * time.Second)
	for _, o := range w.others(host) {
		if _, proxy := w.followers[o]; proxy && keepersOnly {
			continue
		}
		w.mesh.hold(host, o, true)
		w.mesh.hold(o, host, true)
	}
	if s := w.sources[host]; s != nil {
		s.setStale(true)
	}
	w.faults["cut"]++
}

func (w *lateWorld) heal(host string) {
	delete(w.until, host)
	for _, o := range w.others(host) {
		if _, still := w.until[o]; !still {
			w.mesh.hold(host, o, false)
			w.mesh.hold(o, host, false)
		}
	}
	if s := w.sources[host]; s != nil {
		s.setStale(false)
	}
	w.faults["healed"]++
}

// step does what time and chance bring.
func (w *lateWorld) step() {
	for host, end := range w.until {
		if time.Now().After(end) {
			w.heal(host)
		}
	}
	switch w.rng.IntN(12) {
	case 0:
		if len(w.until) == 0 {
			w.cutFor(w.names[w.rng.IntN(3)], w.rng.IntN(2) == 0)
		}
	case 1:
		if p := fmt.Sprint("p", w.rng.IntN(6)); len(w.until) < 2 && w.until[p].IsZero() {
			w.cutFor(p, false)
		}
	case 2, 3, 4:
		w.chain.add(none())
		w.acked = append(w.acked, time.Now())
	case 5, 6:
		w.version++
		w.read[w.version] = time.Now()
		// A keeper that is cut off goes on to read the list.
		if w.hubs[w.names[w.rng.IntN(3)]].PutList(1, w.version, []pick.Server{{ID: fmt.Sprint("s", w.version)}}, madeAgo(softstate.Age{})) != nil {
			w.faults["refused list"]++
		}
	}
	time.Sleep(time.Duration(w.rng.IntN(400)) * time.Millisecond)
}

// check looks at what every proxy holds.
func (w *lateWorld) check() {
	now := time.Now()
	for n, p := range w.followers {
		u := p.f.Current()
		if u.Fresh && int(u.State.Seq) < len(w.acked) && now.Sub(w.acked[u.State.Seq]) > catchup.FreshnessTTL+lateMargin {
			w.broken["fresh though a change is older than that"]++
		}
		p.mu.Lock()
		if p.back {
			w.broken["went back"]++
		}
		p.mu.Unlock()
		p.f.mu.Lock()
		if held := p.f.soft.table.Get(softstate.ListKey); held != nil {
			if was := w.shown[n]; was.Sub(w.read[held.Version]) > maxListAgeSkew+lateMargin && !w.read[held.Version].IsZero() {
				w.broken["a list went back"]++
			} else if w.read[held.Version].After(was) {
				w.shown[n] = w.read[held.Version]
			}
			if age := now.Sub(w.read[held.Version]); held.AgeAt(now).Max < age-lateMargin && !w.read[held.Version].IsZero() {
				w.broken["a list is told to be younger than it is"]++
			}
		}
		p.f.mu.Unlock()
	}
}

// runLateWorld plays a seed and gives what came about and what did not hold.
func runLateWorld(t *testing.T, seed uint64, hub TestingKnobs, proxies TestingKnobs) (faults, broken map[string]int) {
	t.Helper()
	w := newLateWorld(t, rand.New(rand.NewPCG(seed, 11)), hub, proxies)
	defer w.stop()
	time.Sleep(4 * time.Second)
	for range lateSteps {
		w.step()
		w.check()
	}
	for host := range w.until {
		w.heal(host)
	}
	w.mesh.release()
	time.Sleep(6 * time.Second)
	w.check()
	for n, p := range w.followers {
		if u := p.f.Current(); !u.Fresh || int(u.State.Seq) != len(w.acked) || len(u.Members) != len(w.followers) {
			t.Errorf("%s, 6 s after the last fault: fresh %v, %d of %d, %d members", n, u.Fresh, u.State.Seq, len(w.acked), len(u.Members))
		}
	}
	return w.faults, w.broken
}

// TestSeededPartitionsWithLateDelivery: keepers and proxies are cut off for 20 s, wholly or from the keepers alone, and what was
// under way comes afterwards. At no moment does a proxy go back, count as fresh on a state that was overtaken over 1.6 s
// ago, go back to a list that was read over 2 s before, or take one for younger than it is; 6 s after the last fault all are level. DISTRIBUTION_SEEDS sets how many seeds
// run.
func TestSeededPartitionsWithLateDelivery(t *testing.T) {
	seeds, err := strconv.ParseUint(cmp.Or(os.Getenv("DISTRIBUTION_SEEDS"), "5"), 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	came := map[string]int{}
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			faults, broken := runLateWorld(t, seed, TestingKnobs{}, TestingKnobs{})
			for what, n := range faults {
				came[what] += n
			}
			if len(broken) > 0 {
				t.Errorf("seed %d: %v", seed, broken)
			}
		})
	}
	t.Logf("%d seeds brought about %v", seeds, came)
	if came["cut"] < int(seeds) || came["healed"] < int(seeds) {
		t.Errorf("the runs bring little about: %v", came)
	}
}
