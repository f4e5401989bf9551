package testcluster

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/lab/clock"
)

const (
	tourInterval  = time.Second // between two faults
	killedFor     = 2 * time.Second
	serverDownFor = time.Second
	tourZone      = "north-b" // that is evacuated; the other zone of its region stays
)

// FaultTour injects faults in turn until ctx ends: those under which every request can still get its answer. It calls announce before each.
// It fails if the operator does not get the answer that it must get, or if a process does not start or end.
func (r *Run) FaultTour(ctx context.Context, seed uint64, announce func(string)) error {
	rng := rand.New(rand.NewPCG(seed, 2))
	faults := []struct {
		name   string
		inject func(context.Context, *rand.Rand) error
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
		if err := fault.inject(ctx, rng); err != nil {
			if ctx.Err() != nil {
				return nil //nolint:nilerr // the tour has ended as planned
			}
			return errors.Wrap(err, fault.name)
		}
		if !clock.Sleep(ctx, tourInterval) {
			return nil
		}
	}
}

// sleep waits for d, and returns the error of ctx if that ends before.
func sleep(ctx context.Context, d time.Duration) error {
	if !clock.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}

func (r *Run) killAndRestartControlPlane(ctx context.Context, rng *rand.Rand) error {
	voters := Voters(r.Fleet.Machines)
	m := voters[rng.IntN(len(voters))]
	if err := r.KillControlPlane(m); err != nil {
		return err
	}
	if err := sleep(ctx, killedFor); err != nil {
		return err
	}
	return r.StartControlPlane(m)
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
	var warmingUp []*Server // those that warm up after a start
	for _, s := range r.Servers {
		if s.WarmUpPerSecond > 0 {
			warmingUp = append(warmingUp, s)
		}
	}
	s := warmingUp[rng.IntN(len(warmingUp))]
	s.Drain()
	if err := sleep(ctx, r.Scenario.Bounds.Drain+time.Second); err != nil {
		return err
	}
	s.Stop()
	if err := sleep(ctx, serverDownFor); err != nil {
		return err
	}
	return s.Start(true) //nolint:contextcheck // the server outlives the call
}

func (r *Run) evacuateAndReturnZone(ctx context.Context, _ *rand.Rand) error {
	if err := r.Operator.Evacuate(ctx, tourZone, true); err != nil {
		return err
	}
	if err := sleep(ctx, r.Scenario.Bounds.Evacuate+time.Second); err != nil {
		return err
	}
	return r.Operator.Evacuate(ctx, tourZone, false)
}
