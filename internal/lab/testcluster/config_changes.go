package testcluster

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// Name and path prefix of the route that runs add and remove.
const (
	AddedRouteName   = "added"
	AddedRoutePrefix = "/added/"
)

const maxRevisionStep = 5 // between the revisions of consecutive configurations

// AddRoute amends the configuration by a route, as a new revision.
func (r *Run) AddRoute(ctx context.Context, revision int64, route rules.Route) error {
	routes := append(slices.Clone(r.Scenario.Config.Routes), route)
	return r.amend(ctx, revision, routes, []rules.Route{route}, nil)
}

// RemoveRoute amends the configuration by removing a route, as a new revision.
func (r *Run) RemoveRoute(ctx context.Context, revision int64, name string) error {
	routes := slices.DeleteFunc(slices.Clone(r.Scenario.Config.Routes), func(route rules.Route) bool { return route.Name == name })
	return r.amend(ctx, revision, routes, nil, []string{name})
}

// ReplaceConfig replaces the configuration by a complete one, which becomes the scenario's if it is acknowledged.
func (r *Run) ReplaceConfig(ctx context.Context, after *rules.Config) error {
	if err := r.Operator.Replace(ctx, after, r.Scenario.Config.Revision); err != nil {
		return err
	}
	r.Scenario.Config = after
	return nil
}

// amend adds and removes routes, so that the configuration has routes afterwards. The scenario's configuration changes if that is
// acknowledged.
func (r *Run) amend(ctx context.Context, revision int64, routes, upsert []rules.Route, remove []string) error {
	before := r.Scenario.Config
	after := *before
	after.Revision, after.Routes = revision, routes
	if err := r.Operator.Amend(ctx, &after, before.Revision, upsert, remove); err != nil {
		return err
	}
	r.Scenario.Config = &after
	return nil
}

// NextRevision draws the revision of the configuration that follows the scenario's: 1 to maxRevisionStep higher.
func (r *Run) NextRevision(rng *rand.Rand) int64 {
	return r.Scenario.Config.Revision + 1 + rng.Int64N(maxRevisionStep)
}

// addedRoute returns the route that the fault tour adds and removes.
func addedRoute() rules.Route {
	return rules.Route{Name: AddedRouteName, Host: scenarioHost, Prefix: AddedRoutePrefix, Category: "idempotent", Timeout: 2000, Aim: 400, Priority: 2,
		Target: thumbService, MaxTries: 1, Homes: []string{}}
}

// probeAll sends a probe for a path to every proxy.
func (r *Run) probeAll(ctx context.Context, path string) {
	for _, m := range r.Fleet.Machines {
		r.Probe(ctx, r.Fleet.FrontAddress(m), scenarioHost, path)
	}
}

// addAndRemoveRoute adds and removes a route, and probes it at once after each change and when the change has to be in force.
func (r *Run) addAndRemoveRoute(ctx context.Context, rng *rand.Rand) error {
	if err := r.AddRoute(ctx, r.NextRevision(rng), addedRoute()); err != nil {
		return err
	}
	r.probeAll(ctx, AddedRoutePrefix+"1")
	if err := sleep(ctx, r.Scenario.Bounds.ConfigApply); err != nil {
		return err
	}
	r.probeAll(ctx, AddedRoutePrefix+"2")
	if err := r.RemoveRoute(ctx, r.NextRevision(rng), AddedRouteName); err != nil {
		return err
	}
	r.probeAll(ctx, AddedRoutePrefix+"3")
	if err := sleep(ctx, r.Scenario.Bounds.ConfigApply); err != nil {
		return err
	}
	r.probeAll(ctx, AddedRoutePrefix+"4")
	return nil
}

// raceConfigChanges sends two changes on top of one version at the same time. It fails unless one is taken and the other refused.
func (r *Run) raceConfigChanges(ctx context.Context, rng *rand.Rand) error {
	base, other := r.Scenario.Config.Revision, *r.Operator
	firstConfig, secondConfig := *r.Scenario.Config, *r.Scenario.Config
	firstConfig.Revision = r.NextRevision(rng)
	secondConfig.Revision = firstConfig.Revision + 1
	secondConfig.Limits.Idle += 1000
	other.next++ // the other operator calls another node
	first := make(chan error, 1)
	go func() { first <- r.Operator.Replace(ctx, &firstConfig, base) }()
	secondErr := other.Replace(ctx, &secondConfig, base)
	switch firstErr := <-first; {
	case firstErr == nil && errors.Is(secondErr, ErrRefused):
		r.Scenario.Config = &firstConfig
	case secondErr == nil && errors.Is(firstErr, ErrRefused):
		r.Scenario.Config = &secondConfig
	default:
		return errors.Newf("of two changes on version %d not one was taken and one refused: %v; %v", base, firstErr, secondErr)
	}
	return nil
}

// sendInvalidConfig sends a route to a service that does not exist, and fails unless that is refused.
func (r *Run) sendInvalidConfig(ctx context.Context, rng *rand.Rand) error {
	bad := *r.Scenario.Config
	bad.Revision = r.NextRevision(rng)
	bad.Routes = append(bad.Routes[:len(bad.Routes):len(bad.Routes)], addedRoute())
	bad.Routes[len(bad.Routes)-1].Target = "nobody"
	if err := r.Operator.ReplaceInvalid(ctx, &bad, r.Scenario.Config.Revision); !errors.Is(err, ErrRefused) {
		return errors.Newf("an invalid configuration was not refused: %v", err)
	}
	return nil
}
