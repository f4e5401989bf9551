package lab

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"gradeusher.example/gradeusher/internal/client"
	"gradeusher.example/gradeusher/internal/lab/check"
	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/link"
	"gradeusher.example/gradeusher/internal/lab/plan"
	"gradeusher.example/gradeusher/internal/lab/proc"
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
		Args: []string{"stand-in", "relay", "--sidecars", fmt.Sprint(len(f.plan.Sidecars)), "--readers", fmt.Sprint(f.plan.Nears()), "--told", f.records("told", 0), "--shown", f.records("shown", 0)}}, f.hear)
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

// keeperState is what the lab reads of a keeper's status.
type keeperState struct {
	Role    string `json:"role"`
	AgeMS   int64  `json:"age_ms"`
	Rev     int64  `json:"rev"`
	Cluster string `json:"cluster"`
}

const leaderPatience = 10 * time.Second

// leader asks the keepers who leads, by a way without faults, until one does.
func (ks *keepers) leader(ctx context.Context) (*keeper, error) {
	var own []string
	for _, k := range ks.all {
		own = append(own, k.http.Addr.String())
	}
	c, err := client.New(own)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(ctx, leaderPatience)
	defer cancel()
	for {
		all, _ := client.Status[keeperState](ctx, c)
		for _, k := range ks.all {
			if s, ok := all[k.http.Addr.String()]; ok && s.Role == "leader" && s.AgeMS == 0 {
				return k, nil
			}
		}
		select {
		case <-ctx.Done():
			return nil, errors.New("no keeper leads")
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// of is the keeper that a step means: whoever led when its fault began, where it says so.
func (ks *keepers) of(ctx context.Context, s *plan.Step) (*keeper, error) {
	if k, ok := plan.KeeperOf(s.Sidecar); ok {
		return ks.all[k], nil
	}
	ks.mu.Lock()
	k := ks.chosen[s.Fault]
	ks.mu.Unlock()
	if k != nil {
		return k, nil
	}
	if s.Do == plan.Backup || s.Do == plan.Restore {
		return nil, nil // whoever leads
	}
	k, err := ks.leader(ctx)
	if err != nil {
		return nil, err
	}
	ks.mu.Lock()
	defer ks.mu.Unlock()
	ks.chosen[s.Fault] = k
	return k, nil
}

// nameOf is whom a step acts on.
func (ks *keepers) nameOf(s *plan.Step) string {
	if k, ok := plan.KeeperOf(s.Sidecar); ok {
		return ks.all[k].name
	}
	ks.mu.Lock()
	defer ks.mu.Unlock()
	if k := ks.chosen[s.Fault]; k != nil {
		return k.name
	}
	return "leader"
}

// inTurn has steps that wait run one after the other where they act on one keeper, and beside each other where not.
func (ks *keepers) inTurn(s *plan.Step, run func()) {
	ks.mu.Lock()
	before := ks.turns[s.Sidecar]
	own := make(chan struct{})
	ks.turns[s.Sidecar] = own
	ks.mu.Unlock()
	go func() {
		defer close(own)
		if before != nil {
			<-before
		}
		run()
	}()
}

// step does what a step says to a keeper.
func (ks *keepers) step(ctx context.Context, s *plan.Step) (int64, error) {
	k, err := ks.of(ctx, s)
	if err != nil {
		return clock.Now(), err
	}
	switch s.Do {
	case plan.Stop, plan.Cont, plan.Disk:
		k.mu.Lock()
		defer k.mu.Unlock()
		now := clock.Now()
		switch s.Do {
		case plan.Stop:
			return now, k.run.Signal(syscall.SIGSTOP, false)
		case plan.Cont:
			return now, k.run.Signal(syscall.SIGCONT, false)
		}
		return now, k.run.Disk(s.Mode)
	case plan.Tear:
		return clock.Now(), tear(filepath.Join(k.folder, "data", "raft"), s.Mode)
	case plan.Link, plan.Reset, plan.Forget:
		return ks.links(k, s)
	case plan.Backup, plan.Restore:
		return clock.Now(), ks.save(ctx, s.Do == plan.Backup)
	case plan.Start:
		return clock.Now(), ks.start(k)
	}
	k.mu.Lock()
	p := k.run
	k.mu.Unlock()
	at := clock.Now()
	sig := syscall.SIGKILL
	if s.Do == plan.Term {
		sig = syscall.SIGTERM
	}
	_, err = endBy(p, sig)
	return at, err
}

// save takes a backup, or restores the one that was taken.
func (ks *keepers) save(ctx context.Context, take bool) error {
	c, ctx, done, err := ks.fleet.callKeepers(ctx)
	if err != nil {
		return err
	}
	defer done()
	ks.mu.Lock()
	defer ks.mu.Unlock()
	if take {
		ks.backup, err = c.Backup(ctx, true)
		return err
	}
	_, err = c.Restore(ctx, ks.backup)
	return err
}

// tear takes the end off a keeper's newest log file ("torn") or snapshot ("short").
func tear(folder, mode string) error {
	pattern := filepath.Join(folder, "log.bolt")
	if mode == "short" {
		pattern = filepath.Join(folder, "snapshots", "*", "state.bin")
	}
	paths, err := filepath.Glob(pattern)
	if err != nil || len(paths) == 0 {
		return fmt.Errorf("nothing to tear at %s: %w", pattern, err)
	}
	slices.SortFunc(paths, func(a, b string) int { return cmp.Compare(modified(a), modified(b)) })
	path := paths[len(paths)-1]
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	return os.Truncate(path, info.Size()/2)
}

func modified(path string) int64 {
	info, err := os.Stat(path)
	if err != nil {
		return math.MinInt64
	}
	return info.ModTime().UnixNano()
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

// links begins or ends a fault of a keeper's links, and tells the relay what all of them make of every link.
func (ks *keepers) links(k *keeper, s *plan.Step) (at int64, err error) {
	ks.mu.Lock()
	defer ks.mu.Unlock()
	nears := ks.nears(k, s.From)
	if s.Do != plan.Link {
		n, err := ks.relay.order(ctl.Order{Do: s.Do, UID: k.name, Nears: nears})
		if err != nil || s.From != "" && s.From != "peers" {
			return n.At, err
		}
		for _, other := range ks.all {
			if other != k {
				if n, err = ks.relay.order(ctl.Order{Do: s.Do, UID: other.name, Nears: []int{ks.fleet.plan.NearKeeper(k.index)}}); err != nil {
					return n.At, err
				}
			}
		}
		return n.At, nil
	}
	if s.On {
		on := *s
		on.Sidecar = plan.KeeperIndex(k.index)
		ks.active = append(ks.active, &on)
	} else {
		ks.active = slices.DeleteFunc(ks.active, func(a *plan.Step) bool {
			return a.Fault == s.Fault && a.Sidecar == plan.KeeperIndex(k.index)
		})
	}
	for _, far := range ks.all {
		groups := map[link.State][]int{}
		for near := range ks.fleet.plan.Nears() {
			state := ks.state(far, near)
			groups[state] = append(groups[state], near)
		}
		for state, nears := range groups {
			n, err := ks.relay.order(ctl.Order{Do: "link", UID: far.name, Nears: nears, State: &state})
			if err != nil {
				return n.At, err
			}
			at = max(at, n.At)
		}
	}
	return at, nil
}

// nears are the near ends of a keeper's links: its peers, its clients, or both.
func (ks *keepers) nears(k *keeper, from string) (all []int) {
	for near := range ks.fleet.plan.Nears() {
		if peer := ks.peer(near); peer != k && ks.meant(near, from) {
			all = append(all, near)
		}
	}
	return all
}

// meant tells whether a fault of a keeper's links, from some of its callers, is of the link from a near end.
func (ks *keepers) meant(near int, from string) bool {
	p := ks.fleet.plan
	switch from {
	case "peers":
		return ks.peer(near) != nil
	case "clients":
		return ks.peer(near) == nil
	case "sidecars":
		return near < len(p.Sidecars)
	case "servers":
		return near >= p.NearHost(0) && near < p.NearHost(p.Hosts())
	}
	return true
}

// peer is the keeper that a near end is; nil: a client.
func (ks *keepers) peer(near int) *keeper {
	if i := near - ks.fleet.plan.NearKeeper(0); i >= 0 && i < len(ks.all) {
		return ks.all[i]
	}
	return nil
}

// state is what all faults make of the link from a near end to a keeper. ks.mu is held.
func (ks *keepers) state(far *keeper, near int) (state link.State) {
	peer := ks.peer(near)
	for _, s := range ks.active {
		e := s.Effect
		switch k, _ := plan.KeeperOf(s.Sidecar); {
		case k == far.index && ks.meant(near, s.From):
		case peer != nil && k == peer.index && (s.From == "" || s.From == "peers"): // its own calls: what it hears comes the other way
			e.HoldFar, e.HoldNear = e.HoldNear, e.HoldFar
		default:
			continue
		}
		addEffect(&state, e)
	}
	return state
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
		if k.run != nil && !k.run.End(endWithin) {
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
