package pick

import (
	"flag"
	"testing"
	"time"
)

var runLong = flag.Bool("pick.long", false, "play the simulation's days whole, all of them and three times")

// The deployments below are taken from the site pages.

func aula() scenario {
	return scenario{
		name: "aula", seed: 1, length: 34 * time.Second, shareInterval: 200 * time.Millisecond, crossRegion: 35 * time.Millisecond,
		zones:   []string{"ca", "ia", "cb"},
		regions: map[string]string{"ca": "cluj", "cb": "cluj", "ia": "iasi"},
		proxies: map[string]int{"ca": 5, "ia": 4, "cb": 3}, engines: map[string]int{"ca": 5, "ia": 8, "cb": 5},
		traffic: map[string]float64{"ca": 74.5, "ia": 149, "cb": 74.5},
		slots:   48, queue: 134, idleTimeout: 5 * time.Second,
		prices: prices{regionGB: 22000, zoneGB: 5500, prefillPerThousand: 0.47, connect: 0.012},
		spec:   engineSpec{stepMS: 5.09, perSlotMS: 0.0303, tokensPerMS: 51.1, attentionMS: 0.323, firstEventMS: 47, memoryTokens: 318206, tokensPerEvent: 5},
		kinds: []requestKind{
			{name: "chapter-summary", trafficShare: 14.3 / 298, latencyTarget: time.Second, eventGapTarget: 600 * time.Millisecond, deadline: 8 * time.Second, value: 2, lateValue: 0.6, priority: 1,
				sharedParts: []shareSpec{{13300, 0.7, 39900, 54, 0.3}}, privateTokens: [3]float64{3720, 1.1, 53200}, outputEvents: [3]float64{23.9, 1.4, 95.8}, bytesPerToken: 2, bytesPerEvent: 55},
			{name: "clip-question", trafficShare: 224.0 / 298, latencyTarget: 800 * time.Millisecond, eventGapTarget: 600 * time.Millisecond, deadline: 5 * time.Second, value: 3, lateValue: 0.9,
				homeRegions: []string{"cluj"}, sharedParts: []shareSpec{{55.2, 0.4, 138, 8, 0}, {36.8, 0.7, 110, 846, 0.3}}, privateTokens: [3]float64{291, 1.4, 1830}, outputEvents: [3]float64{9.02, 1.4, 36.1},
				bytesPerToken: 2, bytesPerEvent: 55, resumable: true},
			{name: "thumb-fetch", trafficShare: 59.6 / 298, latencyTarget: 400 * time.Millisecond, eventGapTarget: time.Hour, deadline: 2500 * time.Millisecond, value: 1, lateValue: 0.3, priority: 2, plain: true},
		},
	}
}

func hakata() scenario {
	deployment := aula()
	deployment.name, deployment.zones = "hakata", []string{"fa", "ka", "fb"}
	deployment.regions = map[string]string{"fa": "cluj", "fb": "cluj", "ka": "iasi"}
	deployment.proxies = map[string]int{"fa": 5, "ka": 4, "fb": 3}
	deployment.engines = map[string]int{"fa": 3, "ka": 5, "fb": 3}
	deployment.traffic = map[string]float64{"fa": 72.7, "ka": 145, "fb": 72.7}
	deployment.crossRegion = 55 * time.Millisecond
	deployment.slots, deployment.queue = 64, 192
	deployment.prices = prices{regionGB: 28000, zoneGB: 6900, prefillPerThousand: 0.72, connect: 0.012}
	deployment.spec = engineSpec{stepMS: 4.23, perSlotMS: 0.000767, tokensPerMS: 64.2, attentionMS: 0.647, firstEventMS: 0.67, memoryTokens: 319818, tokensPerEvent: 6}
	k := deployment.kinds
	k[0].trafficShare, k[0].eventGapTarget, k[0].lateValue, k[0].sharedParts[0].items = 8.47/290, 400*time.Millisecond, 0.2, 32
	k[0].outputEvents = [3]float64{20, 1.4, 79.8}
	k[1].trafficShare, k[1].eventGapTarget, k[1].lateValue, k[1].sharedParts[1].items = 224.0/290, 400*time.Millisecond, 0.3, 1271
	k[1].outputEvents = [3]float64{7.52, 1.4, 30.1}
	k[2].trafficShare, k[2].latencyTarget = 58.1/290, 500*time.Millisecond
	return deployment
}

func grown() scenario {
	deployment := aula()
	deployment.name, deployment.zones = "aula grown", []string{"ca", "ia", "cb", "ib", "cc", "ic"}
	deployment.regions, deployment.proxies, deployment.engines, deployment.traffic = map[string]string{}, map[string]int{}, map[string]int{}, map[string]float64{}
	for _, z := range deployment.zones {
		deployment.regions[z], deployment.engines[z] = "cluj", 17
		if z[0] == 'i' {
			deployment.regions[z], deployment.engines[z] = "iasi", 13
		}
		deployment.proxies[z], deployment.traffic[z] = 15, 150
	}
	deployment.slots, deployment.queue = 12, 24
	deployment.prices = prices{regionGB: 26000, zoneGB: 6500, prefillPerThousand: 0.27, connect: 0.012}
	deployment.spec.tokensPerEvent, deployment.spec.memoryTokens = 7, 312631
	k := deployment.kinds
	k[0].trafficShare, k[0].eventGapTarget, k[0].sharedParts[0].items, k[0].bytesPerToken = 77.6/900, 800*time.Millisecond, 293, 1
	k[0].outputEvents = [3]float64{17.1, 1.4, 68.4}
	k[1].trafficShare, k[1].eventGapTarget, k[1].sharedParts[1].items, k[1].bytesPerToken, k[1].deadline = 643.0/900, 800*time.Millisecond, 2430, 1, 4*time.Second
	k[1].outputEvents = [3]float64{6.45, 1.4, 25.8}
	k[2].trafficShare = 180.0 / 900
	deployment.length = 24 * time.Second
	return deployment
}

// maktab is a deployment of three regions of different size, whose long prompts share parts on two levels.
func maktab() scenario {
	deployment := scenario{
		name: "maktab", seed: 1, length: 34 * time.Second, shareInterval: 200 * time.Millisecond, crossRegion: 20 * time.Millisecond,
		zones:   []string{"ca", "xa", "sa", "cb", "xb", "sb"},
		regions: map[string]string{"ca": "cairo", "cb": "cairo", "xa": "alexandria", "xb": "alexandria", "sa": "aswan", "sb": "aswan"},
		proxies: map[string]int{"ca": 14, "cb": 14, "xa": 14, "xb": 16, "sa": 15, "sb": 17},
		engines: map[string]int{"ca": 20, "cb": 20, "xa": 15, "xb": 15, "sa": 10, "sb": 10},
		traffic: map[string]float64{},
		slots:   96, queue: 288, idleTimeout: 5 * time.Second,
		prices: prices{regionGB: 7800, zoneGB: 1900, prefillPerThousand: 0.12, connect: 0.06},
		spec:   engineSpec{stepMS: 4.73, perSlotMS: 0.0138, tokensPerMS: 38.4, attentionMS: 1.18, firstEventMS: 40, memoryTokens: 193656, tokensPerEvent: 6},
		kinds: []requestKind{
			{name: "policy-digest", trafficShare: 109 / 463.7, latencyTarget: time.Second, eventGapTarget: 600 * time.Millisecond, deadline: 5 * time.Second, value: 2, lateValue: 0.6, priority: 1,
				sharedParts: []shareSpec{{2520, 0.4, 6290, 4, 0}, {3780, 0.7, 11300, 614, 0.3}}, privateTokens: [3]float64{2890, 1, 18300}, outputEvents: [3]float64{8.68, 1.4, 34.7}, bytesPerToken: 1, bytesPerEvent: 60},
			{name: "booking-confirm", trafficShare: 96 / 463.7, latencyTarget: 800 * time.Millisecond, eventGapTarget: 600 * time.Millisecond, deadline: 4 * time.Second, value: 3, lateValue: 0.9,
				sharedParts: []shareSpec{{341, 0.4, 851, 16, 0}, {227, 0.7, 681, 362, 0.3}}, privateTokens: [3]float64{1800, 1.3, 6870}, outputEvents: [3]float64{3.76, 1.4, 15}, bytesPerToken: 1, bytesPerEvent: 60, resumable: true},
			{name: "desk-suggest", trafficShare: 166 / 463.7, latencyTarget: 800 * time.Millisecond, eventGapTarget: 600 * time.Millisecond, deadline: 15 * time.Second, value: 1, lateValue: 0.3, priority: 2,
				homeRegions: []string{"cairo", "alexandria"}, sharedParts: []shareSpec{{103, 0.4, 257, 80, 0}, {68.6, 0.7, 206, 941, 0.3}}, privateTokens: [3]float64{543, 0.89, 2310}, outputEvents: [3]float64{46.6, 0.7, 159}, bytesPerToken: 1, bytesPerEvent: 60},
			{name: "seat-lookup", trafficShare: 92.7 / 463.7, latencyTarget: 400 * time.Millisecond, eventGapTarget: time.Hour, deadline: 2 * time.Second, value: 1, lateValue: 0.3, priority: 2, plain: true},
		},
	}
	for _, z := range deployment.zones {
		deployment.traffic[z] = 77.3
	}
	return deployment
}

// dayScenarios returns the scenarios of a deployment: without events, with an evacuated zone, with a
// burst, with servers that stop responding or reset connections, and with a burst and an evacuated zone.
func dayScenarios(deployment scenario) (all []scenario) {
	add := func(name string, change func(*scenario)) {
		day := deployment
		day.kinds = append([]requestKind(nil), deployment.kinds...)
		day.name += " " + name
		change(&day)
		all = append(all, day)
	}
	evacuate := func(day *scenario) { day.evacuated, day.evacuateAt = deployment.zones[2], deployment.length/4 }
	burst := func(day *scenario) {
		day.kinds[1].burstFactor, day.kinds[1].burstStart, day.kinds[1].burstEnd = 2.5, deployment.length*3/10, deployment.length*6/10
	}
	add("quiet", func(*scenario) {})
	add("evacuated", evacuate)
	add("burst", burst)
	add("dark", func(day *scenario) {
		day.down, day.downAt, day.downUntil = "dark", deployment.length*3/10, deployment.length*4/10
	})
	add("reset", func(day *scenario) {
		day.down, day.downAt, day.downUntil = "reset", deployment.length*3/10, deployment.length*4/10
	})
	add("burst and evacuated", func(day *scenario) { evacuate(day); burst(day) })
	return all
}

// TestSimulation simulates days of the deployments, and checks that the share
// of requests on time stays above a floor a little below the measured value.
func TestSimulation(t *testing.T) {
	if *runLong {
		for _, deployment := range append(append(dayScenarios(aula()), dayScenarios(hakata())...), grown(), maktab()) {
			mean := 0.0
			for deployment.seed = 1; deployment.seed <= 3; deployment.seed++ {
				simulated := newSimulation(deployment)
				simulated.run()
				text, score := simulated.report()
				t.Logf("\n%s", text)
				mean += score / 3
			}
			t.Logf("mean %.4f %s", mean, deployment.name)
		}
		return
	}
	floors := []struct{ long, short float64 }{{0.8, 0.99}, {0.8, 0.98}, {0.8, 0.98}, {0.8, 0.96}}
	quick := aula()
	quick.length = 20 * time.Second
	for i, deployment := range dayScenarios(quick)[:len(floors)] {
		simulated := newSimulation(deployment)
		simulated.run()
		text, _ := simulated.report()
		t.Logf("\n%s", text)
		for k, floor := range []float64{floors[i].long, floors[i].short, 0.99} {
			a := simulated.stats[deployment.kinds[k].name]
			if share := float64(a.onTime) / float64(a.requests); share < floor {
				t.Errorf("%s: %.4f of %s on time, want at least %.2f", deployment.name, share, deployment.kinds[k].name, floor)
			}
			if a.lost+a.rejected > a.requests/50 {
				t.Errorf("%s: %d of %d %s requests were not served", deployment.name, a.lost+a.rejected, a.requests, deployment.kinds[k].name)
			}
		}
		if simulated.reprefilledTokens > 2*simulated.firstPrefilledTokens {
			t.Errorf("%s: %d tokens of shared parts were prefilled again, %d for the first time", deployment.name, simulated.reprefilledTokens, simulated.firstPrefilledTokens)
		}
	}
}

// BenchmarkPick sends short and long prompts alternately, at the size of the grown deployment.
func BenchmarkPick(b *testing.B) {
	fleet := newSimulation(grown())
	picker := fleet.pickers[0]
	var parts [64][]PrefixPart
	for i := range parts {
		parts[i] = []PrefixPart{{ID: uint64(i % 2), Tokens: 13000 * (i % 2)}, {ID: uint64(100 + i), Tokens: 300}}
	}
	b.ReportAllocs()
	now := Time(0)
	for i := 0; b.Loop(); i++ {
		now += time.Millisecond
		r := &Request{Route: fleet.cfg.Routes[1-i%2], TokensIn: 300 + 13000*(i%2), MaxTokensOut: 50, Prefix: parts[i%64], TimeLeft: time.Second}
		picker.RecordRequest(now, r)
		c := picker.Pick(now, r, nil, false)
		picker.FirstEvent(now, c.Ticket)
		picker.Done(now, c.Ticket, Served, 0)
	}
}
