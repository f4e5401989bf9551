package testcluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/lab/testcluster/engine"
	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// faultyProxy is proxy, directory and control-plane node in one, and breaks a rule on purpose.
type faultyProxy struct {
	w       *Environment
	front   *httptest.Server
	keeper  *httptest.Server
	client  *http.Client
	mu      sync.Mutex
	config  []byte
	service func(path string) *Server                                  // where a request goes
	reject  func(w http.ResponseWriter, r *http.Request) (ok bool)     // true: it has answered instead of a server
	request func(r *http.Request, body []byte) []byte                  // changes what is sent
	times   int                                                        // how often it is sent; 0: once
	answer  func(w http.ResponseWriter, resp *http.Response) (ok bool) // true: it has answered
}

// ServeHTTP implements http.Handler for clients.
func (c *faultyProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/resolve" {
		_, _ = fmt.Fprintf(w, `{"addresses":[%q],"ttl_s":2}`, c.front.Listener.Addr())
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if c.reject != nil && c.reject(w, r) {
		return
	}
	if c.request != nil {
		body = c.request(r, body)
	}
	var resp *http.Response
	for range max(1, c.times) {
		out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+c.service(r.URL.Path).address+r.URL.RequestURI(), bytes.NewReader(body))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		out.Header = r.Header.Clone()
		if resp, err = c.client.Do(out); err != nil {
			panic(http.ErrAbortHandler)
		}
		defer func() { _ = resp.Body.Close() }()
	}
	if c.answer != nil && c.answer(w, resp) {
		return
	}
	pass(w, resp, resp.Body)
}

func pass(w http.ResponseWriter, resp *http.Response, body io.Reader) {
	for name, values := range resp.Header {
		if name != "Connection" {
			w.Header()[name] = values
		}
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, body) // the client sees it if this fails
}

// operate answers the operator.
func (c *faultyProxy) operate(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.URL.Path == "/Config.Read" {
		_, _ = w.Write(c.config) // the operator sees it if this fails
		return
	}
	if body, err := io.ReadAll(r.Body); err == nil && len(body) > 0 {
		c.config = body
	}
}

// server returns the first server of a service in a region.
func (c *faultyProxy) server(service, region string) *Server {
	return c.w.Servers[slices.IndexFunc(c.w.Servers, func(s *Server) bool { return s.Service == service && s.Region == region })]
}

// startFaultyProxy returns a proxy that breaks no rule yet, in an environment whose bounds allow no time. edits change the scenario.
func startFaultyProxy(t *testing.T, edits ...func(*Scenario)) *faultyProxy {
	t.Helper()
	scene := SmallScenario(1)
	scene.Bounds.Drain, scene.Bounds.Evacuate, scene.Bounds.ConfigApply, scene.Bounds.RetrySlack = 0, 0, 0, 2
	scene.Config.Routes[2].Homes = []string{"north"}
	for _, edit := range edits {
		edit(scene)
	}
	proxy := &faultyProxy{client: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
	proxy.front = httptest.NewServer(proxy)
	proxy.keeper = httptest.NewServer(http.HandlerFunc(proxy.operate))
	quick := &engine.Spec{Slots: 16, Queue: 16, MemoryTokens: 100_000, Stride: 5, Step: 500 * time.Microsecond, PrefillRate: 5000, Chunk: 5000}
	for i := range scene.Servers {
		s := &scene.Servers[i]
		if s.Address = "127.0.4.2:0"; s.Engine != nil {
			s.Engine = quick
		}
	}
	for i := range scene.Kinds {
		scene.Kinds[i].AnswerTokens = min(scene.Kinds[i].AnswerTokens, 30)
	}
	w, err := New(Options{Servers: scene.Servers, Kinds: scene.Kinds, Zones: map[string]string{"north-a": "north"}, Bounds: scene.Bounds,
		Directories: []Directory{{Address: proxy.front.Listener.Addr().String(), Zone: "north-a", Region: "north"}}, MaxTTL: time.Second,
		ControlAddresses: []string{proxy.keeper.Listener.Addr().String()}, ListRate: 10, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	proxy.w = w
	proxy.service = func(path string) *Server {
		if strings.HasPrefix(path, "/thumb/") || strings.HasPrefix(path, publicPrefix) {
			return proxy.server(thumbService, "north")
		}
		return proxy.server(modelService, "north")
	}
	if err := w.Operator.Replace(t.Context(), scene.Config, 0); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		w.traffic.running.Wait()
		w.Close()
		proxy.client.CloseIdleConnections()
		proxy.front.Close()
		proxy.keeper.Close()
	})
	return proxy
}

// play has clients send n requests of each kind, and returns the rules with violations.
func (c *faultyProxy) play(t *testing.T, n int) []string {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	pool := c.w.traffic.pools[0]
	c.w.traffic.running.Go(func() { pool.run(ctx) })
	select {
	case <-pool.resolvedOnce:
	case <-time.After(10 * time.Second):
		t.Fatal("the directory does not answer")
	}
	rng := rand.New(rand.NewPCG(1, 1))
	var wait sync.WaitGroup
	for range n {
		for _, k := range c.w.traffic.Kinds {
			wait.Go(c.w.traffic.newRequest(k, pool, rng).run)
		}
	}
	wait.Wait()
	cancel()
	c.w.traffic.running.Wait()
	pool.closeAll()
	var err error
	if c.w.Evidence.Read, err = c.w.Operator.Read(t.Context()); err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, v := range rules.Check(c.w.Evidence) {
		if v.Violations > 0 {
			names = append(names, v.Rule)
			t.Log(v)
		}
	}
	return names
}

// without returns a change of answers that drops events of streams.
func without(drop func(i, n int) bool) func(w http.ResponseWriter, resp *http.Response) bool {
	return func(w http.ResponseWriter, resp *http.Response) bool {
		if resp.Header.Get("Content-Type") != "text/event-stream" {
			return false
		}
		text, err := io.ReadAll(resp.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		all := strings.SplitAfter(strings.TrimSuffix(string(text), "\n\n"), "\n\n")
		var kept strings.Builder
		for i, event := range all {
			if !drop(i, len(all)) {
				kept.WriteString(strings.TrimSuffix(event, "\n\n") + "\n\n")
			}
		}
		pass(w, resp, strings.NewReader(kept.String()))
		return true
	}
}

// defect is a way in which a proxy breaks a rule on purpose.
type defect struct {
	name   string
	broken string // the rules that the checks have to report
	inject func(t *testing.T, c *faultyProxy)
}

// answerDefects change answers.
func answerDefects() []defect {
	return []defect{
		{"honest", "", func(*testing.T, *faultyProxy) {}},
		{"strips the seal", "MIXED", func(_ *testing.T, c *faultyProxy) {
			c.answer = func(_ http.ResponseWriter, resp *http.Response) bool {
				resp.Header.Del("X-Server-Seal")
				return false
			}
		}},
		{"changes a body", "MIXED", func(_ *testing.T, c *faultyProxy) {
			c.answer = func(w http.ResponseWriter, resp *http.Response) bool {
				if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/plain") {
					pass(w, resp, io.MultiReader(io.LimitReader(resp.Body, 20), strings.NewReader("!"), resp.Body))
					return true
				}
				return false
			}
		}},
		{"sends more after the answer", "MIXED", func(t *testing.T, c *faultyProxy) {
			c.answer = func(w http.ResponseWriter, _ *http.Response) bool {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return true
				}
				defer func() { _ = conn.Close() }()
				_, _ = io.WriteString(conn, "HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				return true
			}
			c.service = func(string) *Server { return c.server(thumbService, "north") }
			c.w.traffic.Kinds = c.w.traffic.Kinds[2:]
		}},
	}
}

// requestDefects change, repeat or deny requests.
func requestDefects() []defect {
	return []defect{
		{"changes a request", "UNASKED", func(_ *testing.T, c *faultyProxy) {
			c.request = func(_ *http.Request, body []byte) []byte { return append(body, '!') }
		}},
		{"smuggles", "MIXED UNASKED ORDER", func(_ *testing.T, c *faultyProxy) {
			c.request = func(r *http.Request, body []byte) []byte {
				r.Header.Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id")+"0")
				return body
			}
		}},
		{"sends twice", "TWICE BUDGET", func(_ *testing.T, c *faultyProxy) { c.times = 2 }},
		{"breaks its promise", "REFUSED", func(_ *testing.T, c *faultyProxy) {
			c.answer = func(w http.ResponseWriter, _ *http.Response) bool {
				w.WriteHeader(http.StatusServiceUnavailable)
				return true
			}
		}},
	}
}

// routingDefects send requests elsewhere, or lose events.
func routingDefects() []defect {
	return []defect{
		{"knows no route", "DENIED CONFIG", func(_ *testing.T, c *faultyProxy) {
			c.answer = func(w http.ResponseWriter, _ *http.Response) bool {
				w.WriteHeader(http.StatusNotFound)
				return true
			}
		}},
		{"sends to another service", "ROUTE CONFIG", func(_ *testing.T, c *faultyProxy) {
			c.service = func(string) *Server { return c.server(modelService, "north") }
		}},
		{"sends abroad", "HOME", func(_ *testing.T, c *faultyProxy) {
			c.service = func(path string) *Server {
				if strings.HasPrefix(path, "/thumb/") {
					return c.server(thumbService, "south")
				}
				return c.server(modelService, "south")
			}
		}},
		{"drops an event", "ORDER", func(_ *testing.T, c *faultyProxy) { c.answer = without(func(i, _ int) bool { return i == 1 }) }},        //nolint:bodyclose // the caller of answer closes it
		{"ends a stream early", "ORDER", func(_ *testing.T, c *faultyProxy) { c.answer = without(func(i, n int) bool { return i == n-1 }) }}, //nolint:bodyclose // the caller of answer closes it
	}
}

// stateDefects neglect the list, changes of the operator, or a graceful shutdown.
func stateDefects() []defect {
	return []defect{
		{"sends to a draining server", "DRAIN", func(_ *testing.T, c *faultyProxy) {
			c.server(modelService, "north").Drain()
			c.w.Platform.Observe()
		}},
		{"sends to an evacuated zone", "EVAC", func(t *testing.T, c *faultyProxy) {
			if err := c.w.Operator.Evacuate(t.Context(), "north-a", true); err != nil {
				t.Error(err)
			}
		}},
		{"floods a cold server", "FAILBACK", func(t *testing.T, c *faultyProxy) {
			s := c.server(modelService, "north")
			s.Stop()
			s.WarmUp, s.WarmUpPerSecond, s.WarmUpCrashFactor = time.Hour, 2, 100
			if err := s.Start(true); err != nil {
				t.Error(err)
			}
		}},
		{"cuts at its end", "LOST", func(_ *testing.T, c *faultyProxy) {
			c.w.Evidence.RecordFault(rules.Fault{Proxy: c.front.Listener.Addr().String(), Kind: "term", At: c.w.Now()})
			c.answer = func(http.ResponseWriter, *http.Response) bool { panic(http.ErrAbortHandler) }
		}},
		{"loses the configuration", "CONFIG", func(_ *testing.T, c *faultyProxy) {
			older, err := json.Marshal(&rules.Config{Revision: 0})
			if err != nil {
				panic(err)
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			c.config = older
		}},
	}
}

// TestFaultyProxiesAreDetected checks that the evidence which clients and servers record is enough to detect each defect. The checks would
// pass any run of which nothing is recorded.
func TestFaultyProxiesAreDetected(t *testing.T) {
	for _, defect := range slices.Concat(answerDefects(), requestDefects(), routingDefects(), stateDefects()) {
		t.Run(defect.name, func(t *testing.T) {
			t.Parallel()
			proxy := startFaultyProxy(t)
			defect.inject(t, proxy)
			got := proxy.play(t, 6)
			if want := strings.Fields(defect.broken); !slices.Equal(got, want) {
				t.Errorf("broken %v, want %v", got, want)
			}
		})
	}
}
