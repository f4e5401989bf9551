package check

import (
	"slices"
	"testing"

	"gradeusher.example/gradeusher/balance/routes"
	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/plan"
)

// TestRoutes spoils one thing at a time of what two sidecars, of two applications, were told of three generations.
func TestRoutes(t *testing.T) {
	table := func(weights ...float64) (all routes.Table) {
		for i, w := range weights {
			app := (&plan.Plan{File: &plan.File{Routes: plan.Routes{Apps: 2}}}).AppOf(i)
			all = append(all, routes.Rule{Name: app, Source: routes.Match{"service": app}, Service: routes.Match{"service": "*"},
				Destinations: []routes.Destination{{Weight: w, Match: routes.Match{"version": "x"}}}})
		}
		return all
	}
	for name, test := range map[string]struct {
		spoil func(*Evidence)
		want  []string
		most  float64 // ms to a sidecar that needs it; 0: not looked at
	}{
		"all is well":       {func(*Evidence) {}, nil, 30},
		"no generation":     {func(evidence *Evidence) { evidence.Tables = evidence.Tables[:1] }, nil, 0},
		"not told the last": {func(evidence *Evidence) { evidence.RouteUpdates = evidence.RouteUpdates[:3] }, []string{"routes"}, 0},
		"told late":         {func(evidence *Evidence) { evidence.RouteUpdates[3].At += 2000 * milli }, []string{"routes"}, 2030},
		"another table":     {func(evidence *Evidence) { evidence.RouteUpdates[2].Hash = "x" }, []string{"routes"}, 0},
		"one of before": {func(evidence *Evidence) {
			evidence.RouteUpdates = append(evidence.RouteUpdates, evidence.RouteUpdates[0])
			evidence.RouteUpdates[4].At = 5000 * milli
		}, []string{"routes"}, 0},
		"a beat": {func(evidence *Evidence) {
			evidence.RouteUpdates = append(evidence.RouteUpdates, ctl.RouteUpdate{Near: 1, Generation: 3, At: 5000 * milli})
		}, nil, 30},
		"late by a fault": {func(evidence *Evidence) {
			evidence.RouteUpdates[3].At += 2000 * milli
			evidence.Plan.Bands = []plan.Band{{To: 5e9}}
		}, nil, 2030},
	} {
		t.Run(name, func(t *testing.T) {
			evidence := healthyRun(t)
			evidence.Plan.File.Registry.Count, evidence.Last.Rev = 1, 1
			evidence.Plan.File.Routes = plan.Routes{Apps: 2, EveryS: 1, BoundS: 1}
			for i, w := range [][2]float64{{1, 1}, {2, 1}, {2, 2}} {
				at := (1000 + int64(i)*500) * milli
				evidence.Tables = append(evidence.Tables, Table{Gen: int64(i + 1), Call: at, Return: at + 5*milli, Table: table(w[0], w[1])})
			}
			say := func(near int, gen int64, all bool) {
				r := evidence.Tables[gen-1]
				evidence.RouteUpdates = append(evidence.RouteUpdates, ctl.RouteUpdate{Near: near, Generation: gen, Complete: all, Cluster: "c", Bytes: 100, At: r.Call + 30*milli, Hash: relevantHash(evidence.Plan, near, r.Table)})
			}
			say(0, 1, true)
			say(1, 1, true)
			say(0, 2, false)
			say(1, 3, false)
			test.spoil(evidence)
			got := slices.DeleteFunc(broken(Invariants(evidence)), func(name string) bool { return name == "told-all" })
			if !slices.Equal(got, test.want) {
				t.Errorf("broken %v, want %v", got, test.want)
			}
			f := Figures{}
			evidence.routeFigures(f)
			if test.most != 0 && (f["route_told_most_ms"] != test.most || f["route_bytes"] != 400) {
				t.Errorf("told after %v ms at most in %v bytes", f["route_told_most_ms"], f["route_bytes"])
			}
		})
	}
}

// TestAstray counts by hand what went to servers to which no table led while tables led nowhere.
func TestAstray(t *testing.T) {
	e, got := twoServers(t, 12, 1), Figures{}
	e.Plan.File.Routes = plan.Routes{Narrow: true, Nowhere: [2]float64{4, 8}}
	e.Plan.Servers[0].Kind, e.Plan.Servers[1].Kind = e.Plan.File.Kinds[0].Name, e.Plan.File.Kinds[1].Name
	e.send(3, 0, "b", 10, 10)
	e.send(5, 0, "a", 6, 10)
	e.send(7, 0, "b", 2, 10)
	e.send(8, 0, "b", 10, 10)
	e.astrayFigure(got)
	expectNear(t, "astray", got["route_astray"], 0.25)
}
