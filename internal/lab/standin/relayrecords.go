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

// recordRoutes notes a line that a keeper wrote of its route table.
func (r *relay) recordRoutes(s ctl.Routes, line []byte, at int64) {
	if len(line) == 0 || json.Unmarshal(line, &s) != nil {
		return // it says nothing
	}
	s.Bytes, s.At = len(line)+1, at
	r.routeLines.Add(s)
}

// forwardList passes on what a keeper writes and notes what it says of the list, when that has reached the near end.
func (r *relay) forwardList(near *link.Conn, far net.Conn, index int, keeper, request string) {
	s := ctl.Shown{Near: index, Keeper: keeper, Conn: r.conns.Add(1), Holds: -1}
	if req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(request))); err == nil {
		q := req.URL.Query()
		s.Watch, s.Cluster = q.Get("watch") == "1", q.Get("cluster")
		if n, err := strconv.ParseInt(q.Get("from"), 10, 64); err == nil {
			s.Holds = n
		}
	}
	r.forwardObserved(near, far, func(line []byte, at int64) {
		if l, err := list.Parse(line); err == nil { // an empty line says nothing
			r.recordList(s, l, at)
		}
	})
}

// forwardObserved passes on what a keeper writes, and hands each line of an answer on with when it has reached the near end.
func (r *relay) forwardObserved(near *link.Conn, far net.Conn, each func(line []byte, at int64)) {
	var at atomic.Int64
	copies, feed := io.Pipe()
	var read sync.WaitGroup
	read.Add(1)
	go func() {
		defer read.Done()
		defer copies.Close()
		resp, err := http.ReadResponse(bufio.NewReader(copies), nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			return // a refusal says nothing of the list
		}
		lines := bufio.NewScanner(resp.Body)
		lines.Buffer(nil, list.MostText)
		for lines.Scan() {
			each(lines.Bytes(), at.Load())
		}
	}()
	buf := make([]byte, 64<<10)
	for {
		n, err := far.Read(buf)
		if n > 0 {
			if _, err := near.Write(buf[:n]); err != nil {
				break
			}
			t, ok := near.Flushed()
			if !ok {
				break
			}
			at.Store(t)
			_, _ = feed.Write(buf[:n]) // the reader may have had enough
		}
		if err != nil {
			break
		}
	}
	feed.Close()
	read.Wait()
}

func (r *relay) recordList(s ctl.Shown, l list.List, at int64) {
	s.Rev, s.All, s.N, s.At, s.Cluster = l.Rev, l.All, len(l.Targets), at, l.Cluster
	r.listLines.Add(s)
	if s.Near >= r.sidecars {
		return
	}
	for _, t := range l.Targets {
		r.notified.Add(ctl.Told{Near: s.Near, UID: t.UID, State: string(t.State), At: at})
	}
}
