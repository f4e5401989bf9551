package registry

import (
	"fmt"
	"net/http"
)

// watchRoutes writes a line for each generation that changes the client's view, until the client is gone or too slow, or this node ends. Each
// names the generation that the client has afterwards, with which it can resume at any node. Generations that come while a line is written
// make one line.
func (n *Node) watchRoutes(w http.ResponseWriter, r *http.Request, asked routesQuery) error {
	if err := n.admitWatch(&n.routeWatchers); err != nil {
		return err
	}
	defer n.routeWatchers.Add(-1)
	clientView, err := n.clientView(r, asked)
	if err != nil {
		return err
	}
	current, changed, err := n.currentView(clientView, asked.filter)
	if err != nil {
		return err
	}
	stream := n.beginWatch(w, r, asked.withAges)
	defer stream.close()
	watch := &routesWatch{n: n, stream: stream, asked: asked, from: asked.from, clientView: clientView, current: current, changed: changed}
	watch.run()
	return nil
}

// routesWatch is one watch of the route table.
type routesWatch struct {
	n          *Node
	stream     *watchStream
	asked      routesQuery
	from       int64           // the generation by which the client knows its view
	clientView *routeView      // what the client has; nil: it needs the complete table
	current    *routeView      // the view of the latest generation that was read
	changed    <-chan struct{} // closed when there is a newer one
}

func (rw *routesWatch) run() {
	line := emptyLine // says that the watch is open, also where there is nothing new
	for {
		if rw.clientView == nil || rw.clientView.hash != rw.current.hash {
			var err error
			if line, err = rw.n.encodeRoutes(rw.asked.filter, rw.from, rw.clientView, rw.current); err != nil {
				return
			}
			rw.from = rw.current.generation
		}
		rw.clientView = rw.current
		if line != nil && !rw.stream.write(line) {
			return
		}
		line = nil
		switch rw.stream.wait(rw.changed) {
		case watchEnded:
			return
		case watchChanged:
			if !rw.advance() {
				return
			}
		case watchHeartbeat:
			line = rw.heartbeat()
		}
	}
}

// advance reads the latest generation. It returns false where that cannot be had.
func (rw *routesWatch) advance() bool {
	var err error
	rw.current, rw.changed, err = rw.n.currentView(rw.clientView, rw.asked.filter)
	rw.clientView = rw.n.inHistory(rw.clientView)
	return err == nil
}

// heartbeat returns the line of a heartbeat. Where the client wants ages it names the generation that the client has now.
func (rw *routesWatch) heartbeat() []byte {
	age, known := rw.n.replica.Age()
	if !rw.asked.withAges || !known {
		return emptyLine
	}
	rw.from = rw.clientView.generation
	return fmt.Appendf(nil, "{\"gen\":%d,\"age_ms\":%d}\n", rw.from, age.Milliseconds())
}
