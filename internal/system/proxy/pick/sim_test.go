package pick

import (
	"container/list"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick/prefixcache"
)

// fleet is a deployment at play.
type fleet struct {
	agenda
	scenario
	rng         *rand.Rand
	cfg         *config.Config
	servers     []Server
	engines     map[string]*engine
	plains      map[string]*plain
	pickers     []*Picker
	proxyZones  []string // zones of pickers
	tallies     map[string]*tally
	sharedParts map[string][][]PrefixPart
	prefills    map[uint64]int
	weights     map[shareSpec][]float64
	reread      int64
	firstRead   int64
	rereads     int
	price       float64
	dials       int
	idle        map[[2]string][]Time // when each idle connection of a proxy to a server was last used
	ownID       uint64
	unexecuted  int
	onPick      func(picker int, r *Request, tried int, offered bool, c Result) // told of every choice; nil: nobody
	onShare     func(picker int, loads map[string]Load)                         // told of what a picker shares; nil: nobody
	windows     [12]struct{ worth, owed float64 }                               // of 3 s each
}

func newFleet(sc scenario) *fleet {
	f := &fleet{scenario: sc, rng: rand.New(rand.NewPCG(sc.seed, 7)), engines: map[string]*engine{}, plains: map[string]*plain{},
		tallies: map[string]*tally{}, sharedParts: map[string][][]PrefixPart{}, prefills: map[uint64]int{}, weights: map[shareSpec][]float64{}, ownID: 1 << 32,
		idle: map[[2]string][]Time{}}
	f.cfg = &config.Config{Services: map[string]*config.Service{
		"lm":     {Name: "lm", WarmUpRate: 31, Engine: &config.Engine{Slots: sc.slots, CacheTokens: sc.spec.memory, TokensPerEvent: sc.spec.stride}},
		"thumbs": {Name: "thumbs"},
	}}
	for i := range sc.kinds {
		k := &sc.kinds[i]
		r := &config.Route{Name: k.name, Host: k.name, Prefix: "/", Category: config.Streaming, Timeout: k.deadline, LatencyTarget: k.latencyTarget,
			EventGapTarget: k.eventGapTarget, Priority: k.priority, MaxTries: 2, Resumable: k.resumable, HomeRegions: k.homeRegions, Shares: []config.Share{{Service: "lm", Weight: 1}}}
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
			f.sharedParts[k.name] = append(f.sharedParts[k.name], things)
		}
	}
	speeds := []float64{1, 1, 1.3}
	for _, z := range sc.zones {
		for i := range sc.engines[z] {
			id := fmt.Sprintf("lm-%s-%d", z, i)
			f.servers = append(f.servers, Server{ID: id, Service: "lm", Address: id, Zone: z, Region: sc.regions[z], Slots: sc.slots})
			f.engines[id] = &engine{agenda: &f.agenda, spec: sc.spec, speed: speeds[i%3], slots: sc.slots, queue: sc.queue,
				cache: map[uint64]*list.Element{}, lru: list.New(), onPrefill: f.recordPrefill}
		}
		id := "th-" + z
		f.servers = append(f.servers, Server{ID: id, Service: "thumbs", Address: id, Zone: z, Region: sc.regions[z], Slots: 6})
		f.plains[id] = &plain{agenda: &f.agenda, slots: 6, queue: 24}
	}
	var peers []string
	for _, z := range sc.zones {
		for i := range sc.proxies[z] {
			peers = append(peers, fmt.Sprintf("p-%s-%d", z, i))
			f.proxyZones = append(f.proxyZones, z)
		}
	}
	for i, name := range peers {
		p := New(Settings{Zone: f.proxyZones[i], Region: sc.regions[f.proxyZones[i]], Regions: sc.regions, RetryRatio: 0.2, RetrySlack: 64,
			WarmUpExcess: 1.5, WarmUpSlack: 5, Seed: uint64(i), CrossRegionLatency: sc.crossRegion,
			TestingKnobs: TestingKnobs{PromptPoolShare: sc.fixedPoolShare}})
		p.UpdateClusterState(0, ClusterState{Config: f.cfg, Servers: f.servers, Self: name, Peers: peers})
		p.group("lm").idleTimeout = sc.idleTimeout
		f.pickers = append(f.pickers, p)
	}
	return f
}

func (f *fleet) recordPrefill(key uint64, tokens int) {
	if f.prefills[key]++; f.prefills[key] > 1 {
		f.reread += int64(tokens)
		f.rereads++
	} else {
		f.firstRead += int64(tokens)
	}
}

func (f *fleet) shareLoads() {
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
		if f.onShare != nil {
			f.onShare(i, each[i])
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
		f.after(f.crossRegion, func() { p.UpdatePeerLoads(f.now, others) })
	}
	f.after(f.shareInterval, f.shareLoads)
}

func (f *fleet) run() {
	f.after(0, f.shareLoads)
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
				w := p.state
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
					e.fail(f.down)
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
			r.Prefix = append(r.Prefix, f.sharedParts[k.name][i][thing%sh.things])
		}
	}
	f.ownID++
	r.Prefix = append(r.Prefix, PrefixPart{ID: f.ownID, Tokens: max(own, 1)})
	for _, x := range r.Prefix {
		r.TokensIn += x.Tokens
	}
	events := max(drawn(rng, k.out[0], k.out[1], k.out[2]), 1)
	r.MaxTokensOut = int(events * float64(f.spec.stride))
	t := f.tallies[k.name]
	t.asked++
	t.owed += k.value
	f.windows[min(int(f.now/(3*time.Second)), len(f.windows)-1)].owed += k.value
	f.try(clientCall{zone: zone, kind: k, request: r, since: f.now, retries: 1})
}

// clientCall is one client's request with what the client does about it.
type clientCall struct {
	zone    string
	kind    *kind
	request *Request
	since   Time // when the client first asked
	retries int  // that the client has left
}

// try has the client ask one of its zone's proxies.
func (f *fleet) try(call clientCall) {
	var near []int
	for i, zone := range f.proxyZones {
		if zone == call.zone {
			near = append(near, i)
		}
	}
	proxy := near[f.rng.IntN(len(near))]
	f.after(time.Millisecond, func() {
		again := *call.request
		again.arrived = 0
		call.request = &again
		f.pickers[proxy].RecordRequest(f.now, &again)
		f.attempt(serverCall{clientCall: call, proxy: proxy})
	})
}

// connect takes an idle connection, or counts a new one.
func (f *fleet) connect(connection [2]string) {
	idle := f.idle[connection]
	if n := len(idle); n > 0 && f.now-idle[n-1] <= f.idleTimeout {
		f.idle[connection] = idle[:n-1]
		return
	}
	f.idle[connection] = nil
	f.dials++
}

// serverTimeout is how long a proxy waits for a server that says nothing.
const serverTimeout = 1200 * time.Millisecond

// serverCall is one attempt of a proxy to have a request answered.
type serverCall struct {
	clientCall
	proxy   int
	tried   []string // servers of the attempts before
	offered bool     // one of these may have run

	result     Result
	oneWay     time.Duration // to the server
	connection [2]string
	first      time.Duration // from the client's request to the first event
}

// attempt has a proxy pick a server and ask it.
func (f *fleet) attempt(call serverCall) {
	call.request.TimeLeft = call.kind.deadline - (f.now - call.since)
	call.result = f.pickers[call.proxy].Pick(f.now, call.request, call.tried, call.offered)
	if f.onPick != nil {
		f.onPick(call.proxy, call.request, len(call.tried), call.offered, call.result)
	}
	if call.result.Verdict != Send {
		f.refuse(call)
		return
	}
	call.oneWay = f.crossNetwork(&call)
	call.connection = [2]string{f.proxyZones[call.proxy], fmt.Sprint(call.proxy, call.result.Server.ID)}
	f.connect(call.connection)
	f.after(call.oneWay, func() {
		if call.kind.plain {
			f.callPlain(&call)
		} else {
			f.callEngine(&call)
		}
	})
}

// refuse has the client come back later, as often as it does.
func (f *fleet) refuse(call serverCall) {
	if call.retries == 0 || call.offered {
		f.tallies[call.kind.name].refused++
		return
	}
	again := call.clientCall
	again.retries--
	f.after(call.result.RetryAfter, func() { f.try(again) })
}

// crossNetwork is how long a request takes to its server, and counts what the way costs.
func (f *fleet) crossNetwork(call *serverCall) time.Duration {
	k, r, t := call.kind, call.request, f.tallies[call.kind.name]
	bytes := float64(r.TokensIn)*k.bytesEach + float64(r.MaxTokensOut)/float64(f.spec.stride)*k.bytes + 300
	if k.plain {
		bytes = 1700
	}
	switch zone := f.proxyZones[call.proxy]; {
	case call.result.Server.Region != f.regions[zone]:
		f.price += bytes / 1e9 * f.prices.regionGB
		t.abroad++
		return f.crossRegion
	case call.result.Server.Zone != zone:
		f.price += bytes / 1e9 * f.prices.zoneGB
		t.across++
		return 900 * time.Microsecond
	}
	return 100 * time.Microsecond
}

// account counts how a client's request ended.
func (f *fleet) account(call *serverCall, first, eventGap time.Duration, served bool) {
	k, t := call.kind, f.tallies[call.kind.name]
	window := &f.windows[min(int(call.since/(3*time.Second)), len(f.windows)-1)]
	switch {
	case !served || f.now-call.since > k.deadline:
		t.lost++
	case first <= k.latencyTarget && eventGap <= k.eventGapTarget:
		t.inTime++
		t.value += k.value
		window.worth += k.value
	default:
		t.late++
		t.value += k.lateValue
		window.worth += k.lateValue
	}
}

// done ends the proxy's attempt.
func (f *fleet) done(call *serverCall, outcome Outcome) {
	f.pickers[call.proxy].Done(f.now, call.result.Ticket, outcome, 0)
}

// retry has the proxy go on to another server.
func (f *fleet) retry(call *serverCall, offered bool) {
	f.attempt(serverCall{clientCall: call.clientCall, proxy: call.proxy, tried: append(call.tried, call.result.Server.ID), offered: offered})
}

// rejectFull has a server say that it is full.
func (f *fleet) rejectFull(call *serverCall) {
	f.unexecuted++
	f.after(call.oneWay, func() {
		f.done(call, NotExecuted)
		f.retry(call, call.offered)
	})
}

// callPlain has a server without a model answer.
func (f *fleet) callPlain(call *serverCall) {
	work := durationMS(drawn(f.rng, 60, 0.5, 450))
	accepted := f.plains[call.result.Server.ID].offer(work, func(running, waiting int) {
		f.after(call.oneWay, func() {
			f.pickers[call.proxy].ServerLoad(f.now, call.result.Server.ID, running, waiting, 6)
			f.done(call, Served)
			f.account(call, f.now-call.since+time.Millisecond, 0, true)
		})
	})
	if !accepted {
		f.rejectFull(call)
	}
}

// callEngine has a model server answer, or fail.
func (f *fleet) callEngine(call *serverCall) {
	server := f.engines[call.result.Server.ID]
	request := f.newJob(call)
	if server.down == "" && server.offer(request) {
		return
	}
	switch server.down {
	case "":
		f.rejectFull(call)
	case "reset":
		f.after(call.oneWay, func() {
			f.done(call, ConnectFailed)
			f.retry(call, call.offered)
		})
	case "dark":
		f.after(serverTimeout, func() { request.lost(TimedOut) })
	}
}

// newJob is a call as a model server sees it.
func (f *fleet) newJob(call *serverCall) *job {
	r := call.request
	request := &job{chain: prefixcache.NewChain(r.Prefix), in: r.TokensIn, out: r.MaxTokensOut, priority: call.result.Priority, deadline: call.since + call.kind.deadline}
	request.lost = func(outcome Outcome) {
		f.done(call, outcome)
		if call.kind.resumable {
			f.retry(call, true)
		} else {
			f.account(call, call.first, 0, false)
		}
	}
	request.first = func(running, waiting int) {
		f.after(call.oneWay, func() { f.firstEvent(call, running, waiting) })
	}
	request.done = func(served bool) {
		f.after(call.oneWay, func() {
			outcome := Served
			if !served {
				outcome = NotExecuted
			}
			f.idle[call.connection] = append(f.idle[call.connection], f.now)
			f.done(call, outcome)
			f.account(call, call.first, request.maxEventGap, served)
		})
	}
	return request
}

// firstEvent has the proxy learn of an answer's first event.
func (f *fleet) firstEvent(call *serverCall, running, waiting int) {
	call.first = f.now - call.since + time.Millisecond
	t, p := f.tallies[call.kind.name], f.pickers[call.proxy]
	t.latencies = append(t.latencies, ms(call.first))
	p.ServerLoad(f.now, call.result.Server.ID, running, waiting, f.slots)
	p.Started(f.now, call.result.Ticket)
	p.FirstEvent(f.now, call.result.Ticket)
}
