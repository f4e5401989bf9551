package registry

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/list"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// asked is a call for the list.
type asked struct {
	from    int64  // the revision that the caller holds; below 0: none
	cluster string // whose revision that is; "": not said, as by an unchanged sidecar
	ages    bool   // the caller wants to hear how old the list may be
	exact   bool   // the answer has to hold every write that was acknowledged before
	watch   bool
}

func parseAsked(r *http.Request) (asked, error) {
	q := r.URL.Query()
	a := asked{from: -1, cluster: q.Get("cluster"), ages: q.Get("ages") == "1", exact: q.Get("exact") == "1", watch: q.Get("watch") == "1"}
	if v := q.Get("watch"); v != "" && v != "1" && v != "0" {
		return a, badf("watch=%.40q is neither 0 nor 1", v)
	}
	if v := q.Get("from"); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < 0 {
			return a, badf("from=%.40q is no revision", v)
		}
		a.from = n
	}
	return a, nil
}

// servers answers the whole list, or a watch.
func (k *Node) servers(w http.ResponseWriter, r *http.Request) {
	a, err := parseAsked(r)
	if err == nil && a.watch {
		err = k.watch(w, r, a)
		if err != nil {
			k.refuse(w, "watch", err)
		}
		return
	}
	k.admit("list", func(w http.ResponseWriter, r *http.Request) error {
		if err != nil {
			return err
		}
		return k.list(w, r, a)
	})(w, r)
}

// list answers the whole list.
func (k *Node) list(w http.ResponseWriter, r *http.Request, a asked) error {
	if a.exact {
		if err := k.replica.Confirm(r.Context()); err != nil {
			return err
		}
	} else if _, err := k.catchUp(r, a); err != nil {
		return err
	}
	line, rev, err := k.store.all()
	if err != nil {
		return err
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(line)))
	h.Set(HeaderRevision, strconv.FormatInt(rev, 10))
	_, _ = w.Write(line) // to a caller who may have gone
	return nil
}

// reach is where a caller's revision or generation stands to what this keeper knows.
type reach int

const (
	reached reach = iota // this keeper knows it
	foreign              // it is another cluster's
	beyond               // it lies ahead of the last there is
)

// reach waits until this keeper knows what a caller holds, so that nobody is shown what goes back. ahead tells whether that lies
// ahead, and when to look again. The error is errBehind where it could not be known in time, or the call's end.
func (k *Node) reach(r *http.Request, cluster string, ahead func() (bool, <-chan struct{})) (reach, error) {
	deadline := time.NewTimer(millis(k.config.Limits.BehindMS))
	defer deadline.Stop()
	for {
		is, changed := ahead()
		own := ""
		k.store.read(func(m *state.Machine) { own = m.Cluster() })
		switch {
		case own != "" && cluster != "" && cluster != own:
			return foreign, nil
		case !is:
			return reached, nil
		case own == "":
		case k.replica.Confirm(r.Context()) == nil:
			return beyond, nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			return beyond, errBehind
		case <-r.Context().Done():
			return beyond, r.Context().Err()
		}
	}
}

// catchUp waits until this keeper knows the revision that a caller holds, and returns from where the caller goes on; below 0:
// what he holds is no revision of this list, and he needs the whole of it.
func (k *Node) catchUp(r *http.Request, a asked) (from int64, err error) {
	var n news
	at, err := k.reach(r, a.cluster, func() (bool, <-chan struct{}) {
		n = k.store.after(a.from)
		return n.ahead, n.changed
	})
	switch {
	case errors.Is(err, errBehind):
		return 0, fmt.Errorf("%w: it knows revision %d, not %d", errBehind, n.rev, a.from)
	case err != nil:
		return 0, err
	case at == beyond && a.cluster != "":
		return 0, &state.Error{Code: state.Conflict, Reason: fmt.Sprintf("revision %d lies ahead: the list is at %d", a.from, n.rev)}
	case at != reached: // another cluster's, or an unchanged sidecar's from another list service: the whole list says whose it is (PROTOCOL)
		return -1, nil
	}
	return a.from, nil
}

// enter takes a place among watchers, which the caller gives back. It refuses where there is none, or too many come at once.
func (k *Node) enter(watchers *atomic.Int64) error {
	if !k.starts.Allow() {
		return errStart
	}
	if watchers.Add(1) > int64(k.config.Limits.Watchers) {
		watchers.Add(-1)
		return errPlaces
	}
	return nil
}

// begin begins the answer of a watch, and returns when it has to say something though nothing changed.
func begin(w http.ResponseWriter, ages bool) *time.Ticker {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	every := list.HeartbeatInterval * 3 / 4 // so that a slow network brings it in time
	if ages {
		every = list.AgeInterval
	}
	return time.NewTicker(every)
}

// watch writes what changes after a revision until the caller goes, is too slow, or this keeper ends. Every line names the
// revision that the watcher then holds, so he can go on from there anywhere.
func (k *Node) watch(w http.ResponseWriter, r *http.Request, a asked) error {
	if err := k.enter(&k.watchers); err != nil {
		return err
	}
	defer k.watchers.Add(-1)
	from, err := k.catchUp(r, a)
	if err != nil {
		return err
	}
	if _, _, err := k.store.all(); err != nil {
		return err
	}
	beat := begin(w, a.ages)
	defer beat.Stop()
	for first, ok := true, true; ok; first = false {
		n := k.store.after(from)
		if n.ahead { // the state was replaced by an older one, which only happens with revisions raised; never show it
			return nil
		}
		lines := n.lines
		from = n.rev
		if n.whole {
			var line []byte
			if line, from, err = k.store.all(); err != nil {
				return nil // its answer has begun: all there is to say is to end it
			}
			lines = [][]byte{line}
		}
		if first || len(lines) > 0 { // the first says that the watch is open, also where there is nothing new
			ok = k.say(w, lines...)
			continue // there may be more by now
		}
		select {
		case <-n.changed:
		case <-beat.C:
			line := []byte("\n")
			if a.ages {
				age, known := k.replica.Age()
				if !known {
					age = -time.Second
				}
				line = k.store.beat(from, age)
			}
			ok = k.say(w, line)
		case <-r.Context().Done():
			return nil
		case <-k.ending:
			return nil
		}
	}
	return nil
}

// say writes lines to a watcher, each flush within the time that a slow one has. It tells false where the watch is over.
func (k *Node) say(w http.ResponseWriter, lines ...[]byte) bool {
	out := http.NewResponseController(w)
	err := out.SetWriteDeadline(time.Now().Add(millis(k.config.Limits.SlowMS)))
	for i := 0; i < len(lines) && err == nil; i++ {
		_, err = w.Write(lines[i])
	}
	if err == nil {
		err = out.Flush()
	}
	if err != nil {
		k.metrics.cut(errors.Is(err, os.ErrDeadlineExceeded))
	}
	return err == nil
}
