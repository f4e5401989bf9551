package hitters

import (
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

// The model: a fleet of sidecars with uneven traffic, clients with a drawn skew, servers with a capacity that serve the
// same share of all they are sent, and news with delays, losses and repeats. Some sidecars judge; the others tell, and do
// as one of those says.
const (
	sidecars  = 300
	judges    = 24
	clients   = 2000
	step      = 50 * time.Millisecond
	perSide   = 4.0 // requests a second of a sidecar in the mean, without a flood
	meanWork  = 0.05
	floodAt   = 4 * time.Second // the servers are up to the rest
	seenBy    = floodAt + 3*time.Second
	lasts     = 16 * time.Second
	firstBad  = 1 << 20 // the key of the first client that floods
	firstNew  = 1 << 40 // and of those that never come back
	room      = 1.05    // capacity over what is asked without a flood
	usualLoss = 0.13    // of news: of gossip that is full (see Every), as many do not hear of a report
	mostQueue = 6       // steps' work that waits at servers at the most: half of it, and they count as full, for 6 s
)

type scenario struct {
	name   string
	floods int
	share  float64       // of a flood, of the fleet's work
	one    bool          // all of it by the first sidecar
	cut    bool          // the even ones and the others hear nothing of each other
	killed float64       // share of the sidecars that end a second into the flood
	lie    *Report       // of the last sidecar, in place of what it has seen
	fresh  float64       // share of the requests, without floods, whose clients never come back
	load   float64       // of the sound ones, over what is usual; 0: 1
	loss   float64       // of the news
	late   time.Duration // of the news, at the most
}

var victim = Report{Requests: 1 << 31, Served: 1, Shares: [maxNamed]uint16{fullShare}, Named: 1, Keys: [maxNamed]uint64{40}}

func lie(total uint64) *Report { r := victim; r.Total = total; return &r }

var scenarios = []scenario{
	{name: "sound"},
	{name: "busy", load: 1.6},
	{name: "spread", floods: 1, share: 0.2},
	{name: "twice the bar", floods: 1, share: 0.085},
	{name: "one sidecar", floods: 1, share: 0.3, one: true},
	{name: "ten", floods: 10, share: 0.085},
	{name: "cut", floods: 2, share: 0.2, cut: true},
	{name: "killed", floods: 2, share: 0.15, killed: 0.3},
	{name: "huge lie", floods: 1, share: 0.15, lie: lie(maxTotal)},
	{name: "small lie", floods: 1, share: 0.15, lie: lie(1 << 20)},
	{name: "distinct", floods: 1, share: 0.15, fresh: 0.6},
	{name: "news", floods: 1, share: 0.2, loss: 0.3, late: time.Second},
}

// run plays a scenario. Heavy clients are counted for each sidecar that judges: those over twice the bar, by their rate,
// that are held for heavy 3 s after their flood began, and those under the bar that ever are.
type outcome struct {
	over, held, wrong, right float64
	delay                    time.Duration // until 95% of them were held
	calm, flooded            float64       // share of the sound ones' work that was served before, and after 3 s
	kept                     float64       // of the floods' requests
	bytes, messages          float64
}

type letter struct {
	to int
	OriginReport
	sent Time
}

func (s scenario) run(t *testing.T, seed uint64) (o outcome) {
	rng := rand.New(rand.NewPCG(seed, 1))
	settings := Defaults()
	bar := settings.HighThreshold
	side := make([]*Detector, sidecars)
	traffic, popular := make([]float64, sidecars), make([]float64, clients)
	var sides, all float64
	for i := range side {
		settings.Origin = uint64(i + 1)
		side[i], _ = New(&settings)
		traffic[i] = math.Exp(0.8 * rng.NormFloat64())
		sides += traffic[i]
	}
	skew := 0.4 + 0.25*rng.Float64()
	for i := range popular {
		all += math.Pow(float64(i+1), -skew)
		popular[i] = all
	}
	pick := func(weights []float64) int {
		x := rng.Float64() * weights[len(weights)-1]
		for i, w := range weights {
			if x < w {
				return i
			}
		}
		return 0
	}
	for i := 1; i < sidecars; i++ {
		traffic[i] += traffic[i-1]
	}
	base := perSide * sidecars * max(s.load, 1)
	flood := base * s.share / (1 - s.share*float64(s.floods)) // requests a second, of mean work
	sure := map[uint64]bool{}
	for i := range s.floods {
		sure[uint64(firstBad+i)] = true
	}
	alive := func(i int, now Time) bool {
		return now < floodAt+time.Second || float64(i*7919%sidecars) >= s.killed*sidecars
	}
	carries := func(i int) bool { return !s.one || i == 0 }
	mail := map[Time][]letter{}
	var soundAsked, soundServed, badAsked, badServed, before, beforeServed, heldAt float64
	passing, queue, fullTo := 1.0, 0.0, Time(-1) // share of what is sent that servers take in, and what waits there
	capacity := room * perSide * sidecars * meanWork * step.Seconds()
	for now := Time(0); now < lasts; now += step {
		for _, m := range mail[now] {
			if m.Age = now - m.sent; alive(m.to, now) {
				side[m.to].Receive(now, m.OriginReport)
			}
		}
		delete(mail, now)
		sent := 0.0
		ask := func(i int, key uint64) {
			if !alive(i, now) {
				return
			}
			work := min(meanWork*rng.ExpFloat64(), 8*meanWork)
			by := side[i%judges]
			if s.one && sure[key] || s.cut && i%2 != i%judges%2 {
				by = side[i]
			}
			_, yields := by.ShouldReject(now, now < fullTo, key, rng.Uint64())
			served := !yields && rng.Float64() < passing
			if !yields {
				sent += work
			}
			side[i].Observe(key, time.Duration(work*float64(time.Second)), served)
			done := 0.0
			if served {
				done = work
			}
			switch {
			case now < floodAt:
				before, beforeServed = before+work, beforeServed+done
			case now >= seenBy && sure[key]:
				badAsked, badServed = badAsked+work, badServed+done
			case now >= seenBy:
				soundAsked, soundServed = soundAsked+work, soundServed+done
			}
		}
		for range poisson(rng, base*step.Seconds()) {
			key := uint64(pick(popular) + 1)
			if rng.Float64() < s.fresh {
				key = firstNew + rng.Uint64()>>1
			}
			ask(pick(traffic), key)
		}
		for f := 0; f < s.floods && now >= floodAt; f++ {
			for range poisson(rng, flood*step.Seconds()) {
				i := 0
				if !s.one {
					i = rng.IntN(sidecars)
				}
				ask(i, uint64(firstBad+f))
			}
		}
		queue = max(0, queue+sent*passing-capacity)
		if queue > mostQueue*capacity/2 {
			fullTo = now + 6*time.Second
		}
		passing = min(1, max(0, (mostQueue+1)*capacity-queue)/max(sent, 1e-9))
		for i, j := range side {
			if (now/step+Time(i))%(settings.Window/step) != 0 || !alive(i, now) {
				continue
			}
			var own OriginReport
			if i < judges {
				own, _ = j.EndWindow(now)
			} else {
				own = j.closeWindow(now)
			}
			if s.lie != nil && i == sidecars-1 {
				own.Report = *s.lie
			}
			if own.Seq%ReportInterval(sidecars) != 0 {
				continue
			}
			text := own.Report.Append(nil)
			o.bytes, o.messages = o.bytes+float64(len(text)), o.messages+1
			own.Report, _ = ParseReport(text)
			for to := range judges {
				if to != i && rng.Float64() >= max(s.loss, usualLoss) && !(s.cut && to%2 != i%2) {
					at := now + step*(1+Time(rng.IntN(int(max(s.late, 4*step)/step))))
					mail[at] = append(mail[at], letter{to, own, now})
				}
			}
		}
		got, want := 0.0, 0.0
		for i, j := range side[:judges] {
			if !alive(i, now) || now < floodAt {
				continue
			}
			for key := range sure {
				if !carries(i) || s.share < 2*bar {
					continue
				}
				if want++; j.client(key).State == Heavy {
					got++
				}
			}
			for _, c := range j.clients {
				if c.State == Heavy && sure[c.Key] {
					o.right++
				} else if c.State == Heavy {
					o.wrong++
				}
			}
		}
		if heldAt == 0 && want > 0 && got >= 0.95*want {
			heldAt, o.delay = 1, now-floodAt
		}
		if now >= seenBy {
			o.over, o.held = o.over+want, o.held+got
		}
	}
	if heldAt == 0 {
		o.delay = lasts
	}
	o.calm, o.flooded, o.kept = beforeServed/before, soundServed/soundAsked, badServed/max(badAsked, 1e-9)
	o.bytes, o.messages = o.bytes/lasts.Seconds()/sidecars, o.messages/lasts.Seconds()/sidecars
	return o
}

func poisson(rng *rand.Rand, mean float64) (n int) {
	for sum := rng.ExpFloat64(); sum < mean; sum += rng.ExpFloat64() {
		n++
	}
	return n
}

// TestFleet plays each scenario and sums up: precision 0.99, recall 0.95 of clients over twice the bar, within 3 s.
func TestFleet(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			o := s.run(t, 7)
			precision, recall := o.right/max(o.right+o.wrong, 1), o.held/max(o.over, 1)
			t.Logf("precision %.4f, recall %.3f, held after %v, sound ones served %.3f before and %.3f after, floods %.3f, %.0f bytes/s in %.1f messages/s told by a sidecar",
				precision, recall, o.delay, o.calm, o.flooded, o.kept, o.bytes, o.messages)
			if s.floods == 0 {
				if o.wrong > 0 {
					t.Errorf("%v times a sound client was held for heavy", o.wrong)
				}
				return
			}
			if precision < 0.99 || recall < 0.95 || o.delay > 3*time.Second || o.over == 0 {
				t.Errorf("precision %v, recall %v of %v, after %v", precision, recall, o.over, o.delay)
			}
			if !s.cut && s.killed == 0 && o.calm-o.flooded > 0.02 {
				t.Errorf("sound clients: %v served, %v in the flood", o.calm, o.flooded)
			}
		})
	}
}

// full returns a Judge with as much to hold as it can have from some origins, and those words.
func full(origins int) (*Detector, []OriginReport) {
	settings := Defaults()
	j, _ := New(&settings)
	words := make([]OriginReport, origins)
	for i := range words {
		r := Report{Total: 1_000_000, Requests: 100, Served: fullShare, Named: maxNamed}
		for k := range r.Keys {
			r.Keys[k], r.Shares[k] = uint64(i%20*maxNamed+k+1), fullShare/maxNamed
		}
		words[i] = OriginReport{Origin: uint64(i + 1), Report: r}
	}
	return j, words
}

// TestMemory holds a Judge with 300 origins, and as many clients as there may be, to 64 kB.
func TestMemory(t *testing.T) {
	const n = 16
	var before, after runtime.MemStats
	_, words := full(sidecars)
	runtime.GC()
	runtime.ReadMemStats(&before)
	var all [n]*Detector
	for i := range all {
		all[i] = filled(words)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	held := (int(after.HeapAlloc) - int(before.HeapAlloc)) / n
	t.Logf("%d bytes with %d origins and %d clients held", held, len(all[0].reports), len(all[0].clients))
	if held > 64<<10 || len(all[0].clients) != maxClients {
		t.Errorf("%d bytes, with %d clients held", held, len(all[0].clients))
	}
	runtime.KeepAlive(all)
	runtime.KeepAlive(words)
}

func filled(words []OriginReport) *Detector {
	j, _ := full(0)
	for range 3 {
		for k := range uint64(10_000) {
			j.Observe(k, time.Second, true)
		}
		j.closeWindow(0)
	}
	for k := range uint64(2 * maxClients) {
		j.storeClient(&Client{Key: k, State: Heavy, Name: string(make([]byte, maxNameBytes))})
	}
	for _, n := range words {
		j.Receive(0, n)
	}
	return j
}

// BenchmarkSecond is what a sidecar does in a second, with 300 others and a thousand requests of as many clients.
func BenchmarkSecond(b *testing.B) {
	j, words := full(sidecars)
	texts := make([][]byte, len(words))
	for i, n := range words {
		texts[i] = n.Report.Append(nil)
	}
	now := Time(0)
	for b.Loop() {
		for range time.Second / j.settings.Window {
			now += j.settings.Window
			for i, n := range words {
				n.Seq, n.Report = uint64(now), Report{}
				n.Report, _ = ParseReport(texts[i])
				j.Receive(now, n)
			}
			for k := range uint64(500) {
				j.ShouldReject(now, true, k, k)
				j.Observe(k+uint64(now), time.Millisecond, true)
			}
			j.EndWindow(now)
		}
	}
}
