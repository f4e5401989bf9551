package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"golang.org/x/sys/unix"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

const testTimeout = 10 * time.Second // of tests, for what comes at once

// fakePicker sends to the first server that has not been tried, and records how sends ended.
type fakePicker struct {
	clusterState pick.ClusterState
	route        *config.Route
	lastTicket   uint64
	outcomes     []pick.Outcome
	firstEvents  int
	lastLoad     string
	resumedCount int
	retryAfter   time.Duration // with refusals
	sendWithin   time.Duration // that sends must go out in
	refuseAll    bool          // refuse all
	unreachable  map[string]bool
	serverOf     map[uint64]string
}

func (t *fakePicker) UpdateClusterState(_ pick.Time, w pick.ClusterState) { t.clusterState = w }
func (t *fakePicker) SetLoads(pick.Time, map[string]pick.Load)            {}
func (t *fakePicker) Loads() map[string]pick.Load                         { return nil }
func (t *fakePicker) SetIdleTimeout(string, time.Duration)                {}
func (t *fakePicker) PromptDemands() map[string]pick.Load                 { return nil }
func (t *fakePicker) Arrive(pick.Time, *pick.Request)                     {}
func (t *fakePicker) FirstEvent(pick.Time, uint64)                        { t.firstEvents++ }
func (t *fakePicker) Started(pick.Time, uint64)                           {}
func (t *fakePicker) WarmingUp(pick.Time, string, time.Duration)          {}
func (t *fakePicker) ServerDraining(pick.Time, string)                    {}
func (t *fakePicker) AwaitsServerList() bool                              { return false }
func (t *fakePicker) Stalled(pick.Time)                                   {}
func (t *fakePicker) AwaitsControlPlane() bool                            { return false }
func (t *fakePicker) Stats() pick.Stats                                   { return pick.Stats{} }
func (t *fakePicker) Describe(pick.Time) string                           { return "toy" }
func (t *fakePicker) ServerLoad(_ pick.Time, id string, run, wait, of int) {
	t.lastLoad = fmt.Sprintf("%s %d,%d,%d", id, run, wait, of)
}

func (t *fakePicker) Route(host, path string) *config.Route {
	if strings.EqualFold(strings.TrimSuffix(host, ":80"), t.route.Host) && strings.HasPrefix(path, t.route.Prefix) {
		return t.route
	}
	return nil
}

func (t *fakePicker) Choose(_ pick.Time, r *pick.Request, tried []string, offered bool) pick.Choice {
	if r.Resumed {
		t.resumedCount++
	}
	for _, s := range t.clusterState.Servers {
		if !t.refuseAll && !slices.Contains(tried, s.ID) && !t.unreachable[s.ID] {
			t.lastTicket++
			t.serverOf[t.lastTicket] = s.ID
			return pick.Choice{Server: s, Ticket: t.lastTicket, Priority: r.Route.Priority, SendWithin: t.sendWithin}
		}
	}
	if offered {
		return pick.Choice{Verdict: pick.GiveUp}
	}
	return pick.Choice{Verdict: pick.Refuse, RetryAfter: t.retryAfter}
}

func (t *fakePicker) Done(_ pick.Time, ticket uint64, o pick.Outcome, _ time.Duration) {
	t.outcomes = append(t.outcomes, o)
	if o == pick.ConnectFailed {
		t.unreachable[t.serverOf[ticket]] = true
	}
}

// serverBehavior is what a fake server does with one request; false: it closes the connection.
type serverBehavior func(c net.Conn, r *http.Request, body []byte) bool

// fakeServer speaks HTTP/1.1 as it is told.
type fakeServer struct {
	listener net.Listener
	requests chan *receivedRequest
	wg       sync.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

// receivedRequest is a request as it came.
type receivedRequest struct {
	*http.Request
	body string
	conn net.Conn
}

func startServer(t *testing.T, behavior serverBehavior) *fakeServer {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeServer{listener: l, requests: make(chan *receivedRequest, 4096)}
	s.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			s.wg.Go(func() { s.serve(c, behavior) })
		}
	})
	t.Cleanup(s.stop)
	return s
}

func (s *fakeServer) serve(c net.Conn, do serverBehavior) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.requests <- &receivedRequest{r, string(body), c}
		if !do(c, r, body) {
			return
		}
	}
}

func (s *fakeServer) stop() {
	_ = s.listener.Close()
	s.mu.Lock()
	for _, c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *fakeServer) address() string { return s.listener.Addr().String() }

// closedAddress is one where nobody listens, and that no other socket gets meanwhile.
func closedAddress(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	at, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprint("127.0.0.1:", at.(*unix.SockaddrInet4).Port)
}

// head is that of a proper answer to r.
func head(r *http.Request, status int, more ...string) string {
	text := fmt.Sprintf("HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal\r\n", status, r.Header.Get(headerAttemptID))
	for _, m := range more {
		text += m + "\r\n"
	}
	return text
}

// respondWith answers with a status, headers and a body.
func respondWith(status int, body string, more ...string) serverBehavior {
	return func(c net.Conn, r *http.Request, _ []byte) bool {
		fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head(r, status, more...), len(body), body)
		return true
	}
}

// respondRaw answers with a text in which ID stands for the request's id.
func respondRaw(text string, stays bool) serverBehavior {
	return func(c net.Conn, r *http.Request, _ []byte) bool {
		io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get(headerAttemptID)))
		return stays
	}
}

// resetConn breaks the connection off without a word.
func resetConn(c net.Conn, _ *http.Request, _ []byte) bool {
	_ = c.(*net.TCPConn).SetLinger(0)
	return false
}

// neverRespond never answers; it waits for the end of the connection.
func neverRespond(c net.Conn, _ *http.Request, _ []byte) bool {
	_, _ = c.Read(make([]byte, 1))
	return false
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// eventChunk is one eventChunk of a stream, as a chunk.
func eventChunk(id int) string { return chunk(fmt.Sprintf("id: %d\ndata: d%d\n\n", id, id)) }

// events answers with a stream of events; whole: it ends as complete.
func respondEvents(from, to int, whole bool) serverBehavior {
	return func(c net.Conn, r *http.Request, _ []byte) bool {
		io.WriteString(c, head(r, 200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")+"\r\n")
		for id := from; id <= to; id++ {
			io.WriteString(c, eventChunk(id))
		}
		if whole {
			io.WriteString(c, "0\r\n\r\n")
		}
		return whole
	}
}

// testProxy is a proxy with a toy picker.
type testProxy struct {
	*Proxy
	fake     *fakePicker
	address  string
	route    *config.Route
	serveErr chan error
	cancel   context.CancelFunc
}

type configure func(*Options, *config.Config)

func withCategory(k config.Category) configure {
	return func(_ *Options, c *config.Config) { c.Routes[0].Category = k }
}

func withResumable(_ *Options, c *config.Config) {
	c.Routes[0].Category, c.Routes[0].Resumable = config.Streaming, true
}

// startProxy serves a route /a/ of the host h.example at servers.
func startProxy(t *testing.T, servers []*fakeServer, changes ...configure) *testProxy {
	t.Helper()
	route := &config.Route{Name: "r", Host: "h.example", Prefix: "/a/", Category: config.NonIdempotent, Timeout: 8 * time.Second,
		LatencyTarget: time.Second, EventGapTarget: 500 * time.Millisecond, Priority: 3, MaxTries: 3,
		Shares: []config.Share{{Service: "s", Weight: 1}}}
	config := &config.Config{Revision: 1, Routes: []*config.Route{route},
		Services: map[string]*config.Service{"s": {Name: "s", MaxConns: 100}},
		Limits:   config.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}}
	o := Options{Log: &log.Logger{Handler: discard.New()}, GracePeriod: 2 * time.Second}
	for _, c := range changes {
		c(&o, config)
	}
	toy := &fakePicker{route: route, unreachable: map[string]bool{}, serverOf: map[uint64]string{}}
	f := &testProxy{Proxy: newProxy(o, toy), fake: toy, route: route, serveErr: make(chan error, 1)}
	f.pools.sameRegionTimeout = testTimeout // the machine may be busy
	w := pick.ClusterState{Config: config}
	for i, s := range servers {
		w.Servers = append(w.Servers, pick.Server{ID: fmt.Sprint("i-", i), Service: "s", Address: s.address()})
	}
	f.UpdateClusterState(time.Now(), w)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.address = l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	go func() { f.serveErr <- f.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		receive(t, f.serveErr, "end of Serve")
		f.serveErr <- nil
		if held := f.memory.reserved.Load(); held != 0 {
			t.Errorf("%d bytes are booked still", held)
		}
	})
	return f
}

// outcomes are how the sends have ended so far.
func (f *testProxy) outcomes() (ends []pick.Outcome) {
	f.picker.withLock(func(picker, pick.Time) { ends = slices.Clone(f.fake.outcomes) })
	return ends
}

// testClient is a connection to the proxy.
type testClient struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (f *testProxy) dial(t *testing.T) *testClient {
	t.Helper()
	c, err := net.Dial("tcp4", f.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return &testClient{c, t, bufio.NewReader(c)}
}

// sendRequest sends a request with an id, headers and a body.
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

// clientResponse is an answer as a client sees it.
type clientResponse struct {
	*http.Response
	body string
	err  error // of the body
}

func (c *testClient) readResponse() clientResponse {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	return clientResponse{resp, string(body), err}
}

func (f *testProxy) roundTrip(t *testing.T, id, body string, more ...string) clientResponse {
	t.Helper()
	c := f.dial(t)
	defer c.Close()
	return c.sendRequest(id, body, more...).readResponse()
}

func receive[T any](t *testing.T, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(testTimeout):
		t.Fatalf("no %s", what)
	}
	return v
}
