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
	fleet    *Fleet
	relay    *child
	nodes    []*registryNode
	watchers *child // the process of clients that only watch; nil: there are none

	mu            sync.Mutex
	leaderByFault map[int]*registryNode // who led when a fault began, by its index in the file
	lastStepDone  map[int]chan struct{} // closed when the last step of a process is over, by process index
	activeFaults  []*plan.Step          // faults of links
	backup        []byte                // the latest one
}

// registryNode is where the processes of one registry node run, one after the other.
type registryNode struct {
	index      int
	name       string
	folder     string
	http, raft *link.PortReservation // where the process listens
	httpFront  int                   // port of the relay in front of http
	raftFront  int                   // port of the relay in front of raft

	mu      sync.Mutex
	process *proc.Process
	peak    check.NodePeak
}

// registryAddresses are where a near end reaches the registry nodes: IP address and port of each.
func (f *Fleet) registryAddresses(near int) (addresses []string) {
	for _, node := range f.registry.nodes {
		addresses = append(addresses, fmt.Sprintf("%s:%d", link.Near(near), node.httpFront))
	}
	return addresses
}

// dialRegistry returns a client of the registry for the lab itself, and a context that bounds what it waits for by standInTimeout. done
// ends both.
func (f *Fleet) dialRegistry(ctx context.Context) (registry *client.Client, within context.Context, done func(), err error) {
	if registry, err = client.New(f.registryAddresses(f.plan.NearWriter())); err != nil {
		return nil, nil, nil, err
	}
	within, cancel := context.WithTimeout(ctx, standInTimeout)
	return registry, within, func() { cancel(); registry.Close() }, nil
}

// startRegistry starts the relay and all registry nodes, and waits until one leads.
func (f *Fleet) startRegistry(ctx context.Context) (err error) {
	started := &registryNodes{fleet: f, leaderByFault: map[int]*registryNode{}, lastStepDone: map[int]chan struct{}{}}
	f.registry = started
	started.relay, err = f.startStandIn("relay", []string{"relay", "--sidecars", fmt.Sprint(len(f.plan.Sidecars)), "--readers", fmt.Sprint(f.plan.Nears()),
		"--told", f.records(recordsOfListUpdates, 0), "--shown", f.records(recordsOfRegistryUpdates, 0), "--routes", f.records(recordsOfRouteUpdates, 0)})
	if err != nil {
		return err
	}
	for index := range f.plan.File.Registry.Count {
		if err := started.addNode(index); err != nil {
			return err
		}
	}
	for _, node := range started.nodes { // a node's configuration names all others
		if err := started.configure(node); err != nil {
			return err
		}
		if err := started.start(node); err != nil {
			return err
		}
	}
	registry, ctx, done, err := f.dialRegistry(ctx)
	if err != nil {
		return err
	}
	defer done()
	if _, err := registry.List(ctx, f.plan.File.Registry.Program == plan.ProgramRegistry); err != nil {
		return fmt.Errorf("registry: %w", err)
	}
	return nil
}

// addNode makes a node's folder, reserves its ports, and opens the ports of the relay in front of them.
func (ks *registryNodes) addNode(index int) (err error) {
	node := &registryNode{index: index, name: plan.NodeName(index), folder: filepath.Join(ks.fleet.work, plan.NodeName(index))}
	ks.nodes = append(ks.nodes, node)
	if err := os.Mkdir(node.folder, 0o700); err != nil {
		return err
	}
	// A node calls its peers from the address that it listens at, by which the relay knows it.
	address := link.Near(ks.fleet.plan.NearNode(index))
	if node.raft, err = link.Reserve(address); err != nil {
		return err
	}
	if node.http, err = link.Reserve(address); err != nil {
		return err
	}
	if node.httpFront, err = ks.openFront(ctl.Order{UID: node.name, Front: node.http.Addr.String()}); err != nil {
		return err
	}
	node.raftFront, err = ks.openFront(ctl.Order{UID: node.name, Front: node.raft.Addr.String(), BySource: true})
	return err
}

// openFront has the relay open a port as the order says, and returns the port.
func (ks *registryNodes) openFront(order ctl.Order) (port int, err error) {
	order.Do = ctl.CommandFront
	event, err := ks.relay.order(order)
	if err != nil {
		return 0, err
	}
	return event.Ports[0], nil
}

const registrationPollInterval = 20 * time.Millisecond

// awaitRegistration waits until all servers of the start are registered, and starts the registry's other clients. It fails with a
// *RegistrationError after standInTimeout.
func (f *Fleet) awaitRegistration(ctx context.Context) error {
	registry, ctx, done, err := f.dialRegistry(ctx)
	if err != nil {
		return err
	}
	defer done()
	for {
		published, err := registry.List(ctx, false)
		if err != nil {
			return fmt.Errorf("registry: %w", err)
		}
		if f.registered(len(published.Targets)) {
			break
		}
		select {
		case <-time.After(registrationPollInterval):
		case <-ctx.Done():
			return fmt.Errorf("registry: %w", &RegistrationError{Registered: len(published.Targets), Expected: f.plan.InitialServers, Within: standInTimeout})
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

// registered reports whether enough servers are registered for the start. No one of several plain nodes gets them all, as they do not
// replicate.
func (f *Fleet) registered(servers int) bool {
	settings := f.plan.File.Registry
	replicated := settings.Program != plan.ProgramPlain || settings.Count <= 1
	return servers >= f.plan.InitialServers || !replicated
}

// configure writes a node's configuration.
func (ks *registryNodes) configure(node *registryNode) error {
	settings := ks.fleet.plan.File.Registry
	var text strings.Builder
	own := link.Near(ks.fleet.plan.NearNode(node.index)) // by which the relay knows who calls
	fmt.Fprintf(&text, "name = %q\nfolder = %q\nhttp = %q\nraft = %q\nadvertise_http = \"%s:%d\"\nadvertise_raft = \"127.0.0.1:%d\"\n", node.name,
		filepath.Join(node.folder, "data"), node.http.Addr, node.raft.Addr, own, node.httpFront, node.raftFront)
	fmt.Fprintf(&text, "[leases]\ngrace_ms = %d\nshare = %v\n[timing]\nsnapshot_after = %d\nsnapshot_ms = 200\ntrailing = %d\n", int(settings.GraceS*1000),
		settings.MaxExpiringShare, settings.Snapshot, settings.Snapshot)
	for _, peer := range ks.nodes {
		fmt.Fprintf(&text, "[[peer]]\nname = %q\nhttp = \"%s:%d\"\nraft = \"127.0.0.1:%d\"\n", peer.name, own, peer.httpFront, peer.raftFront)
	}
	return os.WriteFile(node.configPath(), []byte(text.String()), 0o600)
}

// configPath is the path of a node's configuration.
func (n *registryNode) configPath() string { return filepath.Join(n.folder, "keeper.toml") }

// start starts a process of a node.
func (ks *registryNodes) start(node *registryNode) error {
	fleet := ks.fleet
	args := []string{"keeper", node.configPath()}
	if settings := fleet.plan.File.Registry; settings.Program == plan.ProgramPlain {
		args = []string{"stand-in", "keeper", "--address", node.http.Addr.String(), "--flaw", settings.Flaw}
	}
	process, err := fleet.starter.Start(proc.Spec{Name: node.name, Path: fleet.self.Path, Args: args, Log: fleet.log(node.name), Folder: node.folder,
		Env: fleet.env("TMPDIR=" + node.folder)})
	if err != nil {
		return err
	}
	fleet.all.Add(process)
	node.mu.Lock()
	defer node.mu.Unlock()
	node.process = process
	return nil
}

// sample samples memory, descriptors and CPU time of each node's process.
func (ks *registryNodes) sample() {
	for _, node := range ks.nodes {
		node.sample()
	}
}

// sample samples the node's process. The peaks of memory and descriptors are those of all its processes; CPU time counts from the first
// sample of the latest one.
func (n *registryNode) sample() {
	n.mu.Lock()
	defer n.mu.Unlock()
	sampled, err := n.process.Sample()
	if err != nil {
		return // a process that has ended holds nothing
	}
	peak := &n.peak
	if peak.Pid != n.process.Pid() || peak.First == 0 {
		peak.Pid, peak.First, peak.Before, peak.Used = n.process.Pid(), sampled.At, sampled.CPU, 0
	}
	peak.MemoryMB, peak.Descriptors = max(peak.MemoryMB, sampled.MemoryMB), max(peak.Descriptors, sampled.Descriptors)
	if sampled.At > peak.First {
		peak.Used = (sampled.CPU - peak.Before) / (float64(sampled.At-peak.First) / 1e9)
	}
}

// peaks are what was sampled of each node.
func (ks *registryNodes) peaks() (peaks []check.NodePeak) {
	for _, node := range ks.nodes {
		peaks = append(peaks, node.peak)
	}
	return peaks
}

// stopAll shuts down all registry nodes as a platform would.
func (ks *registryNodes) stopAll() {
	for _, node := range ks.nodes {
		if node.process != nil {
			ks.fleet.recordError(endProcess(node.process))
		}
	}
}

// releasePorts releases the ports of all nodes. Errors are left alone: the lab's end closes the descriptors as well.
func (ks *registryNodes) releasePorts() {
	for _, node := range ks.nodes {
		for _, reservation := range []*link.PortReservation{node.http, node.raft} {
			if reservation != nil {
				_ = reservation.Close()
			}
		}
	}
}
