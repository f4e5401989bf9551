package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gradeusher.example/gradeusher/balance/routes"
	"gradeusher.example/gradeusher/internal/lab/check"
	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/plan"
	"gradeusher.example/gradeusher/internal/sidecar/client"
)

// routePublisher publishes generations of the route table: the first one before any sidecar asks, then another one every
// plan.Routes.EveryS seconds. What it published is the truth that sidecars are held against.
type routePublisher struct {
	plan        *plan.Plan
	client      *client.Client
	rng         *rand.Rand
	table       routes.Table  // the latest one, without what plan.Routes.Nowhere makes of it
	generations int           // that were drawn after the first one
	published   []check.Table // those that a node accepted
}

const (
	publishTimeout = 10 * time.Second // for one generation to be accepted
	routesStream   = 22               // of the plan's random generator, which only routes draw from
)

// Weights are near one: the experiment is about how tables arrive, not about how servers bear them.
const (
	minWeight   = 0.8
	weightRange = 0.4
)

// Names of labels of routes, and a value that no server has.
const (
	serviceLabel   = "service"
	regionLabel    = "region"
	versionLabel   = "version"
	unknownVersion = "nowhere"
)

// startRoutes publishes the first table, with a rule for each application, if the plan has any.
func (f *Fleet) startRoutes(ctx context.Context) (err error) {
	if f.plan.File.Routes.Apps == 0 {
		return nil
	}
	publisher := &routePublisher{plan: f.plan, rng: rand.New(rand.NewPCG(f.plan.Seed, routesStream))}
	if publisher.client, err = client.New(f.registryAddresses(f.plan.NearWriter())); err != nil {
		return err
	}
	for app := range f.plan.File.Routes.Apps {
		publisher.table = append(publisher.table, publisher.drawRule(fmt.Sprintf("rule-%d", app), app))
	}
	f.routes = publisher
	return publisher.publish(ctx, publisher.table)
}

// drawRule returns a rule for the traffic of an application, with a drawn weight for each kind of server, or only for the first one where
// the plan has narrow routes.
func (p *routePublisher) drawRule(name string, app int) routes.Rule {
	rule := routes.Rule{Name: name, Source: routes.Match{serviceLabel: fmt.Sprintf("app-%d", app)}, Service: routes.Match{serviceLabel: "*"}}
	kinds := p.plan.File.Kinds
	if p.plan.File.Routes.Narrow {
		kinds = kinds[:1]
	}
	for _, kind := range kinds {
		destination := routes.Destination{Weight: p.drawWeight(), Match: routes.Match{versionLabel: kind.Name}, PerSize: true}
		rule.Destinations = append(rule.Destinations, destination)
	}
	return rule
}

// drawWeight draws the weight of a destination.
func (p *routePublisher) drawWeight() float64 { return minWeight + weightRange*p.rng.Float64() }

// publish sends a table and records it with the times of the call. A call without an answer may have been applied all the same; the
// client repeats it within publishTimeout, and the same table makes no second generation.
func (p *routePublisher) publish(ctx context.Context, table routes.Table) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	record := check.Table{Call: clock.Now(), Table: table}
	generation, err := p.client.PutRoutes(ctx, table, nil)
	record.Gen, record.Return = generation, clock.Now()
	if err != nil {
		return err
	}
	p.published = append(p.published, record)
	return nil
}

// drawTable draws the next table from the latest one: other weights of all rules where the plan has wide routes, else one change of the
// rules' order, a further rule, one rule less, or mostly other weights of one rule.
func (p *routePublisher) drawTable() routes.Table {
	table := slices.Clone(p.table)
	p.generations++
	index, apps := p.rng.IntN(len(table)), p.plan.File.Routes.Apps
	switch draw := p.rng.IntN(10); {
	case p.plan.File.Routes.Wide:
		for i := range table {
			p.redrawWeights(&table[i])
		}
	case draw == 0:
		moved := table[index]
		table = slices.Insert(slices.Delete(table, index, index+1), p.rng.IntN(len(table)), moved)
	case draw == 1 && len(table) < 2*apps:
		table = slices.Insert(table, index, p.drawZoneRule())
	case draw == 2 && table[index].Source[regionLabel] != "":
		table = slices.Delete(table, index, index+1)
	default:
		p.redrawWeights(&table[index])
	}
	return table
}

// redrawWeights gives a rule other weights. It leaves the destinations alone that the rule shares with earlier tables.
func (p *routePublisher) redrawWeights(rule *routes.Rule) {
	rule.Destinations = slices.Clone(rule.Destinations)
	for i := range rule.Destinations {
		rule.Destinations[i].Weight = p.drawWeight()
	}
}

// drawZoneRule draws a rule for the traffic of an application in one zone.
func (p *routePublisher) drawZoneRule() routes.Rule {
	app := p.rng.IntN(p.plan.File.Routes.Apps)
	rule := p.drawRule(fmt.Sprintf("extra-%d", p.generations), app)
	zones := p.plan.File.Fleet.Zones
	rule.Source[regionLabel] = zones[p.rng.IntN(len(zones))]
	return rule
}

// withoutServers is the latest table with destinations that no server matches.
func (p *routePublisher) withoutServers() routes.Table {
	table := slices.Clone(p.table)
	for i := range table {
		table[i].Destinations = []routes.Destination{{Weight: p.drawWeight(), Match: routes.Match{versionLabel: unknownVersion}}}
	}
	return table
}

// run publishes generations until over is done or the plan has no more. start is the start of the load, in ns of the lab's clock. A
// generation that no node accepts is no error, as the nodes may all be gone. One that falls into the time that an earlier one took is
// left out.
func (p *routePublisher) run(over context.Context, start int64) {
	defer p.client.Close()
	settings := &p.plan.File.Routes
	for at := settings.EveryS; at < p.plan.RoutesUntil(); at += settings.EveryS {
		if !waitUntil(over, start+int64(at*1e9)) {
			return
		}
		p.table = p.drawTable()
		table := p.table
		if at >= settings.Nowhere[0] && at < settings.Nowhere[1] {
			table = p.withoutServers()
		}
		_ = p.publish(over, table)
		if behind := float64(clock.Now()-start)/1e9 - at; behind > settings.EveryS {
			at += float64(int(behind/settings.EveryS)) * settings.EveryS
		}
	}
}

// routesConfig adds what concerns routes to the registry part of the configuration of the sidecar index.
func routesConfig(experiment *plan.Plan, index int, registry map[string]any) {
	if experiment.File.Routes.Apps == 0 {
		return
	}
	registry["routes"] = true
	registry["tags"] = map[string]string{serviceLabel: experiment.AppOf(index)}
}
