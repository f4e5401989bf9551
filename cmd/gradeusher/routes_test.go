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
func subscribeRoutes(t *testing.T, options client.RouteOptions) *client.RouteSubscriber {
	t.Helper()
	options.Log = discardLog()
	if options.OnUpdate == nil {
		options.OnUpdate = func(client.RouteUpdate) {}
	}
	subscriber, err := client.NewRouteSubscriber(options)
	if err != nil {
		t.Fatal(err)
	}
	runUntilCleanup(t, subscriber.Run)
	return subscriber
}

// observedRoutes is what a subscriber received last, and the hash of each generation.
type observedRoutes struct {
	mu      sync.Mutex
	current client.RouteUpdate
	hashes  map[int64]string
}

// newObservedRoutes returns the observer and the function that gets updates, which fails the test where a generation is used again.
func newObservedRoutes(t *testing.T) (observed *observedRoutes, handle func(client.RouteUpdate)) {
	t.Helper()
	observed = &observedRoutes{hashes: map[int64]string{}}
	return observed, func(update client.RouteUpdate) {
		observed.mu.Lock()
		defer observed.mu.Unlock()
		if old, known := observed.hashes[update.Generation]; known && old != update.Hash {
			t.Errorf("generation %d is %s after %s", update.Generation, update.Hash, old)
		}
		observed.current, observed.hashes[update.Generation] = update, update.Hash
	}
}

func (o *observedRoutes) last() client.RouteUpdate {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.current
}

// routeWriter puts tables one after the other, each on condition of the generation before.
type routeWriter struct {
	*registryCluster
	observed   *observedRoutes
	generation int64
}

// put puts a table and waits until the subscriber has it.
func (w *routeWriter) put(table routes.Table) {
	w.t.Helper()
	generation, err := w.putOnce(table)
	if err != nil || generation <= w.generation {
		w.t.Fatalf("generation %d after %d: %v", generation, w.generation, err)
	}
	w.generation = generation
	eventually(w.t, "the table at its follower", func() bool {
		current := w.observed.last()
		return current.Hash == table.Hash() && current.Generation == generation
	})
}

// putOnce puts a table and returns its generation. After an answer that leaves it open it looks whether the table is there.
func (w *routeWriter) putOnce(table routes.Table) (int64, error) {
	generation, err := w.client.PutRoutes(w.callContext(), table, &w.generation)
	for errors.Is(err, client.ErrUncertain) {
		var present client.RoutesUpdate
		present, err = w.client.Routes(w.callContext(), -1, "")
		if err != nil {
			continue
		}
		if present.Hash == table.Hash() {
			return present.Generation, nil
		}
		generation, err = w.client.PutRoutes(w.callContext(), table, &present.Generation)
	}
	return generation, err
}

// TestRoutesOnRegistry puts tables at three nodes that lose their leader, and then all of them, and go back to a backup. A subscriber
// has the last table each time, and no generation is used again.
func TestRoutesOnRegistry(t *testing.T) {
	t.Parallel()
	cluster := newRegistryCluster(t, 3, "[timing]\nsnapshot_after = 8\nsnapshot_ms = 50\ntrailing = 2\n")
	observed, handle := newObservedRoutes(t)
	subscriber := subscribeRoutes(t, client.RouteOptions{Registry: cluster.addresses(), Cache: client.NewRouteCache(t.TempDir(), "n"), OnUpdate: handle})
	writer := &routeWriter{registryCluster: cluster, observed: observed}
	writer.put(routeTable(20, 100))
	backup, err := cluster.client.Backup(cluster.callContext(), true)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 12 { // over snapshots
		writer.put(routeTable(20, 101+float64(i)))
		if i == 3 {
			leader := cluster.leader()
			cluster.kill(leader)
			writer.put(routeTable(20, 200))
			cluster.start(leader)
		}
	}
	for _, node := range cluster.nodes {
		if node.run.ProcessState == nil {
			cluster.kill(node)
		}
		cluster.start(node)
	}
	answer, err := cluster.client.Routes(cluster.callContext(), writer.generation, "")
	if err != nil || answer.Complete || answer.Generation != writer.generation || len(answer.Ops) != 0 {
		t.Errorf("after kill -9 of all, generation %d is answered by %+v, %v", writer.generation, answer, err)
	}
	writer.checkRestoredRoutes(backup)
	writer.put(routeTable(21, 300))
	writer.put(routes.Table{})
	if got := subscriber.Status(); got.Mismatches != 0 || got.Diffs < 3 || got.Rules != 0 {
		t.Errorf("figures %+v", got)
	}
	checkRefusedRoutes(t, cluster)
}

// checkRestoredRoutes restores a backup with the first table: that gets a new generation, and a subscriber of an older one the whole table.
func (w *routeWriter) checkRestoredRoutes(backup []byte) {
	w.t.Helper()
	if _, err := w.client.Restore(w.callContext(), backup); err != nil {
		w.t.Fatal(err)
	}
	eventually(w.t, "the backup's table", func() bool {
		current := w.observed.last()
		return current.Hash == routeTable(20, 100).Hash() && current.Generation > w.generation
	})
	answer, err := w.client.Routes(w.callContext(), w.generation, "")
	if err != nil || !answer.Complete || answer.Generation <= w.generation {
		w.t.Errorf("who holds generation %d of before the backup is answered by %+v, %v", w.generation, answer, err)
	}
	w.generation = answer.Generation
}

// checkRefusedRoutes has an old generation and weights that are not above 0 refused.
func checkRefusedRoutes(t *testing.T, cluster *registryCluster) {
	t.Helper()
	old := int64(1)
	var refused *client.RefusedError
	if _, err := cluster.client.PutRoutes(cluster.callContext(), routeTable(1, 9), &old); !errors.As(err, &refused) || refused.Status != http.StatusConflict {
		t.Errorf("an old generation is expected: %v", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := cluster.client.PutRoutes(ctx, routeTable(2, 1), nil); !errors.As(err, &refused) || refused.Status != http.StatusBadRequest {
		t.Errorf("a weight of 0 and -1: %v", err)
	}
}

// TestSidecarRoutes runs the real sidecar on a registry that has its routes: a weight counts at once, a table without ready
// servers waits for one, and with all nodes gone the next process goes by what the last one held.
func TestSidecarRoutes(t *testing.T) {
	t.Parallel()
	fleet := newRoutedFleet(t)
	fleet.addServer("old")
	fleet.addServer("new")
	process := fleet.proxy.start()
	eventually(t, "readiness", fleet.proxy.ready)
	fleet.awaitGeneration("the first generation", fleet.put(map[string]float64{"old": 4, "new": 1}))
	fleet.checkShares(map[string]int{"old": 16, "new": 4})
	second := fleet.put(map[string]float64{"old": 1, "new": 1})
	fleet.awaitGeneration("the second generation", second)
	fleet.checkShares(map[string]int{"old": 10, "new": 10})
	proxy := fleet.proxy
	if proxy.figure("route_rules") != 1 || proxy.figure("route_diffs") < 1 || proxy.figure("route_mismatches") != 0 {
		t.Errorf("%d rules, %d diffs, %d mismatches", proxy.figure("route_rules"), proxy.figure("route_diffs"), proxy.figure("route_mismatches"))
	}
	third := fleet.put(map[string]float64{"late": 1})
	eventually(t, "the third generation", func() bool { return proxy.figure("route_generation_held") == third })
	if proxy.figure("route_generation") != second {
		t.Error("a table without ready servers is applied")
	}
	fleet.checkShares(map[string]int{"old": 10, "new": 10})
	fleet.addServer("late")
	fleet.awaitGeneration("the table that waited", third)
	fleet.checkShares(map[string]int{"late": 10})
	eventually(t, "the saved list and routes", func() bool {
		return fileContains(filepath.Join(proxy.tmp, "list-n0.cache"), "s-late") && fileContains(filepath.Join(proxy.tmp, "routes-n0.cache"), "late")
	})
	fleet.kill(fleet.nodes[0])
	process.kill(t)
	proxy.start()
	eventually(t, "readiness without keepers", proxy.ready)
	fleet.checkShares(map[string]int{"late": 10})
	if proxy.figure("route_generation") != third {
		t.Errorf("generation %d is remembered, want %d", proxy.figure("route_generation"), third)
	}
	fleet.start(fleet.nodes[0])
	fleet.awaitGeneration("news after the keepers came back", fleet.put(map[string]float64{"old": 1}))
	if proxy.figure("route_wholes") != 0 {
		t.Error("the next process asked for the whole table")
	}
	fleet.checkShares(map[string]int{"old": 5})
}

func fileContains(path, text string) bool {
	data, err := os.ReadFile(path)
	return err == nil && strings.Contains(string(data), text)
}

// routedFleet is a registry of one node and a sidecar, of the service portal, that follows its routes.
type routedFleet struct {
	*registryCluster
	proxy *sidecarProcess
}

func newRoutedFleet(t *testing.T) *routedFleet {
	t.Helper()
	cluster := newRegistryCluster(t, 1, "")
	proxy := newSidecarProcess(t, map[string]any{"keepers": map[string]any{"addresses": cluster.addresses(), "routes": true,
		"tags": map[string]string{"service": "portal"}}})
	return &routedFleet{registryCluster: cluster, proxy: proxy}
}

// addServer registers a server of a model, which answers with the model's name.
func (f *routedFleet) addServer(model string) {
	f.t.Helper()
	address := newHTTPServer(f.t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, model) // a client that has gone has its own error
	}))
	server := list.Registration{Target: list.Target{UID: "s-" + model, Endpoint: address, Zone: "a", Model: model, State: list.Serving}}
	if _, err := f.client.Register(f.callContext(), []list.Registration{server}, nil); err != nil {
		f.t.Fatal(err)
	}
}

// put puts a table with a rule of these weights for the sidecar's service, and one for another, and returns its generation.
func (f *routedFleet) put(weights map[string]float64) int64 {
	f.t.Helper()
	portal := routes.Rule{Name: "portal", Source: routes.Match{"service": "portal"}, Service: routes.Match{"service": "rec-api"}}
	for _, model := range slices.Sorted(maps.Keys(weights)) {
		portal.Destinations = append(portal.Destinations, routes.Destination{Weight: weights[model], Match: routes.Match{"version": model}})
	}
	other := portal
	other.Name, other.Source = "other", routes.Match{"service": "other"}
	generation, err := f.client.PutRoutes(f.callContext(), routes.Table{portal, other}, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	return generation
}

func (f *routedFleet) awaitGeneration(what string, generation int64) {
	f.t.Helper()
	eventually(f.t, what, func() bool { return f.proxy.figure("route_generation") == generation })
}

// checkShares sends requests and checks how many of them each model served.
func (f *routedFleet) checkShares(want map[string]int) {
	f.t.Helper()
	const tolerance = 3 // a slow moment, or the credit of before, moves some
	total := 0
	for _, count := range want {
		total += count
	}
	got := map[string]int{}
	for range total {
		got[f.proxy.request()]++
	}
	for model, count := range got {
		if off := count - want[model]; off > tolerance || off < -tolerance || want[model] == 0 {
			f.t.Errorf("turns %v, want %v: %s", got, want, f.proxy.lastOutcome)
		}
	}
}
