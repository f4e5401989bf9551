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
	Name         string          `json:"name"`           // of the file
	States       string          `json:"states"`         // the claim that the experiment tests
	Seed         uint64          `json:"seed"`           // of the plan
	Seconds      float64         `json:"seconds"`        // duration of the load
	ArrivalsHash string          `json:"arrivals_hash"`  // plan.Plan.ArrivalsHash
	StepsHash    string          `json:"steps_hash"`     // plan.Plan.StepsHash
	Servers      int             `json:"servers"`        // that ran at the start
	Sidecars     int             `json:"sidecars"`       // with those that joined later
	Rate         float64         `json:"requests_per_s"` // mean of the load
	Void         bool            `json:"void"`           // the lab sent too late for the result to count
	BrokenOff    bool            `json:"broken_off,omitempty"`
	Verdicts     []check.Verdict `json:"verdicts"` // of the invariants, and then of the file's bars
	Figures      check.Figures   `json:"figures"`
	Course       []check.Second  `json:"course"` // by second of the load
	Bands        []Band          `json:"bands"`
	Effects      []Effect        `json:"effects"`
	Peaks        []check.Peak    `json:"peaks"` // by index of the sidecar
	Exits        []proc.Exit     `json:"exits"`
	Machine      Machine         `json:"machine"`
}

// Band is the period of a fault, in seconds from the start of the load.
type Band struct {
	Says string  `json:"says"` // the fault and its targets
	From float64 `json:"from"`
	To   float64 `json:"to"`
}

// Machine is where an experiment ran.
type Machine struct {
	Cores int    `json:"cores"`
	Go    string `json:"go"` // version
}

// Broken are the names of the invariants and bars that were broken.
func (r *Result) Broken() []string { return check.Names(r.Verdicts, check.Broken) }

// NotSeen are the names of the checks that had nothing to look at.
func (r *Result) NotSeen() []string { return check.Names(r.Verdicts, check.NotSeen) }

// Held returns how many checks held, and how many had something to look at.
func (r *Result) Held() (held, of int) {
	held = len(check.Names(r.Verdicts, check.Passed))
	return held, held + len(r.Broken())
}

// Options say how an experiment runs. The functions are called from goroutines of the experiment, which wait for them.
type Options struct {
	Self Self
	Out  string       // folder for the processes' logs, the clients' and the servers' records; "": none is kept
	Tick func(Second) // called once a second of the load; nil: nobody asks
	Up   func(*Fleet) // called when all processes are ready, before the load starts; nil: nobody asks
}

// Second are the numbers of requests from the start of the load until a time of it.
type Second struct {
	At       time.Duration `json:"at_ns"` // from the start of the load
	Requests int64         `json:"requests"`
	Served   int64         `json:"served"`
	Refused  int64         `json:"refused"`
	Failed   int64         `json:"failed"`
	Open     int64         `json:"open"` // that wait for a response at this time
}

const startDelay = 300 * time.Millisecond // from all being ready to the start of the load

// Run runs a plan's experiment, and before it the same without floods where the file asks for a twin; Tick and Up are called for the
// experiment alone. When ctx is done, the experiment ends early, and the result says so (BrokenOff). No process, port or temporary folder
// is left behind, unless the error is ErrNotRemoved. The error is a *plan.Error where this machine cannot play the plan; else it is of
// the system or of this package.
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
	evidence.WithoutFloods = twin
	if twin != nil {
		evidence.Lateness = max(evidence.Lateness, twin.Lateness) // nothing can be compared with a twin that was late
	}
	result := newResult(experiment, evidence)
	result.Effects, result.BrokenOff = effects, ctx.Err() != nil
	return result, nil
}

// run starts the fleet of a plan in a temporary folder, plays the plan once, and removes the folder.
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

// play sends the load, applies the plan's steps, ends all processes and reads what they recorded. It fails where the lab itself did (Err).
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

// checkPossible refuses a plan that this machine cannot play, before anything starts. The error is a *plan.Error, or one of the system.
func checkPossible(experiment *plan.Plan) error {
	makesReadOnly := func(step plan.Step) bool { return step.Do == plan.Disk && step.Mode == plan.ModeDiskReadOnly }
	if !slices.ContainsFunc(experiment.Steps, makesReadOnly) {
		return nil
	}
	root, err := os.MkdirTemp("", "gradeusher-lab-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(root) }() // an empty folder of the system's temporary files
	if err := proc.CheckReadOnly(root); err != nil {
		return &plan.Error{File: experiment.File.Path, What: "disk-readonly is not possible in " + os.TempDir() + ": " + err.Error()}
	}
	return nil
}

// watch samples the processes and hands out live figures once a second of the load, until ctx is done.
func (f *Fleet) watch(ctx context.Context, clients *load.Clients, start int64, tick func(Second)) {
	live := &clients.Live
	for at := time.Second; waitUntil(ctx, start+int64(at)); at += time.Second {
		f.Sample()
		if tick == nil {
			continue
		}
		tick(Second{At: at, Requests: live.Requests.Load(), Served: live.Served.Load(), Refused: live.Refused.Load(),
			Failed: live.Failed.Load(), Open: live.Open.Load()})
	}
}

const onTimeInvariant = "lab-on-time" // without which a run is void, see plan.Invariants

// newResult checks the evidence of a plan and measures its figures.
func newResult(experiment *plan.Plan, evidence *check.Evidence) *Result {
	file := experiment.File
	result := &Result{Name: file.Name, States: file.States, Seed: experiment.Seed, Seconds: file.Seconds, ArrivalsHash: experiment.ArrivalsHash,
		StepsHash: experiment.StepsHash, Servers: experiment.InitialServers, Sidecars: len(experiment.Sidecars), Rate: experiment.Rate(),
		Peaks: evidence.Peaks, Exits: evidence.Exits, Machine: Machine{runtime.NumCPU(), runtime.Version()}}
	result.Verdicts = check.Invariants(evidence)
	result.Figures, result.Course = check.Measure(evidence)
	result.Verdicts = append(result.Verdicts, check.Bars(evidence, result.Figures)...)
	for _, verdict := range result.Verdicts {
		late := verdict.Name == onTimeInvariant && verdict.Broken > 0
		result.Void = result.Void || late
	}
	for _, band := range experiment.Bands {
		result.Bands = append(result.Bands, Band{band.Says, band.From.Seconds(), band.To.Seconds()})
	}
	return result
}
