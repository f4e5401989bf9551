// Package lab runs experiments: it starts sidecars, stand-in servers and a list as processes on loopback, sends load, does
// what the faults of a plan say, and holds what was seen against the invariants.
package lab

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/link"
	"gradeusher.example/gradeusher/internal/lab/model"
	"gradeusher.example/gradeusher/internal/lab/plan"
	"gradeusher.example/gradeusher/internal/lab/proc"
)

// Self is how the program starts itself as another process.
type Self struct {
	Path string
	Env  []string // besides what each process is told
}

// Fleet is the processes of one experiment.
type Fleet struct {
	plan    *plan.Plan
	self    Self
	work    string // folder for evidence and the processes' own folders
	logs    string
	starter *proc.Starter
	all     proc.Group
	hosts   []*child
	host    map[string]*child // by server
	specs   map[string]*model.Spec
	list    *listProcess // the platform's; nil: keepers hold it
	keepers *keepers     // nil: there are none
	peers   *peers       // nil: sidecars do not know each other
	liars   []*child     // members that are no sidecars
	writers *writers
	routes  *router // nil: there are no routes

	mu       sync.Mutex
	entries  map[string]ctl.Entry // what is so, which the list learns later
	known    []ctl.Entry          // at the start
	told     []ctl.Entry          // what the list has learnt, in order
	falls    []ctl.News
	faults   []error
	sidecars []*sidecar
	links    *links
	leave    sync.Once
	logged   sync.Map // names of processes
}

// StartFleet starts all processes that a plan stands on, and waits until every one is ready. On an error none is left.
func StartFleet(ctx context.Context, p *plan.Plan, self Self, work, logs string) (f *Fleet, err error) {
	f = &Fleet{plan: p, self: self, work: work, logs: logs, starter: proc.NewStarter(), host: map[string]*child{},
		specs: map[string]*model.Spec{}, entries: map[string]ctl.Entry{}}
	f.links = newLinks(f)
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	for i := range p.Servers {
		f.specs[p.Servers[i].UID] = &p.Servers[i]
	}
	if p.File.Keepers.Count > 0 {
		if err := f.startKeepers(ctx); err != nil {
			return f, err
		}
	}
	if err := f.startHosts(); err != nil {
		return f, err
	}
	if p.File.Members.On {
		if err := f.startPeers(); err != nil {
			return f, err
		}
	}
	if f.keepers != nil {
		err = f.fillKeepers(ctx)
	} else {
		err = f.startList()
	}
	if err != nil {
		return f, err
	}
	if err := f.links.baseline(plan.Millis(p.File.Fleet.DelayMS)); err != nil {
		return f, err
	}
	for i := range p.Sidecars {
		s := &sidecar{index: i, folder: filepath.Join(work, p.Sidecars[i].Name)}
		if err := os.Mkdir(s.folder, 0o700); err != nil {
			return f, err
		}
		if s.place, err = link.Reserve(link.Near(i)); err != nil {
			return f, err
		}
		f.sidecars = append(f.sidecars, s)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(8)
	for _, s := range f.sidecars {
		if f.plan.Sidecars[s.index].Started() > 0 {
			continue // it joins
		}
		group.Go(func() error {
			if err := f.startSidecar(s); err != nil {
				return err
			}
			return f.ready(ctx, s)
		})
	}
	if err := group.Wait(); err != nil {
		return f, err
	}
	return f, f.startLiars()
}

// log is the file that all processes of a name write to; what an earlier experiment left there is removed.
func (f *Fleet) log(name string) string {
	path := filepath.Join(f.logs, name+".log")
	if _, known := f.logged.LoadOrStore(name, true); !known {
		_ = os.Remove(path) // mostly there is none
	}
	return path
}

func (f *Fleet) env(more ...string) []string {
	env := append([]string{"PATH=" + os.Getenv("PATH")}, f.self.Env...)
	return append(env, more...)
}

func (f *Fleet) records(kind string, i int) string {
	return filepath.Join(f.work, fmt.Sprintf("%s-%d.jsonl", kind, i))
}

// hear takes what stand-ins say by themselves.
func (f *Fleet) hear(n ctl.News) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n.Kind == "fell" {
		f.falls = append(f.falls, n)
	}
}

// Addresses are where clients reach the sidecars.
func (f *Fleet) Addresses() []string {
	var all []string
	for _, s := range f.sidecars {
		all = append(all, s.address())
	}
	return all
}

const endWithin = 6 * time.Second // for a sidecar to finish after SIGTERM

// Finish ends all sidecars as a platform does, then the stand-ins, and notes who did not end well.
func (f *Fleet) Finish() {
	for _, s := range f.sidecars {
		s.tasks.Wait()
	}
	var group errgroup.Group
	for _, s := range f.sidecars {
		if s.run == nil {
			continue // the experiment was broken off before it joined
		}
		group.Go(func() error {
			if !s.run.Terminate(endWithin) {
				return fmt.Errorf("%s had to be killed at the end", s.run.Name)
			}
			return nil
		})
	}
	f.fault(group.Wait())
	f.stopStandins()
}

func (f *Fleet) stopStandins() {
	end := func(c *child) {
		if c == nil {
			return
		}
		if !c.Terminate(endWithin) {
			f.fault(fmt.Errorf("%s had to be killed at the end", c.Name))
		}
		<-c.heard
	}
	for _, c := range f.hosts {
		end(c)
	}
	end(f.list.current())
	for _, c := range f.liars {
		end(c)
	}
	if f.peers != nil {
		end(f.peers.relay)
	}
	if f.keepers != nil { // from the clients to the network
		end(f.keepers.watchers)
		f.keepers.finish()
		end(f.keepers.relay)
	}
}

// fault notes that the lab itself could not do something.
func (f *Fleet) fault(err error) {
	if err == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = append(f.faults, err)
}

// Close ends every process at once, whatever it does. The janitor undoes what was done to folders.
func (f *Fleet) Close() {
	f.all.Kill()
	for _, s := range f.sidecars {
		s.tasks.Wait()
	}
	f.all.Kill() // what a task started meanwhile
	f.leave.Do(func() {
		for _, s := range f.sidecars {
			s.place.Close()
		}
		if f.list != nil && f.list.place != nil {
			f.list.place.Close()
		}
		if f.keepers != nil {
			f.keepers.leave()
		}
		if f.peers != nil {
			f.peers.leave()
		}
	})
	f.starter.Close()
}

// Exits are how all processes ended that did.
func (f *Fleet) Exits() []proc.Exit {
	var exits []proc.Exit
	f.all.Each(func(p *proc.Process) {
		select {
		case <-p.Ended():
			exits = append(exits, p.Exit())
		default:
		}
	})
	return exits
}

// Err is what the lab itself could not do.
func (f *Fleet) Err() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return errors.Join(f.faults...)
}
