package sidecar

import (
	"context"
	"log/slog"
	"path/filepath"
	"testing"
)

// TestSiblingLock runs two processes at the same time: each detects the other, and also that the other has been killed.
func TestSiblingLock(t *testing.T) {
	path := startPlatform(t, configText(startRegistry(t).address, serving(1, startBackend(t, respondWith(200, "", "ok"))), testSettings))
	b, err := newSiblingLock(filepath.Join(path.dir, "gradeusher-n0.json"))
	if err != nil {
		t.Fatal(err)
	}
	defer b.close()
	if is, err := b.hasSibling(); is || err != nil {
		t.Fatalf("another process before there is one: %v, error %v", is, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	updates := make(chan bool, 1)
	go b.follow(ctx, func(is bool) { updates <- is })
	s := path.start()
	if !within(t, updates, "the other process") {
		t.Error("a running process is not detected")
	}
	if err := s.process.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	if within(t, updates, "its end") {
		t.Error("a process that has ended is reported as running")
	}
}

// TestShare shares the limits with another process, and restores them.
func TestShare(t *testing.T) {
	c, err := load(t, configText("127.0.0.1:9", "", testSettings))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	driver, err := newHost(ctx, c, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	s := newServer(c, driver)
	limits := func() [4]int64 {
		return [4]int64{s.maxPending.Load(), s.connections.idleThreshold.Load(), s.connections.maxConns.Load(), driver.upstream.budget.limit.Load()}
	}
	whole := limits()
	s.shareLimits(true)
	for i, half := range limits() {
		if 4*half > 3*whole[i] || 3*half < whole[i] {
			t.Errorf("limit %d: %d with another process, %d alone", i, half, whole[i])
		}
	}
	s.shareLimits(false)
	if limits() != whole {
		t.Errorf("limits %v once alone again, %v before", limits(), whole)
	}
	cancel()
	driver.watchers.Wait()
}
