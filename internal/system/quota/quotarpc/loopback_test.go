package quotarpc

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/quota"
)

// serveLoopback serves a handler on a loopback port until the test ends.
func serveLoopback(tb testing.TB, handler http.Handler) (address string) {
	tb.Helper()
	listener, err := (&net.ListenConfig{}).Listen(tb.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	var wg sync.WaitGroup
	wg.Go(func() { _ = server.Serve(listener) })
	tb.Cleanup(func() {
		_ = server.Close()
		wg.Wait()
	})
	return listener.Addr().String()
}

// TestOverLoopback checks that a request reaches the limiter of another proxy over TCP, and that this limiter reaches the allocator.
// The allocator has just begun its term, so it cannot grant anything yet and the verdict is Unavailable. No goroutine may be left.
func TestOverLoopback(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	tenant := limitedTenant("t", 100, 50)
	chain := newFakeChain([]*config.Tenant{tenant}, "self")
	allocation := NewAllocationServer(AllocationOptions{Self: "self", Chain: chain, Bounds: testBounds, Log: discardLogger()})
	allocatorAddress := serveLoopback(t, allocation.Handler())
	transport := NewTransport()
	t.Cleanup(transport.CloseIdleConnections)
	limiter := NewLimiterServer(LimiterOptions{ID: quota.LimiterID{Node: "b", Incarnation: 1}, Bounds: testBounds,
		Followed: func() string { return allocatorAddress }, Transport: transport, Log: discardLogger()})
	limiter.SetConfig(chain.state.Config)
	own := ownLimiterFunc(unavailable)
	client := NewClient(ClientOptions{Self: "a", Limiter: own, Transport: transport, Log: discardLogger()})
	client.SetPeers([]Peer{{Node: "b", Address: serveLoopback(t, limiter.Handler())}})
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { limiter.Run(ctx) })
	admission := client.Admit(ctx, tenant)
	if err := limiter.Leave(ctx); err != nil {
		t.Error(err)
	}
	cancel()
	wg.Wait()
	client.Close()
	if admission.Verdict != quota.Unavailable || limiter.counters.takes.Load() == 0 || allocation.counters.leases.Load() < 2 {
		t.Errorf("verdict %v after %d takes and %d lease calls, want unavailable after at least 1 and 2",
			admission.Verdict, limiter.counters.takes.Load(), allocation.counters.leases.Load())
	}
}
