package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"io/fs"
	"log/slog"
	"net/url"
	"path/filepath"
	"time"

	"gradeusher.example/gradeusher/balance"
	"gradeusher.example/gradeusher/internal/sealed"
)

const (
	keepEvery   = time.Second // what is believed is written, while requests come
	mostBeliefs = 4 << 20     // bytes of the file
)

var keptKind = sealed.Kind{Magic: "gradeusher-beliefs", Form: 1, Needs: 1}

// kept is the file in which a process leaves what it believes of its servers to the next one. Danger: a new process that takes all
// servers for idle and sound sends to those that are full or broken until it has learnt better, and a restart makes all
// sidecars new ones.
type kept struct {
	path string
	log  *slog.Logger
}

// beliefs is the file's form. Times in it are of the wall clock, in ns of Unix time, as each process's own begins elsewhere; 0: long ago.
type beliefs struct {
	Saved int64 `json:"saved_ns"`
	balance.Kept
}

// newKept keeps it in a folder, for a sidecar of a name.
func newKept(folder, name string, log *slog.Logger) *kept {
	return &kept{filepath.Join(folder, "beliefs-"+url.PathEscape(name)+".kept"), log}
}

// load is what was left, in times from an origin on, and when. It tells false where there is nothing sound; what is unsound is named in the log
// and set aside.
func (k *kept) load(origin time.Time) (balance.Kept, time.Time, bool) {
	b, err := k.read()
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return balance.Kept{}, time.Time{}, false
	case err != nil:
		aside, moved := sealed.SetAside(k.path)
		k.log.Warn("beliefs", "err", errors.Join(err, moved), "aside", aside)
		return balance.Kept{}, time.Time{}, false
	}
	return shifted(b.Kept, -origin.UnixNano()), time.Unix(0, b.Saved), true
}

func (k *kept) read() (b beliefs, err error) {
	text, err := sealed.ReadFile(k.path, mostBeliefs)
	if err != nil {
		return b, err
	}
	body, err := keptKind.Open(text)
	if err != nil {
		return b, err
	}
	return b, json.Unmarshal(body, &b)
}

// save replaces what was left.
func (k *kept) save(b balance.Kept, origin, now time.Time) error {
	body, err := json.Marshal(beliefs{now.UnixNano(), shifted(b, origin.UnixNano())})
	if err != nil {
		return err
	}
	return sealed.WriteFile(k.path, keptKind.Seal(body))
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
