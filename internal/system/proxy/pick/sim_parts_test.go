package pick

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// scenario is a simulated deployment and its traffic.
type scenario struct {
	name             string
	zones            []string          // of proxies and clients
	regions          map[string]string // of zones
	proxies, engines map[string]int    // by zone
	traffic          map[string]float64
	kinds            []kind
	spec             engineSpec
	slots, queue     int
	crossRegion      time.Duration
	shareInterval    time.Duration // how often the proxies share loads
	length           time.Duration
	evacuated        string
	evacuateAt       Time
	seed             uint64
	down             string // "reset" or "dark": what happens to a sixth of the model servers
	downAt, downTo   Time
	fixedPoolShare   float64 // fixed share of the prompt pools; 0: learned
	prices           prices
	idleTimeout      time.Duration // how long the servers keep idle connections
}

// prices are the costs that are subtracted from the value of the requests, as on the site pages.
type prices struct{ regionGB, zoneGB, readThousand, dial float64 }

// kind is one kind of request.
type kind struct {
	name                          string
	part                          float64 // share of the traffic
	latencyTarget, eventGapTarget time.Duration
	deadline                      time.Duration
	value, lateValue              float64
	priority                      int
	homeRegions                   []string
	chain                         []shareSpec
	own                           [3]float64 // mean, spread, limit
	out                           [3]float64 // events
	bytesEach, bytes              float64    // per prompt token, per output event
	resumable                     bool
	plain                         bool
	burstAt, burstTo              Time
	burst                         float64
}

type shareSpec struct {
	mean, spread, limit float64
	things              int
	skew                float64
}

// requestStats counts the outcomes of the requests of one kind.
type tally struct {
	asked, inTime, late, lost, refused int
	value, owed                        float64
	abroad, across                     int
	latencies                          []float64
}

// zipfSums returns the cumulative weights of n items, where item i has a weight proportional to (i+1)^-skew.
func zipf(n int, skew float64) []float64 {
	sums, total := make([]float64, n), 0.0
	for i := range sums {
		total += math.Pow(float64(i+1), -skew)
		sums[i] = total
	}
	return sums
}

// sampleIndex draws an index according to cumulative weights.
func oneOf(rng *rand.Rand, sums []float64) int {
	i, _ := slices.BinarySearch(sums, rng.Float64()*sums[len(sums)-1])
	return min(i, len(sums)-1)
}

// report returns a summary of the outcome, and the score: the value minus the prices, relative to the maximum value.
func (f *simulation) report() (text string, score float64) {
	var b strings.Builder
	worth, owed := 0.0, 0.0
	for i := range f.kinds {
		k := &f.kinds[i]
		t := f.tallies[k.name]
		worth, owed = worth+t.value, owed+t.owed
		fmt.Fprintf(&b, "%-16s requests %5d on time %.4f late %4d lost %3d rejected %3d other region %.3f other zone %.3f p50 %4.0f p99 %4.0f\n", k.name, t.asked,
			float64(t.inTime)/float64(t.asked), t.late, t.lost, t.refused, float64(t.abroad)/float64(t.asked), float64(t.across)/float64(t.asked),
			quantile(t.latencies, 0.5), quantile(t.latencies, 0.99))
	}
	prefilled, waited := int64(0), 0
	for _, e := range f.engines {
		prefilled += e.prefilled
		waited = max(waited, e.peakWaiting)
	}
	bytes := f.price
	f.price += f.prices.readThousand*float64(f.reread)/1000 + f.prices.dial*float64(f.dials)
	score = (worth - f.price) / owed
	asked, unserved, class := 0, 0, 1.0
	for _, t := range f.tallies {
		asked += t.asked
		unserved += t.lost + t.refused
		class = min(class, t.value/t.owed)
	}
	nines := min(1, -math.Log10(max(float64(unserved)/float64(asked), 1e-9))/3)
	worst := 1.0
	for _, w := range f.windows {
		if w.owed > 0 {
			worst = min(worst, w.worth/w.owed)
		}
	}
	score = 0.4*score + 0.35*nines + 0.15*worst + 0.1*class
	fmt.Fprintf(&b, "nines %.3f worst window %.3f worst kind %.3f unserved %d\n", nines, worst, class, unserved)
	fmt.Fprintf(&b, "%s: score %.4f value %.4f traffic cost %.4f reprefilled %d parts, %.2fM tokens, first prefills %.2fM, prefilled %.2fM, peak queue %d new connections %d (%.4f) prefill cost %.4f rate %.1f\n", f.name,
		score, worth/owed, bytes/owed, f.rereads, float64(f.reread)/1e6, float64(f.firstRead)/1e6, float64(prefilled)/1e6, waited, f.dials, f.prices.dial*float64(f.dials)/owed,
		f.prices.readThousand*float64(f.reread)/1000/owed, f.pickers[0].prefillRate.tokensPerMS)
	return b.String(), score
}

func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(v))
	return s[int(q*float64(len(s)-1))]
}
