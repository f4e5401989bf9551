package members

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// Traffic is what went over the sockets since the start, membership and news together.
type Traffic struct {
	PacketsSent, PacketsReceived, StreamsOpened, StreamsTaken int64
	BytesSent, BytesReceived                                  int64 // of packets and streams, without the heads of UDP, TCP and IP
}

// transport is memberlist's own over UDP and TCP, which counts, and reaches every peer at one host if told to.
type transport struct {
	*memberlist.NetTransport
	reach   string      // "": each at its own host
	lose    func() bool // nil: no packet
	ctx     context.Context
	end     context.CancelFunc
	pumps   sync.WaitGroup
	packets chan *memberlist.Packet
	streams chan net.Conn

	sent, received, opened, taken, bytesOut, bytesIn atomic.Int64
}

var _ memberlist.NodeAwareTransport = (*transport)(nil)

// newTransport listens at a host and port. Its pumps end with Shutdown.
func newTransport(host string, port int, reach string, lose func() bool, logger *log.Logger) (*transport, error) {
	const tries = 16 // at port 0: the number that is free for TCP may be taken for UDP
	var inner *memberlist.NetTransport
	var err error
	for range tries {
		inner, err = memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: port, Logger: logger})
		if err == nil || port != 0 {
			break
		}
	}
	if err != nil {
		return nil, fmt.Errorf("listen at %s port %d: %w", host, port, err)
	}
	t := &transport{NetTransport: inner, reach: reach, lose: lose, packets: make(chan *memberlist.Packet), streams: make(chan net.Conn)}
	t.ctx, t.end = context.WithCancel(context.Background())
	t.pumps.Add(2)
	go t.pumpPackets()
	go t.pumpStreams()
	return t, nil
}

func (t *transport) pumpPackets() {
	defer t.pumps.Done()
	for {
		select {
		case p := <-t.NetTransport.PacketCh():
			t.received.Add(1)
			t.bytesIn.Add(int64(len(p.Buf)))
			select {
			case t.packets <- p:
			case <-t.ctx.Done():
				return
			}
		case <-t.ctx.Done():
			return
		}
	}
}

func (t *transport) pumpStreams() {
	defer t.pumps.Done()
	for {
		select {
		case c := <-t.NetTransport.StreamCh():
			t.taken.Add(1)
			select {
			case t.streams <- &countedConn{c, t}:
			case <-t.ctx.Done():
				_ = c.Close()
				return
			}
		case <-t.ctx.Done():
			return
		}
	}
}

// PacketCh implements memberlist.Transport, as do the methods after it.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh hands out the streams that peers opened.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// at is where a peer is reached.
func (t *transport) at(address string) string {
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
	a.Addr = t.at(a.Addr)
	t.sent.Add(1)
	t.bytesOut.Add(int64(len(b)))
	if t.lose != nil && t.lose() {
		return time.Now(), nil
	}
	return t.NetTransport.WriteToAddress(b, a)
}

// DialTimeout opens a stream.
func (t *transport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: address}, timeout)
}

// DialAddressTimeout opens a stream to a peer. It ends early when this member does.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	t.opened.Add(1)
	d := net.Dialer{Timeout: timeout}
	c, err := d.DialContext(t.ctx, "tcp", t.at(a.Addr))
	if err != nil {
		return nil, err
	}
	return &countedConn{c, t}, nil
}

// Shutdown closes the sockets and ends the pumps.
func (t *transport) Shutdown() error {
	// Danger: the listeners' goroutines hand over to the pumps, and Shutdown waits for them; so pumps end last.
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		for {
			select {
			case <-t.packets:
			case c := <-t.streams:
				_ = c.Close()
			case <-t.ctx.Done():
				return
			}
		}
	}()
	err := t.NetTransport.Shutdown()
	t.end()
	<-drained
	t.pumps.Wait()
	return err
}

func (t *transport) traffic() Traffic {
	return Traffic{t.sent.Load(), t.received.Load(), t.opened.Load(), t.taken.Load(), t.bytesOut.Load(), t.bytesIn.Load()}
}

// countedConn is a stream whose bytes count.
type countedConn struct {
	net.Conn
	of *transport
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.of.bytesIn.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.of.bytesOut.Add(int64(n))
	return n, err
}

var _ io.ReadWriter = (*countedConn)(nil)
