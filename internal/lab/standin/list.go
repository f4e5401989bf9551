package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/link"
)

const (
	heartbeatInterval   = 2 * time.Second
	maxPropagationDelay = 100 * time.Millisecond // within which a change reaches all sidecars
	maxChanges          = 10000                  // changes that a watch can go on from
)

// Groups says which group of listeners each sidecar, by its index, belongs to.
type Groups []int

// List runs the platform's list of servers in discovery's form until the orders end. port 0 is any that is free.
func List(orders io.Reader, news io.Writer, groups Groups, port int, records string) error {
	r, err := ctl.NewRecords(records)
	if err != nil {
		return err
	}
	at, err := link.Listen(port)
	if err != nil {
		return errors.Join(err, r.Close())
	}
	l := &platformList{groups: groups, records: r, net: newNetwork(), entries: map[string]ctl.Entry{}, changed: make(chan struct{}),
		stop: make(chan struct{}), listener: at}
	l.tasks.Add(1)
	go l.accept()
	out := ctl.NewOut(news)
	out.Say(ctl.News{Kind: "ready", Ports: []int{at.Port()}, At: clock.Now()})
	err = handleOrders(orders, out, func(o ctl.Order, _ *ctl.News) error { return l.handleOrder(o) })
	close(l.stop)
	at.Close()
	l.net.forEach(nil, (*link.Link).Reset)
	l.tasks.Wait()
	return errors.Join(err, r.Close())
}

// platformList is what is known, and who watches it.
type platformList struct {
	groups   Groups
	records  *ctl.Records
	net      *network
	listener *link.Listener
	stop     chan struct{}
	tasks    sync.WaitGroup

	mu            sync.Mutex
	entries       map[string]ctl.Entry
	order         []string // of entries, as they came
	changes       []change // the last ones; that of revision r is at r - first
	firstRevision int64
	mode          string
	updateDelay   time.Duration
	changed       chan struct{} // closed when anything here changes
}

type change struct {
	at    int64
	entry ctl.Entry
}

func (l *platformList) handleOrder(order ctl.Order) error {
	l.mu.Lock()
	defer func() {
		close(l.changed)
		l.changed = make(chan struct{})
		l.mu.Unlock()
	}()
	switch order.Do {
	case "list":
		if order.Entry == nil {
			return errors.New("list: no entry")
		}
		l.addChange(*order.Entry)
	case "list-mode":
		l.mode, l.updateDelay = order.Mode, time.Duration(order.Late*float64(time.Second))
	case "link":
		l.net.apply(order)
		if order.Cut != nil {
			return l.listener.Cut(*order.Cut)
		}
	case "reset", "forget":
		l.net.apply(order)
	default:
		return fmt.Errorf("unknown order %q", order.Do)
	}
	return nil
}

func (l *platformList) addChange(e ctl.Entry) {
	if l.firstRevision == 0 {
		l.firstRevision = 1
	}
	if _, known := l.entries[e.UID]; !known {
		l.order = append(l.order, e.UID)
	}
	l.entries[e.UID] = e
	l.changes = append(l.changes, change{clock.Now(), e})
	if len(l.changes) > maxChanges {
		l.firstRevision += int64(len(l.changes) - maxChanges)
		l.changes = l.changes[len(l.changes)-maxChanges:]
	}
}

func (l *platformList) revision() int64 { return l.firstRevision + int64(len(l.changes)) - 1 }

func (l *platformList) accept() {
	defer l.tasks.Done()
	for {
		c, near, err := l.listener.Accept(l.stop)
		if err != nil {
			return
		}
		if near >= len(l.groups) {
			c.Close()
			continue
		}
		w := link.Wrap(c, l.net.link(near))
		l.tasks.Add(1)
		go func() {
			defer l.tasks.Done()
			defer w.Close()
			in := bufio.NewReader(w)
			for {
				r, err := http.ReadRequest(in)
				if err != nil || !l.answer(w, r, near) {
					return
				}
			}
		}()
	}
}

// answer answers one request. It tells false where the connection is over.
func (l *platformList) answer(c *link.Conn, r *http.Request, near int) bool {
	query := r.URL.Query()
	switch {
	case r.URL.Path != "/v1/servers":
		_, err := io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	case query.Get("watch") == "":
		l.mu.Lock()
		text, tell := l.snapshot(near, l.revision())
		garbled := l.mode == "garbled"
		l.mu.Unlock()
		if garbled {
			text = text[:len(text)/2]
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		return err == nil && l.recordNotified(c, near, tell)
	}
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		from = -1
	}
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return false
	}
	l.watch(c, near, from)
	return false
}
