package standin

import (
	"io"
	"net/http/httputil"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/link"
)

const (
	noRevision     = -1 // of a sidecar that holds no list
	staleRevisions = 20 // that a stale snapshot is behind
)

// update is the next object of a watch.
type update struct {
	text    []byte        // empty: nothing is new
	entries []ctl.Entry   // that the text notifies of
	next    int64         // the revision that the sidecar then holds
	wait    time.Duration // until the text may be written
}

// ready reports whether there is something to write now.
func (u update) ready() bool { return len(u.text) > 0 && u.wait <= 0 }

// watch writes what changes after a revision until the connection ends.
func (l *platformList) watch(conn *link.Conn, near int, from int64) {
	out := httputil.NewChunkedWriter(conn)
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	staleWritten := false // since the list is stale
	for {
		l.mu.Lock()
		changed, mode := l.changed, l.mode
		pending := l.nextUpdate(near, from)
		if mode == listStale && !staleWritten {
			pending = l.staleUpdate(near, from)
		}
		staleWritten = mode == listStale
		l.mu.Unlock()
		if pending.ready() {
			if !l.writeUpdate(out, conn, near, mode, pending) {
				return
			}
			from = pending.next
			continue
		}
		if !l.waitForUpdate(out, conn, pending, changed, heartbeat.C) {
			return
		}
	}
}

// writeUpdate writes an object as the list's fault leaves it, and reports whether the watch goes on.
func (l *platformList) writeUpdate(out io.Writer, conn *link.Conn, near int, mode listMode, pending update) bool {
	text := pending.text
	switch mode {
	case listGarbled:
		text = append([]byte(`{"rev":x`), text[len(text)/2:]...)
	case listTruncated:
		_, _ = out.Write(text[:len(text)/2]) // the watch ends in either case
		return false
	}
	if _, err := out.Write(append(text, '\n')); err != nil {
		return false
	}
	return mode == listGarbled || l.recordNotified(conn, near, pending.entries)
}

// waitForUpdate waits until the list changed, the pending update is due, or a heartbeat was written. It reports false where the
// connection or the list ended.
func (l *platformList) waitForUpdate(out io.Writer, conn *link.Conn, pending update, changed <-chan struct{}, heartbeat <-chan time.Time) bool {
	wait := pending.wait
	if len(pending.text) == 0 {
		wait = time.Hour
	}
	due := time.NewTimer(wait)
	defer due.Stop()
	select {
	case <-changed:
	case <-due.C:
	case <-heartbeat:
		_, err := out.Write([]byte{'\n'})
		return err == nil
	case <-conn.PeerClosed():
		return false
	case <-l.stop:
		return false
	}
	return true
}

// recordNotified records what a sidecar was notified of. It reports false where the connection ended before all was written.
func (l *platformList) recordNotified(conn *link.Conn, near int, entries []ctl.Entry) bool {
	at, ok := conn.WaitFlushed()
	if !ok {
		return false
	}
	for _, e := range entries {
		l.records.Add(ctl.ListUpdate{Near: near, UID: e.UID, State: e.State, At: at})
	}
	return true
}

// nextUpdate is the next object for a sidecar that holds revision from: a snapshot where the changes after it are not there, else
// all changes that have reached this sidecar. The caller holds l.mu.
func (l *platformList) nextUpdate(near int, from int64) update {
	if len(l.changes) == 0 {
		return update{next: from}
	}
	if from < l.firstRevision-1 || from > l.revision() {
		text, entries := l.snapshot(near, l.revision())
		return update{text: text, entries: entries, next: l.revision()}
	}
	var entries []ctl.Entry
	next := from
	for next < l.revision() {
		following := l.changes[next+1-l.firstRevision]
		wait := clock.Until(following.at + int64(l.propagationDelay(near, next+1)))
		if wait > 0 && len(entries) == 0 {
			return update{text: []byte("{}"), next: from, wait: wait}
		}
		if wait > 0 {
			break
		}
		entries = append(entries, following.entry)
		next++
	}
	if len(entries) == 0 {
		return update{next: from}
	}
	return update{text: l.encode(near, next, false, entries), entries: entries, next: next}
}

// staleUpdate is a snapshot of an earlier revision, after which the sidecar holds the revision that it held. The caller holds l.mu.
func (l *platformList) staleUpdate(near int, from int64) update {
	text, entries := l.snapshot(near, max(l.firstRevision, l.revision()-staleRevisions))
	return update{text: text, entries: entries, next: from}
}

// propagationDelay is how much later than the list a sidecar learns of a revision: a pseudo-random delay that is the same for
// the same sidecar and revision. The caller holds l.mu.
func (l *platformList) propagationDelay(near int, revision int64) time.Duration {
	hash := xxhash.Sum64String(strconv.Itoa(near) + " " + strconv.FormatInt(revision, 10))
	delay := time.Duration(hash % uint64(maxPropagationDelay))
	if l.mode == listLate {
		delay += l.updateDelay
	}
	return delay
}
