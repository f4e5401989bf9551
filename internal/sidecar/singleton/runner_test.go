package singleton

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"gradeusher.example/gradeusher/internal/sidecar/registry"
)

const patience = 30 * time.Second // bounds what a test waits for; it is no measure

// startNode runs one keeper by itself and returns where it answers.
func startNode(t testing.TB) string {
	t.Helper()
	c := registry.Defaults()
	c.Name, c.Folder, c.HTTP, c.Raft = "k1", t.TempDir(), "127.0.0.1:0", "127.0.0.1:0"
	c.Peers = []registry.Peer{{Name: "k1", Raft: "127.0.0.1:0", HTTP: "127.0.0.1:1"}}
	c.AdvertiseHTTP = "127.0.0.1:1"
	c.Timing.HeartbeatMS = 60
	ctx, cancel := context.WithCancel(context.Background())
	ready, ended := make(chan string, 1), make(chan error, 1)
	go func() {
		ended <- registry.Run(ctx, c, slog.New(slog.DiscardHandler), func(at string) { ready <- at })
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		goleak.VerifyNone(t)
	})
	select {
	case at := <-ready:
		return at
	case err := <-ended:
		ended <- nil
		t.Fatal(err)
		return ""
	}
}

// resource is what one duty acts on.
type resource struct {
	fence      Fence
	mu         sync.Mutex
	by         int // who acted last, and when
	at         time.Time
	longestGap time.Duration // the longest time between two effects of different processes
}

func (p *resource) act(by int, epoch int64) error {
	return p.fence.Do(epoch, func() error {
		p.mu.Lock()
		defer p.mu.Unlock()
		now := time.Now()
		if p.by != by && !p.at.IsZero() {
			p.longestGap = max(p.longestGap, now.Sub(p.at))
		}
		p.by, p.at = by, now
		return nil
	})
}

// TestManyIsolated has many processes wait for many duties, and cuts a third of them off from the keepers at once, but not from what they
// act on: those stop by themselves before others begin, so that even the fence has nothing to refuse, and the others share all of it.
func TestManyIsolated(t *testing.T) {
	const processes, duties, cut, lease = 18, 50, 6, time.Second
	at := startNode(t)
	origin, err := url.Parse("http://" + at)
	if err != nil {
		t.Fatal(err)
	}
	pieces := make([]resource, duties)
	ctx, stop := context.WithCancel(context.Background())
	var runs sync.WaitGroup
	var links []*httptest.Server
	defer func() {
		stop()
		runs.Wait()
		for _, l := range links {
			l.CloseClientConnections()
			l.Close()
		}
	}()
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	defer transport.CloseIdleConnections()
	for i := range processes {
		l := httptest.NewServer(&httputil.ReverseProxy{Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(origin) }, FlushInterval: -1, Transport: transport,
			ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)})
		links = append(links, l)
		r, err := NewRunner(Options{Registry: []string{l.Listener.Addr().String()}, Name: fmt.Sprint("p", i), Lease: lease, Log: slog.New(slog.DiscardHandler)})
		if err != nil {
			t.Fatal(err)
		}
		for n := range pieces {
			r.Want(fmt.Sprint("d", n), "", func(ctx context.Context, tenure *OwnedLease) error {
				tick := time.NewTicker(5 * time.Millisecond)
				defer tick.Stop()
				for {
					if tenure.Valid() {
						_ = pieces[n].act(i, tenure.Epoch) // the fence counts what it refuses
					}
					select {
					case <-tick.C:
					case <-tenure.HandoverRequested():
						return ErrHandedOver
					case <-ctx.Done():
						return ErrHandedOver
					}
				}
			})
		}
		runs.Add(1)
		go func() {
			defer runs.Done()
			r.Run(ctx, time.Second)
		}()
	}
	// share waits until all duties are acted on by processes that are not cut off, evenly.
	share := func(from int) (held []int) {
		t.Helper()
		for end := time.Now().Add(patience); ; time.Sleep(20 * time.Millisecond) {
			held = make([]int, processes)
			fresh := 0
			for n := range pieces {
				p := &pieces[n]
				p.mu.Lock()
				if time.Since(p.at) < 100*time.Millisecond && p.by >= from {
					fresh++
					held[p.by]++
				}
				p.mu.Unlock()
			}
			if most := slices.Max(held); fresh == duties && most <= duties/(processes-from)+3 {
				return held
			}
			if time.Now().After(end) {
				t.Fatalf("%d of %d duties are acted on, by %v", fresh, duties, held)
			}
		}
	}
	before := share(0)
	for n := range pieces {
		pieces[n].mu.Lock()
		pieces[n].longestGap = 0 // of handing over while they came
		pieces[n].mu.Unlock()
	}
	for _, l := range links[:cut] {
		l.Listener.Close()
		l.CloseClientConnections()
	}
	after := share(cut)
	var gaps []time.Duration
	for n := range pieces {
		if _, refused := pieces[n].fence.Counts(); refused > 0 {
			t.Errorf("d%d: %d effects were left to the fence", n, refused)
		}
		if gap := pieces[n].longestGap; gap > 0 {
			gaps = append(gaps, gap)
		}
	}
	if len(gaps) == 0 {
		t.Fatal("none went from one to another")
	}
	slices.Sort(gaps)
	t.Logf("held before by %v, after by %v; %d of %d duties went to others, on which nobody acted for %v to %v, with leases of %v", before, after, len(gaps), duties, gaps[0], gaps[len(gaps)-1], lease)
	if most := gaps[len(gaps)-1]; most > lease+500*time.Millisecond+time.Second { // a second for whoever runs beside
		t.Errorf("a duty was without a holder for %v", most)
	}
}
