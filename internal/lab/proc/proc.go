// Package proc starts the processes of an experiment, ends each of them whatever happens, and does to them what faults say.
package proc

import (
	"context"
	"fmt"
	"io"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

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

// Process is one that was started.
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

// Pid is the process's number.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Ended is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Exit is how it ended, once Ended is closed.
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

// End has it finish: by the end of its input or SIGTERM, and after a time by SIGKILL. It tells false where that was needed.
func (p *Process) End(within time.Duration) bool {
	p.wanted.Store(true)
	_ = p.cmd.Process.Signal(syscall.SIGCONT) // what fails because it has ended shows below
	if p.In != nil {
		_ = p.In.Close() // fails only where the process has ended
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

// Kill ends it at once.
func (p *Process) Kill() {
	p.wanted.Store(true)
	_ = p.cmd.Process.Kill() // fails only where it has ended
	<-p.ended
}

// Group is the processes that run, so that every one of them can be ended.
type Group struct {
	mu        sync.Mutex
	processes []*Process
}

// Add takes a process in.
func (a *Group) Add(p *Process) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.processes = append(a.processes, p)
}

// Kill ends all at once.
func (a *Group) Kill() { a.Each((*Process).Kill) }

// Each calls do with each process that was started, ended or not.
func (a *Group) Each(do func(*Process)) {
	a.mu.Lock()
	all := append([]*Process(nil), a.processes...)
	a.mu.Unlock()
	for _, p := range all {
		do(p)
	}
}
