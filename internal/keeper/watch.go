package keeper

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"gradeusher.example/gradeusher/internal/list"
	"gradeusher.example/gradeusher/internal/state"
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
func (k *Keeper) servers(w http.ResponseWriter, r *http.Request) {
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
func (k *Keeper) list(w http.ResponseWriter, r *http.Request, a asked) error {
	if a.exact {
		if err := k.replica.Confirm(r.Context()); err != nil {
			return err
		}
	} else if err := k.catchUp(r, a); err != nil {
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

// catchUp waits until this keeper knows the revision that a caller holds, so that nobody is shown one that goes back.
func (k *Keeper) catchUp(r *http.Request, a asked) error {
	deadline := time.NewTimer(millis(k.config.Limits.BehindMS))
	defer deadline.Stop()
	for {
		n := k.store.after(a.from)
		if !n.ahead {
			return nil
		}
		cluster := ""
		k.store.read(func(m *state.Machine) { cluster = m.Cluster() })
		switch {
		case cluster == "":
		case a.cluster != "" && a.cluster != cluster:
			return nil // his revisions are another cluster's: he gets the whole list, which says whose it is
		case k.replica.Confirm(r.Context()) != nil:
		case a.cluster != "":
			return &state.Error{Code: state.Conflict, Reason: fmt.Sprintf("revision %d lies ahead: the list is at %d", a.from, n.rev)}
		default:
			return nil // an unchanged sidecar with another list service's revision: it gets the whole list (PROTOCOL)
		}
		select {
		case <-n.changed:
		case <-deadline.C:
			return fmt.Errorf("%w: it knows revision %d, not %d", errBehind, n.rev, a.from)
		case <-r.Context().Done():
			return r.Context().Err()
		}
	}
}

// watch writes what changes after a revision until the caller goes, is too slow, or this keeper ends. Every line names the
// revision that the watcher then holds, so he can go on from there anywhere.
func (k *Keeper) watch(w http.ResponseWriter, r *http.Request, a asked) error {
	if !k.starts.Allow() {
		return errStart
	}
	if k.watchers.Add(1) > int64(k.config.Limits.Watchers) {
		k.watchers.Add(-1)
		return errPlaces
	}
	defer k.watchers.Add(-1)
	if err := k.catchUp(r, a); err != nil {
		return err
	}
	from := a.from
	if n := k.store.after(from); n.ahead {
		from = -1
	} else if a.cluster != "" {
		k.store.read(func(m *state.Machine) {
			if m.Cluster() != a.cluster {
				from = -1
			}
		})
	}
	if _, _, err := k.store.all(); err != nil {
		return err
	}
	out := http.NewResponseController(w)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	every := list.Heartbeat * 3 / 4 // so that a slow network brings it in time
	if a.ages {
		every = list.AgeBeat
	}
	beat := time.NewTicker(every)
	defer beat.Stop()
	first := true
	for {
		n := k.store.after(from)
		if n.ahead { // the state was replaced by an older one, which only happens with revisions raised; never show it
			return nil
		}
		var err error
		if len(n.lines) > 0 || n.whole || first {
			err = out.SetWriteDeadline(time.Now().Add(millis(k.config.Limits.SlowMS)))
		}
		switch {
		case err != nil:
		case n.whole:
			var line []byte
			if line, from, err = k.store.all(); err == nil {
				_, err = w.Write(line)
			}
		default:
			for _, line := range n.lines {
				if _, err = w.Write(line); err != nil {
					break
				}
			}
			from = n.rev
		}
		if err == nil && (first || n.whole || len(n.lines) > 0) {
			err = out.Flush()
		}
		if err != nil {
			k.metrics.cut(errors.Is(err, os.ErrDeadlineExceeded))
			return nil // its answer has begun: all there is to say is to end it
		}
		first = false
		select {
		case <-n.changed:
			continue
		default:
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
			if err = out.SetWriteDeadline(time.Now().Add(millis(k.config.Limits.SlowMS))); err == nil {
				if _, err = w.Write(line); err == nil {
					err = out.Flush()
				}
			}
			if err != nil {
				k.metrics.cut(errors.Is(err, os.ErrDeadlineExceeded))
				return nil
			}
		case <-r.Context().Done():
			return nil
		case <-k.ending:
			return nil
		}
	}
}
