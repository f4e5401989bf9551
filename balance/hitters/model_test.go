package hitters

import (
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

// The simulation has a fleet of sidecars with uneven traffic, clients with random skew, servers with a limited capacity that serve
// the same share of everything they are sent, and reports that are delayed or lost. Only some sidecars evaluate reports
// (evaluators). The others send reports, and reject requests according to one of the evaluators.
const (
	sidecars           = 300
	evaluators         = 24
	clients            = 2000
	step               = 50 * time.Millisecond
	requestsPerSidecar = 4.0 // mean requests per second of a sidecar without floods
	meanWork           = 0.05
	floodAt            = 4 * time.Second // start of the floods; the servers can handle the other requests
	detectionDeadline  = floodAt + 3*time.Second
	duration           = 16 * time.Second
	firstFlooder       = 1 << 20 // key of the first flooding client
	firstSingleUse     = 1 << 40 // lowest key of clients that send a single request
	capacityFactor     = 1.05    // capacity relative to the work without a flood
	usualLoss          = 0.13    // share of reports lost: with full gossip (see ReportInterval), so many sidecars miss a report
	maxQueueSteps      = 6       // maximum queue in steps of work; servers count as full for 6 s once half of it is used
)

type scenario struct {
	name             string
	floods           int
	share            float64       // share of each flood in the fleet's work
	firstSidecarOnly bool          // all of the flood goes through the first sidecar
	partitioned      bool          // sidecars with even and odd indexes get no reports of each other
	killed           float64       // share of the sidecars that stop a second after the start of the flood
	falseReport      *Report       // false report that the last sidecar sends instead of its own
	singleUse        float64       // share of the requests other than floods that are the only one of their client
	load             float64       // load without floods, relative to the usual load; 0: 1
	loss             float64       // share of reports lost
	maxDelay         time.Duration // maximum delay of reports
}

var falseReportTemplate = Report{Requests: 1 << 31, Served: 1, Shares: [maxNamed]uint16{fullShare}, Named: 1, Keys: [maxNamed]uint64{40}}

func newFalseReport(total uint64) *Report { r := falseReportTemplate; r.Total = total; return &r }

var scenarios = []scenario{
	{name: "sound"},
	{name: "busy", load: 1.6},
	{name: "spread", floods: 1, share: 0.2},
	{name: "twice the threshold", floods: 1, share: 0.085},
	{name: "one sidecar", floods: 1, share: 0.3, firstSidecarOnly: true},
	{name: "ten", floods: 10, share: 0.085},
	{name: "cut", floods: 2, share: 0.2, partitioned: true},
	{name: "killed", floods: 2, share: 0.15, killed: 0.3},
	{name: "large false report", floods: 1, share: 0.15, falseReport: newFalseReport(maxTotal)},
	{name: "small false report", floods: 1, share: 0.15, falseReport: newFalseReport(1 << 20)},
	{name: "distinct", floods: 1, share: 0.15, singleUse: 0.6},
	{name: "news", floods: 1, share: 0.2, loss: 0.3, maxDelay: time.Second},
}

// outcome is the result of a scenario. Heavy clients are counted per evaluator: expected is the number of clients that should be heavy
// 3 s after their flood started because their rate is over twice the high threshold, and detected the number of those that are.
// truePositives and falsePositives count the clients that are heavy at any time, by whether they flood.
type outcome struct {
	expected, detected, falsePositives, truePositives float64
	delay                                             time.Duration // until 95% of the floods were detected
	servedBefore, servedDuring                        float64       // share of the other clients' work, before and 3 s into the flood
	admitted                                          float64       // share of the floods' work that was served
	bytes, messages                                   float64
}

// delivery is a report in transit to a sidecar.
type delivery struct {
	to int
	OriginReport
	sent Time
}

// served counts requested work and the part of it that was done.
type served struct{ asked, done float64 }

func (s *served) add(asked, done float64) {
	s.asked += asked
	s.done += done
}

// simulation simulates a scenario.
type simulation struct {
	scenario
	rng        *rand.Rand
	now        Time
	high       float64 // threshold
	window     time.Duration
	detectors  []*Detector
	traffic    []float64       // cumulative weights of the sidecars
	popularity []float64       // cumulative weights of the clients
	base       float64         // requests per second without floods
	flood      float64         // requests per second of each flood, of mean work
	isFlood    map[uint64]bool // by key
	inTransit  map[Time][]delivery

	capacity      float64 // work that servers do in a step
	acceptedShare float64 // share of the sent work that servers accept
	queue         float64 // work queued at servers
	sent          float64 // work sent in this step
	fullUntil     Time

	before, others, flooding served
	isDetected               bool
	outcome                  outcome
}

// run simulates a scenario.
func (s scenario) run(t *testing.T, seed uint64) outcome {
	t.Helper()
	sim := newSimulation(t, s, seed)
	for ; sim.now < duration; sim.now += step {
		sim.deliver()
		sim.sent = 0
		sim.sendUsual()
		sim.sendFloods()
		sim.serve()
		sim.report()
		sim.countDetected()
	}
	return sim.result()
}

func newSimulation(t *testing.T, played scenario, seed uint64) *simulation {
	t.Helper()
	settings := Defaults()
	sim := &simulation{
		scenario: played, rng: rand.New(rand.NewPCG(seed, 1)), high: settings.HighThreshold, window: settings.Window,
		detectors: make([]*Detector, sidecars), traffic: make([]float64, sidecars), popularity: make([]float64, clients),
		isFlood: map[uint64]bool{}, inTransit: map[Time][]delivery{}, acceptedShare: 1, fullUntil: -1,
		capacity: capacityFactor * requestsPerSidecar * sidecars * meanWork * step.Seconds(),
	}
	for index := range sim.detectors {
		settings.Origin = uint64(index + 1)
		detector, err := New(&settings)
		if err != nil {
			t.Fatal(err)
		}
		sim.detectors[index] = detector
		sim.traffic[index] = math.Exp(0.8 * sim.rng.NormFloat64())
	}
	skew, sum := 0.4+0.25*sim.rng.Float64(), 0.0
	for index := range sim.popularity {
		sum += math.Pow(float64(index+1), -skew)
		sim.popularity[index] = sum
	}
	for index := 1; index < sidecars; index++ {
		sim.traffic[index] += sim.traffic[index-1]
	}
	sim.base = requestsPerSidecar * sidecars * max(played.load, 1)
	sim.flood = sim.base * played.share / (1 - played.share*float64(played.floods))
	for index := range played.floods {
		sim.isFlood[uint64(firstFlooder+index)] = true
	}
	return sim
}

// pick returns a random index by cumulative weights.
func (sim *simulation) pick(weights []float64) int {
	x := sim.rng.Float64() * weights[len(weights)-1]
	for i, w := range weights {
		if x < w {
			return i
		}
	}
	return 0
}

func (sim *simulation) isAlive(i int) bool {
	return sim.now < floodAt+time.Second || float64(i*7919%sidecars) >= sim.killed*sidecars
}

func (sim *simulation) deliver() {
	for _, d := range sim.inTransit[sim.now] {
		d.Age = sim.now - d.sent
		if sim.isAlive(d.to) {
			sim.detectors[d.to].Receive(sim.now, d.OriginReport)
		}
	}
	delete(sim.inTransit, sim.now)
}

func (sim *simulation) sendUsual() {
	for range poisson(sim.rng, sim.base*step.Seconds()) {
		key := uint64(sim.pick(sim.popularity) + 1)
		if sim.rng.Float64() < sim.singleUse {
			key = firstSingleUse + sim.rng.Uint64()>>1
		}
		sim.sendRequest(sim.pick(sim.traffic), key)
	}
}

func (sim *simulation) sendFloods() {
	if sim.now < floodAt {
		return
	}
	for f := range sim.floods {
		for range poisson(sim.rng, sim.flood*step.Seconds()) {
			i := 0
			if !sim.firstSidecarOnly {
				i = sim.rng.IntN(sidecars)
			}
			sim.sendRequest(i, uint64(firstFlooder+f))
		}
	}
}

// sendRequest sends a request of a client through a sidecar.
func (sim *simulation) sendRequest(i int, key uint64) {
	if !sim.isAlive(i) {
		return
	}
	work := min(meanWork*sim.rng.ExpFloat64(), 8*meanWork)
	_, rejected := sim.evaluatorFor(i, key).ShouldReject(sim.now, sim.now < sim.fullUntil, key, sim.rng.Uint64())
	isServed := !rejected && sim.rng.Float64() < sim.acceptedShare
	if !rejected {
		sim.sent += work
	}
	sim.detectors[i].Observe(key, time.Duration(work*float64(time.Second)), isServed)
	done := 0.0
	if isServed {
		done = work
	}
	switch {
	case sim.now < floodAt:
		sim.before.add(work, done)
	case sim.now >= detectionDeadline && sim.isFlood[key]:
		sim.flooding.add(work, done)
	case sim.now >= detectionDeadline:
		sim.others.add(work, done)
	}
}

// evaluatorFor returns the evaluator that determines which requests a sidecar rejects.
func (sim *simulation) evaluatorFor(i int, key uint64) *Detector {
	if sim.firstSidecarOnly && sim.isFlood[key] || sim.partitioned && i%2 != i%evaluators%2 {
		return sim.detectors[i]
	}
	return sim.detectors[i%evaluators]
}

// serve simulates a step of the servers.
func (sim *simulation) serve() {
	sim.queue = max(0, sim.queue+sim.sent*sim.acceptedShare-sim.capacity)
	if sim.queue > maxQueueSteps*sim.capacity/2 {
		sim.fullUntil = sim.now + 6*time.Second
	}
	sim.acceptedShare = min(1, max(0, (maxQueueSteps+1)*sim.capacity-sim.queue)/max(sim.sent, 1e-9))
}

// report closes the windows that have ended, and sends their reports.
func (sim *simulation) report() {
	for index, detector := range sim.detectors {
		if (sim.now/step+Time(index))%(sim.window/step) != 0 || !sim.isAlive(index) {
			continue
		}
		var own OriginReport
		if index < evaluators {
			own, _ = detector.EndWindow(sim.now)
		} else {
			own = detector.closeWindow(sim.now)
		}
		if sim.falseReport != nil && index == sidecars-1 {
			own.Report = *sim.falseReport
		}
		if own.Seq%ReportInterval(sidecars) == 0 {
			sim.send(index, own)
		}
	}
}

// send schedules the arrival of a report at the evaluators, unless it is lost.
func (sim *simulation) send(from int, own OriginReport) {
	encoded := own.Report.Append(nil)
	sim.outcome.bytes += float64(len(encoded))
	sim.outcome.messages++
	own.Report, _ = ParseReport(encoded)
	for to := range evaluators {
		if to != from && sim.rng.Float64() >= max(sim.loss, usualLoss) && (!sim.partitioned || to%2 == from%2) {
			at := sim.now + step*(1+Time(sim.rng.IntN(int(max(sim.maxDelay, 4*step)/step))))
			sim.inTransit[at] = append(sim.inTransit[at], delivery{to, own, sim.now})
		}
	}
}

// countDetected counts the clients that are heavy, rightly or not.
func (sim *simulation) countDetected() {
	got, want := 0.0, 0.0
	for i, detector := range sim.detectors[:evaluators] {
		if !sim.isAlive(i) || sim.now < floodAt {
			continue
		}
		for key := range sim.isFlood {
			if sim.firstSidecarOnly && i != 0 || sim.share < 2*sim.high {
				continue
			}
			want++
			if detector.client(key).State == Heavy {
				got++
			}
		}
		sim.countVerdicts(detector)
	}
	if !sim.isDetected && want > 0 && got >= 0.95*want {
		sim.isDetected = true
		sim.outcome.delay = sim.now - floodAt
	}
	if sim.now >= detectionDeadline {
		sim.outcome.expected += want
		sim.outcome.detected += got
	}
}

func (sim *simulation) countVerdicts(detector *Detector) {
	for _, c := range detector.clients {
		switch {
		case c.State != Heavy:
		case sim.isFlood[c.Key]:
			sim.outcome.truePositives++
		default:
			sim.outcome.falsePositives++
		}
	}
}

func (sim *simulation) result() outcome {
	o := sim.outcome
	if !sim.isDetected {
		o.delay = duration
	}
	o.servedBefore, o.servedDuring, o.admitted = sim.before.done/sim.before.asked, sim.others.done/sim.others.asked,
		sim.flooding.done/max(sim.flooding.asked, 1e-9)
	o.bytes, o.messages = o.bytes/duration.Seconds()/sidecars, o.messages/duration.Seconds()/sidecars
	return o
}

func poisson(rng *rand.Rand, mean float64) (n int) {
	for sum := rng.ExpFloat64(); sum < mean; sum += rng.ExpFloat64() {
		n++
	}
	return n
}

// TestFleet simulates each scenario and checks the detection: a precision of 0.99, and a recall of 0.95 within 3 s for clients over
// twice the high threshold.
func TestFleet(t *testing.T) {
	for _, test := range scenarios {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			got := test.run(t, 7)
			precision, recall := got.truePositives/max(got.truePositives+got.falsePositives, 1), got.detected/max(got.expected, 1)
			t.Logf("precision %.4f, recall %.3f, detected after %v, others served %.3f, %.3f in floods, floods %.3f, %.0f B/s, %.1f messages/s",
				precision, recall, got.delay, got.servedBefore, got.servedDuring, got.admitted, got.bytes, got.messages)
			if test.floods == 0 {
				if got.falsePositives > 0 {
					t.Errorf("a client was wrongly counted as heavy %v times", got.falsePositives)
				}
				return
			}
			if precision < 0.99 || recall < 0.95 || got.delay > 3*time.Second || got.expected == 0 {
				t.Errorf("precision %v, recall %v of %v, detected after %v", precision, recall, got.expected, got.delay)
			}
			if !test.partitioned && test.killed == 0 && got.servedBefore-got.servedDuring > 0.02 {
				t.Errorf("share of other clients' work served: %v before the flood, %v during it", got.servedBefore, got.servedDuring)
			}
		})
	}
}

// fullDetector returns a Detector and reports from some origins that name as many clients as possible.
func fullDetector(origins int) (*Detector, []OriginReport) {
	settings := Defaults()
	detector, _ := New(&settings)
	reports := make([]OriginReport, origins)
	for i := range reports {
		r := Report{Total: 1_000_000, Requests: 100, Served: fullShare, Named: maxNamed}
		for k := range r.Keys {
			r.Keys[k], r.Shares[k] = uint64(i%20*maxNamed+k+1), fullShare/maxNamed
		}
		reports[i] = OriginReport{Origin: uint64(i + 1), Report: r}
	}
	return detector, reports
}

// TestMemory checks that a Detector with 300 origins and the maximum number of clients takes at most 64 kB.
func TestMemory(t *testing.T) {
	const n = 16
	var before, after runtime.MemStats
	_, reports := fullDetector(sidecars)
	runtime.GC()
	runtime.ReadMemStats(&before)
	var all [n]*Detector
	for i := range all {
		all[i] = newFullDetector(reports)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	held := (int(after.HeapAlloc) - int(before.HeapAlloc)) / n
	t.Logf("%d bytes with %d origins and %d clients", held, len(all[0].reports), len(all[0].clients))
	if held > 64<<10 || len(all[0].clients) != maxClients {
		t.Errorf("%d bytes with %d clients, want at most 64 kB with the maximum of clients", held, len(all[0].clients))
	}
	runtime.KeepAlive(all)
	runtime.KeepAlive(reports)
}

func newFullDetector(reports []OriginReport) *Detector {
	detector, _ := fullDetector(0)
	for range 3 {
		for k := range uint64(10_000) {
			detector.Observe(k, time.Second, true)
		}
		detector.closeWindow(0)
	}
	for k := range uint64(2 * maxClients) {
		detector.storeClient(&Client{Key: k, State: Heavy, Name: string(make([]byte, maxNameBytes))})
	}
	for _, n := range reports {
		detector.Receive(0, n)
	}
	return detector
}

// BenchmarkSecond measures the work of a sidecar in a second, with 300 other sidecars and a thousand requests of as many clients.
func BenchmarkSecond(b *testing.B) {
	detector, reports := fullDetector(sidecars)
	encoded := make([][]byte, len(reports))
	for i, n := range reports {
		encoded[i] = n.Report.Append(nil)
	}
	now := Time(0)
	for b.Loop() {
		for range time.Second / detector.settings.Window {
			now += detector.settings.Window
			for i, n := range reports {
				n.Seq, n.Report = uint64(now), Report{}
				n.Report, _ = ParseReport(encoded[i])
				detector.Receive(now, n)
			}
			for k := range uint64(500) {
				detector.ShouldReject(now, true, k, k)
				detector.Observe(k+uint64(now), time.Millisecond, true)
			}
			detector.EndWindow(now)
		}
	}
}
