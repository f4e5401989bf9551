package lab

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"gradeusher.example/gradeusher/internal/lab/check"
	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/load"
	"gradeusher.example/gradeusher/internal/lab/plan"
	"gradeusher.example/gradeusher/internal/lab/proc"
)

// Result is what an experiment showed. It is the content of report.json.
type Result struct {
	Name         string          `json:"name"`
	States       string          `json:"states"`
	Seed         uint64          `json:"seed"`
	Seconds      float64         `json:"seconds"`
	ArrivalsHash string          `json:"arrivals_hash"`
	StepsHash    string          `json:"steps_hash"`
	Servers      int             `json:"servers"`
	Sidecars     int             `json:"sidecars"`
	Rate         float64         `json:"requests_per_s"`
	Void         bool            `json:"void"`
	BrokenOff    bool            `json:"broken_off,omitempty"`
	Verdicts     []check.Verdict `json:"verdicts"`
	Figures      check.Figures   `json:"figures"`
	Course       []check.Second  `json:"course"`
	Bands        []Band          `json:"bands"`
	Effects      []Effect        `json:"effects"`
	Peaks        []check.Peak    `json:"peaks"`
	Exits        []proc.Exit     `json:"exits"`
	Machine      Machine         `json:"machine"`
}

// Band is a fault on the time axis, in seconds from the start of the load.
type Band struct {
	Says string  `json:"says"`
	From float64 `json:"from"`
	To   float64 `json:"to"`
}

// Machine is where it ran.
type Machine struct {
	Cores int    `json:"cores"`
	Go    string `json:"go"`
}

// Broken are the names of what was broken.
func (r *Result) Broken() []string { return check.Names(r.Verdicts, check.Broken) }

// NotSeen are the names of the checks that had nothing to look at.
func (r *Result) NotSeen() []string { return check.Names(r.Verdicts, check.NotSeen) }

// Held returns how many checks held, and how many had something to look at.
func (r *Result) Held() (held, of int) {
	held = len(check.Names(r.Verdicts, check.Passed))
	return held, held + len(r.Broken())
}

// Options say how an experiment runs.
type Options struct {
	Self Self
	Out  string       // folder for the processes' logs, the clients' and the servers' records; "": none is kept
	Tick func(Second) // called once a second of the load, if set
	Up   func(*Fleet) // called when the load starts, if set
}

// Second are live figures, counted from the start of the load.
type Second struct {
	At       time.Duration `json:"at_ns"`
	Requests int64         `json:"requests"`
	Served   int64         `json:"served"`
	Refused  int64         `json:"refused"`
	Failed   int64         `json:"failed"`
	Open     int64         `json:"open"`
}

const startDelay = 300 * time.Millisecond // from all being ready to the start of the load

// Run runs a plan's experiment, and before it the same without floods, if the file wants that; Tick and Up are called for the experiment
// alone. When ctx is done, it ends early; whatever happens, no process, port or temporary folder is left behind.
func Run(ctx context.Context, experiment *plan.Plan, options Options) (*Result, error) {
	if err := checkPossible(experiment); err != nil {
		return nil, err
	}
	var twin *check.Evidence
	if experiment.File.Hitters.Twin {
		calm, err := experiment.WithoutFloods()
		if err != nil {
			return nil, err
		}
		if twin, _, err = run(ctx, calm, Options{Self: options.Self}); err != nil {
			return nil, fmt.Errorf("without floods: %w", err)
		}
		if err := ctx.Err(); err != nil {
			return nil, fmt.Errorf("without floods: %w", err)
		}
	}
	evidence, effects, err := run(ctx, experiment, options)
	if err != nil {
		return nil, err
	}
	if evidence.WithoutFloods = twin; twin != nil {
		evidence.Lateness = max(evidence.Lateness, twin.Lateness) // a late one is nothing to compare with
	}
	r := result(experiment, evidence)
	r.Effects, r.BrokenOff = effects, ctx.Err() != nil
	return r, nil
}

// run plays a plan once.
func run(ctx context.Context, experiment *plan.Plan, options Options) (evidence *check.Evidence, effects []Effect, err error) {
	work, err := os.MkdirTemp("", "gradeusher-lab-")
	if err != nil {
		return nil, nil, err
	}
	cleanUp, err := startJanitor(options.Self, work)
	if err != nil {
		return nil, nil, errors.Join(err, os.RemoveAll(work))
	}
	defer func() {
		if cleanUpErr := cleanUp(); err == nil {
			err = cleanUpErr
		}
	}()
	logs := filepath.Join(work, "logs")
	if options.Out != "" {
		logs = filepath.Join(options.Out, "logs")
	}
	if err := os.MkdirAll(logs, 0o700); err != nil {
		return nil, nil, err
	}
	fleet, err := StartFleet(ctx, experiment, options.Self, work, logs)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", experiment.File.Name, err)
	}
	defer fleet.Close()
	evidence, effects, err = fleet.play(ctx, options)
	if err != nil {
		return nil, nil, err
	}
	if options.Out != "" {
		if err := saveRecords(options.Out, evidence, work); err != nil {
			return nil, nil, err
		}
	}
	return evidence, effects, nil
}

// play sends the load, applies the plan's steps, ends all processes and reads what they recorded.
func (f *Fleet) play(ctx context.Context, options Options) (evidence *check.Evidence, effects []Effect, err error) {
	clients := &load.Clients{Plan: f.plan, Addresses: f.Addresses(), Slack: plan.Millis(f.plan.File.Limits.AnswerSlackMS),
		SendDelay: plan.Millis(f.plan.File.Load.SendDelayMS)}
	start := clock.Now() + int64(startDelay)
	if options.Up != nil {
		options.Up(f)
	}
	evidence = &check.Evidence{Plan: f.plan, Start: start}
	over, stop := context.WithCancel(ctx)
	defer stop()
	var tasks errgroup.Group
	tasks.Go(func() error {
		effects = f.Steps(over, start)
		return nil
	})
	tasks.Go(func() error {
		f.watch(over, clients, start, options.Tick)
		return nil
	})
	f.startRegistryClients(ctx, over, &tasks, start)
	evidence.ClientAttempts = clients.Run(ctx, start)
	waitUntil(ctx, start+int64(plan.Seconds(f.plan.File.Seconds)))
	f.Sample()
	stop()
	if err := tasks.Wait(); err != nil {
		return nil, nil, err
	}
	if f.registry != nil {
		evidence.Last = f.registry.awaitWatchers(ctx)
	}
	evidence.Kills = f.registryKills(effects, start)
	f.Finish()
	f.Close()
	if err := f.Err(); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", f.plan.File.Name, err)
	}
	if err := f.readEvidence(evidence); err != nil {
		return nil, nil, err
	}
	return evidence, effects, nil
}

// startRegistryClients starts the tasks that write entries and routes, if the plan has any, until over is done.
func (f *Fleet) startRegistryClients(ctx, over context.Context, tasks *errgroup.Group, start int64) {
	if f.writers != nil {
		tasks.Go(func() error {
			finalReads, cancel := cancelAfter(ctx, over, finalReadTimeout)
			defer cancel()
			f.writers.run(finalReads, over, start)
			return nil
		})
	}
	if f.routes != nil {
		tasks.Go(func() error {
			f.routes.run(over, start)
			return nil
		})
	}
}

// registryKills are the times at which registry nodes were killed by faults, in ns of the lab's clock.
func (f *Fleet) registryKills(effects []Effect, start int64) (kills []int64) {
	for _, effect := range effects {
		fault := f.plan.File.Faults[effect.Fault]
		if fault.Do == plan.FaultKill && fault.On == plan.TargetRegistry && effect.Do == plan.Kill {
			kills = append(kills, start+int64(effect.Seen*1e9))
		}
	}
	return kills
}

// cancelAfter derives a context from ctx that ends a time after over has: whatever waits for registry nodes that are gone ends with it
// together, not one wait after the other. cancel ends it at once.
func cancelAfter(ctx, over context.Context, after time.Duration) (bounded context.Context, cancel func()) {
	bounded, end := context.WithCancel(ctx)
	stop := context.AfterFunc(over, func() {
		timer := time.NewTimer(after)
		defer timer.Stop()
		select {
		case <-timer.C:
			end()
		case <-bounded.Done():
		}
	})
	return bounded, func() { stop(); end() }
}

// checkPossible refuses a plan that this machine cannot play, before anything starts. The error is a *plan.Error.
func checkPossible(p *plan.Plan) error {
	if !slices.ContainsFunc(p.Steps, func(s plan.Step) bool { return s.Do == plan.Disk && s.Mode == plan.ModeDiskReadOnly }) {
		return nil
	}
	root, err := os.MkdirTemp("", "gradeusher-lab-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(root) }() // an empty folder of the system's temporary files
	if err := proc.CheckReadOnly(root); err != nil {
		return &plan.Error{File: p.File.Path, What: "disk-readonly is not possible in " + os.TempDir() + ": " + err.Error()}
	}
	return nil
}

// watch samples the processes and hands out live figures once a second.
func (f *Fleet) watch(ctx context.Context, c *load.Clients, start int64, tell func(Second)) {
	for n := int64(1); waitUntil(ctx, start+n*int64(time.Second)); n++ {
		f.Sample()
		if tell != nil {
			tell(Second{time.Duration(n) * time.Second, c.Live.Requests.Load(), c.Live.Served.Load(), c.Live.Refused.Load(),
				c.Live.Failed.Load(), c.Live.Open.Load()})
		}
	}
}

func result(p *plan.Plan, e *check.Evidence) *Result {
	r := &Result{Name: p.File.Name, States: p.File.States, Seed: p.Seed, Seconds: p.File.Seconds, ArrivalsHash: p.ArrivalsHash,
		StepsHash: p.StepsHash, Servers: p.InitialServers, Sidecars: len(p.Sidecars), Rate: p.Rate(), Peaks: e.Peaks, Exits: e.Exits,
		Machine: Machine{runtime.NumCPU(), runtime.Version()}}
	r.Verdicts = check.Invariants(e)
	r.Figures, r.Course = check.Measure(e)
	r.Verdicts = append(r.Verdicts, check.Bars(e, r.Figures)...)
	for _, v := range r.Verdicts {
		r.Void = r.Void || v.Name == "lab-on-time" && v.Broken > 0
	}
	for _, b := range p.Bands {
		r.Bands = append(r.Bands, Band{b.Says, b.From.Seconds(), b.To.Seconds()})
	}
	return r
}
