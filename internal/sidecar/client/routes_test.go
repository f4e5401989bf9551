package client

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"gradeusher.example/gradeusher/balance/routes"
)

// weights is a table of one rule for each weight.
func weights(all ...float64) routes.Table {
	t := routes.Table{}
	for i, w := range all {
		t = append(t, routes.Rule{Name: fmt.Sprint("r", i), Source: routes.Match{"service": "*"}, Service: routes.Match{"service": "s"},
			Destinations: []routes.Destination{{Weight: w, Match: routes.Match{"version": "x"}}}})
	}
	return t
}

// completeTable is an update with a complete table.
func completeTable(generation int64, table routes.Table) RoutesUpdate {
	return RoutesUpdate{Generation: generation, Complete: true, Hash: table.Hash(), Rules: table, Cluster: "c"}
}

// diff is an update that leads from one table to another.
func diff(from, to int64, before, after routes.Table) RoutesUpdate {
	return RoutesUpdate{Generation: to, From: &from, Hash: after.Hash(), Ops: routes.Diff(before, after), Cluster: "c"}
}

func TestRouteState(t *testing.T) {
	one, two := weights(1, 1), weights(1, 2)
	state, err := RouteState{Generation: -1}.Apply(completeTable(4, one))
	if err != nil || state.Generation != 4 || state.Cluster != "c" {
		t.Fatalf("%+v, %v", state, err)
	}
	for name, test := range map[string]struct {
		update     RoutesUpdate
		err        error
		generation int64
	}{
		"the next generation":            {diff(4, 5, one, two), nil, 5},
		"a later generation":             {diff(4, 9, one, two), nil, 9},
		"a heartbeat":                    {RoutesUpdate{Generation: 8}, nil, 8},
		"an older generation":            {completeTable(3, two), ErrRevisionRegressed, 4},
		"an older heartbeat":             {RoutesUpdate{Generation: 3}, ErrRevisionRegressed, 4},
		"from another generation":        {diff(3, 5, one, two), ErrMismatch, 4},
		"ops that do not fit":            {diff(4, 5, weights(1, 1, 1), two), ErrMismatch, 4},
		"ops to something else":          {diff(4, 5, two, weights(1, 3)), nil, 5},
		"another hash":                   {RoutesUpdate{Generation: 5, From: new(int64(4)), Hash: "0", Cluster: "c"}, ErrMismatch, 4},
		"a complete table of another":    {RoutesUpdate{Generation: 5, Complete: true, Hash: one.Hash(), Rules: two, Cluster: "c"}, ErrMismatch, 4},
		"another cluster's complete one": {RoutesUpdate{Generation: 1, Complete: true, Hash: two.Hash(), Rules: two, Cluster: "d"}, nil, 1},
		"another cluster's ops":          {RoutesUpdate{Generation: 5, From: new(int64(4)), Hash: one.Hash(), Cluster: "d"}, ErrMismatch, 4},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := state.Apply(test.update)
			if !errors.Is(err, test.err) || got.Generation != test.generation || err != nil && got.Hash != state.Hash {
				t.Errorf("%+v, %v", got, err)
			}
		})
	}
	if _, err := state.Apply(RoutesUpdate{Generation: 5, Complete: true, Rules: append(weights(1), weights(1)...)}); err == nil {
		t.Error("an invalid table is applied")
	}
}

// FuzzRoutesUpdate applies lines of anyone: the state is then a valid table with the hash that the line has, or as it was before.
func FuzzRoutesUpdate(f *testing.F) {
	one := weights(1, 1)
	for _, update := range []RoutesUpdate{completeTable(5, one), diff(4, 5, one, weights(2)), {Generation: 6}} {
		text, err := json.Marshal(update)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		state := RouteState{Cluster: "c", Generation: 4, Hash: one.Hash(), Rules: one}
		update, err := parseRoutesUpdate(text)
		if err != nil {
			return
		}
		got, err := state.Apply(update)
		valid := got.Rules.Hash() == got.Hash && got.Rules.Check() == nil
		regressed := got.Cluster == "c" && got.Generation < 4
		if !valid || regressed || err != nil && got.Generation != 4 {
			t.Fatalf("%s leads to %+v, %v", text, got, err)
		}
	})
}

// scriptedRoutes is a node that answers watches, one after the other, with updates, and then writes nothing more.
type scriptedRoutes struct {
	address string
	mu      sync.Mutex
	queries []string
}

func newScriptedRoutes(t *testing.T, watches ...[]RoutesUpdate) *scriptedRoutes {
	t.Helper()
	node := &scriptedRoutes{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if number := node.countWatch(r.URL.RawQuery); number <= len(watches) {
			for _, update := range watches[number-1] {
				_ = json.NewEncoder(w).Encode(update)
			}
		}
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	node.address = strings.TrimPrefix(server.URL, "http://")
	return node
}

// countWatch returns how many watches there were with this one.
func (node *scriptedRoutes) countWatch(query string) int {
	node.mu.Lock()
	defer node.mu.Unlock()
	node.queries = append(node.queries, query)
	return len(node.queries)
}

func (node *scriptedRoutes) allQueries() string {
	node.mu.Lock()
	defer node.mu.Unlock()
	return strings.Join(node.queries, " ")
}

// runRoutesUntil runs a subscriber until a condition holds, and returns its status then.
func runRoutesUntil(t *testing.T, options RouteOptions, condition func(*RouteSubscriber) bool) RouteStatus {
	t.Helper()
	subscriber, err := NewRouteSubscriber(options)
	if err != nil {
		t.Fatal(err)
	}
	defer startRun(subscriber.Run)()
	eventually(t, "the condition", func() bool { return condition(subscriber) })
	return subscriber.Status()
}

// TestRouteSubscriber receives a diff that leads elsewhere: the complete table is asked for once, and saved; the next process begins with it, unless it asks
// for other tags.
func TestRouteSubscriber(t *testing.T) {
	one, two, three := weights(1), weights(2), weights(3)
	wrong := diff(2, 3, two, three)
	wrong.Hash = one.Hash()
	node := newScriptedRoutes(t, []RoutesUpdate{completeTable(1, one), diff(1, 2, one, two), wrong}, []RoutesUpdate{completeTable(3, three), {Generation: 7}})
	var mu sync.Mutex
	updates := ""
	options := RouteOptions{
		Registry: []string{node.address},
		Tags:     map[string]string{"region": "a", "service": "p&q"},
		Service:  "s",
		Cache:    NewRouteCache(t.TempDir(), "n"),
		Log:      slog.New(slog.DiscardHandler),
		OnUpdate: func(update RouteUpdate) {
			mu.Lock()
			defer mu.Unlock()
			updates += fmt.Sprint(update.Generation, " ", update.Rules[0].Destinations[0].Weight, " ", update.Cached, "; ")
		},
	}
	status := runRoutesUntil(t, options, func(s *RouteSubscriber) bool { return s.Status().Generation == 7 })
	if status.CompleteTables != 2 || status.Diffs != 1 || status.Mismatches != 1 || status.Rules != 1 || status.Age < 0 {
		t.Errorf("status %+v", status)
	}
	filter := "&tag=region%3Aa&tag=service%3Ap%26q&service=s"
	if got, want := node.allQueries(), "watch=1&ages=1"+filter+" watch=1&ages=1"+filter; got != want {
		t.Errorf("asked %s, want %s", got, want)
	}
	runRoutesUntil(t, options, func(*RouteSubscriber) bool { return strings.HasSuffix(node.allQueries(), filter+"&from=7&cluster=c") })
	options.Tags = nil
	runRoutesUntil(t, options, func(*RouteSubscriber) bool { return strings.HasSuffix(node.allQueries(), "&service=s") })
	if want := "1 1 false; 2 2 false; 3 3 false; 7 3 true; "; updates != want {
		t.Errorf("updates %q, want %q", updates, want)
	}
}
