package standin

import (
	"net/http/httputil"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/link"
)

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
