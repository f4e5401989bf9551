package registry

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// servers handles GET /v1/servers: the complete list, or a watch.
func (n *Node) servers(w http.ResponseWriter, r *http.Request) {
	asked, err := parseWatchQuery(r)
	n.serveQuery(w, r, query{
		watch: asked.watch, err: err, op: "list", watchOp: "watch",
		answer:   func(w http.ResponseWriter, r *http.Request) error { return n.replyList(w, r, asked) },
		runWatch: func(w http.ResponseWriter, r *http.Request) error { return n.watchServers(w, r, asked) },
	})
}

func (n *Node) replyList(w http.ResponseWriter, r *http.Request, asked watchQuery) error {
	if asked.exact {
		if err := n.replica.Confirm(r.Context()); err != nil {
			return err
		}
	} else if _, err := n.resolveFrom(r, asked); err != nil {
		return err
	}
	line, revision, err := n.store.completeList()
	if err != nil {
		return err
	}
	w.Header().Set(HeaderRevision, strconv.FormatInt(revision, 10))
	replyBytes(w, "application/json", line)
	return nil
}

// resolveFrom waits until this node knows the revision that a client has, and returns the revision from which the client goes on; below 0:
// the client needs the complete list, since its own is none of this cluster.
func (n *Node) resolveFrom(r *http.Request, asked watchQuery) (from int64, err error) {
	var update listUpdate
	where, err := n.waitUntilKnown(r, asked.cluster, func() (known bool, changed <-chan struct{}) {
		update = n.store.updateAfter(asked.from)
		return !update.unknown, update.changed
	})
	switch {
	case errors.Is(err, errBehind):
		return 0, fmt.Errorf("%w: it knows revision %d, not %d", errBehind, update.revision, asked.from)
	case err != nil:
		return 0, err
	case where == positionUnknown && asked.cluster != "":
		return 0, &state.Error{Code: state.Conflict, Reason: fmt.Sprintf("revision %d lies ahead: the list is at %d", asked.from, update.revision)}
	case where != positionKnown:
		// Another cluster's, or a sidecar's of before from another list service. The complete list says whose it is (PROTOCOL).
		return -1, nil
	}
	return asked.from, nil
}

// watchServers writes the changes after a revision until the client is gone or too slow, or this node ends. Every line names the revision that
// the client has afterwards, with which it can resume at any node.
func (n *Node) watchServers(w http.ResponseWriter, r *http.Request, asked watchQuery) error {
	if err := n.admitWatch(&n.watchers); err != nil {
		return err
	}
	defer n.watchers.Add(-1)
	from, err := n.resolveFrom(r, asked)
	if err != nil {
		return err
	}
	if _, _, err := n.store.completeList(); err != nil {
		return err
	}
	stream := n.beginWatch(w, r, asked.withAges)
	defer stream.close()
	n.streamServers(stream, from, asked.withAges)
	return nil
}

func (n *Node) streamServers(stream *watchStream, from int64, withAges bool) {
	for first := true; ; first = false {
		update := n.store.updateAfter(from)
		if update.unknown { // the state was replaced by an older one: cannot happen, as a restore raises the revision
			return
		}
		lines := update.lines
		from = update.revision
		if update.complete {
			line, revision, err := n.store.completeList()
			if err != nil {
				return
			}
			lines, from = [][]byte{line}, revision
		}
		if first || len(lines) > 0 { // the first write says that the watch is open, also where there is nothing new
			if !stream.write(lines...) {
				return
			}
			continue // there may be more by now
		}
		switch stream.wait(update.changed) {
		case watchEnded:
			return
		case watchHeartbeat:
			if !stream.write(n.listHeartbeat(from, withAges)) {
				return
			}
		case watchChanged:
		}
	}
}

func (n *Node) listHeartbeat(revision int64, withAges bool) []byte {
	if !withAges {
		return emptyLine
	}
	age, known := n.replica.Age()
	if !known {
		age = -time.Second // which the line leaves out
	}
	return n.store.heartbeat(revision, age)
}
