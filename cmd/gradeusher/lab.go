package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"gradeusher.example/gradeusher/internal/lab"
	"gradeusher.example/gradeusher/internal/lab/plan"
)

type labCommand struct {
	Run  labRun  `cmd:"" help:"Run one experiment. Exit 0: all held; 1: not; 2: bad file or usage."`
	List labList `cmd:"" help:"List the experiments of a folder, with the sentence that each states."`
}

type labRun struct {
	File string `arg:"" help:"The experiment, a TOML file."`
	Seed uint64 `help:"Draws the fleet, the arrivals and the targets of faults." default:"1"`
	Out  string `help:"Folder for report.json, report.html and the logs of each process."`
	JSON bool   `help:"Print the report as JSON." name:"json"`
}

// self is how the command starts itself as another process.
func self() (lab.Self, error) {
	path, err := os.Executable()
	return lab.Self{Path: path}, err
}

// Run runs it.
func (c labRun) Run(ctx context.Context, s streams) error {
	f, err := plan.LoadFile(c.File)
	if err != nil {
		return err
	}
	p, err := plan.Make(f, c.Seed)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	me, err := self()
	if err != nil {
		return err
	}
	r, err := lab.Run(ctx, p, lab.Options{Self: me, Out: c.Out})
	if err != nil {
		return err
	}
	if c.Out != "" {
		if err := lab.WriteReport(c.Out, r); err != nil {
			return err
		}
	}
	if c.JSON {
		d := json.NewEncoder(s.out)
		d.SetIndent("", " ")
		if err := d.Encode(r); err != nil {
			return err
		}
	} else {
		lab.Print(s.out, r)
	}
	if len(r.Broken()) > 0 || r.BrokenOff {
		return errBroken
	}
	return nil
}

type labList struct {
	Folder string `arg:"" help:"Folder with experiments." default:"lab"`
	JSON   bool   `help:"Print as JSON." name:"json"`
}

// Run lists them.
func (c labList) Run(s streams) error {
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
		return json.NewEncoder(s.out).Encode(lines)
	}
	for _, l := range lines {
		fmt.Fprintf(s.out, "%-24s %s\n", l.File, l.States)
	}
	return nil
}
