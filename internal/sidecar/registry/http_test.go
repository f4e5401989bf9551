package registry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/list"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// TestBadInput makes malformed calls: each is answered with a reason, and the list stays as it was.
func TestBadInput(t *testing.T) {
	node := startNode(t, func(c *Config) { c.Limits.MaxBodyKB = 2 })
	_, _, before := node.call(http.MethodGet, "/v1/servers", "")
	const post, get, del = http.MethodPost, http.MethodGet, http.MethodDelete
	for _, test := range []struct {
		method, path, body string
		code               int
		reason             string
	}{
		{post, "/v1/servers", `{"servers":[{"uid":"a","endpoint":"10.0.0.1:80"},{"uid":"a","endpoint":"10.0.0.1:80"}]}`, 400, "stands twice"},
		{post, "/v1/servers", registration("a", "10.0.0.1:80", `,"state":"ASLEEP"`), 400, "unknown state"},
		{post, "/v1/servers", registration("a", "10.0.0.1:80", `,"capacity_hint":-1`), 400, "capacity_hint -1"},
		{post, "/v1/servers", registration("a", "10.0.0.1:80", `,"colour":1`), 400, "unknown field"},
		{post, "/v1/servers", registration("a", "10.0.0.1:80", "") + "x", 400, "more behind"},
		{post, "/v1/servers", registration("a", "10.0.0.1", ""), 400, "no address"},
		{post, "/v1/servers", `{"servers":`, 400, "body"},
		{post, "/v1/servers", registration("a", "10.0.0.1:80", `,"az":"`+strings.Repeat("z", 4<<10)+`"`), 413, "2048 bytes at most"},
		{post, "/v1/servers", `{"expect":99,"servers":[{"uid":"a","endpoint":"10.0.0.1:80"}]}`, 400, "lies ahead"},
		{post, "/v1/servers", `{"expect":1,"servers":[{"uid":"a","endpoint":"10.0.0.1:80"}]}`, 409, "a is at revision 0, not 1"},
		{post, "/v1/servers/s-1/drain?expect=x", "", 400, "is no revision"},
		{post, "/v1/servers/s-1/drain", `{"expect":77}`, 400, "lies ahead"},
		{post, "/v1/servers/s-9/drain", "", 404, "no server"},
		{del, "/v1/servers/s-9", "", 404, "no server"},
		{get, "/v1/servers/s-9", "", 404, "no server"},
		{get, "/v1/servers?from=-4", "", 400, "no revision"},
		{get, "/v1/servers?watch=yes", "", 400, "neither 0 nor 1"},
		{post, "/v1/renew", `{"renewals":[` + strings.Repeat(`{},`, 400) + `{}]}`, 200, ""},
		{post, "/v1/keepers", `{"name":"k2","raft":"here","http":"127.0.0.1:5"}`, 400, "no address"},
		{post, "/v1/keepers", `{"name":"k1","raft":"127.0.0.1:6","http":"127.0.0.1:5"}`, 409, "k1 is a member"},
		{del, "/v1/keepers/k1", "", 409, "the last member"},
		{del, "/v1/keepers/k9", "", 409, "no member"},
		{post, "/v1/restore", "gradeusher-state 1 1 0 0\n", 400, "unsound"},
	} {
		t.Run(fmt.Sprintf("%s %s %s", test.method, test.path, test.reason), func(t *testing.T) {
			code, answer, _ := node.in(t).call(test.method, test.path, test.body)
			if code != test.code || !strings.Contains(answer.Reason, test.reason) {
				t.Errorf("%.60s: %d %q, want %d %q", test.body, code, answer.Reason, test.code, test.reason)
			}
		})
	}
	if _, _, after := node.call(http.MethodGet, "/v1/servers", ""); after.Get(HeaderRevision) != before.Get(HeaderRevision) {
		t.Errorf("the list went from revision %s to %s", before.Get(HeaderRevision), after.Get(HeaderRevision))
	}
}

// listUpdate returns the next line of a watch of the list that is not empty.
func (tw *testWatch) listUpdate() list.List {
	tw.t.Helper()
	update, err := list.Parse(tw.update())
	if err != nil {
		tw.t.Fatal(err)
	}
	return update
}

// TestWatch resumes from each revision: without gap or duplicate from the history, with the complete list from before it, and never with what
// lies behind the client's revision.
func TestWatch(t *testing.T) {
	node := startNode(t, nil)
	for i := 2; i <= 6; i++ {
		node.call(http.MethodPost, "/v1/servers", registration(fmt.Sprintf("s-%d", i), "10.0.0.1:80", ""))
	}
	watch := node.watch("/v1/servers?watch=1&from=3&ages=1")
	for want := int64(4); want <= 6; want++ {
		update := watch.listUpdate()
		if update.All || update.Rev != want || len(update.Targets) != 1 || update.Targets[0].UID != fmt.Sprintf("s-%d", want) {
			t.Errorf("%+v, want revision %d", update, want)
		}
	}
	node.call(http.MethodPost, "/v1/servers/s-2/drain", "")
	if update := watch.listUpdate(); update.Rev != 7 || update.Targets[0].State != list.Draining {
		t.Errorf("%+v, want the drain of s-2", update)
	}
	if update := watch.listUpdate(); update.Rev != 7 || update.AgeMS == nil || len(update.Targets) != 0 {
		t.Errorf("%+v, want a heartbeat with an age", update)
	}
	for name, query := range map[string]string{
		"a client without a list": "",
		// A sidecar of before that comes from another list service has a revision that was never here.
		"an unknown revision":             "&from=5000",
		"a revision of another cluster's": "&from=2&cluster=other",
	} {
		if !node.watch("/v1/servers?watch=1" + query).listUpdate().All {
			t.Errorf("%s does not get the complete list", name)
		}
	}
	cluster := watch.header.Get(HeaderCluster)
	code, answer, _ := node.call(http.MethodGet, "/v1/servers?watch=1&from=5000&cluster="+cluster, "")
	if code != http.StatusConflict || !strings.Contains(answer.Reason, "lies ahead") {
		t.Errorf("a revision of this cluster that lies ahead: %d %s", code, answer.Reason)
	}
}

// TestAdmission makes more calls than a node takes at a time: the rest is refused at once, with a time to retry.
func TestAdmission(t *testing.T) {
	node := startNode(t, func(c *Config) { c.Limits.MaxWatchers, c.Limits.MaxCalls, c.Limits.ReadMS = 2, 1, 300 })
	for range 2 {
		if watch := node.watch("/v1/servers?watch=1"); watch.status != http.StatusOK {
			t.Fatalf("a watch within the limit: %d", watch.status)
		}
	}
	if watch := node.watch("/v1/servers?watch=1"); !refusedForNow(watch.status, watch.header) {
		t.Errorf("a watch over the limit: %d, %v", watch.status, watch.header)
	}
	// A client that sends its call slowly takes up the only call in progress, but not for long.
	slow := node.occupy()
	if code := slow.status(); code != http.StatusBadRequest {
		t.Errorf("the slow one: %d", code)
	}
	if code, _, _ := node.call(http.MethodGet, "/v1/servers", ""); code != http.StatusOK {
		t.Errorf("afterwards: %d", code)
	}
	if code, _, _ := node.call(http.MethodGet, "/v1/status", ""); code != http.StatusOK {
		t.Errorf("status: %d", code)
	}
}

// refusedForNow tells whether a call was refused with a time to retry, in seconds.
func refusedForNow(code int, header http.Header) bool {
	after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	return code == http.StatusServiceUnavailable && err == nil && after > 0 && after <= 2
}

// dial opens a connection that is closed when the test ends.
func (node testNode) dial() net.Conn {
	node.t.Helper()
	conn, err := new(net.Dialer).DialContext(context.Background(), "tcp", node.address)
	if err != nil {
		node.t.Fatal(err)
	}
	node.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// slowCall is a call whose body does not arrive.
type slowCall struct {
	t    *testing.T
	conn net.Conn
}

// beginSlowCall sends the head of a call and the first byte of its body.
func (node testNode) beginSlowCall(method, path string) slowCall {
	node.t.Helper()
	conn := node.dial()
	if err := conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		node.t.Fatal(err)
	}
	if _, err := io.WriteString(conn, method+" "+path+" HTTP/1.1\r\nHost: k\r\nContent-Length: 100\r\n\r\n{"); err != nil {
		node.t.Fatal(err)
	}
	return slowCall{node.t, conn}
}

// status returns the code that the call is answered with; it waits for waitTimeout at most.
func (c slowCall) status() int {
	c.t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		c.t.Fatalf("a call whose body does not arrive gets no answer: %v", err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// occupy begins a slow call that is the node's only call in progress, seen by another call being refused. A slow call that came while the other
// one was in progress is refused itself, and is begun again.
func (node testNode) occupy() slowCall {
	node.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); {
		slow := node.beginSlowCall(http.MethodPost, "/v1/servers")
		for begun := time.Now(); time.Since(begun) < 200*time.Millisecond; {
			if code, _, header := node.call(http.MethodGet, "/v1/servers", ""); refusedForNow(code, header) {
				return slow
			}
		}
		if code := slow.status(); code != http.StatusServiceUnavailable && code != http.StatusBadRequest {
			node.t.Fatalf("the slow call: %d", code)
		}
	}
	node.t.Fatal("no call was refused while another was the only one in progress")
	return slowCall{}
}

// TestSlowBodyOfARefusedCall has calls refused whose bodies do not arrive: each is answered all the same, and the refusal of an overloaded node
// does not wait for the body.
func TestSlowBodyOfARefusedCall(t *testing.T) {
	node := startNode(t, func(c *Config) { c.Limits.MaxCalls, c.Limits.ReadMS = 1, 2000 })
	occupying := node.occupy()
	if code := node.beginSlowCall(http.MethodPost, "/v1/servers").status(); code != http.StatusServiceUnavailable {
		t.Errorf("beside the only call in progress: %d", code)
	}
	if code := occupying.status(); code != http.StatusBadRequest {
		t.Errorf("the call that was in progress: %d", code)
	}
	for _, test := range []struct {
		method, path string
		code         int
	}{
		{http.MethodPost, "/nowhere", http.StatusNotFound},
		{http.MethodGet, "/v1/status", http.StatusOK},
		{http.MethodPut, "/v1/servers", http.StatusMethodNotAllowed},
	} {
		if code := node.beginSlowCall(test.method, test.path).status(); code != test.code {
			t.Errorf("%s %s: %d, want %d", test.method, test.path, code, test.code)
		}
	}
}

// TestSlowWatcher has the watch of a client that does not read be closed, while another goes on without a gap.
func TestSlowWatcher(t *testing.T) {
	node := startNode(t, func(c *Config) { c.Limits.SlowWatcherMS = 200 })
	slow := node.dial()
	if err := slow.(*net.TCPConn).SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(slow, "GET /v1/servers?watch=1 HTTP/1.1\r\nHost: k\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	watch := node.watch("/v1/servers?watch=1")
	revision := watch.listUpdate().Rev
	end := time.Now().Add(waitTimeout)
	for round := 0; !strings.Contains(node.metrics(), "keeper_watchers_cut_total 1"); round++ {
		if time.Now().After(end) {
			t.Fatalf("the watch of a client that does not read is not closed after %d rounds", round)
		}
		node.mustCall(http.MethodPost, "/v1/servers", largeBatch(round))
		for range state.MaxBatch {
			update := watch.listUpdate()
			if update.Rev != revision+1 {
				t.Fatalf("revision %d after %d", update.Rev, revision)
			}
			revision = update.Rev
		}
	}
}

// largeBatch is the body of a registration of as many servers as there may be, each changed in every round.
func largeBatch(round int) string {
	var servers []string
	for i := range state.MaxBatch {
		servers = append(servers, fmt.Sprintf(`{"uid":"x-%d","endpoint":"10.0.0.1:80","pod_group":%d,"az":%q}`, i, round, strings.Repeat("z", 100)))
	}
	return `{"servers":[` + strings.Join(servers, ",") + `]}`
}
