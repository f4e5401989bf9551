package standin

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

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

// watch writes what changes after a revision, until the connection ends.
func (l *platformList) watch(c *link.Conn, near int, from int64) {
	out := httputil.NewChunkedWriter(c)
	beat := time.NewTicker(heartbeatInterval)
	defer beat.Stop()
	old := false // the old list was written in this mode
	for {
		l.mu.Lock()
		changed, mode := l.changed, l.mode
		text, tell, next, wait := l.nextUpdate(near, from)
		if mode == "old" && !old {
			text, tell = l.snapshot(near, max(l.firstRevision, l.revision()-staleRevisions))
			next, wait = from, 0
		}
		old = mode == "old"
		l.mu.Unlock()
		if len(text) > 0 && wait <= 0 {
			switch mode {
			case "garbled":
				text = append([]byte(`{"rev":x`), text[len(text)/2:]...)
			case "cut":
				_, _ = out.Write(text[:len(text)/2])
				return
			}
			if _, err := out.Write(append(text, '\n')); err != nil {
				return
			}
			if from = next; mode != "garbled" && !l.recordNotified(c, near, tell) {
				return
			}
			continue
		}
		if len(text) == 0 {
			wait = time.Hour
		}
		due := time.NewTimer(wait)
		select {
		case <-changed:
		case <-due.C:
		case <-beat.C:
			if _, err := out.Write([]byte{'\n'}); err != nil {
				due.Stop()
				return
			}
		case <-c.Gone():
			due.Stop()
			return
		case <-l.stop:
			due.Stop()
			return
		}
		due.Stop()
	}
}

const staleRevisions = 20 // revisions that an old list is behind

// recordNotified notes what a sidecar has been written. It tells false where the connection ended before that was whole.
func (l *platformList) recordNotified(c *link.Conn, near int, entries []ctl.Entry) bool {
	at, ok := c.Flushed()
	if !ok {
		return false
	}
	for _, e := range entries {
		l.records.Add(ctl.Told{Near: near, UID: e.UID, State: e.State, At: at})
	}
	return true
}

// nextUpdate is the next object for a sidecar that holds revision from, the revision it then holds, and how long to wait before it
// is written. No text: nothing is new.
func (l *platformList) nextUpdate(near int, from int64) (text []byte, tell []ctl.Entry, next int64, wait time.Duration) {
	if len(l.changes) == 0 {
		return nil, nil, from, 0
	}
	if from < l.firstRevision-1 || from > l.revision() {
		text, tell = l.snapshot(near, l.revision())
		return text, tell, l.revision(), 0
	}
	next = from
	for next < l.revision() {
		c := l.changes[next+1-l.firstRevision]
		if w := clock.Until(c.at + int64(l.propagationDelay(near, next+1))); w > 0 {
			if len(tell) == 0 {
				return []byte("{}"), nil, from, w
			}
			break
		}
		tell = append(tell, c.entry)
		next++
	}
	if len(tell) == 0 {
		return nil, nil, from, 0
	}
	return l.encode(near, next, false, tell), tell, next, 0
}

// propagationDelay is how much later than the list a sidecar learns of a revision.
func (l *platformList) propagationDelay(near int, rev int64) time.Duration {
	h := xxhash.Sum64String(strconv.Itoa(near) + " " + strconv.FormatInt(rev, 10))
	d := time.Duration(h % uint64(maxPropagationDelay))
	if l.mode == "late" {
		d += l.updateDelay
	}
	return d
}

// snapshot is the list as it was at a revision; servers that came later are left out, and those that are gone.
func (l *platformList) snapshot(near int, rev int64) ([]byte, []ctl.Entry) {
	at := l.entries
	if rev < l.revision() {
		at = map[string]ctl.Entry{}
		for i := range l.changes {
			if l.firstRevision+int64(i) <= rev {
				at[l.changes[i].entry.UID] = l.changes[i].entry
			}
		}
	}
	var entries []ctl.Entry
	for _, uid := range l.order {
		if e, ok := at[uid]; ok && e.State != "DELETED" {
			entries = append(entries, e)
		}
	}
	return l.encode(near, rev, true, entries), entries
}

func (l *platformList) encode(near int, rev int64, all bool, entries []ctl.Entry) []byte {
	return EncodeList(near, l.groups[near], rev, all, entries)
}

// EncodeList is a list in discovery's form, for one sidecar of some group.
func EncodeList(near, group int, rev int64, all bool, entries []ctl.Entry) []byte {
	type target struct {
		UID      string  `json:"uid"`
		Endpoint string  `json:"endpoint"`
		Zone     string  `json:"az"`
		Kind     string  `json:"model"`
		Group    int     `json:"pod_group"`
		State    string  `json:"state"`
		Capacity float64 `json:"capacity_hint"`
		BootMS   int64   `json:"boot_ms"`
	}
	targets := make([]target, len(entries))
	for i, e := range entries {
		targets[i] = target{UID: e.UID, Zone: e.Zone, Kind: e.Kind, State: e.State, Capacity: e.Size, BootMS: e.BootMS}
		if group < len(e.Ports) {
			targets[i].Endpoint = fmt.Sprintf("%s:%d", link.Near(near), e.Ports[group])
		}
	}
	text, err := json.Marshal(struct {
		Rev     int64    `json:"rev"`
		All     bool     `json:"all"`
		Targets []target `json:"targets"`
	}{rev, all, targets})
	if err != nil {
		return nil // none of these fields can fail
	}
	return text
}
