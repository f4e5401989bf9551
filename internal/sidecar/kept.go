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
	keepEvery   = time.Second // what is believed is written, while requests come
	mostBeliefs = 4 << 20     // bytes of the file
)

var keptKind = sealed.Kind{Magic: "gradeusher-beliefs", FormatVersion: 1, MinReaderVersion: 1}

// kept is the file in which a process leaves what it believes of its servers to the next one. Danger: a new process that takes all
// servers for idle and sound sends to those that are full or broken until it has learnt better, and a restart makes all
// sidecars new ones.
//
// Both processes of an upgrade write it. The later one's word stands: the earlier one, which ends last, has heard of less since.
type kept struct {
	sealed.Cell[beliefs]
	log   *slog.Logger
	began int64 // of this process, greater than of those before; 0: nothing was looked up or left yet
}

// beliefs is the file's form. Times in it are of the wall clock, in ns of Unix time, as each process's own begins elsewhere; 0: long ago.
type beliefs struct {
	Saved int64 `json:"saved_ns"`
	Began int64 `json:"began_ns"` // the process that saved it; 0: one from before this was told
	balance.Kept
}

// newKept keeps it in a folder, for a sidecar of a name.
func newKept(folder, name string, log *slog.Logger) *kept {
	path := filepath.Join(folder, "beliefs-"+url.PathEscape(name)+".kept")
	return &kept{Cell: sealed.Cell[beliefs]{Path: path, Kind: keptKind, MaxBytes: mostBeliefs}, log: log}
}

// load is what was left, in times from an origin on, and when. It tells false where there is nothing sound. What is unsound as this process
// begins is named in the log and set aside; later it is another's to judge.
func (k *kept) load(origin time.Time) (balance.Kept, time.Time, bool) {
	b, err := k.Read()
	ok := err == nil
	if k.began == 0 {
		if !ok {
			if b, ok, err = k.Load(); err != nil {
				k.log.Warn("beliefs", "err", err)
			}
		}
		// Where the wall clock went back, this process is the later one all the same.
		k.began = max(time.Now().UnixNano(), b.Began+1)
	}
	if !ok {
		return balance.Kept{}, time.Time{}, false
	}
	return shifted(b.Kept, -origin.UnixNano()), time.Unix(0, b.Saved), true
}

// save replaces what was left, unless by a process that began later, or by a later program. Danger: a disk may hold a process up with the
// lock taken, and the end of this one must not wait for it; so what is left meanwhile is that one's.
func (k *kept) save(b balance.Kept, origin, now time.Time) error {
	err := sealed.WithLock(k.Path, false, func() error {
		if there, err := k.Read(); errors.Is(err, sealed.ErrNewerFormat) || err == nil && there.Began > k.began {
			return nil
		}
		return k.Save(beliefs{now.UnixNano(), k.began, shifted(b, origin.UnixNano())})
	})
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil
	}
	return err
}

// shifted has the starts of servers count from elsewhere. Who started long ago still did.
func shifted(b balance.Kept, by int64) balance.Kept {
	all := make([]balance.KeptServer, len(b.Endpoints))
	for i, e := range b.Endpoints {
		for _, t := range []*balance.Time{&e.Started, &e.Cold} {
			if *t != 0 {
				*t = max(*t+balance.Time(by), 0)
			}
		}
		all[i] = e
	}
	b.Endpoints = all
	return b
}

// takeUp has the Balancer believe what the process before this one did, as long as no request has come. The loop alone calls it, or nobody
// else does yet.
func (h *host) takeUp() {
	if h.kept == nil || h.last > 0 {
		return
	}
	if b, saved, ok := h.kept.load(h.origin); ok {
		// Without the monotonic clock's reading: a wall clock that went back makes what was kept come from the future, which counts for nothing.
		age := time.Now().Round(0).Sub(saved)
		h.log.Info("beliefs taken up", "servers", len(b.Endpoints), "age_ms", age.Milliseconds())
		h.balancer.Remember(h.now, b, age)
	}
}

// leaveBeliefs writes what is believed, every keepEvery while requests come and once more when stop is done. Danger: a disk may take any
// time, in which the loop must go on.
func (h *host) leaveBeliefs(stop context.Context) {
	tick := time.NewTicker(keepEvery)
	defer tick.Stop()
	bad := false
	for written, last := balance.RequestID(0), false; !last; {
		select {
		case <-tick.C:
		case <-stop.Done():
			last = true
		}
		var b balance.Kept
		upTo := written
		if !h.ask(func() {
			if upTo = h.last; upTo != written {
				b = h.balancer.Keep(h.now)
			}
		}) {
			return
		}
		if upTo == written {
			continue
		}
		written = upTo
		err := h.kept.save(b, h.origin, time.Now())
		if err != nil && !bad {
			h.log.Warn("beliefs", "err", err) // once, until it works again
		}
		bad = err != nil
	}
}
