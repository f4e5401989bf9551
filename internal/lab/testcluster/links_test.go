package testcluster

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/lab/link"
)

const testWithin = 10 * time.Second

// echo answers each line by itself, and gives its address. "reset" it answers by a reset.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	var served sync.WaitGroup
	go func() {
		defer close(ended)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			served.Go(func() { echoLines(t, c) })
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-ended
		served.Wait()
	})
	return l.Addr().String()
}

// echoLines gives lines back until one asks for a reset.
func echoLines(t *testing.T, c net.Conn) {
	t.Helper()
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if line == "reset\n" {
			if err := c.(*net.TCPConn).SetLinger(0); err != nil {
				t.Error(err)
			}
			return
		}
		if _, err := io.WriteString(c, line); err != nil {
			return
		}
	}
}

// relayTo gives a relay and a connection over it.
func relayTo(t *testing.T, to string, over *link.Link) net.Conn {
	t.Helper()
	r, err := newRelay("127.0.0.1:0", to, over)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.close)
	c, err := net.Dial("tcp4", r.listener.Addr().String())
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

func TestRelayLeadsBothWays(t *testing.T) {
	over := link.New()
	c := relayTo(t, echo(t), over)
	say(t, c, "one\n")
	hear(t, c, "one\n")
	const delay = 20 * time.Millisecond
	over.Set(link.State{Delay: delay})
	start := time.Now()
	say(t, c, "two\n")
	hear(t, c, "two\n")
	if took := time.Since(start); took < 2*delay {
		t.Errorf("there and back took %v", took)
	}
	over.Set(link.State{Hold: [2]bool{link.ToNear: true}})
	say(t, c, "three\n")
	if err := c.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Read(make([]byte, 1)); err == nil {
		t.Errorf("%d bytes came over a link that holds them back", n)
	}
	if err := c.SetReadDeadline(time.Now().Add(testWithin)); err != nil {
		t.Fatal(err)
	}
	over.Set(link.State{})
	hear(t, c, "three\n")
}

func TestRelayPassesResetsOn(t *testing.T) {
	c := relayTo(t, echo(t), link.New())
	say(t, c, "one\n")
	hear(t, c, "one\n")
	say(t, c, "reset\n")
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the far end's reset shows as %v", err)
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	c = relayTo(t, l.Addr().String(), link.New())
	say(t, c, "one\n")
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("a far end where nobody listens shows as %v", err)
	}
}

func TestPacketsAreLedOn(t *testing.T) {
	to, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer to.Close()
	over := link.New()
	p, err := newPacketRelay("127.0.0.1:0", to.LocalAddr().String(), over)
	if err != nil {
		t.Fatal(err)
	}
	defer p.close()
	if err := to.SetReadDeadline(time.Now().Add(testWithin)); err != nil {
		t.Fatal(err)
	}
	from, err := net.Dial("udp4", p.in.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer from.Close()
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

// TestLinksAddTroubles: what lies on a link is the sum of its length and of all faults, and goes with each.
func TestLinksAddTroubles(t *testing.T) {
	n := NewLinks(30*time.Millisecond, time.Millisecond)
	near, far := n.linkFor(Path{"a", "b"}, false), n.linkFor(Path{"a", "c"}, true)
	all := func(Path) bool { return true }
	is := func(what string, l *link.Link, want link.State) {
		t.Helper()
		if s, _ := l.State(); s != want {
			t.Errorf("%s: %+v, want %+v", what, s, want)
		}
	}
	length := link.State{Delay: 30 * time.Millisecond, Jitter: time.Millisecond}
	is("near", near, link.State{})
	is("far", far, length)
	healSlow := n.Inject(all, link.State{Delay: 10 * time.Millisecond})
	healCut := n.Inject(func(p Path) bool { return p.To == "c" }, link.State{Hold: [2]bool{link.ToFar: true}})
	is("near, slow", near, link.State{Delay: 10 * time.Millisecond})
	is("far, slow and cut", far, link.State{Delay: 40 * time.Millisecond, Jitter: time.Millisecond, Hold: [2]bool{link.ToFar: true}})
	healSlow()
	is("far, cut", far, link.State{Delay: 30 * time.Millisecond, Jitter: time.Millisecond, Hold: [2]bool{link.ToFar: true}})
	healCut()
	is("far, healed", far, length)
	is("near, healed", near, link.State{})
}

// TestLinksHavePathsOfTheirOwn: everybody calls control-plane nodes and proxies call each other, each over a link of its own.
func TestLinksHavePathsOfTheirOwn(t *testing.T) {
	scene := SmallScenario(1)
	ports, err := FreePorts(scene.Machines)
	if err != nil {
		t.Fatal(err)
	}
	n := NewLinks(0, 0)
	f := &Fleet{Machines: scene.Machines, Ports: ports, Links: n}
	lists, err := n.connect(f, "127.0.0.1:1")
	defer n.close()
	if err != nil {
		t.Fatal(err)
	}
	machines := len(scene.Machines)
	if want := machines + machines*(2*machines-1) + machines*(machines-1); len(n.active) != want || len(lists) != machines {
		t.Errorf("%d paths, want %d; %d lists", len(n.active), want, len(lists))
	}
	seen := map[int]bool{}
	for _, e := range f.endpoints() {
		if first, last := f.portsOf(e.name); seen[first] || first < ports.First || last > ports.Last || last < first {
			t.Errorf("%s has ports %d to %d of %+v", e.name, first, last, ports)
		} else {
			seen[first] = true
		}
	}
}
