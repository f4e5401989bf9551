package client

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/list"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// When a node goes silent.
type silence string

const (
	beforeAnswer silence = "before its answer"
	afterHeader  silence = "after it"
	afterLine    silence = "after a line"
)

const (
	silentAddress = "127.0.0.1:1"
	liveAddress   = "127.0.0.2:1"
)

// pipedNodes are a node that goes silent and one that writes an update every second, over pipes in memory.
type pipedNodes struct {
	t       *testing.T
	ctx     context.Context // ends the nodes
	tasks   sync.WaitGroup
	silence silence
	line    any // that the silent node writes
	update  any // that the other one writes
}

// dial implements http.Transport.DialContext.
func (p *pipedNodes) dial(_ context.Context, _, address string) (net.Conn, error) {
	near, far := net.Pipe()
	p.tasks.Go(func() { p.serve(far, address) })
	return near, nil
}

func (p *pipedNodes) serve(conn net.Conn, address string) {
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(p.ctx, func() { _ = conn.Close() })
	defer stop()
	buffer := make([]byte, 4096)
	if _, err := conn.Read(buffer); err != nil {
		return
	}
	p.tasks.Go(func() { _, _ = io.Copy(io.Discard, conn) }) // until the caller closes
	if address == liveAddress {
		p.writeHeader(conn)
		for p.ctx.Err() == nil {
			p.writeLine(conn, p.update)
			time.Sleep(time.Second)
		}
		return
	}
	if p.silence != beforeAnswer {
		p.writeHeader(conn)
	}
	if p.silence == afterLine {
		p.writeLine(conn, p.line)
	}
	<-p.ctx.Done()
}

func (p *pipedNodes) writeHeader(conn net.Conn) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
}

func (p *pipedNodes) writeLine(conn net.Conn, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		p.t.Error(err)
	}
	_, _ = fmt.Fprintf(conn, "%x\r\n%s\n\r\n", len(text)+1, text)
}

// watchCase is a kind of watch, with the line of the silent node and the update of the other one.
type watchCase struct {
	line, update any
	// newRun returns the Run of a subscriber that begins at the silent node, and calls onUpdate with the other one's update.
	newRun func(t *testing.T, nodes *pipedNodes, onUpdate func()) func(context.Context)
}

func newListRun(t *testing.T, nodes *pipedNodes, onUpdate func()) func(context.Context) {
	t.Helper()
	subscriber, err := NewListSubscriber(ListOptions{
		Registry:     []string{silentAddress, liveAddress},
		ShrinkLimits: ShrinkLimits{MaxShare: 1},
		Log:          slog.New(slog.DiscardHandler),
		OnUpdate: func(update ListUpdate) {
			for _, target := range update.Targets {
				if target.UID == "s-1" && target.State == list.Serving {
					onUpdate()
				}
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	subscriber.http.DialContext, subscriber.next = nodes.dial, 0
	return subscriber.Run
}

func newRoutesRun(t *testing.T, nodes *pipedNodes, onUpdate func()) func(context.Context) {
	t.Helper()
	subscriber, err := NewRouteSubscriber(RouteOptions{
		Registry: []string{silentAddress, liveAddress},
		Log:      slog.New(slog.DiscardHandler),
		OnUpdate: func(update RouteUpdate) {
			if update.Generation == 9 {
				onUpdate()
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	subscriber.http.DialContext, subscriber.next = nodes.dial, 0
	return subscriber.Run
}

// TestWatchTimeout has a node go silent, before its answer, after it, and after some lines: within the 6 s after which an update that was missed counts as
// published (STANDING), the other node is watched and has published it.
func TestWatchTimeout(t *testing.T) {
	for path, watch := range map[string]watchCase{
		"/v1/servers": {line: completeList(5, 0), update: completeList(9, 1), newRun: newListRun},
		"/v1/routes":  {line: completeTable(5, weights(5)), update: completeTable(9, weights(9)), newRun: newRoutesRun},
	} {
		for _, silent := range []silence{beforeAnswer, afterHeader, afterLine} {
			t.Run(path+" "+string(silent), func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) { checkWatchTimeout(t, watch, silent) })
			})
		}
	}
}

func checkWatchTimeout(t *testing.T, watch watchCase, silent silence) {
	t.Helper()
	const bound = 6 * time.Second
	start := time.Now()
	ctx, cancel := context.WithCancel(t.Context())
	nodes := &pipedNodes{t: t, ctx: ctx, silence: silent, line: watch.line, update: watch.update}
	defer nodes.tasks.Wait()
	defer cancel()
	updates := make(chan time.Duration, 16)
	run := watch.newRun(t, nodes, func() { updates <- time.Since(start) })
	nodes.tasks.Go(func() { run(ctx) })
	if after := <-updates; after > bound/2 {
		t.Errorf("published %v after the watch went silent", after)
	}
}
