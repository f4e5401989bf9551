package check

import (
	"cmp"
	"slices"
	"time"

	"gradeusher.example/gradeusher/balance/routes"
	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/plan"
)

// Table is a route table that the lab put and a registry node accepted. Times are ns of the lab's clock.
type Table struct {
	Gen          int64
	Call, Return int64
	Table        routes.Table
}

// relevantHash is the hash of the rules of a table that a sidecar needs.
func relevantHash(p *plan.Plan, near int, t routes.Table) string {
	return t.Relevant(map[string]string{"service": p.AppOf(near), "region": p.Sidecars[near].Zone}, "rec-api").Hash()
}

// routesDue is when each sidecar has to have the last table: the bound after it was accepted, and after the last fault.
func (e *Evidence) routesDue() int64 {
	last := e.Tables[len(e.Tables)-1].Return
	for _, b := range e.Plan.Bands {
		last = max(last, e.Start+int64(b.To))
	}
	return last + int64(plan.Seconds(e.Plan.File.Routes.BoundS))
}

// checkRoutes checks what registry nodes wrote of routes to sidecars against the tables that the lab put. What a sidecar says of itself
// does not count. It observes nothing where no generation was made while the load ran.
func (e *Evidence) checkRoutes(found findings) {
	if e.Plan.File.Routes.Apps == 0 || len(e.Tables) < 2 {
		return
	}
	tables := map[int64]routes.Table{} // by generation
	for _, table := range e.Tables {
		tables[table.Gen] = table.Table
	}
	updates := map[int][]ctl.RouteUpdate{} // by sidecar
	for _, update := range e.RouteUpdates {
		updates[update.Near] = append(updates[update.Near], update)
	}
	for near := range e.Plan.Sidecars {
		if isReader(e.Plan, near) {
			all := updates[near]
			slices.SortStableFunc(all, func(a, b ctl.RouteUpdate) int { return cmp.Compare(a.At, b.At) })
			e.checkRouteUpdates(found, near, all, tables)
		}
	}
}

// checkRouteUpdates checks the updates of one sidecar, in order of time: no generation goes back, each has the table that was put, and
// the last table is there in time.
func (e *Evidence) checkRouteUpdates(found findings, near int, updates []ctl.RouteUpdate, tables map[int64]routes.Table) {
	name := e.Plan.Sidecars[near].Name
	hash, since := "", int64(0)       // of the table that the sidecar has
	generations := map[string]int64{} // by cluster
	for _, update := range updates {
		if update.Cluster != "" && update.Generation < generations[update.Cluster] {
			found.violation("routes", "%s was told generation %d at %s, after %d", name, update.Generation, e.when(update.At), generations[update.Cluster])
		}
		if update.Cluster == "" || update.Hash == "" {
			continue // it says only that nothing changed
		}
		generations[update.Cluster] = update.Generation
		found.observe("routes", 1)
		if table, known := tables[update.Generation]; known && update.Hash != relevantHash(e.Plan, near, table) {
			found.violation("routes", "%s was told another table for generation %d at %s than was put", name, update.Generation, e.when(update.At))
		}
		if hash != update.Hash {
			hash, since = update.Hash, update.At
		}
	}
	last, due := e.Tables[len(e.Tables)-1], e.routesDue()
	switch {
	case hash != relevantHash(e.Plan, near, last.Table):
		found.violation("routes", "%s was not told generation %d", name, last.Gen)
	case since > due:
		found.violation("routes", "%s was told generation %d %v after it was due", name, last.Gen, time.Duration(since-due).Round(time.Millisecond))
	}
}
