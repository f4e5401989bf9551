package client

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"gradeusher.example/gradeusher/internal/sidecar/list"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("internal/poll.runtime_pollWait"))
}

const waitTimeout = 20 * time.Second // bounds what a test waits for; it is no measure

func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// scriptedNode is a node that writes lines to whoever watches, and a list to whoever reads.
type scriptedNode struct {
	*httptest.Server
	lines    []list.List
	refusals int // watches that are refused first

	mu       sync.Mutex
	complete list.List
	queries  []string // of watches
	reads    int      // of the complete list
}

func newScriptedNode(t *testing.T, lines ...list.List) *scriptedNode {
	t.Helper()
	node := &scriptedNode{lines: lines}
	node.Server = httptest.NewServer(http.HandlerFunc(node.serve))
	t.Cleanup(node.Close)
	return node
}

// newRefusingNode is a node that refuses every watch.
func newRefusingNode(t *testing.T) *scriptedNode {
	t.Helper()
	node := newScriptedNode(t)
	node.refusals = math.MaxInt
	return node
}

func (node *scriptedNode) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") != "1" {
		_ = json.NewEncoder(w).Encode(node.readComplete())
		return
	}
	if node.countWatch(r.URL.RawQuery) <= node.refusals {
		w.Header().Set("Retry-After", "0.05")
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	for _, line := range node.lines {
		_ = json.NewEncoder(w).Encode(line)
	}
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

func (node *scriptedNode) readComplete() list.List {
	node.mu.Lock()
	defer node.mu.Unlock()
	node.reads++
	return node.complete
}

// countWatch returns how many watches there were with this one.
func (node *scriptedNode) countWatch(query string) int {
	node.mu.Lock()
	defer node.mu.Unlock()
	node.queries = append(node.queries, query)
	return len(node.queries)
}

func (node *scriptedNode) address() string { return strings.TrimPrefix(node.URL, "http://") }

func (node *scriptedNode) watchQueries() []string {
	node.mu.Lock()
	defer node.mu.Unlock()
	return slices.Clone(node.queries)
}

func (node *scriptedNode) listReads() int {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.reads
}

// listConsumer is what a consumer of updates has.
type listConsumer struct {
	mu      sync.Mutex
	targets map[string]list.Target
}

func (c *listConsumer) apply(update ListUpdate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if update.Complete {
		clear(c.targets)
	}
	for _, target := range update.Targets {
		applyChange(c.targets, target)
	}
}

// servers returns the numbers of the consumer's servers, in order.
func (c *listConsumer) servers() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	text := ""
	for i := range 20 {
		if _, found := c.targets[fmt.Sprintf("s-%d", i)]; found {
			text += fmt.Sprint(i, " ")
		}
	}
	return text
}

// subscribe runs a subscriber until the test ends.
func subscribe(t *testing.T, options ListOptions) (*ListSubscriber, *listConsumer) {
	t.Helper()
	consumer := &listConsumer{targets: map[string]list.Target{}}
	options.Log, options.OnUpdate = slog.New(slog.DiscardHandler), consumer.apply
	subscriber, err := NewListSubscriber(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(startRun(subscriber.Run))
	return subscriber, consumer
}

// startRun calls run in a goroutine, and returns a function that ends it and waits for its end.
func startRun(run func(context.Context)) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		run(ctx)
	}()
	return func() {
		cancel()
		<-ended
	}
}

// cacheWith returns a cache in which a list is saved.
func cacheWith(t *testing.T, saved list.List) ListCache {
	t.Helper()
	cache := NewListCache(t.TempDir(), "n")
	if err := cache.Save(saved, time.Now()); err != nil {
		t.Fatal(err)
	}
	return cache
}

// TestSubscriberChangesNode has nodes write what cannot be used: they are left for the next one, which is watched from the revision that the subscriber has.
func TestSubscriberChangesNode(t *testing.T) {
	minute := int64(60_000)
	for name, newNode := range map[string]func(*testing.T) *scriptedNode{
		"a revision that goes back": func(t *testing.T) *scriptedNode { return newScriptedNode(t, completeList(3, 1)) },
		"a node out of touch": func(t *testing.T) *scriptedNode {
			return newScriptedNode(t, list.List{Rev: 5, Cluster: "c", AgeMS: &minute, Targets: []list.Target{}})
		},
		"an invalid server": func(t *testing.T) *scriptedNode {
			return newScriptedNode(t, list.List{Rev: 6, Cluster: "c", Targets: []list.Target{{UID: "?"}}})
		},
		"a refusal": newRefusingNode,
	} {
		t.Run(name, func(t *testing.T) {
			bad := newNode(t)
			good := newScriptedNode(t, list.List{Rev: 6, Cluster: "c", Targets: []list.Target{target(7, list.Serving)}})
			cache := cacheWith(t, completeList(5, 0, 1, 2))
			_, consumer := subscribe(t, ListOptions{Registry: []string{bad.address(), good.address()}, ShrinkLimits: DefaultShrinkLimits, Cache: cache})
			eventually(t, "the good node's update", func() bool { return consumer.servers() == "0 1 2 7 " })
			if query := good.watchQueries()[0]; query != "watch=1&ages=1&from=5&cluster=c" {
				t.Errorf("asked %s", query)
			}
			eventually(t, "saved", func() bool {
				saved, _, found, err := cache.Load(time.Now())
				return found && err == nil && saved.Rev == 6 && len(saved.Targets) == 4
			})
		})
	}
}

// TestSubscriberShrunkenList has a node write a list that lost most servers: they are removed only when another node's list lacks them too.
func TestSubscriberShrunkenList(t *testing.T) {
	shrunk := newScriptedNode(t, completeList(9, 0, 1))
	other := newRefusingNode(t) // only the first one can be watched
	other.complete = completeList(9, 0, 1, 2, 3)
	subscriber, consumer := subscribe(t, ListOptions{
		Registry:     []string{shrunk.address(), other.address()},
		Cache:        cacheWith(t, completeList(5, 0, 1, 2, 3, 4, 5, 6, 7)),
		ShrinkLimits: ShrinkLimits{MaxShare: 0.3, MinCount: 1, ConfirmAfter: 300 * time.Millisecond, ReleaseInterval: time.Hour},
	})
	eventually(t, "a second reading", func() bool { return consumer.servers() == "0 1 2 3 " })
	if reads := other.listReads(); reads != 1 {
		t.Errorf("the other node was read %d times", reads)
	}
	if err := subscriber.SetAddresses([]string{"nowhere"}); err == nil {
		t.Error("an invalid address was set")
	}
	next := newScriptedNode(t, list.List{Rev: 10, Cluster: "c", Targets: []list.Target{target(9, list.Serving)}})
	if err := subscriber.SetAddresses([]string{next.address()}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "an update of the new address", func() bool { return consumer.servers() == "0 1 2 3 9 " })
}
