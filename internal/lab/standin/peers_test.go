package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/link"
)

const arrivalTimeout = 20 * time.Second

// peersTest is a sidecar behind the network of Peers, and the port in front of it.
type peersTest struct {
	t       *testing.T
	network *orderSender
	packets net.PacketConn
	streams net.Listener
	port    int
}

func newPeersTest(t *testing.T) *peersTest {
	t.Helper()
	records := filepath.Join(t.TempDir(), "gossip")
	network, _ := startStandIn(t, func(in io.Reader, out io.Writer) error { return Peers(in, out, records) })
	reservation, err := link.Reserve(link.Near(7))
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, reservation)
	address := reservation.Addr.String()
	packets, err := (&net.ListenConfig{}).ListenPacket(t.Context(), "udp4", address)
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, packets)
	streams, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, streams)
	port := network.send(ctl.Order{Do: "front", UID: "n7", Front: address}).Ports[0]
	return &peersTest{t: t, network: network, packets: packets, streams: streams, port: port}
}

// dial opens a connection to the port in front of the sidecar, as the near end.
func (p *peersTest) dial(protocol string, near int) net.Conn {
	p.t.Helper()
	address := netip.AddrPortFrom(link.Near(near), uint16(p.port)).String()
	conn, err := (&net.Dialer{}).DialContext(p.t.Context(), protocol, address)
	if err != nil {
		p.t.Fatal(err)
	}
	closeAtEnd(p.t, conn)
	return conn
}

// sendPacket sends the sidecar a packet from a near end.
func (p *peersTest) sendPacket(near int, text string) {
	p.t.Helper()
	if _, err := p.dial("udp4", near).Write([]byte(text)); err != nil {
		p.t.Fatal(err)
	}
}

// expectPacket fails the test where the next packet that the sidecar receives is not want.
func (p *peersTest) expectPacket(want string) {
	p.t.Helper()
	buf := make([]byte, 100)
	if err := p.packets.SetReadDeadline(time.Now().Add(arrivalTimeout)); err != nil {
		p.t.Fatal(err)
	}
	n, _, err := p.packets.ReadFrom(buf)
	if err != nil {
		p.t.Fatal(err)
	}
	if got := string(buf[:n]); got != want {
		p.t.Errorf("received %q, want %q", got, want)
	}
}

// setLink sets the state of the link from near end 1.
func (p *peersTest) setLink(state link.State) {
	p.t.Helper()
	p.network.send(ctl.Order{Do: "link", UID: "n7", Nears: []int{1}, State: &state})
}

// TestPeers has packets and streams go from one sidecar to another over a link, be lost where it holds or loses them, and arrive
// late where it delays; the link of a third is not touched.
func TestPeers(t *testing.T) {
	peers := newPeersTest(t)
	peers.sendPacket(1, "a")
	peers.expectPacket("a")
	for name, state := range map[string]link.State{"held": {Hold: [2]bool{link.ToFar: true}}, "lost": {Loss: 1}} {
		peers.setLink(state)
		peers.sendPacket(1, name)
		peers.sendPacket(2, "of another") // one goroutine forwards all packets, so the one before is lost by now
		peers.expectPacket("of another")
	}
	const delay = 50 * time.Millisecond
	// What the near end sends is delayed, what it would receive is held.
	peers.setLink(link.State{Hold: [2]bool{link.ToNear: true}, Delay: delay})
	began := time.Now()
	peers.sendPacket(1, "late")
	peers.expectPacket("late")
	if elapsed := time.Since(began); elapsed < delay {
		t.Errorf("the packet arrived after %v, want %v at least", elapsed, delay)
	}
	peers.checkStream()
}

// checkStream has a stream from near end 1 arrive, and the reply be held until the link is without fault.
func (p *peersTest) checkStream() {
	p.t.Helper()
	near := p.dial("tcp4", 1)
	p.writeLine(near, "hello")
	far, err := p.streams.Accept()
	if err != nil {
		p.t.Fatal(err)
	}
	closeAtEnd(p.t, far)
	if line, err := bufio.NewReader(far).ReadString('\n'); line != "hello\n" {
		p.t.Errorf("the sidecar read %q, %v", line, err)
	}
	p.writeLine(far, "back")
	if err := near.SetReadDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		p.t.Fatal(err)
	}
	if n, err := near.Read(make([]byte, 10)); !errors.Is(err, os.ErrDeadlineExceeded) {
		p.t.Errorf("%d bytes cross a link that holds them, %v", n, err)
	}
	p.setLink(link.State{})
	if err := near.SetReadDeadline(time.Now().Add(arrivalTimeout)); err != nil {
		p.t.Fatal(err)
	}
	if line, err := bufio.NewReader(near).ReadString('\n'); line != "back\n" {
		p.t.Errorf("the near end read %q, %v", line, err)
	}
}

func (p *peersTest) writeLine(conn net.Conn, line string) {
	p.t.Helper()
	if _, err := fmt.Fprintln(conn, line); err != nil {
		p.t.Fatal(err)
	}
}
