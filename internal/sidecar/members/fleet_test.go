package members

import (
	"encoding/binary"
	"fmt"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// BenchmarkFleet measures a fleet in this process: go test -run '^$' -bench Fleet -benchtime 1x ./internal/sidecar/members. It says,
// a member and a second, the packets and kB sent with nothing to say, with one that speaks, and with all that say 300 bytes
// a second each; the time from one publish to 95% of the members; and the time until a death is known to 95%.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{20, 100, 300} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			for range b.N {
				benchFleet(b, n)
			}
		})
	}
}

// arrivals counts who has heard of what one origin published.
type arrivals struct {
	mu   sync.Mutex
	seen map[uint64]int
	want int
	done chan uint64
}

func (a *arrivals) countUpdate(n Update) {
	if n.Kind != 1 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	id := binary.BigEndian.Uint64(n.Payload)
	if a.seen[id]++; a.seen[id] == a.want {
		a.done <- id
	}
}

func benchFleet(b *testing.B, n int) {
	arrived := &arrivals{seen: map[uint64]int{}, want: (n - 1) * 95 / 100, done: make(chan uint64, 1000)}
	var mu sync.Mutex
	counts := make([]int, n)
	short := make(chan int, 1)
	var target int
	all := make([]*Members, n)
	began := time.Now()
	for index := range all {
		options := Options{Name: fmt.Sprintf("sidecar-%d", index), Listen: "127.0.0.1:0", OnUpdate: arrived.countUpdate}
		if index > 0 {
			options.Join = []string{all[0].Address()}
		}
		options.OnView = func(v View) {
			mu.Lock()
			defer mu.Unlock()
			counts[index] = v.Count
			there := 0
			for _, c := range counts {
				if c == target {
					there++
				}
			}
			if there >= (n-1)*95/100 || target == n && there == n {
				select {
				case short <- there:
				default:
				}
			}
		}
		var err error
		if all[index], err = New(options); err != nil {
			b.Fatal(err)
		}
		if err := all[index].Start(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
	defer func() {
		var g sync.WaitGroup
		for _, m := range all {
			g.Go(m.Close)
		}
		g.Wait()
	}()
	mu.Lock()
	target = n
	mu.Unlock()
	for settled := false; !settled; time.Sleep(10 * time.Millisecond) {
		settled = true
		for _, m := range all {
			v := m.View()
			settled = settled && v.Count == n && v.Epoch == all[0].View().Epoch
		}
		if time.Since(began) > time.Minute {
			views := map[string]int{}
			for _, m := range all {
				v := m.View()
				views[fmt.Sprintf("%d members, epoch %x", v.Count, v.Epoch)]++
			}
			b.Fatalf("not settled: %v, %+v", views, all[0].Counts())
		}
	}
	b.ReportMetric(time.Since(began).Seconds(), "settle_s")
	epoch := all[0].View().Epoch >> 32

	// Nothing to say.
	measureRate(b, all, "idle", 5*time.Second, func(time.Duration) {})

	// One that speaks.
	latencies := hdrhistogram.New(1, 60_000, 3)
	sent := map[uint64]time.Time{}
	measureRate(b, all, "one", 20*time.Second, func(left time.Duration) {
		end := time.After(left)
		tick := time.NewTicker(200 * time.Millisecond)
		defer tick.Stop()
		for id := uint64(1); ; {
			select {
			case <-tick.C:
				sent[id] = time.Now()
				_ = all[int(id)%n].Publish(1, binary.BigEndian.AppendUint64(nil, id))
				id++
			case id := <-arrived.done:
				_ = latencies.RecordValue(time.Since(sent[id]).Milliseconds())
			case <-end:
				return
			}
		}
	})
	b.ReportMetric(float64(len(sent)-int(latencies.TotalCount())), "never95")
	b.ReportMetric(float64(latencies.ValueAtQuantile(50)), "p50_ms")
	b.ReportMetric(float64(latencies.ValueAtQuantile(99)), "p99_ms")

	// All speak, 300 bytes a second each.
	measureRate(b, all, "all300", 10*time.Second, func(left time.Duration) {
		end := time.After(left)
		tick := time.NewTicker(time.Second / time.Duration(n))
		defer tick.Stop()
		for index := 0; ; index++ {
			select {
			case <-tick.C:
				_ = all[index%n].Publish(2, make([]byte, 300))
			case <-end:
				return
			}
		}
	})

	// One dies: its sockets close without a word.
	mu.Lock()
	target = n - 1
	for len(short) > 0 {
		<-short
	}
	mu.Unlock()
	if after := all[0].View().Epoch >> 32; after != epoch {
		b.Logf("%d members: epoch %d became %d in quiet", n, epoch, after)
	}
	dead := all[n-1]
	dead.cancel()
	dead.goroutines.Wait()
	killed := time.Now()
	_ = dead.list.Shutdown()
	dead.mu.Lock()
	dead.list = nil // it says no farewell
	dead.mu.Unlock()
	<-short
	b.ReportMetric(float64(time.Since(killed).Milliseconds()), "death95_ms")
	b.ReportMetric(0, "ns/op")
}

// measureRate measures what is sent while do runs for a time.
func measureRate(b *testing.B, all []*Members, what string, duration time.Duration, do func(time.Duration)) {
	var from, to syscall.Rusage
	before := make([]Counts, len(all))
	for i, m := range all {
		before[i] = m.Counts()
	}
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &from)
	do(duration)
	if what == "idle" {
		time.Sleep(duration)
	}
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &to)
	var packets, bytes, most float64
	var old, waiting int64
	for i, m := range all {
		c := m.Counts()
		packets += float64(c.PacketsSent - before[i].PacketsSent)
		bytes += float64(c.BytesSent - before[i].BytesSent)
		most = max(most, float64(c.BytesSent-before[i].BytesSent))
		old += c.Expired - before[i].Expired
		waiting = max(waiting, int64(c.Queued))
	}
	seconds := duration.Seconds()
	n := float64(len(all)) * seconds
	cpu := time.Duration(to.Utime.Nano() + to.Stime.Nano() - from.Utime.Nano() - from.Stime.Nano()).Seconds()
	b.ReportMetric(packets/n, what+"_packets/s")
	b.ReportMetric(bytes/n/1000, what+"_kB/s")
	b.ReportMetric(100*cpu/n, what+"_cpu%")
	if old+waiting > 0 {
		fmt.Fprintf(os.Stderr, "%d members, %s: %d over the bound, %d waiting at most, %.1f kB/s at most\n", len(all), what, old, waiting, most/seconds/1000)
	}
}
