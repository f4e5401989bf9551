package members

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// Traffic counts what went over a member's sockets since its start, for membership and updates together.
type Traffic struct {
	PacketsSent, PacketsReceived   int64 // UDP
	StreamsOpened, StreamsAccepted int64 // TCP; opened ones include those that failed
	BytesSent, BytesReceived       int64 // of packets and streams, without the headers of UDP, TCP and IP
}

// transport implements memberlist.NodeAwareTransport with UDP and TCP sockets at one port. It counts the traffic, and reaches every peer
// at one host if reach is set. memberlist's own transport allocates a buffer of 64 kB for each packet, which would take most of a member's
// processor time at a few hundred packets a second.
type transport struct {
	packetConn *net.UDPConn
	listener   *net.TCPListener
	reach      string      // IP address; "": each peer is reached at its own
	dropPacket func() bool // see TestingKnobs
	ctx        context.Context
	end        context.CancelFunc
	readers    sync.WaitGroup
	packets    chan *memberlist.Packet
	streams    chan net.Conn

	packetsSent, packetsReceived, streamsOpened, streamsAccepted, bytesSent, bytesReceived atomic.Int64
}

var _ memberlist.NodeAwareTransport = (*transport)(nil)

const (
	maxPacketBytes    = 1 << 16
	socketBufferBytes = 1 << 21               // for packets that arrive while the process waits for a processor; the kernel may grant less
	errorBackoff      = 10 * time.Millisecond // before a socket is used again after an error
)

// newTransport listens at a host and port; port 0: any free one. Its readers end with Shutdown.
func newTransport(host string, port int, reach string, dropPacket func() bool) (*transport, error) {
	const maxAttempts = 16 // at port 0: a port that is free for TCP may be in use for UDP
	t := &transport{reach: reach, dropPacket: dropPacket, packets: make(chan *memberlist.Packet), streams: make(chan net.Conn)}
	var err error
	for range maxAttempts {
		if err = t.listen(net.ParseIP(host), port); err == nil || port != 0 {
			break
		}
	}
	if err != nil {
		return nil, fmt.Errorf("listen at %s port %d: %w", host, port, err)
	}
	t.ctx, t.end = context.WithCancel(context.Background())
	t.readers.Add(2)
	go t.readPackets()
	go t.acceptStreams()
	return t, nil
}

// listen opens both sockets, or none if it returns an error.
func (t *transport) listen(ip net.IP, port int) (err error) {
	if t.listener, err = net.ListenTCP("tcp", &net.TCPAddr{IP: ip, Port: port}); err != nil {
		return err
	}
	if t.packetConn, err = net.ListenUDP("udp", &net.UDPAddr{IP: ip, Port: t.port()}); err != nil {
		return errors.Join(err, t.listener.Close())
	}
	_ = t.packetConn.SetReadBuffer(socketBufferBytes) // without it, bursts of packets may be lost, as any packet may
	return nil
}

// port returns the port at which it listens.
func (t *transport) port() int { return t.listener.Addr().(*net.TCPAddr).Port }

// readPackets hands received packets to memberlist until Shutdown.
func (t *transport) readPackets() {
	defer t.readers.Done()
	buf := make([]byte, maxPacketBytes)
	for {
		n, from, err := t.packetConn.ReadFromUDP(buf)
		now := time.Now()
		if !t.continueAfter(err) {
			return
		}
		if err != nil || n == 0 {
			continue
		}
		t.packetsReceived.Add(1)
		t.bytesReceived.Add(int64(n))
		select {
		case t.packets <- &memberlist.Packet{Buf: bytes.Clone(buf[:n]), From: from, Timestamp: now}:
		case <-t.ctx.Done():
			return
		}
	}
}

// acceptStreams hands streams that peers opened to memberlist until Shutdown.
func (t *transport) acceptStreams() {
	defer t.readers.Done()
	for {
		c, err := t.listener.Accept()
		if !t.continueAfter(err) {
			return
		}
		if err != nil {
			continue
		}
		t.streamsAccepted.Add(1)
		select {
		case t.streams <- &countedConn{c, t}:
		case <-t.ctx.Done():
			_ = c.Close()
			return
		}
	}
}

// continueAfter waits for errorBackoff after an error, such as a lack of file descriptors, and reports whether the transport is open.
func (t *transport) continueAfter(err error) bool {
	if err == nil {
		return true
	}
	select {
	case <-time.After(errorBackoff):
		return true
	case <-t.ctx.Done():
		return false
	}
}

// PacketCh implements memberlist.NodeAwareTransport, as do the methods up to Shutdown. It returns the channel of received packets.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh returns the channel of streams that peers opened.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// FinalAdvertiseAddr returns the address that is advertised to others, which is the configured one.
func (t *transport) FinalAdvertiseAddr(host string, port int) (net.IP, int, error) {
	ip := net.ParseIP(host)
	if ip == nil {
		return nil, 0, fmt.Errorf("%q is no IP address", host)
	}
	if short := ip.To4(); short != nil {
		ip = short
	}
	return ip, port, nil
}

// dialAddress returns where a peer is reached.
func (t *transport) dialAddress(address string) string {
	if t.reach == "" {
		return address
	}
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return net.JoinHostPort(t.reach, port)
}

// WriteTo sends a packet.
func (t *transport) WriteTo(b []byte, address string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: address})
}

// WriteToAddress sends a packet to a peer. It sends acknowledgements of pings too: a ping says at which address its sender is reached.
func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	to, err := netip.ParseAddrPort(t.dialAddress(a.Addr))
	if err != nil {
		return time.Time{}, err
	}
	t.packetsSent.Add(1)
	t.bytesSent.Add(int64(len(b)))
	if t.dropPacket != nil && t.dropPacket() {
		return time.Now(), nil
	}
	_, err = t.packetConn.WriteToUDPAddrPort(b, to)
	return time.Now(), err
}

// DialTimeout opens a stream.
func (t *transport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: address}, timeout)
}

// DialAddressTimeout opens a stream to a peer. Shutdown ends it early.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	t.streamsOpened.Add(1)
	d := net.Dialer{Timeout: timeout}
	c, err := d.DialContext(t.ctx, "tcp", t.dialAddress(a.Addr))
	if err != nil {
		return nil, err
	}
	return &countedConn{c, t}, nil
}

// Shutdown closes the sockets and ends the readers.
func (t *transport) Shutdown() error {
	t.end()
	err := errors.Join(t.packetConn.Close(), t.listener.Close())
	t.readers.Wait()
	return err
}

// traffic returns the counters as they stand.
func (t *transport) traffic() Traffic {
	return Traffic{
		PacketsSent:     t.packetsSent.Load(),
		PacketsReceived: t.packetsReceived.Load(),
		StreamsOpened:   t.streamsOpened.Load(),
		StreamsAccepted: t.streamsAccepted.Load(),
		BytesSent:       t.bytesSent.Load(),
		BytesReceived:   t.bytesReceived.Load(),
	}
}

// countedConn is a stream whose bytes are counted in its transport.
type countedConn struct {
	net.Conn
	transport *transport
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.transport.bytesReceived.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.transport.bytesSent.Add(int64(n))
	return n, err
}

var _ io.ReadWriter = (*countedConn)(nil)
