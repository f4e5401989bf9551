package testcluster

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/lab/link"
)

const testWithin = 10 * time.Second

// echo starts a server that answers each line with the line, and "reset" by a reset. It returns the address.
func echo(t *testing.T) string {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	var served sync.WaitGroup
	go func() {
		defer close(ended)
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			served.Go(func() { echoLines(t, c) })
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-ended
		served.Wait()
	})
	return listener.Addr().String()
}

// echoLines sends lines back until one asks for a reset.
func echoLines(t *testing.T, conn net.Conn) {
	t.Helper()
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if line == "reset\n" {
			if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
				t.Error(err)
			}
			return
		}
		if _, err := io.WriteString(conn, line); err != nil {
			return
		}
	}
}

// relayTo starts a relay, and returns a connection over it.
func relayTo(t *testing.T, to string, over *link.Link) net.Conn {
	t.Helper()
	r, err := newRelay("127.0.0.1:0", to, over, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.close)
	return connect(t, r.listener.Addr().String())
}

// connect returns a connection to an address, which ends with the test and after testWithin.
func connect(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := new(net.Dialer).DialContext(t.Context(), "tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(testWithin)); err != nil {
		t.Fatal(err)
	}
	return c
}

func say(t *testing.T, c net.Conn, line string) {
	t.Helper()
	if _, err := io.WriteString(c, line); err != nil {
		t.Fatal(err)
	}
}

func hear(t *testing.T, c net.Conn, line string) {
	t.Helper()
	buf := make([]byte, len(line))
	if _, err := io.ReadFull(c, buf); err != nil || string(buf) != line {
		t.Errorf("heard %q, %v", buf, err)
	}
}

func TestRelayForwardsBothWays(t *testing.T) {
	over := link.New()
	client := relayTo(t, echo(t), over)
	say(t, client, "one\n")
	hear(t, client, "one\n")
	const delay = 20 * time.Millisecond
	over.Set(link.State{Delay: delay})
	start := time.Now()
	say(t, client, "two\n")
	hear(t, client, "two\n")
	if took := time.Since(start); took < 2*delay {
		t.Errorf("there and back took %v", took)
	}
	over.Set(link.State{Hold: [2]bool{link.ToNear: true}})
	say(t, client, "three\n")
	if err := client.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if n, err := client.Read(make([]byte, 1)); err == nil {
		t.Errorf("%d bytes came over a link that holds them back", n)
	}
	if err := client.SetReadDeadline(time.Now().Add(testWithin)); err != nil {
		t.Fatal(err)
	}
	over.Set(link.State{})
	hear(t, client, "three\n")
}

func TestRelayForwardsResets(t *testing.T) {
	client := relayTo(t, echo(t), link.New())
	say(t, client, "one\n")
	hear(t, client, "one\n")
	say(t, client, "reset\n")
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the far end's reset shows as %v", err)
	}
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	client = relayTo(t, l.Addr().String(), link.New())
	say(t, client, "one\n")
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("a far end where nobody listens shows as %v", err)
	}
}

func TestPacketsAreForwarded(t *testing.T) {
	to, err := new(net.ListenConfig).ListenPacket(t.Context(), "udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = to.Close() }()
	over := link.New()
	p, err := newPacketRelay("127.0.0.1:0", to.LocalAddr().String(), over, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer p.close()
	if err := to.SetReadDeadline(time.Now().Add(testWithin)); err != nil {
		t.Fatal(err)
	}
	from, err := new(net.Dialer).DialContext(t.Context(), "udp4", p.in.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = from.Close() }()
	buf := make([]byte, 16)
	for _, c := range []struct {
		text  string
		state link.State
	}{{"one", link.State{}}, {"two", link.State{Delay: 5 * time.Millisecond}}} {
		over.Set(c.state)
		start := time.Now()
		say(t, from, c.text)
		n, _, err := to.ReadFrom(buf)
		if err != nil || string(buf[:n]) != c.text || time.Since(start) < c.state.Delay {
			t.Errorf("%q after %v, %v", buf[:n], time.Since(start), err)
		}
	}
}

// failingListener is a listener whose first calls of Accept fail.
type failingListener struct {
	net.Listener
	failures int // that are left
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp4", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestRelayOutlivesErrors checks that a relay goes on after errors of accepting, as for want of descriptors, and that they are told.
func TestRelayOutlivesErrors(t *testing.T) {
	links := NewLinks(0, 0)
	env, err := New(Options{ListRate: 1, Bounds: SmallScenario(1).Bounds, Links: links})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(env.Close)
	inner, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: &failingListener{inner, 2}, to: echo(t), link: link.New(), stop: make(chan struct{}), onError: links.reportError}
	r.wait.Go(r.accept)
	defer r.close()
	c := connect(t, inner.Addr().String())
	say(t, c, "one\n")
	hear(t, c, "one\n")
	if failures := env.Failures(); len(failures) != 1 || !strings.Contains(failures[0], syscall.EMFILE.Error()) {
		t.Errorf("failures %q, want one of descriptors", failures)
	}
}

// failingPacketConn is a socket whose first calls of ReadFrom fail.
type failingPacketConn struct {
	net.PacketConn
	failures int // that are left
}

func (c *failingPacketConn) ReadFrom(p []byte) (int, net.Addr, error) {
	if c.failures > 0 {
		c.failures--
		return 0, nil, &net.OpError{Op: "read", Net: "udp4", Err: syscall.ENOBUFS}
	}
	return c.PacketConn.ReadFrom(p)
}

// TestPacketRelayOutlivesErrors checks that a packet relay goes on after errors of receiving, and that they are told.
func TestPacketRelayOutlivesErrors(t *testing.T) {
	to, err := new(net.ListenConfig).ListenPacket(t.Context(), "udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = to.Close() }()
	in, err := new(net.ListenConfig).ListenPacket(t.Context(), "udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	out, err := new(net.Dialer).DialContext(t.Context(), "udp4", to.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	var told []error
	forwarder := &packetRelay{in: &failingPacketConn{in, 2}, out: out, link: link.New(), stop: make(chan struct{}), onError: func(err error) { told = append(told, err) }}
	forwarder.wait.Go(forwarder.run)
	from, err := new(net.Dialer).DialContext(t.Context(), "udp4", in.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = from.Close() }()
	if err := to.SetReadDeadline(time.Now().Add(testWithin)); err != nil {
		t.Fatal(err)
	}
	say(t, from, "one")
	buf := make([]byte, 16)
	if n, _, err := to.ReadFrom(buf); err != nil || string(buf[:n]) != "one" {
		t.Errorf("%q, %v", buf[:n], err)
	}
	forwarder.close()
	if len(told) != 1 || !errors.Is(told[0], syscall.ENOBUFS) {
		t.Errorf("told %v, want one error", told)
	}
}
