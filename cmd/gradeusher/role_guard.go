package main

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/singleton"
)

// exitTimedOut is the exit code of a guard that has ended its command, as timeout(1) has it.
const exitTimedOut = 124

// controlDescriptor is where a guard reads deadlines from: the first of exec.Cmd's ExtraFiles.
const controlDescriptor = 3

// endRequest is the line, on the control descriptor, that asks a guard to end its command.
const endRequest = "end"

type roleGuardCommand struct {
	Grace   time.Duration `help:"From TERM to KILL."`
	Command []string      `arg:"" help:"What to run."`
}

// Run starts the command once descriptor 3 has given a deadline, in ns of singleton.Now, and ends it before the latest deadline that
// was given, or when a line asks for it, or when the descriptor's other end is closed. Danger: the command is a process group of its
// own; what leaves that group is not ended.
func (c roleGuardCommand) Run(ctx context.Context, stdio streams) error {
	control := os.NewFile(controlDescriptor, "control")
	if control == nil {
		return fmt.Errorf("%w: descriptor %d is missing", errUsage, controlDescriptor)
	}
	syscall.CloseOnExec(controlDescriptor)
	lines := readLines(control)
	first, err := strconv.ParseInt(<-lines, 10, 64)
	deadline := time.Duration(first)
	if err != nil || singleton.Now() >= deadline-c.Grace {
		return exitCodeError(exitTimedOut)
	}
	guarded, err := startGuarded(ctx, c, stdio, deadline)
	if err != nil {
		return err
	}
	return guarded.watch(ctx, lines)
}

// readLines sends the lines of a file until its end; the goroutine lasts until this process ends.
func readLines(file *os.File) <-chan string {
	lines := make(chan string)
	go func() {
		defer close(lines)
		for in := bufio.NewScanner(file); in.Scan(); {
			lines <- in.Text()
		}
	}()
	return lines
}

// guardedProcess is a command in a process group of its own that has to end before a deadline.
type guardedProcess struct {
	command  *exec.Cmd
	exited   chan struct{} // closed once the command's state is known
	grace    time.Duration // from TERM to KILL
	deadline time.Duration // on the clock of singleton.Now

	terminating bool          // it was asked to end, or is being killed
	killAt      time.Duration // on the clock of singleton.Now, once terminating
}

func startGuarded(ctx context.Context, c roleGuardCommand, stdio streams, deadline time.Duration) (*guardedProcess, error) {
	// The context's end asks the command to terminate, with the grace that it has; it does not kill it.
	command := exec.CommandContext(context.WithoutCancel(ctx), c.Command[0], c.Command[1:]...)
	command.Stdin, command.Stdout, command.Stderr = stdio.in, stdio.out, stdio.err
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &guardedProcess{command: command, exited: make(chan struct{}), grace: c.Grace, deadline: deadline}
	go func() {
		_ = command.Wait() // its state has the exit code
		close(p.exited)
	}()
	return p, nil
}

// watch waits for the command's end and brings it about where it is due.
func (p *guardedProcess) watch(ctx context.Context, lines <-chan string) error {
	for done := ctx.Done(); ; {
		wake := p.nextStep()
		timer := time.NewTimer(max(0, wake-singleton.Now()))
		select {
		case <-p.exited:
			timer.Stop()
			return p.outcome()
		case <-done:
			done = nil
			p.terminate()
		case line, open := <-lines:
			if !open { // the process that renews the lease is gone
				lines = nil
				p.killAtDeadline()
			} else {
				p.handleLine(line)
			}
		case <-timer.C:
			p.handleTimer(wake)
		}
		timer.Stop()
	}
}

// nextStep is when TERM or, after that, KILL is due.
func (p *guardedProcess) nextStep() time.Duration {
	if p.terminating {
		return min(p.killAt, p.deadline)
	}
	return p.deadline - p.grace
}

// handleLine extends the deadline, or ends the command where the line is no deadline.
func (p *guardedProcess) handleLine(line string) {
	deadline, err := strconv.ParseInt(line, 10, 64)
	if err != nil {
		p.terminate()
		return
	}
	p.deadline = max(p.deadline, time.Duration(deadline))
}

func (p *guardedProcess) handleTimer(wake time.Duration) {
	switch {
	case singleton.Now() < wake: // a timer may fire early by its own clock
	case p.terminating:
		p.signal(syscall.SIGKILL)
		<-p.exited
	default:
		p.terminate()
	}
}

// terminate asks the command to end, once.
func (p *guardedProcess) terminate() {
	if p.terminating {
		return
	}
	p.terminating, p.killAt = true, singleton.Now()+p.grace
	p.signal(syscall.SIGTERM)
}

// killAtDeadline kills the command at once, and again at the deadline.
func (p *guardedProcess) killAtDeadline() {
	p.terminating = true
	p.signal(syscall.SIGKILL)
	p.killAt = p.deadline
}

// outcome kills what an ended command left in its group and returns how this process ends.
func (p *guardedProcess) outcome() error {
	p.signal(syscall.SIGKILL)
	if p.terminating {
		return exitCodeError(exitTimedOut)
	}
	return exitLike(p.command.ProcessState)
}

func (p *guardedProcess) signal(sig syscall.Signal) {
	_ = syscall.Kill(-p.command.Process.Pid, sig) // the group may have ended
}

// shellExitCode is the exit code of a process as a shell has it: 128 and the signal's number after a signal.
func shellExitCode(s *os.ProcessState) int {
	const signalBase = 128
	if status, ok := s.Sys().(syscall.WaitStatus); ok && status.Signaled() {
		return signalBase + int(status.Signal())
	}
	return s.ExitCode()
}

// exitLike ends this process as another did.
func exitLike(s *os.ProcessState) error {
	if code := shellExitCode(s); code != 0 {
		return exitCodeError(code)
	}
	return nil
}
