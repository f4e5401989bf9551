package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"gradeusher.example/gradeusher/internal/lab/soak"
	"gradeusher.example/gradeusher/internal/lab/testcluster"
)

type systemSoakCommand struct {
	Seeds string        `help:"First and last seed, as A..B."`
	Seed  uint64        `help:"First seed, with --count, in place of --seeds; 0: 1."`
	Count int           `help:"How many seeds from --seed on." default:"1"`
	For   time.Duration `help:"How long troubles go on in each seed; the fixed schedules have their own time." default:"30s"`
	Out   string        `help:"Folder for what seeds leave that broke something, and for results.jsonl; empty: a temporary one." type:"path"`
	JSON  bool          `help:"Print a JSON object a seed." name:"json"`
	Plans bool          `help:"Print the schedules, and play nothing."`
	Plan  string        `help:"Schedule of troubles: drawn from the seed, or a fixed one: a proxy that wakes, one that wakes cut off from the keepers, or two that wake." enum:"drawn,wake,wake-cut,wake-two" default:"drawn"`
	Load  float64       `help:"Traffic, as a multiple of the usual." default:"1"`
}

const (
	maxSeeds  = 10000
	maxLoad   = 4       // times the usual traffic
	drawnPlan = "drawn" // the plan that is drawn from the seed; all others are fixed
)

// seedRange are the seeds that a command plays, both ends included.
type seedRange struct{ first, last uint64 }

// Run plays the seeds one after the other. It fails where a rule was broken, and keeps what those seeds left.
func (c systemSoakCommand) Run(ctx context.Context, stdio streams) error {
	seeds, err := c.parseSeeds()
	if err != nil {
		return err
	}
	if err := c.validate(); err != nil {
		return err
	}
	if c.Plans {
		for seed := seeds.first; seed <= seeds.last; seed++ {
			printPlan(stdio, c.plan(seed, c.scenario(seed)))
		}
		return nil
	}
	root, err := c.makeRoot()
	if err != nil {
		return err
	}
	passed, err := c.playSeeds(ctx, stdio, root, seeds)
	switch temporary := c.Out == ""; {
	case err != nil:
		return err
	case temporary && passed:
		return os.RemoveAll(root)
	case !passed:
		_, _ = fmt.Fprintf(stdio.err, "kept %s\n", root) // the exit code says it too
		return errReported
	}
	return nil
}

func (c systemSoakCommand) validate() error {
	if c.For < soak.MinDuration || c.For > soak.MaxDuration {
		return fmt.Errorf("%w: --for %v is not within %v to %v", errUsage, c.For, soak.MinDuration, soak.MaxDuration)
	}
	if !(c.Load > 0 && c.Load <= maxLoad) { // NaN is neither
		return fmt.Errorf("%w: --load %v is not above 0 and up to %d", errUsage, c.Load, maxLoad)
	}
	return nil
}

// makeRoot makes the folder below which each seed has its own.
func (c systemSoakCommand) makeRoot() (string, error) {
	if c.Out == "" {
		return os.MkdirTemp("", "gradeusher-soak-")
	}
	return c.Out, os.MkdirAll(c.Out, 0o700)
}

// parseSeeds returns the seeds that the flags name.
func (c systemSoakCommand) parseSeeds() (seedRange, error) {
	switch {
	case c.Count < 1 || c.Count > maxSeeds:
		return seedRange{}, fmt.Errorf("%w: --count %d is not within 1 to %d", errUsage, c.Count, maxSeeds)
	case c.Seeds == "":
		first := max(c.Seed, 1)
		return seedRange{first, first + uint64(c.Count) - 1}, nil
	case c.Seed != 0 || c.Count != 1:
		return seedRange{}, fmt.Errorf("%w: --seeds %q goes without --seed and --count", errUsage, c.Seeds)
	}
	from, to, cut := strings.Cut(c.Seeds, "..")
	first, firstErr := strconv.ParseUint(from, 10, 32)
	last, lastErr := strconv.ParseUint(to, 10, 32)
	parsed := cut && firstErr == nil && lastErr == nil
	if !parsed || last < first || last-first >= maxSeeds {
		return seedRange{}, fmt.Errorf("%w: --seeds %q is not A..B with at most %d seeds", errUsage, c.Seeds, maxSeeds)
	}
	return seedRange{first, last}, nil
}

// scenario is the deployment of a seed, with the traffic that was asked for.
func (c systemSoakCommand) scenario(seed uint64) *testcluster.Scenario {
	scenario := soak.NewScenario(seed)
	if c.hasFixedPlan() {
		scenario = soak.NewWakeScenario(seed)
	}
	for i := range scenario.Kinds {
		scenario.Kinds[i].Rate *= c.Load
	}
	return scenario
}

// hasFixedPlan tells whether the schedule is one of those of proxies that are paused and resumed.
func (c systemSoakCommand) hasFixedPlan() bool { return c.Plan != drawnPlan }

// plan is the schedule of a seed.
func (c systemSoakCommand) plan(seed uint64, scenario *testcluster.Scenario) *soak.Plan {
	if c.hasFixedPlan() {
		return soak.Wake(seed, soak.Waking(c.Plan), scenario)
	}
	return soak.Draw(seed, c.For, scenario)
}

func printPlan(stdio streams, schedule *soak.Plan) {
	stdio.printf("seed %d: %v between regions, %d troubles, %d at once\n", schedule.Seed, schedule.Delay.Round(time.Millisecond),
		len(schedule.Faults), schedule.MaxConcurrent())
	for _, fault := range schedule.Faults {
		stdio.printf("  %v\n", fault)
	}
}

// playSeeds plays the seeds in folders of their own under root, and removes those of seeds that passed.
func (c systemSoakCommand) playSeeds(ctx context.Context, stdio streams, root string, seeds seedRange) (passed bool, err error) {
	programs, err := findSystemPrograms(ctx, root)
	if err != nil {
		return false, err
	}
	passed = true
	for seed := seeds.first; seed <= seeds.last && ctx.Err() == nil; seed++ {
		result, err := c.playSeed(ctx, root, programs, seed)
		if err != nil {
			return false, err
		}
		if err := c.report(stdio, root, result); err != nil {
			return false, err
		}
		if !result.Passed() {
			passed = false
		} else if err := os.RemoveAll(seedFolder(root, seed)); err != nil {
			return false, err
		}
	}
	return passed, ctx.Err()
}

func seedFolder(root string, seed uint64) string {
	return filepath.Join(root, fmt.Sprintf("seed-%d", seed))
}

func (c systemSoakCommand) playSeed(ctx context.Context, root string, programs systemPrograms, seed uint64) (*soak.Result, error) {
	folder := seedFolder(root, seed)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	scenario := c.scenario(seed)
	return soak.Play(ctx, soak.Options{Proxy: programs.proxy, ControlPlane: programs.controlPlane, Folder: folder, Plan: c.plan(seed, scenario), Scenario: scenario})
}

// report prints a result and appends it to the results of the folder.
func (c systemSoakCommand) report(stdio streams, root string, result *soak.Result) error {
	line, err := json.Marshal(result)
	if err != nil {
		return err
	}
	if c.JSON {
		stdio.printf("%s\n", line)
	} else {
		stdio.println(result)
		for _, broken := range result.Broken {
			stdio.printf("seed %d: %s\n", result.Seed, broken)
		}
	}
	return appendLine(filepath.Join(root, "results.jsonl"), line)
}

func appendLine(path string, line []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // the write's error counts
	_, err = fmt.Fprintf(file, "%s\n", line)
	return err
}
