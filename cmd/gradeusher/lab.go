package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"gradeusher.example/gradeusher/internal/lab"
	"gradeusher.example/gradeusher/internal/lab/plan"
)

// labCommand are the commands for experiments with real processes.
type labCommand struct {
	Run     labRunCommand     `cmd:"" help:"Run one experiment. Exit 0: all held; 1: not; 2: bad file or usage."`
	List    labListCommand    `cmd:"" help:"List the experiments of a folder, with the sentence that each states."`
	Compare labCompareCommand `cmd:"" help:"Hold two experiments, or two folders with reports, against each other."`
	Trace   labTraceCommand   `cmd:"" help:"Show what clients and servers saw of one request."`
}

type labRunCommand struct {
	File string `arg:"" help:"The experiment, a TOML file."`
	Seed uint64 `help:"Draws the fleet, the arrivals and the targets of faults." default:"1"`
	Out  string `help:"Folder for report.json, report.html and the logs of each process."`
	JSON bool   `help:"Print the report as JSON." name:"json"`
}

// childEnv is added to the environment of each process of this program that the command starts: nothing, but in tests.
var childEnv []string

// runExperimentFile runs the experiment of a file once.
func runExperimentFile(ctx context.Context, path string, seed uint64, out string) (*lab.Result, error) {
	file, err := plan.LoadFile(path)
	if err != nil {
		return nil, err
	}
	return runExperiment(ctx, file, seed, lab.Options{Out: out})
}

// runExperiment runs an experiment once.
func runExperiment(ctx context.Context, file *plan.File, seed uint64, options lab.Options) (*lab.Result, error) {
	drawn, err := plan.Make(file, seed)
	if err != nil {
		return nil, err
	}
	path, err := os.Executable()
	if err != nil {
		return nil, err
	}
	options.Self = lab.Self{Path: path, Env: childEnv}
	return lab.Run(ctx, drawn, options)
}

// Run runs the experiment, and writes and prints its report. It fails where an invariant is broken.
func (c labRunCommand) Run(ctx context.Context, stdio streams) error {
	result, err := runExperimentFile(ctx, c.File, c.Seed, c.Out)
	if err != nil {
		return err
	}
	if c.Out != "" {
		if err := lab.WriteReport(c.Out, result); err != nil {
			return err
		}
	}
	if err := c.print(stdio, result); err != nil {
		return err
	}
	if len(result.Broken()) > 0 || result.BrokenOff {
		return errReported
	}
	return nil
}

func (c labRunCommand) print(stdio streams, result *lab.Result) error {
	if !c.JSON {
		lab.Print(stdio.out, result)
		return nil
	}
	encoder := json.NewEncoder(stdio.out)
	encoder.SetIndent("", " ")
	return encoder.Encode(result)
}

type labListCommand struct {
	Folder string `arg:"" help:"Folder with experiments." default:"lab"`
	JSON   bool   `help:"Print as JSON." name:"json"`
}

// experimentLine is an experiment of the list.
type experimentLine struct {
	File   string `json:"file"`
	States string `json:"states"`
}

// Run lists the experiments of a folder.
func (c labListCommand) Run(stdio streams) error {
	lines, err := c.load()
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(stdio.out).Encode(lines)
	}
	for _, line := range lines {
		stdio.printf("%-24s %s\n", line.File, line.States)
	}
	return nil
}

func (c labListCommand) load() ([]experimentLine, error) {
	paths, err := filepath.Glob(filepath.Join(c.Folder, "*.toml"))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	if _, err := os.Stat(c.Folder); err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	lines := []experimentLine{} // encoded as an empty list, not as null
	for _, path := range paths {
		file, err := plan.LoadFile(path)
		if err != nil {
			return nil, err
		}
		lines = append(lines, experimentLine{path, file.States})
	}
	return lines, nil
}

type labCompareCommand struct {
	A      string `arg:"" help:"An experiment file, or a folder with report.json."`
	B      string `arg:"" help:"Another."`
	Repeat int    `help:"Runs of each, one after the other in turn, with rising seeds." default:"1"`
	Seed   uint64 `help:"The first seed." default:"1"`
	JSON   bool   `help:"Print as JSON." name:"json"`
}

// maxRepeats bounds the runs of each side of a comparison.
const maxRepeats = 100

// comparisonRuns are the runs of both sides of a comparison.
type comparisonRuns struct {
	a, b []*lab.Result
	void int // runs in which the lab was late
}

// Run compares. The sides run alternately, so that whatever else the machine does falls on both.
func (c labCompareCommand) Run(ctx context.Context, stdio streams) error {
	if c.Repeat < 1 || c.Repeat > maxRepeats {
		return fmt.Errorf("%w: --repeat %d is not within 1 to %d", errUsage, c.Repeat, maxRepeats)
	}
	runs, err := c.runBoth(ctx, stdio)
	if err != nil {
		return err
	}
	all, err := lab.Compare(runs.a, runs.b)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(stdio.out).Encode(all)
	}
	lab.PrintCompared(stdio.out, all)
	if runs.void > 0 {
		stdio.printf("%d runs are void: the lab was late\n", runs.void)
		return errReported
	}
	return nil
}

func (c labCompareCommand) runBoth(ctx context.Context, stdio streams) (runs comparisonRuns, err error) {
	for i := range c.Repeat {
		seed := c.Seed + uint64(i)
		for _, side := range []struct {
			path string
			to   *[]*lab.Result
		}{{c.A, &runs.a}, {c.B, &runs.b}} {
			result, err := loadOrRun(ctx, side.path, seed)
			if err != nil {
				return runs, err
			}
			if result.Void {
				runs.void++
			}
			if broken := result.Broken(); len(broken) > 0 && !c.JSON {
				stdio.printf("%s, seed %d: broken: %s\n", side.path, result.Seed, strings.Join(broken, ", "))
			}
			*side.to = append(*side.to, result)
		}
	}
	return runs, nil
}

// loadOrRun reads the report of a folder, or runs the experiment of a file.
func loadOrRun(ctx context.Context, path string, seed uint64) (*lab.Result, error) {
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		return lab.ReadReport(path)
	}
	return runExperimentFile(ctx, path, seed, "")
}

type labTraceCommand struct {
	Folder string `arg:"" help:"The folder that lab run wrote (--out)."`
	ID     string `arg:"" help:"The request, as a broken invariant names it."`
	JSON   bool   `help:"Print as JSON." name:"json"`
}

// Run prints what clients and servers recorded of the request.
func (c labTraceCommand) Run(stdio streams) error {
	all, err := lab.Trace(c.Folder, c.ID)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	if c.JSON {
		return json.NewEncoder(stdio.out).Encode(all)
	}
	lab.PrintTrace(stdio.out, all)
	return nil
}
