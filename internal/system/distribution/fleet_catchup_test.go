package distribution

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// zoneChangeRecord returns the n-th of a sequence of small changes, each of which applies to the state after the former one.
func zoneChangeRecord(n int) controlstate.Record {
	if n%2 == 0 {
		return controlstate.Record{Op: controlstate.OpEvacuate, Zone: "z"}
	}
	return controlstate.Record{Op: controlstate.OpReadmit, Zone: "z"}
}

// runAbsence starts a proxy on a configuration of size bytes and isolates it while the given number of changes are acknowledged. Then it
// brings the only current node back without its older records, and continues with 20 changes per second. It returns how long after the
// end of the partition the proxy was up to date, and the bytes that were transmitted until then.
func runAbsence(t *testing.T, changes, size int, lose bool) (took time.Duration, bytes int64) {
	t.Helper()
	fleet := newFleet("k1:1", "k2:1", "k3:1")
	defer fleet.stop()
	fleet.chain.add(largeConfigRecord(t, size, rand.NewChaCha8([32]byte{7})))
	proxy := fleet.startProxy("p", nil)
	eventually(t, 5*time.Second, "it starts", func() bool { return proxy.update().State != nil && proxy.update().State.Seq == 1 })
	fleet.isolate("p", true)
	for i := range changes {
		fleet.chain.add(zoneChangeRecord(i))
	}
	time.Sleep(20 * time.Second)
	fleet.sources["k2:1"].setStale(true)
	fleet.killServer("k1:1")
	fleet.chain.mu.Lock()
	fleet.chain.compactedTo = uint64(len(fleet.chain.records)) // the node came back by a snapshot
	fleet.chain.mu.Unlock()
	fleet.startServer("k1:1")
	fleet.sources["k3:1"].setStale(!lose)
	fleet.mesh.mu.Lock()
	fleet.mesh.bytes = 0
	fleet.mesh.mu.Unlock()
	fleet.isolate("p", false)
	start := time.Now()
	for i := changes; ; i++ {
		fleet.chain.add(zoneChangeRecord(i))
		time.Sleep(45 * time.Millisecond)
		if lose && i == changes+2 {
			feeder := "k3:1"
			if len(fleet.servers["k1:1"].Subscribers()) > 0 {
				feeder = "k1:1"
			}
			fleet.killServer(feeder)
		}
		if fleet.chain.seq()-proxy.subscriber.Current().State.Seq == 0 && proxy.subscriber.Current().Fresh {
			break
		}
		if time.Since(start) > 20*time.Second {
			t.Fatalf("the proxy has record %d of %d after %v", proxy.subscriber.Current().State.Seq, fleet.chain.seq(), time.Since(start))
		}
	}
	fleet.mesh.mu.Lock()
	defer fleet.mesh.mu.Unlock()
	return time.Since(start), fleet.mesh.bytes
}

// TestProxyAwayForHundredsOfChanges: a proxy that was isolated for 400 and for 2,000 changes catches up within 3 s by one snapshot, from
// a node that has just restarted and has no older records, while 20 changes per second continue. This also holds if the node that serves
// the proxy is lost midway.
func TestProxyAwayForHundredsOfChanges(t *testing.T) {
	for _, n := range []int{400, 2000} {
		for _, size := range []int{1 << 10, 600 << 10} {
			for _, lose := range []bool{false, true} {
				bubble.Test(t, func(t *testing.T) {
					took, bytes := runAbsence(t, n, size, lose)
					t.Logf("%d changes, %d bytes, node lost: %v: up to date after %v, %d bytes", n, size, lose, took, bytes)
					most := int64(size) + 256<<10
					if lose {
						most += int64(size)
					}
					if took > 3*time.Second || bytes > most {
						t.Errorf("%d changes of a state of %d bytes, node lost: %v: up to date after %v and %d bytes", n, size, lose, took, bytes)
					}
				})
			}
		}
	}
}

// TestWholeFleetStartsAtOnce: 410 proxies that start at one node at the same time are all served within 5 s, and the state is encoded and
// compressed once for all of them.
func TestWholeFleetStartsAtOnce(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const proxies = 410
		fleet := newFleet("k1:1")
		defer fleet.stop()
		seq := fleet.chain.add(largeConfigRecord(t, 100<<10, rand.NewChaCha8([32]byte{8})))
		for i := range proxies {
			fleet.startProxy(fmt.Sprint("p", i), nil)
		}
		eventually(t, 5*time.Second, "all are served", func() bool {
			for _, proxy := range fleet.proxies {
				if update := proxy.update(); update.State == nil || update.State.Seq != seq {
					return false
				}
			}
			return true
		})
		if n := fleet.servers["k1:1"].snapshot.count; n != 1 {
			t.Errorf("%d snapshots were encoded, want 1", n)
		}
	})
}
