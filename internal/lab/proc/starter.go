package proc

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"

	"gradeusher.example/gradeusher/internal/lab/clock"
)

// Starter starts processes that the kernel kills when the lab's own process has ended, in whatever way (PR_SET_PDEATHSIG). Danger: the
// kernel watches the thread that started a process, so one thread starts all of them and lasts as long as the Starter.
type Starter struct {
	calls     chan func()
	ended     chan struct{}
	closeOnce sync.Once
}

// NewStarter starts the thread. The caller ends it by Close after all processes have ended.
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

// Close ends the thread and waits for that. The kernel kills processes that still run.
func (s *Starter) Close() {
	s.closeOnce.Do(func() { close(s.calls) })
	<-s.ended
}

// Start starts a process in a process group of its own, so that an interrupt at the terminal reaches the lab alone. A goroutine waits for the
// end of the process; the owner has the process end by End or Kill, and closes Out.
func (s *Starter) Start(spec Spec) (*Process, error) {
	log, err := os.OpenFile(spec.Log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, fmt.Errorf("%s: log: %w", spec.Name, err)
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor, and nothing is written by this one
	process := &Process{Spec: spec, ended: make(chan struct{}), cmd: command(spec)}
	process.cmd.Stderr = log
	if spec.Piped {
		output, err := process.connectPipes()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", spec.Name, err)
		}
		defer func() { _ = output.Close() }() // the process has its own descriptor
	}
	started := make(chan error)
	s.calls <- func() { started <- process.cmd.Start() }
	if err := <-started; err != nil {
		return nil, fmt.Errorf("%s: %w", spec.Name, err)
	}
	process.Started = clock.Now()
	go process.awaitExit()
	return process, nil
}

// command is what a spec has the system execute.
func command(spec Spec) *exec.Cmd {
	cmd := exec.Command(spec.Path, spec.Args...) //nolint:noctx // no context may kill it: its owner does, and the kernel with the Starter
	cmd.Env = spec.Env
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if spec.OutlivesLab {
		cmd.SysProcAttr.Pdeathsig = 0
	}
	return cmd
}

// connectPipes makes pipes of standard input and output, and returns the end that the process writes to, which the caller closes.
func (p *Process) connectPipes() (output *os.File, err error) {
	if p.In, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	input, output, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	p.cmd.Stdout, p.Out = output, input
	return output, nil
}

// awaitExit waits for the end of the process, records it and closes ended.
func (p *Process) awaitExit() {
	err := p.cmd.Wait()
	state := p.cmd.ProcessState
	p.exit = Exit{Name: p.Name, At: clock.Now(), Code: state.ExitCode(), How: state.String(), Wanted: p.wanted.Load()}
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		p.exit.How = err.Error()
	}
	close(p.ended)
}
