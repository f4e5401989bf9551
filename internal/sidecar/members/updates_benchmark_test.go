package members

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/goleak"
)

// BenchmarkUpdates has all of a fleet publish two states a second, of 300 bytes together, while 13 in 100 packets are lost and one
// member is killed: go test -run '^$' -bench Updates -benchtime 1x ./internal/sidecar/members. It reports how old updates are when they
// arrive, for how many of all (reader, origin, kind) there is no state within the TTL, and what a member sends and receives in a second.
func BenchmarkUpdates(b *testing.B) {
	for _, n := range []int{20, 100, 200, 300} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			for range b.N {
				f := startFleet(b, n, 0.13)
				f.measureUpdates(b, 20*time.Second, 100, 200)
				f.close(b)
			}
		})
	}
}

// updateFleet is many members in this process, and what they received.
type updateFleet struct {
	all    []*Members
	before goleak.Option       // the goroutines that ran before the members started
	latest [][][2]atomic.Int64 // Unix nanoseconds when the update that a reader received last was published, by origin and kind
	ages   []*hdrhistogram.Histogram
	under  []time.Duration // the most by which a reader took an update for younger than it was
	loss   atomic.Uint64   // of packets, in thousandths
}

// startFleet starts members in waves, each of which is a quarter of those that are there, and waits until all know all.
func startFleet(b testing.TB, count int, loss float64) *updateFleet {
	fleet := &updateFleet{all: make([]*Members, count), before: goleak.IgnoreCurrent(), latest: make([][][2]atomic.Int64, count), ages: make([]*hdrhistogram.Histogram, count), under: make([]time.Duration, count)}
	deadline := time.Now().Add(time.Minute)
	for index, wave := 0, 0; index < count; index++ {
		fleet.latest[index], fleet.ages[index] = make([][2]atomic.Int64, count), hdrhistogram.New(1, 60_000, 3)
		options := Options{Name: fmt.Sprintf("sidecar-%d", index), Listen: "127.0.0.1:0"}
		options.knobs.DropPacket = func() bool { return rand.Uint64N(1000) < fleet.loss.Load() }
		options.OnUpdate = func(w Update) {
			publishedAt := int64(binary.BigEndian.Uint64(w.Payload))
			origin, _ := strconv.Atoi(w.Origin[len("sidecar-"):])
			fleet.latest[index][origin][w.Kind].Store(publishedAt)
			age := time.Duration(time.Now().UnixNano() - publishedAt)
			fleet.under[index] = max(fleet.under[index], age-w.Age)
			_ = fleet.ages[index].RecordValue(age.Milliseconds())
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
		b.Logf("%d members after %v", index+1, time.Since(deadline.Add(-time.Minute)).Round(time.Millisecond))
		for wave = index + 1; !fleet.settled(wave); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(deadline) {
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

func (f *updateFleet) close(b *testing.B) {
	b.Helper()
	f.loss.Store(0)
	closeAll(b, f.all, f.before)
}

// kill closes a member's sockets without a farewell, and returns when it did.
func (m *Members) kill() time.Time {
	m.cancel()
	m.goroutines.Wait()
	killed := time.Now()
	_ = m.list.Shutdown()
	m.mu.Lock()
	m.list = nil // Close sends no farewell
	m.mu.Unlock()
	return killed
}

// updateMeasurement is what measureUpdates counts while the members publish.
type updateMeasurement struct {
	fleet    *updateFleet
	sizes    []int // bytes of the states that each member publishes each second
	duration time.Duration
	began    time.Time
	killed   bool // the last member was

	turns           []int // the order in which the members publish
	published       int
	pairs, stale    int // (reader, origin, kind) that were looked at; those without a state within the TTL
	incompleteViews int
}

// publishDue publishes what is due by now: ticks get lost.
func (m *updateMeasurement) publishDue(b *testing.B) {
	b.Helper()
	kinds, count := len(m.sizes), len(m.turns)
	for ; m.published < int(time.Since(m.began).Seconds()*float64(kinds*count)); m.published++ {
		who, kind := m.turns[m.published/kinds%count], m.published%kinds
		if who == count-1 && m.killed {
			continue
		}
		payload := binary.BigEndian.AppendUint64(nil, uint64(time.Now().UnixNano()))
		if err := m.fleet.all[who].Publish(uint8(kind), append(payload, make([]byte, m.sizes[kind]-len(payload))...)); err != nil {
			b.Fatal(err)
		}
	}
}

// countStale counts the stale states and incomplete views of all members but the last.
func (m *updateMeasurement) countStale() {
	others := len(m.turns) - 1
	oldest := time.Now().Add(-DefaultTTL).UnixNano()
	for reader := range others {
		if m.fleet.all[reader].View().Count < others {
			m.incompleteViews++
		}
		for origin := range others {
			for kind := range m.sizes {
				if m.pairs++; origin != reader && m.fleet.latest[reader][origin][kind].Load() < oldest {
					m.stale++
				}
			}
		}
	}
}

// run publishes for the duration, in the middle of which it kills the last member.
func (m *updateMeasurement) run(b *testing.B) {
	b.Helper()
	publish := time.NewTicker(time.Second / time.Duration(len(m.sizes)*len(m.turns)))
	defer publish.Stop()
	look := time.NewTicker(250 * time.Millisecond)
	defer look.Stop()
	for time.Since(m.began) < m.duration {
		select {
		case <-publish.C:
			m.publishDue(b)
		case <-look.C:
			if !m.killed && time.Since(m.began) > m.duration/2 {
				m.killed = true
				m.fleet.all[len(m.turns)-1].kill()
			}
			if time.Since(m.began) >= 3*time.Second {
				m.countStale()
			}
		}
	}
}

// measureUpdates has each member publish states of some sizes each second for a time, in the middle of which the last one is killed,
// and reports.
func (f *updateFleet) measureUpdates(b *testing.B, duration time.Duration, sizes ...int) {
	count := len(f.all)
	measured := &updateMeasurement{fleet: f, sizes: sizes, duration: duration, turns: rand.Perm(count)}
	before := make([]Counts, count)
	for i, m := range f.all {
		before[i] = m.Counts()
	}
	var from, to syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &from)
	measured.began = time.Now()
	measured.run(b)
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &to)
	f.reportAges(b)
	f.reportCounts(b, before, duration)
	cpu := time.Duration(to.Utime.Nano() + to.Stime.Nano() - from.Utime.Nano() - from.Stime.Nano()).Seconds()
	b.ReportMetric(1e6*float64(measured.stale)/float64(measured.pairs), "stale_ppm")
	b.ReportMetric(100*cpu/(float64(count-1)*duration.Seconds()), "cpu%")
	b.ReportMetric(0, "ns/op")
	b.Logf("%d members: incomplete views %d", count, measured.incompleteViews)
}

// reportAges reports how old updates were when they arrived, at all members but the last.
func (f *updateFleet) reportAges(b *testing.B) {
	b.Helper()
	merged := hdrhistogram.New(1, 60_000, 3)
	var under time.Duration
	for i := range len(f.all) - 1 {
		under = max(under, f.under[i])
		merged.Merge(f.ages[i]) // an update may arrive meanwhile: the last ones do not matter
	}
	b.ReportMetric(float64(merged.ValueAtQuantile(50)), "p50_ms")
	b.ReportMetric(float64(merged.ValueAtQuantile(99)), "p99_ms")
	b.ReportMetric(float64(merged.Max()), "max_ms")
	b.ReportMetric(float64(under.Milliseconds()), "under_ms")
}

// reportCounts reports what all members but the last sent and received since before.
func (f *updateFleet) reportCounts(b *testing.B, before []Counts, duration time.Duration) {
	b.Helper()
	var sum Counts
	var maxBytesSent int64
	for i, m := range f.all[:len(f.all)-1] {
		c := m.Counts()
		sum.PacketsSent += c.PacketsSent - before[i].PacketsSent
		sum.BytesSent += c.BytesSent - before[i].BytesSent
		maxBytesSent = max(maxBytesSent, c.BytesSent-before[i].BytesSent)
		sum.Updates += c.Updates - before[i].Updates
		sum.Duplicates += c.Duplicates - before[i].Duplicates
		sum.Expired += c.Expired - before[i].Expired
		sum.RateLimited += c.RateLimited
		sum.Delayed += c.Delayed
		sum.SendLimited += c.SendLimited
	}
	memberSeconds := float64(len(f.all)-1) * duration.Seconds()
	b.ReportMetric(float64(sum.Updates)/memberSeconds, "told/s")
	b.ReportMetric(float64(sum.Duplicates)/memberSeconds, "repeats/s")
	b.ReportMetric(float64(sum.PacketsSent)/memberSeconds, "packets/s")
	b.ReportMetric(float64(sum.BytesSent)/memberSeconds/1000, "kB/s")
	b.ReportMetric(float64(maxBytesSent)/duration.Seconds()/1000, "most_kB/s")
	b.Logf("%d members: expired %d, rate limited %d, delayed %d, send limited %d", len(f.all), sum.Expired, sum.RateLimited, sum.Delayed, sum.SendLimited)
}
