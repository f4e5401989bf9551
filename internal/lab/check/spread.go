package check

import (
	"math"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/lab/ctl"
)

const (
	minRequestsPerServer = 10 // of a window; seconds with fewer are joined
	worstSeconds         = 10 // over which the worst mean is taken
)

// window is some whole seconds of the load.
type window struct {
	from, to int     // seconds
	spread   float64 // of the servers that were ready and warm throughout
}

// workBySecond is the work that servers began, by second of the load.
type workBySecond struct {
	work     []map[string]int64 // by server, ns of a core
	attempts []int
}

// startedWork counts the work of attempts; a rejected one did not begin.
func (e *Evidence) startedWork() workBySecond {
	seconds := int(math.Ceil(e.Plan.File.Seconds))
	started := workBySecond{work: make([]map[string]int64, seconds), attempts: make([]int, seconds)}
	for i := range started.work {
		started.work[i] = map[string]int64{}
	}
	for _, attempt := range e.ServerAttempts {
		second := int((attempt.First - e.Start) / int64(time.Second))
		if attempt.First < e.Start || second >= seconds || attempt.Outcome == ctl.AttemptRejected {
			continue
		}
		started.work[second][attempt.Server] += attempt.Work
		started.attempts[second]++
	}
	return started
}

// windows are the windows of a run, in order. Seconds with fewer than ten requests per server are joined, because the maximum of many small
// draws says little; what is left at the end is no window.
func (e *Evidence) windows() (all []window) {
	started := e.startedWork()
	capacity := map[string]float64{}
	for i := range e.Plan.Servers {
		capacity[e.Plan.Servers[i].UID] = e.Plan.Servers[i].Capacity()
	}
	ready := e.readyWarm()
	attempts := 0
	for from, to := 0, 1; to <= len(started.work); to++ {
		attempts += started.attempts[to-1]
		if attempts < minRequestsPerServer*e.Plan.InitialServers {
			continue
		}
		var loads []float64
		for uid, periods := range ready {
			if covers(periods, e.second(from), e.second(to)) {
				loads = append(loads, started.of(uid, from, to)/capacity[uid])
			}
		}
		if spread, ok := maxOverMean(loads); ok {
			all = append(all, window{from, to, spread})
		}
		from, attempts = to, 0
	}
	return all
}

// of is the work that a server began in some seconds, in ns of a core.
func (w workBySecond) of(server string, from, to int) float64 {
	sum := int64(0)
	for second := from; second < to; second++ {
		sum += w.work[second][server]
	}
	return float64(sum)
}

// second is the beginning of a second of the load, in ns of the lab's clock.
func (e *Evidence) second(second int) int64 { return e.Start + int64(second)*int64(time.Second) }

// maxOverMean is the maximum of some values over their mean; ok is false where the mean is 0.
func maxOverMean(values []float64) (ratio float64, ok bool) {
	largest, sum := 0.0, 0.0
	for _, value := range values {
		largest, sum = max(largest, value), sum+value
	}
	if sum <= 0 {
		return 0, false
	}
	return largest / (sum / float64(len(values))), true
}

// spreadFigures adds spread, the 99th percentile over the seconds; spread_worst10, the highest mean over 10 s; and spread_rise, how many
// times the mean before the first fault that is. The spread of a window is the highest load (work begun at a server over its capacity)
// divided by the mean load, of the servers that are ready and warm throughout. The figures are left out where there is no window.
func (e *Evidence) spreadFigures(figures Figures, course []Second) {
	all := e.windows()
	if len(all) == 0 {
		return
	}
	var seconds []float64
	before, secondsBefore := 0.0, 0
	firstFault, _, faulty := e.faultPeriod()
	for _, window := range all {
		for second := window.from; second < window.to; second++ {
			course[second].Spread = window.spread
			seconds = append(seconds, window.spread)
		}
		if faulty && e.second(window.to) <= firstFault {
			length := window.to - window.from
			before, secondsBefore = before+window.spread*float64(length), secondsBefore+length
		}
	}
	worst := 0.0
	for i := range max(1, len(seconds)-worstSeconds+1) {
		worst = max(worst, mean(seconds[i:min(i+worstSeconds, len(seconds))]))
	}
	sorted := slices.Sorted(slices.Values(seconds))
	figures["spread"], figures["spread_worst10"] = sorted[int(math.Ceil(0.99*float64(len(sorted))))-1], worst
	if secondsBefore > 0 {
		figures["spread_rise"] = worst / (before / float64(secondsBefore))
	}
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}
