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

const waitTimeout = 30 * time.Second // bounds what a test waits for; it is no measure

// startNode runs a registry node by itself until the test ends, and returns its HTTP address.
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

// resource is what one role acts on.
type resource struct {
	fence Fence

	mu          sync.Mutex
	lastProcess int // that acted
	lastEffect  time.Time
	longestGap  time.Duration // between two effects of different processes
}

func (rs *resource) act(process int, epoch int64) error {
	return rs.fence.Do(epoch, func() error {
		rs.mu.Lock()
		defer rs.mu.Unlock()
		now := time.Now()
		if rs.lastProcess != process && !rs.lastEffect.IsZero() {
			rs.longestGap = max(rs.longestGap, now.Sub(rs.lastEffect))
		}
		rs.lastProcess, rs.lastEffect = process, now
		return nil
	})
}

// work acts on the resource every 5 ms for as long as the process may.
func (rs *resource) work(process int) Work {
	return func(ctx context.Context, lease *OwnedLease) error {
		ticker := time.NewTicker(5 * time.Millisecond)
		defer ticker.Stop()
		for {
			if lease.Valid() {
				_ = rs.act(process, lease.Epoch) // the fence counts what it refuses
			}
			select {
			case <-ticker.C:
			case <-lease.HandoverRequested():
				return ErrHandedOver
			case <-ctx.Done():
				return ErrHandedOver
			}
		}
	}
}

// actingProcess returns the process that acted last, and whether that was a moment ago.
func (rs *resource) actingProcess() (process int, acting bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.lastProcess, time.Since(rs.lastEffect) < 100*time.Millisecond
}

// fleet is processes that are candidates for the same roles, each with a proxy between itself and the registry.
type fleet struct {
	t         *testing.T
	resources []resource
	proxies   []*httptest.Server
	processes int
}

const fleetLease = time.Second

// startFleet runs the processes until the test ends.
func startFleet(t *testing.T, registryAddress string, processes, roles int) *fleet {
	t.Helper()
	origin, err := url.Parse("http://" + registryAddress)
	if err != nil {
		t.Fatal(err)
	}
	started := &fleet{t: t, resources: make([]resource, roles), processes: processes}
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	ctx, stop := context.WithCancel(context.Background())
	var runs sync.WaitGroup
	t.Cleanup(func() {
		stop()
		runs.Wait()
		for _, proxy := range started.proxies {
			proxy.CloseClientConnections()
			proxy.Close()
		}
		transport.CloseIdleConnections()
	})
	for process := range processes {
		runner := started.newRunner(origin, transport, process)
		runs.Go(func() { runner.Run(ctx, time.Second) })
	}
	return started
}

// newRunner returns a process with its proxy, which wants all roles.
func (f *fleet) newRunner(origin *url.URL, transport *http.Transport, process int) *Runner {
	f.t.Helper()
	proxy := httptest.NewServer(&httputil.ReverseProxy{Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(origin) }, FlushInterval: -1, Transport: transport,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)})
	f.proxies = append(f.proxies, proxy)
	runner, err := NewRunner(Options{Registry: []string{proxy.Listener.Addr().String()}, Name: fmt.Sprint("p", process), Lease: fleetLease,
		Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		f.t.Fatal(err)
	}
	for i := range f.resources {
		runner.Want(fmt.Sprint("d", i), "", f.resources[i].work(process))
	}
	return runner
}

// isolate cuts the first processes off from the registry, but not from the resources.
func (f *fleet) isolate(processes int) {
	for _, proxy := range f.proxies[:processes] {
		_ = proxy.Listener.Close()
		proxy.CloseClientConnections()
	}
}

// awaitEvenShares waits until the processes that are not isolated act on all resources, evenly, and returns how many each has.
func (f *fleet) awaitEvenShares(isolated int) []int {
	f.t.Helper()
	maxShare := len(f.resources)/(f.processes-isolated) + 3
	for end := time.Now().Add(waitTimeout); ; time.Sleep(20 * time.Millisecond) {
		shares, acting := make([]int, f.processes), 0
		for i := range f.resources {
			if process, ok := f.resources[i].actingProcess(); ok && process >= isolated {
				acting++
				shares[process]++
			}
		}
		if acting == len(f.resources) && slices.Max(shares) <= maxShare {
			return shares
		}
		if time.Now().After(end) {
			f.t.Fatalf("%d of %d roles are acted in, by %v", acting, len(f.resources), shares)
		}
	}
}

// resetGaps forgets the gaps of handing over while the processes came.
func (f *fleet) resetGaps() {
	for i := range f.resources {
		f.resources[i].mu.Lock()
		f.resources[i].longestGap = 0
		f.resources[i].mu.Unlock()
	}
}

// gaps returns the times without an effect of the roles that changed their owner, shortest first, and fails where a fence had to refuse something.
func (f *fleet) gaps() []time.Duration {
	f.t.Helper()
	var gaps []time.Duration
	for i := range f.resources {
		rs := &f.resources[i]
		if _, refused := rs.fence.Counts(); refused > 0 {
			f.t.Errorf("d%d: %d effects were left to the fence", i, refused)
		}
		rs.mu.Lock()
		if rs.longestGap > 0 {
			gaps = append(gaps, rs.longestGap)
		}
		rs.mu.Unlock()
	}
	slices.Sort(gaps)
	return gaps
}

// TestManyIsolated has many processes be candidates for many roles, and cuts a third of them off from the registry at once, but not from the
// resources: those stop by themselves before others begin, so that even the fence has nothing to refuse, and the others share all roles.
func TestManyIsolated(t *testing.T) {
	const processes, roles, isolated = 18, 50, 6
	f := startFleet(t, startNode(t), processes, roles)
	before := f.awaitEvenShares(0)
	f.resetGaps()
	f.isolate(isolated)
	after := f.awaitEvenShares(isolated)
	gaps := f.gaps()
	if len(gaps) == 0 {
		t.Fatal("no role changed its owner")
	}
	longest := gaps[len(gaps)-1]
	t.Logf("shares %v before, %v after; %d of %d roles changed their owner, with %v to %v without an effect and leases of %v", before, after, len(gaps), roles,
		gaps[0], longest, fleetLease)
	if longest > fleetLease+500*time.Millisecond+time.Second { // a second for what else runs on the machine
		t.Errorf("a role was without an owner for %v", longest)
	}
}
