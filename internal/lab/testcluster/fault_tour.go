package testcluster

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// FaultTour injects faults in turn until ctx ends: those under which every request can still get its answer. announce is called
// before each. The error is that of an order of the operator, or of a process that does not start or end.
func (r *Run) FaultTour(ctx context.Context, seed uint64, announce func(string)) error {
	rng := rand.New(rand.NewPCG(seed, 2))
	faults := []struct {
		name string
		do   func(context.Context, *rand.Rand) error
	}{
		{"a keeper is killed and started", r.killAndRestartControlPlane},
		{"routes come and go", r.addAndRemoveRoute},
		{"a proxy ends and is started", r.terminateAndRestartProxy},
		{"a server drains and comes back cold", r.drainAndRestartServer},
		{"a zone is evacuated and taken back", r.evacuateAndReturnZone},
		{"two operators send at once", r.raceConfigChanges},
		{"an invalid configuration is sent", r.sendInvalidConfig},
	}
	for i := 0; ; i++ {
		fault := faults[i%len(faults)]
		announce(fault.name)
		if err := fault.do(ctx, rng); err != nil {
			if ctx.Err() != nil {
				return nil //nolint:nilerr // the tour has ended as planned
			}
			return errors.Wrap(err, fault.name)
		}
		if !clock.Sleep(ctx, time.Second) {
			return nil
		}
	}
}

// sleep waits; the error is that of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	if !clock.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}

func (r *Run) killAndRestartControlPlane(ctx context.Context, rng *rand.Rand) error {
	m := r.Fleet.Disks()[rng.IntN(len(r.Fleet.Disks()))]
	if err := r.KillControlPlane(m); err != nil {
		return err
	}
	if err := sleep(ctx, 2*time.Second); err != nil {
		return err
	}
	return r.StartControlPlane(m)
}

func (r *Run) nextRevision(rng *rand.Rand) int64 {
	return r.Scenario.Config.Revision + 1 + rng.Int64N(5)
}

func addedRoute() rules.Route {
	return rules.Route{Name: "added", Host: scenarioHost, Prefix: "/added/", Category: "idempotent", Timeout: 2000, Aim: 400, Priority: 2,
		Target: thumbService, MaxTries: 1, Homes: []string{}}
}

// probeAll asks every proxy for a path.
func (r *Run) probeAll(ctx context.Context, path string) {
	for _, m := range r.Fleet.Machines {
		r.Probe(ctx, r.Fleet.Front(m), scenarioHost, path)
	}
}

func (r *Run) addAndRemoveRoute(ctx context.Context, rng *rand.Rand) error {
	if err := r.AddRoute(ctx, r.nextRevision(rng), addedRoute()); err != nil {
		return err
	}
	r.probeAll(ctx, "/added/1")
	if err := sleep(ctx, r.Scenario.Bounds.ConfigApply); err != nil {
		return err
	}
	r.probeAll(ctx, "/added/2")
	if err := r.RemoveRoute(ctx, r.nextRevision(rng), "added"); err != nil {
		return err
	}
	r.probeAll(ctx, "/added/3")
	if err := sleep(ctx, r.Scenario.Bounds.ConfigApply); err != nil {
		return err
	}
	r.probeAll(ctx, "/added/4")
	return nil
}

func (r *Run) terminateAndRestartProxy(ctx context.Context, rng *rand.Rand) error {
	m := r.Fleet.Machines[rng.IntN(len(r.Fleet.Machines))]
	if err := r.TerminateProxy(ctx, m); err != nil {
		return err
	}
	if err := r.StartProxy(m); err != nil {
		return err
	}
	return r.AwaitProxies(ctx, len(r.Fleet.Machines))
}

func (r *Run) drainAndRestartServer(ctx context.Context, rng *rand.Rand) error {
	var some []*Server // that need care when they come back
	for _, s := range r.Servers {
		if s.WarmUpPerSecond > 0 {
			some = append(some, s)
		}
	}
	s := some[rng.IntN(len(some))]
	s.Drain()
	if err := sleep(ctx, r.Scenario.Bounds.Drain+time.Second); err != nil {
		return err
	}
	s.Stop()
	if err := sleep(ctx, time.Second); err != nil {
		return err
	}
	return s.Start(true)
}

func (r *Run) evacuateAndReturnZone(ctx context.Context, _ *rand.Rand) error {
	if err := r.Operator.Evacuate(ctx, "north-b", true); err != nil {
		return err
	}
	if err := sleep(ctx, r.Scenario.Bounds.Evacuate+time.Second); err != nil {
		return err
	}
	return r.Operator.Evacuate(ctx, "north-b", false)
}

// raceConfigChanges has two changes be sent on top of one version: one of them is refused.
func (r *Run) raceConfigChanges(ctx context.Context, rng *rand.Rand) error {
	base, other := r.Scenario.Config.Revision, *r.Operator
	firstConfig, secondConfig := *r.Scenario.Config, *r.Scenario.Config
	firstConfig.Revision = r.nextRevision(rng)
	secondConfig.Revision = firstConfig.Revision + 1
	secondConfig.Limits.Idle += 1000
	other.next++
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

// sendInvalidConfig sends what must be refused: a route to a service that is not there.
func (r *Run) sendInvalidConfig(ctx context.Context, rng *rand.Rand) error {
	bad := *r.Scenario.Config
	bad.Revision = r.nextRevision(rng)
	bad.Routes = append(bad.Routes[:len(bad.Routes):len(bad.Routes)], addedRoute())
	bad.Routes[len(bad.Routes)-1].Target = "nobody"
	if err := r.Operator.ReplaceInvalid(ctx, &bad, r.Scenario.Config.Revision); !errors.Is(err, ErrRefused) {
		return errors.Newf("an invalid configuration was not refused: %v", err)
	}
	return nil
}
