package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gradeusher.example/gradeusher/balance/routes"
	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// routeTable has a rule for each of n applications.
func routeTable(n int, weight float64) routes.Table {
	t := routes.Table{}
	for i := range n {
		r := routes.Rule{Name: fmt.Sprintf("rule-%d", i), Source: routes.Match{"service": fmt.Sprintf("app-%d", i)}, Service: routes.Match{"service": "rec-api"}}
		for j, kind := range []string{"stable", "canary"} {
			r.Destinations = append(r.Destinations, routes.Destination{Weight: weight - float64(i+j), Match: routes.Match{"service": "rec-api", "version": kind}})
		}
		t = append(t, r)
	}
	return t
}

// subscribeRoutes follows until the test ends.
func subscribeRoutes(t *testing.T, o client.RouteOptions) *client.RouteSubscriber {
	t.Helper()
	o.Log = discardLog()
	if o.OnUpdate == nil {
		o.OnUpdate = func(client.RouteUpdate) {}
	}
	f, err := client.NewRouteSubscriber(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var runs sync.WaitGroup
	runs.Add(1)
	go func() {
		defer runs.Done()
		f.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); runs.Wait() })
	return f
}

// TestRoutesOnRegistry puts tables at three keepers that lose their leader, and then all of them, and go back to a backup. Whoever
// follows holds the last table each time, and no generation is used again.
func TestRoutesOnRegistry(t *testing.T) {
	t.Parallel()
	cluster := newRegistryCluster(t, 3, "[timing]\nsnapshot_after = 8\nsnapshot_ms = 50\ntrailing = 2\n")
	var mu sync.Mutex
	var current client.RouteUpdate
	seen := map[int64]string{} // hashes, by generation
	subscriber := subscribeRoutes(t, client.RouteOptions{Registry: cluster.addresses(), Cache: client.NewRouteCache(t.TempDir(), "n"), OnUpdate: func(u client.RouteUpdate) {
		mu.Lock()
		defer mu.Unlock()
		if old, known := seen[u.Generation]; known && old != u.Hash {
			t.Errorf("generation %d is %s after %s", u.Generation, u.Hash, old)
		}
		current, seen[u.Generation] = u, u.Hash
	}})
	generation := int64(0)
	put := func(table routes.Table) {
		t.Helper()
		now, err := cluster.client.PutRoutes(cluster.callContext(), table, &generation)
		for errors.Is(err, client.ErrUncertain) { // it may have been done, or not
			var answer client.RoutesUpdate
			if answer, err = cluster.client.Routes(cluster.callContext(), -1, ""); err == nil && answer.Hash != table.Hash() {
				now, err = cluster.client.PutRoutes(cluster.callContext(), table, &answer.Generation)
			} else if err == nil {
				now = answer.Generation
			}
		}
		if err != nil || now <= generation {
			t.Fatalf("generation %d after %d: %v", now, generation, err)
		}
		generation = now
		eventually(t, "the table at its follower", func() bool {
			mu.Lock()
			defer mu.Unlock()
			return current.Hash == table.Hash() && current.Generation == generation
		})
	}
	put(routeTable(20, 100))
	backup, err := cluster.client.Backup(cluster.callContext(), true)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 12 { // over snapshots
		put(routeTable(20, 101+float64(i)))
		if i == 3 {
			node := cluster.leader()
			cluster.kill(node)
			put(routeTable(20, 200))
			cluster.start(node)
		}
	}
	for _, node := range cluster.nodes {
		if node.run.ProcessState == nil {
			cluster.kill(node)
		}
		cluster.start(node)
	}
	answer, err := cluster.client.Routes(cluster.callContext(), generation, "")
	if err != nil || answer.Complete || answer.Generation != generation || len(answer.Ops) != 0 {
		t.Errorf("after kill -9 of all, generation %d is answered by %+v, %v", generation, answer, err)
	}
	last := generation
	if _, err := cluster.client.Restore(cluster.callContext(), backup); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the backup's table", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return current.Hash == routeTable(20, 100).Hash() && current.Generation > last
	})
	answer, err = cluster.client.Routes(cluster.callContext(), last, "")
	if err != nil || !answer.Complete || answer.Generation <= last {
		t.Errorf("who holds generation %d of before the backup is answered by %+v, %v", last, answer, err)
	}
	generation = answer.Generation
	put(routeTable(21, 300))
	put(routes.Table{})
	if got := subscriber.Status(); got.Mismatches != 0 || got.Diffs < 3 || got.Rules != 0 {
		t.Errorf("figures %+v", got)
	}
	old := int64(1)
	var refused *client.RefusedError
	if _, err := cluster.client.PutRoutes(cluster.callContext(), routeTable(1, 9), &old); !errors.As(err, &refused) || refused.Status != 409 {
		t.Errorf("an old generation is expected: %v", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := cluster.client.PutRoutes(ctx, routeTable(2, 1), nil); !errors.As(err, &refused) || refused.Status != 400 {
		t.Errorf("a weight of 0 and -1: %v", err)
	}
}

// TestSidecarRoutes runs the real sidecar on keepers that hold its routes: a weight counts at once, a table without ready
// servers waits for one, and with all keepers gone the next process goes by what the last one held.
func TestSidecarRoutes(t *testing.T) {
	t.Parallel()
	cluster := newRegistryCluster(t, 1, "")
	add := func(model string) {
		at := newHTTPServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, model) }))
		if _, err := cluster.client.Register(cluster.callContext(), []list.Registration{{Target: list.Target{UID: "s-" + model, Endpoint: at, Zone: "a", Model: model, State: list.Serving}}}, nil); err != nil {
			t.Fatal(err)
		}
	}
	add("old")
	add("new")
	share := func(weights map[string]float64) routes.Table {
		r := routes.Rule{Name: "portal", Source: routes.Match{"service": "portal"}, Service: routes.Match{"service": "rec-api"}}
		for _, model := range slices.Sorted(maps.Keys(weights)) {
			r.Destinations = append(r.Destinations, routes.Destination{Weight: weights[model], Match: routes.Match{"version": model}})
		}
		other := r
		other.Name, other.Source = "other", routes.Match{"service": "other"}
		return routes.Table{r, other}
	}
	put := func(table routes.Table) int64 {
		t.Helper()
		generation, err := cluster.client.PutRoutes(cluster.callContext(), table, nil)
		if err != nil {
			t.Fatal(err)
		}
		return generation
	}
	proxy := newSidecarProcess(t, map[string]any{"keepers": map[string]any{"addresses": cluster.addresses(), "routes": true, "tags": map[string]string{"service": "portal"}}})
	checkShares := func(want map[string]int) {
		t.Helper()
		got, n := map[string]int{}, 0
		for _, v := range want {
			n += v
		}
		for range n {
			got[proxy.request()]++
		}
		for model, v := range got { // a slow moment, or the credit of before, moves some
			if off := v - want[model]; off > 3 || off < -3 || want[model] == 0 {
				t.Errorf("turns %v, want %v: %s", got, want, proxy.lastOutcome)
			}
		}
	}
	process := proxy.start()
	eventually(t, "readiness", proxy.ready)
	generation := put(share(map[string]float64{"old": 4, "new": 1}))
	eventually(t, "the first generation", func() bool { return proxy.figure("route_generation") == generation })
	checkShares(map[string]int{"old": 16, "new": 4})
	generation = put(share(map[string]float64{"old": 1, "new": 1}))
	eventually(t, "the second generation", func() bool { return proxy.figure("route_generation") == generation })
	checkShares(map[string]int{"old": 10, "new": 10})
	if proxy.figure("route_rules") != 1 || proxy.figure("route_diffs") < 1 || proxy.figure("route_mismatches") != 0 {
		t.Errorf("%d rules, %d diffs, %d mismatches", proxy.figure("route_rules"), proxy.figure("route_diffs"), proxy.figure("route_mismatches"))
	}
	next := put(share(map[string]float64{"late": 1}))
	eventually(t, "the third generation", func() bool { return proxy.figure("route_generation_held") == next })
	if proxy.figure("route_generation") != generation {
		t.Error("a table without ready servers is applied")
	}
	checkShares(map[string]int{"old": 10, "new": 10})
	add("late")
	eventually(t, "the table that waited", func() bool { return proxy.figure("route_generation") == next })
	checkShares(map[string]int{"late": 10})
	eventually(t, "the saved list and routes", func() bool {
		text, err := os.ReadFile(filepath.Join(proxy.tmp, "list-n0.cache"))
		also, alsoErr := os.ReadFile(filepath.Join(proxy.tmp, "routes-n0.cache"))
		return err == nil && alsoErr == nil && strings.Contains(string(text), "s-late") && strings.Contains(string(also), "late")
	})
	cluster.kill(cluster.nodes[0])
	if err := process.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = process.Wait() // a signal ended it
	proxy.start()
	eventually(t, "readiness without keepers", proxy.ready)
	checkShares(map[string]int{"late": 10})
	if proxy.figure("route_generation") != next {
		t.Errorf("generation %d is remembered, want %d", proxy.figure("route_generation"), next)
	}
	cluster.start(cluster.nodes[0])
	generation = put(share(map[string]float64{"old": 1}))
	eventually(t, "news after the keepers came back", func() bool { return proxy.figure("route_generation") == generation })
	if proxy.figure("route_wholes") != 0 {
		t.Error("the next process asked for the whole table")
	}
	checkShares(map[string]int{"old": 5})
}
