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

// TestAllNodesRestartFromTheirLogs ends all keepers at the same moment and starts them again on their own files. Danger:
// what was acknowledged is on disk, and nobody answers for it.
func TestAllNodesRestartFromTheirLogs(t *testing.T) {
	folders := map[string]string{}
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		for _, a := range f.seeds {
			folders[a] = t.TempDir()
		}
		start := func(addr string, bootstrap bool) *Node {
			disk, err := wal.Open(folders[addr], wal.Options{})
			if err != nil {
				t.Fatal(err)
			}
			k, err := Start(context.Background(), Options{Addr: addr, Zone: "z", Region: "r", Port: 1, Seeds: f.seeds,
				Bootstrap: bootstrap, MachineLosses: 1, Disk: disk, Transport: f.net,
				Log: &log.Logger{Handler: discard.New(), Level: log.InfoLevel}})
			if err != nil {
				t.Fatal(err)
			}
			f.net.set(addr, k.Handler())
			return k
		}
		zones := []string{"a", "b", "c", "d"}
		for round, zone := range zones {
			ks := map[string]*Node{}
			for _, a := range f.seeds {
				ks[a] = start(a, round == 0)
			}
			if round > 0 { // after a start of all, what is on disk is committed anew before any call
				time.Sleep(250 * time.Millisecond)
				for _, a := range f.seeds {
					if s, _ := ks[a].Committed(); len(s.Evacuated) != round {
						t.Errorf("round %d: %s knows of %d changes after 250 ms: links ask too seldom to be fed", round, a, len(s.Evacuated))
					}
				}
			}
			if round == 2 { // one is away for long enough that the others go on without it
				away := f.seeds[round%3]
				f.stop(away, ks[away])
				time.Sleep(3 * time.Second)
				ks[away] = start(away, false)
				time.Sleep(3 * time.Second)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			if s, err := ks[f.seeds[round%3]].Read(ctx); err != nil || len(s.Evacuated) != round {
				t.Fatalf("round %d: before anything new: %v %v", round, s, err)
			}
			if _, err := ks[f.seeds[round%3]].Submit(ctx, evacuate(zone)); err != nil {
				t.Fatalf("round %d: %v", round, err)
			}
			s, err := ks[f.seeds[(round+1)%3]].Read(ctx)
			cancel()
			if err != nil || len(s.Evacuated) != round+1 {
				t.Fatalf("round %d: %v %v", round, s, err)
			}
			for _, a := range f.seeds {
				f.stop(a, ks[a])
			}
		}
	})
}
