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
	"go.uber.org/goleak"
)

// BenchmarkFleet measures a fleet in this process: go test -run '^$' -bench Fleet -benchtime 1x ./internal/sidecar/members. It reports the
// packets and kB that a member sends in a second while nobody publishes, while one member does, and while each publishes 300 bytes a
// second; the time from a publish until 95% of the members have the update; and the time until 95% know of a death.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{20, 100, 300} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			for range b.N {
				benchFleet(b, n)
			}
		})
	}
}

// arrivals counts the members that have received what one origin published.
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

// benchmarkFleet is the members of a benchmark in this process.
type benchmarkFleet struct {
	all     []*Members
	before  goleak.Option // the goroutines that ran before the members started
	arrived *arrivals
	began   time.Time

	mu      sync.Mutex
	counts  []int    // of the members that each sees
	target  int      // the count that is waited for
	reached chan int // how many members see it, once these are 95%, or all of a complete fleet
}

// observeView records how many members one of them sees.
func (f *benchmarkFleet) observeView(index int, v View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[index] = v.Count
	there := 0
	for _, c := range f.counts {
		if c == f.target {
			there++
		}
	}
	n := len(f.all)
	if there < (n-1)*95/100 && (f.target != n || there != n) {
		return
	}
	select {
	case f.reached <- there:
	default:
	}
}

// setTarget sets the count that is waited for.
func (f *benchmarkFleet) setTarget(count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.target = count
}

func startBenchmarkFleet(b *testing.B, n int) *benchmarkFleet {
	b.Helper()
	fleet := &benchmarkFleet{all: make([]*Members, n), before: goleak.IgnoreCurrent(), counts: make([]int, n), reached: make(chan int, 1), began: time.Now(),
		arrived: &arrivals{seen: map[uint64]int{}, want: (n - 1) * 95 / 100, done: make(chan uint64, 1000)}}
	for index := range fleet.all {
		options := Options{Name: fmt.Sprintf("sidecar-%d", index), Listen: "127.0.0.1:0", OnUpdate: fleet.arrived.countUpdate}
		if index > 0 {
			options.Join = []string{fleet.all[0].Address()}
		}
		options.OnView = func(v View) { fleet.observeView(index, v) }
		var err error
		if fleet.all[index], err = New(options); err != nil {
			b.Fatal(err)
		}
		if err := fleet.all[index].Start(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
	return fleet
}

// closeAll closes members and waits until no goroutine is left but those from before. memberlist's Shutdown does not wait for the
// probe under way, which ends by its time-out.
func closeAll(b *testing.B, all []*Members, before goleak.Option) {
	b.Helper()
	const maxWait = 10 * time.Second
	var closing sync.WaitGroup
	for _, m := range all {
		closing.Go(m.Close)
	}
	closing.Wait()
	closed := time.Now()
	for {
		err := goleak.Find(before)
		if err == nil {
			return
		}
		if time.Since(closed) > maxWait {
			b.Fatal(err)
		}
	}
}

// agrees reports whether all members see all, under one epoch.
func (f *benchmarkFleet) agrees() bool {
	for _, m := range f.all {
		if v := m.View(); v.Count != len(f.all) || v.Epoch != f.all[0].View().Epoch {
			return false
		}
	}
	return true
}

// awaitAgreement waits until all members see all, a minute from the start at most.
func (f *benchmarkFleet) awaitAgreement(b *testing.B) {
	b.Helper()
	for agreed := false; !agreed; time.Sleep(10 * time.Millisecond) {
		agreed = f.agrees()
		if time.Since(f.began) <= time.Minute {
			continue
		}
		views := map[string]int{}
		for _, m := range f.all {
			v := m.View()
			views[fmt.Sprintf("%d members, epoch %x", v.Count, v.Epoch)]++
		}
		b.Fatalf("no agreement: %v, %+v", views, f.all[0].Counts())
	}
}

// measureLatency has one member at a time publish, and reports the time until 95% of the members have received it.
func (f *benchmarkFleet) measureLatency(b *testing.B) {
	b.Helper()
	latencies := hdrhistogram.New(1, 60_000, 3)
	sent := map[uint64]time.Time{}
	measureRate(b, f.all, "one", 20*time.Second, func(left time.Duration) {
		end := time.After(left)
		tick := time.NewTicker(200 * time.Millisecond)
		defer tick.Stop()
		for id := uint64(1); ; {
			select {
			case <-tick.C:
				sent[id] = time.Now()
				_ = f.all[int(id)%len(f.all)].Publish(1, binary.BigEndian.AppendUint64(nil, id))
				id++
			case id := <-f.arrived.done:
				_ = latencies.RecordValue(time.Since(sent[id]).Milliseconds())
			case <-end:
				return
			}
		}
	})
	b.ReportMetric(float64(len(sent)-int(latencies.TotalCount())), "never95")
	b.ReportMetric(float64(latencies.ValueAtQuantile(50)), "p50_ms")
	b.ReportMetric(float64(latencies.ValueAtQuantile(99)), "p99_ms")
}

// publishAll has all members publish 300 bytes a second each.
func (f *benchmarkFleet) publishAll(left time.Duration) {
	end := time.After(left)
	tick := time.NewTicker(time.Second / time.Duration(len(f.all)))
	defer tick.Stop()
	for index := 0; ; index++ {
		select {
		case <-tick.C:
			_ = f.all[index%len(f.all)].Publish(2, make([]byte, 300))
		case <-end:
			return
		}
	}
}

// measureDeath kills the last member and reports the time until 95% of the others do not see it any more.
func (f *benchmarkFleet) measureDeath(b *testing.B) {
	b.Helper()
	f.mu.Lock()
	f.target = len(f.all) - 1
	for len(f.reached) > 0 {
		<-f.reached
	}
	f.mu.Unlock()
	killed := f.all[len(f.all)-1].kill()
	<-f.reached
	b.ReportMetric(float64(time.Since(killed).Milliseconds()), "death95_ms")
}

func benchFleet(b *testing.B, n int) {
	fleet := startBenchmarkFleet(b, n)
	defer closeAll(b, fleet.all, fleet.before)
	fleet.setTarget(n)
	fleet.awaitAgreement(b)
	b.ReportMetric(time.Since(fleet.began).Seconds(), "settle_s")
	epoch := fleet.all[0].View().Epoch >> 32
	measureRate(b, fleet.all, "idle", 5*time.Second, func(time.Duration) {})
	fleet.measureLatency(b)
	measureRate(b, fleet.all, "all300", 10*time.Second, fleet.publishAll)
	if after := fleet.all[0].View().Epoch >> 32; after != epoch {
		b.Logf("%d members: epoch %d became %d in quiet", n, epoch, after)
	}
	fleet.measureDeath(b)
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
