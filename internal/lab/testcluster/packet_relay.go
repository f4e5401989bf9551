package testcluster

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"gradeusher.example/gradeusher/internal/lab/link"
)

const maxPendingPackets = 1024 // on their way over one relay at a time; more are lost

// packetRelay forwards packets to an address over a link with faults, in one direction.
type packetRelay struct {
	in      net.PacketConn
	out     net.Conn
	link    *link.Link
	pending atomic.Int32 // packets that are delayed
	wait    sync.WaitGroup
	stop    chan struct{} // closed by close
	onError func(error)   // is called with errors of receiving that the relay outlives
}

func newPacketRelay(at, to string, over *link.Link, onError func(error)) (*packetRelay, error) {
	in, err := new(net.ListenConfig).ListenPacket(context.Background(), "udp4", at)
	if err != nil {
		return nil, err
	}
	out, err := new(net.Dialer).DialContext(context.Background(), "udp4", to)
	if err != nil {
		_ = in.Close()
		return nil, err
	}
	p := &packetRelay{in: in, out: out, link: over, stop: make(chan struct{}), onError: onError}
	p.wait.Go(p.run)
	return p, nil
}

// run forwards packets until the relay is closed.
func (p *packetRelay) run() {
	buf := make([]byte, relayBufferBytes)
	retry := link.Retry{Stop: p.stop, OnError: p.onError}
	for {
		size, _, err := p.in.ReadFrom(buf)
		if err != nil {
			if retry.After(err) {
				continue
			}
			return
		}
		retry.Reset()
		delay, passes := p.link.DrawPacket()
		if !passes || p.pending.Load() >= maxPendingPackets {
			continue
		}
		if delay <= 0 {
			_, _ = p.out.Write(buf[:size]) // A packet may be lost without notice.
			continue
		}
		packet := append([]byte(nil), buf[:size]...)
		p.pending.Add(1)
		p.wait.Add(1)
		time.AfterFunc(delay, func() {
			defer p.wait.Done()
			defer p.pending.Add(-1)
			_, _ = p.out.Write(packet)
		})
	}
}

func (p *packetRelay) close() {
	close(p.stop)
	_ = p.in.Close()
	p.wait.Wait()
	_ = p.out.Close()
}
