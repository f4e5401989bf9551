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

// keepers is the keepers of an experiment, behind a relay that gives each of their links faults of its own.
type keepers struct {
	fleet *Fleet
	relay *child
	all   []*keeper
	// watchers is the process of clients that only watch; nil: there are none.
	watchers *child

	mu     sync.Mutex
	chosen map[int]*keeper       // by fault: who led when it began
	turns  map[int]chan struct{} // by process index: closed when its last step is over
	active []*plan.Step          // faults of links
	backup []byte
}

// keeper is one place where a keeper's processes run, one after the other.
type keeper struct {
	index      int
	name       string
	folder     string
	http, raft *link.Place // where the process listens
	fronts     [2]int      // ports of the relay: HTTP, raft

	mu   sync.Mutex
	run  *proc.Process
	peak check.KeeperPeak
}

// keeperAddresses are where a near end reaches the keepers.
func (f *Fleet) keeperAddresses(near int) (all []string) {
	for _, k := range f.keepers.all {
		all = append(all, fmt.Sprintf("%s:%d", link.Near(near), k.fronts[0]))
	}
	return all
}

// callKeepers is a client of the keepers for the lab itself, and a context that bounds what it waits for. done ends both.
func (f *Fleet) callKeepers(ctx context.Context) (c *client.Client, within context.Context, done func(), err error) {
	if c, err = client.New(f.keeperAddresses(f.plan.NearWriter())); err != nil {
		return nil, nil, nil, err
	}
	within, cancel := context.WithTimeout(ctx, patience)
	return c, within, func() { cancel(); c.Close() }, nil
}

// startKeepers starts the relay and all keepers, and waits until one leads.
func (f *Fleet) startKeepers(ctx context.Context) error {
	n := f.plan.File.Keepers.Count
	ks := &keepers{fleet: f, chosen: map[int]*keeper{}, turns: map[int]chan struct{}{}}
	f.keepers = ks
	var err error
	ks.relay, err = startChild(f.starter, proc.Spec{Name: "relay", Path: f.self.Path, Log: f.log("relay"), Env: f.env("TMPDIR=" + f.work),
		Args: []string{"stand-in", "relay", "--sidecars", fmt.Sprint(len(f.plan.Sidecars)), "--readers", fmt.Sprint(f.plan.Nears()), "--told", f.records("told", 0), "--shown", f.records("shown", 0),
			"--routes", f.records("routes", 0)}}, f.hear)
	if err != nil {
		return err
	}
	f.all.Add(ks.relay.Process)
	for i := range n {
		k := &keeper{index: i, name: plan.KeeperName(i), folder: filepath.Join(f.work, plan.KeeperName(i))}
		ks.all = append(ks.all, k)
		if err := os.Mkdir(k.folder, 0o700); err != nil {
			return err
		}
		// A keeper calls its peers from the address that it listens at, by which the relay knows it.
		if k.raft, err = link.Reserve(link.Near(f.plan.NearKeeper(i))); err != nil {
			return err
		}
		if k.http, err = link.Reserve(link.Near(f.plan.NearKeeper(i))); err != nil {
			return err
		}
		for j, front := range []ctl.Order{{Front: k.http.Addr.String()}, {Front: k.raft.Addr.String(), BySource: true}} {
			front.Do, front.UID = "front", k.name
			news, err := ks.relay.order(front)
			if err != nil {
				return err
			}
			k.fronts[j] = news.Ports[0]
		}
	}
	for _, k := range ks.all {
		if err := ks.configure(k); err != nil {
			return err
		}
		if err := ks.start(k); err != nil {
			return err
		}
	}
	c, ctx, done, err := f.callKeepers(ctx)
	if err != nil {
		return err
	}
	defer done()
	if _, err := c.List(ctx, f.plan.File.Keepers.Program == "keeper"); err != nil {
		return fmt.Errorf("keepers: %w", err)
	}
	return nil
}

// fillKeepers waits until all servers that stand are on the keepers' list, and starts whoever else uses it.
func (f *Fleet) fillKeepers(ctx context.Context) error {
	c, ctx, done, err := f.callKeepers(ctx)
	if err != nil {
		return err
	}
	defer done()
	for {
		l, err := c.List(ctx, false)
		if err != nil {
			return fmt.Errorf("keepers: %w", err)
		}
		if len(l.Targets) >= f.plan.Standing || f.plan.File.Keepers.Program == "plain" && f.plan.File.Keepers.Count > 1 {
			break // plain ones do not know what others were told
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("keepers: %d of %d servers registered within %v", len(l.Targets), f.plan.Standing, patience)
		}
	}
	if f.writers, err = f.startWriters(ctx); err != nil {
		return fmt.Errorf("keepers: %w", err)
	}
	if err := f.startRoutes(ctx); err != nil {
		return fmt.Errorf("routes: %w", err)
	}
	return f.startWatchers()
}

func (ks *keepers) configure(k *keeper) error {
	f := ks.fleet.plan.File.Keepers
	var text strings.Builder
	own := link.Near(ks.fleet.plan.NearKeeper(k.index)) // by which the relay knows who calls
	fmt.Fprintf(&text, "name = %q\nfolder = %q\nhttp = %q\nraft = %q\nadvertise_http = \"%s:%d\"\nadvertise_raft = \"127.0.0.1:%d\"\n", k.name,
		filepath.Join(k.folder, "data"), k.http.Addr, k.raft.Addr, own, k.fronts[0], k.fronts[1])
	fmt.Fprintf(&text, "[leases]\ngrace_ms = %d\nshare = %v\n[timing]\nsnapshot_after = %d\nsnapshot_ms = 200\ntrailing = %d\n", int(f.GraceS*1000),
		f.Share, f.Snapshot, f.Snapshot)
	for _, p := range ks.all {
		fmt.Fprintf(&text, "[[peer]]\nname = %q\nhttp = \"%s:%d\"\nraft = \"127.0.0.1:%d\"\n", p.name, own, p.fronts[0], p.fronts[1])
	}
	return os.WriteFile(filepath.Join(k.folder, "keeper.toml"), []byte(text.String()), 0o600)
}

// start starts a process of a keeper.
func (ks *keepers) start(k *keeper) error {
	f := ks.fleet
	args := []string{"keeper", filepath.Join(k.folder, "keeper.toml")}
	if o := f.plan.File.Keepers; o.Program == "plain" {
		args = []string{"stand-in", "keeper", "--address", k.http.Addr.String(), "--flaw", o.Flaw}
	}
	p, err := f.starter.Start(proc.Spec{Name: k.name, Path: f.self.Path, Args: args, Log: f.log(k.name), Folder: k.folder,
		Env: f.env("TMPDIR=" + k.folder)})
	if err != nil {
		return err
	}
	f.all.Add(p)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.run = p
	return nil
}

// sample looks at what each keeper's process holds and has used.
func (ks *keepers) sample() {
	for _, k := range ks.all {
		k.mu.Lock()
		if v, err := k.run.Sample(); err == nil { // one that has ended holds nothing
			p := &k.peak
			if p.Pid != k.run.Pid() || p.First == 0 {
				p.Pid, p.First, p.Used = k.run.Pid(), v.At, 0
				p.Before = v.CPU
			}
			p.MemoryMB, p.Descriptors = max(p.MemoryMB, v.MemoryMB), max(p.Descriptors, v.Descriptors)
			if v.At > p.First {
				p.Used = (v.CPU - p.Before) / (float64(v.At-p.First) / 1e9)
			}
		}
		k.mu.Unlock()
	}
}

// peaks are what was sampled.
func (ks *keepers) peaks() (all []check.KeeperPeak) {
	for _, k := range ks.all {
		all = append(all, k.peak)
	}
	return all
}

// startWatchers starts the clients that only watch.
func (f *Fleet) startWatchers() error {
	n := f.plan.File.Keepers.Watchers
	if n == 0 {
		return nil
	}
	args := []string{"stand-in", "watchers"}
	for i := range n {
		args = append(args, "--of", strings.Join(f.keeperAddresses(f.plan.NearWatcher(i)), "/"))
	}
	c, err := startChild(f.starter, proc.Spec{Name: "watchers", Path: f.self.Path, Log: f.log("watchers"), Env: f.env("TMPDIR=" + f.work), Args: args}, f.hear)
	if err != nil {
		return err
	}
	f.all.Add(c.Process)
	f.keepers.watchers = c
	return nil
}

const settleWithin = 15 * time.Second // for all watchers to hear the last of it, when the faults are over

// settle waits, when all faults are over, until a keeper leads and has told every watcher its revision, or for long enough.
// It returns what the last revision is; 0: nobody leads.
func (ks *keepers) settle(ctx context.Context) (last check.Last) {
	ctx, cancel := context.WithTimeout(ctx, settleWithin)
	defer cancel()
	path := ks.fleet.records("shown", 0)
	for {
		k, err := ks.leader(ctx)
		if err != nil {
			return last
		}
		c, err := client.New([]string{k.http.Addr.String()})
		if err != nil {
			return last
		}
		all, _ := client.Status[keeperState](ctx, c)
		c.Close()
		for _, s := range all {
			last = check.Last{Cluster: s.Cluster, Rev: s.Rev}
		}
		shown, err := ctl.ReadRecords[ctl.Shown](path)
		if err == nil && len(check.Behind(ks.fleet.plan, shown, last)) == 0 {
			return last
		}
		select {
		case <-time.After(200 * time.Millisecond):
		case <-ctx.Done():
			return last
		}
	}
}

// finish ends the watchers, then the keepers as a platform would, and the relay last.
func (ks *keepers) finish() {
	for _, k := range ks.all {
		if k.run != nil && !k.run.Terminate(endWithin) {
			ks.fleet.fault(fmt.Errorf("%s had to be killed at the end", k.name))
		}
	}
}

func (ks *keepers) leave() {
	for _, k := range ks.all {
		for _, p := range []*link.Place{k.http, k.raft} {
			if p != nil {
				p.Close()
			}
		}
	}
}
