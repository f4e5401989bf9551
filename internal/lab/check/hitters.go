package check

import (
	"math"
	"net/http"
	"time"

	"gradeusher.example/gradeusher/internal/lab/plan"
)

// The figures of heavy hitters compare which clients the sidecars treated as heavy, by what the clients observed, with what each client asked
// for according to the plan, which does not depend on what became of its requests.
const (
	// minYield is the smallest Retry-After of a request that yielded. What is rejected for lack of capacity may be retried
	// within the shortest latency target, which is below it.
	minYield = time.Second
	// detectionTime is the time within which a client above twice the upper threshold has to be treated as heavy, and for which
	// one that is no longer above it may be.
	detectionTime    = 3 * time.Second
	detectionSeconds = int(detectionTime / time.Second)
	// minRequestsPerSidecar is how many requests a client has to send to a sidecar while servers are full for it to count as
	// missed there.
	minRequestsPerSidecar = 10
	// fullThreshold is the share of the requests of a second that are rejected from which servers count as full.
	fullThreshold = 0.02
)

// hitterFigures adds how many of the requests that yielded were of clients above the threshold (hitter_precision), at how many of the
// sidecars that a client above twice the threshold called while servers were full it had to yield (hitter_recall), and how long it took
// from its start until one of its requests yielded (hitter_delay_ms: of the last client, from when servers were full if that came
// later). A request yields where a sidecar rejects it, without an attempt at a server, until later than capacity could be free.
func (e *Evidence) hitterFigures(figures Figures) {
	if !e.Plan.File.Hitters.On {
		return
	}
	usage := e.clientUsage()
	yields := usage.yields(e)
	if yields.all > 0 {
		figures["hitter_precision"] = float64(yields.ofHeavy) / float64(yields.all)
	}
	figures["hitter_yields"] = float64(yields.all) / max(float64(len(e.ClientAttempts)), 1)
	e.floodLossFigure(figures)
	if recall, ok := yields.recall(); ok {
		figures["hitter_recall"] = recall
	}
	if delay, ok := usage.detectionDelay(e.Plan, yields.first); ok {
		figures["hitter_delay_ms"] = delay.Seconds() * 1000
	}
}

// clientUsage is what clients asked for and how loaded servers were, by second of the load.
type clientUsage struct {
	high     float64           // share of the work from which a client is a heavy hitter
	work     []map[int]float64 // by client, seconds of a core
	total    []float64         // of all clients
	requests []int
	rejected []int // 503
}

func (e *Evidence) clientUsage() *clientUsage {
	drawn := e.Plan
	high, _ := drawn.File.Hitters.Thresholds()
	seconds := int(math.Ceil(drawn.File.Seconds))
	usage := &clientUsage{high: high, work: make([]map[int]float64, seconds), total: make([]float64, seconds), requests: make([]int, seconds),
		rejected: make([]int, seconds)}
	for i := range usage.work {
		usage.work[i] = map[int]float64{}
	}
	for i := range drawn.Arrivals {
		arrival := &drawn.Arrivals[i]
		second := usage.second(arrival)
		usage.work[second][arrival.Client] += arrival.Work.Seconds()
		usage.total[second] += arrival.Work.Seconds()
	}
	for i := range e.ClientAttempts {
		second := usage.second(&drawn.Arrivals[e.ClientAttempts[i].Arrival])
		if usage.requests[second]++; e.ClientAttempts[i].Status == http.StatusServiceUnavailable {
			usage.rejected[second]++
		}
	}
	return usage
}

// second is the second of an arrival.
func (u *clientUsage) second(arrival *plan.Arrival) int {
	return min(int(arrival.At/time.Second), len(u.work)-1)
}

// above reports whether a client asked for at least a share of the work of a second.
func (u *clientUsage) above(client, second int, share float64) bool {
	return u.work[second][client] >= share*u.total[second]
}

// recentlyHeavy reports whether a client was above the threshold in a second or within the detection time before.
func (u *clientUsage) recentlyHeavy(client, second int) bool {
	for from := max(0, second-detectionSeconds); from <= second; from++ {
		if u.above(client, from, u.high) {
			return true
		}
	}
	return false
}

// steadilyHeavy reports whether a client was above the threshold in each second of the detection time, and above twice the threshold in
// all of it.
func (u *clientUsage) steadilyHeavy(client, second int) bool {
	own, all := 0.0, 0.0
	for from := second - detectionSeconds; from <= second; from++ {
		if from < 0 || !u.above(client, from, u.high) {
			return false
		}
		own, all = own+u.work[from][client], all+u.total[from]
	}
	return own >= 2*u.high*all
}

// full reports whether servers were full in a second.
func (u *clientUsage) full(second int) bool {
	return u.rejected[second] > 0 && float64(u.rejected[second]) >= fullThreshold*float64(u.requests[second])
}

// clientAtSidecar is a client as far as it calls one sidecar.
type clientAtSidecar struct{ client, sidecar int }

// yieldCounts are the requests that yielded.
type yieldCounts struct {
	all, ofHeavy int
	first        map[int]time.Duration   // of each client: arrival of the first that yielded
	sent         map[clientAtSidecar]int // by steadily heavy clients while servers were full
	yielded      map[clientAtSidecar]int // of these
}

func (u *clientUsage) yields(e *Evidence) *yieldCounts {
	atServer := map[string]bool{}
	for i := range e.ServerAttempts {
		atServer[e.ServerAttempts[i].ID] = true
	}
	counts := &yieldCounts{first: map[int]time.Duration{}, sent: map[clientAtSidecar]int{}, yielded: map[clientAtSidecar]int{}}
	for i := range e.ClientAttempts {
		attempt := &e.ClientAttempts[i]
		arrival := &e.Plan.Arrivals[attempt.Arrival]
		second := u.second(arrival)
		yields := attempt.Status == http.StatusServiceUnavailable && attempt.RetryAfter >= minYield && !atServer[attempt.ID]
		if yields {
			counts.addYield(arrival, u.recentlyHeavy(arrival.Client, second))
		}
		if u.full(second) && u.steadilyHeavy(arrival.Client, second) {
			pair := clientAtSidecar{arrival.Client, attempt.Sidecar}
			if counts.sent[pair]++; yields {
				counts.yielded[pair]++
			}
		}
	}
	return counts
}

// addYield counts a request that yielded.
func (y *yieldCounts) addYield(arrival *plan.Arrival, heavy bool) {
	y.all++
	if heavy {
		y.ofHeavy++
	}
	if first, known := y.first[arrival.Client]; !known || arrival.At < first {
		y.first[arrival.Client] = arrival.At
	}
}

// recall is the share of the sidecars, by client, that made it yield, of those that had requests enough; ok is false where there are
// none.
func (y *yieldCounts) recall() (share float64, ok bool) {
	missed, detected := 0, 0
	for pair, sent := range y.sent {
		switch {
		case y.yielded[pair] > 0:
			detected++
		case sent >= minRequestsPerSidecar:
			missed++
		}
	}
	return float64(detected) / float64(detected+missed), detected+missed > 0
}

// detectionDelay is the longest time from the start of a flooding client, or from when servers were full, until it first yielded; the end
// of the load stands for one that never did. ok is false where no client flooded.
func (u *clientUsage) detectionDelay(drawn *plan.Plan, first map[int]time.Duration) (longest time.Duration, ok bool) {
	longest = -1
	for i := range drawn.File.Faults {
		fault := &drawn.File.Faults[i]
		if fault.Do != "flood" || fault.Distinct {
			continue
		}
		begin := u.fullSince(fault)
		second := min(int(fault.At)+1, len(u.work)-1) // the first whole second of the flood
		for client := range u.work[second] {
			of, floods := plan.Flooder(client)
			if !floods || of != i || !u.above(client, second, 2*u.high) {
				continue
			}
			at, known := first[client]
			if !known {
				at = plan.Seconds(drawn.File.Seconds)
			}
			longest = max(longest, at-begin, 0)
		}
	}
	return longest, longest >= 0
}

// fullSince is when a flood began and servers were full.
func (u *clientUsage) fullSince(fault *plan.Fault) time.Duration {
	begin := plan.Seconds(fault.At)
	for second := int(fault.At); second < len(u.work) && float64(second) < fault.At+fault.For && !u.full(second); second++ {
		begin = max(begin, time.Duration(second+1)*time.Second)
	}
	return begin
}

// floodLossFigure adds the served share of the value of clients that do not flood: in a run without floods, less in this run
// (hitter_sound_loss), from the detection time after the first flood began until the last one ended. It needs that second run.
func (e *Evidence) floodLossFigure(figures Figures) {
	from, to, floods := e.Plan.File.Flooded(detectionTime)
	if e.WithoutFloods == nil || !floods {
		return
	}
	without, a := e.WithoutFloods.valueShareWithoutFloods(from, to)
	with, b := e.valueShareWithoutFloods(from, to)
	if a && b {
		figures["hitter_sound_loss"] = without - with
	}
}

// valueShareWithoutFloods is the served share of the value of requests that arrived in a period from clients that do not flood; ok is
// false where there were none.
func (e *Evidence) valueShareWithoutFloods(from, to time.Duration) (share float64, ok bool) {
	drawn := e.Plan
	got := make([]float64, len(drawn.Arrivals))
	for i := range e.ClientAttempts {
		attempt := &e.ClientAttempts[i]
		class := &drawn.File.Classes[drawn.Arrivals[attempt.Arrival].Class]
		took := float64(attempt.Ended-e.Start-int64(drawn.Arrivals[attempt.Arrival].At)) / 1e6
		switch {
		case attempt.Status == http.StatusOK && took <= class.LatencyTargetMS:
			got[attempt.Arrival] = 1
		case attempt.Status == http.StatusOK && took <= class.GiveUpMS:
			got[attempt.Arrival] = max(got[attempt.Arrival], class.LateValue)
		}
	}
	asked, served := 0.0, 0.0
	for i := range drawn.Arrivals {
		arrival := &drawn.Arrivals[i]
		if _, floods := plan.Flooder(arrival.Client); floods || arrival.At < from || arrival.At >= to {
			continue
		}
		value := drawn.File.Classes[arrival.Class].Value * arrival.Work.Seconds()
		asked += value
		served += value * got[i]
	}
	return served / asked, asked > 0
}
