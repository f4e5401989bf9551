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
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/operatorapi"
	"gradeusher.example/gradeusher/internal/system/replication"
	"gradeusher.example/gradeusher/internal/system/wal/waltest"
	"gradeusher.example/gradeusher/internal/testsupport/redirect"
)

var machines = []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}

// observer is a machine without a disk, which only some tests start.
const observer = "10.0.0.4"

// apiCluster is three nodes and their APIs, with disks and a network in memory.
type apiCluster struct {
	tb                  testing.TB
	disks               map[string]*waltest.Mem
	nodes               map[string]*replication.Node
	apis                map[string]http.Handler
	waitWhenPartitioned bool // the API of a partitioned node holds changes until they time out

	mu           sync.Mutex
	peerHandlers map[string]http.Handler
	partitioned  map[string]bool
}

// network is the transport from one node to the others.
type network struct {
	*apiCluster
	from string
}

func (n network) RoundTrip(r *http.Request) (*http.Response, error) {
	to := r.URL.Hostname()
	n.mu.Lock()
	h, partitioned := n.peerHandlers[to], n.partitioned[to] || n.partitioned[n.from]
	n.mu.Unlock()
	if h == nil || partitioned {
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

// startNode starts the node of one machine, as an observer if the machine has no disk.
func (c *apiCluster) startNode(addr string) {
	c.tb.Helper()
	discardLog := &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
	options := replication.Options{Addr: addr, Zone: "zone of " + addr, Region: "r", Port: 1,
		Seeds: machines, Bootstrap: true, MachineLosses: 1, Transport: network{c, addr}, Log: discardLog}
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
	api := operatorapi.Options{Chain: k, Log: discardLog, Partitioned: k.Partitioned,
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

func (c *apiCluster) setPartitioned(addr string, partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned[addr] = partitioned
}

// apiRequest is one request of the operator.
type apiRequest struct{ method, path, base, body string }

func replacement(base, revision int, mark string) apiRequest {
	return apiRequest{http.MethodPost, "/Config.Replace", fmt.Sprint(base),
		fmt.Sprintf(`{"revision":%d,"built_on":%d,"routes":[],"services":[{"name":"service %s"}]}`, revision, base, mark)}
}

func (c *apiCluster) call(addr string, o apiRequest) (status int, body string) {
	w := redirect.Serve(c.apis[addr], o.path, func(target string) *http.Request {
		r := httptest.NewRequestWithContext(c.tb.Context(), o.method, "http://"+addr+target, bytes.NewBufferString(o.body))
		if o.base != "" {
			r.Header.Set("X-Base-Version", o.base)
		}
		return r
	})
	return w.Code, w.Body.String()
}

// callUntilResolved sends a request until its response is not a 503, at most 50 times.
func (c *apiCluster) callUntilResolved(addr string, o apiRequest) (status int, body string) {
	for range 50 {
		if status, body = c.call(addr, o); status != http.StatusServiceUnavailable {
			return status, body
		}
		time.Sleep(100 * time.Millisecond) // of the bubble's clock
	}
	c.tb.Errorf("%s %s: no definite response from %s", o.method, o.path, addr)
	return status, body
}

// callAllNodes sends changes to all nodes concurrently, and counts the responses by status.
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

// mustSucceed sends a request until there is a definite response, which must be 200.
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

// mustReadWithin reads the configuration at a node until the read succeeds, which must be within the bound.
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
