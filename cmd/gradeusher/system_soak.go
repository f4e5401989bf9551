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
	maxLoad   = 4
	drawnPlan = "drawn"
)

// Run plays the seeds one after the other.
func (c systemSoakCommand) Run(ctx context.Context, stdio streams) error {
	first, last, err := c.seedRange()
	if err != nil {
		return err
	}
	if c.For < soak.Shortest || c.For > soak.Longest {
		return fmt.Errorf("%w: --for %v is not within %v to %v", errUsage, c.For, soak.Shortest, soak.Longest)
	}
	if !(c.Load > 0 && c.Load <= maxLoad) { // NaN is neither
		return fmt.Errorf("%w: --load %v is not above 0 and up to %d", errUsage, c.Load, maxLoad)
	}
	if c.Plans {
		for seed := first; seed <= last; seed++ {
			printPlan(stdio, c.plan(seed, c.scenario(seed)))
		}
		return nil
	}
	root, temporary := c.Out, c.Out == ""
	if temporary {
		if root, err = os.MkdirTemp("", "gradeusher-soak-"); err != nil {
			return err
		}
	} else if err := os.MkdirAll(root, 0o700); err != nil {
		return err
	}
	held, err := c.playSeeds(ctx, stdio, root, first, last)
	switch {
	case temporary && held && err == nil:
		return os.RemoveAll(root)
	case err != nil:
		return err
	case !held:
		fmt.Fprintf(stdio.err, "kept %s\n", root)
		return errReported
	}
	return nil
}

// seedRange gives the first and the last.
func (c systemSoakCommand) seedRange() (first, last uint64, err error) {
	switch {
	case c.Count < 1 || c.Count > maxSeeds:
		return 0, 0, fmt.Errorf("%w: --count %d is not within 1 to %d", errUsage, c.Count, maxSeeds)
	case c.Seeds == "":
		first = max(c.Seed, 1)
		return first, first + uint64(c.Count) - 1, nil
	case c.Seed != 0 || c.Count != 1:
		return 0, 0, fmt.Errorf("%w: --seeds %q goes without --seed and --count", errUsage, c.Seeds)
	}
	from, to, ok := strings.Cut(c.Seeds, "..")
	first, err1 := strconv.ParseUint(from, 10, 32)
	last, err2 := strconv.ParseUint(to, 10, 32)
	if !ok || err1 != nil || err2 != nil || last < first || last-first >= maxSeeds {
		return 0, 0, fmt.Errorf("%w: --seeds %q is not A..B with at most %d seeds", errUsage, c.Seeds, maxSeeds)
	}
	return first, last, nil
}

// scenario is that of a seed, with the traffic asked for.
func (c systemSoakCommand) scenario(seed uint64) *testcluster.Scenario {
	scene := soak.Scene(seed)
	if c.hasFixedPlan() {
		scene = soak.WakeScene(seed)
	}
	for i := range scene.Kinds {
		scene.Kinds[i].Rate *= c.Load
	}
	return scene
}

// hasFixedPlan tells whether the schedule is that of a proxy that wakes.
func (c systemSoakCommand) hasFixedPlan() bool { return c.Plan != drawnPlan }

// plan is the schedule of a seed.
func (c systemSoakCommand) plan(seed uint64, scene *testcluster.Scenario) *soak.Plan {
	if c.hasFixedPlan() {
		return soak.Wake(seed, soak.Waking(c.Plan), scene)
	}
	return soak.Draw(seed, c.For, scene)
}

func printPlan(stdio streams, p *soak.Plan) {
	fmt.Fprintf(stdio.out, "seed %d: %v between regions, %d troubles, %d at once\n", p.Seed, p.Delay.Round(time.Millisecond), len(p.Troubles), p.AtOnce())
	for _, t := range p.Troubles {
		fmt.Fprintf(stdio.out, "  %v\n", t)
	}
}

// playSeeds plays the seeds in folders of their own under root, and removes those of seeds that held.
func (c systemSoakCommand) playSeeds(ctx context.Context, stdio streams, root string, first, last uint64) (held bool, err error) {
	proxy, keeper, err := systemPrograms(ctx, root)
	if err != nil {
		return false, err
	}
	held = true
	for seed := first; seed <= last && ctx.Err() == nil; seed++ {
		folder := filepath.Join(root, fmt.Sprintf("seed-%d", seed))
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return false, err
		}
		scene := c.scenario(seed)
		r, err := soak.Play(ctx, soak.Options{Proxy: proxy, Keeper: keeper, Folder: folder, Plan: c.plan(seed, scene), Scene: scene})
		if err != nil {
			return false, err
		}
		if err := c.report(stdio, root, r); err != nil {
			return false, err
		}
		if !r.Held() {
			held = false
		} else if err := os.RemoveAll(folder); err != nil {
			return false, err
		}
	}
	return held, ctx.Err()
}

// report prints a result and adds it to the results of the folder.
func (c systemSoakCommand) report(stdio streams, root string, r *soak.Result) error {
	line, err := json.Marshal(r)
	if err != nil {
		return err
	}
	if c.JSON {
		fmt.Fprintf(stdio.out, "%s\n", line)
	} else {
		fmt.Fprintln(stdio.out, r)
		for _, b := range r.Broken {
			fmt.Fprintf(stdio.out, "seed %d: %s\n", r.Seed, b)
		}
	}
	f, err := os.OpenFile(filepath.Join(root, "results.jsonl"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	_, err = fmt.Fprintf(f, "%s\n", line)
	return err
}
