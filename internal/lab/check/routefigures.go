package check

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/plan"
)

// astrayFigure is the share of the attempts, while tables led to no server, that went to servers to which the ones before did not lead
// (route_astray). That requests are answered does not show whether sidecars held the table before: where none serves, any server does.
func (e *Evidence) astrayFigure(f Figures) {
	r := &e.Plan.File.Routes
	if !r.Narrow || r.Nowhere[1] == 0 {
		return
	}
	led := map[string]bool{}
	for i := range e.Plan.Servers {
		led[e.Plan.Servers[i].UID] = e.Plan.Servers[i].Kind == e.Plan.File.Kinds[0].Name
	}
	from, to := e.Start+int64(plan.Seconds(r.Nowhere[0])), e.Start+int64(plan.Seconds(r.Nowhere[1]))
	all, other := 0, 0
	for _, a := range e.ServerAttempts {
		if a.First >= from && a.First < to {
			if all++; !led[a.Server] {
				other++
			}
		}
	}
	if all > 0 {
		f["route_astray"] = float64(other) / float64(all)
	}
}

// routeFigures are the bytes that keepers wrote of routes to sidecars, besides beats, and how long generations took to the sidecars
// that need them.
func (e *Evidence) routeFigures(f Figures) {
	if e.Plan.File.Routes.Apps == 0 || len(e.Tables) == 0 {
		return
	}
	e.astrayFigure(f)
	said := map[int][]ctl.RouteUpdate{}
	var sum, wholes, diffs float64
	for _, s := range e.RouteUpdates {
		switch {
		case s.Hash == "":
			continue
		case s.Complete:
			wholes++
		default:
			diffs++
		}
		sum += float64(s.Bytes)
		said[s.Near] = append(said[s.Near], s)
	}
	f["route_generations"], f["route_bytes"], f["route_wholes"], f["route_diffs"] = float64(len(e.Tables)), sum, wholes, diffs
	h := newHistogram()
	most := int64(0)
	for near := range e.Plan.Sidecars {
		if !isReader(e.Plan, near) {
			continue
		}
		lines := said[near]
		slices.SortStableFunc(lines, func(a, b ctl.RouteUpdate) int { return cmp.Compare(a.At, b.At) })
		next := 0
		for i := 1; i < len(e.Tables); i++ {
			r := e.Tables[i]
			if relevantHash(e.Plan, near, r.Table) == relevantHash(e.Plan, near, e.Tables[i-1].Table) {
				continue
			}
			for next < len(lines) && (lines[next].Generation < r.Gen || lines[next].At < r.Call) {
				next++
			}
			took := int64(math.MaxInt64)
			if next < len(lines) {
				took = lines[next].At - r.Call
			}
			recordLatency(h, took)
			most = max(most, min(took, maxLatencyMicros*int64(time.Microsecond)))
		}
	}
	f["route_told_p50_ms"], f["route_told_p99_ms"], f["route_told_most_ms"] = quantile(h, 50), quantile(h, 99), float64(most)/1e6
}
