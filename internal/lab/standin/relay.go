package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/link"
	"gradeusher.example/gradeusher/internal/sidecar/list"
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

const relayDialTimeout = time.Second

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

// forwardStream passes bytes on to an address, and has back pass on what comes from there, until either end is through. sent, if set,
// is told how many bytes went there.
func forwardStream(near *link.Conn, to string, sent func(int64), back func(far net.Conn, first string)) {
	defer near.Close()
	// Danger: a call that the network holds back must not come up at the far end either, or it would show there.
	first := make([]byte, 16<<10)
	n, err := near.Read(first)
	if err != nil {
		return
	}
	far, err := net.DialTimeout("tcp4", to, relayDialTimeout)
	if err != nil {
		near.Reset()
		return
	}
	defer far.Close()
	var both sync.WaitGroup
	both.Add(1)
	go func() {
		defer both.Done()
		all := int64(n)
		if _, err := far.Write(first[:n]); err == nil {
			all += copyBytes(far, near)
		}
		if sent != nil {
			sent(all)
		}
		far.Close() // which ends the other way
	}()
	back(far, string(first[:n]))
	near.Close() // which ends the first way
	both.Wait()
}

// copyBytes copies until either end is through, which shows at the other end. Danger: the connections' own shorter ways of copying
// would lead past the link.
func copyBytes(to io.Writer, from io.Reader) int64 {
	n, _ := io.Copy(struct{ io.Writer }{to}, struct{ io.Reader }{from})
	return n
}

// forwardList passes on what a keeper writes and notes what it says of the list, when that has reached the near end.
func (r *relay) forwardList(near *link.Conn, far net.Conn, index int, keeper, request string) {
	s := ctl.Shown{Near: index, Keeper: keeper, Conn: r.conns.Add(1), Holds: -1}
	if req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(request))); err == nil {
		q := req.URL.Query()
		s.Watch, s.Cluster = q.Get("watch") == "1", q.Get("cluster")
		if n, err := strconv.ParseInt(q.Get("from"), 10, 64); err == nil {
			s.Holds = n
		}
	}
	r.forwardObserved(near, far, func(line []byte, at int64) {
		if l, err := list.Parse(line); err == nil { // an empty line says nothing
			r.recordList(s, l, at)
		}
	})
}

// forwardObserved passes on what a keeper writes, and hands each line of an answer on with when it has reached the near end.
func (r *relay) forwardObserved(near *link.Conn, far net.Conn, each func(line []byte, at int64)) {
	var at atomic.Int64
	copies, feed := io.Pipe()
	var read sync.WaitGroup
	read.Add(1)
	go func() {
		defer read.Done()
		defer copies.Close()
		resp, err := http.ReadResponse(bufio.NewReader(copies), nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			return // a refusal says nothing of the list
		}
		lines := bufio.NewScanner(resp.Body)
		lines.Buffer(nil, list.MostText)
		for lines.Scan() {
			each(lines.Bytes(), at.Load())
		}
	}()
	buf := make([]byte, 64<<10)
	for {
		n, err := far.Read(buf)
		if n > 0 {
			if _, err := near.Write(buf[:n]); err != nil {
				break
			}
			t, ok := near.Flushed()
			if !ok {
				break
			}
			at.Store(t)
			_, _ = feed.Write(buf[:n]) // the reader may have had enough
		}
		if err != nil {
			break
		}
	}
	feed.Close()
	read.Wait()
}

func (r *relay) recordList(s ctl.Shown, l list.List, at int64) {
	s.Rev, s.All, s.N, s.At, s.Cluster = l.Rev, l.All, len(l.Targets), at, l.Cluster
	r.listLines.Add(s)
	if s.Near >= r.sidecars {
		return
	}
	for _, t := range l.Targets {
		r.notified.Add(ctl.Told{Near: s.Near, UID: t.UID, State: string(t.State), At: at})
	}
}
