package standin

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/ipv4"

	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/link"
)

// Peers forwards what sidecars send to each other over links with faults until the orders end. In front of each sidecar stands
// a port, for packets and for streams, which knows the caller by the address that it calls, as stand-in servers do. Once a second the
// traffic of all sidecars together goes to the file gossip. Peers returns the first error of reading orders or of writing records.
func Peers(orders io.Reader, news io.Writer, gossip string) error {
	records, err := ctl.NewRecords(gossip)
	if err != nil {
		return err
	}
	out := ctl.NewEventWriter(news)
	forwarder := &peers{out: out, fronts: map[string]*front{}, stop: make(chan struct{})}
	out.Send(ctl.Event{Kind: ctl.EventReady, At: clock.Now()})
	forwarder.tasks.Add(1)
	go func() {
		defer forwarder.tasks.Done()
		forwarder.recordTraffic(records)
	}()
	err = handleOrders(orders, out, forwarder.handleOrder)
	forwarder.close()
	return errors.Join(err, records.Close())
}

// peers is the network between sidecars. Orders come one at a time.
type peers struct {
	out    *ctl.EventWriter
	fronts map[string]*front // by the name of the sidecar behind it
	stop   chan struct{}     // closed when the orders end
	tasks  sync.WaitGroup

	traffic traffic
	delayed atomic.Int64 // packets in flight
}

// traffic counts what reached sidecars since the latest record.
type traffic struct {
	packets     atomic.Int64
	packetBytes atomic.Int64
	streams     atomic.Int64
	streamBytes atomic.Int64
}

// front is the port at which others reach one sidecar.
type front struct {
	net     *network
	streams *link.Listener
	packets *net.UDPConn
	sidecar netip.AddrPort // where the sidecar listens
}

// close ends every connection and waits for the tasks.
func (p *peers) close() {
	close(p.stop)
	for _, f := range p.fronts {
		_ = f.streams.Close() // that neither listens any more is all that matters
		_ = f.packets.Close()
		f.net.forEach(nil, (*link.Link).Reset)
	}
	p.tasks.Wait()
}

// handleOrder applies an order of the lab to the front of a sidecar.
func (p *peers) handleOrder(order ctl.Order, acknowledgement *ctl.Event) error {
	addressed := p.fronts[order.UID]
	switch {
	case order.Do == ctl.CommandFront && addressed == nil:
		return p.addFront(order, acknowledgement)
	case addressed == nil:
		return fmt.Errorf("%s: no sidecar %q", order.Do, order.UID)
	case order.Do == ctl.CommandLink || order.Do == ctl.CommandReset || order.Do == ctl.CommandForget:
		addressed.net.apply(order)
		return nil
	}
	return unknownCommandError(order.Do)
}

// addFront opens a port in front of a sidecar.
func (p *peers) addFront(order ctl.Order, acknowledgement *ctl.Event) error {
	sidecar, err := netip.ParseAddrPort(order.Front)
	if err != nil {
		return fmt.Errorf("front: %w", err)
	}
	opened, err := p.open(sidecar)
	if err != nil {
		return err
	}
	p.fronts[order.UID] = opened
	acknowledgement.Ports = []int{opened.streams.Port()}
	return nil
}

const maxOpenAttempts = 16 // a port that is free for streams may be in use for packets

// open listens for packets and streams at one port and forwards both.
func (p *peers) open(sidecar netip.AddrPort) (*front, error) {
	streams, packets, err := listenBoth()
	if err != nil {
		return nil, err
	}
	streams.OnError = reportErrors(p.out)
	opened := &front{net: newNetwork(), streams: streams, packets: packets, sidecar: sidecar}
	in := ipv4.NewPacketConn(packets)
	if err := in.SetControlMessage(ipv4.FlagDst, true); err != nil {
		return nil, errors.Join(fmt.Errorf("front: %w", err), streams.Close(), packets.Close())
	}
	p.tasks.Add(2)
	go func() {
		defer p.tasks.Done()
		p.forwardPackets(opened, in)
	}()
	go func() {
		defer p.tasks.Done()
		p.acceptStreams(opened)
	}()
	return opened, nil
}

// listenBoth listens for streams and packets at one port.
func listenBoth() (streams *link.Listener, packets *net.UDPConn, err error) {
	for range maxOpenAttempts {
		if streams, err = link.Listen(0); err != nil {
			return nil, nil, err
		}
		if packets, err = link.ListenPackets(streams.Port()); err == nil {
			return streams, packets, nil
		}
		_ = streams.Close() // the next attempt takes another port
	}
	return nil, nil, err
}

const (
	maxPacketBytes    = 64 << 10
	maxDelayedPackets = 1 << 16 // of all sidecars together: more are lost, as on a full queue
)

// forwardPackets forwards packets as their links allow: one that a link holds is lost.
func (p *peers) forwardPackets(to *front, in *ipv4.PacketConn) {
	buf := make([]byte, maxPacketBytes)
	retry := link.Retry{Stop: p.stop, OnError: reportErrors(p.out)}
	for {
		size, about, _, err := in.ReadFrom(buf)
		if err != nil {
			if retry.After(err) { // at once after an ICMP refusal of an earlier packet, whose receiver has gone
				continue
			}
			return
		}
		retry.Reset()
		if about == nil {
			continue
		}
		near, ok := senderOf(about)
		if !ok {
			continue
		}
		if delay, passes := to.net.link(near).DrawPacket(); passes {
			p.deliver(to, buf[:size], delay)
		}
	}
}

// senderOf is the near end that sent a packet, by the address that it sent to. ok is false for an address outside the experiment.
func senderOf(about *ipv4.ControlMessage) (near int, ok bool) {
	at, ok := netip.AddrFromSlice(about.Dst)
	if !ok {
		return 0, false
	}
	near = link.NearIndex(at.Unmap())
	return near, near >= 0
}

// deliver sends a packet on after a delay. It copies the packet if it has to wait.
func (p *peers) deliver(to *front, packet []byte, delay time.Duration) {
	if delay <= 0 {
		p.sendPacket(to, packet)
		return
	}
	if p.delayed.Add(1) > maxDelayedPackets {
		p.delayed.Add(-1)
		return
	}
	waiting := append([]byte(nil), packet...)
	time.AfterFunc(delay, func() {
		p.delayed.Add(-1)
		p.sendPacket(to, waiting)
	})
}

// sendPacket sends a packet to a sidecar and counts it, unless the sidecar has gone.
func (p *peers) sendPacket(to *front, packet []byte) {
	if _, err := to.packets.WriteToUDPAddrPort(packet, to.sidecar); err != nil {
		return
	}
	p.traffic.packets.Add(1)
	p.traffic.packetBytes.Add(int64(len(packet)))
}

// acceptStreams forwards the streams to a sidecar until the front is closed.
func (p *peers) acceptStreams(to *front) {
	for {
		accepted, near, err := to.streams.Accept(p.stop)
		if err != nil {
			return
		}
		p.traffic.streams.Add(1)
		conn := link.Wrap(accepted, to.net.link(near))
		p.tasks.Add(1)
		go func() {
			defer p.tasks.Done()
			countBytes := func(n int64) { p.traffic.streamBytes.Add(n) }
			forwardStream(conn, to.sidecar.String(), countBytes, func(far net.Conn, _ string) { countBytes(copyBytes(conn, far)) })
		}()
	}
}

// recordTraffic records once a second what was forwarded in it.
func (p *peers) recordTraffic(records *ctl.Records) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-p.stop:
			return
		}
		records.Add(ctl.Gossip{At: clock.Now(), Packets: p.traffic.packets.Swap(0), Bytes: p.traffic.packetBytes.Swap(0),
			Streams: p.traffic.streams.Swap(0), StreamBytes: p.traffic.streamBytes.Swap(0)})
	}
}
