package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// freeAddress returns an address at which nothing listens yet. Its IP address is particular to this
// process: otherwise another process's socket could take the port first.
func freeAddress(t *testing.T) string {
	t.Helper()
	pid := os.Getpid()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>16&63, pid>>8&255, 1+pid&127))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// operator starts a sidecar with a control address, and returns it with a function that sends it commands.
func startWithControl(t *testing.T, config string) (*program, func(line string) string) {
	t.Helper()
	at := freeAddress(t)
	c, err := load(t, config, "PROXY_CONTROL="+at)
	if err != nil {
		t.Fatal(err)
	}
	p := startLogging(t, c, io.Discard, drainTimes{quietTime: time.Millisecond, finish: testTimeout})
	return p, func(line string) string { return dialControl(t, at, line+"\n") }
}

// dialControl sends a text to a control address and returns the answer.
func dialControl(t *testing.T, at, text string) string {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(c)
	if err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	return string(answer)
}

func TestControlLines(t *testing.T) {
	_, call := startWithControl(t, configText(startRegistry(t).address, serving(1, startBackend(t, respondWith(200, "", "ok"))), testSettings))
	for line, want := range map[string]string{
		"PING":                     "ok ",
		" PING \r":                 "ok ",
		"PING now":                 "fail ",
		"":                         "fail ",
		"ping":                     "fail ",
		"PONG":                     "fail ",
		"PING\x00":                 "fail ",
		strings.Repeat("x", 40000): "fail ",
		"PING" + strings.Repeat(" ", maxCallBytes): "fail ",
	} {
		if answer := call(line); !strings.HasPrefix(answer, want) || strings.Count(answer, "\n") != 1 {
			t.Errorf("%.20q is answered %q, want %q", line, answer, want)
		}
	}
}

func TestPingBeforeReady(t *testing.T) {
	d := startRegistry(t)
	_, call := startWithControl(t, configText(d.address, "", testSettings))
	if answer := call("PING"); !strings.HasPrefix(answer, "fail ") {
		t.Errorf("answer %q before any list arrived", answer)
	}
	within(t, d.watches, "watch").lines <- serving(1, startBackend(t, respondWith(200, "", "ok")))
	for end := time.Now().Add(testTimeout); !strings.HasPrefix(call("PING"), "ok "); {
		if time.Now().After(end) {
			t.Fatal("the sidecar did not become ready")
		}
	}
}

// TestIdleCallers has callers open all connections that control allows and send nothing, or half a line:
// a caller with a complete command is still answered, and no idle caller keeps its connection forever.
func TestIdleCallers(t *testing.T) {
	listener := listen(t)
	c := newControl(slog.New(slog.DiscardHandler), func(call []string) string { return "ok " + call[0] + "\n" })
	c.timeout = testTimeout
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan bool)
	go func() { c.serve(ctx, listener); close(ended) }()
	defer cancel()
	var idle []net.Conn
	for range 3 * maxCallers {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if _, err := io.WriteString(conn, "PI"); err != nil {
			t.Fatal(err)
		}
		idle = append(idle, conn)
		if answer := dialControl(t, listener.Addr().String(), "PING\n"); answer != "ok PING\n" {
			t.Fatalf("with %d idle callers the answer is %q", len(idle), answer)
		}
	}
	// The latest callers still have their connections.
	last := idle[len(idle)-1]
	if _, err := io.WriteString(last, "NG\n"); err != nil {
		t.Fatal(err)
	}
	if answer, err := bufio.NewReader(last).ReadString('\n'); answer != "ok PING\n" {
		t.Errorf("answer %q, error %v to a slow caller", answer, err)
	}
	cancel()
	within(t, ended, "end of all callers")
}

// TestCallInTime has a caller send half a line and nothing more: its connection ends with its timeout.
func TestCallInTime(t *testing.T) {
	l := listen(t)
	c := newControl(slog.New(slog.DiscardHandler), func([]string) string { return "ok\n" })
	c.timeout = 10 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.serve(ctx, l)
	if answer := dialControl(t, l.Addr().String(), "PI"); !strings.HasPrefix(answer, "fail ") {
		t.Errorf("answer %q", answer)
	}
}

func TestBadControl(t *testing.T) {
	text := configText("127.0.0.1:9", "", testSettings)
	taken := listen(t)
	file, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	for _, env := range []string{"PROXY_CONTROL=here", "PROXY_CONTROL=127.0.0.1", "PROXY_FD=x", "PROXY_FD=-1", "PROXY_FD=1"} {
		if _, err := load(t, text, env); err == nil {
			t.Errorf("no error with %s", env)
		}
	}
	if c, err := load(t, strings.Replace(text, `"name"`, `"control":"127.0.0.1:7","name"`, 1)); err != nil || c.Control != "127.0.0.1:7" {
		t.Errorf("configuration %+v, error %v", c, err)
	}
	for _, env := range []string{"PROXY_CONTROL=" + taken.Addr().String(), "PROXY_FD=987654"} {
		c, err := load(t, text, env)
		if err != nil {
			t.Fatal(err)
		}
		if err := Run(context.Background(), c, slog.New(slog.DiscardHandler), nil, nil); err == nil {
			t.Errorf("Run succeeds with %s", env)
		}
	}
	if l, err := inherit(int(file.Fd())); err == nil {
		_ = l.Close()
		t.Error("a file was accepted as a listening socket")
	}
}
