package check

import (
	"math"
	"time"

	"gradeusher.example/gradeusher/internal/lab/plan"
)

// Here is whom sidecars took for clients that ask for too much, by what the clients saw. What they truly asked for is in the
// plan: it does not hang on what became of it.
const (
	// minYield is the least time after which a request that gave way may come back. What is refused for want of room may
	// come back within the shortest aim, which is under it.
	minYield = time.Second
	// detectionTime is the time within which a client that asks for twice the upper bar must be held for heavy, and for which one
	// that no longer does may be.
	detectionTime = 3 * time.Second
	// minRequestsPerSidecar is how many requests a client must have sent by a sidecar, while servers were full, for it to be missed there.
	minRequestsPerSidecar = 10
	// fullThreshold is the share of a second's requests that are refused from which servers count as full.
	fullThreshold = 0.02
)

// hitterFigures are how many of the requests that gave way were of clients above the bar (hitter_precision), at how many
// of the sidecars that a client above twice the bar called while servers were full it had to give way (hitter_recall), and
// how long it took from when it began until one gave way (hitter_delay_ms, of the last client, from when servers were full
// if that came later).
func (e *Evidence) hitterFigures(f Figures) {
	p := e.Plan
	if !p.File.Hitters.On {
		return
	}
	high, _ := p.File.Hitters.Thresholds()
	n := int(math.Ceil(p.File.Seconds))
	asked, whole := make([]map[int]float64, n), make([]float64, n)
	requests, refused := make([]int, n), make([]int, n)
	for i := range asked {
		asked[i] = map[int]float64{}
	}
	second := func(arrival int) int { return min(int(p.Arrivals[arrival].At/time.Second), n-1) }
	for i := range p.Arrivals {
		a := &p.Arrivals[i]
		asked[second(i)][a.Client] += a.Work.Seconds()
		whole[second(i)] += a.Work.Seconds()
	}
	seen := map[string]bool{} // requests that reached a server
	for i := range e.ServerAttempts {
		seen[e.ServerAttempts[i].ID] = true
	}
	over := func(client, s int, bar float64) bool { return asked[s][client] >= bar*whole[s] }
	long := int(detectionTime / time.Second)
	lately := func(client, s int) bool {
		for from := max(0, s-long); from <= s; from++ {
			if over(client, from, high) {
				return true
			}
		}
		return false
	}
	steady := func(client, s int) bool { // above the bar in each second, and above twice that in all
		own, all := 0.0, 0.0
		for from := s - long; from <= s; from++ {
			if from < 0 || !over(client, from, high) {
				return false
			}
			own, all = own+asked[from][client], all+whole[from]
		}
		return own >= 2*high*all
	}
	for i := range e.ClientAttempts {
		s := second(e.ClientAttempts[i].Arrival)
		if requests[s]++; e.ClientAttempts[i].Status == 503 {
			refused[s]++
		}
	}
	full := func(s int) bool { return float64(refused[s]) >= fullThreshold*float64(requests[s]) && refused[s] > 0 }
	type pair struct{ client, sidecar int }
	sent, gave := map[pair]int{}, map[pair]int{}
	first := map[int]time.Duration{}
	right, all := 0, 0
	for i := range e.ClientAttempts {
		t := &e.ClientAttempts[i]
		a := &p.Arrivals[t.Arrival]
		s, who := second(t.Arrival), pair{a.Client, t.Sidecar}
		yields := t.Status == 503 && t.RetryAfter >= minYield && !seen[t.ID]
		if yields {
			all++
			if lately(a.Client, s) {
				right++
			}
			if at, known := first[a.Client]; !known || a.At < at {
				first[a.Client] = a.At
			}
		}
		if full(s) && steady(a.Client, s) {
			if sent[who]++; yields {
				gave[who]++
			}
		}
	}
	if all > 0 {
		f["hitter_precision"] = float64(right) / float64(all)
	}
	f["hitter_yields"] = float64(all) / max(float64(len(e.ClientAttempts)), 1)
	e.floodLossFigure(f)
	missed, held := 0, 0
	latest := time.Duration(-1)
	for who, n := range sent {
		switch {
		case gave[who] > 0:
			held++
		case n >= minRequestsPerSidecar:
			missed++
		}
	}
	if held+missed > 0 {
		f["hitter_recall"] = float64(held) / float64(held+missed)
	}
	for i := range p.File.Faults {
		t := &p.File.Faults[i]
		if t.Do != "flood" || t.Distinct {
			continue
		}
		begins := plan.Seconds(t.At)
		for s := int(t.At); s < n && float64(s) < t.At+t.For && !full(s); s++ {
			begins = max(begins, time.Duration(s+1)*time.Second)
		}
		for client := range asked[min(int(t.At)+1, n-1)] {
			fault, floods := plan.Flooder(client)
			if !floods || fault != i || !over(client, min(int(t.At)+1, n-1), 2*high) {
				continue
			}
			at, known := first[client]
			if !known {
				at = plan.Seconds(p.File.Seconds)
			}
			latest = max(latest, at-begins, 0)
		}
	}
	if latest >= 0 {
		f["hitter_delay_ms"] = latest.Seconds() * 1000
	}
}

// floodLossFigure is the share of the worth that was served of those who do not flood, without any flood less with them, while they last and
// from when they should be judged on (hitter_sound_loss). It takes a second run, without the floods.
func (e *Evidence) floodLossFigure(f Figures) {
	from, to, floods := e.Plan.File.Flooded(detectionTime)
	if e.WithoutFloods == nil || !floods {
		return
	}
	without, a := e.WithoutFloods.valueShareWithoutFloods(from, to)
	with, b := e.valueShareWithoutFloods(from, to)
	if a && b {
		f["hitter_sound_loss"] = without - with
	}
}

// valueShareWithoutFloods is the share of the worth of who do not flood that was served of what arrived within a time; false: nothing did.
func (e *Evidence) valueShareWithoutFloods(from, to time.Duration) (float64, bool) {
	p := e.Plan
	got := make([]float64, len(p.Arrivals))
	for i := range e.ClientAttempts {
		t := &e.ClientAttempts[i]
		class := &p.File.Classes[p.Arrivals[t.Arrival].Class]
		took := float64(t.Ended-e.Start-int64(p.Arrivals[t.Arrival].At)) / 1e6
		switch {
		case t.Status == 200 && took <= class.LatencyTargetMS:
			got[t.Arrival] = 1
		case t.Status == 200 && took <= class.GiveUpMS:
			got[t.Arrival] = max(got[t.Arrival], class.LateValue)
		}
	}
	asked, served := 0.0, 0.0
	for i := range p.Arrivals {
		a := &p.Arrivals[i]
		if _, floods := plan.Flooder(a.Client); floods || a.At < from || a.At >= to {
			continue
		}
		worth := p.File.Classes[a.Class].Value * a.Work.Seconds()
		asked += worth
		served += worth * got[i]
	}
	return served / asked, asked > 0
}
