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
func Relay(orders io.Reader, news io.Writer, sidecars, readers int, told, shown, routes string) error {
	t, err := ctl.NewRecords(told)
	if err != nil {
		return err
	}
	s, err := ctl.NewRecords(shown)
	if err != nil {
		return errors.Join(err, t.Close())
	}
	table, err := ctl.NewRecords(routes)
	if err != nil {
		return errors.Join(err, t.Close(), s.Close())
	}
	r := &relay{sidecars: sidecars, readers: readers, told: t, shown: s, routes: table, nets: map[string]*network{}, stop: make(chan struct{})}
	out := ctl.NewEventWriter(news)
	out.Send(ctl.Event{Kind: "ready", At: clock.Now()})
	err = obeyAll(orders, out, r.obey)
	close(r.stop)
	for _, l := range r.fronts {
		l.Close()
	}
	for _, n := range r.nets {
		n.each(nil, (*link.Link).Reset)
	}
	r.tasks.Wait()
	return errors.Join(err, t.Close(), s.Close(), table.Close())
}

// relay is the network in front of keepers. Orders come one at a time.
type relay struct {
	sidecars    int
	readers     int
	told, shown *ctl.Records
	routes      *ctl.Records
	nets        map[string]*network // by the keeper's name
	fronts      []*link.Listener
	stop        chan struct{}
	tasks       sync.WaitGroup
	conns       atomic.Int64
}

func (r *relay) obey(o ctl.Order, n *ctl.Event) error {
	net := r.nets[o.UID]
	if net == nil {
		net = newNetwork()
		r.nets[o.UID] = net
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
		net.change(o)
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
			r.lead(w, near, keeper, to)
		}()
	}
}

const relayDial = time.Second

// lead passes a client's bytes both ways until either end is through, and notes what a keeper says of the list.
func (r *relay) lead(near *link.Conn, index int, keeper, to string) {
	leadStream(near, to, nil, func(far net.Conn, first string) {
		switch {
		case index < r.readers && strings.HasPrefix(first, "GET /v1/servers"):
			r.listen(near, far, index, keeper, first)
		case index < r.sidecars && strings.HasPrefix(first, "GET /v1/routes"):
			s := ctl.RouteUpdate{Near: index, Node: keeper, Conn: r.conns.Add(1)}
			r.overhear(near, far, func(line []byte, at int64) { r.noteRoutes(s, line, at) })
		default:
			pass(near, far)
		}
	})
}

// leadStream passes bytes on to an address, and has back pass on what comes from there, until either end is through. sent, if set,
// is told how many bytes went there.
func leadStream(near *link.Conn, to string, sent func(int64), back func(far net.Conn, first string)) {
	defer near.Close()
	// Danger: a call that the network holds back must not come up at the far end either, or it would show there.
	first := make([]byte, 16<<10)
	n, err := near.Read(first)
	if err != nil {
		return
	}
	far, err := net.DialTimeout("tcp4", to, relayDial)
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
			all += pass(far, near)
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

// pass copies until either end is through, which shows at the other end. Danger: the connections' own shorter ways of copying
// would lead past the link.
func pass(to io.Writer, from io.Reader) int64 {
	n, _ := io.Copy(struct{ io.Writer }{to}, struct{ io.Reader }{from})
	return n
}

// listen passes on what a keeper writes and notes what it says of the list, when that has reached the near end.
func (r *relay) listen(near *link.Conn, far net.Conn, index int, keeper, request string) {
	s := ctl.RegistryUpdate{Near: index, Node: keeper, Conn: r.conns.Add(1), KnownRevision: -1}
	if req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(request))); err == nil {
		q := req.URL.Query()
		s.Watch, s.Cluster = q.Get("watch") == "1", q.Get("cluster")
		if n, err := strconv.ParseInt(q.Get("from"), 10, 64); err == nil {
			s.KnownRevision = n
		}
	}
	r.overhear(near, far, func(line []byte, at int64) {
		if l, err := list.Parse(line); err == nil { // an empty line says nothing
			r.note(s, l, at)
		}
	})
}

// overhear passes on what a keeper writes, and hands each line of an answer on with when it has reached the near end.
func (r *relay) overhear(near *link.Conn, far net.Conn, each func(line []byte, at int64)) {
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
		lines.Buffer(nil, list.MaxListBytes)
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
			t, ok := near.WaitFlushed()
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

func (r *relay) note(s ctl.RegistryUpdate, l list.List, at int64) {
	s.Rev, s.Complete, s.ServerCount, s.At, s.Cluster = l.Rev, l.All, len(l.Targets), at, l.Cluster
	r.shown.Add(s)
	if s.Near >= r.sidecars {
		return
	}
	for _, t := range l.Targets {
		r.told.Add(ctl.ListUpdate{Near: s.Near, UID: t.UID, State: string(t.State), At: at})
	}
}
