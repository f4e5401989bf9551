package distribution

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// eventually fails the test unless ok returns true within d.
func eventually(t *testing.T, d time.Duration, what string, ok func() bool) {
	t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > d {
			t.Fatalf("condition not met within %v: %s", d, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (fl *testFleet) isolate(host string, cut bool) {
	for _, k := range fl.names {
		fl.mesh.setPartitioned(host, k, cut)
		fl.mesh.setPartitioned(k, host, cut)
	}
}

func (p *testProxy) sees(node string) bool {
	for _, member := range p.update().Members {
		if member.Node == node && !member.Draining {
			return true
		}
	}
	return false
}

func TestProxiesStayMembersWhileTheirNodeIsKilled(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleet("k1:1", "k2:1", "k3:1")
		defer fleet.stop()
		for i := range 9 {
			fleet.startProxy(fmt.Sprint("p", i), nil)
		}
		time.Sleep(6 * time.Second)
		fleet.killServer("k1:1")
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			for n, proxy := range fleet.proxies {
				if got := len(proxy.update().Members); got != 9 {
					t.Fatalf("proxy %s knows %d members", n, got)
				}
			}
		}
	})
}

func TestTimedOutProxyIsDownUntilItCallsAgain(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleet("k1:1", "k2:1", "k3:1")
		defer fleet.stop()
		proxyA, proxyB := fleet.startProxy("a", nil), fleet.startProxy("b", nil)
		eventually(t, time.Second, "a sees b", func() bool { return proxyA.sees("b") && proxyB.sees("a") })
		time.Sleep(5 * time.Second)
		fleet.isolate("b", true)
		eventually(t, 3*time.Second, "b is down", func() bool { return !proxyA.sees("b") })
		if proxyB.subscriber.Current().Fresh {
			t.Error("b, which is isolated, is fresh")
		}
		fleet.isolate("b", false)
		eventually(t, 2*time.Second, "b is back", func() bool { return proxyA.sees("b") && proxyB.subscriber.Current().Fresh })
		fleet.killProxy("b")
		eventually(t, 3*time.Second, "b is down again", func() bool { return !proxyA.sees("b") })
		time.Sleep(65 * time.Second)
		if got := len(fleet.servers["k1:1"].Members()); got != 1 {
			t.Errorf("the table has %d members, want 1", got)
		}
		fleet.startProxy("b", nil)
		eventually(t, time.Second, "b is back in another incarnation", func() bool { return proxyA.sees("b") })
	})
}

func TestDrainingIsPublishedAtOnce(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleet("k1:1", "k2:1", "k3:1")
		defer fleet.stop()
		proxyA, proxyB := fleet.startProxy("a", nil), fleet.startProxy("b", nil)
		eventually(t, time.Second, "a sees b", func() bool { return proxyA.sees("b") })
		start := time.Now()
		if err := proxyB.subscriber.Leave(t.Context()); err != nil {
			t.Fatal(err)
		}
		eventually(t, 150*time.Millisecond-time.Since(start), "b leaves", func() bool { return !proxyA.sees("b") })
		fleet.isolate("a", true)
		start = time.Now()
		if err := proxyA.subscriber.Leave(t.Context()); err == nil || time.Since(start) > leaveTimeout {
			t.Errorf("isolated proxy: Leave returned %v after %v", err, time.Since(start))
		}
	})
}

func TestAcknowledgementWaitsForConnectedProxiesOnly(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleet("k1:1", "k2:1", "k3:1")
		defer fleet.stop()
		for i := range 6 {
			fleet.startProxy(fmt.Sprint("p", i), nil)
		}
		time.Sleep(6 * time.Second)
		fleet.isolate("p3", true)
		seq := fleet.chain.add(noOpRecord())
		for name, server := range fleet.servers {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			if server.WaitAcknowledged(ctx, seq) == nil {
				t.Errorf("%s: acknowledged before p3 was known to be isolated, so p3 may have the former state", name)
			}
			cancel()
		}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		if err := fleet.servers["k1:1"].WaitAcknowledged(ctx, seq); err != nil {
			t.Error(err)
		}
	})
}

func TestLoadsOfOthersArePublishedAndExpire(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleet("k1:1", "k2:1", "k3:1")
		defer fleet.stop()
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
			fleet.startProxy(n, func(options *SubscriberOptions) {
				options.Self.Zone = "zone-" + fleet.names[i]
				options.Loads = func() map[string]pick.Load { l := <-x.own; x.own <- l; return l }
				options.OnLoads = func(l map[string]pick.Load) { <-x.others; x.others <- l }
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
		eventually(t, 500*time.Millisecond, "all are notified", func() bool {
			return others("c", "s") == pick.Load{Requests: 8, Prefill: 128, Tokens: 512} && others("c", "r").Requests == 1 &&
				others("a", "s").Requests == 5 && others("b", "s") == pick.Load{Requests: 3, Prefill: 128, Tokens: 512}
		})
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			if others("a", "s").Requests != 5 || others("c", "s").Requests != 8 {
				t.Fatalf("got load %+v at a and %+v at c", others("a", "s"), others("c", "s"))
			}
		}
		set("a", map[string]pick.Load{"s": {Requests: 1}})
		eventually(t, 500*time.Millisecond, "less", func() bool { return others("c", "s").Requests == 6 && others("b", "s").Requests == 1 })
		fleet.killProxy("b")
		eventually(t, 2*time.Second, "a load is forgotten", func() bool { return others("c", "s").Requests == 1 && others("a", "s").Requests == 0 })
		set("a", nil)
		eventually(t, 500*time.Millisecond, "nothing", func() bool { return others("c", "s") == pick.Load{} })
	})
}

func TestSubscriberLeavesNodeThatIsNotCurrent(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleet("k1:1", "k2:1", "k3:1")
		defer fleet.stop()
		for i := range 6 {
			fleet.startProxy(fmt.Sprint("p", i), nil)
		}
		time.Sleep(2 * time.Second)
		fleet.sources["k1:1"].setStale(true)
		fleet.sources["k2:1"].setStale(true)
		seq := fleet.chain.add(noOpRecord())
		eventually(t, 2500*time.Millisecond, "all have the newest", func() bool {
			for _, proxy := range fleet.proxies {
				if proxy.subscriber.Current().State.Seq != seq {
					return false
				}
			}
			return true
		})
		// Even if no node is current, soft state is still distributed.
		fleet.sources["k3:1"].setStale(true)
		fleet.chain.add(noOpRecord())
		time.Sleep(4 * time.Second)
		putList(t, fleet.servers["k2:1"], 1, 1, []pick.Server{{ID: "s"}}, softstate.Age{})
		eventually(t, 2*time.Second, "all have the server", func() bool {
			for _, proxy := range fleet.proxies {
				if update := proxy.subscriber.Current(); update.State.Seq != seq || update.Fresh || len(update.Servers) != 1 || len(update.Members) != 6 {
					return false
				}
			}
			return true
		})
	})
}

func TestServersOutliveRestartOfAllNodes(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleet("k1:1", "k2:1", "k3:1")
		defer fleet.stop()
		proxy := fleet.startProxy("p", nil)
		time.Sleep(4 * time.Second)
		list := []pick.Server{{ID: "s"}, {ID: "r"}}
		putList(t, fleet.servers["k2:1"], 1, 1000, list, softstate.Age{})
		eventually(t, time.Second, "two servers", func() bool { return len(proxy.update().Servers) == 2 })
		for _, k := range fleet.names {
			fleet.killServer(k)
		}
		time.Sleep(time.Second)
		for _, k := range fleet.names {
			fleet.startServer(k)
		}
		for range 100 {
			time.Sleep(10 * time.Millisecond)
			if len(proxy.subscriber.Current().Servers) != 2 {
				t.Fatal("a server was dropped")
			}
		}
		// The poller restarts its versions; s is gone.
		putList(t, fleet.servers["k1:1"], 1, 1, list[1:], softstate.Age{})
		eventually(t, 5*time.Second, "one server", func() bool { return len(proxy.update().Servers) == 1 })
	})
}

func TestNeighboursServeWhereNoNodeIsReached(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleet("k1:1", "k2:1", "k3:1")
		defer fleet.stop()
		fleet.startProxy("a", nil)
		seq := fleet.chain.add(controlstate.Record{Op: controlstate.OpEvacuate, Zone: "z"})
		time.Sleep(4 * time.Second)
		putList(t, fleet.servers["k1:1"], 1, 1, []pick.Server{{ID: "s"}}, softstate.Age{})
		time.Sleep(time.Second)
		for _, k := range fleet.names {
			fleet.killServer(k)
		}
		proxyB := fleet.startProxy("b", func(options *SubscriberOptions) { options.Seeds = append([]string{"a:2"}, options.Seeds...) })
		eventually(t, 2*time.Second, "b has what a has", func() bool {
			update := proxyB.update()
			return update.State != nil && update.State.Seq == seq && update.State.Evacuated["z"] && len(update.Servers) == 1 && !update.Fresh
		})
		fleet.startServer("k3:1")
		eventually(t, 2*time.Second, "b is fresh", func() bool { return proxyB.update().Fresh })
	})
}

func TestNearestNodeIsChosenAndChosenAgain(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleet("k1:1", "k2:1", "k3:1")
		defer fleet.stop()
		proxy := fleet.startProxy("p", func(options *SubscriberOptions) { options.Self.Zone = "zone-k2:1" })
		follows := func() string {
			proxy.subscriber.mu.Lock()
			defer proxy.subscriber.mu.Unlock()
			return proxy.subscriber.nodes.serving
		}
		eventually(t, 3*time.Second, "the nearest", func() bool { return follows() == "k2:1" })
		fleet.killServer("k2:1")
		eventually(t, time.Second, "another", func() bool { f := follows(); return f != "" && f != "k2:1" })
		time.Sleep(time.Second)
		fleet.startServer("k2:1")
		eventually(t, 11*time.Second, "the nearest again", func() bool { return follows() == "k2:1" })
	})
}
