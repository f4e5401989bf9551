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

// Run starts everything, prints a line a second, and ends it when the time is over or on an interrupt.
func (c systemUpCommand) Run(ctx context.Context, stdio streams) error {
	if c.For < time.Second || c.For > time.Hour {
		return fmt.Errorf("%w: --for %v is not within 1s to 1h", errUsage, c.For)
	}
	if !(c.Rate > 0 && c.Rate <= 500) {
		return fmt.Errorf("%w: --rate %v is not above 0 and at most 500", errUsage, c.Rate)
	}
	folder, err := os.MkdirTemp("", "gradeusher-system-")
	if err != nil {
		return err
	}
	keep := c.Keep
	defer func() {
		if keep {
			fmt.Fprintf(stdio.out, "kept     %s\n", folder)
		} else {
			_ = os.RemoveAll(folder) // what stays is in the folder for temporary files
		}
	}()
	proxy, keeper, err := systemPrograms(ctx, folder)
	if err != nil {
		return err
	}
	run, err := testcluster.Up(ctx, testcluster.UpOptions{Proxy: proxy, Keeper: keeper, Folder: folder, Rate: c.Rate, Seed: c.Seed})
	if err != nil {
		keep = true
		return err
	}
	for _, line := range run.Lines() {
		fmt.Fprintln(stdio.out, line)
	}
	ctx, cancel := context.WithTimeout(ctx, c.For)
	defer cancel()
	var mu sync.Mutex
	say := func(line string) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintln(stdio.out, line)
	}
	var stopped error
	if c.Tour {
		run.Meanwhile(func() { stopped = run.Tour(ctx, c.Seed, func(name string) { say("trouble: " + name) }) })
	}
	report := run.Play(ctx, func(n testcluster.Second) { say(n.String()) })
	for _, line := range report.Lines() {
		fmt.Fprintln(stdio.out, line)
	}
	if stopped != nil {
		fmt.Fprintf(stdio.out, "the tour stopped: %v\n", stopped)
	}
	if !report.Good() || stopped != nil {
		keep = true
		return errReported
	}
	return nil
}

// systemPrograms finds the system's programs beside this one or in target/. A program that `go run` has made lies in a
// temporary folder without them: then they are built.
func systemPrograms(ctx context.Context, folder string) (proxy, controlPlane string, err error) {
	self, err := os.Executable()
	if err != nil {
		return "", "", err
	}
	for _, at := range []string{filepath.Dir(self), "target"} {
		if isProgram(filepath.Join(at, "proxy")) && isProgram(filepath.Join(at, "controlplane")) {
			if at, err = filepath.Abs(at); err != nil {
				return "", "", err
			}
			return filepath.Join(at, "proxy"), filepath.Join(at, "controlplane"), nil
		}
	}
	build := exec.CommandContext(ctx, "go", "build", "-o", folder+string(filepath.Separator), "./cmd/proxy", "./cmd/controlplane")
	if out, err := build.CombinedOutput(); err != nil {
		return "", "", fmt.Errorf("the system's programs are neither beside %s nor in target/ and do not build: run this at the repository's root (%w: %s)",
			self, err, strings.TrimSpace(string(out)))
	}
	return filepath.Join(folder, "proxy"), filepath.Join(folder, "controlplane"), nil
}

func isProgram(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Mode().IsRegular() && info.Mode()&0o111 != 0
}
