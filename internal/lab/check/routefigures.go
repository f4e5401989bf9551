package check

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/plan"
)

// astrayFigure adds the share of the attempts, while tables led to no server, that went to servers to which the tables before did not lead
// (route_astray). That requests are answered does not show whether sidecars kept the table before: where it has no server either, any
// server serves.
func (e *Evidence) astrayFigure(figures Figures) {
	settings := &e.Plan.File.Routes
	if !settings.Narrow || settings.Nowhere[1] == 0 {
		return
	}
	routed := map[string]bool{} // servers to which the tables before led
	for i := range e.Plan.Servers {
		routed[e.Plan.Servers[i].UID] = e.Plan.Servers[i].Kind == e.Plan.File.Kinds[0].Name
	}
	from, to := e.Start+int64(plan.Seconds(settings.Nowhere[0])), e.Start+int64(plan.Seconds(settings.Nowhere[1]))
	all, astray := 0, 0
	for _, attempt := range e.ServerAttempts {
		if attempt.First >= from && attempt.First < to {
			if all++; !routed[attempt.Server] {
				astray++
			}
		}
	}
	if all > 0 {
		figures["route_astray"] = float64(astray) / float64(all)
	}
}

// routeFigures adds the bytes that registry nodes wrote of routes to sidecars, without heartbeats, and how long generations took to the
// sidecars that need them.
func (e *Evidence) routeFigures(figures Figures) {
	if e.Plan.File.Routes.Apps == 0 || len(e.Tables) == 0 {
		return
	}
	e.astrayFigure(figures)
	updates := map[int][]ctl.RouteUpdate{} // by sidecar
	var bytes, complete, differences float64
	for _, update := range e.RouteUpdates {
		if update.Hash == "" {
			continue // a heartbeat
		}
		if update.Complete {
			complete++
		} else {
			differences++
		}
		bytes += float64(update.Bytes)
		updates[update.Near] = append(updates[update.Near], update)
	}
	figures["route_generations"], figures["route_bytes"], figures["route_wholes"], figures["route_diffs"] = float64(len(e.Tables)), bytes, complete, differences
	delays, longest := newHistogram(), int64(0)
	for near := range e.Plan.Sidecars {
		if !isReader(e.Plan, near) {
			continue
		}
		all := updates[near]
		slices.SortStableFunc(all, func(a, b ctl.RouteUpdate) int { return cmp.Compare(a.At, b.At) })
		for _, delay := range e.propagationDelays(near, all) {
			recordLatency(delays, delay)
			longest = max(longest, min(delay, maxLatencyMicros*int64(time.Microsecond)))
		}
	}
	figures["route_told_p50_ms"], figures["route_told_p99_ms"], figures["route_told_most_ms"] = quantile(delays, 50), quantile(delays, 99), float64(longest)/1e6
}

// propagationDelays is how long each generation that changes what a sidecar needs took to it, in ns; math.MaxInt64: it never came. The
// updates are those of the sidecar in order of time.
func (e *Evidence) propagationDelays(near int, updates []ctl.RouteUpdate) (delays []int64) {
	next := 0
	for i := 1; i < len(e.Tables); i++ {
		table := e.Tables[i]
		if relevantHash(e.Plan, near, table.Table) == relevantHash(e.Plan, near, e.Tables[i-1].Table) {
			continue
		}
		for next < len(updates) && (updates[next].Generation < table.Gen || updates[next].At < table.Call) {
			next++
		}
		delay := int64(math.MaxInt64)
		if next < len(updates) {
			delay = updates[next].At - table.Call
		}
		delays = append(delays, delay)
	}
	return delays
}
