package standin

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"

	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/link"
)

// Relay leads calls to keepers over links with faults until the orders end. Whatever a keeper writes of the list to one of
// the first readers near ends is noted line by line, and server by server for the first sidecars ones.
func Relay(orders io.Reader, news io.Writer, sidecars, readers int, notified, listLines, routeLines string) error {
	notifiedRecords, err := ctl.NewRecords(notified)
	if err != nil {
		return err
	}
	listRecords, err := ctl.NewRecords(listLines)
	if err != nil {
		return errors.Join(err, notifiedRecords.Close())
	}
	routeRecords, err := ctl.NewRecords(routeLines)
	if err != nil {
		return errors.Join(err, notifiedRecords.Close(), listRecords.Close())
	}
	r := &relay{sidecars: sidecars, readers: readers, notified: notifiedRecords, listLines: listRecords, routeLines: routeRecords, networks: map[string]*network{}, stop: make(chan struct{})}
	out := ctl.NewOut(news)
	out.Say(ctl.News{Kind: "ready", At: clock.Now()})
	err = handleOrders(orders, out, r.handleOrder)
	close(r.stop)
	for _, l := range r.fronts {
		l.Close()
	}
	for _, n := range r.networks {
		n.forEach(nil, (*link.Link).Reset)
	}
	r.tasks.Wait()
	return errors.Join(err, notifiedRecords.Close(), listRecords.Close(), routeRecords.Close())
}

// relay is the network in front of keepers. Orders come one at a time.
type relay struct {
	sidecars            int
	readers             int
	notified, listLines *ctl.Records
	routeLines          *ctl.Records
	networks            map[string]*network // by the keeper's name
	fronts              []*link.Listener
	stop                chan struct{}
	tasks               sync.WaitGroup
	conns               atomic.Int64
}

func (r *relay) handleOrder(o ctl.Order, n *ctl.News) error {
	net := r.networks[o.UID]
	if net == nil {
		net = newNetwork()
		r.networks[o.UID] = net
	}
	switch o.Do {
	case "front":
		l, err := link.Listen(0)
		if err != nil {
			return err
		}
		l.BySource = o.BySource
		r.fronts = append(r.fronts, l)
		n.Ports = []int{l.Port()}
		r.tasks.Add(1)
		go func() {
			defer r.tasks.Done()
			r.accept(l, net, o.UID, o.Front)
		}()
	case "link", "reset", "forget":
		net.apply(o)
	default:
		return fmt.Errorf("unknown order %q", o.Do)
	}
	return nil
}

func (r *relay) accept(l *link.Listener, n *network, keeper, to string) {
	for {
		c, near, err := l.Accept(r.stop)
		if err != nil {
			return
		}
		w := link.Wrap(c, n.link(near))
		r.tasks.Add(1)
		go func() {
			defer r.tasks.Done()
			r.forward(w, near, keeper, to)
		}()
	}
}

// forward passes a client's bytes both ways until either end is through, and notes what a keeper says of the list.
func (r *relay) forward(near *link.Conn, index int, keeper, to string) {
	forwardStream(near, to, nil, func(far net.Conn, first string) {
		switch {
		case index < r.readers && strings.HasPrefix(first, "GET /v1/servers"):
			r.forwardList(near, far, index, keeper, first)
		case index < r.sidecars && strings.HasPrefix(first, "GET /v1/routes"):
			s := ctl.Routes{Near: index, Keeper: keeper, Conn: r.conns.Add(1)}
			r.forwardObserved(near, far, func(line []byte, at int64) { r.recordRoutes(s, line, at) })
		default:
			copyBytes(near, far)
		}
	})
}
