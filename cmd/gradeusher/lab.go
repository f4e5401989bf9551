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

// childEnv is what the command is told besides when it starts itself as another process: nothing, but in tests.
var childEnv []string

// runExperimentFile runs a file once.
func runExperimentFile(ctx context.Context, file string, seed uint64, out string) (*lab.Result, error) {
	f, err := plan.LoadFile(file)
	if err != nil {
		return nil, err
	}
	return runExperiment(ctx, f, seed, lab.Options{Out: out})
}

// runExperiment runs what a file says once.
func runExperiment(ctx context.Context, f *plan.File, seed uint64, o lab.Options) (*lab.Result, error) {
	p, err := plan.Make(f, seed)
	if err != nil {
		return nil, err
	}
	path, err := os.Executable()
	if err != nil {
		return nil, err
	}
	o.Self = lab.Self{Path: path, Env: childEnv}
	return lab.Run(ctx, p, o)
}

// Run runs it.
func (c labRunCommand) Run(ctx context.Context, stdio streams) error {
	r, err := runExperimentFile(ctx, c.File, c.Seed, c.Out)
	if err != nil {
		return err
	}
	if c.Out != "" {
		if err := lab.WriteReport(c.Out, r); err != nil {
			return err
		}
	}
	if c.JSON {
		d := json.NewEncoder(stdio.out)
		d.SetIndent("", " ")
		if err := d.Encode(r); err != nil {
			return err
		}
	} else {
		lab.Print(stdio.out, r)
	}
	if len(r.Broken()) > 0 || r.BrokenOff {
		return errReported
	}
	return nil
}

type labListCommand struct {
	Folder string `arg:"" help:"Folder with experiments." default:"lab"`
	JSON   bool   `help:"Print as JSON." name:"json"`
}

// Run lists them.
func (c labListCommand) Run(stdio streams) error {
	paths, err := filepath.Glob(filepath.Join(c.Folder, "*.toml"))
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	if _, err := os.Stat(c.Folder); err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	type line struct {
		File   string `json:"file"`
		States string `json:"states"`
	}
	lines := []line{}
	for _, path := range paths {
		f, err := plan.LoadFile(path)
		if err != nil {
			return err
		}
		lines = append(lines, line{path, f.States})
	}
	if c.JSON {
		return json.NewEncoder(stdio.out).Encode(lines)
	}
	for _, l := range lines {
		fmt.Fprintf(stdio.out, "%-24s %s\n", l.File, l.States)
	}
	return nil
}

type labCompareCommand struct {
	A      string `arg:"" help:"An experiment file, or a folder with report.json."`
	B      string `arg:"" help:"Another."`
	Repeat int    `help:"Runs of each, one after the other in turn, with rising seeds." default:"1"`
	Seed   uint64 `help:"The first seed." default:"1"`
	JSON   bool   `help:"Print as JSON." name:"json"`
}

const maxRepeats = 100

// Run compares. Files are run in turn, so that whatever else the machine does falls on both.
func (c labCompareCommand) Run(ctx context.Context, stdio streams) error {
	if c.Repeat < 1 || c.Repeat > maxRepeats {
		return fmt.Errorf("%w: --repeat %d is not within 1 to %d", errUsage, c.Repeat, maxRepeats)
	}
	get := func(path string, seed uint64) (*lab.Result, error) {
		if info, err := os.Stat(path); err == nil && info.IsDir() {
			return lab.ReadReport(path)
		}
		return runExperimentFile(ctx, path, seed, "")
	}
	var a, b []*lab.Result
	void := 0
	for i := range c.Repeat {
		for _, side := range []struct {
			path string
			to   *[]*lab.Result
		}{{c.A, &a}, {c.B, &b}} {
			r, err := get(side.path, c.Seed+uint64(i))
			if err != nil {
				return err
			}
			if r.Void {
				void++
			}
			if broken := r.Broken(); len(broken) > 0 && !c.JSON {
				fmt.Fprintf(stdio.out, "%s, seed %d: broken: %s\n", side.path, r.Seed, strings.Join(broken, ", "))
			}
			*side.to = append(*side.to, r)
		}
	}
	all, err := lab.Compare(a, b)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(stdio.out).Encode(all)
	}
	lab.PrintCompared(stdio.out, all)
	if void > 0 {
		fmt.Fprintf(stdio.out, "%d runs are void: the lab was late\n", void)
		return errReported
	}
	return nil
}

type labTraceCommand struct {
	Folder string `arg:"" help:"The folder that lab run wrote (--out)."`
	ID     string `arg:"" help:"The request, as a broken invariant names it."`
	JSON   bool   `help:"Print as JSON." name:"json"`
}

// Run shows it.
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
