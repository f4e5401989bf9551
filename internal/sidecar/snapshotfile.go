package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"net/url"
	"path/filepath"
	"syscall"
	"time"

	"gradeusher.example/gradeusher/balance"
	"gradeusher.example/gradeusher/internal/sidecar/sealed"
)

const (
	snapshotInterval = time.Second // a snapshot is written, while requests come
	maxSnapshotBytes = 4 << 20     // bytes of the file
)

var snapshotKind = sealed.Kind{Magic: "gradeusher-beliefs", FormatVersion: 1, MinReaderVersion: 1}

// snapshotFile is the file in which a process leaves what it learned of its servers to the next one. A new process that takes all
// servers for idle and sound sends to those that are full or broken until it has learned better, and a restart makes all sidecars
// new ones.
//
// Both processes of an upgrade write it. What the later one wrote stands: the earlier one, which ends last, has seen less since.
type snapshotFile struct {
	sealed.Cell[storedSnapshot]
	log       *slog.Logger
	startedAt int64 // of this process, greater than of those before; 0: nothing was looked up or left yet
}

// storedSnapshot is the file's form. Times in it are of the wall clock, in ns of Unix time, as each process's own begins elsewhere; 0: long ago.
type storedSnapshot struct {
	Saved int64 `json:"saved_ns"`
	Began int64 `json:"began_ns"` // the process that saved it; 0: one from before this was recorded
	balance.Snapshot
}

// newSnapshotFile keeps it in a folder, for a sidecar of a name.
func newSnapshotFile(folder, name string, log *slog.Logger) *snapshotFile {
	path := filepath.Join(folder, "beliefs-"+url.PathEscape(name)+".kept")
	return &snapshotFile{Cell: sealed.Cell[storedSnapshot]{Path: path, Kind: snapshotKind, MaxBytes: maxSnapshotBytes}, log: log}
}

// load reads what was left, in times from an origin on, and when. It reports false where there is nothing valid. What is invalid
// as this process begins is named in the log and quarantined; later it is another's to judge.
func (k *snapshotFile) load(origin time.Time) (balance.Snapshot, time.Time, bool) {
	b, err := k.Read()
	ok := err == nil
	if k.startedAt == 0 {
		if !ok {
			if b, ok, err = k.Load(); err != nil {
				k.log.Warn("beliefs", "err", err)
			}
		}
		// Where the wall clock went back, this process is the later one all the same.
		k.startedAt = max(time.Now().UnixNano(), b.Began+1)
	}
	if !ok {
		return balance.Snapshot{}, time.Time{}, false
	}
	return shiftStarts(b.Snapshot, -origin.UnixNano()), time.Unix(0, b.Saved), true
}

// save replaces what was left, unless by a process that began later, or by a later program. A disk may hold a process up with the
// lock taken, and the end of this one must not wait for it; so what is left meanwhile is that one's.
func (k *snapshotFile) save(b balance.Snapshot, origin, now time.Time) error {
	err := sealed.WithLock(k.Path, false, func() error {
		if there, err := k.Read(); errors.Is(err, sealed.ErrNewerFormat) || err == nil && there.Began > k.startedAt {
			return nil
		}
		return k.Save(storedSnapshot{now.UnixNano(), k.startedAt, shiftStarts(b, origin.UnixNano())})
	})
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil
	}
	return err
}

// shiftStarts has the starts of servers count from elsewhere. Who started long ago still did.
func shiftStarts(b balance.Snapshot, by int64) balance.Snapshot {
	all := make([]balance.EndpointSnapshot, len(b.Endpoints))
	for i, e := range b.Endpoints {
		for _, t := range []*balance.Time{&e.Started, &e.WarmUpStart} {
			if *t != 0 {
				*t = max(*t+balance.Time(by), 0)
			}
		}
		all[i] = e
	}
	b.Endpoints = all
	return b
}

// restoreSnapshot has the Balancer take over what the process before this one learned, as long as no request has come. The loop
// alone calls it, or nobody else does yet.
func (h *host) restoreSnapshot() {
	if h.snapshots == nil || h.lastID > 0 {
		return
	}
	if b, saved, ok := h.snapshots.load(h.origin); ok {
		// Without the monotonic clock's reading: a wall clock that went back makes what was kept come from the future, which counts for nothing.
		age := time.Now().Round(0).Sub(saved)
		h.log.Info("beliefs taken up", "servers", len(b.Endpoints), "age_ms", age.Milliseconds())
		h.balancer.Restore(h.now, b, age)
	}
}

// saveSnapshots writes what was learned, every snapshotInterval while requests come and once more when stop is done. A disk may
// take any time, in which the loop must go on.
func (h *host) saveSnapshots(stop context.Context) {
	tick := time.NewTicker(snapshotInterval)
	defer tick.Stop()
	bad := false
	for written, last := balance.RequestID(0), false; !last; {
		select {
		case <-tick.C:
		case <-stop.Done():
			last = true
		}
		var b balance.Snapshot
		upTo := written
		if !h.ask(func() {
			if upTo = h.lastID; upTo != written {
				b = h.balancer.Snapshot(h.now)
			}
		}) {
			return
		}
		if upTo == written {
			continue
		}
		written = upTo
		err := h.snapshots.save(b, h.origin, time.Now())
		if err != nil && !bad {
			h.log.Warn("beliefs", "err", err) // once, until it works again
		}
		bad = err != nil
	}
}
