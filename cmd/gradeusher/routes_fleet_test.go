package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/list"
)

const (
	fleetClients = 300
	fleetRules   = 1000
)

// routesFleetCase is which rules the clients of a benchmark watch.
type routesFleetCase struct {
	name      string
	filter    func(i int) string // of client i
	concerned int                // clients that a change of one rule concerns
	rules     int                // the rules that are changed in turn
}

// BenchmarkRoutesFleet changes one weight of 1,000 rules at three nodes that 300 clients watch: the whole table, or all of
// one application what that needs, or each of an application of its own. It reports what clients read for a change, as a share of
// the whole table for all of them, and how long after the call began the last client that has to know had read it.
func BenchmarkRoutesFleet(b *testing.B) {
	applicationFilter := func(i int) string {
		return client.RouteFilter(map[string]string{"service": fmt.Sprint("app-", i)}, "rec-api")
	}
	for _, test := range []routesFleetCase{
		{"uncut", func(int) string { return "" }, fleetClients, fleetClients},
		{"one-application", func(int) string { return applicationFilter(0) }, fleetClients, 1},
		{"300-applications", applicationFilter, 1, fleetClients},
	} {
		b.Run(test.name, func(b *testing.B) { benchmarkRoutesFleet(b, test) })
	}
}

func benchmarkRoutesFleet(b *testing.B, test routesFleetCase) {
	b.Helper()
	cluster := newRegistryCluster(b, 3, "")
	table := routeTable(fleetRules, 10_000)
	generation, err := cluster.client.PutRoutes(cluster.callContext(), table, nil)
	if err != nil {
		b.Fatal(err)
	}
	watchers := &routeWatchers{received: make(chan int64, fleetClients)}
	for i := range fleetClients {
		watchers.start(b, cluster.nodes[i%3].http, test.filter(i))
	}
	for current := 0; current < fleetClients; { // a node that was behind has sent an older one first
		if <-watchers.received == generation {
			current++
		}
	}
	tableBytes := encodedTableBytes(b, cluster)
	watchers.bytes.Store(0)
	changes := 0
	var latencies []time.Duration
	for b.Loop() {
		table = slices.Clone(table)
		rule := changes % test.rules
		changes++
		table[rule].Destinations = slices.Clone(table[rule].Destinations)
		table[rule].Destinations[0].Weight++
		began := time.Now()
		if generation, err = cluster.client.PutRoutes(cluster.callContext(), table, &generation); err != nil {
			b.Fatal(err)
		}
		watchers.await(b, generation, test.concerned)
		latencies = append(latencies, time.Since(began))
		time.Sleep(20 * time.Millisecond) // so that changes do not come on each other's heels
	}
	slices.Sort(latencies)
	change := float64(watchers.bytes.Load()) / float64(changes)
	b.ReportMetric(100*change/float64(fleetClients*tableBytes), "%ofwhole")
	b.ReportMetric(change, "B/change")
	b.ReportMetric(float64(tableBytes), "B-table")
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds())/1000, "ms-p50")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds())/1000, "ms-p99")
}

func encodedTableBytes(b *testing.B, cluster *registryCluster) int {
	b.Helper()
	update, err := cluster.client.Routes(cluster.callContext(), -1, "")
	if err != nil {
		b.Fatal(err)
	}
	text, err := json.Marshal(update.Rules)
	if err != nil {
		b.Fatal(err)
	}
	return len(text)
}

// routeWatchers are clients that watch routes.
type routeWatchers struct {
	bytes    atomic.Int64 // that all of them have read
	received chan int64   // the generations that they read
}

// start starts one that watches a node until the benchmark ends.
func (w *routeWatchers) start(b *testing.B, address, filter string) {
	b.Helper()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+"/v1/routes?watch=1"+filter, http.NoBody)
	if err != nil {
		b.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	ended := make(chan struct{})
	b.Cleanup(func() {
		_ = resp.Body.Close() // ends the goroutine below
		<-ended
	})
	go func() {
		defer close(ended)
		w.read(resp.Body)
	}()
	if resp.StatusCode != http.StatusOK {
		b.Fatal(resp.Status)
	}
}

func (w *routeWatchers) read(body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, list.MaxListBytes)
	for lines.Scan() {
		var update struct{ Gen int64 }
		if len(lines.Bytes()) > 0 && json.Unmarshal(lines.Bytes(), &update) == nil {
			w.bytes.Add(int64(len(lines.Bytes()) + 1))
			w.received <- update.Gen
		}
	}
}

// await waits until this many clients have read the generation; no other may come.
func (w *routeWatchers) await(b *testing.B, generation int64, clients int) {
	b.Helper()
	for range clients {
		if got := <-w.received; got != generation {
			b.Fatalf("generation %d came, not %d", got, generation)
		}
	}
}
