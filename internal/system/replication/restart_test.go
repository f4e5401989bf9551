package replication

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"gradeusher.example/gradeusher/internal/system/wal"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// TestAllNodesRestartFromTheirLogs stops all nodes at the same moment and restarts them from their own files. It guards against
// acknowledged changes that are on disk but that no node serves.
func TestAllNodesRestartFromTheirLogs(t *testing.T) {
	folders := map[string]string{}
	bubble.Test(t, func(t *testing.T) {
		fleet := &restartedFleet{fleet: newFleet(t), folders: folders, nodes: map[string]*Node{}}
		for _, a := range fleet.seeds {
			folders[a] = t.TempDir()
		}
		for round, zone := range []string{"a", "b", "c", "d"} {
			for _, a := range fleet.seeds {
				fleet.nodes[a] = fleet.start(a, round == 0)
			}
			if round > 0 { // after a start of all nodes, what is on disk is committed again before any call
				fleet.checkCommitted(round)
			}
			if round == 2 { // one node is down for long enough that the others continue without it
				away := fleet.seeds[round%3]
				fleet.stop(away, fleet.nodes[away])
				time.Sleep(3 * time.Second)
				fleet.nodes[away] = fleet.start(away, false)
				time.Sleep(3 * time.Second)
			}
			fleet.evacuateOneMore(round, zone)
			for _, a := range fleet.seeds {
				fleet.stop(a, fleet.nodes[a])
			}
		}
	})
}

// restartedFleet is a fleet of nodes with logs on disk, which are restarted several times.
type restartedFleet struct {
	*fleet
	folders map[string]string
	nodes   map[string]*Node
}

func (f *restartedFleet) start(addr string, bootstrap bool) *Node {
	f.t.Helper()
	disk, err := wal.Open(f.folders[addr], wal.Options{})
	if err != nil {
		f.t.Fatal(err)
	}
	node, err := Start(context.Background(), Options{Addr: addr, Zone: "z", Region: "r", Port: 1, Seeds: f.seeds,
		Bootstrap: bootstrap, MachineLosses: 1, Disk: disk, Transport: f.net,
		Log: &log.Logger{Handler: discard.New(), Level: log.InfoLevel}})
	if err != nil {
		f.t.Fatal(err)
	}
	f.net.Set(addr, node.Handler())
	return node
}

// checkCommitted checks that all nodes soon know the given number of evacuations to be committed.
func (f *restartedFleet) checkCommitted(evacuations int) {
	f.t.Helper()
	time.Sleep(250 * time.Millisecond)
	for _, a := range f.seeds {
		if s, _ := f.nodes[a].Committed(); len(s.Evacuated) != evacuations {
			f.t.Errorf("round %d: %s knows of %d changes after 250 ms: replicas request records too rarely", evacuations, a, len(s.Evacuated))
		}
	}
}

// evacuateOneMore reads the evacuations of the previous rounds at one node, adds one, and reads it at another node.
func (f *restartedFleet) evacuateOneMore(round int, zone string) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if s, err := f.nodes[f.seeds[round%3]].Read(ctx); err != nil || len(s.Evacuated) != round {
		f.t.Fatalf("round %d: before the new change: %v %v", round, s, err)
	}
	if _, err := f.nodes[f.seeds[round%3]].Submit(ctx, evacuate(zone)); err != nil {
		f.t.Fatalf("round %d: %v", round, err)
	}
	s, err := f.nodes[f.seeds[(round+1)%3]].Read(ctx)
	if err != nil || len(s.Evacuated) != round+1 {
		f.t.Fatalf("round %d: %v %v", round, s, err)
	}
}
