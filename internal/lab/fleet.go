// Package lab runs experiments. Whether sidecars keep their promises shows only where real processes meet real faults, and a claim
// about that is worth something only if it can be repeated. So an experiment follows a plan (package plan), which one seed
// determines: the lab starts sidecars, stand-in servers, a list or registry nodes as processes on loopback (Fleet), sends load
// (package load), applies the faults of the plan step by step, and checks what clients and servers saw against the invariants
// (package check).
//
// The terms: a near end opens connections and a far end accepts them; each pair has a link with faults of its own (package link).
// A stand-in is a child process that obeys orders (packages standin and ctl). A step begins or ends a fault at a time of the plan;
// its effect is when that was seen to happen. The evidence is everything that the checks look at.
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
	Env  []string // besides what each process gets
}

// Fleet is the processes of one experiment.
type Fleet struct {
	plan         *plan.Plan
	self         Self
	work         string // folder for evidence and the processes' own folders
	logs         string
	starter      *proc.Starter
	all          proc.Group
	hosts        []*child
	host         map[string]*child // by server
	specs        map[string]*model.Spec
	list         *listProcess   // the platform's; nil: the registry has it
	registry     *registryNodes // nil: there are none
	peers        *peers         // nil: sidecars do not know each other
	lyingMembers []*child       // members that are no sidecars
	writers      *writers
	routes       *routePublisher // nil: there are no routes

	mu          sync.Mutex
	entries     map[string]ctl.Entry // the truth, which the list learns later
	known       []ctl.Entry          // at the start
	listed      []ctl.Entry          // sent to the list, in order
	falls       []ctl.Event
	errs        []error
	sidecars    []*sidecar
	links       *linkFaults
	releaseOnce sync.Once
	logged      sync.Map // names of processes
}

// StartFleet starts all processes that a plan needs, and waits until every one is ready. On an error none is left.
func StartFleet(ctx context.Context, experiment *plan.Plan, self Self, work, logs string) (f *Fleet, err error) {
	f = &Fleet{plan: experiment, self: self, work: work, logs: logs, starter: proc.NewStarter(), host: map[string]*child{},
		specs: map[string]*model.Spec{}, entries: map[string]ctl.Entry{}}
	f.links = newLinkFaults(f)
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	for i := range experiment.Servers {
		f.specs[experiment.Servers[i].UID] = &experiment.Servers[i]
	}
	if err := f.startStandIns(ctx); err != nil {
		return f, err
	}
	if err := f.links.baseline(plan.Millis(experiment.File.Fleet.DelayMS)); err != nil {
		return f, err
	}
	if err := f.startSidecars(ctx); err != nil {
		return f, err
	}
	return f, f.startLyingMembers()
}

// startStandIns starts what sidecars need: registry nodes if the plan has any, servers, the network between sidecars, and the list.
func (f *Fleet) startStandIns(ctx context.Context) error {
	if f.plan.File.Registry.Count > 0 {
		if err := f.startRegistry(ctx); err != nil {
			return err
		}
	}
	if err := f.startHosts(); err != nil {
		return err
	}
	if f.plan.File.Members.On {
		if err := f.startPeers(); err != nil {
			return err
		}
	}
	if f.registry != nil {
		return f.awaitRegistration(ctx)
	}
	return f.startList()
}

const maxConcurrentStarts = 8

// startSidecars prepares all sidecars, and starts those that do not join later.
func (f *Fleet) startSidecars(ctx context.Context) error {
	for i := range f.plan.Sidecars {
		prepared := &sidecar{index: i, folder: filepath.Join(f.work, f.plan.Sidecars[i].Name)}
		if err := os.Mkdir(prepared.folder, 0o700); err != nil {
			return err
		}
		var err error
		if prepared.reservation, err = link.Reserve(link.Near(i)); err != nil {
			return err
		}
		f.sidecars = append(f.sidecars, prepared)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentStarts)
	for _, s := range f.sidecars {
		if f.plan.Sidecars[s.index].Started() > 0 {
			continue // it joins later
		}
		group.Go(func() error {
			if err := f.startSidecar(s); err != nil {
				return err
			}
			return f.awaitReady(ctx, s)
		})
	}
	return group.Wait()
}

// log is the file that all processes of a name write to. It removes what an earlier experiment left there.
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

// handleEvent handles events that no order asked for.
func (f *Fleet) handleEvent(n ctl.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n.Kind == ctl.EventFell {
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

const terminationTimeout = 6 * time.Second // for a sidecar to finish after SIGTERM

// Finish ends all sidecars as a platform does, then the stand-ins. Processes that had to be killed are errors of the lab (Err).
func (f *Fleet) Finish() {
	for _, s := range f.sidecars {
		s.tasks.Wait()
	}
	var group errgroup.Group
	for _, s := range f.sidecars {
		if s.process == nil {
			continue // the experiment was broken off before it joined
		}
		group.Go(func() error { return endProcess(s.process) })
	}
	f.recordError(group.Wait())
	f.stopStandins()
}

// endProcess ends a process as a platform does. It fails with ErrKilled where it did not shut down in time.
func endProcess(process *proc.Process) error {
	if !process.End(terminationTimeout) {
		return fmt.Errorf("%s %w", process.Name, ErrKilled)
	}
	return nil
}

func (f *Fleet) stopStandins() {
	end := func(c *child) {
		if c == nil {
			return
		}
		f.recordError(endProcess(c.Process))
		<-c.outputEnded
	}
	for _, c := range f.hosts {
		end(c)
	}
	end(f.list.current())
	for _, c := range f.lyingMembers {
		end(c)
	}
	if f.peers != nil {
		end(f.peers.relay)
	}
	if f.registry != nil { // from the clients to the network
		end(f.registry.watchers)
		f.registry.stopAll()
		end(f.registry.relay)
	}
}

// recordError records an error of the lab itself, if it is one.
func (f *Fleet) recordError(err error) {
	if err == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.errs = append(f.errs, err)
}

// Close ends every process at once, whatever it does. The janitor undoes what was done to folders.
func (f *Fleet) Close() {
	f.all.Kill()
	for _, s := range f.sidecars {
		s.tasks.Wait()
	}
	f.all.Kill() // what a task started meanwhile
	f.releaseOnce.Do(func() {
		for _, s := range f.sidecars {
			_ = s.reservation.Close() // a descriptor that the lab's end would close as well
		}
		if f.list != nil && f.list.reservation != nil {
			_ = f.list.reservation.Close() // a descriptor that the lab's end would close as well
		}
		if f.registry != nil {
			f.registry.releasePorts()
		}
		if f.peers != nil {
			f.peers.releasePorts()
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
	return errors.Join(f.errs...)
}
