package registry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

const waitTimeout = 20 * time.Second // bounds what a test waits for; it is no measure

// testNode is a cluster of one node.
type testNode struct {
	t       *testing.T
	address string
}

// singleNodeConfig is the configuration of a node by itself. Its advertised address is that of nobody.
func singleNodeConfig(folder string) Config {
	config := Defaults()
	config.Name, config.Folder, config.HTTP, config.Raft = "k1", folder, "127.0.0.1:0", "127.0.0.1:0"
	config.Peers = []Peer{{"k1", "127.0.0.1:0", "127.0.0.1:1"}}
	config.AdvertiseHTTP = "127.0.0.1:1"
	config.Timing.HeartbeatMS = 60
	return config
}

// startNode runs a node until the test ends, and returns once it leads and has the server s-1. change, which may be nil, changes its
// configuration.
func startNode(t *testing.T, change func(*Config)) testNode {
	t.Helper()
	config := singleNodeConfig(t.TempDir())
	if change != nil {
		change(&config)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ready, ended := make(chan string, 1), make(chan error, 1)
	go func() {
		ended <- Run(ctx, config, slog.New(slog.DiscardHandler), func(address string) { ready <- address })
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		http.DefaultClient.CloseIdleConnections()
		goleak.VerifyNone(t)
	})
	node := testNode{t: t}
	select {
	case node.address = <-ready:
	case err := <-ended:
		ended <- nil
		t.Fatal(err)
	}
	for end := time.Now().Add(waitTimeout); ; time.Sleep(5 * time.Millisecond) {
		if code, _, _ := node.call(http.MethodPost, "/v1/servers", registration("s-1", "10.0.0.1:80", "")); code == http.StatusOK {
			return node
		}
		if time.Now().After(end) {
			t.Fatal("it never leads")
		}
	}
}

// registration is the body of a registration; more are further fields.
func registration(uid, endpoint, more string) string {
	return fmt.Sprintf(`{"servers":[{"uid":%q,"endpoint":%q%s}]}`, uid, endpoint, more)
}

// in returns the node for the use of a subtest.
func (node testNode) in(t *testing.T) testNode { return testNode{t, node.address} }

// do makes a call whose answer the caller closes. It ends with waitTimeout.
func (node testNode) do(method, path, body string) *http.Response {
	node.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	node.t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+node.address+path, strings.NewReader(body))
	if err != nil {
		node.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		node.t.Fatal(err)
	}
	return resp
}

// call makes a call and returns the status, the problem, which is empty where the answer is none, and the header.
func (node testNode) call(method, path, body string) (int, problem, http.Header) {
	node.t.Helper()
	resp := node.do(method, path, body)
	defer func() { _ = resp.Body.Close() }()
	var answer problem
	_ = json.NewDecoder(resp.Body).Decode(&answer) // a list is no problem
	return resp.StatusCode, answer, resp.Header
}

// mustCall makes a call that has to be done.
func (node testNode) mustCall(method, path, body string) {
	node.t.Helper()
	if code, answer, _ := node.call(method, path, body); code != http.StatusOK {
		node.t.Fatalf("%s %s: %d %s", method, path, code, answer.Reason)
	}
}

// read makes a call that has to be done, and returns its answer.
func (node testNode) read(method, path, body string) []byte {
	node.t.Helper()
	resp := node.do(method, path, body)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		node.t.Fatalf("%s %s: %d %s %v", method, path, resp.StatusCode, text, err)
	}
	return text
}

func (node testNode) metrics() string { return string(node.read(http.MethodGet, "/metrics", "")) }

// testWatch is a watch that is open until the test ends.
type testWatch struct {
	t      *testing.T
	status int
	header http.Header
	lines  *bufio.Reader
}

func (node testNode) watch(path string) *testWatch {
	node.t.Helper()
	resp := node.do(http.MethodGet, path, "")
	node.t.Cleanup(func() { _ = resp.Body.Close() })
	return &testWatch{t: node.t, status: resp.StatusCode, header: resp.Header, lines: bufio.NewReader(resp.Body)}
}

// line returns the next line, which may be empty.
func (tw *testWatch) line() []byte {
	tw.t.Helper()
	text, err := tw.lines.ReadBytes('\n')
	if err != nil {
		tw.t.Fatalf("the watch ended: %v", err)
	}
	return bytes.TrimSpace(text)
}

// update returns the next line that is not empty.
func (tw *testWatch) update() []byte {
	tw.t.Helper()
	for {
		if text := tw.line(); len(text) > 0 {
			return text
		}
	}
}

// decodeUpdate reads the next line that is not empty.
func decodeUpdate[T any](tw *testWatch) T {
	tw.t.Helper()
	var update T
	if err := json.Unmarshal(tw.update(), &update); err != nil {
		tw.t.Fatal(err)
	}
	return update
}
