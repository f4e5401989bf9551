package proc

import (
	"sync"
)

// Group is the processes of an experiment, so that every one of them can be ended.
type Group struct {
	mu        sync.Mutex
	processes []*Process
}

// Add adds a process.
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
