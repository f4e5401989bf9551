package standin

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"

	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/link"
)

// Relay forwards calls to registry nodes over links with faults until the orders end. Near ends are numbered: the first sidecars
// ones are sidecars, the first readers ones may read the list. What a node writes of the list to a reader goes to the file
// listLines line by line, what it writes of routes to a sidecar to routeLines, and what a sidecar was notified of, server by server,
// to notified. Relay returns the first error of reading orders or of writing records.
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
	out := ctl.NewEventWriter(news)
	forwarder := &relay{out: out, sidecars: sidecars, readers: readers, notified: notifiedRecords, listLines: listRecords,
		routeLines: routeRecords, networks: map[string]*network{}, stop: make(chan struct{})}
	out.Send(ctl.Event{Kind: ctl.EventReady, At: clock.Now()})
	err = handleOrders(orders, out, forwarder.handleOrder)
	forwarder.close()
	return errors.Join(err, notifiedRecords.Close(), listRecords.Close(), routeRecords.Close())
}

// relay is the network in front of registry nodes. Orders come one at a time.
type relay struct {
	out        *ctl.EventWriter
	sidecars   int
	readers    int
	notified   *ctl.Records
	listLines  *ctl.Records
	routeLines *ctl.Records
	networks   map[string]*network // by the node's name
	listeners  []*link.Listener
	stop       chan struct{} // closed when the orders end
	tasks      sync.WaitGroup
	lastConn   atomic.Int64 // number of the latest connection that is recorded
}

// close ends every connection and waits until all is recorded.
func (r *relay) close() {
	close(r.stop)
	for _, listener := range r.listeners {
		_ = listener.Close() // that it listens no more is all that matters
	}
	for _, nodeNet := range r.networks {
		nodeNet.forEach(nil, (*link.Link).Reset)
	}
	r.tasks.Wait()
}

// handleOrder applies an order of the lab to the network in front of the node UID, which the first order for it makes.
func (r *relay) handleOrder(order ctl.Order, acknowledgement *ctl.Event) error {
	nodeNet := r.networks[order.UID]
	if nodeNet == nil {
		nodeNet = newNetwork()
		r.networks[order.UID] = nodeNet
	}
	switch order.Do {
	case ctl.CommandFront:
		port, err := r.listen(order, nodeNet)
		if err != nil {
			return err
		}
		acknowledgement.Ports = []int{port}
	case ctl.CommandLink, ctl.CommandReset, ctl.CommandForget:
		nodeNet.apply(order)
	default:
		return unknownCommandError(order.Do)
	}
	return nil
}

// listen opens a port in front of a node and returns it.
func (r *relay) listen(order ctl.Order, nodeNet *network) (int, error) {
	listener, err := link.Listen(0)
	if err != nil {
		return 0, err
	}
	listener.BySource, listener.OnError = order.BySource, reportErrors(r.out)
	r.listeners = append(r.listeners, listener)
	r.tasks.Add(1)
	go func() {
		defer r.tasks.Done()
		r.accept(listener, nodeNet, registryNode{order.UID, order.Front})
	}()
	return listener.Port(), nil
}

// registryNode is the name and the address of the node that calls are forwarded to.
type registryNode struct {
	name    string
	address string
}

// accept forwards the connections of a listener until that is closed.
func (r *relay) accept(listener *link.Listener, nodeNet *network, node registryNode) {
	for {
		accepted, near, err := listener.Accept(r.stop)
		if err != nil {
			return
		}
		conn := link.Wrap(accepted, nodeNet.link(near))
		r.tasks.Add(1)
		go func() {
			defer r.tasks.Done()
			r.forward(conn, near, node)
		}()
	}
}

// forward copies bytes both ways until either end closes, and records what a node writes of the list and of routes.
func (r *relay) forward(conn *link.Conn, near int, node registryNode) {
	forwardStream(conn, node.address, nil, func(far net.Conn, request string) {
		switch {
		case near < r.readers && strings.HasPrefix(request, "GET /v1/servers"):
			observed := newListObservation(request)
			observed.Near, observed.Node, observed.Conn = near, node.name, r.lastConn.Add(1)
			forwardObserved(conn, far, func(line []byte, at int64) { r.recordListLine(observed, line, at) })
		case near < r.sidecars && strings.HasPrefix(request, "GET /v1/routes"):
			observed := ctl.RouteUpdate{Near: near, Node: node.name, Conn: r.lastConn.Add(1)}
			forwardObserved(conn, far, func(line []byte, at int64) { r.recordRouteLine(observed, line, at) })
		default:
			copyBytes(conn, far)
		}
	})
}
