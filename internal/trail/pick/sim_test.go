package pick

import (
	"container/list"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/conf"
)

// scenario is a deployment and what comes to it.
type scenario struct {
	name             string
	zones            []string          // of proxies and clients
	regions          map[string]string // of zones
	proxies, engines map[string]int    // by zone
	traffic          map[string]float64
	kinds            []kind
	spec             engineSpec
	slots, queue     int
	crossRegion      time.Duration
	share            time.Duration // how often loads are told
	length           time.Duration
	evacuated        string
	evacuateAt       Time
	seed             uint64
}

// kind is one kind of request.
type kind struct {
	name             string
	part             float64 // of the traffic
	aim, pause       time.Duration
	deadline         time.Duration
	worth, late      float64
	priority         int
	homes            []string
	chain            []shareSpec
	own              [3]float64 // mean, spread, most
	out              [3]float64 // events
	bytesEach, bytes float64    // for a token in, for an event out
	resume           bool
	plain            bool
	burstAt, burstTo Time
	burst            float64
}

type shareSpec struct {
	mean, spread, most float64
	things             int
	skew               float64
}

// tally is what a kind came to.
type tally struct {
	asked, inTime, late, lost, refused int
	worth, owed                        float64
	abroad, across                     int
	latencies                          []float64
}

type fleet struct {
	agenda
	scenario
	rng        *rand.Rand
	cfg        *conf.Config
	servers    []Server
	engines    map[string]*engine
	plains     map[string]*plain
	pickers    []*Picker
	homes      []string // zones of pickers
	tallies    map[string]*tally
	things     map[string][][]Part
	reads      map[uint64]int
	reread     int64
	firstRead  int64
	rereads    int
	price      float64
	ownID      uint64
	unexecuted int
	windows    [12]struct{ worth, owed float64 } // of 3 s each
}

func newFleet(sc scenario) *fleet {
	f := &fleet{scenario: sc, rng: rand.New(rand.NewPCG(sc.seed, 7)), engines: map[string]*engine{}, plains: map[string]*plain{},
		tallies: map[string]*tally{}, things: map[string][][]Part{}, reads: map[uint64]int{}, ownID: 1 << 32}
	f.cfg = &conf.Config{Services: map[string]*conf.Service{
		"lm":     {Name: "lm", ColdPerSecond: 31, Engine: &conf.Engine{Slots: sc.slots, CacheTokens: sc.spec.memory, Stride: sc.spec.stride}},
		"thumbs": {Name: "thumbs"},
	}}
	for i := range sc.kinds {
		k := &sc.kinds[i]
		r := &conf.Route{Name: k.name, Host: k.name, Prefix: "/", Category: conf.Streaming, Timeout: k.deadline, Aim: k.aim,
			GapAim: k.pause, Priority: k.priority, MaxTries: 2, Resumable: k.resume, Homes: k.homes, Shares: []conf.Share{{Service: "lm", Weight: 1}}}
		if k.plain {
			r.Category, r.Shares = conf.Idempotent, []conf.Share{{Service: "thumbs", Weight: 1}}
		}
		f.cfg.Routes = append(f.cfg.Routes, r)
		f.tallies[k.name] = &tally{}
		for _, sh := range k.chain {
			var things []Part
			for range sh.things {
				f.ownID++
				things = append(things, Part{ID: f.ownID, Tokens: max(int(drawn(f.rng, sh.mean, sh.spread, sh.most)), 1)})
			}
			f.things[k.name] = append(f.things[k.name], things)
		}
	}
	speeds := []float64{1, 1, 1.3}
	for _, z := range sc.zones {
		for i := range sc.engines[z] {
			id := fmt.Sprintf("lm-%s-%d", z, i)
			f.servers = append(f.servers, Server{ID: id, Service: "lm", Address: id, Zone: z, Region: sc.regions[z], Slots: sc.slots})
			f.engines[id] = &engine{agenda: &f.agenda, spec: sc.spec, speed: speeds[i%3], slots: sc.slots, queue: sc.queue,
				cache: map[uint64]*list.Element{}, order: list.New(), read: f.read}
		}
		id := "th-" + z
		f.servers = append(f.servers, Server{ID: id, Service: "thumbs", Address: id, Zone: z, Region: sc.regions[z], Slots: 6})
		f.plains[id] = &plain{agenda: &f.agenda, slots: 6, queue: 24}
	}
	var peers []string
	for _, z := range sc.zones {
		for i := range sc.proxies[z] {
			peers = append(peers, fmt.Sprintf("p-%s-%d", z, i))
			f.homes = append(f.homes, z)
		}
	}
	for i, name := range peers {
		p := New(Settings{Zone: f.homes[i], Region: sc.regions[f.homes[i]], Regions: sc.regions, RetryRatio: 0.2, RetrySlack: 64,
			ColdExcess: 1.5, ColdSlack: 5, Seed: uint64(i), CrossRegion: sc.crossRegion})
		p.SetWorld(0, World{Config: f.cfg, Servers: f.servers, Self: name, Peers: peers})
		f.pickers = append(f.pickers, p)
	}
	return f
}

func (f *fleet) read(key uint64, tokens int) {
	if f.reads[key]++; f.reads[key] > 1 {
		f.reread += int64(tokens)
		f.rereads++
	} else {
		f.firstRead += int64(tokens)
	}
}

func (f *fleet) tellLoads() {
	sum := map[string]Load{}
	each := make([]map[string]Load, len(f.pickers))
	add := func(m map[string]Load, id string, l Load, sign int) {
		x := m[id]
		x.Requests += sign * l.Requests
		x.Prefill += int64(sign) * l.Prefill
		x.Tokens += int64(sign) * l.Tokens
		m[id] = x
	}
	for i, p := range f.pickers {
		each[i] = p.Loads()
		for id, l := range each[i] {
			add(sum, id, l, 1)
		}
	}
	for i, p := range f.pickers {
		others := make(map[string]Load, len(sum))
		for id, l := range sum {
			others[id] = l
		}
		for id, l := range each[i] {
			add(others, id, l, -1)
		}
		f.after(f.crossRegion, func() { p.SetLoads(f.now, others) })
	}
	f.after(f.share, f.tellLoads)
}

func (f *fleet) run() {
	f.after(0, f.tellLoads)
	for _, z := range f.zones {
		for i := range f.kinds {
			k := &f.kinds[i]
			rng := rand.New(rand.NewPCG(f.seed*1000+uint64(i), uint64(len(z))+uint64(z[0])<<8+uint64(z[1])))
			f.after(0, func() { f.arrivals(rng, z, k) })
		}
	}
	if f.evacuated != "" {
		f.after(f.evacuateAt, func() {
			for i, p := range f.pickers {
				w := p.world
				w.Evacuated = map[string]bool{f.evacuated: true}
				_ = i
				p.SetWorld(f.now, w)
			}
		})
	}
	f.agenda.run(f.length + 10*time.Second)
}

func (f *fleet) arrivals(rng *rand.Rand, zone string, k *kind) {
	if f.now > f.length {
		return
	}
	phase := 0.0
	if f.regions[zone] != f.regions[f.zones[0]] {
		phase = 0.5
	}
	rate := f.traffic[zone] * k.part * (1 + 0.4*math.Sin(2*math.Pi*(f.now.Seconds()/26+phase)))
	if k.burst > 0 && f.now >= k.burstAt && f.now < k.burstTo {
		rate *= k.burst
	}
	f.after(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if f.now <= f.length {
			f.ask(rng, zone, k)
		}
		f.arrivals(rng, zone, k)
	})
}

// ask plays one client's request, with one retry.
func (f *fleet) ask(rng *rand.Rand, zone string, k *kind) {
	r := &Request{}
	for _, route := range f.cfg.Routes {
		if route.Name == k.name {
			r.Route = route
		}
	}
	own := int(drawn(rng, k.own[0], k.own[1], k.own[2]))
	for i, sh := range k.chain {
		things := f.things[k.name][i]
		r.Parts = append(r.Parts, things[zipf(rng, sh.things, sh.skew)])
	}
	f.ownID++
	r.Parts = append(r.Parts, Part{ID: f.ownID, Tokens: max(own, 1)})
	for _, x := range r.Parts {
		r.TokensIn += x.Tokens
	}
	events := max(drawn(rng, k.out[0], k.out[1], k.out[2]), 1)
	r.TokensOut = int(events * float64(f.spec.stride))
	t := f.tallies[k.name]
	t.asked++
	t.owed += k.worth
	f.windows[min(int(f.now/(3*time.Second)), len(f.windows)-1)].owed += k.worth
	f.try(zone, k, r, f.now, 1)
}

func (f *fleet) try(zone string, k *kind, r *Request, since Time, retries int) {
	var near []int
	for i, z := range f.homes {
		if z == zone {
			near = append(near, i)
		}
	}
	i := near[f.rng.IntN(len(near))]
	f.after(time.Millisecond, func() {
		again := *r
		again.arrived = 0
		f.pickers[i].Arrive(f.now, &again)
		f.place(i, zone, k, &again, since, retries, nil)
	})
}

func (f *fleet) place(i int, zone string, k *kind, r *Request, since Time, retries int, tried []string) {
	p, t := f.pickers[i], f.tallies[k.name]
	r.Left = k.deadline - (f.now - since)
	c := p.Choose(f.now, r, tried, false)
	if c.Verdict != Send {
		if retries > 0 {
			f.after(c.RetryAfter, func() { f.try(zone, k, r, since, retries-1) })
		} else {
			t.refused++
		}
		return
	}
	way := 100 * time.Microsecond
	bytes := float64(r.TokensIn)*k.bytesEach + float64(r.TokensOut)/float64(f.spec.stride)*k.bytes + 300
	if k.plain {
		bytes = 1700
	}
	switch {
	case c.Server.Region != f.regions[f.homes[i]]:
		way = f.crossRegion
		f.price += bytes / 1e9 * 22000
		t.abroad++
	case c.Server.Zone != f.homes[i]:
		way = 900 * time.Microsecond
		f.price += bytes / 1e9 * 5500
		t.across++
	}
	window := &f.windows[min(int(since/(3*time.Second)), len(f.windows)-1)]
	account := func(first, pause time.Duration, served bool) {
		switch {
		case !served || f.now-since > k.deadline:
			t.lost++
		case first <= k.aim && pause <= k.pause:
			t.inTime++
			t.worth += k.worth
			window.worth += k.worth
		default:
			t.late++
			t.worth += k.late
			window.worth += k.late
		}
	}
	full := func() {
		f.unexecuted++
		f.after(way, func() {
			p.Done(f.now, c.Ticket, NotExecuted, 0)
			f.place(i, zone, k, r, since, retries, append(tried, c.Server.ID))
		})
	}
	f.after(way, func() {
		if k.plain {
			work := span(drawn(f.rng, 60, 0.5, 450))
			if !f.plains[c.Server.ID].offer(work, func(running, waiting int) {
				f.after(way, func() {
					p.ServerLoad(f.now, c.Server.ID, running, waiting, 6)
					p.Done(f.now, c.Ticket, Served, 0)
					account(f.now-since+time.Millisecond, 0, true)
				})
			}) {
				full()
			}
			return
		}
		var first time.Duration
		j := &job{chain: chainOf(r), in: r.TokensIn, out: r.TokensOut, priority: c.Priority, deadline: since + k.deadline}
		j.first = func(running, waiting int) {
			f.after(way, func() {
				first = f.now - since + time.Millisecond
				t.latencies = append(t.latencies, ms(first))
				p.ServerLoad(f.now, c.Server.ID, running, waiting, f.slots)
				p.Started(f.now, c.Ticket)
				p.FirstEvent(f.now, c.Ticket)
			})
		}
		j.done = func(served bool) {
			f.after(way, func() {
				o := Served
				if !served {
					o = NotExecuted
				}
				p.Done(f.now, c.Ticket, o, 0)
				account(first, j.pause, served)
			})
		}
		if !f.engines[c.Server.ID].offer(j) {
			full()
		}
	})
}

// zipf draws one of n things, of which the i-th is asked for in proportion to (i+1)^-skew.
func zipf(rng *rand.Rand, n int, skew float64) int {
	total := 0.0
	for i := range n {
		total += math.Pow(float64(i+1), -skew)
	}
	x := rng.Float64() * total
	for i := range n {
		if x -= math.Pow(float64(i+1), -skew); x < 0 {
			return i
		}
	}
	return n - 1
}

// report is the outcome in a few lines; score is the worth less the prices, against what is owed.
func (f *fleet) report() (text string, score float64) {
	var b strings.Builder
	worth, owed := 0.0, 0.0
	for i := range f.kinds {
		k := &f.kinds[i]
		t := f.tallies[k.name]
		worth, owed = worth+t.worth, owed+t.owed
		fmt.Fprintf(&b, "%-16s asked %5d in time %.4f late %4d lost %3d refused %3d abroad %.3f across %.3f p50 %4.0f p99 %4.0f\n", k.name, t.asked,
			float64(t.inTime)/float64(t.asked), t.late, t.lost, t.refused, float64(t.abroad)/float64(t.asked), float64(t.across)/float64(t.asked),
			quantile(t.latencies, 0.5), quantile(t.latencies, 0.99))
	}
	prefilled, waited := int64(0), 0
	for _, e := range f.engines {
		prefilled += e.prefilled
		waited = max(waited, e.peakWaiting)
	}
	bytes := f.price
	f.price += 0.47 * float64(f.reread) / 13300
	score = (worth - f.price) / owed
	asked, unserved, class := 0, 0, 1.0
	for _, t := range f.tallies {
		asked += t.asked
		unserved += t.lost + t.refused
		class = min(class, t.worth/t.owed)
	}
	nines := min(1, -math.Log10(max(float64(unserved)/float64(asked), 1e-9))/3)
	worst := 1.0
	for _, w := range f.windows {
		if w.owed > 0 {
			worst = min(worst, w.worth/w.owed)
		}
	}
	score = 0.4*score + 0.35*nines + 0.15*worst + 0.1*class
	fmt.Fprintf(&b, "nines %.3f worst window %.3f worst kind %.3f unserved %d\n", nines, worst, class, unserved)
	fmt.Fprintf(&b, "%s: score %.4f worth %.4f bytes %.4f reread %d parts %.2fM of first %.2fM prefilled %.2fM peak queue %d unexecuted %d rate %.1f\n", f.name,
		score, worth/owed, bytes/owed, f.rereads, float64(f.reread)/1e6, float64(f.firstRead)/1e6, float64(prefilled)/1e6, waited, f.unexecuted, f.pickers[0].rate.value)
	return b.String(), score
}

func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	s := append([]float64(nil), v...)
	for i := 1; i < len(s); i++ { // shell sort would do as well: the lists are short
		for j := i; j > 0 && s[j] < s[j-1]; j-- {
			s[j], s[j-1] = s[j-1], s[j]
		}
	}
	return s[int(q*float64(len(s)-1))]
}

func aula() scenario {
	return scenario{
		name: "aula", seed: 1, length: 34 * time.Second, share: 200 * time.Millisecond, crossRegion: 35 * time.Millisecond,
		zones:   []string{"ca", "ia", "cb"},
		regions: map[string]string{"ca": "cluj", "cb": "cluj", "ia": "iasi"},
		proxies: map[string]int{"ca": 5, "ia": 4, "cb": 3}, engines: map[string]int{"ca": 5, "ia": 8, "cb": 5},
		traffic: map[string]float64{"ca": 74.5, "ia": 149, "cb": 74.5},
		slots:   48, queue: 134,
		spec: engineSpec{step: 5.09, perSlot: 0.0303, rate: 51.1, pairs: 0.323, first: 47, memory: 318206, stride: 5},
		kinds: []kind{
			{name: "chapter-summary", part: 14.3 / 298, aim: time.Second, pause: 600 * time.Millisecond, deadline: 8 * time.Second, worth: 2, late: 0.6, priority: 1,
				chain: []shareSpec{{13300, 0.7, 39900, 54, 0.3}}, own: [3]float64{3720, 1.1, 53200}, out: [3]float64{23.9, 1.4, 95.8}, bytesEach: 2, bytes: 55},
			{name: "clip-question", part: 224.0 / 298, aim: 800 * time.Millisecond, pause: 600 * time.Millisecond, deadline: 5 * time.Second, worth: 3, late: 0.9,
				homes: []string{"cluj"}, chain: []shareSpec{{55.2, 0.4, 138, 8, 0}, {36.8, 0.7, 110, 846, 0.3}}, own: [3]float64{291, 1.4, 1830}, out: [3]float64{9.02, 1.4, 36.1},
				bytesEach: 2, bytes: 55, resume: true},
			{name: "thumb-fetch", part: 59.6 / 298, aim: 400 * time.Millisecond, pause: time.Hour, deadline: 2500 * time.Millisecond, worth: 1, late: 0.3, priority: 2, plain: true},
		},
	}
}

func TestSimulation(t *testing.T) {
	base := aula()
	evac := aula()
	evac.name, evac.evacuated, evac.evacuateAt = "aula evacuated", "cb", 8*time.Second
	burst := aula()
	burst.name = "aula burst"
	burst.kinds[1].burst, burst.kinds[1].burstAt, burst.kinds[1].burstTo = 2.5, 10*time.Second, 20*time.Second
	both := aula()
	both.name, both.evacuated, both.evacuateAt = "aula burst and evacuated", "cb", 8*time.Second
	both.kinds[1].burst, both.kinds[1].burstAt, both.kinds[1].burstTo = 2.5, 10*time.Second, 20*time.Second
	total := 0.0
	for _, sc := range []scenario{base, evac, burst, both} {
		for seed := range uint64(3) {
			sc.seed = seed + 1
			f := newFleet(sc)
			f.run()
			text, score := f.report()
			total += score / 12
			t.Logf("\n%s", text)
		}
	}
	t.Logf("mean %.4f", total)
}
