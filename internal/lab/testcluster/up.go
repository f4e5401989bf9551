package testcluster

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// UpOptions are those of Up.
type UpOptions struct {
	Proxy, ControlPlane string // programs
	Folder              string // for settings, disks and logs
	Rate                float64
	Seed                uint64
	Scenario            *Scenario // nil: the small one, with Rate
	Links               *Links    // between the parts; nil: they reach each other straight
}

// Run is a system of real processes in the small scenario.
type Run struct {
	*Environment
	Fleet    *Fleet
	Scenario *Scenario

	traffic      context.Context
	stopTraffic  context.CancelFunc
	trafficEnded sync.WaitGroup
	activities   sync.WaitGroup // what goes on meanwhile
}

const (
	listCallsPerSecond  = 47 // calls a second
	maxTTL              = 5 * time.Second
	startTimeout        = 20 * time.Second // until the first configuration is taken and clients are let in
	pollInterval        = 50 * time.Millisecond
	statusTimeout       = 500 * time.Millisecond
	maxListedUnanswered = 5               // that a report names
	stopSlack           = 2 * time.Second // beyond the grace, before SIGKILL
)

// Up starts everything and waits until the configuration is taken and all proxies serve. Traffic then runs until Play or
// Finish ends it.
func Up(ctx context.Context, options UpOptions) (*Run, error) {
	scene := options.Scenario
	if scene == nil {
		scene = SmallScenario(options.Rate)
	}
	ports, err := FreePorts(scene.Machines) //nolint:contextcheck // ports are tried at once
	if err != nil {
		return nil, err
	}
	fleet := &Fleet{Machines: scene.Machines, Ports: ports, Proxy: options.Proxy, ControlPlane: options.ControlPlane, Folder: options.Folder, Bounds: scene.Bounds, Rate: listCallsPerSecond,
		Links: options.Links}
	env, err := New(Options{Servers: scene.Servers, Kinds: scene.Kinds, Zones: fleet.Zones(), Directories: fleet.Directories(), ControlAddresses: fleet.ControlPlaneAddresses(), //nolint:contextcheck // servers outlive the call
		Bounds: scene.Bounds, MaxTTL: maxTTL, ListLag: 800 * time.Millisecond, ListRate: listCallsPerSecond, Seed: options.Seed, Links: options.Links})
	if err != nil {
		return nil, err
	}
	fleet.ListAddress = env.ListAddress()
	env.Evidence.Core = len(fleet.Disks())
	if options.Links != nil {
		options.Links.createServerLinks(scene.Machines, scene.Servers)
		if fleet.listAddresses, err = options.Links.connect(fleet, fleet.ListAddress); err != nil { //nolint:contextcheck // relays outlive the call
			env.Close()
			return nil, err
		}
	}
	run := &Run{Environment: env, Fleet: fleet, Scenario: scene}
	run.traffic, run.stopTraffic = context.WithCancel(context.WithoutCancel(ctx))
	if err := run.startFleet(ctx); err != nil {
		run.stop()
		return nil, err
	}
	run.trafficEnded.Go(func() { env.Traffic(run.traffic) })
	return run, nil
}

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

// AwaitProxies waits until clients know of n proxies.
func (r *Run) AwaitProxies(ctx context.Context, n int) error {
	return Await(ctx, func(ctx context.Context) error {
		if live := r.LiveProxies(ctx); len(live) != n {
			return errors.Newf("clients were told of %d proxies, not %d (logs in %s; ended: %v)", len(live), n, r.Fleet.Folder, r.Fleet.Died())
		}
		return nil
	})
}

// Await asks until there is no error; when ctx ends it gives the last one.
func Await(ctx context.Context, ask func(context.Context) error) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		err := ask(ctx)
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

// LiveProxies is the proxies that clients from anywhere know of; nil: no directory answers.
func (r *Run) LiveProxies(ctx context.Context) []string {
	ask := resolver{host: scenarioHost, http: r.Operator.http} // no zone and no region
	for _, d := range r.Fleet.Directories() {
		if addresses, _, err := ask.query(ctx, d.Address); err == nil {
			return addresses
		}
	}
	return nil
}

// Lines returns what runs where.
func (r *Run) Lines() []string {
	lines := []string{"list     http://" + r.ListAddress() + "/instances"}
	for _, m := range r.Fleet.Machines {
		what := "keeper  "
		if !m.Disk {
			what = "observer"
		}
		lines = append(lines, fmt.Sprintf("%s http://%s/status  zone %s  pid %d", what, r.Fleet.Control(m), m.Zone, r.Fleet.ControlPlaneProcess(m).Pid()))
	}
	for _, m := range r.Fleet.Machines {
		lines = append(lines, fmt.Sprintf("proxy    http://%s  zone %s  pid %d", r.Fleet.Front(m), m.Zone, r.Fleet.ProxyProcess(m).Pid()))
	}
	for _, s := range r.Servers {
		lines = append(lines, fmt.Sprintf("server   http://%s  %s %s  zone %s  %d slots", s.address, s.Service, s.ID(), s.Zone, s.Slots()))
	}
	return lines
}

// Meanwhile has do run besides; it must return soon after the context of Play has ended.
func (r *Run) Meanwhile(do func()) { r.activities.Go(do) }

// Play runs until ctx ends, announces every second, ends everything and gives the report.
func (r *Run) Play(ctx context.Context, announce func(Second)) *Report {
	start, last := r.Now(), r.Stats()
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			r.activities.Wait()
			return r.Finish() //nolint:contextcheck // the end of a run is read also where ctx is over
		case <-tick.C:
		}
		second := Second{At: r.Now() - start, Stats: r.Stats()}
		second.Rate, last = second.Stats.Requests-last.Requests, second.Stats
		statusCtx, cancel := context.WithTimeout(ctx, statusTimeout)
		if status := r.Operator.Status(statusCtx); status != nil {
			second.Revision, second.Epoch, second.Chain = status.Revision, status.Epoch, status.Chain
		}
		second.LiveProxies = len(r.LiveProxies(statusCtx))
		second.ReadyProxies = r.CountReady(statusCtx, r.Fleet.Readiness())
		cancel()
		if ctx.Err() == nil {
			announce(second)
		}
	}
}

// Finish ends the traffic, reads the configuration back, ends the processes and gives the report.
func (r *Run) Finish() *Report {
	r.stopTraffic()
	r.trafficEnded.Wait()
	report := &Report{Stats: r.Stats(), Died: r.Fleet.Died()}
	ctx, cancel := context.WithTimeout(context.Background(), r.Scenario.Bounds.Contact)
	defer cancel()
	r.Evidence.Read, report.ReadError = r.Operator.Read(ctx)
	r.Evidence.ReadAt = r.Now()
	report.Killed = r.stop()
	for _, t := range r.Evidence.Unanswered() {
		report.Unanswered = append(report.Unanswered, r.Evidence.Describe(t))
	}
	report.Verdicts = rules.Check(r.Evidence)
	report.Calls, report.CallsOver = r.Platform.Calls()
	return report
}

func (r *Run) stop() []string {
	r.stopTraffic()
	r.trafficEnded.Wait()
	killed := r.Fleet.Stop(r.Scenario.Bounds.Grace + stopSlack)
	r.Close()
	return killed
}
