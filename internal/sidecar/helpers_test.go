package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// patience bounds how long a test waits for something that must happen. No check depends on a shorter time.
const testTimeout = 30 * time.Second

// within fails the test if nothing is received from c in time.
func within[T any](t *testing.T, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(testTimeout):
		t.Fatalf("no %s within %v", what, testTimeout)
	}
	return v
}

// backend is a server that answers with a function, and reports each request that arrived completely.
type backend struct {
	address  string
	received chan *http.Request
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// startBackend starts a server. do gets each request with its connection and body, and returns
// whether to keep the connection open.
func startBackend(t *testing.T, do func(net.Conn, *http.Request, []byte) bool) *backend {
	t.Helper()
	l := listen(t)
	b := &backend{address: l.Addr().String(), received: make(chan *http.Request, 1000)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go b.serve(conn, do)
		}
	}()
	return b
}

// serve answers the requests of a connection until answer returns false.
func (b *backend) serve(conn net.Conn, answer func(net.Conn, *http.Request, []byte) bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		select {
		case b.received <- r:
		default: // a test that sends this many does not check each one
		}
		if !answer(conn, r, body) {
			return
		}
	}
}

// dial connects to an address until the test ends.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// say returns a handler that answers with a status, a header line or "", and a body, and keeps the connection open.
func respondWith(status int, header, body string) func(net.Conn, *http.Request, []byte) bool {
	return func(c net.Conn, _ *http.Request, _ []byte) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body), header, body)
		return true
	}
}

// resetConnection resets the connection once a request has arrived.
func resetConnection(c net.Conn, _ *http.Request, _ []byte) bool {
	_ = c.(*net.TCPConn).SetLinger(0)
	return false
}

// neverAnswer never answers; the connection stays open until the test or the other side ends.
func neverAnswer(c net.Conn, _ *http.Request, _ []byte) bool {
	_, _ = io.Copy(io.Discard, c)
	return false
}

// registry is a fake discovery service: each watch gets the lines that the test sends to it.
type registry struct {
	address string
	watches chan watching
}

type watching struct {
	query string
	lines chan string // closed: the watch ends
}

func startRegistry(t *testing.T) *registry {
	t.Helper()
	r := &registry{watches: make(chan watching, 100)}
	listener := listen(t)
	r.address = listener.Addr().String()
	web := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		me := watching{q.URL.RawQuery, make(chan string, 100)}
		_ = http.NewResponseController(w).Flush()
		r.watches <- me
		for {
			select {
			case line, ok := <-me.lines:
				if !ok {
					return
				}
				_, _ = fmt.Fprintln(w, line)
				_ = http.NewResponseController(w).Flush()
			case <-q.Context().Done():
				return
			}
		}
	})}
	go func() { _ = web.Serve(listener) }()
	t.Cleanup(func() { _ = web.Close() })
	return r
}

// entry returns one server in discovery's format.
func entry(id, address, state string, boot int64) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":"a","model":"m","pod_group":0,"state":%q,"capacity_hint":1.0,"boot_ms":%d}`,
		id, address, state, boot)
}

func listText(rev int, all bool, entries ...string) string {
	return fmt.Sprintf(`{"rev":%d,"all":%t,"targets":[%s]}`, rev, all, strings.Join(entries, ","))
}

// serving returns a complete list of the backends, named s-0, s-1 and so on.
func serving(rev int, backends ...*backend) string {
	var entries []string
	for i, b := range backends {
		entries = append(entries, entry(fmt.Sprintf("s-%d", i), b.address, "SERVING", 0))
	}
	return listText(rev, true, entries...)
}

const testSettings = `{"ordinal":0,"peers_total":1,"my_zone":"a","areas":["a","b"],"models":["m"],
	"discovery":"pushed","tier":0,"tiers":["back"],"unheard_of":{"x":[1,2]},
	"limits":{"try_limit":3,"cancelling":true,"connect_timeout_s":5.0,"idle_close_s":15.0,"most_held":20000},
	"rules":{"cold_s":9.0,"start_capacity":0.3,"fall_multiple":4.0,"fall_s":1.5,"must_ask_in_s":10.0},
	"tenants":[{"name":"acme, east","allowance_per_s":1000}],
	"request_classes":[
	{"name":"read","effect":"idempotent","group":"all","aim_s":20.0,"deadline_s":60.0,"credit":5.0,"window_s":5.0},
	{"name":"book","effect":"deduplicated","group":"all","aim_s":20.0,"deadline_s":60.0,"credit":5.0,"window_s":60.0},
	{"name":"pay","effect":"at_most_once","group":"all","aim_s":20.0,"deadline_s":60.0,"credit":10.0,"window_s":5.0}]}`

// configText returns a sidecar's configuration file. known may be "".
func configText(discovery, known, settings string) string {
	if known == "" {
		known = "null"
	}
	return fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964","new":1,
		"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`, discovery, known, settings)
}

// load reads a configuration as the program does.
func load(t *testing.T, text string, env ...string) (*Config, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return LoadConfig(func(key string) string {
		if key == "PROXY_CONFIG" {
			return file
		}
		for _, e := range env {
			if k, v, _ := strings.Cut(e, "="); k == key {
				return v
			}
		}
		return ""
	})
}

// addressLog is a log handler that passes on the address on which the sidecar serves.
type addressLog struct {
	slog.Handler
	address chan string
}

// Enabled implements slog.Handler.
func (addressLog) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (l addressLog) Handle(ctx context.Context, r slog.Record) error {
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == "address" {
			l.address <- a.Value.String()
		}
		return true
	})
	return l.Handler.Handle(ctx, r)
}

// logText records the text of a log.
type logText struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (l *logText) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// String implements fmt.Stringer.
func (l *logText) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// program is a running sidecar.
type program struct {
	t       *testing.T
	address string
	stop    context.CancelFunc
	ended   chan error
	client  *http.Client

	reload    chan os.Signal
	discovery atomic.Value // string: its address after the program is told to reload
}

func start(t *testing.T, config string) *program {
	t.Helper()
	return startDraining(t, config, drainTimes{quietTime: time.Millisecond, finish: testTimeout})
}

func startDraining(t *testing.T, config string, times drainTimes) *program {
	t.Helper()
	c, err := load(t, config)
	if err != nil {
		t.Fatal(err)
	}
	return startLogging(t, c, io.Discard, times)
}

// startLogging starts a sidecar whose log also goes to text.
func startLogging(t *testing.T, c *Config, text io.Writer, times drainTimes) *program {
	t.Helper()
	c.agentFirstTimeout = testTimeout
	ctx, cancel := context.WithCancel(context.Background())
	prog := &program{t: t, stop: cancel, ended: make(chan error, 1), client: &http.Client{Transport: &http.Transport{}},
		reload: make(chan os.Signal)}
	log := addressLog{slog.NewTextHandler(text, nil), make(chan string, 1)}
	var over sync.WaitGroup
	over.Add(1)
	go func() {
		defer over.Done()
		prog.ended <- run(ctx, c, slog.New(log), prog.reload, prog.discoveryAt, times)
	}()
	t.Cleanup(func() {
		prog.client.CloseIdleConnections()
		cancel()
		over.Wait()
	})
	prog.address = within(t, log.address, "address")
	return prog
}

func (p *program) discoveryAt() (string, error) {
	if at := p.discovery.Load().(string); at != "" {
		return at, nil
	}
	return "", errors.New("no discovery")
}

// gotten is a final answer as the client receives it.
type clientAnswer struct {
	status  int
	body    string
	closing bool // the sidecar asks to close the connection
	err     error
}

// request returns a request of a class, which determines its method and key.
func (p *program) request(ctx context.Context, class, timeout string) *http.Request {
	method, key, body := http.MethodGet, "", ""
	switch class {
	case "book":
		method, key, body = http.MethodPost, "k-1", "skip of 6 m3"
	case "pay":
		method, body = http.MethodPost, "RWF 45000"
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+p.address+"/api?k=a%20b&x=%2F", strings.NewReader(body))
	if err != nil {
		p.t.Fatal(err)
	}
	r.Header.Set("X-Request-ID", "id-1")
	r.Header.Set("X-Priority-Class", class)
	r.Header.Set("X-Tenant-Id", "acme, east")
	r.Header.Set("X-Timeout-Ms", timeout)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	return r
}

func (p *program) do(r *http.Request) clientAnswer {
	resp, err := p.client.Do(r)
	if err != nil {
		return clientAnswer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return clientAnswer{resp.StatusCode, string(body), resp.Close, err}
}

func (p *program) ask(class string) clientAnswer {
	p.t.Helper()
	g := p.do(p.request(context.Background(), class, "50000"))
	if g.err != nil {
		p.t.Fatal(g.err)
	}
	return g
}

func (b *backend) count() int { return len(b.received) }

// healthStatus returns the status of a sidecar's health check.
func healthStatus(t *testing.T, client *http.Client, address string) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/healthz", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
