package check

import (
	"math"
	"slices"
	"time"
)

const (
	minRequestsPerServer = 10 // a server, under which seconds are joined
	worstSeconds         = 10
)

// window is some whole seconds of the load.
type window struct {
	from, to int     // seconds
	spread   float64 // of the servers that were ready and warm throughout
}

// spreads are the windows of a run, in order: in each, the most (work begun at a server, over its size) divided by the mean
// of that over the servers that are ready and warm throughout. What a server turned away was not begun. Seconds with under
// ten requests a server are joined, for there the most of many small draws says little; what is left at the end is no window.
func (e *Evidence) spreads() (all []window) {
	n := int(math.Ceil(e.Plan.File.Seconds))
	work := make([]map[string]int64, n)
	counts := make([]int, n)
	for _, a := range e.ServerAttempts {
		s := int((a.First - e.Start) / int64(time.Second))
		if a.First < e.Start || s >= n || a.Outcome == "turned" {
			continue
		}
		if work[s] == nil {
			work[s] = map[string]int64{}
		}
		work[s][a.Server] += a.Work
		counts[s]++
	}
	size := map[string]float64{}
	for i := range e.Plan.Servers {
		size[e.Plan.Servers[i].UID] = e.Plan.Servers[i].Capacity()
	}
	ready := e.readyWarm()
	began := 0
	for from, to := 0, 1; to <= n; to++ {
		began += counts[to-1]
		if began < minRequestsPerServer*e.Plan.InitialServers {
			continue
		}
		most, sum, servers := 0.0, 0.0, 0
		for uid, spans := range ready {
			if !covers(spans, e.Start+int64(from)*int64(time.Second), e.Start+int64(to)*int64(time.Second)) {
				continue
			}
			done := int64(0)
			for s := from; s < to; s++ {
				done += work[s][uid]
			}
			share := float64(done) / size[uid]
			most, sum, servers = max(most, share), sum+share, servers+1
		}
		if sum > 0 {
			all = append(all, window{from, to, most / (sum / float64(servers))})
		}
		from, began = to, 0
	}
	return all
}

// spreadFigures are spread, the 99th percentile of the seconds; spread_worst10, the highest mean over 10 s; and how many times
// the mean before the first fault that is. They are left out where nothing is to be seen.
func (e *Evidence) spreadFigures(f Figures, course []Second) {
	all := e.spreads()
	if len(all) == 0 {
		return
	}
	var seconds []float64
	for _, w := range all {
		for s := w.from; s < w.to; s++ {
			course[s].Spread = w.spread
			seconds = append(seconds, w.spread)
		}
	}
	before, n := 0.0, 0
	first, _, faulty := e.faultPeriod()
	for _, w := range all {
		if faulty && e.Start+int64(w.to)*int64(time.Second) <= first {
			before, n = before+w.spread*float64(w.to-w.from), n+w.to-w.from
		}
	}
	worst := 0.0
	for i := range max(1, len(seconds)-worstSeconds+1) {
		worst = max(worst, mean(seconds[i:min(i+worstSeconds, len(seconds))]))
	}
	sorted := slices.Sorted(slices.Values(seconds))
	f["spread"], f["spread_worst10"] = sorted[int(math.Ceil(0.99*float64(len(sorted))))-1], worst
	if n > 0 {
		f["spread_rise"] = worst / (before / float64(n))
	}
}

func mean(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / float64(len(v))
}
