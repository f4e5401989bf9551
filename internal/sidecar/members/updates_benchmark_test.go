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
func startFleet(b testing.TB, count int, loss float64) *updateFleet {
	fleet := &updateFleet{all: make([]*Members, count), latest: make([][][2]atomic.Int64, count), ages: make([]*hdrhistogram.Histogram, count), under: make([]time.Duration, count)}
	late := time.Now().Add(time.Minute)
	for index, wave := 0, 0; index < count; index++ {
		fleet.latest[index], fleet.ages[index] = make([][2]atomic.Int64, count), hdrhistogram.New(1, 60_000, 3)
		options := Options{Name: fmt.Sprintf("sidecar-%d", index), Listen: "127.0.0.1:0"}
		options.dropPacket = func() bool { return rand.Uint64N(1000) < fleet.loss.Load() }
		options.OnUpdate = func(w Update) {
			told := int64(binary.BigEndian.Uint64(w.Payload))
			origin, _ := strconv.Atoi(w.Origin[len("sidecar-"):])
			fleet.latest[index][origin][w.Kind].Store(told)
			truly := time.Duration(time.Now().UnixNano() - told)
			fleet.under[index] = max(fleet.under[index], truly-w.Age)
			_ = fleet.ages[index].RecordValue(truly.Milliseconds())
		}
		for k := range min(3, wave) {
			options.Join = append(options.Join, fleet.all[(index+k*wave/3)%wave].Address())
		}
		var err error
		if fleet.all[index], err = New(options); err == nil {
			err = fleet.all[index].Start(b.Context())
		}
		if err != nil {
			b.Fatal(err)
		}
		if wave > 0 && index+1 < count && index < wave+wave/4+4 {
			continue
		}
		b.Logf("%d members after %v", index+1, time.Since(late.Add(-time.Minute)).Round(time.Millisecond))
		for wave = index + 1; !fleet.settled(wave); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(late) {
				b.Fatalf("%d members do not know each other", wave)
			}
		}
	}
	fleet.loss.Store(uint64(1000 * loss))
	return fleet
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
	count := len(f.all)
	turns := rand.Perm(count)
	before := make([]Counts, count)
	for i, m := range f.all {
		before[i] = m.Counts()
	}
	var from, to syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &from)
	began, dead := time.Now(), false
	pairs, stale, views := 0, 0, 0
	tick := time.NewTicker(time.Second / time.Duration(len(sizes)*count))
	look := time.NewTicker(250 * time.Millisecond)
	for i := 0; time.Since(began) < d; {
		select {
		case <-tick.C:
			for ; i < int(time.Since(began).Seconds()*float64(len(sizes)*count)); i++ { // ticks get lost
				who, kind := turns[i/len(sizes)%count], i%len(sizes)
				if who == count-1 && dead {
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
				f.all[count-1].kill()
			}
			if time.Since(began) < 3*time.Second {
				continue
			}
			least := time.Now().Add(-DefaultTTL).UnixNano()
			for i := range count - 1 {
				if f.all[i].View().Count < count-1 {
					views++
				}
				for o := range count - 1 {
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
	merged := hdrhistogram.New(1, 60_000, 3)
	var sum, most Counts
	var under time.Duration
	for i, m := range f.all[:count-1] {
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
		merged.Merge(f.ages[i]) // the last news may come beside it: of no account
	}
	seconds := d.Seconds()
	each := float64(count-1) * seconds
	cpu := time.Duration(to.Utime.Nano() + to.Stime.Nano() - from.Utime.Nano() - from.Stime.Nano()).Seconds()
	b.ReportMetric(float64(merged.ValueAtQuantile(50)), "p50_ms")
	b.ReportMetric(float64(merged.ValueAtQuantile(99)), "p99_ms")
	b.ReportMetric(float64(merged.Max()), "max_ms")
	b.ReportMetric(float64(under.Milliseconds()), "under_ms")
	b.ReportMetric(1e6*float64(stale)/float64(pairs), "stale_ppm")
	b.ReportMetric(float64(sum.Updates)/each, "told/s")
	b.ReportMetric(float64(sum.Duplicates)/each, "repeats/s")
	b.ReportMetric(float64(sum.PacketsSent)/each, "packets/s")
	b.ReportMetric(float64(sum.BytesSent)/each/1000, "kB/s")
	b.ReportMetric(float64(most.BytesSent)/seconds/1000, "most_kB/s")
	b.ReportMetric(100*cpu/each, "cpu%")
	b.ReportMetric(0, "ns/op")
	b.Logf("%d members: old %d, cut %d, held %d, short %d, incomplete views %d", count, sum.Expired, sum.RateLimited, sum.Delayed, sum.SendLimited, views)
}
