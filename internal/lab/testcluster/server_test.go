package testcluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/lab/link"
	"gradeusher.example/gradeusher/internal/lab/testcluster/engine"
	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// lone returns an environment with one server and no clients.
func lone(t *testing.T, spec ServerSpec) (*Environment, *Server) {
	t.Helper()
	// The kernel uses ports of 127.0.0.1 for other connections; those of other loopback addresses stay free for the next start.
	spec.Address, spec.HealthPath, spec.Zone, spec.Region = "127.0.4.1:0", "/health", "north-a", "north"
	if spec.MaxConns == 0 {
		spec.MaxConns = 100
	}
	w, err := New(Options{Servers: []ServerSpec{spec}, ListRate: 10, Bounds: SmallScenario(1).Bounds})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	return w, w.Servers[0]
}

func quickEngine() *engine.Spec {
	return &engine.Spec{Slots: 1, Queue: 1, MemoryTokens: 1000, Stride: 2, Step: 200 * time.Microsecond, PrefillRate: 5000, Chunk: 5000}
}

// answerHead is the head of an answer.
type answerHead struct {
	StatusCode int
	Header     http.Header
	Close      bool // the connection ends with it
}

// call sends a request, and returns the head and the complete body of the answer.
func call(t *testing.T, s *Server, path string, headers ...string) (*answerHead, string, error) {
	t.Helper()
	method := http.MethodPost
	if path == "/health" || path == "/report" {
		method = http.MethodGet
	}
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+s.address+path, strings.NewReader(""))
	if err != nil {
		t.Fatal(err)
	}
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		r.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return &answerHead{resp.StatusCode, resp.Header, resp.Close}, string(body), err
}

// TestServerConformance checks PROTOCOL.md "Servers".
func TestServerConformance(t *testing.T) {
	_, server := lone(t, ServerSpec{Service: "llm", Engine: quickEngine(), ReportsLoad: true, IdleTimeout: 5 * time.Second})
	prompt := []string{"X-Token-Count: 100,20", "X-Prompt-Prefix: a:60,b:40", "X-Time-Left-Ms: 5000"}
	resp, body, err := call(t, server, "/x/1", append(prompt, "X-Attempt-Id: one")...)
	if err != nil {
		t.Fatal(err)
	}
	made := engine.EventsOf(AnswerTokens("a:60,b:40", 20), 2)
	for i := 1; i <= made; i++ {
		if !strings.Contains(body, fmt.Sprintf("id: %d\ndata: %s %d ", i, resp.Header.Get("X-Server-Seal"), i)) {
			t.Errorf("event %d of %d is missing: %q", i, made, body)
		}
	}
	if !strings.HasPrefix(body, "versions: 1\n") || strings.Contains(body, fmt.Sprintf("id: %d\n", made+1)) {
		t.Errorf("stream: %q", body)
	}
	for name, want := range map[string]string{"X-Attempt-Id": "one", "Content-Type": "text/event-stream", "X-Server-Load": "1,0,1",
		"Keep-Alive": "timeout=5", "Versions": "1"} {
		if got := resp.Header.Get(name); got != want {
			t.Errorf("%s: %q, want %q", name, got, want)
		}
	}
	_, rest, err := call(t, server, "/x/1", append(prompt, "X-Attempt-Id: two", "Last-Event-Id: 3")...)
	if err != nil || !strings.HasPrefix(rest, "id: 4\n") || strings.Count(rest, "id: ") != made-3 {
		t.Errorf("after event 3 of %d: %q, %v", made, rest, err)
	}
	checkStatuses(t, server)
	_, body, err = call(t, server, "/report")
	var report map[string]any
	if err != nil || json.Unmarshal([]byte(body), &report) != nil || report["stage"] != "both" || report["cache_capacity"] != 1000.0 {
		t.Errorf("report %q, %v", body, err)
	}
	server.Drain()
	if resp, _, err := call(t, server, "/health"); err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Errorf("health while draining: %+v, %v", resp, err)
	}
}

// checkStatuses checks the answers that need no prompt, and those of requests that are rejected.
func checkStatuses(t *testing.T, server *Server) {
	t.Helper()
	id := server.ID()
	for _, test := range []struct {
		name, path string
		headers    []string
		status     int
		has        string
	}{
		{"for another incarnation", "/x/1", []string{"X-Attempt-Id: three", "X-Target-Instance: i-other"}, 421, "X-Instance-Id: " + id},
		{"for this one", "/x/1", []string{"X-Attempt-Id: four", "X-Target-Instance: " + id}, 200, "X-Attempt-Id: four"},
		{"without an id", "/x/1", nil, 400, "X-Not-Executed: 1"},
		{"larger than the memory", "/x/1", []string{"X-Attempt-Id: five", "X-Token-Count: 1000,10"}, 503, "X-Not-Executed: 1"},
		{"too late", "/x/1", []string{"X-Attempt-Id: six", "X-Token-Count: 900,10", "X-Time-Left-Ms: 0"}, 503, "X-Not-Executed: 1"},
		{"health", "/health", nil, 200, "X-Instance-Id: " + id},
		{"report", "/report", nil, 200, "Content-Type: application/json"},
	} {
		t.Run(test.name, func(t *testing.T) {
			resp, _, err := call(t, server, test.path, test.headers...)
			if err != nil {
				t.Fatal(err)
			}
			var head bytes.Buffer
			if err := resp.Header.Write(&head); err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != test.status || !strings.Contains(head.String(), test.has+"\r\n") {
				t.Errorf("%d\n%s, want %d and %s", resp.StatusCode, head.String(), test.status, test.has)
			}
		})
	}
}

// TestServerFull checks that a server without capacity rejects a request as not executed, and does not execute it.
func TestServerFull(t *testing.T) {
	spec := quickEngine()
	spec.Step, spec.Queue = time.Hour, 0
	w, server := lone(t, ServerSpec{Service: "llm", Engine: spec})
	taken := make(chan error, 1)
	go func() {
		_, _, err := call(t, server, "/x/1", "X-Attempt-Id: one", "X-Token-Count: 10,10")
		taken <- err
	}()
	for running := 0; running == 0; runtime.Gosched() {
		server.mu.Lock()
		running, _ = server.workload.Load()
		server.mu.Unlock()
	}
	resp, _, err := call(t, server, "/x/2", "X-Attempt-Id: two", "X-Token-Count: 10,10")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("X-Not-Executed") == "" || resp.Header.Get("Retry-After") == "" {
		t.Errorf("%+v, %v", resp, err)
	}
	server.Crash()
	if err := <-taken; err == nil {
		t.Error("a crash let an answer look whole")
	}
	w.Evidence.Update(func() {
		for _, a := range w.Evidence.Arrivals {
			if a.ExecutedAt != rules.Never || a.ID == "one" && !a.Aborted {
				t.Errorf("%+v", a)
			}
		}
	})
}

// TestServerLosesAnswers checks that a server that loses answers executes a request and resets the connection, and answers again afterwards.
func TestServerLosesAnswers(t *testing.T) {
	for name, spec := range map[string]ServerSpec{"a model": {Service: "llm", Engine: quickEngine()},
		"none": {Service: "thumbs", Plain: &PlainSpec{Slots: 2, Work: time.Microsecond, AnswerBytes: 100}}} {
		t.Run(name, func(t *testing.T) {
			w, s := lone(t, spec)
			s.LoseAnswers(1)
			if _, _, err := call(t, s, "/x/1", "X-Attempt-Id: one", "X-Token-Count: 10,10"); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("the answer came, or ended otherwise: %v", err)
			}
			s.LoseAnswers(0)
			if resp, _, err := call(t, s, "/x/1", "X-Attempt-Id: two", "X-Token-Count: 10,10"); err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("%+v, %v", resp, err)
			}
			w.Evidence.Update(func() {
				for _, a := range w.Evidence.Arrivals {
					if a.ExecutedAt == rules.Never || a.Aborted != (a.ID == "one") {
						t.Errorf("%+v", a)
					}
				}
			})
		})
	}
}

// TestServerStartsOnce checks that a server that is up is not started.
func TestServerStartsOnce(t *testing.T) {
	_, s := lone(t, ServerSpec{Service: "llm", Engine: quickEngine()})
	id := s.ID()
	if err := s.Start(true); !errors.Is(err, ErrRunning) || s.ID() != id {
		t.Errorf("%v, %s after %s", err, s.ID(), id)
	}
}

// TestServerBehindLink checks that a request that the link delays is recorded with the time when it was sent, and that none comes while the
// server is down.
func TestServerBehindLink(t *testing.T) {
	links := NewLinks(0, 0)
	spec := ServerSpec{Service: "llm", Engine: quickEngine(), Address: "127.0.4.3:0", HealthPath: "/health", MaxConns: 10}
	w, err := New(Options{Servers: []ServerSpec{spec}, ListRate: 10, Bounds: SmallScenario(1).Bounds, Links: links})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	server := w.Servers[0]
	const slow = 50 * time.Millisecond
	heal := links.Inject(func(p Path) bool { return p.To == spec.Address }, link.State{Delay: slow})
	if _, _, err := call(t, server, "/x/1", "X-Attempt-Id: one", "X-Token-Count: 10,10"); err != nil {
		t.Fatal(err)
	}
	heal()
	address, id := server.address, server.ID()
	server.Crash()
	if _, _, err := call(t, server, "/x/1", "X-Attempt-Id: two"); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a server that is down: %v", err)
	}
	if err := server.Start(true); err != nil || server.address != address || server.ID() == id {
		t.Errorf("%v, %s after %s, %s after %s", err, server.address, address, server.ID(), id)
	}
	w.Evidence.Update(func() {
		if all := w.Evidence.Arrivals; len(all) != 1 || all[0].At-all[0].Sent < slow {
			t.Errorf("%+v", all)
		}
	})
}

// TestServerIncarnations checks that a start is a new incarnation at the old address, and that the list shows each incarnation as it is.
func TestServerIncarnations(t *testing.T) {
	w, server := lone(t, ServerSpec{Service: "llm", Engine: quickEngine(), WarmUp: time.Hour, WarmUpPerSecond: 2, WarmUpCrashFactor: 3})
	first, address := server.ID(), server.address
	if i := w.instances(); len(i) != 1 || i[0].ID != first || i[0].Phase != "serving" || i[0].warmUntil > w.Now() {
		t.Errorf("at first: %+v", i)
	}
	server.Withdraw(time.Hour)
	if i := w.instances(); i[0].Phase != phaseDraining || i[0].RemainingMS == nil || *i[0].RemainingMS < 3_000_000 {
		t.Errorf("withdrawn: %+v", i)
	}
	server.Stop()
	if i := w.instances(); len(i) != 0 {
		t.Errorf("gone: %+v", i)
	}
	spec := server.ServerSpec
	spec.Service = "other"
	server.reconfigure(spec)
	if err := server.Start(true); err != nil {
		t.Fatal(err)
	}
	if i := w.instances(); len(i) != 1 || i[0].ID == first || i[0].Address != address || i[0].Target != "other" || i[0].warmUntil < 50*time.Minute || i[0].RemainingMS != nil {
		t.Errorf("started again: %+v", i)
	}
	if resp, _, err := call(t, server, "/health"); err != nil || resp.Header.Get("X-Cold-Ms") == "" {
		t.Errorf("health while cold: %+v, %v", resp, err)
	}
	fell := false
	for n := range 7 { // it bears 2 a second, and falls over above 6
		_, _, err := call(t, server, "/x/1", fmt.Sprint("X-Attempt-Id: ", n), "X-Token-Count: 10,2")
		fell = fell || err != nil
	}
	if !fell {
		t.Error("it did not fall over")
	}
	if i := w.instances(); len(i) != 1 {
		t.Errorf("one that has just crashed is no longer listed: %+v", i)
	}
	w.Evidence.Update(func() {
		for _, a := range w.Evidence.Arrivals {
			if !a.WarmingUp || a.WarmUpLimit != 2 {
				t.Errorf("%+v", a)
			}
		}
	})
}

// TestServerConnections checks that connections above max_conns are reset.
func TestServerConnections(t *testing.T) {
	_, s := lone(t, ServerSpec{Service: "thumbs", Plain: &PlainSpec{Slots: 2, Work: time.Microsecond, AnswerBytes: 100}, MaxConns: 2})
	for index := range 3 {
		conn, err := new(net.Dialer).DialContext(t.Context(), "tcp4", s.address)
		if err != nil {
			if index < 2 {
				t.Fatal(err)
			}
			break // it was reset at once
		}
		defer func() { _ = conn.Close() }()
		if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
		text := make([]byte, 12)
		_, err = io.WriteString(conn, "GET /health HTTP/1.1\r\nHost: s\r\n\r\n")
		if err == nil {
			_, err = io.ReadFull(conn, text)
		}
		if good := err == nil && string(text) == "HTTP/1.1 200"; good != (index < 2) {
			t.Errorf("connection %d: %q, %v", index+1, text, err)
		}
	}
}

// reconfigure replaces the spec. The next incarnation is of the new kind; the address stays.
func (s *Server) reconfigure(spec ServerSpec) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ServerSpec = spec
}

// TestServerEndIsRecorded checks that an answer which ends with its server is recorded as broken off by the server. The end of a server ends the
// connections of its callers too, so that an exchange may see both.
func TestServerEndIsRecorded(t *testing.T) {
	const exchanges = 64 // by chance alone, none of so many would miss what a choice at random misses in half of them
	env, server := lone(t, ServerSpec{Service: "llm", Engine: quickEngine()})
	ended, end := context.WithCancel(t.Context())
	end()
	for range exchanges {
		arrival := &rules.Arrival{ExecutedAt: rules.Never, Ended: rules.Never}
		request, err := http.NewRequestWithContext(ended, http.MethodPost, "/x/1", nil)
		if err != nil {
			t.Fatal(err)
		}
		exchange := &serverExchange{incarnation: &incarnation{server: server, ctx: ended}, request: request, arrival: arrival}
		if !aborts(func() { exchange.nextOutput(true) }) || !arrival.Aborted {
			t.Fatal("the end of the server is not recorded")
		}
	}
	id := server.ID()
	server.Crash()
	if ends := env.Evidence.Ends; len(ends) != 1 || ends[0].Server != id || ends[0].At == 0 {
		t.Errorf("ends of servers: %v, want one of %s", ends, id)
	}
}

// aborts reports whether f ends its connection by http.ErrAbortHandler.
func aborts(f func()) (aborted bool) {
	defer func() { aborted = recover() == http.ErrAbortHandler }() //nolint:errorlint // a panic's value is compared
	f()
	return false
}

// TestServerKeepsItsAddress checks that a server whose relay cannot be started keeps the address at which callers know it, and that a server which
// stays down after a crash of overload is reported.
func TestServerKeepsItsAddress(t *testing.T) {
	spec := ServerSpec{Service: "llm", Engine: quickEngine(), Address: "127.0.4.2:0", HealthPath: "/health", Zone: "north-a", Region: "north", MaxConns: 10}
	env, err := New(Options{Servers: []ServerSpec{spec}, ListRate: 10, Bounds: SmallScenario(1).Bounds, Links: NewLinks(0, 0)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(env.Close)
	server := env.Servers[0]
	known := server.address
	server.Crash()
	occupied, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", known)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = occupied.Close() }()
	if err := server.Start(true); err == nil || server.address != known {
		t.Errorf("%v: the server is at %s, was at %s", err, server.address, known)
	}
	env.startAfterOverload(server)
	if failures := env.Failures(); len(failures) != 1 || !strings.Contains(failures[0], known) {
		t.Errorf("failures %q, want one of the server at %s", failures, known)
	}
}
