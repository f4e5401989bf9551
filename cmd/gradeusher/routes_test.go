package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gradeusher.example/gradeusher/balance/routes"
	"gradeusher.example/gradeusher/internal/client"
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

// followRoutes follows until the test ends.
func followRoutes(t *testing.T, o client.RouteOptions) *client.RouteFollower {
	t.Helper()
	o.Log = quiet()
	if o.Told == nil {
		o.Told = func(client.RouteUpdate) {}
	}
	f, err := client.NewRouteFollower(o)
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
	k := newKeepers(t, 3, "[timing]\nsnapshot_after = 8\nsnapshot_ms = 50\ntrailing = 2\n")
	var mu sync.Mutex
	var held client.RouteUpdate
	seen := map[int64]string{} // hashes, by generation
	f := followRoutes(t, client.RouteOptions{Keepers: k.addresses(), Cache: client.NewRouteCache(t.TempDir(), "n"), Told: func(u client.RouteUpdate) {
		mu.Lock()
		defer mu.Unlock()
		if old, known := seen[u.Gen]; known && old != u.Hash {
			t.Errorf("generation %d is %s after %s", u.Gen, u.Hash, old)
		}
		held, seen[u.Gen] = u, u.Hash
	}})
	gen := int64(0)
	put := func(table routes.Table) {
		t.Helper()
		now, err := k.client.PutRoutes(k.call(), table, &gen)
		for errors.Is(err, client.ErrUncertain) { // it may have been done, or not
			var n client.RouteNews
			if n, err = k.client.Routes(k.call(), -1, ""); err == nil && n.Hash != table.Hash() {
				now, err = k.client.PutRoutes(k.call(), table, &n.Gen)
			} else if err == nil {
				now = n.Gen
			}
		}
		if err != nil || now <= gen {
			t.Fatalf("generation %d after %d: %v", now, gen, err)
		}
		gen = now
		eventually(t, "the table at its follower", func() bool {
			mu.Lock()
			defer mu.Unlock()
			return held.Hash == table.Hash() && held.Gen == gen
		})
	}
	put(routeTable(20, 100))
	backup, err := k.client.Backup(k.call(), true)
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
	for _, p := range k.places {
		if p.run.ProcessState == nil {
			k.kill(p)
		}
		k.start(p)
	}
	n, err := k.client.Routes(k.call(), gen, "")
	if err != nil || n.All || n.Gen != gen || len(n.Ops) != 0 {
		t.Errorf("after kill -9 of all, generation %d is answered by %+v, %v", gen, n, err)
	}
	last := gen
	if _, err := k.client.Restore(k.call(), backup); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the backup's table", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return held.Hash == routeTable(20, 100).Hash() && held.Gen > last
	})
	n, err = k.client.Routes(k.call(), last, "")
	if err != nil || !n.All || n.Gen <= last {
		t.Errorf("who holds generation %d of before the backup is answered by %+v, %v", last, n, err)
	}
	gen = n.Gen
	put(routeTable(21, 300))
	put(routes.Table{})
	if got := f.Figures(); got.Mismatches != 0 || got.Diffs < 3 || got.Rules != 0 {
		t.Errorf("figures %+v", got)
	}
	old := int64(1)
	var refused *client.Refused
	if _, err := k.client.PutRoutes(k.call(), routeTable(1, 9), &old); !errors.As(err, &refused) || refused.Status != 409 {
		t.Errorf("an old generation is expected: %v", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := k.client.PutRoutes(ctx, routeTable(2, 1), nil); !errors.As(err, &refused) || refused.Status != 400 {
		t.Errorf("a weight of 0 and -1: %v", err)
	}
}
