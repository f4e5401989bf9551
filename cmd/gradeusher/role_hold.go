package main

import (
	"context"
	"fmt"
	"io"
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

const (
	defaultGraceDivisor = 4  // of the lease, where no grace is given
	renewalsPerLease    = 16 // how often a guard is given a new deadline
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

// commandOutcome is the exit code that a command left; 0: this process ends well.
type commandOutcome struct{ code int }

// Run waits for the role, runs the command while this process owns it, and ends with the command's exit code once that has ended by
// itself.
func (c roleHoldCommand) Run(ctx context.Context, stdio streams) error {
	if c.Grace == 0 {
		c.Grace = c.Lease / defaultGraceDivisor
	}
	runner, err := c.newRunner(stdio)
	if err != nil {
		return err
	}
	var outcome commandOutcome
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := runner.Want(c.Name, c.At, func(work context.Context, lease *singleton.OwnedLease) error {
		return c.runGuarded(work, lease, stdio, &outcome)
	})
	go func() {
		select {
		case <-done:
			cancel()
		case <-ctx.Done():
		}
	}()
	runner.Run(ctx, 2*c.Grace+time.Second)
	if outcome.code != 0 {
		return exitCodeError(outcome.code)
	}
	return nil
}

// newRunner checks the arguments and makes the runner that campaigns for the role.
func (c roleHoldCommand) newRunner(stdio streams) (*singleton.Runner, error) {
	name, err := processName(c.As)
	if err != nil {
		return nil, err
	}
	if maxGrace := (c.Lease - state.RoleLeaseMargin(c.Lease)) / 2; c.Grace < 0 || c.Grace > maxGrace {
		return nil, fmt.Errorf("%w: --grace %v is not within 0 to %v, half of what the lease leaves", errUsage, c.Grace, maxGrace)
	}
	if _, err := exec.LookPath(c.Command[0]); err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	runner, err := singleton.NewRunner(singleton.Options{Registry: strings.Split(c.Keepers, ","), Name: name, Location: c.Room, Lease: c.Lease,
		Load: c.Load, Log: slog.New(slog.NewTextHandler(stdio.err, nil))})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	return runner, nil
}

// runGuarded runs the command during a lease term, under a guard: a process that ends it in time though this one is stopped or killed.
func (c roleHoldCommand) runGuarded(ctx context.Context, lease *singleton.OwnedLease, stdio streams, outcome *commandOutcome) error {
	outcome.code = exitFailure
	guard, control, err := c.startGuard(ctx, lease, stdio)
	if err != nil {
		return fmt.Errorf("guard: %w", err)
	}
	defer func() { _ = control.Close() }() // the guard sees its end
	handedOver := c.extendDeadlines(guard, control, lease)
	code := shellExitCode(guard.ProcessState)
	if !handedOver && lease.Valid() && ctx.Err() == nil && code != exitTimedOut {
		outcome.code = code
		if code == 0 {
			return nil
		}
		return fmt.Errorf("%w: exit %d", singleton.ErrGaveUp, code)
	}
	if c.Once {
		outcome.code = exitFailure
		return nil
	}
	outcome.code = 0
	return singleton.ErrHandedOver
}

// startGuard starts the guard and returns it with the writing end of its control descriptor.
func (c roleHoldCommand) startGuard(ctx context.Context, lease *singleton.OwnedLease, stdio streams) (*exec.Cmd, *os.File, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, nil, err
	}
	from, control, err := os.Pipe()
	if err != nil {
		return nil, nil, err
	}
	guard := exec.CommandContext(ctx, self, append([]string{"duty", "guard", "--grace", c.Grace.String(), "--"}, c.Command...)...)
	guard.Env = append(os.Environ(), "GRADEUSHER_DUTY="+lease.Name, "GRADEUSHER_EPOCH="+strconv.FormatInt(lease.Epoch, 10), "GRADEUSHER_STEP="+lease.Step)
	guard.Env = append(guard.Env, childEnv...)
	guard.Stdin, guard.Stdout, guard.Stderr, guard.ExtraFiles = stdio.in, stdio.out, stdio.err, []*os.File{from}
	guard.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // whoever stops this process from a terminal does not stop the guard
	err = guard.Start()
	_ = from.Close() // the guard has its own
	if err != nil {
		_ = control.Close() // nobody reads it
		return nil, nil, err
	}
	return guard, control, nil
}

// extendDeadlines gives the guard the end of the lease, as it is renewed, until the guard has exited. It reports whether a handover was
// requested and passed on.
func (c roleHoldCommand) extendDeadlines(guard *exec.Cmd, control io.Writer, lease *singleton.OwnedLease) (handedOver bool) {
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		_ = guard.Wait() // its state has the exit code
	}()
	ticker := time.NewTicker(c.Lease / renewalsPerLease)
	defer ticker.Stop()
	for requested := lease.HandoverRequested(); ; {
		if remaining := lease.Remaining(); remaining > 0 {
			_, _ = fmt.Fprintf(control, "%d\n", int64(singleton.Now()+remaining)) // a guard that is gone has ended
		}
		select {
		case <-exited:
			return handedOver
		case <-requested:
			requested, handedOver = nil, true
			_, _ = fmt.Fprintln(control, endRequest) // a guard that is gone has ended
		case <-ticker.C:
		}
	}
}
