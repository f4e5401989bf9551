package soak

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/testcluster"
	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// probability is a number from 0 to 1. It is safe for concurrent use.
type probability struct{ bits atomic.Uint64 }

func (p *probability) set(v float64) { p.bits.Store(math.Float64bits(v)) }

// drawn draws, and reports true with that probability.
func (p *probability) drawn() bool { return rand.Float64() < math.Float64frombits(p.bits.Load()) }

const (
	changeStream     = 37 // the sequence of random numbers of a seed from which changes are drawn
	revisionStream   = 38 // that from which revisions are drawn
	routeChangeEvery = 3  // changes, of which one adds or removes a route
	sharedKeyEvery   = 5  // changes, before one of which an invalid configuration is sent
)

// sendChanges changes the configuration at an interval until ctx ends. After each change it sends a probe to a proxy.
func (p *player) sendChanges(ctx context.Context) {
	rng := rand.New(rand.NewPCG(p.plan.Seed, changeStream))
	for n := 0; clock.Sleep(ctx, configInterval); n++ {
		if n%sharedKeyEvery == sharedKeyEvery-1 {
			p.sendSharedKey(ctx)
		}
		p.changeConfig(ctx, func(ctx context.Context, revision int64) error { return p.sendChange(ctx, revision, n, rng) })
		m := p.Fleet.Machines[rng.IntN(len(p.Fleet.Machines))]
		p.Probe(ctx, p.Fleet.FrontAddress(m), p.usualConfig.Routes[summaryRoute].Host, fmt.Sprintf("%s%d", testcluster.AddedRoutePrefix, n))
	}
}

// changeConfig sends a change of the configuration, after those under way, as a new revision. After a change without a clear answer it reads the
// configuration, on which the next change is to build.
func (p *player) changeConfig(ctx context.Context, change func(ctx context.Context, revision int64) error) {
	p.changing.Lock()
	defer p.changing.Unlock()
	changeCtx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if err := change(changeCtx, p.NextRevision(p.revisions)); err != nil {
		if ctx.Err() == nil {
			p.refreshConfig(ctx)
		}
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.acknowledgedChanges++
}

// sendSharedKey sends a configuration in which two tenants share a key. The check of CONFIG reports it if that is acknowledged.
func (p *player) sendSharedKey(ctx context.Context) {
	p.changing.Lock()
	defer p.changing.Unlock()
	sendCtx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if err := p.SendSharedKey(sendCtx, p.revisions); err != nil && ctx.Err() == nil {
		p.refreshConfig(ctx)
	}
}

// changedRoutes are the routes whose time-outs are changed, in turn.
var changedRoutes = [...]int{summaryRoute, questionRoute}

// sendChange sends a change by its number: one in routeChangeEvery adds a route or removes it, and the others
// change the time-out of a route.
func (p *player) sendChange(ctx context.Context, revision int64, number int, rng *rand.Rand) error {
	if number%routeChangeEvery == 0 {
		return p.addOrRemoveRoute(ctx, revision)
	}
	return p.changeRouteTimeout(ctx, revision, changedRoutes[number%len(changedRoutes)], rng)
}

// addOrRemoveRoute removes the added route if the configuration has it, and adds it otherwise.
func (p *player) addOrRemoveRoute(ctx context.Context, revision int64) error {
	routes := p.Scenario.Config.Routes
	if slices.ContainsFunc(routes, func(r rules.Route) bool { return r.Name == testcluster.AddedRouteName }) {
		return p.RemoveRoute(ctx, revision, testcluster.AddedRouteName)
	}
	route := routes[thumbRoute]
	route.Name, route.Prefix = testcluster.AddedRouteName, testcluster.AddedRoutePrefix
	return p.AddRoute(ctx, revision, route)
}

// changeRouteTimeout changes the time-out of a route, by its index, by at most a millisecond.
func (p *player) changeRouteTimeout(ctx context.Context, revision int64, route int, rng *rand.Rand) error {
	after := *p.Scenario.Config
	after.Revision = revision
	after.Routes = slices.Clone(after.Routes)
	after.Routes[route].Timeout += rng.IntN(3) - 1
	return p.ReplaceConfig(ctx, &after)
}

// refreshConfig reads the configuration. It is called with p.changing held.
func (p *player) refreshConfig(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if c, err := p.Operator.Read(ctx); err == nil {
		p.Scenario.Config = c
	}
}

// readConfig reads the configuration at an interval until ctx ends. The readings are evidence.
func (p *player) readConfig(ctx context.Context) {
	reader := p.Operator.Clone()
	for clock.Sleep(ctx, readInterval) {
		readCtx, cancel := context.WithTimeout(ctx, changeTimeout)
		_, err := reader.Read(readCtx) // It fails while the control plane is down.
		cancel()
		if err != nil && ctx.Err() != nil {
			return
		}
	}
}

// setEvacuated starts or ends the evacuation of a zone. It retries until there is a clear answer or ctx ends.
func (p *player) setEvacuated(ctx context.Context, zone string, start bool) error {
	operator := p.Operator.Clone()
	for {
		evacuateCtx, cancel := context.WithTimeout(ctx, changeTimeout)
		err := operator.Evacuate(evacuateCtx, zone, start)
		cancel()
		switch {
		case err == nil:
			return nil
		case ctx.Err() != nil, errors.Is(err, testcluster.ErrRefused):
			return err
		}
	}
}
