package pick

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
)

// warmUpDuration is how long the servers of a group warm up, from the start.
const warmUpDuration = 3 * time.Second

// waitingFleet is a fleet of proxies with a group whose servers are all warming up, and requests that wait for them.
type waitingFleet struct {
	rng            *rand.Rand
	announcedEarly time.Duration // by how much the announced end of the warm-up is too early
	config         *config.Config
	peers          []string
	pickers        []*Picker
	nextUpdates    []Time                        // when each picker gets its next update
	waiting        map[*Picker][]*waitingRequest // oldest first
	sent           map[string][]Time             // by server, during its actual warm-up
}

// waitingRequest is a request that has no server yet.
type waitingRequest struct {
	request *Request
	until   Time
}

func newWaitingFleet(early time.Duration) *waitingFleet {
	g := &waitingFleet{rng: rand.New(rand.NewPCG(1, 36)), announcedEarly: early, waiting: map[*Picker][]*waitingRequest{}, sent: map[string][]Time{},
		config: &config.Config{Services: map[string]*config.Service{"a": {Name: "a", WarmUpRequestsPerSecond: 31}}}}
	g.config.Routes = []*config.Route{{Host: "h", Prefix: "/", MaxAttempts: 1, Shares: []config.Share{{Service: "a", Weight: 1}}}}
	for i := range 12 {
		g.peers = append(g.peers, fmt.Sprintf("p%02d", i))
		g.pickers = append(g.pickers, New(Settings{Zone: "z", Region: "r", WarmUpExcess: 1.5, WarmUpSlack: 5}))
	}
	g.nextUpdates = make([]Time, len(g.pickers))
	return g
}

// updateStates updates the pickers that are due with the list, and schedules their next update in 0.5 to 1 s.
func (g *waitingFleet) updateStates(now Time) {
	for i, p := range g.pickers {
		if now < g.nextUpdates[i] {
			continue
		}
		w := ClusterState{Config: g.config, Self: g.peers[i], Peers: g.peers}
		for s := range 5 {
			w.Servers = append(w.Servers, Server{ID: fmt.Sprint("s", s), Service: "a", Zone: "z", Slots: 1000, WarmUpMax: max(0, warmUpDuration-g.announcedEarly-now)})
		}
		p.UpdateClusterState(now, w)
		g.nextUpdates[i] = now + 500*time.Millisecond + time.Duration(g.rng.IntN(500))*time.Millisecond
	}
}

// serve has a picker send its waiting requests.
func (g *waitingFleet) serve(now Time, picker *Picker) {
	var left []*waitingRequest
	for _, w := range g.waiting[picker] {
		if now >= w.until {
			continue
		}
		w.request.TimeLeft = w.until - now
		c := picker.Pick(now, w.request, nil, false)
		if c.Decision != Send {
			left = append(left, w)
			continue
		}
		if now < warmUpDuration {
			g.sent[c.Server.ID] = append(g.sent[c.Server.ID], now)
		}
		picker.Done(now, c.Ticket, Served, 0)
	}
	g.waiting[picker] = left
}

// run sends 260 requests per second until the servers are warm, and returns the maximum that a warming server got within a second.
func (g *waitingFleet) run() (peak int) {
	const step = 5 * time.Millisecond
	arrived := 0
	for now := Time(0); now < warmUpDuration; now += step {
		g.updateStates(now)
		for ; arrived < int(now*260/time.Second); arrived++ {
			p := g.pickers[g.rng.IntN(len(g.pickers))]
			g.waiting[p] = append(g.waiting[p], &waitingRequest{request: &Request{Route: g.config.Routes[0]}, until: now + serverTimeout})
		}
		for _, p := range g.pickers {
			g.serve(now, p)
		}
	}
	for _, sent := range g.sent {
		peak = max(peak, maxInASecond(sent))
	}
	return peak
}

// maxWarmUpRequests is how many requests a server of the group may get within a second while it warms up.
const maxWarmUpRequests = 31*1.5 + 5

// TestNoFloodAtTheEndOfWarmUp: many more requests wait than warming servers may get. No server gets
// more than its bound until the moment at which it is warm, provided that the proxies know that moment.
func TestNoFloodAtTheEndOfWarmUp(t *testing.T) {
	g := newWaitingFleet(0)
	peak := g.run()
	t.Logf("at most %d requests in a second", peak)
	if float64(peak) > maxWarmUpRequests {
		t.Errorf("%d requests in a second, want at most %v", peak, maxWarmUpRequests)
	}
	if len(g.sent) != 5 {
		t.Errorf("only %d of 5 warming servers got requests", len(g.sent))
	}
}

// TestEarlyEndFloodsTheWarmingServer is the control, for issue 36: if the announced end of the warm-up is 80 ms
// too early, all waiting requests go out at once. This package cannot know better, so it cannot prevent this:
// whoever passes the announcement on must make sure that it errs late (distribution's TestWarmUpNeverEndsEarly).
func TestEarlyEndFloodsTheWarmingServer(t *testing.T) {
	peak := newWaitingFleet(80 * time.Millisecond).run()
	t.Logf("at most %d requests in a second", peak)
	if float64(peak) <= maxWarmUpRequests {
		t.Errorf("%d requests in a second: the announced end of the warm-up no longer matters, so TestNoFloodAtTheEndOfWarmUp proves nothing", peak)
	}
}
