package standin

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/link"
	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// newListObservation is what a request for the list says of its reader.
func newListObservation(request string) ctl.RegistryUpdate {
	observed := ctl.RegistryUpdate{KnownRevision: -1}
	parsed, err := http.ReadRequest(bufio.NewReader(strings.NewReader(request)))
	if err != nil {
		return observed
	}
	query := parsed.URL.Query()
	observed.Watch, observed.Cluster = query.Get("watch") == "1", query.Get("cluster")
	if from, err := strconv.ParseInt(query.Get("from"), 10, 64); err == nil {
		observed.KnownRevision = from
	}
	return observed
}

// recordListLine records a line of the list that reached a reader at a time. Heartbeats, which are empty, are left out.
func (r *relay) recordListLine(observed ctl.RegistryUpdate, line []byte, at int64) {
	received, err := list.Parse(line)
	if err != nil {
		return
	}
	observed.Rev, observed.Complete, observed.ServerCount = received.Rev, received.All, len(received.Targets)
	observed.At, observed.Cluster = at, received.Cluster
	r.listLines.Add(observed)
	if observed.Near >= r.sidecars {
		return
	}
	for _, target := range received.Targets {
		r.notified.Add(ctl.ListUpdate{Near: observed.Near, UID: target.UID, State: string(target.State), At: at})
	}
}

// recordRouteLine records a line of a route table that reached a sidecar at a time. Heartbeats, which are empty, are left out.
func (r *relay) recordRouteLine(observed ctl.RouteUpdate, line []byte, at int64) {
	if len(line) == 0 || json.Unmarshal(line, &observed) != nil {
		return
	}
	observed.Bytes, observed.At = len(line)+1, at
	r.routeLines.Add(observed)
}

const observedBufferBytes = 64 << 10

// forwardObserved copies what a node writes, and hands each line of a response to observe with the time at which it had reached the
// near end, in ns of the lab's clock. A line may be observed with the time of the read after its own, as it is parsed meanwhile.
func forwardObserved(near *link.Conn, far net.Conn, observe func(line []byte, at int64)) {
	var arrivedAt atomic.Int64
	copies, feed := io.Pipe()
	var parsing sync.WaitGroup
	parsing.Add(1)
	go func() {
		defer parsing.Done()
		defer func() { _ = copies.Close() }() // never fails
		scanResponse(copies, func(line []byte) { observe(line, arrivedAt.Load()) })
	}()
	buf := make([]byte, observedBufferBytes)
	for {
		n, err := far.Read(buf)
		if n > 0 {
			at, ok := writeFlushed(near, buf[:n])
			if !ok {
				break
			}
			arrivedAt.Store(at)
			_, _ = feed.Write(buf[:n]) // the parser may have ended
		}
		if err != nil {
			break
		}
	}
	_ = feed.Close() // never fails
	parsing.Wait()
}

// writeFlushed writes bytes, waits until they have reached the near end, and returns when that was.
func writeFlushed(near *link.Conn, p []byte) (at int64, ok bool) {
	if _, err := near.Write(p); err != nil {
		return 0, false
	}
	return near.WaitFlushed()
}

// scanResponse hands on the lines of a successful response. A refusal says nothing of the list.
func scanResponse(from io.Reader, observe func(line []byte)) {
	resp, err := http.ReadResponse(bufio.NewReader(from), nil) //nolint:bodyclose // closing would read the rest, which the pipe's end drops
	if err != nil || resp.StatusCode != http.StatusOK {
		return
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, list.MaxListBytes)
	for lines.Scan() {
		observe(lines.Bytes())
	}
}
