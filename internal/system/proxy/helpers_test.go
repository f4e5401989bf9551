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

const patience = 10 * time.Second // of tests, for what comes at once

// toyPicker sends to the first server that has not been tried, and records how sends ended.
type toyPicker struct {
	world   pick.ClusterState
	route   *config.Route
	ticket  uint64
	ends    []pick.Outcome
	firsts  int
	load    string
	resumed int
	retry   time.Duration // with refusals
	within  time.Duration // that sends must go out in
	no      bool          // refuse all
	down    map[string]bool
	sent    map[uint64]string
}

func (t *toyPicker) UpdateClusterState(_ pick.Time, w pick.ClusterState) { t.world = w }
func (t *toyPicker) SetLoads(pick.Time, map[string]pick.Load)            {}
func (t *toyPicker) Loads() map[string]pick.Load                         { return nil }
func (t *toyPicker) SetIdleTimeout(string, time.Duration)                {}
func (t *toyPicker) PromptDemands() map[string]pick.Load                 { return nil }
func (t *toyPicker) Arrive(pick.Time, *pick.Request)                     {}
func (t *toyPicker) FirstEvent(pick.Time, uint64)                        { t.firsts++ }
func (t *toyPicker) Started(pick.Time, uint64)                           {}
func (t *toyPicker) WarmingUp(pick.Time, string, time.Duration)          {}
func (t *toyPicker) ServerDraining(pick.Time, string)                    {}
func (t *toyPicker) AwaitsServerList() bool                              { return false }
func (t *toyPicker) Stalled(pick.Time)                                   {}
func (t *toyPicker) AwaitsControlPlane() bool                            { return false }
func (t *toyPicker) Stats() pick.Stats                                   { return pick.Stats{} }
func (t *toyPicker) Describe(pick.Time) string                           { return "toy" }
func (t *toyPicker) ServerLoad(_ pick.Time, id string, run, wait, of int) {
	t.load = fmt.Sprintf("%s %d,%d,%d", id, run, wait, of)
}

func (t *toyPicker) Route(host, path string) *config.Route {
	if strings.EqualFold(strings.TrimSuffix(host, ":80"), t.route.Host) && strings.HasPrefix(path, t.route.Prefix) {
		return t.route
	}
	return nil
}

func (t *toyPicker) Choose(_ pick.Time, r *pick.Request, tried []string, offered bool) pick.Choice {
	if r.Resumed {
		t.resumed++
	}
	for _, s := range t.world.Servers {
		if !t.no && !slices.Contains(tried, s.ID) && !t.down[s.ID] {
			t.ticket++
			t.sent[t.ticket] = s.ID
			return pick.Choice{Server: s, Ticket: t.ticket, Priority: r.Route.Priority, SendWithin: t.within}
		}
	}
	if offered {
		return pick.Choice{Verdict: pick.GiveUp}
	}
	return pick.Choice{Verdict: pick.Refuse, RetryAfter: t.retry}
}

func (t *toyPicker) Done(_ pick.Time, ticket uint64, o pick.Outcome, _ time.Duration) {
	t.ends = append(t.ends, o)
	if o == pick.ConnectFailed {
		t.down[t.sent[ticket]] = true
	}
}

// deed is what a fake server does with one request; false: it closes the connection.
type deed func(c net.Conn, r *http.Request, body []byte) bool

// fakeServer speaks HTTP/1.1 as it is told.
type fakeServer struct {
	l    net.Listener
	came chan *seen
	wg   sync.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

// seen is a request as it came.
type seen struct {
	*http.Request
	body string
	conn net.Conn
}

func startServer(t *testing.T, do deed) *fakeServer {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeServer{l: l, came: make(chan *seen, 4096)}
	s.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			s.wg.Go(func() { s.serve(c, do) })
		}
	})
	t.Cleanup(s.stop)
	return s
}

func (s *fakeServer) serve(c net.Conn, do deed) {
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
		s.came <- &seen{r, string(body), c}
		if !do(c, r, body) {
			return
		}
	}
}

func (s *fakeServer) stop() {
	_ = s.l.Close()
	s.mu.Lock()
	for _, c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *fakeServer) address() string { return s.l.Addr().String() }

// deafAddress is one where nobody listens, and that no other socket gets meanwhile.
func deafAddress(t *testing.T) string {
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
	text := fmt.Sprintf("HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal\r\n", status, r.Header.Get(attemptID))
	for _, m := range more {
		text += m + "\r\n"
	}
	return text
}

// say answers with a status, headers and a body.
func say(status int, body string, more ...string) deed {
	return func(c net.Conn, r *http.Request, _ []byte) bool {
		fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head(r, status, more...), len(body), body)
		return true
	}
}

// raw answers with a text in which ID stands for the request's id.
func raw(text string, stays bool) deed {
	return func(c net.Conn, r *http.Request, _ []byte) bool {
		io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get(attemptID)))
		return stays
	}
}

// reset breaks the connection off without a word.
func reset(c net.Conn, _ *http.Request, _ []byte) bool {
	_ = c.(*net.TCPConn).SetLinger(0)
	return false
}

// mute never answers; it waits for the end of the connection.
func mute(c net.Conn, _ *http.Request, _ []byte) bool {
	_, _ = c.Read(make([]byte, 1))
	return false
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// event is one event of a stream, as a chunk.
func event(id int) string { return chunk(fmt.Sprintf("id: %d\ndata: d%d\n\n", id, id)) }

// events answers with a stream of events; whole: it ends as complete.
func eventsOf(from, to int, whole bool) deed {
	return func(c net.Conn, r *http.Request, _ []byte) bool {
		io.WriteString(c, head(r, 200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")+"\r\n")
		for id := from; id <= to; id++ {
			io.WriteString(c, event(id))
		}
		if whole {
			io.WriteString(c, "0\r\n\r\n")
		}
		return whole
	}
}

// fixture is a proxy with a toy picker.
type fixture struct {
	*Proxy
	pick    *toyPicker
	address string
	route   *config.Route
	ended   chan error
	cancel  context.CancelFunc
}

type change func(*Options, *config.Config)

func category(k config.Category) change {
	return func(_ *Options, c *config.Config) { c.Routes[0].Category = k }
}

func resumable(_ *Options, c *config.Config) {
	c.Routes[0].Category, c.Routes[0].Resumable = config.Streaming, true
}

// startProxy serves a route /a/ of the host h.example at servers.
func startProxy(t *testing.T, servers []*fakeServer, changes ...change) *fixture {
	t.Helper()
	route := &config.Route{Name: "r", Host: "h.example", Prefix: "/a/", Category: config.NonIdempotent, Timeout: 8 * time.Second,
		LatencyTarget: time.Second, EventGapTarget: 500 * time.Millisecond, Priority: 3, MaxAttempts: 3,
		Shares: []config.Share{{Service: "s", Weight: 1}}}
	config := &config.Config{Revision: 1, Routes: []*config.Route{route},
		Services: map[string]*config.Service{"s": {Name: "s", MaxConns: 100}},
		Limits:   config.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}}
	o := Options{Log: &log.Logger{Handler: discard.New()}, GracePeriod: 2 * time.Second}
	for _, c := range changes {
		c(&o, config)
	}
	toy := &toyPicker{route: route, down: map[string]bool{}, sent: map[uint64]string{}}
	f := &fixture{Proxy: newProxy(o, toy), pick: toy, route: route, ended: make(chan error, 1)}
	f.upstream.near = patience // the machine may be busy
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
	go func() { f.ended <- f.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		within(t, f.ended, "end of Serve")
		f.ended <- nil
		if held := f.room.held.Load(); held != 0 {
			t.Errorf("%d bytes are booked still", held)
		}
	})
	return f
}

// ends are how the sends have ended so far.
func (f *fixture) ends() (ends []pick.Outcome) {
	f.policy.with(func(picker, pick.Time) { ends = slices.Clone(f.pick.ends) })
	return ends
}

// client is a connection to the proxy.
type client struct {
	net.Conn
	t  *testing.T
	in *bufio.Reader
}

func (f *fixture) dial(t *testing.T) *client {
	t.Helper()
	c, err := net.Dial("tcp4", f.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(patience))
	return &client{c, t, bufio.NewReader(c)}
}

// post sends a request with an id, headers and a body.
func (c *client) post(id, body string, more ...string) *client {
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

// reply is an answer as a client sees it.
type reply struct {
	*http.Response
	body string
	err  error // of the body
}

func (c *client) read() reply {
	c.t.Helper()
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	return reply{resp, string(body), err}
}

func (f *fixture) ask(t *testing.T, id, body string, more ...string) reply {
	t.Helper()
	c := f.dial(t)
	defer c.Close()
	return c.post(id, body, more...).read()
}

func within[T any](t *testing.T, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(patience):
		t.Fatalf("no %s", what)
	}
	return v
}
