package replication

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/wal"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
	"gradeusher.example/gradeusher/internal/testsupport/memorynet"
)

// memDisk is a wal.Disk in memory.
type memDisk struct {
	mu sync.Mutex
	p  simDisk
}

func newMemDisk() *memDisk { return &memDisk{p: simDisk{meta: map[string][]byte{}}} }

func (d *memDisk) Load() (wal.Contents, error) {
	return wal.Contents{Meta: clone(d.p.meta), Snapshot: d.p.snap, Entries: append([]wal.Entry(nil), d.p.entries...)}, nil
}

func (d *memDisk) do(op DiskOp) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	time.Sleep(time.Millisecond) // of the bubble's clock
	d.p.do(&op, len(op.Entries))
	return nil
}

func (d *memDisk) Append(e []wal.Entry) error {
	return d.do(DiskOp{Kind: DiskAppend, Entries: e})
}
func (d *memDisk) Truncate(after uint64) error {
	return d.do(DiskOp{Kind: DiskTruncate, After: after})
}
func (d *memDisk) Compact(s wal.Snapshot) error {
	return d.do(DiskOp{Kind: DiskCompact, Snapshot: s})
}
func (d *memDisk) Install(s wal.Snapshot) error {
	return d.do(DiskOp{Kind: DiskInstall, Snapshot: s})
}
func (d *memDisk) SaveMeta(name string, data []byte) error {
	return d.do(DiskOp{Kind: DiskSaveMeta, Name: name, Data: data})
}

type fleet struct {
	t     *testing.T
	net   *memorynet.Network
	disks map[string]*memDisk
	seeds []string
}

// newFleet returns a fleet of three nodes that are not started yet.
func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, net: &memorynet.Network{Delay: time.Millisecond}, disks: map[string]*memDisk{}}
	for i := range 3 {
		f.seeds = append(f.seeds, fmt.Sprintf("10.0.0.%d", i+1))
	}
	return f
}

func (f *fleet) start(addr string, bootstrap bool) *Node {
	f.t.Helper()
	if f.disks[addr] == nil {
		f.disks[addr] = newMemDisk()
	}
	k, err := Start(context.Background(), Options{
		Addr: addr, Zone: "z", Region: "r", Port: 1, Seeds: f.seeds, Bootstrap: bootstrap, MachineLosses: 1,
		Disk: f.disks[addr], Transport: f.net, Log: &log.Logger{Handler: discard.New(), Level: log.InfoLevel},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.net.Set(addr, k.Handler())
	return k
}

func (f *fleet) stop(addr string, k *Node) {
	f.net.Set(addr, nil)
	k.Stop()
}

func evacuate(zone string) controlstate.Change {
	return controlstate.Change{Op: controlstate.OpEvacuate, Zone: zone}
}

func TestNodesSubmitReadAndReplaceLostDisk(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		group := newFleet(t)
		nodes := map[string]*Node{}
		for _, a := range group.seeds {
			nodes[a] = group.start(a, true)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, changed := nodes["10.0.0.3"].Committed()
		if a, err := nodes["10.0.0.2"].Submit(ctx, evacuate("a")); err != nil || a.Kind != controlstate.Accepted || a.Seq == 0 {
			t.Fatal(a, err)
		}
		<-changed
		for _, a := range group.seeds {
			s, err := nodes[a].Read(ctx)
			if err != nil || !s.Evacuated["a"] {
				t.Fatal(s, err)
			}
		}
		group.replaceHeadsDisk(nodes)
		group.checkEvacuated(nodes, "a")
		// Leave removes a node from the chain without a timeout.
		began := time.Now()
		nodes[group.seeds[1]].Leave(context.Background())
		if d := time.Since(began); d > 300*time.Millisecond {
			t.Errorf("leaving took %v", d)
		}
		for _, a := range group.seeds {
			group.stop(a, nodes[a])
		}
		if _, err := nodes[group.seeds[0]].Submit(context.Background(), evacuate("b")); !errors.Is(err, ErrStopped) {
			t.Error(err)
		}
	})
}

// replaceHeadsDisk restarts the head on an empty disk, and checks that another identity replaces it.
func (f *fleet) replaceHeadsDisk(nodes map[string]*Node) {
	f.t.Helper()
	lost := string(nodes[f.seeds[0]].View().Head())
	for _, a := range f.seeds {
		if string(nodes[a].Self().ID) == lost {
			f.stop(a, nodes[a])
			delete(f.disks, a)
			nodes[a] = f.start(a, false)
		}
	}
	time.Sleep(4 * time.Second)
	v := nodes[f.seeds[0]].View()
	if len(v.Chain) != 3 || v.chainIndex(ID(lost)) >= 0 {
		f.t.Fatalf("after a lost disk: %v", v)
	}
}

// checkEvacuated checks that all nodes are current and that the zone is evacuated.
func (f *fleet) checkEvacuated(nodes map[string]*Node, zone string) {
	f.t.Helper()
	for _, a := range f.seeds {
		if !nodes[a].Current() {
			f.t.Errorf("node %s is not current", a)
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if s, err := nodes[a].Read(ctx); err != nil || !s.Evacuated[zone] {
			f.t.Error(s, err)
		}
		cancel()
	}
}

func TestLoneNodeReportsNotApplied(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFleet(t)
		k := f.start(f.seeds[0], true)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if _, err := k.Submit(ctx, evacuate("a")); !errors.Is(err, ErrUnavailable) {
			t.Error(err)
		}
		if k.Current() {
			t.Error("a lone node counts as current")
		}
		f.stop(f.seeds[0], k)
	})
}
