package members

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// BenchmarkUpdates has all of a fleet tell two states a second, of 300 bytes together, while 13 in 100 packets are lost and one
// member is killed: go test -run '^$' -bench Updates -benchtime 1x ./internal/sidecar/members. It says how old news is when it comes,
// how many of all (reader, origin, kind) hold nothing within the bound, and what a member sends and takes a second.
func BenchmarkUpdates(b *testing.B) {
	for _, n := range []int{20, 100, 200, 300} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			for range b.N {
				f := startFleet(b, n, 0.13)
				f.measureUpdates(b, 20*time.Second, 100, 200)
				f.close()
			}
		})
	}
}

// updateFleet is many members in this process, and what they heard.
type updateFleet struct {
	all    []*Members
	latest [][][2]atomic.Int64 // Unix nanoseconds when what a reader heard last was told, by origin and kind
	ages   []*hdrhistogram.Histogram
	under  []time.Duration // the most by which a reader took news for younger than it was
	loss   atomic.Uint64   // of packets, in thousandths
}

// startFleet starts members in waves, each of which is a quarter of those that are there, and waits until all know all.
func startFleet(b testing.TB, n int, loss float64) *updateFleet {
	f := &updateFleet{all: make([]*Members, n), latest: make([][][2]atomic.Int64, n), ages: make([]*hdrhistogram.Histogram, n), under: make([]time.Duration, n)}
	late := time.Now().Add(time.Minute)
	for i, wave := 0, 0; i < n; i++ {
		f.latest[i], f.ages[i] = make([][2]atomic.Int64, n), hdrhistogram.New(1, 60_000, 3)
		o := Options{Name: fmt.Sprintf("sidecar-%d", i), Listen: "127.0.0.1:0"}
		o.dropPacket = func() bool { return rand.Uint64N(1000) < f.loss.Load() }
		o.OnUpdate = func(w Update) {
			told := int64(binary.BigEndian.Uint64(w.Payload))
			origin, _ := strconv.Atoi(w.Origin[len("sidecar-"):])
			f.latest[i][origin][w.Kind].Store(told)
			truly := time.Duration(time.Now().UnixNano() - told)
			f.under[i] = max(f.under[i], truly-w.Age)
			_ = f.ages[i].RecordValue(truly.Milliseconds())
		}
		for k := range min(3, wave) {
			o.Join = append(o.Join, f.all[(i+k*wave/3)%wave].Address())
		}
		var err error
		if f.all[i], err = New(o); err == nil {
			err = f.all[i].Start(b.Context())
		}
		if err != nil {
			b.Fatal(err)
		}
		if wave > 0 && i+1 < n && i < wave+wave/4+4 {
			continue
		}
		b.Logf("%d members after %v", i+1, time.Since(late.Add(-time.Minute)).Round(time.Millisecond))
		for wave = i + 1; !f.settled(wave); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(late) {
				b.Fatalf("%d members do not know each other", wave)
			}
		}
	}
	f.loss.Store(uint64(1000 * loss))
	return f
}

func (f *updateFleet) settled(n int) bool {
	for _, m := range f.all[:n] {
		if m.View().Count != n {
			return false
		}
	}
	return true
}

func (f *updateFleet) close() {
	f.loss.Store(0)
	var g sync.WaitGroup
	for _, m := range f.all {
		g.Go(m.Close)
	}
	g.Wait()
	time.Sleep(2 * streamTimeout) // memberlist's last pings by stream end by their time alone
}

// kill closes a member's sockets without a word.
func (m *Members) kill() {
	m.cancel()
	m.goroutines.Wait()
	_ = m.list.Shutdown()
	m.mu.Lock()
	m.list = nil // it says no farewell
	m.mu.Unlock()
}

// measureUpdates has each member measureUpdates states of two sizes a second for a time, in the middle of which the last one is killed, and reports.
func (f *updateFleet) measureUpdates(b *testing.B, d time.Duration, sizes ...int) {
	n := len(f.all)
	turns := rand.Perm(n)
	before := make([]Counts, n)
	for i, m := range f.all {
		before[i] = m.Counts()
	}
	var from, to syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &from)
	began, dead := time.Now(), false
	pairs, stale, views := 0, 0, 0
	tick := time.NewTicker(time.Second / time.Duration(len(sizes)*n))
	look := time.NewTicker(250 * time.Millisecond)
	for i := 0; time.Since(began) < d; {
		select {
		case <-tick.C:
			for ; i < int(time.Since(began).Seconds()*float64(len(sizes)*n)); i++ { // ticks get lost
				who, kind := turns[i/len(sizes)%n], i%len(sizes)
				if who == n-1 && dead {
					continue
				}
				text := binary.BigEndian.AppendUint64(nil, uint64(time.Now().UnixNano()))
				if err := f.all[who].Publish(uint8(kind), append(text, make([]byte, sizes[kind]-len(text))...)); err != nil {
					b.Fatal(err)
				}
			}
		case <-look.C:
			if !dead && time.Since(began) > d/2 {
				dead = true
				f.all[n-1].kill()
			}
			if time.Since(began) < 3*time.Second {
				continue
			}
			least := time.Now().Add(-DefaultTTL).UnixNano()
			for i := range n - 1 {
				if f.all[i].View().Count < n-1 {
					views++
				}
				for o := range n - 1 {
					for kind := range sizes {
						if pairs++; o != i && f.latest[i][o][kind].Load() < least {
							stale++
						}
					}
				}
			}
		}
	}
	tick.Stop()
	look.Stop()
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &to)
	h := hdrhistogram.New(1, 60_000, 3)
	var sum, most Counts
	var under time.Duration
	for i, m := range f.all[:n-1] {
		c := m.Counts()
		sum.PacketsSent += c.PacketsSent - before[i].PacketsSent
		sum.BytesSent += c.BytesSent - before[i].BytesSent
		most.BytesSent = max(most.BytesSent, c.BytesSent-before[i].BytesSent)
		sum.Updates += c.Updates - before[i].Updates
		sum.Duplicates += c.Duplicates - before[i].Duplicates
		sum.Expired += c.Expired - before[i].Expired
		sum.RateLimited += c.RateLimited
		sum.Delayed += c.Delayed
		sum.SendLimited += c.SendLimited
		under = max(under, f.under[i])
		h.Merge(f.ages[i]) // the last news may come beside it: of no account
	}
	seconds := d.Seconds()
	each := float64(n-1) * seconds
	cpu := time.Duration(to.Utime.Nano() + to.Stime.Nano() - from.Utime.Nano() - from.Stime.Nano()).Seconds()
	b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50_ms")
	b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99_ms")
	b.ReportMetric(float64(h.Max()), "max_ms")
	b.ReportMetric(float64(under.Milliseconds()), "under_ms")
	b.ReportMetric(1e6*float64(stale)/float64(pairs), "stale_ppm")
	b.ReportMetric(float64(sum.Updates)/each, "told/s")
	b.ReportMetric(float64(sum.Duplicates)/each, "repeats/s")
	b.ReportMetric(float64(sum.PacketsSent)/each, "packets/s")
	b.ReportMetric(float64(sum.BytesSent)/each/1000, "kB/s")
	b.ReportMetric(float64(most.BytesSent)/seconds/1000, "most_kB/s")
	b.ReportMetric(100*cpu/each, "cpu%")
	b.ReportMetric(0, "ns/op")
	b.Logf("%d members: old %d, cut %d, held %d, short %d, incomplete views %d", n, sum.Expired, sum.RateLimited, sum.Delayed, sum.SendLimited, views)
}
