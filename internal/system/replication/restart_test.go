package replication

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"gradeusher.example/gradeusher/internal/system/wal"
)

// TestAllNodesRestartFromTheirLogs ends all nodes at the same moment and starts them again on their own files. Danger:
// what was acknowledged is on disk, and nobody answers for it.
func TestAllNodesRestartFromTheirLogs(t *testing.T) {
	folders := map[string]string{}
	synctest.Test(t, func(t *testing.T) {
		group := newFleet(t)
		for _, a := range group.seeds {
			folders[a] = t.TempDir()
		}
		start := func(addr string, bootstrap bool) *Node {
			disk, err := wal.Open(folders[addr], wal.Options{})
			if err != nil {
				t.Fatal(err)
			}
			k, err := Start(context.Background(), Options{Addr: addr, Zone: "z", Region: "r", Port: 1, Seeds: group.seeds,
				Bootstrap: bootstrap, MachineLosses: 1, Disk: disk, Transport: group.net,
				Log: &log.Logger{Handler: discard.New(), Level: log.InfoLevel}})
			if err != nil {
				t.Fatal(err)
			}
			group.net.set(addr, k.Handler())
			return k
		}
		zones := []string{"a", "b", "c", "d"}
		for round, zone := range zones {
			nodes := map[string]*Node{}
			for _, a := range group.seeds {
				nodes[a] = start(a, round == 0)
			}
			if round > 0 { // after a start of all, what is on disk is committed anew before any call
				time.Sleep(250 * time.Millisecond)
				for _, a := range group.seeds {
					if s, _ := nodes[a].Committed(); len(s.Evacuated) != round {
						t.Errorf("round %d: %s knows of %d changes after 250 ms: links ask too seldom to be fed", round, a, len(s.Evacuated))
					}
				}
			}
			if round == 2 { // one is away for long enough that the others go on without it
				away := group.seeds[round%3]
				group.stop(away, nodes[away])
				time.Sleep(3 * time.Second)
				nodes[away] = start(away, false)
				time.Sleep(3 * time.Second)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			if s, err := nodes[group.seeds[round%3]].Read(ctx); err != nil || len(s.Evacuated) != round {
				t.Fatalf("round %d: before anything new: %v %v", round, s, err)
			}
			if _, err := nodes[group.seeds[round%3]].Submit(ctx, evacuate(zone)); err != nil {
				t.Fatalf("round %d: %v", round, err)
			}
			s, err := nodes[group.seeds[(round+1)%3]].Read(ctx)
			cancel()
			if err != nil || len(s.Evacuated) != round+1 {
				t.Fatalf("round %d: %v %v", round, s, err)
			}
			for _, a := range group.seeds {
				group.stop(a, nodes[a])
			}
		}
	})
}
