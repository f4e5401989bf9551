package registry

import (
	"errors"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// watchQuery is what the calls for list, routes and roles have in common.
type watchQuery struct {
	from     int64  // the revision or generation that the client has; below 0: none
	cluster  string // whose revision that is; "": not said, as by sidecars of before
	withAges bool   // heartbeats are to say how old the node's state may be
	exact    bool   // the answer must have every write that was acknowledged before
	watch    bool   // the answer goes on
}

func parseWatchQuery(r *http.Request) (watchQuery, error) {
	values := r.URL.Query()
	asked := watchQuery{
		from:     -1,
		cluster:  values.Get("cluster"),
		withAges: values.Get("ages") == "1",
		exact:    values.Get("exact") == "1",
		watch:    values.Get("watch") == "1",
	}
	if text := values.Get("watch"); text != "" && text != "1" && text != "0" {
		return asked, invalidf("watch=%.40q is neither 0 nor 1", text)
	}
	if text := values.Get("from"); text != "" {
		from, err := strconv.ParseInt(text, 10, 64)
		if err != nil || from < 0 {
			return asked, invalidf("from=%.40q is no revision", text)
		}
		asked.from = from
	}
	return asked, nil
}

// query is a call that is answered at once or by a watch.
type query struct {
	watch    bool
	err      error       // why the call is refused; nil: it is valid
	op       string      // name in metrics where it is answered at once
	watchOp  string      // name where it is a watch
	answer   callHandler // answers at once
	runWatch callHandler // returns an error only where it has written nothing
}

// serveQuery answers a call at once, among the calls in progress, or by a watch.
func (n *Node) serveQuery(w http.ResponseWriter, r *http.Request, q query) {
	if q.err == nil && q.watch {
		if err := q.runWatch(w, r); err != nil {
			n.refuse(w, q.watchOp, err)
		}
		return
	}
	n.admit(q.op, func(w http.ResponseWriter, r *http.Request) error {
		if q.err != nil {
			return q.err
		}
		return q.answer(w, r)
	})(w, r)
}

// position is where a client's revision or generation stands.
type position int

const (
	positionKnown   position = iota // this node knows it
	positionForeign                 // it is another cluster's
	positionUnknown                 // it is later than the leader's
)

// waitUntilKnown waits until this node knows the revision that a client of a cluster has, so that no client is shown an older state than it has.
// isKnown reports whether the revision is not later than this node's, and returns a channel that is closed when that may change. Errors are
// errBehind where the node did not catch up in time, or that of the call's context.
func (n *Node) waitUntilKnown(r *http.Request, cluster string, isKnown func() (known bool, changed <-chan struct{})) (position, error) {
	deadline := time.NewTimer(milliseconds(n.config.Limits.CatchUpMS))
	defer deadline.Stop()
	for {
		known, changed := isKnown()
		own := n.store.cluster()
		switch {
		case own != "" && cluster != "" && cluster != own:
			return positionForeign, nil
		case known:
			return positionKnown, nil
		case own == "":
		case n.replica.Confirm(r.Context()) == nil:
			return positionUnknown, nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			return positionUnknown, errBehind
		case <-r.Context().Done():
			return positionUnknown, r.Context().Err()
		}
	}
}

// admitWatch counts a watch among the open ones, from which the caller takes it off. It refuses one too many, or too many starts at a time.
func (n *Node) admitWatch(watchers *atomic.Int64) error {
	if !n.watchStarts.Allow() {
		return errTooManyStarts
	}
	if watchers.Add(1) > int64(n.config.Limits.MaxWatchers) {
		watchers.Add(-1)
		return errTooManyWatches
	}
	return nil
}

// watchStream writes the answer of a watch. The caller closes it.
type watchStream struct {
	n         *Node
	w         http.ResponseWriter
	r         *http.Request
	heartbeat *time.Ticker
}

// watchEvent is what a watch has to react to.
type watchEvent int

const (
	watchEnded     watchEvent = iota // the client is gone, or the node ends
	watchChanged                     // there may be something new
	watchHeartbeat                   // nothing changed for an interval
)

// beginWatch writes the header of a watch's answer. After that the call cannot be refused any more.
func (n *Node) beginWatch(w http.ResponseWriter, r *http.Request, withAges bool) *watchStream {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	interval := list.HeartbeatInterval * 3 / 4 // so that it arrives in time over a slow network
	if withAges {
		interval = list.AgeInterval
	}
	return &watchStream{n: n, w: w, r: r, heartbeat: time.NewTicker(interval)}
}

func (s *watchStream) close() { s.heartbeat.Stop() }

// wait returns the next event. changed is closed when there is something new.
func (s *watchStream) wait(changed <-chan struct{}) watchEvent {
	select {
	case <-changed:
		return watchChanged
	case <-s.heartbeat.C:
		return watchHeartbeat
	case <-s.r.Context().Done():
		return watchEnded
	case <-s.n.ending:
		return watchEnded
	}
}

// write writes lines within the time that a slow client has, and returns whether the watch goes on.
func (s *watchStream) write(lines ...[]byte) bool {
	controller := http.NewResponseController(s.w)
	err := controller.SetWriteDeadline(time.Now().Add(milliseconds(s.n.config.Limits.SlowWatcherMS)))
	for i := 0; i < len(lines) && err == nil; i++ {
		_, err = s.w.Write(lines[i])
	}
	if err == nil {
		err = controller.Flush()
	}
	if err != nil {
		s.n.metrics.recordWatchEnd(errors.Is(err, os.ErrDeadlineExceeded))
	}
	return err == nil
}

// emptyLine says that a watch is open.
var emptyLine = []byte("\n")
