package waymark

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

	"gradeusher.example/gradeusher/internal/cairn"
	"gradeusher.example/gradeusher/internal/trail/pick"
)

// within fails the test unless ok comes true before d is over.
func within(t *testing.T, d time.Duration, what string, ok func() bool) {
	t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > d {
			t.Fatalf("not within %v: %s", d, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (fl *fleet) cutOff(host string, cut bool) {
	for _, k := range fl.names {
		fl.mesh.setCut(host, k, cut)
		fl.mesh.setCut(k, host, cut)
	}
}

func (p *proxy) sees(node string) bool {
	for _, m := range p.update().Members {
		if m.Node == node && !m.Leaving {
			return true
		}
	}
	return false
}

func TestRandomFaultsEndInAgreement(t *testing.T) {
	seeds, err := strconv.ParseUint(cmp.Or(os.Getenv("WAYMARK_SEEDS"), "10"), 10, 64)
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
		fl.startFollower(fmt.Sprint("p", nodes), nil)
		nodes++
	}
	for range 8 {
		start()
	}
	hosts := func() []string {
		out := append([]string{}, fl.names...)
		for n := range fl.followers {
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
				fl.chain.gone = uint64(len(fl.chain.records))
				fl.chain.mu.Unlock()
			}
		case 2:
			h := hosts()
			fl.mesh.setCut(h[rng.IntN(len(h))], h[rng.IntN(len(h))], true)
		case 3:
			fl.mesh.mu.Lock()
			clear(fl.mesh.cut)
			fl.mesh.mu.Unlock()
		case 4:
			if fl.hubs[k] != nil && len(fl.hubs) > 1 {
				fl.killHub(k)
			}
		case 5:
			if fl.hubs[k] == nil {
				fl.startHub(k)
			}
		case 6:
			fl.sources[k].setStale(rng.IntN(2) == 0)
		case 7:
			if len(fl.followers) > 5 {
				for n, p := range fl.followers {
					p.mu.Lock()
					back = back || p.back
					p.mu.Unlock()
					fl.killFollower(n)
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
			if fl.hubs[k] != nil {
				_ = fl.hubs[k].PutList(1, version, servers, 0)
			}
		}
	}
	fl.mesh.mu.Lock()
	clear(fl.mesh.cut)
	fl.mesh.mu.Unlock()
	for _, k := range fl.names {
		fl.sources[k].setStale(false)
		if fl.hubs[k] == nil {
			fl.startHub(k)
		}
	}
	seq := fl.chain.add(none())
	time.Sleep(9 * time.Second)
	if err := fl.hubs["k1:1"].PutList(1, version+1, servers, 0); err != nil {
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond)
	defer func() {
		for n, h := range fl.hubs {
			for _, m := range h.Members() {
				if t.Failed() {
					t.Logf("%s: %+v", n, m)
				}
			}
		}
	}()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if err := fl.hubs["k1:1"].Acknowledged(ctx, seq); err != nil {
		t.Error(err)
	}
	within(t, 2*time.Second, "each proxy is followed once", func() bool {
		followed := 0
		for _, h := range fl.hubs {
			followed += len(h.Followers())
		}
		return followed == len(fl.followers)
	})
	for n, p := range fl.followers {
		p.mu.Lock()
		back = back || p.back
		p.mu.Unlock()
		u := p.f.Held()
		if u.State.Seq != seq || !u.Fresh || len(u.Members) != len(fl.followers) || len(u.Servers) != len(servers) {
			t.Errorf("%s: seq %d of %d, fresh %v, members %d of %d, servers %d of %d", n, u.State.Seq, seq, u.Fresh,
				len(u.Members), len(fl.followers), len(u.Servers), len(servers))
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

func TestProxiesStayMembersWhileTheirKeeperIsKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet("k1:1", "k2:1", "k3:1")
		defer fl.stop()
		for i := range 9 {
			fl.startFollower(fmt.Sprint("p", i), nil)
		}
		time.Sleep(6 * time.Second)
		fl.killHub("k1:1")
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			for n, p := range fl.followers {
				if got := len(p.update().Members); got != 9 {
					t.Fatalf("%s knows %d members", n, got)
				}
			}
		}
	})
}

func TestSilentProxyIsDownUntilItCallsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet("k1:1", "k2:1", "k3:1")
		defer fl.stop()
		a, b := fl.startFollower("a", nil), fl.startFollower("b", nil)
		within(t, time.Second, "a sees b", func() bool { return a.sees("b") && b.sees("a") })
		time.Sleep(5 * time.Second)
		fl.cutOff("b", true)
		within(t, 3*time.Second, "b is down", func() bool { return !a.sees("b") })
		if b.f.Held().Fresh {
			t.Error("b takes itself for fresh")
		}
		fl.cutOff("b", false)
		within(t, 2*time.Second, "b is back", func() bool { return a.sees("b") && b.f.Held().Fresh })
		fl.killFollower("b")
		within(t, 3*time.Second, "b is down again", func() bool { return !a.sees("b") })
		time.Sleep(65 * time.Second)
		if got := len(fl.hubs["k1:1"].Members()); got != 1 {
			t.Errorf("%d members are kept", got)
		}
		fl.startFollower("b", nil)
		within(t, time.Second, "b is back in another life", func() bool { return a.sees("b") })
	})
}

func TestLeavingIsKnownAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet("k1:1", "k2:1", "k3:1")
		defer fl.stop()
		a, b := fl.startFollower("a", nil), fl.startFollower("b", nil)
		within(t, time.Second, "a sees b", func() bool { return a.sees("b") })
		start := time.Now()
		if err := b.f.Leave(t.Context()); err != nil {
			t.Fatal(err)
		}
		within(t, 150*time.Millisecond-time.Since(start), "b leaves", func() bool { return !a.sees("b") })
		fl.cutOff("a", true)
		start = time.Now()
		if err := a.f.Leave(t.Context()); err == nil || time.Since(start) > leaveWithin {
			t.Errorf("cut off: %v after %v", err, time.Since(start))
		}
	})
}

func TestAcknowledgementWaitsForConnectedProxiesOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet("k1:1", "k2:1", "k3:1")
		defer fl.stop()
		for i := range 6 {
			fl.startFollower(fmt.Sprint("p", i), nil)
		}
		time.Sleep(6 * time.Second)
		fl.cutOff("p3", true)
		seq := fl.chain.add(none())
		for name, h := range fl.hubs {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			if h.Acknowledged(ctx, seq) == nil {
				t.Errorf("%s: acknowledged while p3, not yet known to be cut off, may hold the former", name)
			}
			cancel()
		}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		if err := fl.hubs["k1:1"].Acknowledged(ctx, seq); err != nil {
			t.Error(err)
		}
	})
}

func TestLoadsOfOthersAreToldAndForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet("k1:1", "k2:1", "k3:1")
		defer fl.stop()
		type told struct {
			own    chan map[string]pick.Load
			others chan map[string]pick.Load
		}
		proxies := map[string]*told{}
		for i, n := range []string{"a", "b", "c"} {
			x := &told{make(chan map[string]pick.Load, 1), make(chan map[string]pick.Load, 1)}
			x.own <- nil
			x.others <- nil
			proxies[n] = x
			fl.startFollower(n, func(o *FollowerOptions) {
				o.Self.Zone = "zone-" + fl.names[i]
				o.Loads = func() map[string]pick.Load { l := <-x.own; x.own <- l; return l }
				o.OnLoads = func(l map[string]pick.Load) { <-x.others; x.others <- l }
			})
		}
		set := func(n string, l map[string]pick.Load) { <-proxies[n].own; proxies[n].own <- l }
		others := func(n, server string) pick.Load {
			l := <-proxies[n].others
			proxies[n].others <- l
			return l[server]
		}
		time.Sleep(6 * time.Second)
		set("a", map[string]pick.Load{"s": {Requests: 3, Prefill: 128, Tokens: 512}})
		set("b", map[string]pick.Load{"s": {Requests: 5}, "r": {Requests: 1}})
		within(t, 500*time.Millisecond, "all are told", func() bool {
			return others("c", "s") == pick.Load{Requests: 8, Prefill: 128, Tokens: 512} && others("c", "r").Requests == 1 &&
				others("a", "s").Requests == 5 && others("b", "s") == pick.Load{Requests: 3, Prefill: 128, Tokens: 512}
		})
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			if others("a", "s").Requests != 5 || others("c", "s").Requests != 8 {
				t.Fatalf("told %+v and %+v", others("a", "s"), others("c", "s"))
			}
		}
		set("a", map[string]pick.Load{"s": {Requests: 1}})
		within(t, 500*time.Millisecond, "less", func() bool { return others("c", "s").Requests == 6 && others("b", "s").Requests == 1 })
		fl.killFollower("b")
		within(t, 2*time.Second, "a load is forgotten", func() bool { return others("c", "s").Requests == 1 && others("a", "s").Requests == 0 })
		set("a", nil)
		within(t, 500*time.Millisecond, "nothing", func() bool { return others("c", "s") == pick.Load{} })
	})
}

func TestKeeperThatIsNotCurrentIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet("k1:1", "k2:1", "k3:1")
		defer fl.stop()
		for i := range 6 {
			fl.startFollower(fmt.Sprint("p", i), nil)
		}
		time.Sleep(2 * time.Second)
		fl.sources["k1:1"].setStale(true)
		fl.sources["k2:1"].setStale(true)
		seq := fl.chain.add(none())
		within(t, 2500*time.Millisecond, "all hold the newest", func() bool {
			for _, p := range fl.followers {
				if p.f.Held().State.Seq != seq {
					return false
				}
			}
			return true
		})
		// Without any that is current the soft state still flows.
		fl.sources["k3:1"].setStale(true)
		fl.chain.add(none())
		time.Sleep(4 * time.Second)
		if err := fl.hubs["k2:1"].PutList(1, 1, []pick.Server{{ID: "s"}}, 0); err != nil {
			t.Fatal(err)
		}
		within(t, 2*time.Second, "all hold the server", func() bool {
			for _, p := range fl.followers {
				if u := p.f.Held(); u.State.Seq != seq || u.Fresh || len(u.Servers) != 1 || len(u.Members) != 6 {
					return false
				}
			}
			return true
		})
	})
}

func TestServersOutliveARestartOfAllKeepers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet("k1:1", "k2:1", "k3:1")
		defer fl.stop()
		p := fl.startFollower("p", nil)
		time.Sleep(4 * time.Second)
		list := []pick.Server{{ID: "s"}, {ID: "r"}}
		if err := fl.hubs["k2:1"].PutList(1, 1000, list, 0); err != nil {
			t.Fatal(err)
		}
		within(t, time.Second, "two servers", func() bool { return len(p.update().Servers) == 2 })
		for _, k := range fl.names {
			fl.killHub(k)
		}
		time.Sleep(time.Second)
		for _, k := range fl.names {
			fl.startHub(k)
		}
		for range 100 {
			time.Sleep(10 * time.Millisecond)
			if len(p.f.Held().Servers) != 2 {
				t.Fatal("a server was forgotten")
			}
		}
		// The poller counts from the start again; s is gone.
		if err := fl.hubs["k1:1"].PutList(1, 1, list[1:], 0); err != nil {
			t.Fatal(err)
		}
		within(t, 5*time.Second, "one server", func() bool { return len(p.update().Servers) == 1 })
	})
}

func TestNeighboursFeedWhereNoKeeperIsReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet("k1:1", "k2:1", "k3:1")
		defer fl.stop()
		fl.startFollower("a", nil)
		seq := fl.chain.add(cairn.Record{Op: cairn.OpEvacuate, Zone: "z"})
		time.Sleep(4 * time.Second)
		if err := fl.hubs["k1:1"].PutList(1, 1, []pick.Server{{ID: "s"}}, 0); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		for _, k := range fl.names {
			fl.killHub(k)
		}
		b := fl.startFollower("b", func(o *FollowerOptions) { o.Seeds = append([]string{"a:2"}, o.Seeds...) })
		within(t, 2*time.Second, "b holds what a holds", func() bool {
			u := b.update()
			return u.State != nil && u.State.Seq == seq && u.State.Evacuated["z"] && len(u.Servers) == 1 && !u.Fresh
		})
		fl.startHub("k3:1")
		within(t, 2*time.Second, "b is fresh", func() bool { return b.update().Fresh })
	})
}

func TestNearestKeeperIsTakenAndTakenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet("k1:1", "k2:1", "k3:1")
		defer fl.stop()
		p := fl.startFollower("p", func(o *FollowerOptions) { o.Self.Zone = "zone-k2:1" })
		follows := func() string {
			p.f.mu.Lock()
			defer p.f.mu.Unlock()
			return p.f.current
		}
		within(t, 3*time.Second, "the nearest", func() bool { return follows() == "k2:1" })
		fl.killHub("k2:1")
		within(t, time.Second, "another", func() bool { f := follows(); return f != "" && f != "k2:1" })
		time.Sleep(time.Second)
		fl.startHub("k2:1")
		within(t, 11*time.Second, "the nearest again", func() bool { return follows() == "k2:1" })
	})
}
