package replication

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/wal"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// restoredState returns a state of n records, of which the first evacuates the zone mark.
func restoredState(t *testing.T, mark string, n int) *controlstate.State {
	t.Helper()
	state := controlstate.Empty()
	for i := range n {
		change := evacuate(mark)
		switch {
		case i == 0:
		case i%2 == 1:
			change = evacuate("now and then")
		default:
			change = controlstate.Change{Op: controlstate.OpReadmit, Zone: "now and then"}
		}
		var err error
		if state, err = state.Apply(change.Record(state.Seq + 1)); err != nil {
			t.Fatal(err)
		}
	}
	return state
}

// restoredFleet is a fleet of nodes with logs on disk.
type restoredFleet struct {
	*fleet
	folders map[string]string
	nodes   map[string]*Node
}

func (f *restoredFleet) disk(addr string) *wal.Log {
	f.t.Helper()
	disk, err := wal.Open(f.folders[addr], wal.Options{})
	if err != nil {
		f.t.Fatal(err)
	}
	return disk
}

func (f *restoredFleet) restore(addr string, s *controlstate.State) {
	f.t.Helper()
	image, err := RestoredSnapshot(s)
	if err != nil {
		f.t.Fatal(err)
	}
	disk := f.disk(addr)
	if _, err := disk.Load(); err != nil {
		f.t.Fatal(err)
	}
	if err := disk.Install(image); err != nil {
		f.t.Fatal(err)
	}
	if err := disk.Close(); err != nil {
		f.t.Fatal(err)
	}
}

func (f *restoredFleet) run(addr string) {
	f.t.Helper()
	k, err := Start(context.Background(), Options{Addr: addr, Zone: "z", Region: "r", Port: 1, Seeds: f.seeds, Bootstrap: true,
		MachineLosses: 1, Disk: f.disk(addr), Transport: f.net, Log: &log.Logger{Handler: discard.New(), Level: log.InfoLevel}})
	if err != nil {
		f.t.Fatal(err)
	}
	f.net.Set(addr, k.Handler())
	f.nodes[addr] = k
}

func (f *restoredFleet) runAll() {
	f.t.Helper()
	for _, a := range f.seeds {
		f.run(a)
	}
}

func (f *restoredFleet) stopAll() {
	for _, a := range f.seeds {
		f.stop(a, f.nodes[a])
	}
}

// checkServes checks that every node holds the records of want, and that a further change is applied on all of them.
func (f *restoredFleet) checkServes(when string, want *controlstate.State, next string) *controlstate.State {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for _, a := range f.seeds {
		s, err := f.nodes[a].Read(ctx)
		if err != nil || string(s.Encode()) != string(want.Encode()) {
			f.t.Fatalf("%s, %s: %v, want %v: %v", when, a, s, want, err)
		}
	}
	if _, err := f.nodes[f.seeds[1]].Submit(ctx, evacuate(next)); err != nil {
		f.t.Fatalf("%s: %v", when, err)
	}
	after, err := want.Apply(evacuate(next).Record(want.Seq + 1))
	if err != nil {
		f.t.Fatal(err)
	}
	for _, a := range f.seeds {
		s, err := f.nodes[a].Read(ctx)
		if err != nil || string(s.Encode()) != string(after.Encode()) {
			f.t.Fatalf("%s, %s, after a change: %v, want %v: %v", when, a, s, after, err)
		}
	}
	time.Sleep(time.Second)
	for _, a := range f.seeds {
		if !f.nodes[a].Current() || len(f.nodes[a].View().Chain) != len(f.seeds) {
			f.t.Errorf("%s: %s is not current, or the chain is not complete: %v", when, a, f.nodes[a].View())
		}
	}
	return after
}

// TestRestoredNodesFormFirstView restores some of three nodes. It guards against a head that holds nothing, and against other nodes
// continuing with a different log under the same numbers.
func TestRestoredNodesFormFirstView(t *testing.T) {
	long, short, other := restoredState(t, "long", 700), restoredState(t, "long", 300), restoredState(t, "other", 500)
	for _, test := range []struct {
		what string
		on   [3]*controlstate.State // nil: an empty disk
		want *controlstate.State
	}{
		{"all", [3]*controlstate.State{long, long, long}, long},
		{"the first", [3]*controlstate.State{long, nil, nil}, long},
		{"the second", [3]*controlstate.State{nil, long, nil}, long},
		{"the third", [3]*controlstate.State{nil, nil, long}, long},
		{"all but the first", [3]*controlstate.State{nil, short, short}, short},
		{"an older one on the first", [3]*controlstate.State{short, long, long}, long},
		{"an older one on the last", [3]*controlstate.State{long, long, short}, long},
		{"another system's on the second", [3]*controlstate.State{short, other, nil}, other},
		{"as long ones of two systems", [3]*controlstate.State{other, restoredState(t, "third", 500), nil}, other},
	} {
		t.Run(test.what, func(t *testing.T) {
			folders := map[string]string{}
			for _, a := range newFleet(t).seeds {
				folders[a] = t.TempDir()
			}
			bubble.Test(t, func(t *testing.T) {
				group := &restoredFleet{fleet: newFleet(t), folders: folders, nodes: map[string]*Node{}}
				for i, s := range test.on {
					if s != nil {
						group.restore(group.seeds[i], s)
					}
				}
				group.runAll()
				want := group.checkServes("at first", test.want, "new")
				if slices.Contains(test.on[:], nil) && len(want.Evacuated) != len(test.want.Evacuated)+1 {
					t.Error(want)
				}
				group.stopAll()
				group.runAll()
				group.checkServes("after a restart", want, "newer")
				group.stopAll()
			})
		})
	}
}

// TestRestoredNodeThatStartsLate starts a restored node after the others have formed a view and accepted changes. It guards against
// its log, which is longer, being taken for the chain's.
func TestRestoredNodeThatStartsLate(t *testing.T) {
	folders := map[string]string{}
	for _, a := range newFleet(t).seeds {
		folders[a] = t.TempDir()
	}
	bubble.Test(t, func(t *testing.T) {
		group := &restoredFleet{fleet: newFleet(t), folders: folders, nodes: map[string]*Node{}}
		group.restore(group.seeds[0], restoredState(t, "old", 700))
		group.run(group.seeds[1])
		group.run(group.seeds[2])
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if _, err := group.nodes[group.seeds[2]].Submit(ctx, evacuate("x")); err != nil {
			t.Fatal(err)
		}
		group.run(group.seeds[0])
		time.Sleep(5 * time.Second)
		group.checkServes("late", restoredState(t, "x", 1), "y")
		for _, a := range group.seeds {
			group.stop(a, group.nodes[a])
		}
	})
}

// TestRestoredStateIsGoneBeforeTheViewIsThere checks the order of the writes. It guards against a crash between them that leaves a
// view on top of a log that is not the chain's.
func TestRestoredStateIsGoneBeforeTheViewIsThere(t *testing.T) {
	image, err := RestoredSnapshot(restoredState(t, "old", 9))
	if err != nil {
		t.Fatal(err)
	}
	self := Member{ID: "self", Addr: "10.0.0.1"}
	core, err := NewCore(Config{Self: self, Seeds: []string{"10.0.0.1", "10.0.0.2"}, Bootstrap: true}, controlMachine{}, nil, image, nil)
	if err != nil {
		t.Fatal(err)
	}
	view := &View{Epoch: 1, Chain: []ID{"other", "self"}, Voters: []Member{{ID: "other", Addr: "10.0.0.2"}, self}}
	gone := false
	for range 20 {
		core.Tick(0)
		core.adoptView(view)
		core.flush()
		op := core.Ready().Disk
		if op == nil {
			continue
		}
		gone = gone || op.Kind == DiskInstall && op.Snapshot.Seq == 0
		if op.Kind == DiskSaveMeta && core.View().Epoch > 0 && !gone {
			t.Fatal("the view is written before the restored log is removed")
		}
		core.DiskDone(0, op.Token, nil)
	}
	if n, _ := core.Committed(); !gone || core.View().Epoch != 1 || n != 0 {
		t.Errorf("the log is removed: %v, view %d, record %d", gone, core.View().Epoch, n)
	}
}
