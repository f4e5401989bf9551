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

// listMode is a fault of the list, as orders name it. The zero value is none.
type listMode string

const (
	listLate      listMode = "late"    // changes reach sidecars later
	listStale     listMode = "old"     // watches get a snapshot that is some revisions old
	listTruncated listMode = "cut"     // watches end within an object
	listGarbled   listMode = "garbled" // objects cannot be parsed
)

// Groups says which group of listeners each sidecar, by its index, belongs to.
type Groups []int

// List runs the platform's list of servers in discovery's form until the orders end. Port 0 is any that is free; the ready event
// says which. What sidecars were notified of goes to the file records. List returns the first error of reading orders or of
// writing records.
func List(orders io.Reader, news io.Writer, groups Groups, port int, records string) error {
	recorder, err := ctl.NewRecords(records)
	if err != nil {
		return err
	}
	listener, err := link.Listen(port)
	if err != nil {
		return errors.Join(err, recorder.Close())
	}
	out := ctl.NewEventWriter(news)
	listener.OnError = reportErrors(out)
	platform := &platformList{groups: groups, records: recorder, net: newNetwork(), entries: map[string]ctl.Entry{},
		changed: make(chan struct{}), stop: make(chan struct{}), listener: listener}
	platform.tasks.Add(1)
	go platform.accept()
	out.Send(ctl.Event{Kind: ctl.EventReady, Ports: []int{listener.Port()}, At: clock.Now()})
	err = handleOrders(orders, out, func(o ctl.Order, _ *ctl.Event) error { return platform.handleOrder(o) })
	close(platform.stop)
	_ = listener.Close() // that it listens no more is all that matters
	platform.net.forEach(nil, (*link.Link).Reset)
	platform.tasks.Wait()
	return errors.Join(err, recorder.Close())
}

// platformList is the list's entries, its latest changes, and the fault that it has.
type platformList struct {
	groups   Groups
	records  *ctl.Records
	net      *network // its links, by index of the sidecar
	listener *link.Listener
	stop     chan struct{} // closed when the orders end
	tasks    sync.WaitGroup

	mu            sync.Mutex
	entries       map[string]ctl.Entry // by UID, with those that are deleted
	order         []string             // UIDs in the order in which they came
	changes       []change             // the latest ones; that of revision r is at r - firstRevision
	firstRevision int64
	mode          listMode
	updateDelay   time.Duration // of listLate
	changed       chan struct{} // closed when anything here changes
}

// change is an entry's new state and when it came, in ns of the lab's clock.
type change struct {
	at    int64
	entry ctl.Entry
}

// handleOrder applies an order of the lab, and wakes the watches.
func (l *platformList) handleOrder(order ctl.Order) error {
	l.mu.Lock()
	defer func() {
		close(l.changed)
		l.changed = make(chan struct{})
		l.mu.Unlock()
	}()
	switch order.Do {
	case ctl.CommandUpdateList:
		if order.Entry == nil {
			return errors.New("list: the order has no entry")
		}
		l.addChange(*order.Entry)
	case ctl.CommandListMode:
		l.mode, l.updateDelay = listMode(order.Mode), time.Duration(order.Late*float64(time.Second))
	case ctl.CommandLink:
		l.net.apply(order)
		if order.Partitioned != nil {
			return l.listener.SetPartitioned(*order.Partitioned)
		}
	case ctl.CommandReset, ctl.CommandForget:
		l.net.apply(order)
	default:
		return unknownCommandError(order.Do)
	}
	return nil
}

// addChange applies an entry's new state as the next revision. The caller holds l.mu.
func (l *platformList) addChange(entry ctl.Entry) {
	if l.firstRevision == 0 {
		l.firstRevision = 1
	}
	if _, known := l.entries[entry.UID]; !known {
		l.order = append(l.order, entry.UID)
	}
	l.entries[entry.UID] = entry
	l.changes = append(l.changes, change{clock.Now(), entry})
	if surplus := len(l.changes) - maxChanges; surplus > 0 {
		l.firstRevision += int64(surplus)
		l.changes = l.changes[surplus:]
	}
}

// revision is that of the latest change. The caller holds l.mu.
func (l *platformList) revision() int64 { return l.firstRevision + int64(len(l.changes)) - 1 }

// accept serves the connections of sidecars until the list ends.
func (l *platformList) accept() {
	defer l.tasks.Done()
	for {
		accepted, near, err := l.listener.Accept(l.stop)
		if err != nil {
			return
		}
		if near >= len(l.groups) {
			_ = accepted.Close() // a caller who is no sidecar gets nothing
			continue
		}
		conn := link.Wrap(accepted, l.net.link(near))
		l.tasks.Add(1)
		go func() {
			defer l.tasks.Done()
			l.serve(conn, near)
		}()
	}
}

// serve answers requests on one connection until either side ends it.
func (l *platformList) serve(conn *link.Conn, near int) {
	defer func() { _ = conn.Close() }() // the near end may have closed it already
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil || !l.handleRequest(conn, request, near) {
			return
		}
	}
}

// handleRequest answers one request and reports whether the connection can carry another.
func (l *platformList) handleRequest(conn *link.Conn, r *http.Request, near int) (reusable bool) {
	query := r.URL.Query()
	switch {
	case r.URL.Path != "/v1/servers":
		_, err := io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	case query.Get("watch") == "":
		return l.writeSnapshot(conn, near)
	}
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		from = noRevision
	}
	const header = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := io.WriteString(conn, header); err != nil {
		return false
	}
	l.watch(conn, near, from)
	return false
}

// writeSnapshot writes the complete list as one response and reports whether the sidecar got it.
func (l *platformList) writeSnapshot(conn *link.Conn, near int) bool {
	l.mu.Lock()
	text, entries := l.snapshot(near, l.revision())
	garbled := l.mode == listGarbled
	l.mu.Unlock()
	if garbled {
		text = text[:len(text)/2]
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	return err == nil && l.recordNotified(conn, near, entries)
}
