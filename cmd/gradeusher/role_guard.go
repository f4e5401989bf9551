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

// exitTimedOut is how a guard ends that has ended its command.
const exitTimedOut = 124

// shellExitCode is the exit code of a process as a shell has it.
func shellExitCode(s *os.ProcessState) int {
	if w, ok := s.Sys().(syscall.WaitStatus); ok && w.Signaled() {
		return 128 + int(w.Signal())
	}
	return s.ExitCode()
}

type roleGuardCommand struct {
	Grace   time.Duration `help:"From TERM to KILL."`
	Command []string      `arg:"" help:"What to run."`
}

// Run runs the command once descriptor 3 has told until when, in ns of duty.Now, and ends it before the last time that it told, or
// when it tells to, or ends. Danger: the command is a group of its own; what leaves that group is not ended.
func (c roleGuardCommand) Run(ctx context.Context, stdio streams) error {
	control := os.NewFile(3, "control")
	if control == nil {
		return fmt.Errorf("%w: descriptor 3 is missing", errUsage)
	}
	syscall.CloseOnExec(3)
	lines := make(chan string)
	go func() { // until this process ends
		defer close(lines)
		for in := bufio.NewScanner(control); in.Scan(); {
			lines <- in.Text()
		}
	}()
	first, err := strconv.ParseInt(<-lines, 10, 64)
	until := time.Duration(first)
	if err != nil || singleton.Now() >= until-c.Grace {
		return exitCodeError(exitTimedOut)
	}
	command := exec.Command(c.Command[0], c.Command[1:]...)
	command.Stdin, command.Stdout, command.Stderr = stdio.in, stdio.out, stdio.err
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := command.Start(); err != nil {
		return err
	}
	signal := func(sig syscall.Signal) {
		_ = syscall.Kill(-command.Process.Pid, sig) // it may have ended
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait() // its state tells
		close(ended)
	}()
	var told bool
	var kill time.Duration
	term := func() {
		if !told {
			told, kill = true, singleton.Now()+c.Grace
			signal(syscall.SIGTERM)
		}
	}
	for done := ctx.Done(); ; {
		wake := until - c.Grace
		if told {
			wake = min(kill, until)
		}
		timer := time.NewTimer(max(0, wake-singleton.Now()))
		select {
		case <-ended:
			signal(syscall.SIGKILL) // what it left behind
			if told {
				return exitCodeError(exitTimedOut)
			}
			return exitLike(command.ProcessState)
		case <-done:
			done = nil
			term()
		case line, on := <-lines:
			n, err := strconv.ParseInt(line, 10, 64)
			switch {
			case !on: // whoever renews is gone
				told, lines = true, nil
				signal(syscall.SIGKILL)
				kill = until
			case err != nil:
				term()
			default:
				until = max(until, time.Duration(n))
			}
		case <-timer.C:
			switch now := singleton.Now(); {
			case now < wake:
			case told:
				signal(syscall.SIGKILL)
				<-ended
			default:
				term()
			}
		}
		timer.Stop()
	}
}

// exitLike ends this process as another did.
func exitLike(s *os.ProcessState) error {
	if code := shellExitCode(s); code != 0 {
		return exitCodeError(code)
	}
	return nil
}
