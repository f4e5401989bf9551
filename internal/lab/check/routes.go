package check

import (
	"cmp"
	"slices"
	"time"

	"gradeusher.example/gradeusher/balance/routes"
	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/plan"
)

// Table is a route table that the lab put, and a keeper took.
type Table struct {
	Gen          int64
	Call, Return int64
	Table        routes.Table
}

// relevantHash is the hash of what a sidecar needs of a table.
func relevantHash(p *plan.Plan, near int, t routes.Table) string {
	return t.Relevant(map[string]string{"service": p.AppOf(near), "region": p.Sidecars[near].Zone}, "rec-api").Hash()
}

// routesDue is when each sidecar has to know the last table: the bound after it, and after the last fault.
func (e *Evidence) routesDue() int64 {
	last := e.Tables[len(e.Tables)-1].Return
	for _, b := range e.Plan.Bands {
		last = max(last, e.Start+int64(b.To))
	}
	return last + int64(plan.Seconds(e.Plan.File.Routes.BoundS))
}

// checkRoutes checks what keepers wrote of checkRoutes to sidecars against the tables that the lab put. Nothing that a sidecar says of itself counts.
func (e *Evidence) checkRoutes(f findings) {
	if e.Plan.File.Routes.Apps == 0 {
		return
	}
	if len(e.Tables) < 2 {
		return // no generation was made while the load ran
	}
	put := map[int64]int{}
	for i, r := range e.Tables {
		put[r.Gen] = i
	}
	said := map[int][]ctl.RouteUpdate{}
	for _, s := range e.RouteUpdates {
		said[s.Near] = append(said[s.Near], s)
	}
	last, due := e.Tables[len(e.Tables)-1], e.routesDue()
	for near := range e.Plan.Sidecars {
		if !isReader(e.Plan, near) {
			continue
		}
		all := said[near]
		slices.SortStableFunc(all, func(a, b ctl.RouteUpdate) int { return cmp.Compare(a.At, b.At) })
		name := e.Plan.Sidecars[near].Name
		held, at, gen := "", int64(0), map[string]int64{}
		for _, s := range all {
			if s.Generation < gen[s.Cluster] && s.Cluster != "" {
				f.violation("routes", "%s was told generation %d at %s, after %d", name, s.Generation, e.when(s.At), gen[s.Cluster])
			}
			if s.Cluster == "" || s.Hash == "" {
				continue // it says only that nothing changed
			}
			gen[s.Cluster] = s.Generation
			f.observe("routes", 1)
			if i, known := put[s.Generation]; known && s.Hash != relevantHash(e.Plan, near, e.Tables[i].Table) {
				f.violation("routes", "%s was told another table for generation %d at %s than was put", name, s.Generation, e.when(s.At))
			}
			if held != s.Hash {
				held, at = s.Hash, s.At
			}
		}
		switch {
		case held != relevantHash(e.Plan, near, last.Table):
			f.violation("routes", "%s was not told generation %d", name, last.Gen)
		case at > due:
			f.violation("routes", "%s was told generation %d %v after it was due", name, last.Gen, time.Duration(at-due).Round(time.Millisecond))
		}
	}
}
