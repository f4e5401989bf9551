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
	snapshotInterval = time.Second // how often a snapshot is saved while requests arrive
	maxSnapshotBytes = 4 << 20     // size of the file
)

var snapshotKind = sealed.Kind{Magic: "gradeusher-beliefs", FormatVersion: 1, MinReaderVersion: 1}

// snapshotFile is the file in which a process saves what it learned of its servers for the next
// process. A new process that takes all servers for idle and healthy sends requests to those that are
// full or broken until it has learned better, and a restart of the fleet makes all sidecars new.
//
// During an upgrade both processes write the file. The later process's snapshot takes precedence: the
// earlier one, which ends last, has seen less since the later one started.
type snapshotFile struct {
	sealed.Cell[storedSnapshot]
	log       *slog.Logger
	startedAt int64 // when this process started, greater than for all processes before; 0: the file was not read yet
}

// storedSnapshot is the format of the file. Its times are wall clock times in ns of Unix time,
// because each process's own clock begins elsewhere; 0: long ago.
type storedSnapshot struct {
	Saved int64 `json:"saved_ns"`
	Began int64 `json:"began_ns"` // start of the process that saved it; 0: saved before this was recorded
	balance.Snapshot
}

// newSnapshotFile returns the file of a named sidecar in a folder.
func newSnapshotFile(folder, name string, log *slog.Logger) *snapshotFile {
	path := filepath.Join(folder, "beliefs-"+url.PathEscape(name)+".kept")
	return &snapshotFile{Cell: sealed.Cell[storedSnapshot]{Path: path, Kind: snapshotKind, MaxBytes: maxSnapshotBytes}, log: log}
}

// load reads the snapshot, with times relative to origin, and when it was saved. It reports false if
// there is no valid one. An invalid file is logged and quarantined only by the first call, as the
// process starts; later it is left to the process that will start next.
func (k *snapshotFile) load(origin time.Time) (balance.Snapshot, time.Time, bool) {
	b, err := k.Read()
	ok := err == nil
	if k.startedAt == 0 {
		if !ok {
			if b, ok, err = k.Load(); err != nil {
				k.log.Warn("snapshot: cannot load the file", "err", err)
			}
		}
		// If the wall clock went back, this process must still count as the later one.
		k.startedAt = max(time.Now().UnixNano(), b.Began+1)
	}
	if !ok {
		return balance.Snapshot{}, time.Time{}, false
	}
	return shiftStarts(b.Snapshot, -origin.UnixNano()), time.Unix(0, b.Saved), true
}

// save replaces the stored snapshot, unless it was saved by a process that started later, or is in a
// newer format. If another process holds the lock, save does nothing: a slow disk may make that
// process hold it for long, and this process's end must not wait for it.
func (k *snapshotFile) save(b balance.Snapshot, origin, now time.Time) error {
	err := sealed.WithLock(k.Path, false, func() error {
		if stored, err := k.Read(); errors.Is(err, sealed.ErrNewerFormat) || err == nil && stored.Began > k.startedAt {
			return nil
		}
		return k.Save(storedSnapshot{now.UnixNano(), k.startedAt, shiftStarts(b, origin.UnixNano())})
	})
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil
	}
	return err
}

// shiftStarts shifts the start times of servers by an offset. A start of 0, long ago, stays 0.
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

// restoreSnapshot has the Balancer restore the previous process's snapshot, if no request has arrived
// yet. It is called by the loop, or before the loop runs.
func (h *host) restoreSnapshot() {
	if h.snapshots == nil || h.lastID > 0 {
		return
	}
	if b, saved, ok := h.snapshots.load(h.origin); ok {
		// Round strips the monotonic clock reading. If the wall clock went back, the age is negative, and the
		// snapshot counts as one from the future, which the Balancer ignores.
		age := time.Now().Round(0).Sub(saved)
		h.log.Info("snapshot restored", "servers", len(b.Endpoints), "age_ms", age.Milliseconds())
		h.balancer.Restore(h.now, b, age)
	}
}

// saveSnapshots saves a snapshot every snapshotInterval while requests arrive, and once more when
// stop is done. It does not run in the loop, which a slow disk must not block.
func (h *host) saveSnapshots(stop context.Context) {
	tick := time.NewTicker(snapshotInterval)
	defer tick.Stop()
	failing := false
	for written, last := balance.RequestID(0), false; !last; {
		select {
		case <-tick.C:
		case <-stop.Done():
			last = true
		}
		var b balance.Snapshot
		latest := written
		if !h.ask(func() {
			if latest = h.lastID; latest != written {
				b = h.balancer.Snapshot(h.now)
			}
		}) {
			return
		}
		if latest == written {
			continue
		}
		written = latest
		err := h.snapshots.save(b, h.origin, time.Now())
		if err != nil && !failing {
			h.log.Warn("snapshot: cannot save the file", "err", err) // logged once, until saving works again
		}
		failing = err != nil
	}
}
