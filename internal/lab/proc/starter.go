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

// Starter starts processes that the kernel kills when the lab's own process is gone, however it ended. Danger: the kernel
// watches the thread that started them, so one thread starts all and lasts as long as the Starter.
type Starter struct {
	calls     chan func()
	ended     chan struct{}
	closeOnce sync.Once
}

// NewStarter begins; Close ends it, after all processes.
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
	s.closeOnce.Do(func() { close(s.calls) })
	<-s.ended
}

// Start starts a process in a process group of its own, so that an interrupt at the terminal reaches the lab alone.
func (s *Starter) Start(spec Spec) (*Process, error) {
	log, err := os.OpenFile(spec.Log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, fmt.Errorf("%s: log: %w", spec.Name, err)
	}
	defer log.Close() // the process has its own
	p := &Process{Spec: spec, ended: make(chan struct{}), cmd: exec.Command(spec.Path, spec.Args...)}
	p.cmd.Env, p.cmd.Stderr = spec.Env, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if spec.OutlivesLab {
		p.cmd.SysProcAttr.Pdeathsig = 0
	}
	if spec.Piped {
		if p.In, err = p.cmd.StdinPipe(); err != nil {
			return nil, fmt.Errorf("%s: %w", spec.Name, err)
		}
		var out *os.File
		var in *os.File
		if in, out, err = os.Pipe(); err != nil {
			return nil, fmt.Errorf("%s: %w", spec.Name, err)
		}
		defer out.Close()
		p.cmd.Stdout, p.Out = out, in
	}
	done := make(chan error)
	s.calls <- func() { done <- p.cmd.Start() }
	if err := <-done; err != nil {
		return nil, fmt.Errorf("%s: %w", spec.Name, err)
	}
	p.Started = clock.Now()
	go func() {
		err := p.cmd.Wait()
		p.exit = Exit{Name: spec.Name, At: clock.Now(), Code: p.cmd.ProcessState.ExitCode(), How: p.cmd.ProcessState.String(), Wanted: p.wanted.Load()}
		var exit *exec.ExitError
		if err != nil && !errors.As(err, &exit) {
			p.exit.How = err.Error()
		}
		close(p.ended)
	}()
	return p, nil
}

