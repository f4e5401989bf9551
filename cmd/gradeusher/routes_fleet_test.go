package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// BenchmarkRoutesFleet changes one weight of 1,000 rules at three keepers that 300 clients watch: the whole table, or all of
// one application what that needs, or each of an application of its own. It reports what clients read for a change, as a share of
// the whole table for all of them, and how long after the call began the last client that has to know had read it.
func BenchmarkRoutesFleet(b *testing.B) {
	const clients, rules = 300, 1000
	for name, cut := range map[string]func(i int) string{
		"uncut":           func(int) string { return "" },
		"one-application": func(int) string { return client.RouteFilter(map[string]string{"service": "app-0"}, "rec-api") },
		"300-applications": func(i int) string {
			return client.RouteFilter(map[string]string{"service": fmt.Sprint("app-", i)}, "rec-api")
		},
	} {
		b.Run(name, func(b *testing.B) {
			cluster := newRegistryCluster(b, 3, "")
			table := routeTable(rules, 10_000)
			generation, err := cluster.client.PutRoutes(cluster.callContext(), table, nil)
			if err != nil {
				b.Fatal(err)
			}
			var read atomic.Int64
			came := make(chan int64, clients)
			for i := range clients {
				resp, err := http.Get("http://" + cluster.nodes[i%3].http + "/v1/routes?watch=1" + cut(i))
				if err != nil || resp.StatusCode != http.StatusOK {
					b.Fatal(err, resp.StatusCode)
				}
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					in := bufio.NewScanner(resp.Body)
					in.Buffer(nil, list.MostText)
					for in.Scan() {
						var changes struct{ Gen int64 }
						if len(in.Bytes()) > 0 && json.Unmarshal(in.Bytes(), &changes) == nil {
							read.Add(int64(len(in.Bytes()) + 1))
							came <- changes.Gen
						}
					}
				}()
				b.Cleanup(func() { resp.Body.Close(); <-ended })
			}
			for current := 0; current < clients; { // a keeper that was behind has said an older one first
				if <-came == generation {
					current++
				}
			}
			update, err := cluster.client.Routes(cluster.callContext(), -1, "")
			if err != nil {
				b.Fatal(err)
			}
			text, err := json.Marshal(update.Rules)
			if err != nil {
				b.Fatal(err)
			}
			read.Store(0)
			want, changes := clients, 0
			if name == "300-applications" {
				want = 1
			}
			var took []time.Duration
			for b.Loop() {
				table = slices.Clone(table)
				at := changes % clients
				if name == "one-application" {
					at = 0
				}
				changes++
				table[at].Destinations = slices.Clone(table[at].Destinations)
				table[at].Destinations[0].Weight++
				began := time.Now()
				if generation, err = cluster.client.PutRoutes(cluster.callContext(), table, &generation); err != nil {
					b.Fatal(err)
				}
				for range want {
					if got := <-came; got != generation {
						b.Fatalf("generation %d came, not %d", got, generation)
					}
				}
				took = append(took, time.Since(began))
				time.Sleep(20 * time.Millisecond) // so that changes do not come on each other's heels
			}
			slices.Sort(took)
			change := float64(read.Load()) / float64(changes)
			b.ReportMetric(100*change/float64(clients*len(text)), "%ofwhole")
			b.ReportMetric(change, "B/change")
			b.ReportMetric(float64(len(text)), "B-table")
			b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "ms-p50")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "ms-p99")
		})
	}
}
