package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestMain lets a test start this binary as a sidecar.
func TestMain(m *testing.M) {
	if os.Getenv("TEST_AS_SIDECAR") == "" {
		os.Exit(m.Run())
	}
	if err := runAsSidecar(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

func runAsSidecar() error {
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer cancel()
	config, err := LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	return Run(stop, config, slog.New(slog.NewTextHandler(os.Stderr, nil)), nil, nil)
}

// platform holds the clients' listening socket, and starts processes that inherit it.
type platform struct {
	t       *testing.T
	address string
	socket  *os.File
	dir     string // shared by all processes
	env     []string
}

func startPlatform(t *testing.T, config string) *platform {
	t.Helper()
	l := listen(t).(*net.TCPListener)
	socket, err := l.File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	dir := t.TempDir()
	file := filepath.Join(dir, "config.json")
	if err := os.WriteFile(file, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	return &platform{t: t, address: l.Addr().String(), socket: socket, dir: dir,
		env: append(os.Environ(), "TEST_AS_SIDECAR=1", "PROXY_CONFIG="+file, "PROXY_FD=3", "TMPDIR="+dir)}
}

// child is a sidecar in a process of its own.
type child struct {
	t       *testing.T
	control string
	process *exec.Cmd
	ended   chan error
}

// start starts another process and waits until it reports that it is ready.
func (f *platform) start() *child {
	f.t.Helper()
	started := &child{t: f.t, control: freeAddress(f.t), process: exec.CommandContext(context.WithoutCancel(f.t.Context()), os.Args[0]), ended: make(chan error, 1)}
	started.process.Env = append(slices.Clone(f.env), "PROXY_CONTROL="+started.control)
	started.process.ExtraFiles = []*os.File{f.socket}
	var text strings.Builder
	started.process.Stderr = &text
	if err := started.process.Start(); err != nil {
		f.t.Fatal(err)
	}
	var over sync.WaitGroup
	over.Add(1)
	go func() {
		defer over.Done()
		started.ended <- started.process.Wait()
	}()
	f.t.Cleanup(func() {
		_ = started.process.Process.Kill()
		over.Wait()
		if f.t.Failed() {
			f.t.Logf("log of a process:\n%s", text.String())
		}
	})
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		if c, err := (&net.Dialer{}).DialContext(f.t.Context(), "tcp", started.control); err == nil {
			_ = c.Close()
			if strings.HasPrefix(started.call("PING"), "ok ") {
				return started
			}
		}
		if time.Now().After(end) {
			f.t.Fatal("a process did not become ready")
		}
	}
}

func (s *child) call(line string) string { return dialControl(s.t, s.control, line+"\n") }

// shutDown has the process shut down gracefully, and returns once it has ended.
func (s *child) shutDown() {
	s.t.Helper()
	if err := s.process.Process.Signal(syscall.SIGTERM); err != nil {
		s.t.Fatal(err)
	}
	if err := within(s.t, s.ended, "end"); err != nil {
		s.t.Errorf("a process ended with %v", err)
	}
}

// ask sends a request on a connection, and returns whether the sidecar asks to close it.
func (f *platform) ask(c net.Conn, in *bufio.Reader) (closing bool, err error) {
	if _, err := io.WriteString(c, "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: i\r\nX-Priority-Class: pay\r\nX-Timeout-Ms: 50000\r\n"+
		"Content-Length: 2\r\n\r\nhi"); err != nil {
		return false, err
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return false, err
	}
	defer func() { _ = resp.Body.Close() }()
	if body, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusOK || string(body) != "ok" {
		return false, fmt.Errorf("status %d, body %q, error %w", resp.StatusCode, body, err)
	}
	return resp.Close, nil
}

// askUntil sends requests, each on a connection of its own, until one was served and done returns true.
func (f *platform) askUntil(done func() bool) {
	f.t.Helper()
	for end := time.Now().Add(testTimeout); ; {
		c, err := (&net.Dialer{}).DialContext(f.t.Context(), "tcp", f.address)
		if err != nil {
			f.t.Fatal(err)
		}
		_, err = f.ask(c, bufio.NewReader(c))
		_ = c.Close()
		if err == nil && done() {
			return
		}
		if time.Now().After(end) {
			f.t.Fatalf("the condition was not reached in time, last error %v", err)
		}
	}
}

// askOnConnections sends requests until stop is closed, on one connection as long as it stays open, or on a new one each.
func (f *platform) askOnConnections(t *testing.T, stop <-chan bool, reuse bool) {
	t.Helper()
	var conn net.Conn
	var reader *bufio.Reader
	for {
		select {
		case <-stop:
			return
		default:
		}
		if conn == nil {
			var err error
			if conn, err = (&net.Dialer{}).DialContext(t.Context(), "tcp", f.address); err != nil {
				t.Errorf("no connection: %v", err)
				return
			}
			reader = bufio.NewReader(conn)
		}
		closing, err := f.ask(conn, reader)
		if err != nil {
			t.Errorf("a request failed: %v", err)
			return
		}
		if closing || !reuse {
			_ = conn.Close()
			conn = nil
		}
	}
}

// TestUpgrade has clients send requests continuously, on existing and on new connections, while one
// process replaces another, three times: none may fail.
func TestUpgrade(t *testing.T) {
	b := startBackend(t, respondWith(200, "", "ok"))
	f := startPlatform(t, configText(startRegistry(t).address, serving(1, b), testSettings))
	old := f.start()
	stop := make(chan bool)
	var clients sync.WaitGroup
	for i := range 4 {
		clients.Go(func() { f.askOnConnections(t, stop, i > 0) })
	}
	for range 3 {
		next := f.start()
		old.shutDown()
		old = next
	}
	close(stop)
	clients.Wait()
}

// TestShutdownLeavesBacklog has a process end while a connection is in the backlog: it is left to the other process.
func TestShutdownLeavesBacklog(t *testing.T) {
	inner := listen(t).(*net.TCPListener)
	l := &drainListener{TCPListener: inner, quietTime: testTimeout}
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if err := l.stopNow(); err != nil {
		t.Fatal(err)
	}
	if _, err := l.Accept(); err == nil {
		t.Error("a process that shuts down accepted a connection")
	}
}

// TestShutdownWhileBlocked has a process shut down while it is blocked in accept(2), because the
// platform has made the shared socket blocking.
func TestShutdownWhileBlocked(t *testing.T) {
	conn, err := load(t, configText(startRegistry(t).address, serving(1, startBackend(t, respondWith(200, "", "ok"))), testSettings))
	if err != nil {
		t.Fatal(err)
	}
	shared := listen(t).(*net.TCPListener)
	socket, err := shared.File()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	if conn.InheritedFD, err = syscall.Dup(int(socket.Fd())); err != nil {
		t.Fatal(err)
	}
	prog := startLogging(t, conn, &logText{}, drainTimes{quietTime: time.Millisecond, finish: testTimeout})
	// os/exec does the same when it passes descriptors on.
	if flags, err := unix.FcntlInt(socket.Fd(), unix.F_GETFL, 0); err != nil || flags&unix.O_NONBLOCK != 0 {
		t.Fatalf("asking for the descriptor has not made the socket block: flags %#x, error %v", flags, err)
	}
	dial := func() {
		if conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", shared.Addr().String()); err == nil {
			_ = conn.Close()
		}
	}
	defer dial() // unblocks the process even if it did not end
	dial()
	waits := regexp.MustCompile(`(?m)^goroutine \d+ \[syscall[^\n]*\n([^\n]+\n)*?[^\n]*drainListener\)\.Accept`)
	stacks := make([]byte, 1<<20)
	for end := time.Now().Add(testTimeout); !waits.Match(stacks[:runtime.Stack(stacks, true)]); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatal("no goroutine is blocked in accept(2)")
		}
	}
	prog.stop()
	if err := within(t, prog.ended, "end"); err != nil {
		t.Error(err)
	}
}

// TestShutdownClosesIdle has connections be idle, or in the middle of a head, while a process shuts
// down: the request in the middle is served, the other connections are closed.
func TestShutdownClosesIdle(t *testing.T) {
	b := startBackend(t, respondWith(200, "", "ok"))
	f := startPlatform(t, configText(startRegistry(t).address, serving(1, b), testSettings))
	old := f.start()
	dial := func() net.Conn {
		c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", f.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	silent, idle, slow := dial(), dial(), dial()
	for _, c := range []net.Conn{idle, slow} {
		if closing, err := f.ask(c, bufio.NewReader(c)); err != nil || closing {
			t.Fatal(closing, err)
		}
	}
	if _, err := io.WriteString(slow, "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: i\r\nX-Prio"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond) // it is read by then; if not, the test covers less
	ended := make(chan bool)
	go func() { old.shutDown(); close(ended) }()
	for _, c := range []net.Conn{silent, idle} {
		if _, err := c.Read(make([]byte, 1)); err != io.EOF { //nolint:errorlint // the connection's own error, not one that wraps it
			t.Errorf("an idle connection ended with %v", err)
		}
	}
	if _, err := io.WriteString(slow, "rity-Class: pay\r\nX-Timeout-Ms: 50000\r\nContent-Length: 2\r\n\r\nhi"); err != nil {
		t.Fatal(err)
	}
	if resp, err := http.ReadResponse(bufio.NewReader(slow), nil); err != nil || resp.StatusCode != http.StatusOK || !resp.Close { //nolint:bodyclose // the test closes the connection; to close the body would be to read it
		t.Errorf("answer %+v, error %v to a request that had begun", resp, err)
	}
	within(t, ended, "end")
}
