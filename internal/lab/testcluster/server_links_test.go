package testcluster

import (
	"fmt"
	"net"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/lab/link"
)

const testServer = "127.0.2.1:0"

func headOf(id string) string {
	return fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nContent-Length: 5\r\n\r\n", id)
}

// TestSender checks that the first request of a connection to a server shows which proxy it is of.
func TestSender(t *testing.T) {
	n := NewLinks(0, 0)
	n.recordSender("one", "127.0.1.1:80")
	n.recordSender("two", "127.0.1.2:80")
	n.recordSender("odd", "no address")
	for _, c := range []struct{ first, proxy string }{
		{headOf("one"), "proxy-127.0.1.1"}, {headOf("two") + "hello", "proxy-127.0.1.2"}, {headOf("three"), ""}, {headOf("odd"), ""}, {headOf(""), ""},
		{headOf("one")[:30], ""}, {"GET /health HTTP/1.1\r\nHost: h\r\n\r\n", ""}, {"", ""}, {"\x00\r\n\r\n", ""},
	} {
		if got := n.sender([]byte(c.first)); got != c.proxy {
			t.Errorf("%q: %q, want %q", c.first, got, c.proxy)
		}
	}
	(*Links)(nil).recordSender("one", "127.0.1.1:80") // where there are no links
}

// TestProxyIsPartitionedFromServer checks that the bytes of one proxy are held back, also on later connections, and those of another pass.
func TestProxyIsPartitionedFromServer(t *testing.T) {
	links := NewLinks(0, 0)
	machines := []Machine{{IP: "127.0.1.1"}, {IP: "127.0.1.2"}}
	links.createServerLinks(machines, []ServerSpec{{Address: testServer}})
	for _, m := range machines {
		links.recordSender(m.IP, m.IP+":80")
	}
	r, err := newPickingRelay("127.0.0.1:0", echo(t), links.linkFor(Path{To: testServer}, false), func(first []byte) *link.Link { return links.serverLink(testServer, first) }, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer r.close()
	call := func(ip string) net.Conn {
		c, err := new(net.Dialer).DialContext(t.Context(), "tcp4", r.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		if err := c.SetDeadline(time.Now().Add(testWithin)); err != nil {
			t.Fatal(err)
		}
		say(t, c, headOf(ip))
		return c
	}
	before := call(machines[0].IP)
	hear(t, before, headOf(machines[0].IP))
	heal := links.Inject(func(p Path) bool { return p == Path{ProxyName(machines[0]), testServer} }, link.State{Hold: [2]bool{true, true}})
	say(t, before, "more\n")
	later, other, unknown := call(machines[0].IP), call(machines[1].IP), call("nobody")
	hear(t, other, headOf(machines[1].IP))
	hear(t, unknown, headOf("nobody"))
	for _, c := range []net.Conn{before, later} {
		if err := c.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		if links, err := c.Read(make([]byte, 1)); err == nil {
			t.Errorf("%d bytes came to a proxy that is cut off", links)
		}
		if err := c.SetReadDeadline(time.Now().Add(testWithin)); err != nil {
			t.Fatal(err)
		}
	}
	heal()
	hear(t, before, "more\n")
	hear(t, later, headOf(machines[0].IP))
}

// TestConnectionsWithoutBytesEnd checks that a relay that waits for first bytes closes those connections when it ends, and ignores connections
// that end without a byte.
func TestConnectionsWithoutBytesEnd(t *testing.T) {
	links := NewLinks(0, 0)
	r, err := newPickingRelay("127.0.0.1:0", echo(t), links.linkFor(Path{To: testServer}, false), func(first []byte) *link.Link { return links.serverLink(testServer, first) }, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, closes := range []bool{true, false} {
		c, err := new(net.Dialer).DialContext(t.Context(), "tcp4", r.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if closes {
			_ = c.Close()
		}
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.close()
	}()
	select {
	case <-ended:
	case <-time.After(testWithin):
		t.Fatal("the relay waits for connections on which nothing comes")
	}
	if len(r.awaitingFirstBytes) > 0 || r.open.Load() != 0 {
		t.Errorf("%d connections are left", r.open.Load())
	}
}
