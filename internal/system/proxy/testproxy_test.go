package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// testTimeout bounds the waits of tests for events that are expected immediately.
const testTimeout = 10 * time.Second

// testProxy is a proxy with a fake picker that serves on a loopback address.
type testProxy struct {
	*Proxy
	fake     *fakePicker
	address  string
	route    *config.Route
	serveErr chan error // what Serve returned
}

// configure changes the options and the configuration of a test proxy.
type configure func(*Options, *config.Config)

// withCategory sets the category of the route.
func withCategory(k config.Category) configure {
	return func(_ *Options, c *config.Config) { c.Routes[0].Category = k }
}

// withResumable makes the route a resumable stream.
func withResumable(_ *Options, c *config.Config) {
	c.Routes[0].Category, c.Routes[0].Resumable = config.Streaming, true
}

// listenLocal listens at a free port of the loopback address.
func listenLocal(t testing.TB) net.Listener {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// startProxy starts a proxy whose route /a/ of the host h.example leads to the given servers.
func startProxy(t testing.TB, servers []*fakeServer, changes ...configure) *testProxy {
	t.Helper()
	route := &config.Route{Name: "r", Host: "h.example", Prefix: "/a/", Category: config.NonIdempotent, Timeout: 8 * time.Second,
		LatencyTarget: time.Second, EventGapTarget: 500 * time.Millisecond, Priority: 3, MaxAttempts: 3,
		Shares: []config.Share{{Service: "s", Weight: 1}}}
	config := &config.Config{Revision: 1, Routes: []*config.Route{route},
		Services: map[string]*config.Service{"s": {Name: "s", MaxConns: 100}},
		Limits:   config.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}}
	options := Options{Log: &log.Logger{Handler: discard.New()}, GracePeriod: 2 * time.Second}
	for _, c := range changes {
		c(&options, config)
	}
	fake := newFakePicker(route)
	proxy := &testProxy{Proxy: newProxy(options, fake), fake: fake, route: route, serveErr: make(chan error, 1)}
	proxy.pools.sameRegionTimeout = testTimeout // the machine may be busy
	state := pick.ClusterState{Config: config}
	for i, s := range servers {
		state.Servers = append(state.Servers, pick.Server{ID: fmt.Sprint("i-", i), Service: "s", Address: s.address()})
	}
	proxy.UpdateClusterState(time.Now(), state)
	listener := listenLocal(t)
	proxy.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { proxy.serveErr <- proxy.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		_ = receive(t, proxy.serveErr, "end of Serve")
		proxy.serveErr <- nil
		if reserved := proxy.memory.reserved.Load(); reserved != 0 {
			t.Errorf("%d bytes of body memory are still reserved", reserved)
		}
	})
	return proxy
}

// outcomes are how the attempts have ended so far.
func (f *testProxy) outcomes() (outcomes []pick.AttemptOutcome) {
	f.picker.withLock(func(picker, pick.Time) { outcomes = slices.Clone(f.fake.outcomes) })
	return outcomes
}

// testClient is a connection to the proxy.
type testClient struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

// dial connects a client to the proxy.
func (f *testProxy) dial(t *testing.T) *testClient {
	t.Helper()
	c, err := new(net.Dialer).DialContext(t.Context(), "tcp4", f.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return &testClient{c, t, bufio.NewReader(c)}
}

// sendRequest sends a POST request with an id, headers and a body.
func (c *testClient) sendRequest(id, body string, more ...string) *testClient {
	c.t.Helper()
	text := "POST /a/x?q=1%20a HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id + "\r\n"
	for _, m := range more {
		text += m + "\r\n"
	}
	if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", text, len(body), body); err != nil {
		c.t.Fatal(err)
	}
	return c
}

// clientResponse is a response as a client sees it.
type clientResponse struct {
	*http.Response
	body string
	err  error // of the body
}

// readResponse reads a response with its body.
func (c *testClient) readResponse() clientResponse {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatalf("no response: %v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return clientResponse{resp, string(body), err}
}

// roundTrip sends a request on a new connection and reads the response.
func (f *testProxy) roundTrip(t *testing.T, id, body string, more ...string) clientResponse {
	t.Helper()
	c := f.dial(t)
	defer func() { _ = c.Close() }()
	return c.sendRequest(id, body, more...).readResponse()
}

// receive returns the next value of a channel, and fails the test if none is sent within testTimeout.
func receive[T any](t testing.TB, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for %s", what)
	}
	return v
}
