package pick

import (
	"fmt"
	"iter"
	"maps"
	"slices"
	"testing"
	"time"
)

// promptMix is a deployment unlike any customer's: long prompts cause a given share of the work, and engines and regions vary.
type promptMix struct {
	name      string
	longShare float64          // share of the work that long prompts cause
	spec      engineSpec       // of the servers
	regions   map[string][]int // number of engines by region and zone
	seed      uint64
}

var (
	fastPrefill = engineSpec{stepMS: 4.23, perSlotMS: 0.000767, tokensPerMS: 64.2, attentionMS: 0.647, firstEventMS: 1, memoryTokens: 319_818, tokensPerEvent: 6}
	slowPrefill = engineSpec{stepMS: 4.73, perSlotMS: 0.0138, tokensPerMS: 38.4, attentionMS: 1.18, firstEventMS: 40, memoryTokens: 193_656, tokensPerEvent: 6}
	smallCache  = engineSpec{stepMS: 5.09, perSlotMS: 0.0303, tokensPerMS: 51.1, attentionMS: 0.323, firstEventMS: 47, memoryTokens: 90_000, tokensPerEvent: 5}
)

// scenario returns a deployment in which prefilling what is not shared takes a fifth of the servers' time.
func (m promptMix) scenario() scenario {
	deployment := scenario{name: m.name, seed: m.seed, length: 14 * time.Second, shareInterval: 200 * time.Millisecond, crossRegion: 25 * time.Millisecond,
		regions: map[string]string{}, proxies: map[string]int{}, engines: map[string]int{}, traffic: map[string]float64{},
		slots: 48, queue: 144, spec: m.spec, idleTimeout: 5 * time.Second, prices: prices{regionGB: 15_000, zoneGB: 4_000, prefillPerThousand: 0.2, connect: 0.02}}
	servers := 0
	for region, zones := range sorted(m.regions) {
		for i, n := range zones {
			zone := fmt.Sprint(region, i)
			deployment.zones = append(deployment.zones, zone)
			deployment.regions[zone], deployment.engines[zone], deployment.proxies[zone] = region, n, 4
			servers += n
		}
	}
	const utilization, longOwn, longShared, shortOwn = 0.2, 3000, 6000, 400
	prefillMS := func(own, shared float64) float64 { // milliseconds of prefill
		return own/m.spec.tokensPerMS + own*(shared+own/2)/1e6*m.spec.attentionMS
	}
	perSecond := utilization * float64(servers) * 1000
	long, short := m.longShare*perSecond/prefillMS(longOwn, longShared), (1-m.longShare)*perSecond/prefillMS(shortOwn, 100)
	for _, zone := range deployment.zones {
		deployment.traffic[zone] = (long + short) / float64(len(deployment.zones))
	}
	deployment.kinds = []requestKind{
		{name: "long", trafficShare: long / (long + short), latencyTarget: time.Second, eventGapTarget: 600 * time.Millisecond, deadline: 6 * time.Second, value: 2, lateValue: 0.6, priority: 1,
			sharedParts: []shareSpec{{longShared, 0.5, 18_000, 120, 0.3}}, privateTokens: [3]float64{longOwn, 1, 18_000}, outputEvents: [3]float64{9, 1.2, 36}, bytesPerToken: 1, bytesPerEvent: 60},
		{name: "short", trafficShare: short / (long + short), latencyTarget: 800 * time.Millisecond, eventGapTarget: 600 * time.Millisecond, deadline: 5 * time.Second, value: 2, lateValue: 0.6,
			sharedParts: []shareSpec{{100, 0.4, 250, 300, 0.3}}, privateTokens: [3]float64{shortOwn, 1, 2000}, outputEvents: [3]float64{6, 1.2, 24}, bytesPerToken: 1, bytesPerEvent: 60, resumable: true},
	}
	return deployment
}

// TestPromptPoolsOfMixes simulates mixes in which long prompts cause between a tenth and nine tenths
// of the work, with three kinds of engines and one to three regions of different size. Adaptive
// pools score within a few hundredths of the best fixed share, which is found by trying several.
func TestPromptPoolsOfMixes(t *testing.T) {
	const nearBest = 0.97
	mixes := []promptMix{
		{"a tenth long, one region", 0.1, fastPrefill, map[string][]int{"a": {8, 8}}, 1},
		{"half long, two unequal regions", 0.5, smallCache, map[string][]int{"a": {8, 4}, "b": {4}}, 2},
		{"most long, three unequal regions", 0.75, slowPrefill, map[string][]int{"a": {8}, "b": {5}, "c": {3}}, 3},
		{"nine tenths long, two regions", 0.9, slowPrefill, map[string][]int{"a": {8}, "b": {8}}, 4},
	}
	if *runLong {
		mixes = append(mixes, moreMixes()...)
	}
	for _, m := range mixes {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			best, bestShare := m.bestFixedShare()
			adaptive := simulatedScore(m.scenario())
			t.Logf("adaptive %.4f, best fixed share %.2f: %.4f", adaptive, bestShare, best)
			if adaptive < nearBest*best {
				t.Errorf("adaptive pools score %.4f, the fixed share %.2f scores %.4f", adaptive, bestShare, best)
			}
		})
	}
}

// moreMixes returns all combinations of shares, engines and regions.
func moreMixes() (mixes []promptMix) {
	for i, regions := range []map[string][]int{{"a": {8, 8}}, {"a": {8, 4}, "b": {4}}, {"a": {8}, "b": {5}, "c": {3}}} {
		for _, share := range []float64{0.1, 0.3, 0.5, 0.7, 0.9} {
			for name, spec := range map[string]engineSpec{"fast": fastPrefill, "slow": slowPrefill, "tight": smallCache} {
				mixes = append(mixes, promptMix{fmt.Sprintf("%.1f long, %s, %d regions", share, name, i+1), share, spec, regions, uint64(10 + i)})
			}
		}
	}
	return mixes
}

// bestFixedShare returns the best score with a fixed share of the pools, and that share.
func (m promptMix) bestFixedShare() (best, share float64) {
	for _, fixed := range []float64{0.15, 0.4, 0.6, 0.75, 0.9} {
		deployment := m.scenario()
		deployment.fixedPoolShare = fixed
		if score := simulatedScore(deployment); score > best {
			best, share = score, fixed
		}
	}
	return best, share
}

func simulatedScore(deployment scenario) float64 {
	fleet := newSimulation(deployment)
	fleet.run()
	_, score := fleet.report()
	return score
}

// sorted iterates over a map in key order, so that a seed always gives the same run.
func sorted[V any](m map[string]V) iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		for _, key := range slices.Sorted(maps.Keys(m)) {
			if !yield(key, m[key]) {
				return
			}
		}
	}
}
