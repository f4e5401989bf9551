package testcluster

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// UpOptions are those of Up.
type UpOptions struct {
	Proxy, ControlPlane string  // paths of the programs
	Folder              string  // for settings, disks and logs
	Rate                float64 // requests a second of SmallScenario, where Scenario is nil
	Seed                uint64  // of the clients' random numbers
	Scenario            *Scenario
	Links               *Links // between the processes, and in front of servers and list; nil: they reach each other directly
}

const (
	listCallsPerSecond = 47
	listLag            = 800 * time.Millisecond // lag_ms of the settings
	maxTTL             = 5 * time.Second        // ttl_max_s of the settings
	startTimeout       = 20 * time.Second       // until the first configuration is in force and clients can use all proxies
	pollInterval       = 50 * time.Millisecond
)

// Up starts a system and everything around it, and waits until the first configuration is acknowledged and all proxies are listed by a
// directory. Traffic then runs until Run.Play or Run.Finish ends it. The run outlives ctx.
func Up(ctx context.Context, options UpOptions) (*Run, error) {
	scenario := options.Scenario
	if scenario == nil {
		scenario = SmallScenario(options.Rate)
	}
	ports, err := FreePorts(scenario.Machines) //nolint:contextcheck // ports are tried at once
	if err != nil {
		return nil, err
	}
	fleet := &Fleet{Machines: scenario.Machines, Ports: ports, Proxy: options.Proxy, ControlPlane: options.ControlPlane, Folder: options.Folder,
		Bounds: scenario.Bounds, ListRate: listCallsPerSecond, Links: options.Links}
	env, err := New(environmentOptions(options, scenario, fleet)) //nolint:contextcheck // servers outlive the call
	if err != nil {
		return nil, err
	}
	fleet.ListAddress = env.ListAddress()
	env.Evidence.Core = len(Voters(fleet.Machines))
	if options.Links != nil {
		options.Links.createServerLinks(scenario.Machines, scenario.Servers)
		if fleet.listAddresses, err = options.Links.connect(fleet, fleet.ListAddress); err != nil { //nolint:contextcheck // relays outlive the call
			env.Close()
			return nil, err
		}
	}
	run := &Run{Environment: env, Fleet: fleet, Scenario: scenario}
	run.traffic, run.stopTraffic = context.WithCancel(context.WithoutCancel(ctx))
	if err := run.startFleet(ctx); err != nil {
		run.stop()
		return nil, err
	}
	run.trafficEnded.Go(func() { env.Traffic(run.traffic) })
	return run, nil
}

func environmentOptions(options UpOptions, scenario *Scenario, fleet *Fleet) Options {
	return Options{
		Servers:          scenario.Servers,
		Kinds:            scenario.Kinds,
		Zones:            fleet.Zones(),
		Directories:      fleet.Directories(),
		ControlAddresses: fleet.ControlPlaneAddresses(),
		Bounds:           scenario.Bounds,
		MaxTTL:           maxTTL,
		ListLag:          listLag,
		ListRate:         listCallsPerSecond,
		Seed:             options.Seed,
		Links:            options.Links,
		ProbeKey:         scenario.probeKey(),
	}
}

// startFleet starts the processes, and waits until they are in service.
func (r *Run) startFleet(ctx context.Context) error {
	if err := r.Fleet.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := r.Operator.Replace(ctx, r.Scenario.Config, 0); err != nil {
		return errors.Wrapf(err, "the first configuration was not taken (logs in %s; ended: %v)", r.Fleet.Folder, r.Fleet.Died())
	}
	return r.AwaitProxies(ctx, len(r.Fleet.Machines))
}

// AwaitProxies waits until a directory lists n proxies, and fails if ctx ends before.
func (r *Run) AwaitProxies(ctx context.Context, n int) error {
	return Await(ctx, func(ctx context.Context) error {
		if live := r.LiveProxies(ctx); len(live) != n {
			return errors.Newf("clients were told of %d proxies, not %d (logs in %s; ended: %v)", len(live), n, r.Fleet.Folder, r.Fleet.Died())
		}
		return nil
	})
}

// AwaitServed waits until n more requests of clients were served, and fails if ctx ends before.
func (r *Run) AwaitServed(ctx context.Context, n int) error {
	return r.stats.await(ctx, n)
}

// LiveProxies returns the addresses of the proxies that the first directory that answers gives to clients without zone and region, and nil
// if none answers.
func (r *Run) LiveProxies(ctx context.Context) []string {
	clients := resolver{host: scenarioHost, http: r.Operator.http}
	for _, d := range r.Fleet.Directories() {
		if addresses, _, err := clients.query(ctx, d.Address); err == nil {
			return addresses
		}
	}
	return nil
}

// Await calls condition at an interval until it returns nil. When ctx ends, Await returns the last error.
func Await(ctx context.Context, condition func(context.Context) error) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		err := condition(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-tick.C:
		}
	}
}
