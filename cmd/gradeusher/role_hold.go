package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/singleton"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

type roleHoldCommand struct {
	Keepers string        `help:"Addresses of keepers, with commas." env:"GRADEUSHER_KEEPERS" required:""`
	Name    string        `arg:"" help:"The duty."`
	Command []string      `arg:"" help:"What to run, after --. It gets GRADEUSHER_DUTY, GRADEUSHER_EPOCH and GRADEUSHER_STEP in its environment."`
	As      string        `help:"Name of this process among those that wait; the host's, if it is not given."`
	Room    string        `help:"Where this process runs."`
	At      string        `help:"The room where the duty should be held; the first who wants it says."`
	Load    int64         `help:"What this process carries besides, in duties."`
	Lease   time.Duration `help:"Length of the lease, 500ms to 5m." default:"5s"`
	Grace   time.Duration `help:"From TERM to KILL; 0: a quarter of the lease." default:"0"`
	Once    bool          `help:"End with exit 1 when the duty is lost or handed over; without it, wait for it again."`
}

// commandOutcome is what became of a command.
type commandOutcome struct{ code int }

// Run waits, runs the command while the duty is held, and ends with its exit code once it has ended by itself.
func (c roleHoldCommand) Run(ctx context.Context, stdio streams) error {
	name, err := processName(c.As)
	if err != nil {
		return err
	}
	if c.Grace == 0 {
		c.Grace = c.Lease / 4
	}
	if most := (c.Lease - state.RoleLeaseMargin(c.Lease)) / 2; c.Grace < 0 || c.Grace > most {
		return fmt.Errorf("%w: --grace %v is not within 0 to %v, half of what the lease leaves", errUsage, c.Grace, most)
	}
	if _, err := exec.LookPath(c.Command[0]); err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	r, err := singleton.NewRunner(singleton.Options{Registry: strings.Split(c.Keepers, ","), Name: name, Location: c.Room, Lease: c.Lease, Load: c.Load, Log: slog.New(slog.NewTextHandler(stdio.err, nil))})
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	var h commandOutcome
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := r.Want(c.Name, c.At, func(work context.Context, t *singleton.OwnedLease) error { return c.runGuarded(work, t, stdio, &h) })
	go func() {
		select {
		case <-done:
			cancel()
		case <-ctx.Done():
		}
	}()
	r.Run(ctx, 2*c.Grace+time.Second)
	if h.code != 0 {
		return exitCodeError(h.code)
	}
	return nil
}

// runGuarded runs the command in an office, under a guard: a process that ends it in time though this one is stopped or killed.
func (c roleHoldCommand) runGuarded(ctx context.Context, t *singleton.OwnedLease, stdio streams, h *commandOutcome) error {
	h.code = exitFailure
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("guard: %w", err)
	}
	from, to, err := os.Pipe()
	if err != nil {
		return fmt.Errorf("guard: %w", err)
	}
	defer to.Close()
	guard := exec.CommandContext(ctx, self, append([]string{"duty", "guard", "--grace", c.Grace.String(), "--"}, c.Command...)...)
	guard.Env = append(os.Environ(), "GRADEUSHER_DUTY="+t.Name, "GRADEUSHER_EPOCH="+strconv.FormatInt(t.Epoch, 10), "GRADEUSHER_STEP="+t.Step)
	guard.Env = append(guard.Env, childEnv...)
	guard.Stdin, guard.Stdout, guard.Stderr, guard.ExtraFiles = stdio.in, stdio.out, stdio.err, []*os.File{from}
	guard.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // whoever stops this one from a terminal does not stop it
	err = guard.Start()
	from.Close()
	if err != nil {
		return fmt.Errorf("guard: %w", err)
	}
	ended := make(chan error, 1)
	go func() { ended <- guard.Wait() }()
	tick := time.NewTicker(c.Lease / 16)
	defer tick.Stop()
	asked := t.HandoverRequested()
	for told := false; ; {
		if left := t.Remaining(); left > 0 {
			_, _ = fmt.Fprintf(to, "%d\n", int64(singleton.Now()+left)) // a guard that is gone has ended
		}
		select {
		case <-ended:
			h.code = shellExitCode(guard.ProcessState)
			switch {
			case !told && t.Valid() && ctx.Err() == nil && h.code != exitTimedOut && h.code == 0:
				return nil
			case !told && t.Valid() && ctx.Err() == nil && h.code != exitTimedOut:
				return fmt.Errorf("%w: exit %d", singleton.ErrGaveUp, h.code)
			case c.Once:
				h.code = exitFailure
				return nil
			}
			h.code = 0
			return singleton.ErrHandedOver
		case <-asked:
			asked, told = nil, true
			_, _ = fmt.Fprintln(to, "end")
		case <-tick.C:
		}
	}
}
