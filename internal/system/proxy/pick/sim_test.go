package pick

import (
	"container/list"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
)

// fleet is a deployment at play.
type fleet struct {
	agenda
	scenario
	rng        *rand.Rand
	cfg        *config.Config
	servers    []Server
	engines    map[string]*engine
	plains     map[string]*plain
	pickers    []*Picker
	homes      []string // zones of pickers
	tallies    map[string]*tally
	things     map[string][][]PrefixPart
	reads      map[uint64]int
	weights    map[shareSpec][]float64
	reread     int64
	firstRead  int64
	rereads    int
	price      float64
	dials      int
	idle       map[[2]string][]Time // when each idle connection of a proxy to a server was last used
	ownID      uint64
	unexecuted int
	chosen     func(picker int, r *Request, tried int, offered bool, c Choice) // told of every choice; nil: nobody
	tells      func(picker int, loads map[string]Load)                         // told of what a picker shares; nil: nobody
	windows    [12]struct{ worth, owed float64 }                               // of 3 s each
}

func newFleet(sc scenario) *fleet {
	f := &fleet{scenario: sc, rng: rand.New(rand.NewPCG(sc.seed, 7)), engines: map[string]*engine{}, plains: map[string]*plain{},
		tallies: map[string]*tally{}, things: map[string][][]PrefixPart{}, reads: map[uint64]int{}, weights: map[shareSpec][]float64{}, ownID: 1 << 32,
		idle: map[[2]string][]Time{}}
	f.cfg = &config.Config{Services: map[string]*config.Service{
		"lm":     {Name: "lm", WarmUpRequestsPerSecond: 31, Engine: &config.Engine{Slots: sc.slots, CacheTokens: sc.spec.memory, TokensPerEvent: sc.spec.stride}},
		"thumbs": {Name: "thumbs"},
	}}
	for i := range sc.kinds {
		k := &sc.kinds[i]
		r := &config.Route{Name: k.name, Host: k.name, Prefix: "/", Category: config.Streaming, Timeout: k.deadline, LatencyTarget: k.aim,
			EventGapTarget: k.pause, Priority: k.priority, MaxAttempts: 2, Resumable: k.resume, HomeRegions: k.homes, Shares: []config.Share{{Service: "lm", Weight: 1}}}
		if k.plain {
			r.Category, r.Shares = config.Idempotent, []config.Share{{Service: "thumbs", Weight: 1}}
		}
		f.cfg.Routes = append(f.cfg.Routes, r)
		f.tallies[k.name] = &tally{}
		for _, sh := range k.chain {
			var things []PrefixPart
			for range sh.things {
				f.ownID++
				things = append(things, PrefixPart{ID: f.ownID, Tokens: max(int(drawn(f.rng, sh.mean, sh.spread, sh.most)), 1)})
			}
			f.weights[sh] = zipf(sh.things, sh.skew)
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
			WarmUpExcess: 1.5, WarmUpSlack: 5, Seed: uint64(i), CrossRegionLatency: sc.crossRegion})
		p.UpdateClusterState(0, ClusterState{Config: f.cfg, Servers: f.servers, Self: name, Peers: peers})
		p.fixedLane = sc.fixedLane
		p.group("lm").keptFor = sc.keepIdle
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
		maps.Copy(each[i], p.PromptDemands())
		if f.tells != nil {
			f.tells(i, each[i])
		}
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
				p.UpdateClusterState(f.now, w)
			}
		})
	}
	if f.down != "" {
		f.after(f.downAt, func() {
			for i, s := range f.servers {
				if e := f.engines[s.ID]; e != nil && i%6 == 2 {
					e.fall(f.down)
					f.after(f.downTo-f.downAt, func() { e.down = "" })
				}
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
	if n := len(k.chain); n > 0 {
		thing := oneOf(rng, f.weights[k.chain[n-1]])
		for i, sh := range k.chain { // each thing belongs to one of the level before
			r.Prefix = append(r.Prefix, f.things[k.name][i][thing%sh.things])
		}
	}
	f.ownID++
	r.Prefix = append(r.Prefix, PrefixPart{ID: f.ownID, Tokens: max(own, 1)})
	for _, x := range r.Prefix {
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
		f.place(i, zone, k, &again, since, retries, nil, false)
	})
}

// connect takes an idle connection, or counts a new one.
func (f *fleet) connect(connection [2]string) {
	idle := f.idle[connection]
	if n := len(idle); n > 0 && f.now-idle[n-1] <= f.keepIdle {
		f.idle[connection] = idle[:n-1]
		return
	}
	f.idle[connection] = nil
	f.dials++
}

// patience is how long a proxy waits for a server that says nothing.
const patience = 1200 * time.Millisecond

func (f *fleet) place(i int, zone string, k *kind, r *Request, since Time, retries int, tried []string, offered bool) {
	p, t := f.pickers[i], f.tallies[k.name]
	r.TimeLeft = k.deadline - (f.now - since)
	c := p.Choose(f.now, r, tried, offered)
	if f.chosen != nil {
		f.chosen(i, r, len(tried), offered, c)
	}
	if c.Verdict != Send {
		if retries > 0 && !offered {
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
		f.price += bytes / 1e9 * f.prices.regionGB
		t.abroad++
	case c.Server.Zone != f.homes[i]:
		way = 900 * time.Microsecond
		f.price += bytes / 1e9 * f.prices.zoneGB
		t.across++
	}
	window := &f.windows[min(int(since/(3*time.Second)), len(f.windows)-1)]
	connection := [2]string{f.homes[i], fmt.Sprint(i, c.Server.ID)}
	f.connect(connection)
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
			f.place(i, zone, k, r, since, retries, append(tried, c.Server.ID), offered)
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
		j.lost = func(o Outcome) {
			p.Done(f.now, c.Ticket, o, 0)
			if k.resume {
				f.place(i, zone, k, r, since, retries, append(tried, c.Server.ID), true)
			} else {
				account(first, 0, false)
			}
		}
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
				f.idle[connection] = append(f.idle[connection], f.now)
				p.Done(f.now, c.Ticket, o, 0)
				account(first, j.pause, served)
			})
		}
		e := f.engines[c.Server.ID]
		if e.down == "" && e.offer(j) {
			return
		}
		switch e.down {
		case "":
			full()
		case "reset":
			f.after(way, func() {
				p.Done(f.now, c.Ticket, ConnectFailed, 0)
				f.place(i, zone, k, r, since, retries, append(tried, c.Server.ID), offered)
			})
		case "dark":
			f.after(patience, func() { j.lost(TimedOut) })
		}
	})
}
