package pick

import (
	"container/list"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick/prefixcache"
)

// simulation is a simulated deployment.
type simulation struct {
	eventQueue
	scenario
	rng                  *rand.Rand
	cfg                  *config.Config
	servers              []Server
	engines              map[string]*engine
	plainServers         map[string]*plainServer
	pickers              []*Picker
	proxyZones           []string // zones of pickers
	stats                map[string]*requestStats
	sharedParts          map[string][][]PrefixPart
	prefills             map[uint64]int
	weights              map[shareSpec][]float64
	reprefilledTokens    int64
	firstPrefilledTokens int64
	reprefills           int
	price                float64
	newConns             int
	idle                 map[[2]string][]Time // by proxy and server: when each idle connection was last used
	lastPartID           uint64
	notExecuted          int
	onPick               func(picker int, r *Request, tried int, mayHaveRun bool, c Result) // called for every pick if set
	onShare              func(picker int, loads map[string]Load)                            // called for every share of loads if set
	windows              [12]struct{ value, maxValue float64 }                              // of 3 s each
}

func newSimulation(deployment scenario) *simulation {
	built := &simulation{scenario: deployment, rng: rand.New(rand.NewPCG(deployment.seed, 7)), engines: map[string]*engine{}, plainServers: map[string]*plainServer{},
		stats: map[string]*requestStats{}, sharedParts: map[string][][]PrefixPart{}, prefills: map[uint64]int{}, weights: map[shareSpec][]float64{}, lastPartID: 1 << 32,
		idle: map[[2]string][]Time{}}
	built.cfg = &config.Config{Services: map[string]*config.Service{
		"lm":     {Name: "lm", WarmUpRequestsPerSecond: 31, Engine: &config.Engine{Slots: deployment.slots, CacheTokens: deployment.spec.memoryTokens, TokensPerEvent: deployment.spec.tokensPerEvent}},
		"thumbs": {Name: "thumbs"},
	}}
	for i := range deployment.kinds {
		requests := &deployment.kinds[i]
		route := &config.Route{Name: requests.name, Host: requests.name, Prefix: "/", Category: config.Streaming, Timeout: requests.deadline, LatencyTarget: requests.latencyTarget,
			EventGapTarget: requests.eventGapTarget, Priority: requests.priority, MaxAttempts: 2, Resumable: requests.resumable, HomeRegions: requests.homeRegions, Shares: []config.Share{{Service: "lm", Weight: 1}}}
		if requests.plain {
			route.Category, route.Shares = config.Idempotent, []config.Share{{Service: "thumbs", Weight: 1}}
		}
		built.cfg.Routes = append(built.cfg.Routes, route)
		built.stats[requests.name] = &requestStats{}
		for _, shared := range requests.sharedParts {
			var parts []PrefixPart
			for range shared.items {
				built.lastPartID++
				parts = append(parts, PrefixPart{ID: built.lastPartID, Tokens: max(int(lognormal(built.rng, shared.mean, shared.spread, shared.limit)), 1)})
			}
			built.weights[shared] = zipfSums(shared.items, shared.skew)
			built.sharedParts[requests.name] = append(built.sharedParts[requests.name], parts)
		}
	}
	speeds := []float64{1, 1, 1.3}
	for _, zone := range deployment.zones {
		for i := range deployment.engines[zone] {
			id := fmt.Sprintf("lm-%s-%d", zone, i)
			built.servers = append(built.servers, Server{ID: id, Service: "lm", Address: id, Zone: zone, Region: deployment.regions[zone], Slots: deployment.slots})
			built.engines[id] = &engine{eventQueue: &built.eventQueue, spec: deployment.spec, speed: speeds[i%3], slots: deployment.slots, queue: deployment.queue,
				cache: map[uint64]*list.Element{}, lru: list.New(), onPrefill: built.recordPrefill}
		}
		id := "th-" + zone
		built.servers = append(built.servers, Server{ID: id, Service: "thumbs", Address: id, Zone: zone, Region: deployment.regions[zone], Slots: 6})
		built.plainServers[id] = &plainServer{eventQueue: &built.eventQueue, slots: 6, queue: 24}
	}
	var peers []string
	for _, zone := range deployment.zones {
		for i := range deployment.proxies[zone] {
			peers = append(peers, fmt.Sprintf("p-%s-%d", zone, i))
			built.proxyZones = append(built.proxyZones, zone)
		}
	}
	for i, name := range peers {
		picker := New(Settings{Zone: built.proxyZones[i], Region: deployment.regions[built.proxyZones[i]], Regions: deployment.regions, RetryRatio: 0.2, RetrySlack: 64,
			WarmUpExcess: 1.5, WarmUpSlack: 5, Seed: uint64(i), CrossRegionLatency: deployment.crossRegion,
			TestingKnobs: TestingKnobs{PromptPoolShare: deployment.fixedPoolShare}})
		picker.UpdateClusterState(0, ClusterState{Config: built.cfg, Servers: built.servers, Self: name, Peers: peers})
		picker.group("lm").idleTimeout = deployment.idleTimeout
		built.pickers = append(built.pickers, picker)
	}
	return built
}

func (f *simulation) recordPrefill(key uint64, tokens int) {
	if f.prefills[key]++; f.prefills[key] > 1 {
		f.reprefilledTokens += int64(tokens)
		f.reprefills++
	} else {
		f.firstPrefilledTokens += int64(tokens)
	}
}

func (f *simulation) shareLoads() {
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
		p.PromptDemands().AddTo(each[i])
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

func (f *simulation) run() {
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
					f.after(f.downUntil-f.downAt, func() { e.down = "" })
				}
			}
		})
	}
	f.eventQueue.run(f.length + 10*time.Second)
}

func (f *simulation) arrivals(rng *rand.Rand, zone string, requests *requestKind) {
	if f.now > f.length {
		return
	}
	phase := 0.0
	if f.regions[zone] != f.regions[f.zones[0]] {
		phase = 0.5
	}
	rate := f.traffic[zone] * requests.trafficShare * (1 + 0.4*math.Sin(2*math.Pi*(f.now.Seconds()/26+phase)))
	if requests.burstFactor > 0 && f.now >= requests.burstStart && f.now < requests.burstEnd {
		rate *= requests.burstFactor
	}
	f.after(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if f.now <= f.length {
			f.newRequest(rng, zone, requests)
		}
		f.arrivals(rng, zone, requests)
	})
}

// newRequest draws a client's request, which may be retried once, and sends it.
func (f *simulation) newRequest(rng *rand.Rand, zone string, requests *requestKind) {
	request := &Request{}
	for _, route := range f.cfg.Routes {
		if route.Name == requests.name {
			request.Route = route
		}
	}
	own := int(lognormal(rng, requests.privateTokens[0], requests.privateTokens[1], requests.privateTokens[2]))
	if n := len(requests.sharedParts); n > 0 {
		item := sampleIndex(rng, f.weights[requests.sharedParts[n-1]])
		for i, shared := range requests.sharedParts { // each item belongs to one item of the previous level
			request.Prefix = append(request.Prefix, f.sharedParts[requests.name][i][item%shared.items])
		}
	}
	f.lastPartID++
	request.Prefix = append(request.Prefix, PrefixPart{ID: f.lastPartID, Tokens: max(own, 1)})
	for _, x := range request.Prefix {
		request.TokensIn += x.Tokens
	}
	events := max(lognormal(rng, requests.outputEvents[0], requests.outputEvents[1], requests.outputEvents[2]), 1)
	request.MaxTokensOut = int(events * float64(f.spec.tokensPerEvent))
	t := f.stats[requests.name]
	t.requests++
	t.maxValue += requests.value
	f.windows[min(int(f.now/(3*time.Second)), len(f.windows)-1)].maxValue += requests.value
	f.sendToProxy(clientCall{zone: zone, kind: requests, request: request, startedAt: f.now, retries: 1})
}

// clientCall is one client's request with the client's retry state.
type clientCall struct {
	zone      string
	kind      *requestKind
	request   *Request
	startedAt Time // when the client first sent it
	retries   int  // remaining retries of the client
}

// sendToProxy sends a client's request to one of the proxies in its zone.
func (f *simulation) sendToProxy(call clientCall) {
	var proxies []int
	for i, zone := range f.proxyZones {
		if zone == call.zone {
			proxies = append(proxies, i)
		}
	}
	proxy := proxies[f.rng.IntN(len(proxies))]
	f.after(time.Millisecond, func() {
		request := *call.request
		request.countedAttempts = 0
		call.request = &request
		f.pickers[proxy].RecordRequest(f.now, &request)
		f.attempt(serverCall{clientCall: call, proxy: proxy})
	})
}

// connect uses an idle connection, or counts a new one.
func (f *simulation) connect(connection [2]string) {
	idle := f.idle[connection]
	if n := len(idle); n > 0 && f.now-idle[n-1] <= f.idleTimeout {
		f.idle[connection] = idle[:n-1]
		return
	}
	f.idle[connection] = nil
	f.newConns++
}

// serverTimeout is how long a proxy waits for a server that does not respond.
const serverTimeout = 1200 * time.Millisecond

// serverCall is one attempt of a proxy to serve a request.
type serverCall struct {
	clientCall
	proxy      int
	tried      []string // servers of the previous attempts
	mayHaveRun bool     // one of these attempts may have run

	result          Result
	oneWay          time.Duration // to the server
	connection      [2]string
	firstEventAfter time.Duration // from the client's request to the first event
}

// attempt has a proxy pick a server and send the request to it.
func (f *simulation) attempt(call serverCall) {
	call.request.TimeLeft = call.kind.deadline - (f.now - call.startedAt)
	call.result = f.pickers[call.proxy].Pick(f.now, call.request, call.tried, call.mayHaveRun)
	if f.onPick != nil {
		f.onPick(call.proxy, call.request, len(call.tried), call.mayHaveRun, call.result)
	}
	if call.result.Decision != Send {
		f.retryLater(call)
		return
	}
	call.oneWay = f.networkDelay(&call)
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

// retryLater has the client retry after the Retry-After, if it has retries left.
func (f *simulation) retryLater(call serverCall) {
	if call.retries == 0 || call.mayHaveRun {
		f.stats[call.kind.name].rejected++
		return
	}
	retried := call.clientCall
	retried.retries--
	f.after(call.result.RetryAfter, func() { f.sendToProxy(retried) })
}

// networkDelay returns how long a request takes to its server, and adds the network's price.
func (f *simulation) networkDelay(call *serverCall) time.Duration {
	k, r, t := call.kind, call.request, f.stats[call.kind.name]
	bytes := float64(r.TokensIn)*k.bytesPerToken + float64(r.MaxTokensOut)/float64(f.spec.tokensPerEvent)*k.bytesPerEvent + 300
	if k.plain {
		bytes = 1700
	}
	switch zone := f.proxyZones[call.proxy]; {
	case call.result.Server.Region != f.regions[zone]:
		f.price += bytes / 1e9 * f.prices.regionGB
		t.otherRegion++
		return f.crossRegion
	case call.result.Server.Zone != zone:
		f.price += bytes / 1e9 * f.prices.zoneGB
		t.otherZone++
		return 900 * time.Microsecond
	}
	return 100 * time.Microsecond
}

// recordOutcome counts how a client's request ended.
func (f *simulation) recordOutcome(call *serverCall, first, eventGap time.Duration, served bool) {
	k, t := call.kind, f.stats[call.kind.name]
	window := &f.windows[min(int(call.startedAt/(3*time.Second)), len(f.windows)-1)]
	switch {
	case !served || f.now-call.startedAt > k.deadline:
		t.lost++
	case first <= k.latencyTarget && eventGap <= k.eventGapTarget:
		t.onTime++
		t.value += k.value
		window.value += k.value
	default:
		t.late++
		t.value += k.lateValue
		window.value += k.lateValue
	}
}

// endAttempt ends the proxy's attempt.
func (f *simulation) endAttempt(call *serverCall, outcome AttemptOutcome) {
	f.pickers[call.proxy].Done(f.now, call.result.Ticket, outcome, 0)
}

// retry has the proxy try another server.
func (f *simulation) retry(call *serverCall, mayHaveRun bool) {
	f.attempt(serverCall{clientCall: call.clientCall, proxy: call.proxy, tried: append(call.tried, call.result.Server.ID), mayHaveRun: mayHaveRun})
}

// rejectFull has a server reject a request because it is full.
func (f *simulation) rejectFull(call *serverCall) {
	f.notExecuted++
	f.after(call.oneWay, func() {
		f.endAttempt(call, NotExecuted)
		f.retry(call, call.mayHaveRun)
	})
}

// callPlain has a server without a model serve a request.
func (f *simulation) callPlain(call *serverCall) {
	work := durationMS(lognormal(f.rng, 60, 0.5, 450))
	accepted := f.plainServers[call.result.Server.ID].offer(work, func(running, waiting int) {
		f.after(call.oneWay, func() {
			f.pickers[call.proxy].ServerLoad(f.now, call.result.Server.ID, running, waiting, 6)
			f.endAttempt(call, Served)
			f.recordOutcome(call, f.now-call.startedAt+time.Millisecond, 0, true)
		})
	})
	if !accepted {
		f.rejectFull(call)
	}
}

// callEngine has a model server serve a request, or fail.
func (f *simulation) callEngine(call *serverCall) {
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
			f.endAttempt(call, ConnectFailed)
			f.retry(call, call.mayHaveRun)
		})
	case "dark":
		f.after(serverTimeout, func() { request.onLost(TimedOut) })
	}
}

// newJob returns a call as the model server sees it.
func (f *simulation) newJob(call *serverCall) *job {
	r := call.request
	request := &job{chain: prefixcache.NewChain(r.Prefix), tokensIn: r.TokensIn, maxTokensOut: r.MaxTokensOut, priority: call.result.Priority, deadline: call.startedAt + call.kind.deadline}
	request.onLost = func(outcome AttemptOutcome) {
		f.endAttempt(call, outcome)
		if call.kind.resumable {
			f.retry(call, true)
		} else {
			f.recordOutcome(call, call.firstEventAfter, 0, false)
		}
	}
	request.onFirstEvent = func(running, waiting int) {
		f.after(call.oneWay, func() { f.firstEvent(call, running, waiting) })
	}
	request.onDone = func(served bool) {
		f.after(call.oneWay, func() {
			outcome := Served
			if !served {
				outcome = NotExecuted
			}
			f.idle[call.connection] = append(f.idle[call.connection], f.now)
			f.endAttempt(call, outcome)
			f.recordOutcome(call, call.firstEventAfter, request.maxEventGap, served)
		})
	}
	return request
}

// firstEvent has the proxy process the first event of a response.
func (f *simulation) firstEvent(call *serverCall, running, waiting int) {
	call.firstEventAfter = f.now - call.startedAt + time.Millisecond
	t, p := f.stats[call.kind.name], f.pickers[call.proxy]
	t.latencies = append(t.latencies, ms(call.firstEventAfter))
	p.ServerLoad(f.now, call.result.Server.ID, running, waiting, f.slots)
	p.ResponseStarted(f.now, call.result.Ticket)
	p.FirstEvent(f.now, call.result.Ticket)
}
