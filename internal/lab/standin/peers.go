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

// Peers leads what sidecars say to each other over links with faults until the orders end. In front of each stands a port,
// for packets and for streams, which knows who calls by the address that he calls at, as servers do. What passed is noted once
// a second, for all together.
func Peers(orders io.Reader, news io.Writer, gossip string) error {
	records, err := ctl.NewRecords(gossip)
	if err != nil {
		return err
	}
	peerNetwork := &peers{fronts: map[string]*front{}, stop: make(chan struct{})}
	out := ctl.NewOut(news)
	out.Say(ctl.News{Kind: "ready", At: clock.Now()})
	peerNetwork.tasks.Add(1)
	go func() {
		defer peerNetwork.tasks.Done()
		peerNetwork.recordTraffic(records)
	}()
	err = handleOrders(orders, out, peerNetwork.handleOrder)
	close(peerNetwork.stop)
	for _, f := range peerNetwork.fronts {
		f.streams.Close()
		f.packets.Close()
		f.net.forEach(nil, (*link.Link).Reset)
	}
	peerNetwork.tasks.Wait()
	return errors.Join(err, records.Close())
}

// peers is the network between sidecars. Orders come one at a time.
type peers struct {
	fronts map[string]*front // by the sidecar behind it
	stop   chan struct{}
	tasks  sync.WaitGroup

	packets, bytes, streams, streamBytes atomic.Int64
	delayed                              atomic.Int64 // packets that are on their way
}

// front is the port at which others reach one sidecar.
type front struct {
	net     *network
	streams *link.Listener
	packets *net.UDPConn
	to      netip.AddrPort // where it listens
}

func (p *peers) handleOrder(order ctl.Order, n *ctl.News) error {
	destination := p.fronts[order.UID]
	switch {
	case order.Do == "front" && destination == nil:
		to, err := netip.ParseAddrPort(order.Front)
		if err != nil {
			return fmt.Errorf("front: %w", err)
		}
		if destination, err = p.open(to); err != nil {
			return err
		}
		p.fronts[order.UID] = destination
		n.Ports = []int{destination.streams.Port()}
		return nil
	case destination == nil:
		return fmt.Errorf("%s: no sidecar %q", order.Do, order.UID)
	case order.Do == "link" || order.Do == "reset" || order.Do == "forget":
		destination.net.apply(order)
		return nil
	}
	return fmt.Errorf("unknown order %q", order.Do)
}

const maxOpenAttempts = 16 // a number that is free for streams may be taken for packets

func (p *peers) open(to netip.AddrPort) (*front, error) {
	opened := &front{net: newNetwork(), to: to}
	var err error
	for range maxOpenAttempts {
		if opened.streams, err = link.Listen(0); err != nil {
			return nil, err
		}
		if opened.packets, err = link.ListenPackets(opened.streams.Port()); err == nil {
			break
		}
		opened.streams.Close()
	}
	if err != nil {
		return nil, err
	}
	in := ipv4.NewPacketConn(opened.packets)
	if err := in.SetControlMessage(ipv4.FlagDst, true); err != nil {
		return nil, errors.Join(fmt.Errorf("front: %w", err), opened.streams.Close(), opened.packets.Close())
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

const (
	maxPacketBytes    = 64 << 10
	maxDelayedPackets = 1 << 16 // packets on their way in all: more are lost, as on a full queue
)

// forwardPackets passes packets on as their links allow: one that a link holds is lost.
func (p *peers) forwardPackets(destination *front, in *ipv4.PacketConn) {
	buf := make([]byte, maxPacketBytes)
	for {
		n, about, _, err := in.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || about == nil {
			continue // a refusal by an earlier packet's target, which has gone
		}
		at, ok := netip.AddrFromSlice(about.Dst)
		near := -1
		if ok {
			near = link.NearIndex(at.Unmap())
		}
		if near < 0 {
			continue // nobody of the experiment
		}
		wait, passes := destination.net.link(near).Packet()
		if !passes {
			continue
		}
		if wait <= 0 {
			p.sendPacket(destination, buf[:n])
			continue
		}
		if p.delayed.Add(1) > maxDelayedPackets {
			p.delayed.Add(-1)
			continue
		}
		data := append([]byte(nil), buf[:n]...)
		time.AfterFunc(wait, func() {
			p.delayed.Add(-1)
			p.sendPacket(destination, data)
		})
	}
}

func (p *peers) sendPacket(f *front, data []byte) {
	if _, err := f.packets.WriteToUDPAddrPort(data, f.to); err == nil { // one that is gone hears nothing
		p.packets.Add(1)
		p.bytes.Add(int64(len(data)))
	}
}

func (p *peers) acceptStreams(f *front) {
	for {
		c, near, err := f.streams.Accept(p.stop)
		if err != nil {
			return
		}
		p.streams.Add(1)
		w := link.Wrap(c, f.net.link(near))
		p.tasks.Add(1)
		go func() {
			defer p.tasks.Done()
			forwardStream(w, f.to.String(), func(n int64) { p.streamBytes.Add(n) }, func(far net.Conn, _ string) { p.streamBytes.Add(copyBytes(w, far)) })
		}()
	}
}

// recordTraffic writes down once a second what passed in it.
func (p *peers) recordTraffic(records *ctl.Records) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-p.stop:
			return
		}
		records.Add(ctl.Gossip{At: clock.Now(), Packets: p.packets.Swap(0), Bytes: p.bytes.Swap(0), Streams: p.streams.Swap(0),
			StreamBytes: p.streamBytes.Swap(0)})
	}
}
