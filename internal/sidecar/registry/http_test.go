package registry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"gradeusher.example/gradeusher/internal/sidecar/list"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

const waitTimeout = 20 * time.Second // bounds what a test waits for; it is no measure

// start runs one keeper by itself and returns where it answers.
func start(t *testing.T, change func(*Config)) string {
	t.Helper()
	c := Defaults()
	c.Name, c.Folder, c.HTTP, c.Raft = "k1", t.TempDir(), "127.0.0.1:0", "127.0.0.1:0"
	c.Peers = []Peer{{"k1", "127.0.0.1:0", "127.0.0.1:1"}}
	c.AdvertiseHTTP = "127.0.0.1:1"
	c.Timing.HeartbeatMS = 60
	if change != nil {
		change(&c)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ready, ended := make(chan string, 1), make(chan error, 1)
	go func() { ended <- Run(ctx, c, slog.New(slog.DiscardHandler), func(at string) { ready <- at }) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		http.DefaultClient.CloseIdleConnections()
		goleak.VerifyNone(t)
	})
	var at string
	select {
	case at = <-ready:
	case err := <-ended:
		ended <- nil
		t.Fatal(err)
	}
	for end := time.Now().Add(waitTimeout); ; time.Sleep(5 * time.Millisecond) {
		if code, _, _ := call(t, "POST", at, "/v1/servers", body("s-1", "10.0.0.1:80", "")); code == 200 {
			return at
		}
		if time.Now().After(end) {
			t.Fatal("it never leads")
		}
	}
}

func body(uid, endpoint, more string) string {
	return fmt.Sprintf(`{"servers":[{"uid":%q,"endpoint":%q%s}]}`, uid, endpoint, more)
}

func call(t *testing.T, method, at, path, text string) (int, problem, http.Header) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+at+path, strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var p problem
	_ = json.NewDecoder(resp.Body).Decode(&p) // a list is none
	return resp.StatusCode, p, resp.Header
}

// TestBadInput sends calls that make no sense: each is answered with a reason, and the list stays what it was.
func TestBadInput(t *testing.T) {
	at := start(t, func(c *Config) { c.Limits.MaxBodyKB = 2 })
	_, _, before := call(t, "GET", at, "/v1/servers", "")
	for _, c := range []struct {
		method, path, text string
		code               int
		reason             string
	}{
		{"POST", "/v1/servers", `{"servers":[{"uid":"a","endpoint":"10.0.0.1:80"},{"uid":"a","endpoint":"10.0.0.1:80"}]}`, 400, "stands twice"},
		{"POST", "/v1/servers", body("a", "10.0.0.1:80", `,"state":"ASLEEP"`), 400, "unknown state"},
		{"POST", "/v1/servers", body("a", "10.0.0.1:80", `,"capacity_hint":-1`), 400, "capacity_hint -1"},
		{"POST", "/v1/servers", body("a", "10.0.0.1:80", `,"colour":1`), 400, "unknown field"},
		{"POST", "/v1/servers", body("a", "10.0.0.1:80", "") + "x", 400, "more behind"},
		{"POST", "/v1/servers", body("a", "10.0.0.1", ""), 400, "no address"},
		{"POST", "/v1/servers", `{"servers":`, 400, "body"},
		{"POST", "/v1/servers", body("a", "10.0.0.1:80", `,"az":"`+strings.Repeat("z", 4<<10)+`"`), 413, "2048 bytes at most"},
		{"POST", "/v1/servers", `{"expect":99,"servers":[{"uid":"a","endpoint":"10.0.0.1:80"}]}`, 400, "lies ahead"},
		{"POST", "/v1/servers", `{"expect":1,"servers":[{"uid":"a","endpoint":"10.0.0.1:80"}]}`, 409, "a is at revision 0, not 1"},
		{"POST", "/v1/servers/s-1/drain?expect=x", "", 400, "is no revision"},
		{"POST", "/v1/servers/s-1/drain", `{"expect":77}`, 400, "lies ahead"},
		{"POST", "/v1/servers/s-9/drain", "", 404, "no server"},
		{"DELETE", "/v1/servers/s-9", "", 404, "no server"},
		{"GET", "/v1/servers/s-9", "", 404, "no server"},
		{"GET", "/v1/servers?from=-4", "", 400, "no revision"},
		{"GET", "/v1/servers?watch=yes", "", 400, "neither 0 nor 1"},
		{"POST", "/v1/renew", `{"renewals":[` + strings.Repeat(`{},`, 400) + `{}]}`, 200, ""},
		{"POST", "/v1/keepers", `{"name":"k2","raft":"here","http":"127.0.0.1:5"}`, 400, "no address"},
		{"POST", "/v1/keepers", `{"name":"k1","raft":"127.0.0.1:6","http":"127.0.0.1:5"}`, 409, "k1 is a member"},
		{"DELETE", "/v1/keepers/k1", "", 409, "the last member"},
		{"DELETE", "/v1/keepers/k9", "", 409, "no member"},
		{"POST", "/v1/restore", "gradeusher-state 1 1 0 0\n", 400, "unsound"},
	} {
		code, p, _ := call(t, c.method, at, c.path, c.text)
		if code != c.code || !strings.Contains(p.Reason, c.reason) {
			t.Errorf("%s %s %.60s: %d %q, want %d %q", c.method, c.path, c.text, code, p.Reason, c.code, c.reason)
		}
	}
	if _, _, after := call(t, "GET", at, "/v1/servers", ""); after.Get(HeaderRevision) != before.Get(HeaderRevision) {
		t.Errorf("the list went from revision %s to %s", before.Get(HeaderRevision), after.Get(HeaderRevision))
	}
}

// watch opens a watch and hands on what it says, line by line, until the test ends.
func watch(t *testing.T, at, query string) (int, http.Header, func() list.List) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+at+"/v1/servers?watch=1"+query, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	lines := bufio.NewReader(resp.Body)
	return resp.StatusCode, resp.Header, func() list.List {
		t.Helper()
		for {
			text, err := lines.ReadBytes('\n')
			if err != nil {
				t.Fatalf("the watch ended: %v", err)
			}
			if len(text) > 1 {
				l, err := list.Parse(text)
				if err != nil {
					t.Fatal(err)
				}
				return l
			}
		}
	}
}

// TestWatch resumes from each revision: without gap or repeat from the history, with the whole list from before it, and
// never with what lies behind what the caller holds.
func TestWatch(t *testing.T) {
	at := start(t, nil)
	for i := 2; i <= 6; i++ {
		call(t, "POST", at, "/v1/servers", body(fmt.Sprintf("s-%d", i), "10.0.0.1:80", ""))
	}
	_, h, next := watch(t, at, "&from=3&ages=1")
	for want := int64(4); want <= 6; want++ {
		if l := next(); l.All || l.Rev != want || len(l.Targets) != 1 || l.Targets[0].UID != fmt.Sprintf("s-%d", want) {
			t.Errorf("%+v, want revision %d", l, want)
		}
	}
	call(t, "POST", at, "/v1/servers/s-2/drain", "")
	if l := next(); l.Rev != 7 || l.Targets[0].State != list.Draining {
		t.Errorf("%+v, want the drain of s-2", l)
	}
	if l := next(); l.Rev != 7 || l.AgeMS == nil || len(l.Targets) != 0 {
		t.Errorf("%+v, want a beat with an age", l)
	}
	cluster := h.Get(HeaderCluster)
	if _, _, next := watch(t, at, ""); !next().All {
		t.Error("who holds nothing does not get the whole list")
	}
	// An unchanged sidecar that comes from another list service holds a revision that was never here.
	if _, _, next := watch(t, at, "&from=5000"); !next().All {
		t.Error("an unknown revision does not get the whole list")
	}
	if _, _, next := watch(t, at, "&from=2&cluster=other"); !next().All {
		t.Error("who holds another cluster's revision does not get the whole list")
	}
	if code, p, _ := call(t, "GET", at, "/v1/servers?watch=1&from=5000&cluster="+cluster, ""); code != 409 || !strings.Contains(p.Reason, "lies ahead") {
		t.Errorf("a revision of this cluster that lies ahead: %d %s", code, p.Reason)
	}
}

// TestAdmission asks for more than a keeper takes: the rest is refused at once, with a time to come again.
func TestAdmission(t *testing.T) {
	at := start(t, func(c *Config) { c.Limits.MaxWatchers, c.Limits.MaxCalls, c.Limits.ReadMS = 2, 1, 300 })
	for range 2 {
		if code, _, _ := watch(t, at, ""); code != 200 {
			t.Fatalf("a watch within the limit: %d", code)
		}
	}
	if code, h, _ := watch(t, at, ""); !refused(code, h) {
		t.Errorf("a watch over the limit: %d, %v", code, h)
	}
	// One who sends his call slowly holds the only place, but not for long.
	slow := holdPlace(t, at)
	if code := slow.status(); code != 400 {
		t.Errorf("the slow one: %d", code)
	}
	if code, _, _ := call(t, "GET", at, "/v1/servers", ""); code != 200 {
		t.Errorf("afterwards: %d", code)
	}
	if code, _, _ := call(t, "GET", at, "/v1/status", ""); code != 200 {
		t.Errorf("status: %d", code)
	}
}

// refused tells whether a call was refused with a time to come again, in seconds.
func refused(code int, h http.Header) bool {
	after, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	return code == 503 && err == nil && after > 0 && after <= 2
}

// slowCall is a call whose body does not come.
type slowCall struct {
	t    *testing.T
	conn net.Conn
}

// beginSlowCall sends the head of a call and the first byte of its body.
func beginSlowCall(t *testing.T, at, method, path string) slowCall {
	t.Helper()
	conn, err := net.Dial("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, method+" "+path+" HTTP/1.1\r\nHost: k\r\nContent-Length: 100\r\n\r\n{"); err != nil {
		t.Fatal(err)
	}
	return slowCall{t, conn}
}

// status is the code that the call is answered with; it waits for patience at most.
func (c slowCall) status() int {
	c.t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		c.t.Fatalf("a call whose body does not come gets no answer: %v", err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// holdPlace begins a slow call that holds the keeper's only place, seen by another call being refused. A slow call that
// came while the other one held the place is refused itself, and is begun again.
func holdPlace(t *testing.T, at string) slowCall {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); {
		slow := beginSlowCall(t, at, "POST", "/v1/servers")
		for begun := time.Now(); time.Since(begun) < 200*time.Millisecond; {
			if code, _, h := call(t, "GET", at, "/v1/servers", ""); refused(code, h) {
				return slow
			}
		}
		if code := slow.status(); code != 503 && code != 400 {
			t.Fatalf("the slow call: %d", code)
		}
	}
	t.Fatal("no call was refused while another held the only place")
	return slowCall{}
}

// TestSlowBodyOfARefusedCall has calls refused whose bodies do not come: each is answered all the same, and the refusal of a
// crowded keeper does not wait for the body.
func TestSlowBodyOfARefusedCall(t *testing.T) {
	at := start(t, func(c *Config) { c.Limits.MaxCalls, c.Limits.ReadMS = 1, 2000 })
	holder := holdPlace(t, at)
	if code := beginSlowCall(t, at, "POST", "/v1/servers").status(); code != 503 {
		t.Errorf("beside the call that holds the only place: %d", code)
	}
	if code := holder.status(); code != 400 {
		t.Errorf("the call that held it: %d", code)
	}
	for _, c := range []struct {
		method, path string
		code         int
	}{{"POST", "/nowhere", 404}, {"GET", "/v1/status", 200}, {"PUT", "/v1/servers", 405}} {
		if code := beginSlowCall(t, at, c.method, c.path).status(); code != c.code {
			t.Errorf("%s %s: %d, want %d", c.method, c.path, code, c.code)
		}
	}
}

// TestSlowWatcher has a watcher that does not read be cut off, while another goes on.
func TestSlowWatcher(t *testing.T) {
	at := start(t, func(c *Config) { c.Limits.SlowWatcherMS = 200 })
	slow, err := net.Dial("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	if err := slow.(*net.TCPConn).SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(slow, "GET /v1/servers?watch=1 HTTP/1.1\r\nHost: k\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	_, _, next := watch(t, at, "")
	rev := next().Rev
	cut := func() bool {
		resp, err := http.Get("http://" + at + "/metrics")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		return strings.Contains(string(text), "keeper_watchers_cut_total 1")
	}
	for end, i := time.Now().Add(waitTimeout), 0; !cut(); i++ {
		if time.Now().After(end) {
			t.Fatalf("who does not read is not cut off after %d rounds", i)
		}
		var all []string
		for j := range state.MaxBatch {
			all = append(all, fmt.Sprintf(`{"uid":"x-%d","endpoint":"10.0.0.1:80","pod_group":%d,"az":%q}`, j, i, strings.Repeat("z", 100)))
		}
		if code, p, _ := call(t, "POST", at, "/v1/servers", `{"servers":[`+strings.Join(all, ",")+`]}`); code != 200 {
			t.Fatal(p)
		}
		for range state.MaxBatch {
			l := next()
			if l.Rev != rev+1 {
				t.Fatalf("revision %d after %d", l.Rev, rev)
			}
			rev = l.Rev
		}
	}
}
