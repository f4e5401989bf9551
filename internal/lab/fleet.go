// Package lab runs experiments. Whether sidecars keep their promises shows only where real processes meet real faults, and a claim
// about that is worth something only if it can be repeated. So an experiment follows a plan (package plan), which one seed
// determines: the lab starts sidecars, stand-in servers, a list or registry nodes as processes on loopback (Fleet), sends load
// (package load), applies the faults of the plan step by step, and checks what clients and servers saw against the invariants
// (package check).
//
// The terms: a near end opens connections and a far end accepts them; each pair has a link with faults of its own (package link).
// A stand-in is a child process that obeys orders (packages standin and ctl). A step begins or ends a fault at a time of the plan;
// its effect is when that was seen to happen. The evidence is everything that the checks look at.
//
// Times are ns of the lab's clock (package clock), which all processes share, unless a name or a comment says otherwise. Errors of
// the lab itself, which errors.go lists, end an experiment without a result; what an experiment shows of the program is no error.
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
	Path string   // of the program
	Env  []string // besides what each process gets
}

// Fleet is the processes of one experiment. StartFleet returns it; Finish or Close ends it.
type Fleet struct {
	plan         *plan.Plan
	self         Self
	work         string // folder for records and for the processes' own folders
	logs         string // folder for the processes' logs
	starter      *proc.Starter
	all          proc.Group             // every process that was started
	hosts        []*child               // processes of stand-in servers
	host         map[string]*child      // the one of hosts that a server is in, by its UID
	specs        map[string]*model.Spec // of all servers of the plan, by UID
	list         *listProcess           // the platform's list; nil: the registry has the servers
	registry     *registryNodes         // nil: there are none
	peers        *peers                 // nil: sidecars do not know each other
	lyingMembers []*child               // members of the sidecars' gossip that are no sidecars
	writers      *writers               // nil: there is no registry
	routes       *routePublisher        // nil: there are no routes
	sidecars     []*sidecar             // by index in the plan, with those that join later
	links        *linkFaults
	known        []ctl.Entry // servers that run at the start
	releaseOnce  sync.Once   // of the reserved ports
	logged       sync.Map    // names of the processes whose logs are of this experiment

	mu      sync.Mutex
	entries map[string]ctl.Entry // servers as they are, which the list learns later, by UID
	listed  []ctl.Entry          // what the list was sent, in order
	falls   []ctl.Event          // servers that fell over as they warmed up
	errs    []error              // what the lab itself could not do
}

// StartFleet starts all processes that a plan needs, and waits until every one is ready. work is an empty folder, which the caller removes;
// logs is where the processes' logs go. On an error no process is left; it is a *StartError where one did not get ready.
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

// startStandIns starts what sidecars need, in this order: registry nodes if the plan has any, as servers register there; servers; the
// network between sidecars; and the list where there are no registry nodes.
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

const maxConcurrentStarts = 8 // of sidecars

// startSidecars reserves addresses and folders for all sidecars, starts those that do not join later, and waits until they answer.
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

// log is the path of the log that all processes of a name append to. The first call removes what an earlier experiment left there.
func (f *Fleet) log(name string) string {
	path := filepath.Join(f.logs, name+".log")
	if _, known := f.logged.LoadOrStore(name, true); !known {
		_ = os.Remove(path) // mostly there is none
	}
	return path
}

// env is the environment of a process, with some variables of its own.
func (f *Fleet) env(more ...string) []string {
	env := append([]string{"PATH=" + os.Getenv("PATH")}, f.self.Env...)
	return append(env, more...)
}

// records is the path of the records that the index-th process of a kind writes.
func (f *Fleet) records(kind string, index int) string {
	return filepath.Join(f.work, fmt.Sprintf("%s-%d.jsonl", kind, index))
}

// handleEvent handles an event of a stand-in that no order asked for.
func (f *Fleet) handleEvent(event ctl.Event) {
	switch event.Kind {
	case ctl.EventFell:
		f.mu.Lock()
		defer f.mu.Unlock()
		f.falls = append(f.falls, event)
	case ctl.EventError:
		f.recordError(fmt.Errorf("a stand-in had to wait: %s", event.Error))
	}
}

// Addresses are where clients reach the sidecars, by index in the plan: IP address and port.
func (f *Fleet) Addresses() []string {
	var all []string
	for _, s := range f.sidecars {
		all = append(all, s.address())
	}
	return all
}

const terminationTimeout = 6 * time.Second // for a process to shut down

// Finish shuts down all sidecars as a platform does, and then the stand-ins. Processes that did not shut down in time are killed, which is
// an error of the lab (Err).
func (f *Fleet) Finish() {
	for _, s := range f.sidecars {
		s.tasks.Wait()
	}
	var group errgroup.Group
	for _, s := range f.sidecars {
		if s.process == nil {
			continue // the experiment ended before this one joined
		}
		group.Go(func() error { return endProcess(s.process) })
	}
	f.recordError(group.Wait())
	f.stopStandIns()
}

// endProcess shuts a process down as a platform does. It fails with ErrKilled where that took longer than terminationTimeout.
func endProcess(process *proc.Process) error {
	if !process.End(terminationTimeout) {
		return fmt.Errorf("%s %w", process.Name, ErrKilled)
	}
	return nil
}

// stopStandIns shuts down the stand-ins one after the other: servers and the list, the network between sidecars, and the registry from its
// clients to its network.
func (f *Fleet) stopStandIns() {
	for _, host := range f.hosts {
		f.stopStandIn(host)
	}
	f.stopStandIn(f.list.current())
	for _, member := range f.lyingMembers {
		f.stopStandIn(member)
	}
	if f.peers != nil {
		f.stopStandIn(f.peers.relay)
	}
	if f.registry != nil {
		f.stopStandIn(f.registry.watchers)
		f.registry.stopAll()
		f.stopStandIn(f.registry.relay)
	}
}

// stopStandIn shuts down a stand-in, if there is one, and waits until all its events have been handled.
func (f *Fleet) stopStandIn(standIn *child) {
	if standIn == nil {
		return
	}
	f.recordError(endProcess(standIn.Process))
	<-standIn.outputEnded
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

// Close kills every process that still runs and releases all ports. It may be called several times. What faults did to folders is left to
// the janitor.
func (f *Fleet) Close() {
	f.all.Kill()
	for _, s := range f.sidecars {
		s.tasks.Wait()
	}
	f.all.Kill() // what a task started meanwhile
	f.releaseOnce.Do(f.releasePorts)
	f.starter.Close()
}

// releasePorts releases the ports that are reserved for processes. Errors are left alone: the lab's end closes the descriptors as well.
func (f *Fleet) releasePorts() {
	for _, s := range f.sidecars {
		_ = s.reservation.Close()
	}
	if f.list != nil && f.list.reservation != nil {
		_ = f.list.reservation.Close()
	}
	if f.registry != nil {
		f.registry.releasePorts()
	}
	if f.peers != nil {
		f.peers.releasePorts()
	}
}

// Exits are how the processes ended that have ended.
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

// Err is what the lab itself could not do: all errors joined, which may be of any type of this package, or nil.
func (f *Fleet) Err() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return errors.Join(f.errs...)
}
