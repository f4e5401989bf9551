// Package proc starts the processes of an experiment, ends each of them whatever happens, and injects faults into them: signals, a full
// disk, a read-only folder.
//
// No process outlives the lab unless it is meant to: the kernel kills each with the thread that started it (PR_SET_PDEATHSIG).
package proc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"gradeusher.example/gradeusher/internal/lab/clock"
)

// Starter starts processes that the kernel kills when the lab's own process is gone, however it ended. Danger: the kernel
// watches the thread that started them, so one thread starts all and lasts as long as the Starter.
type Starter struct {
	calls chan func()
	ended chan struct{}
	close sync.Once
}

// NewStarter starts the thread. Close ends it; call that after all processes have ended.
func NewStarter() *Starter {
	s := &Starter{calls: make(chan func()), ended: make(chan struct{})}
	go func() {
		defer close(s.ended)
		runtime.LockOSThread() // never unlocked: the thread ends with the goroutine
		for call := range s.calls {
			call()
		}
	}()
	return s
}

// Close ends the thread. Processes that still run are killed with it.
func (s *Starter) Close() {
	s.close.Do(func() { close(s.calls) })
	<-s.ended
}

// Spec is a process to start.
type Spec struct {
	Name        string
	Path        string
	Args        []string
	Env         []string // all of it
	Log         string   // file that standard error is added to
	Piped       bool     // standard input and output are pipes to the lab
	Folder      string   // its TMPDIR
	OutlivesLab bool     // it outlives the lab, if only to clean up
}

// Exit is how a process ended.
type Exit struct {
	Name   string `json:"name"`
	At     int64  `json:"at"`
	Code   int    `json:"code"`   // below 0: a signal
	How    string `json:"how"`    // as the system words it
	Wanted bool   `json:"wanted"` // the lab or a fault ended it
}

// Process is a process that was started.
type Process struct {
	Spec
	Started int64
	In      io.WriteCloser
	Out     io.ReadCloser

	cmd    *exec.Cmd
	ended  chan struct{}
	exit   Exit
	wanted atomic.Bool
}

// Start starts a process in a process group of its own, so that an interrupt at the terminal reaches the lab alone.
func (s *Starter) Start(spec Spec) (*Process, error) {
	log, err := os.OpenFile(spec.Log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, fmt.Errorf("%s: log: %w", spec.Name, err)
	}
	defer func() { _ = log.Close() }() // the process has its own
	process := &Process{Spec: spec, ended: make(chan struct{}), cmd: exec.CommandContext(context.Background(), spec.Path, spec.Args...)}
	process.cmd.Env, process.cmd.Stderr = spec.Env, log
	process.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if spec.OutlivesLab {
		process.cmd.SysProcAttr.Pdeathsig = 0
	}
	if spec.Piped {
		if process.In, err = process.cmd.StdinPipe(); err != nil {
			return nil, fmt.Errorf("%s: %w", spec.Name, err)
		}
		var out *os.File
		var in *os.File
		if in, out, err = os.Pipe(); err != nil {
			return nil, fmt.Errorf("%s: %w", spec.Name, err)
		}
		defer func() { _ = out.Close() }() // the process has its own
		process.cmd.Stdout, process.Out = out, in
	}
	done := make(chan error)
	s.calls <- func() { done <- process.cmd.Start() }
	if err := <-done; err != nil {
		return nil, fmt.Errorf("%s: %w", spec.Name, err)
	}
	process.Started = clock.Now()
	go func() {
		err := process.cmd.Wait()
		process.exit = Exit{Name: spec.Name, At: clock.Now(), Code: process.cmd.ProcessState.ExitCode(), How: process.cmd.ProcessState.String(), Wanted: process.wanted.Load()}
		var exit *exec.ExitError
		if err != nil && !errors.As(err, &exit) {
			process.exit.How = err.Error()
		}
		close(process.ended)
	}()
	return process, nil
}

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Ended returns a channel that is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Exit returns how the process ended. It is valid once Ended is closed.
func (p *Process) Exit() Exit { return p.exit }

// Signal sends a signal. wanted: the process may end by it.
func (p *Process) Signal(sig syscall.Signal, wanted bool) error {
	if wanted {
		p.wanted.Store(true)
	}
	if err := p.cmd.Process.Signal(sig); err != nil {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	return nil
}

// Terminate ends the process: by the end of its input or SIGTERM, and after a time by SIGKILL. It returns false where that was needed.
func (p *Process) Terminate(within time.Duration) bool {
	p.wanted.Store(true)
	_ = p.cmd.Process.Signal(syscall.SIGCONT) // what fails because it has ended shows below
	if p.In != nil {
		_ = p.In.Close() // it may have ended
	} else {
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
	}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	select {
	case <-p.ended:
		return true
	case <-ctx.Done():
	}
	p.Kill()
	return false
}

// Kill ends the process by SIGKILL and waits for that.
func (p *Process) Kill() {
	p.wanted.Store(true)
	_ = p.cmd.Process.Kill() // fails only where it has ended
	<-p.ended
}
