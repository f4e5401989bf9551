package lab

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"gradeusher.example/gradeusher/balance/routes"
	"gradeusher.example/gradeusher/internal/lab/check"
	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/plan"
	"gradeusher.example/gradeusher/internal/sidecar/client"
)

// router makes generations of the route table. What it put is the truth that sidecars are held against.
type router struct {
	plan        *plan.Plan
	client      *client.Client
	rng         *rand.Rand
	table       routes.Table
	generations int
	published   []check.Table
}

const routeTimeout = 10 * time.Second // for one generation to be accepted

// startRoutes puts the first table, before any sidecar asks for one.
func (f *Fleet) startRoutes(ctx context.Context) (err error) {
	if f.plan.File.Routes.Apps == 0 {
		return nil
	}
	r := &router{plan: f.plan, rng: rand.New(rand.NewPCG(f.plan.Seed, 22))}
	if r.client, err = client.New(f.registryAddresses(f.plan.NearWriter())); err != nil {
		return err
	}
	for i := range f.plan.File.Routes.Apps {
		r.table = append(r.table, r.rule(fmt.Sprintf("rule-%d", i), fmt.Sprintf("app-%d", i)))
	}
	f.routes = r
	return r.publish(ctx, r.table)
}

// rule has a weight for each kind of server.
func (r *router) rule(name, app string) routes.Rule {
	rule := routes.Rule{Name: name, Source: routes.Match{"service": app}, Service: routes.Match{"service": "*"}}
	kinds := r.plan.File.Kinds
	if r.plan.File.Routes.Narrow {
		kinds = kinds[:1]
	}
	for _, k := range kinds {
		rule.Destinations = append(rule.Destinations, routes.Destination{Weight: r.weight(), Match: routes.Match{"version": k.Name}, PerSize: true})
	}
	return rule
}

// weight is near one: what is put to the test is how tables come, not how servers bear them.
func (r *router) weight() float64 { return 0.8 + 0.4*r.rng.Float64() }

// publish puts a table and records that. Danger: one that was not answered may have been taken, so it is sent until it is: the same
// table makes no second generation.
func (r *router) publish(ctx context.Context, table routes.Table) error {
	ctx, cancel := context.WithTimeout(ctx, routeTimeout)
	defer cancel()
	p := check.Table{Call: clock.Now(), Table: table}
	var err error
	p.Gen, err = r.client.PutRoutes(ctx, table, nil)
	if p.Return = clock.Now(); err == nil {
		r.published = append(r.published, p)
	}
	return err
}

// nextTable is the table with one change, or of all weights.
func (r *router) nextTable() routes.Table {
	t := slices.Clone(r.table)
	r.generations++
	again := func(i int) {
		t[i].Destinations = slices.Clone(t[i].Destinations)
		for j := range t[i].Destinations {
			t[i].Destinations[j].Weight = r.weight()
		}
	}
	at, apps := r.rng.IntN(len(t)), r.plan.File.Routes.Apps
	switch draw := r.rng.IntN(10); {
	case r.plan.File.Routes.Wide:
		for i := range t {
			again(i)
		}
	case draw == 0:
		t = slices.Insert(slices.Delete(t, at, at+1), r.rng.IntN(len(t)), r.table[at])
	case draw == 1 && len(t) < 2*apps: // a rule that goes before the application's own, for one room
		i := r.rng.IntN(apps)
		extra := r.rule(fmt.Sprintf("extra-%d", r.generations), fmt.Sprintf("app-%d", i))
		extra.Source["region"] = r.plan.File.Fleet.Zones[r.rng.IntN(len(r.plan.File.Fleet.Zones))]
		t = slices.Insert(t, at, extra)
	case draw == 2 && t[at].Source["region"] != "":
		t = slices.Delete(t, at, at+1)
	default:
		again(at)
	}
	return t
}

// nowhereTable is a table that leads to no server.
func (r *router) nowhereTable() routes.Table {
	t := slices.Clone(r.table)
	for i := range t {
		t[i].Destinations = []routes.Destination{{Weight: r.weight(), Match: routes.Match{"version": "nowhere"}}}
	}
	return t
}

// run makes generations until over is done. A table that no node accepts is no error: the nodes may all be gone.
func (r *router) run(over context.Context, start int64) {
	defer r.client.Close()
	f := &r.plan.File.Routes
	for at := f.EveryS; at < r.plan.RoutesUntil(); at += f.EveryS {
		if !waitUntil(over, start+int64(at*1e9)) {
			return
		}
		r.table = r.nextTable()
		table := r.table
		if at >= f.Nowhere[0] && at < f.Nowhere[1] {
			table = r.nowhereTable()
		}
		_ = r.publish(over, table)
		if behind := float64(clock.Now()-start)/1e9 - at; behind > f.EveryS {
			at += float64(int(behind/f.EveryS)) * f.EveryS // what could not be made in its time is not made up for
		}
	}
}

// routesConfig adds what concerns routes to the registry part of a sidecar's configuration.
func routesConfig(p *plan.Plan, i int, keepers map[string]any) {
	if p.File.Routes.Apps == 0 {
		return
	}
	maps.Copy(keepers, map[string]any{"routes": true, "tags": map[string]string{"service": p.AppOf(i)}})
}
