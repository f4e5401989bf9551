package distribution

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
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

func (fl *testFleet) isolate(host string, cut bool) {
	for _, k := range fl.names {
		fl.mesh.setPartitioned(host, k, cut)
		fl.mesh.setPartitioned(k, host, cut)
	}
}

func (p *testProxy) sees(node string) bool {
	for _, m := range p.update().Members {
		if m.Node == node && !m.Draining {
			return true
		}
	}
	return false
}

func TestProxiesStayMembersWhileTheirNodeIsKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet("k1:1", "k2:1", "k3:1")
		defer fl.stop()
		for i := range 9 {
			fl.startProxy(fmt.Sprint("p", i), nil)
		}
		time.Sleep(6 * time.Second)
		fl.killServer("k1:1")
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			for n, p := range fl.proxies {
				if got := len(p.update().Members); got != 9 {
					t.Fatalf("%s knows %d members", n, got)
				}
			}
		}
	})
}

func TestTimedOutProxyIsDownUntilItCallsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet("k1:1", "k2:1", "k3:1")
		defer fl.stop()
		a, b := fl.startProxy("a", nil), fl.startProxy("b", nil)
		within(t, time.Second, "a sees b", func() bool { return a.sees("b") && b.sees("a") })
		time.Sleep(5 * time.Second)
		fl.isolate("b", true)
		within(t, 3*time.Second, "b is down", func() bool { return !a.sees("b") })
		if b.subscriber.Current().Fresh {
			t.Error("b takes itself for fresh")
		}
		fl.isolate("b", false)
		within(t, 2*time.Second, "b is back", func() bool { return a.sees("b") && b.subscriber.Current().Fresh })
		fl.killProxy("b")
		within(t, 3*time.Second, "b is down again", func() bool { return !a.sees("b") })
		time.Sleep(65 * time.Second)
		if got := len(fl.servers["k1:1"].Members()); got != 1 {
			t.Errorf("%d members are kept", got)
		}
		fl.startProxy("b", nil)
		within(t, time.Second, "b is back in another life", func() bool { return a.sees("b") })
	})
}

func TestDrainingIsPublishedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet("k1:1", "k2:1", "k3:1")
		defer fl.stop()
		a, b := fl.startProxy("a", nil), fl.startProxy("b", nil)
		within(t, time.Second, "a sees b", func() bool { return a.sees("b") })
		start := time.Now()
		if err := b.subscriber.Leave(t.Context()); err != nil {
			t.Fatal(err)
		}
		within(t, 150*time.Millisecond-time.Since(start), "b leaves", func() bool { return !a.sees("b") })
		fl.isolate("a", true)
		start = time.Now()
		if err := a.subscriber.Leave(t.Context()); err == nil || time.Since(start) > leaveTimeout {
			t.Errorf("cut off: %v after %v", err, time.Since(start))
		}
	})
}

func TestAcknowledgementWaitsForConnectedProxiesOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet("k1:1", "k2:1", "k3:1")
		defer fl.stop()
		for i := range 6 {
			fl.startProxy(fmt.Sprint("p", i), nil)
		}
		time.Sleep(6 * time.Second)
		fl.isolate("p3", true)
		seq := fl.chain.add(none())
		for name, h := range fl.servers {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			if h.WaitAcknowledged(ctx, seq) == nil {
				t.Errorf("%s: acknowledged while p3, not yet known to be cut off, may hold the former", name)
			}
			cancel()
		}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		if err := fl.servers["k1:1"].WaitAcknowledged(ctx, seq); err != nil {
			t.Error(err)
		}
	})
}

func TestLoadsOfOthersArePublishedAndExpire(t *testing.T) {
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
			fl.startProxy(n, func(o *SubscriberOptions) {
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
		fl.killProxy("b")
		within(t, 2*time.Second, "a load is forgotten", func() bool { return others("c", "s").Requests == 1 && others("a", "s").Requests == 0 })
		set("a", nil)
		within(t, 500*time.Millisecond, "nothing", func() bool { return others("c", "s") == pick.Load{} })
	})
}

func TestSubscriberLeavesNodeThatIsNotCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet("k1:1", "k2:1", "k3:1")
		defer fl.stop()
		for i := range 6 {
			fl.startProxy(fmt.Sprint("p", i), nil)
		}
		time.Sleep(2 * time.Second)
		fl.sources["k1:1"].setStale(true)
		fl.sources["k2:1"].setStale(true)
		seq := fl.chain.add(none())
		within(t, 2500*time.Millisecond, "all hold the newest", func() bool {
			for _, p := range fl.proxies {
				if p.subscriber.Current().State.Seq != seq {
					return false
				}
			}
			return true
		})
		// Without any that is current the soft state still flows.
		fl.sources["k3:1"].setStale(true)
		fl.chain.add(none())
		time.Sleep(4 * time.Second)
		if err := fl.servers["k2:1"].PutList(1, 1, []pick.Server{{ID: "s"}}, madeAgo(softstate.Age{})); err != nil {
			t.Fatal(err)
		}
		within(t, 2*time.Second, "all hold the server", func() bool {
			for _, p := range fl.proxies {
				if u := p.subscriber.Current(); u.State.Seq != seq || u.Fresh || len(u.Servers) != 1 || len(u.Members) != 6 {
					return false
				}
			}
			return true
		})
	})
}

func TestServersOutliveRestartOfAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet("k1:1", "k2:1", "k3:1")
		defer fl.stop()
		p := fl.startProxy("p", nil)
		time.Sleep(4 * time.Second)
		list := []pick.Server{{ID: "s"}, {ID: "r"}}
		if err := fl.servers["k2:1"].PutList(1, 1000, list, madeAgo(softstate.Age{})); err != nil {
			t.Fatal(err)
		}
		within(t, time.Second, "two servers", func() bool { return len(p.update().Servers) == 2 })
		for _, k := range fl.names {
			fl.killServer(k)
		}
		time.Sleep(time.Second)
		for _, k := range fl.names {
			fl.startServer(k)
		}
		for range 100 {
			time.Sleep(10 * time.Millisecond)
			if len(p.subscriber.Current().Servers) != 2 {
				t.Fatal("a server was forgotten")
			}
		}
		// The poller counts from the start again; s is gone.
		if err := fl.servers["k1:1"].PutList(1, 1, list[1:], madeAgo(softstate.Age{})); err != nil {
			t.Fatal(err)
		}
		within(t, 5*time.Second, "one server", func() bool { return len(p.update().Servers) == 1 })
	})
}

func TestNeighboursServeWhereNoNodeIsReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet("k1:1", "k2:1", "k3:1")
		defer fl.stop()
		fl.startProxy("a", nil)
		seq := fl.chain.add(controlstate.Record{Op: controlstate.OpEvacuate, Zone: "z"})
		time.Sleep(4 * time.Second)
		if err := fl.servers["k1:1"].PutList(1, 1, []pick.Server{{ID: "s"}}, madeAgo(softstate.Age{})); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		for _, k := range fl.names {
			fl.killServer(k)
		}
		b := fl.startProxy("b", func(o *SubscriberOptions) { o.Seeds = append([]string{"a:2"}, o.Seeds...) })
		within(t, 2*time.Second, "b holds what a holds", func() bool {
			u := b.update()
			return u.State != nil && u.State.Seq == seq && u.State.Evacuated["z"] && len(u.Servers) == 1 && !u.Fresh
		})
		fl.startServer("k3:1")
		within(t, 2*time.Second, "b is fresh", func() bool { return b.update().Fresh })
	})
}

func TestNearestNodeIsChosenAndChosenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet("k1:1", "k2:1", "k3:1")
		defer fl.stop()
		p := fl.startProxy("p", func(o *SubscriberOptions) { o.Self.Zone = "zone-k2:1" })
		follows := func() string {
			p.subscriber.mu.Lock()
			defer p.subscriber.mu.Unlock()
			return p.subscriber.nodes.serving
		}
		within(t, 3*time.Second, "the nearest", func() bool { return follows() == "k2:1" })
		fl.killServer("k2:1")
		within(t, time.Second, "another", func() bool { f := follows(); return f != "" && f != "k2:1" })
		time.Sleep(time.Second)
		fl.startServer("k2:1")
		within(t, 11*time.Second, "the nearest again", func() bool { return follows() == "k2:1" })
	})
}
