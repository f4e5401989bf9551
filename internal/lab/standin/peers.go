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
	p := &peers{fronts: map[string]*front{}, stop: make(chan struct{})}
	out := ctl.NewEventWriter(news)
	out.Send(ctl.Event{Kind: "ready", At: clock.Now()})
	p.tasks.Add(1)
	go func() {
		defer p.tasks.Done()
		p.note(records)
	}()
	err = obeyAll(orders, out, p.obey)
	close(p.stop)
	for _, f := range p.fronts {
		f.streams.Close()
		f.packets.Close()
		f.net.each(nil, (*link.Link).Reset)
	}
	p.tasks.Wait()
	return errors.Join(err, records.Close())
}

// peers is the network between sidecars. Orders come one at a time.
type peers struct {
	fronts map[string]*front // by the sidecar behind it
	stop   chan struct{}
	tasks  sync.WaitGroup

	packets, bytes, streams, streamBytes atomic.Int64
	late                                 atomic.Int64 // packets that are on their way
}

// front is the port at which others reach one sidecar.
type front struct {
	net     *network
	streams *link.Listener
	packets *net.UDPConn
	to      netip.AddrPort // where it listens
}

func (p *peers) obey(o ctl.Order, n *ctl.Event) error {
	f := p.fronts[o.UID]
	switch {
	case o.Do == "front" && f == nil:
		to, err := netip.ParseAddrPort(o.Front)
		if err != nil {
			return fmt.Errorf("front: %w", err)
		}
		if f, err = p.open(to); err != nil {
			return err
		}
		p.fronts[o.UID] = f
		n.Ports = []int{f.streams.Port()}
		return nil
	case f == nil:
		return fmt.Errorf("%s: no sidecar %q", o.Do, o.UID)
	case o.Do == "link" || o.Do == "reset" || o.Do == "forget":
		f.net.change(o)
		return nil
	}
	return fmt.Errorf("unknown order %q", o.Do)
}

const openTries = 16 // a number that is free for streams may be taken for packets

func (p *peers) open(to netip.AddrPort) (*front, error) {
	f := &front{net: newNetwork(), to: to}
	var err error
	for range openTries {
		if f.streams, err = link.Listen(0); err != nil {
			return nil, err
		}
		if f.packets, err = link.ListenPackets(f.streams.Port()); err == nil {
			break
		}
		f.streams.Close()
	}
	if err != nil {
		return nil, err
	}
	in := ipv4.NewPacketConn(f.packets)
	if err := in.SetControlMessage(ipv4.FlagDst, true); err != nil {
		return nil, errors.Join(fmt.Errorf("front: %w", err), f.streams.Close(), f.packets.Close())
	}
	p.tasks.Add(2)
	go func() {
		defer p.tasks.Done()
		p.lead(f, in)
	}()
	go func() {
		defer p.tasks.Done()
		p.accept(f)
	}()
	return f, nil
}

const (
	mostPacket = 64 << 10
	mostLate   = 1 << 16 // packets on their way in all: more are lost, as on a full queue
)

// lead passes packets on as their links allow: one that a link holds is lost.
func (p *peers) lead(f *front, in *ipv4.PacketConn) {
	buf := make([]byte, mostPacket)
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
		wait, passes := f.net.link(near).DrawPacket()
		if !passes {
			continue
		}
		if wait <= 0 {
			p.pass(f, buf[:n])
			continue
		}
		if p.late.Add(1) > mostLate {
			p.late.Add(-1)
			continue
		}
		data := append([]byte(nil), buf[:n]...)
		time.AfterFunc(wait, func() {
			p.late.Add(-1)
			p.pass(f, data)
		})
	}
}

func (p *peers) pass(f *front, data []byte) {
	if _, err := f.packets.WriteToUDPAddrPort(data, f.to); err == nil { // one that is gone hears nothing
		p.packets.Add(1)
		p.bytes.Add(int64(len(data)))
	}
}

func (p *peers) accept(f *front) {
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
			leadStream(w, f.to.String(), func(n int64) { p.streamBytes.Add(n) }, func(far net.Conn, _ string) { p.streamBytes.Add(pass(w, far)) })
		}()
	}
}

// note writes down once a second what passed in it.
func (p *peers) note(records *ctl.Records) {
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
