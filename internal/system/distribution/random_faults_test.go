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
	fl := newFleet("k1:1", "k2:1", "k3:1")
	defer fl.stop()
	fl.mesh.mu.Lock()
	fl.mesh.delay = func(_, _ string) time.Duration { return time.Millisecond + rand.N(20*time.Millisecond) }
	fl.mesh.mu.Unlock()
	nodes := 0
	start := func() {
		fl.startProxy(fmt.Sprint("p", nodes), nil)
		nodes++
	}
	for range 8 {
		start()
	}
	hosts := func() []string {
		out := append([]string{}, fl.names...)
		for n := range fl.proxies {
			out = append(out, n)
		}
		return out
	}
	var version uint64
	var servers []pick.Server
	back := false
	for range 60 {
		time.Sleep(rand.N(300 * time.Millisecond))
		switch k := fl.names[rng.IntN(3)]; rng.IntN(9) {
		case 0, 1:
			fl.chain.add(none())
			if rng.IntN(4) == 0 {
				fl.chain.mu.Lock()
				fl.chain.compactedTo = uint64(len(fl.chain.records))
				fl.chain.mu.Unlock()
			}
		case 2:
			h := hosts()
			fl.mesh.setPartitioned(h[rng.IntN(len(h))], h[rng.IntN(len(h))], true)
		case 3:
			fl.mesh.mu.Lock()
			clear(fl.mesh.partitioned)
			fl.mesh.mu.Unlock()
		case 4:
			if fl.servers[k] != nil && len(fl.servers) > 1 {
				fl.killServer(k)
			}
		case 5:
			if fl.servers[k] == nil {
				fl.startServer(k)
			}
		case 6:
			fl.sources[k].setStale(rng.IntN(2) == 0)
		case 7:
			if len(fl.proxies) > 5 {
				for n, p := range fl.proxies {
					p.mu.Lock()
					back = back || p.wentBack
					p.mu.Unlock()
					fl.killProxy(n)
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
			if fl.servers[k] != nil {
				_ = fl.servers[k].PutList(1, version, servers, madeAgo(softstate.Age{}))
			}
		}
	}
	fl.mesh.mu.Lock()
	clear(fl.mesh.partitioned)
	fl.mesh.mu.Unlock()
	for _, k := range fl.names {
		fl.sources[k].setStale(false)
		if fl.servers[k] == nil {
			fl.startServer(k)
		}
	}
	seq := fl.chain.add(none())
	time.Sleep(9 * time.Second)
	if err := fl.servers["k1:1"].PutList(1, version+1, servers, madeAgo(softstate.Age{})); err != nil {
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond)
	defer func() {
		for n, h := range fl.servers {
			for _, m := range h.Members() {
				if t.Failed() {
					t.Logf("%s: %+v", n, m)
				}
			}
		}
	}()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if err := fl.servers["k1:1"].WaitAcknowledged(ctx, seq); err != nil {
		t.Error(err)
	}
	within(t, 2*time.Second, "each proxy is followed once", func() bool {
		followed := 0
		for _, h := range fl.servers {
			followed += len(h.Subscribers())
		}
		return followed == len(fl.proxies)
	})
	for n, p := range fl.proxies {
		p.mu.Lock()
		back = back || p.wentBack
		p.mu.Unlock()
		u := p.subscriber.Current()
		if u.State.Seq != seq || !u.Fresh || len(u.Members) != len(fl.proxies) || len(u.Servers) != len(servers) {
			t.Errorf("%s: seq %d of %d, fresh %v, members %d of %d, servers %d of %d", n, u.State.Seq, seq, u.Fresh,
				len(u.Members), len(fl.proxies), len(u.Servers), len(servers))
		}
		for i := range min(len(u.Servers), len(servers)) {
			if u.Servers[i].Service != "a" {
				t.Errorf("%s: server %+v", n, u.Servers[i])
			}
		}
	}
	if back {
		t.Error("a proxy went back")
	}
}
