package lab

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/lab/check"
	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/link"
	"gradeusher.example/gradeusher/internal/lab/plan"
	"gradeusher.example/gradeusher/internal/lab/proc"
	"gradeusher.example/gradeusher/internal/sidecar/client"
)

// registryNodes are the registry nodes of an experiment, behind a relay that gives each of their links faults of its own.
type registryNodes struct {
	fleet *Fleet
	relay *child
	nodes []*registryNode
	// watchers is the process of clients that only watch; nil: there are none.
	watchers *child

	mu            sync.Mutex
	leaderByFault map[int]*registryNode // by fault: who led when it began
	lastStepDone  map[int]chan struct{} // by process index: closed when its last step is over
	activeFaults  []*plan.Step          // faults of links
	backup        []byte
}

// registryNode is where the processes of one registry node run, one after the other.
type registryNode struct {
	index      int
	name       string
	folder     string
	http, raft *link.PortReservation // where the process listens
	relayPorts [2]int                // ports of the relay: HTTP, raft

	mu      sync.Mutex
	process *proc.Process
	peak    check.NodePeak
}

// registryAddresses are where a near end reaches the registry nodes.
func (f *Fleet) registryAddresses(near int) (all []string) {
	for _, k := range f.registry.nodes {
		all = append(all, fmt.Sprintf("%s:%d", link.Near(near), k.relayPorts[0]))
	}
	return all
}

// dialRegistry returns a client of the registry for the lab itself, and a context that bounds what it waits for. done ends both.
func (f *Fleet) dialRegistry(ctx context.Context) (c *client.Client, within context.Context, done func(), err error) {
	if c, err = client.New(f.registryAddresses(f.plan.NearWriter())); err != nil {
		return nil, nil, nil, err
	}
	within, cancel := context.WithTimeout(ctx, standInTimeout)
	return c, within, func() { cancel(); c.Close() }, nil
}

// startRegistry starts the relay and all registry nodes, and waits until one leads.
func (f *Fleet) startRegistry(ctx context.Context) error {
	n := f.plan.File.Registry.Count
	started := &registryNodes{fleet: f, leaderByFault: map[int]*registryNode{}, lastStepDone: map[int]chan struct{}{}}
	f.registry = started
	var err error
	started.relay, err = f.startStandIn("relay", []string{"relay", "--sidecars", fmt.Sprint(len(f.plan.Sidecars)), "--readers", fmt.Sprint(f.plan.Nears()),
		"--told", f.records(recordsOfListUpdates, 0), "--shown", f.records(recordsOfRegistryUpdates, 0), "--routes", f.records(recordsOfRouteUpdates, 0)})
	if err != nil {
		return err
	}
	for i := range n {
		node := &registryNode{index: i, name: plan.NodeName(i), folder: filepath.Join(f.work, plan.NodeName(i))}
		started.nodes = append(started.nodes, node)
		if err := os.Mkdir(node.folder, 0o700); err != nil {
			return err
		}
		// A node calls its peers from the address that it listens at, by which the relay knows it.
		if node.raft, err = link.Reserve(link.Near(f.plan.NearNode(i))); err != nil {
			return err
		}
		if node.http, err = link.Reserve(link.Near(f.plan.NearNode(i))); err != nil {
			return err
		}
		for j, front := range []ctl.Order{{Front: node.http.Addr.String()}, {Front: node.raft.Addr.String(), BySource: true}} {
			front.Do, front.UID = ctl.CommandFront, node.name
			news, err := started.relay.order(front)
			if err != nil {
				return err
			}
			node.relayPorts[j] = news.Ports[0]
		}
	}
	for _, node := range started.nodes {
		if err := started.configure(node); err != nil {
			return err
		}
		if err := started.start(node); err != nil {
			return err
		}
	}
	c, ctx, done, err := f.dialRegistry(ctx)
	if err != nil {
		return err
	}
	defer done()
	if _, err := c.List(ctx, f.plan.File.Registry.Program == plan.ProgramRegistry); err != nil {
		return fmt.Errorf("registry: %w", err)
	}
	return nil
}

// awaitRegistration waits until all servers of the start are registered, and starts the registry's other clients.
func (f *Fleet) awaitRegistration(ctx context.Context) error {
	c, ctx, done, err := f.dialRegistry(ctx)
	if err != nil {
		return err
	}
	defer done()
	for {
		l, err := c.List(ctx, false)
		if err != nil {
			return fmt.Errorf("registry: %w", err)
		}
		if len(l.Targets) >= f.plan.InitialServers || f.plan.File.Registry.Program == plan.ProgramPlain && f.plan.File.Registry.Count > 1 {
			break // plain ones do not replicate
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("registry: %w", &RegistrationError{Registered: len(l.Targets), Expected: f.plan.InitialServers, Within: standInTimeout})
		}
	}
	if f.writers, err = f.startWriters(ctx); err != nil {
		return fmt.Errorf("registry: %w", err)
	}
	if err := f.startRoutes(ctx); err != nil {
		return fmt.Errorf("routes: %w", err)
	}
	return f.startWatchers()
}

func (ks *registryNodes) configure(node *registryNode) error {
	f := ks.fleet.plan.File.Registry
	var text strings.Builder
	own := link.Near(ks.fleet.plan.NearNode(node.index)) // by which the relay knows who calls
	fmt.Fprintf(&text, "name = %q\nfolder = %q\nhttp = %q\nraft = %q\nadvertise_http = \"%s:%d\"\nadvertise_raft = \"127.0.0.1:%d\"\n", node.name,
		filepath.Join(node.folder, "data"), node.http.Addr, node.raft.Addr, own, node.relayPorts[0], node.relayPorts[1])
	fmt.Fprintf(&text, "[leases]\ngrace_ms = %d\nshare = %v\n[timing]\nsnapshot_after = %d\nsnapshot_ms = 200\ntrailing = %d\n", int(f.GraceS*1000),
		f.MaxExpiringShare, f.Snapshot, f.Snapshot)
	for _, p := range ks.nodes {
		fmt.Fprintf(&text, "[[peer]]\nname = %q\nhttp = \"%s:%d\"\nraft = \"127.0.0.1:%d\"\n", p.name, own, p.relayPorts[0], p.relayPorts[1])
	}
	return os.WriteFile(filepath.Join(node.folder, "keeper.toml"), []byte(text.String()), 0o600)
}

// start starts a process of a node.
func (ks *registryNodes) start(node *registryNode) error {
	f := ks.fleet
	args := []string{"keeper", filepath.Join(node.folder, "keeper.toml")}
	if o := f.plan.File.Registry; o.Program == plan.ProgramPlain {
		args = []string{"stand-in", "keeper", "--address", node.http.Addr.String(), "--flaw", o.Flaw}
	}
	p, err := f.starter.Start(proc.Spec{Name: node.name, Path: f.self.Path, Args: args, Log: f.log(node.name), Folder: node.folder,
		Env: f.env("TMPDIR=" + node.folder)})
	if err != nil {
		return err
	}
	f.all.Add(p)
	node.mu.Lock()
	defer node.mu.Unlock()
	node.process = p
	return nil
}

// sample samples memory, descriptors and CPU of each node's process.
func (ks *registryNodes) sample() {
	for _, node := range ks.nodes {
		node.mu.Lock()
		if v, err := node.process.Sample(); err == nil { // one that has ended holds nothing
			p := &node.peak
			if p.Pid != node.process.Pid() || p.First == 0 {
				p.Pid, p.First, p.Used = node.process.Pid(), v.At, 0
				p.Before = v.CPU
			}
			p.MemoryMB, p.Descriptors = max(p.MemoryMB, v.MemoryMB), max(p.Descriptors, v.Descriptors)
			if v.At > p.First {
				p.Used = (v.CPU - p.Before) / (float64(v.At-p.First) / 1e9)
			}
		}
		node.mu.Unlock()
	}
}

// peaks are what was sampled.
func (ks *registryNodes) peaks() (all []check.NodePeak) {
	for _, k := range ks.nodes {
		all = append(all, k.peak)
	}
	return all
}

// stopAll ends all registry nodes as a platform would.
func (ks *registryNodes) stopAll() {
	for _, k := range ks.nodes {
		if k.process != nil {
			ks.fleet.recordError(endProcess(k.process))
		}
	}
}

func (ks *registryNodes) releasePorts() {
	for _, k := range ks.nodes {
		for _, p := range []*link.PortReservation{k.http, k.raft} {
			if p != nil {
				_ = p.Close() // a descriptor that the lab's end would close as well
			}
		}
	}
}
