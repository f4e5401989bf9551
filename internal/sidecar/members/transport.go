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

// Traffic is what went over the sockets since the start, membership and updates together.
type Traffic struct {
	PacketsSent, PacketsReceived, StreamsOpened, StreamsAccepted int64
	BytesSent, BytesReceived                                     int64 // of packets and streams, without the heads of UDP, TCP and IP
}

// transport is UDP and TCP at one port, which counts, and reaches every peer at one host if reach is set. memberlist's own takes a
// new buffer of 64 kB for each packet: at a few hundred packets a second most of its time would go to that.
type transport struct {
	packetConn *net.UDPConn
	listener   *net.TCPListener
	reach      string      // "": each at its own host
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
	socketBufferBytes = 1 << 21 // bytes that wait in the socket for a process that waits for its core; the kernel may give less
	errorBackoff      = 10 * time.Millisecond
)

// newTransport listens at a host and port. Its readers end with Shutdown.
func newTransport(host string, port int, reach string, dropPacket func() bool) (*transport, error) {
	const tries = 16 // at port 0: the number that is free for TCP may be taken for UDP
	t := &transport{reach: reach, dropPacket: dropPacket, packets: make(chan *memberlist.Packet), streams: make(chan net.Conn)}
	var err error
	for range tries {
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

func (t *transport) listen(ip net.IP, port int) (err error) {
	if t.listener, err = net.ListenTCP("tcp", &net.TCPAddr{IP: ip, Port: port}); err != nil {
		return err
	}
	if t.packetConn, err = net.ListenUDP("udp", &net.UDPAddr{IP: ip, Port: t.port()}); err != nil {
		return errors.Join(err, t.listener.Close())
	}
	_ = t.packetConn.SetReadBuffer(socketBufferBytes) // the default does, but for bursts
	return nil
}

// port is where it listens.
func (t *transport) port() int { return t.listener.Addr().(*net.TCPAddr).Port }

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

// continueAfter waits a moment after a fault, as when descriptors are short, and reports whether the transport is still open.
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

// PacketCh implements memberlist.Transport, as do the methods after it.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh hands out the streams that peers opened.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// FinalAdvertiseAddr returns the address that is advertised to others.
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

// WriteToAddress sends a packet to a peer. Acks come this way too: who asks names its own address in the question.
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

// DialAddressTimeout opens a stream to a peer. It ends early when this member does.
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

// countedConn is a stream whose bytes count.
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
