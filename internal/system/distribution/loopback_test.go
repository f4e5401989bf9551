package distribution

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"gradeusher.example/gradeusher/internal/system/distribution/rpc"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// serve serves a handler on a loopback port until the test ends.
func serve(tb testing.TB, h http.Handler) (address string, seen *atomic.Int64) {
	tb.Helper()
	ln, err := (&net.ListenConfig{}).Listen(tb.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	seen = new(atomic.Int64)
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	var wg sync.WaitGroup
	wg.Go(func() { _ = srv.Serve(countingListener{ln, seen}) })
	tb.Cleanup(func() {
		_ = srv.Close()
		wg.Wait()
	})
	return ln.Addr().String(), seen
}

// counting counts the bytes of accepted connections in both directions.
type countingListener struct {
	net.Listener
	n *atomic.Int64
}

type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return countingConn{conn, c.n}, err
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}

func TestOverLoopback(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	chain := newChain()
	src := &fakeSource{fakeChain: chain}
	server := NewServer(ServerOptions{Source: src, Self: "k", Log: discardLogger()})
	address, _ := serve(t, server.Handler())
	src.addresses = []string{address}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { server.Run(ctx) })
	updates := make(chan Update, 1)
	transport := rpc.NewTransport()
	defer transport.CloseIdleConnections()
	subscriber := NewSubscriber(SubscriberOptions{Seeds: []string{address}, Self: softstate.Member{Node: "p"}, Log: discardLogger(), Transport: transport,
		OnUpdate: func(update Update) {
			select {
			case <-updates:
			default:
			}
			updates <- update
		}})
	wg.Go(func() { subscriber.Run(ctx) })
	seq := chain.add(noOpRecord())
	limit := time.After(5 * time.Second)
	for {
		select {
		case update := <-updates:
			if update.State.Seq == seq && update.Fresh {
				if err := server.WaitAcknowledged(ctx, seq); err != nil {
					t.Error(err)
				}
				if err := subscriber.Leave(ctx); err != nil {
					t.Error(err)
				}
				return
			}
		case <-limit:
			t.Fatal("no state was received")
		}
	}
}

func cpuTime() time.Duration {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// BenchmarkServerWithSubscribers runs a node and 100 subscribers in one process over loopback. Each subscriber has load on 40 of 400
// servers that changes constantly, and one server changes every 100 ms. It reports the CPU time of both ends together per subscriber, and
// the bytes of their connections without TCP's overhead.
func BenchmarkServerWithSubscribers(b *testing.B) {
	for _, pace := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond} {
		for _, busy := range []bool{false, true} {
			b.Run(fmt.Sprintf("pace=%v/busy=%v", pace, busy), func(b *testing.B) { benchmarkServer(b, pace, busy) })
		}
	}
}

// benchmarkFleet is a server and its subscribers over loopback.
type benchmarkFleet struct {
	server      *Server
	list        []pick.Server
	subscribers []*Subscriber
	tick        atomic.Int64 // changes all loads
}

const (
	benchmarkSubscribers = 100
	benchmarkServers     = 400
)

// loadsOf returns the loads of a subscriber at this tick.
func (f *benchmarkFleet) loadsOf(subscriber int) map[string]pick.Load {
	out := make(map[string]pick.Load, 40)
	tick := int(f.tick.Load())
	for i := range 40 {
		id := f.list[(subscriber*41+i*10)%benchmarkServers].ID
		out[id] = pick.Load{Requests: 1 + (tick+i+subscriber)%5, Prefill: int64(tick*i%9) * 700, Tokens: int64((tick+subscriber)%11) * 900}
	}
	return out
}

// caughtUp reports whether all subscribers are fresh and know each other.
func (f *benchmarkFleet) caughtUp() bool {
	for _, subscriber := range f.subscribers {
		if update := subscriber.Current(); !update.Fresh || len(update.Members) != benchmarkSubscribers {
			return false
		}
	}
	return true
}

// putList makes the server read the list.
func (f *benchmarkFleet) putList(b *testing.B, version uint64) {
	b.Helper()
	putList(b, f.server, 1, version, f.list, softstate.Age{})
}

func benchmarkServer(b *testing.B, pace time.Duration, busy bool) {
	b.Helper()
	source := &fakeSource{fakeChain: newChain()}
	fleet := &benchmarkFleet{server: NewServer(ServerOptions{Source: source, Self: "k", Log: discardLogger(),
		Limits: ServerLimits{LoadReportInterval: pace, TableCompleteAfter: time.Millisecond}})}
	address, bytes := serve(b, fleet.server.Handler())
	source.addresses = []string{address}
	ctx, cancel := context.WithCancel(b.Context())
	var wg sync.WaitGroup
	wg.Go(func() { fleet.server.Run(ctx) })
	for i := range benchmarkServers {
		fleet.list = append(fleet.list, pick.Server{ID: fmt.Sprintf("i-%08x", i*7919), Service: "a", Address: "10.0.0.1:8080", Zone: "z", Slots: 64})
	}
	source.add(noOpRecord())
	fleet.putList(b, 1)
	transport := rpc.NewTransport()
	transport.MaxIdleConns, transport.MaxIdleConnsPerHost = 0, 2*benchmarkSubscribers
	for n := range benchmarkSubscribers {
		options := SubscriberOptions{Seeds: []string{address}, Self: softstate.Member{Node: fmt.Sprint("p", n), Ready: true}, Log: discardLogger(),
			Transport: transport, Loads: func() map[string]pick.Load { return nil }}
		if busy {
			options.Loads = func() map[string]pick.Load { return fleet.loadsOf(n) }
		}
		subscriber := NewSubscriber(options)
		fleet.subscribers = append(fleet.subscribers, subscriber)
		wg.Go(func() { subscriber.Run(ctx) })
	}
	for b.Context().Err() == nil && !fleet.caughtUp() {
		sleep(ctx, 50*time.Millisecond)
	}
	sleep(ctx, time.Second)
	fleet.measure(ctx, b, busy, bytes)
	cancel()
	wg.Wait()
	transport.CloseIdleConnections()
}

// measure lets the fleet run, and reports its CPU time and bytes.
func (f *benchmarkFleet) measure(ctx context.Context, b *testing.B, busy bool, bytes *atomic.Int64) {
	b.Helper()
	b.ResetTimer()
	startCPU, startBytes, start := cpuTime(), bytes.Load(), time.Now()
	version := uint64(1)
	for b.Loop() {
		// One operation is a tenth of a second of running time.
		f.tick.Add(1)
		if busy {
			version++
			changed := &f.list[int(version)%benchmarkServers]
			changed.Draining = !changed.Draining
			f.putList(b, version)
		}
		sleep(ctx, 100*time.Millisecond)
	}
	seconds := time.Since(start).Seconds() * benchmarkSubscribers
	b.ReportMetric((cpuTime()-startCPU).Seconds()*1000/seconds, "cpu-ms/follower/s")
	b.ReportMetric(float64(bytes.Load()-startBytes)/seconds, "B/follower/s")
}
