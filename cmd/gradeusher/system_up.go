package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/lab/testcluster"
)

type systemUpCommand struct {
	For  time.Duration `help:"How long it runs; at most an hour." default:"1h"`
	Rate float64       `help:"Requests a second in all." default:"30"`
	Seed uint64        `help:"Draws arrivals." default:"1"`
	Tour bool          `help:"Have troubles happen in turn: keepers and proxies end and start, routes come and go, servers drain, a zone is evacuated."`
	Keep bool          `help:"Keep the folder with settings, disks and logs."`
}

const (
	minUp     = time.Second
	maxUp     = time.Hour
	maxUpRate = 500 // requests a second
)

func (c systemUpCommand) validate() error {
	if c.For < minUp || c.For > maxUp {
		return fmt.Errorf("%w: --for %v is not within 1s to 1h", errUsage, c.For)
	}
	if !(c.Rate > 0 && c.Rate <= maxUpRate) { // NaN is neither
		return fmt.Errorf("%w: --rate %v is not above 0 and at most %d", errUsage, c.Rate, maxUpRate)
	}
	return nil
}

// Run starts everything, prints a line a second, and ends it when the time is over or on an interrupt.
func (c systemUpCommand) Run(ctx context.Context, stdio streams) error {
	if err := c.validate(); err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "gradeusher-system-")
	if err != nil {
		return err
	}
	keep := c.Keep
	defer func() {
		if keep {
			stdio.printf("kept     %s\n", folder)
		} else {
			_ = os.RemoveAll(folder) // what stays is in the folder for temporary files
		}
	}()
	programs, err := findSystemPrograms(ctx, folder)
	if err != nil {
		return err
	}
	run, err := testcluster.Up(ctx, testcluster.UpOptions{Proxy: programs.proxy, ControlPlane: programs.controlPlane, Folder: folder, Rate: c.Rate, Seed: c.Seed})
	if err != nil {
		keep = true
		return err
	}
	if !c.play(ctx, stdio, run) {
		keep = true
		return errReported
	}
	return nil
}

// play prints the deployment, its traffic and the report at the end. It reports whether all went well.
func (c systemUpCommand) play(ctx context.Context, stdio streams, run *testcluster.Run) (good bool) {
	for _, line := range run.Lines() {
		stdio.println(line)
	}
	ctx, cancel := context.WithTimeout(ctx, c.For)
	defer cancel()
	var mu sync.Mutex // the tour and the seconds print side by side
	printLine := func(line string) {
		mu.Lock()
		defer mu.Unlock()
		stdio.println(line)
	}
	var tourErr error
	if c.Tour {
		run.Meanwhile(func() { tourErr = run.FaultTour(ctx, c.Seed, func(name string) { printLine("trouble: " + name) }) })
	}
	report := run.Play(ctx, func(second testcluster.Second) { printLine(second.String()) })
	for _, line := range report.Lines() {
		stdio.println(line)
	}
	if tourErr != nil {
		stdio.printf("the tour stopped: %v\n", tourErr)
	}
	return report.Good() && tourErr == nil
}

// systemPrograms are the paths of the system's programs.
type systemPrograms struct{ proxy, controlPlane string }

func systemProgramsIn(folder string) systemPrograms {
	return systemPrograms{proxy: filepath.Join(folder, "proxy"), controlPlane: filepath.Join(folder, "controlplane")}
}

func (p systemPrograms) built() bool { return isProgram(p.proxy) && isProgram(p.controlPlane) }

// findSystemPrograms finds the system's programs beside this one or in target/. A program that `go run` has made lies in a
// temporary folder without them: then they are built into folder.
func findSystemPrograms(ctx context.Context, folder string) (systemPrograms, error) {
	self, err := os.Executable()
	if err != nil {
		return systemPrograms{}, err
	}
	for _, place := range []string{filepath.Dir(self), "target"} {
		if !systemProgramsIn(place).built() {
			continue
		}
		absolute, err := filepath.Abs(place)
		return systemProgramsIn(absolute), err
	}
	build := exec.CommandContext(ctx, "go", "build", "-o", folder+string(filepath.Separator), "./cmd/proxy", "./cmd/controlplane")
	if out, err := build.CombinedOutput(); err != nil {
		return systemPrograms{}, fmt.Errorf("the system's programs are neither beside %s nor in target/ and do not build: run this at the repository's root (%w: %s)",
			self, err, strings.TrimSpace(string(out)))
	}
	return systemProgramsIn(folder), nil
}

func isProgram(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Mode().IsRegular() && info.Mode()&0o111 != 0
}
