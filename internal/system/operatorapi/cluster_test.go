package operatorapi_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/operatorapi"
	"gradeusher.example/gradeusher/internal/system/replication"
	"gradeusher.example/gradeusher/internal/system/wal/waltest"
)

var machines = []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}

// observer is a machine without a disk, which only some tests start.
const observer = "10.0.0.4"

// apiCluster is three nodes with their APIs, over disks and a network in memory.
type apiCluster struct {
	tb                  testing.TB
	disks               map[string]*waltest.Mem
	nodes               map[string]*replication.Node
	apis                map[string]http.Handler
	waitWhenPartitioned bool // the APIs hold changes also where a node is partitioned

	mu           sync.Mutex
	peerHandlers map[string]http.Handler
	partitioned  map[string]bool
}

// submitter fits a node to the API, as cmd/controlplane does.
type submitter struct{ *replication.Node }

func (s submitter) Submit(ctx context.Context, c controlstate.Change) (controlstate.Verdict, error) {
	a, err := s.Node.Submit(ctx, c)
	a.Verdict.Seq = a.Seq
	return a.Verdict, err
}

// network is one node's way to the others.
type network struct {
	*apiCluster
	from string
}

func (n network) RoundTrip(r *http.Request) (*http.Response, error) {
	to := r.URL.Hostname()
	n.mu.Lock()
	h, cut := n.peerHandlers[to], n.partitioned[to] || n.partitioned[n.from]
	n.mu.Unlock()
	if h == nil || cut {
		return nil, errors.New("unreachable")
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	request := r.Clone(r.Context())
	request.Body = io.NopCloser(bytes.NewReader(body))
	w := httptest.NewRecorder()
	h.ServeHTTP(w, request)
	return w.Result(), nil
}

func newCluster(tb testing.TB) *apiCluster {
	c := &apiCluster{tb: tb, disks: map[string]*waltest.Mem{}, nodes: map[string]*replication.Node{}, apis: map[string]http.Handler{},
		peerHandlers: map[string]http.Handler{}, partitioned: map[string]bool{}}
	for _, addr := range machines {
		c.disks[addr] = waltest.NewMem()
	}
	return c
}

func (c *apiCluster) start() {
	c.tb.Helper()
	for _, addr := range machines {
		c.startNode(addr)
	}
}

// startNode starts the node of one machine, as an observer where the machine has no disk.
func (c *apiCluster) startNode(addr string) {
	c.tb.Helper()
	quiet := &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
	options := replication.Options{Addr: addr, Zone: "zone of " + addr, Region: "r", Port: 1,
		Seeds: machines, Bootstrap: true, MachineLosses: 1, Transport: network{c, addr}, Log: quiet}
	if disk := c.disks[addr]; disk != nil {
		options.Disk = disk
	} else {
		options.Observer = true
	}
	k, err := replication.Start(context.Background(), options)
	if err != nil {
		c.tb.Fatal(err)
	}
	c.nodes[addr] = k
	api := operatorapi.Options{Chain: submitter{k}, Log: quiet, Partitioned: k.Partitioned,
		CommittedState: func() *controlstate.State { s, _ := k.Committed(); return s }}
	if c.waitWhenPartitioned {
		api.Partitioned = nil
	}
	c.apis[addr] = operatorapi.Handler(api)
	c.mu.Lock()
	c.peerHandlers[addr] = k.Handler()
	c.mu.Unlock()
}

func (c *apiCluster) stop() {
	for addr, k := range c.nodes {
		c.mu.Lock()
		c.peerHandlers[addr] = nil
		c.mu.Unlock()
		k.Stop()
	}
}

func (c *apiCluster) setPartitioned(addr string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned[addr] = cut
}

// apiRequest is one call of the operator.
type apiRequest struct{ method, path, base, body string }

func replacement(base, revision int, mark string) apiRequest {
	return apiRequest{http.MethodPost, "/Config.Replace", fmt.Sprint(base),
		fmt.Sprintf(`{"revision":%d,"built_on":%d,"routes":[],"services":[{"name":"service %s"}]}`, revision, base, mark)}
}

func (c *apiCluster) call(addr string, o apiRequest) (status int, body string) {
	r := httptest.NewRequestWithContext(c.tb.Context(), o.method, "http://"+addr+o.path, bytes.NewBufferString(o.body))
	if o.base != "" {
		r.Header.Set("X-Base-Version", o.base)
	}
	w := httptest.NewRecorder()
	c.apis[addr].ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

// callUntilResolved calls until there is a clear answer.
func (c *apiCluster) callUntilResolved(addr string, o apiRequest) (status int, body string) {
	for range 50 {
		if status, body = c.call(addr, o); status != http.StatusServiceUnavailable {
			return status, body
		}
		time.Sleep(100 * time.Millisecond) // of the bubble's clock
	}
	c.tb.Errorf("%s %s: no clear answer from %s", o.method, o.path, addr)
	return status, body
}

// callAllNodes sends changes to all nodes at once, and counts the answers by status.
func (c *apiCluster) callAllNodes(orders ...apiRequest) map[int]int {
	var mu sync.Mutex
	var all sync.WaitGroup
	out := map[int]int{}
	for i, addr := range machines {
		all.Go(func() {
			status, _ := c.callUntilResolved(addr, orders[i%len(orders)])
			mu.Lock()
			defer mu.Unlock()
			out[status]++
		})
	}
	all.Wait()
	return out
}

// Over the chain itself: hundreds of changes, each sent to all nodes at once, are each applied once and confirmed to all;
// sent again later they are confirmed again, also after a restart of all nodes.
func TestSameOrderOverTheChain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t)
		cluster.start()
		defer cluster.stop()
		var all []apiRequest
		for i := range 300 {
			o := replacement(i, i+1, "")
			if i%4 == 3 {
				o = apiRequest{http.MethodPost, "/Config.Amend", fmt.Sprint(i),
					fmt.Sprintf(`{"revision":%d,"built_on":%d,"upsert":{"services":[{"name":"a"}]}}`, i+1, i)}
			}
			if got := cluster.callAllNodes(o); got[200] != len(machines) {
				t.Fatalf("change %d: %v", i, got)
			}
			all = append(all, o)
		}
		again := func(when string) {
			for i, o := range all {
				if status, body := cluster.callUntilResolved(machines[i%3], o); status != 200 || body != fmt.Sprintf(`{"revision":%d}`, i+1) {
					t.Fatalf("%s: change %d: status %d: %s", when, i, status, body)
				}
			}
			if state, err := cluster.nodes[machines[0]].Read(t.Context()); err != nil || state.Seq != uint64(len(all)) {
				t.Errorf("%s: records up to %d, %v", when, state.Seq, err)
			}
		}
		again("later")
		cluster.stop()
		cluster.start()
		again("after a restart")
	})
}

// Over the chain itself: of three changes on one version one is confirmed, the others are refused.
func TestRaceOverTheChain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t)
		cluster.start()
		defer cluster.stop()
		for i := range 50 {
			got := cluster.callAllNodes(replacement(i, i+1, "one"), replacement(i, i+1, "two"), replacement(i, i+1, "three"))
			if got[200] != 1 || got[412] != 2 {
				t.Fatalf("version %d: %v", i, got)
			}
		}
	})
}

// A node that is partitioned from the others, and still reached by callers, confirms nothing, refuses nothing that the state
// decides, and answers no configuration; when the partition ends it is back within two seconds. That holds by the chain alone, and
// also where the API answers changes at once.
func TestPartitionedNode(t *testing.T) {
	for name, patient := range map[string]bool{"orders are held": true, "orders are answered at once": false} {
		t.Run(name, func(t *testing.T) { testPartitionedNode(t, patient) })
	}
}

func testPartitionedNode(t *testing.T, waitWhenPartitioned bool) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t)
		cluster.waitWhenPartitioned = waitWhenPartitioned
		cluster.start()
		defer cluster.stop()
		for i := range 3 {
			cluster.mustSucceed(machines[0], replacement(i, i+1, ""))
		}
		cluster.mustSucceed(machines[1], apiRequest{method: http.MethodPost, path: "/Evacuation.Start/z"})
		for _, addr := range machines { // the head, the middle, the tail
			cluster.setPartitioned(addr, true)
			for began := time.Now(); time.Since(began) < 20*time.Second; {
				cluster.mustBeUnavailable(addr)
			}
			cluster.setPartitioned(addr, false)
			cluster.mustReadWithin(addr, 2*time.Second)
			if status, _ := cluster.callUntilResolved(addr, replacement(1, 2, "")); status != http.StatusOK {
				t.Errorf("after the partition a change that was applied got %d", status)
			}
		}
	})
}

// mustSucceed sends a request until there is a clear response, which must be 200.
func (c *apiCluster) mustSucceed(addr string, request apiRequest) {
	c.tb.Helper()
	if status, body := c.callUntilResolved(addr, request); status != http.StatusOK {
		c.tb.Fatalf("%s %s at %s: status %d: %s", request.method, request.path, addr, status, body)
	}
}

// mustBeUnavailable sends requests of every kind to a node, which must answer each of them with 503.
func (c *apiCluster) mustBeUnavailable(addr string) {
	c.tb.Helper()
	for name, request := range map[string]apiRequest{
		"a change that was applied":   replacement(1, 2, ""),
		"the newest change":           replacement(2, 3, ""),
		"a stale change":              replacement(1, 2, "x"),
		"an invalid change":           replacement(3, 2, ""),
		"not JSON":                    {http.MethodPost, "/Config.Replace", "3", "{"},
		"an evacuation":               {method: http.MethodPost, path: "/Evacuation.Start/z"},
		"the end of an evacuation":    {method: http.MethodPost, path: "/Evacuation.Finish/z"},
		"the end of no evacuation":    {method: http.MethodPost, path: "/Evacuation.Finish/y"},
		"a read of the configuration": {method: http.MethodGet, path: "/Config.Read"},
	} {
		if status, body := c.call(addr, request); status != http.StatusServiceUnavailable {
			c.tb.Errorf("%s: status %d: %s", name, status, body)
		}
	}
}

// mustReadWithin reads the configuration at a node until that succeeds, which must be within a time.
func (c *apiCluster) mustReadWithin(addr string, bound time.Duration) {
	c.tb.Helper()
	healedAt := time.Now()
	for status := 0; status != http.StatusOK; {
		status, _ = c.call(addr, apiRequest{method: http.MethodGet, path: "/Config.Read"})
		if time.Since(healedAt) > bound {
			c.tb.Fatalf("%s does not answer after the partition: status %d", addr, status)
		}
	}
}

// A node that has been without a way to the chain for two seconds, whatever its place, answers changes at once, so that
// callers move on to another node. Through the others the change comes into force meanwhile, and soon after the partition through
// this one again.
func TestChangesAtAPartitionedNodeAreAnsweredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t)
		cluster.start()
		cluster.startNode(observer)
		defer cluster.stop()
		if status, body := cluster.callUntilResolved(observer, replacement(0, 1, "")); status != 200 {
			t.Fatalf("status %d: %s", status, body)
		}
		for index, addr := range append([]string{observer}, machines...) {
			cluster.setPartitioned(addr, true)
			time.Sleep(2 * time.Second) // of the bubble's clock
			start := apiRequest{method: http.MethodPost, path: "/Evacuation.Start/" + addr}
			for _, o := range []apiRequest{start, replacement(index+1, index+2, addr), {http.MethodPost, "/Config.Amend", fmt.Sprint(index + 1), "{}"}} {
				began := time.Now()
				status, body := cluster.call(addr, o)
				if took := time.Since(began); status != 503 || took > 20*time.Millisecond {
					t.Errorf("%s at %s: status %d after %v, want 503 at once: %s", o.path, addr, status, took, body)
				}
			}
			other := machines[(index+1)%len(machines)] // never m
			if status, body := cluster.callUntilResolved(other, start); status != 200 {
				t.Errorf("%s at %s: status %d: %s", start.path, other, status, body)
			}
			cluster.setPartitioned(addr, false)
			time.Sleep(2 * time.Second)
			if status, body := cluster.call(addr, replacement(index+1, index+2, addr)); status != 200 {
				t.Errorf("at %s after the cut: status %d: %s", addr, status, body)
			}
		}
	})
}

// BenchmarkEvacuation measures an evacuation over a chain in memory, against a change without the round before it. Run
// it with -benchtime 500x: a head takes 4,096 changes in 15 s at most.
func BenchmarkEvacuation(b *testing.B) {
	cluster := newCluster(b)
	cluster.start()
	defer cluster.stop()
	if status, body := cluster.callUntilResolved(machines[0], replacement(0, 1, "")); status != 200 {
		b.Fatal(status, body)
	}
	b.Run("order", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			path := "/Evacuation.Start/z"
			if i%2 == 1 {
				path = "/Evacuation.Finish/z"
			}
			if status, body := cluster.callUntilResolved(machines[1], apiRequest{method: http.MethodPost, path: path}); status != 200 {
				b.Fatal(status, body)
			}
		}
	})
	b.Run("change alone", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			s, _ := cluster.nodes[machines[1]].Committed()
			change := controlstate.Change{Op: controlstate.OpEvacuate, Zone: "y", Base: int64(s.Seq)}
			if _, err := cluster.nodes[machines[1]].Submit(b.Context(), change); err != nil {
				b.Fatal(err)
			}
		}
	})
}
