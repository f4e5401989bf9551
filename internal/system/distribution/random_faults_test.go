package distribution

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// DISTRIBUTION_SEEDS sets how many seeds run.
func TestRandomFaultsEndInAgreement(t *testing.T) {
	seeds, err := strconv.ParseUint(cmp.Or(os.Getenv("DISTRIBUTION_SEEDS"), "10"), 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { randomFaults(t, rand.New(rand.NewPCG(seed, 7))) })
		})
	}
}

func randomFaults(t *testing.T, rng *rand.Rand) {
	fleet := newFleet("k1:1", "k2:1", "k3:1")
	defer fleet.stop()
	fleet.mesh.mu.Lock()
	fleet.mesh.delay = func(_, _ string) time.Duration { return time.Millisecond + rand.N(20*time.Millisecond) }
	fleet.mesh.mu.Unlock()
	nodes := 0
	start := func() {
		fleet.startProxy(fmt.Sprint("p", nodes), nil)
		nodes++
	}
	for range 8 {
		start()
	}
	hosts := func() []string {
		out := append([]string{}, fleet.names...)
		for n := range fleet.proxies {
			out = append(out, n)
		}
		return out
	}
	var version uint64
	var servers []pick.Server
	back := false
	for range 60 {
		time.Sleep(rand.N(300 * time.Millisecond))
		switch k := fleet.names[rng.IntN(3)]; rng.IntN(9) {
		case 0, 1:
			fleet.chain.add(none())
			if rng.IntN(4) == 0 {
				fleet.chain.mu.Lock()
				fleet.chain.compactedTo = uint64(len(fleet.chain.records))
				fleet.chain.mu.Unlock()
			}
		case 2:
			server := hosts()
			fleet.mesh.setPartitioned(server[rng.IntN(len(server))], server[rng.IntN(len(server))], true)
		case 3:
			fleet.mesh.mu.Lock()
			clear(fleet.mesh.partitioned)
			fleet.mesh.mu.Unlock()
		case 4:
			if fleet.servers[k] != nil && len(fleet.servers) > 1 {
				fleet.killServer(k)
			}
		case 5:
			if fleet.servers[k] == nil {
				fleet.startServer(k)
			}
		case 6:
			fleet.sources[k].setStale(rng.IntN(2) == 0)
		case 7:
			if len(fleet.proxies) > 5 {
				for n, proxy := range fleet.proxies {
					proxy.mu.Lock()
					back = back || proxy.wentBack
					proxy.mu.Unlock()
					fleet.killProxy(n)
					break
				}
			} else {
				start()
			}
		case 8:
			version++
			servers = append(servers, pick.Server{ID: fmt.Sprint("s", version), Service: "a"})
			if len(servers) > 5 {
				servers = servers[1:]
			}
			if fleet.servers[k] != nil {
				_ = fleet.servers[k].PutList(1, version, servers, madeAgo(softstate.Age{}))
			}
		}
	}
	fleet.mesh.mu.Lock()
	clear(fleet.mesh.partitioned)
	fleet.mesh.mu.Unlock()
	for _, k := range fleet.names {
		fleet.sources[k].setStale(false)
		if fleet.servers[k] == nil {
			fleet.startServer(k)
		}
	}
	seq := fleet.chain.add(none())
	time.Sleep(9 * time.Second)
	if err := fleet.servers["k1:1"].PutList(1, version+1, servers, madeAgo(softstate.Age{})); err != nil {
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond)
	defer func() {
		for n, server := range fleet.servers {
			for _, member := range server.Members() {
				if t.Failed() {
					t.Logf("%s: %+v", n, member)
				}
			}
		}
	}()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if err := fleet.servers["k1:1"].WaitAcknowledged(ctx, seq); err != nil {
		t.Error(err)
	}
	within(t, 2*time.Second, "each proxy is followed once", func() bool {
		followed := 0
		for _, server := range fleet.servers {
			followed += len(server.Subscribers())
		}
		return followed == len(fleet.proxies)
	})
	for n, proxy := range fleet.proxies {
		proxy.mu.Lock()
		back = back || proxy.wentBack
		proxy.mu.Unlock()
		update := proxy.subscriber.Current()
		if update.State.Seq != seq || !update.Fresh || len(update.Members) != len(fleet.proxies) || len(update.Servers) != len(servers) {
			t.Errorf("%s: seq %d of %d, fresh %v, members %d of %d, servers %d of %d", n, update.State.Seq, seq, update.Fresh,
				len(update.Members), len(fleet.proxies), len(update.Servers), len(servers))
		}
		for i := range min(len(update.Servers), len(servers)) {
			if update.Servers[i].Service != "a" {
				t.Errorf("%s: server %+v", n, update.Servers[i])
			}
		}
	}
	if back {
		t.Error("a proxy went back")
	}
}
