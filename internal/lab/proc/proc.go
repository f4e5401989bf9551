// Package proc starts the processes of an experiment, ends each of them whatever happens, and injects faults into them.
//
// Terms: a Starter starts processes that the kernel kills with the lab's own process; a Process is one of them; a Group is all of
// them, so that none is left over. The exit of a process is wanted where the lab or a fault ended it; an exit that is not wanted is a
// crash, which the checkers report.
//
// Invariant: no process outlives the lab, unless its Spec says so.
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

// Spec describes a process to start.
type Spec struct {
	Name        string // in reports and errors
	Path        string // of the program
	Args        []string
	Env         []string // the whole environment
	Log         string   // file that standard error is appended to
	Piped       bool     // standard input and output are pipes to the lab
	Folder      string   // its TMPDIR, on which SetDiskFault acts
	OutlivesLab bool     // the kernel does not kill it with the lab, so that it can clean up
}

// Exit is how a process ended.
type Exit struct {
	Name   string `json:"name"`
	At     int64  `json:"at"`     // ns of the lab's clock
	Code   int    `json:"code"`   // exit status; negative: a signal ended it
	How    string `json:"how"`    // the system's description
	Wanted bool   `json:"wanted"` // the lab or a fault ended it
}

// Process is a process that was started. Its methods are safe for concurrent use.
type Process struct {
	Spec
	Started int64          // ns of the lab's clock
	In      io.WriteCloser // standard input, where Spec.Piped; End closes it
	Out     io.ReadCloser  // standard output, where Spec.Piped; the owner closes it

	cmd    *exec.Cmd
	ended  chan struct{}
	exit   Exit
	wanted atomic.Bool
}

// Pid is the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Ended is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Exit is how the process ended. It may be called once Ended is closed.
func (p *Process) Exit() Exit { return p.exit }

// Signal sends a signal. With wanted the process may end by it without being counted as crashed. It fails where the process has ended.
func (p *Process) Signal(sig syscall.Signal, wanted bool) error {
	if wanted {
		p.wanted.Store(true)
	}
	if err := p.cmd.Process.Signal(sig); err != nil {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	return nil
}

// End shuts the process down and waits for its exit: by the end of its input, or SIGTERM where it has none, and by SIGKILL after the
// time. It returns false where SIGKILL was needed. A stopped process is continued first.
func (p *Process) End(within time.Duration) bool {
	p.wanted.Store(true)
	_ = p.cmd.Process.Signal(syscall.SIGCONT) // fails only where the process has ended, which shows below
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

// Kill ends the process by SIGKILL and waits for its exit.
func (p *Process) Kill() {
	p.wanted.Store(true)
	_ = p.cmd.Process.Kill() // fails only where the process has ended
	<-p.ended
}

// Group is a set of processes that are ended together. It is safe for concurrent use.
type Group struct {
	mu        sync.Mutex
	processes []*Process
}

// Add adds a process to the group.
func (g *Group) Add(p *Process) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.processes = append(g.processes, p)
}

// Kill ends all processes by SIGKILL, one after the other.
func (g *Group) Kill() { g.Each((*Process).Kill) }

// Each calls do with each process that was started, ended or not.
func (g *Group) Each(do func(*Process)) {
	g.mu.Lock()
	all := append([]*Process(nil), g.processes...)
	g.mu.Unlock()
	for _, p := range all {
		do(p)
	}
}
