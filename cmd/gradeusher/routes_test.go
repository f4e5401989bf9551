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

// TestRoutesOnKeepers puts tables at three keepers that lose their leader, and then all of them, and go back to a backup. Whoever
// follows holds the last table each time, and no generation is used again.
func TestRoutesOnKeepers(t *testing.T) {
	t.Parallel()
	k := newRegistryCluster(t, 3, "[timing]\nsnapshot_after = 8\nsnapshot_ms = 50\ntrailing = 2\n")
	var mu sync.Mutex
	var held client.RouteUpdate
	seen := map[int64]string{} // hashes, by generation
	f := subscribeRoutes(t, client.RouteOptions{Registry: k.addresses(), Cache: client.NewRouteCache(t.TempDir(), "n"), OnUpdate: func(u client.RouteUpdate) {
		mu.Lock()
		defer mu.Unlock()
		if old, known := seen[u.Generation]; known && old != u.Hash {
			t.Errorf("generation %d is %s after %s", u.Generation, u.Hash, old)
		}
		held, seen[u.Generation] = u, u.Hash
	}})
	gen := int64(0)
	put := func(table routes.Table) {
		t.Helper()
		now, err := k.client.PutRoutes(k.callContext(), table, &gen)
		for errors.Is(err, client.ErrUncertain) { // it may have been done, or not
			var n client.RoutesUpdate
			if n, err = k.client.Routes(k.callContext(), -1, ""); err == nil && n.Hash != table.Hash() {
				now, err = k.client.PutRoutes(k.callContext(), table, &n.Generation)
			} else if err == nil {
				now = n.Generation
			}
		}
		if err != nil || now <= gen {
			t.Fatalf("generation %d after %d: %v", now, gen, err)
		}
		gen = now
		eventually(t, "the table at its follower", func() bool {
			mu.Lock()
			defer mu.Unlock()
			return held.Hash == table.Hash() && held.Generation == gen
		})
	}
	put(routeTable(20, 100))
	backup, err := k.client.Backup(k.callContext(), true)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 12 { // over snapshots
		put(routeTable(20, 101+float64(i)))
		if i == 3 {
			p := k.leader()
			k.kill(p)
			put(routeTable(20, 200))
			k.start(p)
		}
	}
	for _, p := range k.nodes {
		if p.run.ProcessState == nil {
			k.kill(p)
		}
		k.start(p)
	}
	n, err := k.client.Routes(k.callContext(), gen, "")
	if err != nil || n.Complete || n.Generation != gen || len(n.Ops) != 0 {
		t.Errorf("after kill -9 of all, generation %d is answered by %+v, %v", gen, n, err)
	}
	last := gen
	if _, err := k.client.Restore(k.callContext(), backup); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the backup's table", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return held.Hash == routeTable(20, 100).Hash() && held.Generation > last
	})
	n, err = k.client.Routes(k.callContext(), last, "")
	if err != nil || !n.Complete || n.Generation <= last {
		t.Errorf("who holds generation %d of before the backup is answered by %+v, %v", last, n, err)
	}
	gen = n.Generation
	put(routeTable(21, 300))
	put(routes.Table{})
	if got := f.Status(); got.Mismatches != 0 || got.Diffs < 3 || got.Rules != 0 {
		t.Errorf("figures %+v", got)
	}
	old := int64(1)
	var refused *client.RefusedError
	if _, err := k.client.PutRoutes(k.callContext(), routeTable(1, 9), &old); !errors.As(err, &refused) || refused.Status != 409 {
		t.Errorf("an old generation is expected: %v", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := k.client.PutRoutes(ctx, routeTable(2, 1), nil); !errors.As(err, &refused) || refused.Status != 400 {
		t.Errorf("a weight of 0 and -1: %v", err)
	}
}

// TestSidecarRoutes runs the real sidecar on keepers that hold its routes: a weight counts at once, a table without ready
// servers waits for one, and with all keepers gone the next process goes by what the last one held.
func TestSidecarRoutes(t *testing.T) {
	t.Parallel()
	k := newRegistryCluster(t, 1, "")
	add := func(model string) {
		at := newHTTPServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, model) }))
		if _, err := k.client.Register(k.callContext(), []list.Registration{{Target: list.Target{UID: "s-" + model, Endpoint: at, Zone: "a", Model: model, State: list.Serving}}}, nil); err != nil {
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
		gen, err := k.client.PutRoutes(k.callContext(), table, nil)
		if err != nil {
			t.Fatal(err)
		}
		return gen
	}
	s := newSidecarProcess(t, map[string]any{"keepers": map[string]any{"addresses": k.addresses(), "routes": true, "tags": map[string]string{"service": "portal"}}})
	turns := func(want map[string]int) {
		t.Helper()
		got, n := map[string]int{}, 0
		for _, v := range want {
			n += v
		}
		for range n {
			got[s.request()]++
		}
		for model, v := range got { // a slow moment, or the credit of before, moves some
			if off := v - want[model]; off > 3 || off < -3 || want[model] == 0 {
				t.Errorf("turns %v, want %v: %s", got, want, s.lastOutcome)
			}
		}
	}
	c := s.start()
	eventually(t, "readiness", s.ready)
	gen := put(share(map[string]float64{"old": 4, "new": 1}))
	eventually(t, "the first generation", func() bool { return s.figure("route_generation") == gen })
	turns(map[string]int{"old": 16, "new": 4})
	gen = put(share(map[string]float64{"old": 1, "new": 1}))
	eventually(t, "the second generation", func() bool { return s.figure("route_generation") == gen })
	turns(map[string]int{"old": 10, "new": 10})
	if s.figure("route_rules") != 1 || s.figure("route_diffs") < 1 || s.figure("route_mismatches") != 0 {
		t.Errorf("%d rules, %d diffs, %d mismatches", s.figure("route_rules"), s.figure("route_diffs"), s.figure("route_mismatches"))
	}
	next := put(share(map[string]float64{"late": 1}))
	eventually(t, "the third generation", func() bool { return s.figure("route_generation_held") == next })
	if s.figure("route_generation") != gen {
		t.Error("a table without ready servers is applied")
	}
	turns(map[string]int{"old": 10, "new": 10})
	add("late")
	eventually(t, "the table that waited", func() bool { return s.figure("route_generation") == next })
	turns(map[string]int{"late": 10})
	eventually(t, "the saved list and routes", func() bool {
		text, err := os.ReadFile(filepath.Join(s.tmp, "list-n0.cache"))
		also, alsoErr := os.ReadFile(filepath.Join(s.tmp, "routes-n0.cache"))
		return err == nil && alsoErr == nil && strings.Contains(string(text), "s-late") && strings.Contains(string(also), "late")
	})
	k.kill(k.nodes[0])
	if err := c.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = c.Wait() // a signal ended it
	s.start()
	eventually(t, "readiness without keepers", s.ready)
	turns(map[string]int{"late": 10})
	if s.figure("route_generation") != next {
		t.Errorf("generation %d is remembered, want %d", s.figure("route_generation"), next)
	}
	k.start(k.nodes[0])
	gen = put(share(map[string]float64{"old": 1}))
	eventually(t, "news after the keepers came back", func() bool { return s.figure("route_generation") == gen })
	if s.figure("route_wholes") != 0 {
		t.Error("the next process asked for the whole table")
	}
	turns(map[string]int{"old": 5})
}
