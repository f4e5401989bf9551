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
	name              string
	zones             []string          // of proxies and clients
	regions           map[string]string // of zones
	proxies, engines  map[string]int    // by zone
	traffic           map[string]float64
	kinds             []requestKind
	spec              engineSpec
	slots, queue      int
	crossRegion       time.Duration
	shareInterval     time.Duration // how often the proxies share loads
	length            time.Duration
	evacuated         string
	evacuateAt        Time
	seed              uint64
	down              string // "reset" or "dark": what happens to a sixth of the model servers
	downAt, downUntil Time
	fixedPoolShare    float64 // fixed share of the prompt pools; 0: learned
	prices            prices
	idleTimeout       time.Duration // how long the servers keep idle connections
}

// prices are the costs that are subtracted from the value of the requests, as on the site pages.
type prices struct{ regionGB, zoneGB, prefillPerThousand, connect float64 }

// requestKind is one kind of request.
type requestKind struct {
	name                          string
	trafficShare                  float64
	latencyTarget, eventGapTarget time.Duration
	deadline                      time.Duration
	value, lateValue              float64
	priority                      int
	homeRegions                   []string
	sharedParts                   []shareSpec
	privateTokens                 [3]float64 // mean, spread, limit
	outputEvents                  [3]float64 // events
	bytesPerToken, bytesPerEvent  float64    // per prompt token, per output event
	resumable                     bool
	plain                         bool
	burstStart, burstEnd          Time
	burstFactor                   float64
}

type shareSpec struct {
	mean, spread, limit float64
	items               int
	skew                float64
}

// requestStats counts the outcomes of the requests of one kind.
type requestStats struct {
	requests, onTime, late, lost, rejected int
	value, maxValue                        float64
	otherRegion, otherZone                 int
	latencies                              []float64
}

// zipfSums returns the cumulative weights of n items, where item i has a weight proportional to (i+1)^-skew.
func zipfSums(n int, skew float64) []float64 {
	sums, total := make([]float64, n), 0.0
	for i := range sums {
		total += math.Pow(float64(i+1), -skew)
		sums[i] = total
	}
	return sums
}

// sampleIndex draws an index according to cumulative weights.
func sampleIndex(rng *rand.Rand, sums []float64) int {
	i, _ := slices.BinarySearch(sums, rng.Float64()*sums[len(sums)-1])
	return min(i, len(sums)-1)
}

// report returns a summary of the outcome, and the score: the value minus the prices, relative to the maximum value.
func (f *simulation) report() (text string, score float64) {
	var b strings.Builder
	value, maxValue := 0.0, 0.0
	for i := range f.kinds {
		k := &f.kinds[i]
		t := f.stats[k.name]
		value, maxValue = value+t.value, maxValue+t.maxValue
		fmt.Fprintf(&b, "%-16s requests %5d on time %.4f late %4d lost %3d rejected %3d other region %.3f other zone %.3f p50 %4.0f p99 %4.0f\n", k.name, t.requests,
			float64(t.onTime)/float64(t.requests), t.late, t.lost, t.rejected, float64(t.otherRegion)/float64(t.requests), float64(t.otherZone)/float64(t.requests),
			quantile(t.latencies, 0.5), quantile(t.latencies, 0.99))
	}
	prefilled, waited := int64(0), 0
	for _, e := range f.engines {
		prefilled += e.prefilledTokens
		waited = max(waited, e.peakWaiting)
	}
	bytes := f.price
	f.price += f.prices.prefillPerThousand*float64(f.reprefilledTokens)/1000 + f.prices.connect*float64(f.newConns)
	score = (value - f.price) / maxValue
	requests, unserved, worstKind := 0, 0, 1.0
	for _, t := range f.stats {
		requests += t.requests
		unserved += t.lost + t.rejected
		worstKind = min(worstKind, t.value/t.maxValue)
	}
	availability := min(1, -math.Log10(max(float64(unserved)/float64(requests), 1e-9))/3)
	worstWindow := 1.0
	for _, w := range f.windows {
		if w.maxValue > 0 {
			worstWindow = min(worstWindow, w.value/w.maxValue)
		}
	}
	score = 0.4*score + 0.35*availability + 0.15*worstWindow + 0.1*worstKind
	fmt.Fprintf(&b, "nines %.3f worst window %.3f worst kind %.3f unserved %d\n", availability, worstWindow, worstKind, unserved)
	fmt.Fprintf(&b, "%s: score %.4f value %.4f traffic cost %.4f reprefilled %d parts, %.2fM tokens, first prefills %.2fM, prefilled %.2fM, peak queue %d new connections %d (%.4f) prefill cost %.4f rate %.1f\n", f.name,
		score, value/maxValue, bytes/maxValue, f.reprefills, float64(f.reprefilledTokens)/1e6, float64(f.firstPrefilledTokens)/1e6, float64(prefilled)/1e6, waited, f.newConns, f.prices.connect*float64(f.newConns)/maxValue,
		f.prices.prefillPerThousand*float64(f.reprefilledTokens)/1000/maxValue, f.pickers[0].prefillRate.tokensPerMS)
	return b.String(), score
}

func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(v))
	return s[int(q*float64(len(s)-1))]
}
