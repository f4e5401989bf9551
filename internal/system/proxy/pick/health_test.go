package pick

import (
	"fmt"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
)

// staleFleet is proxies without contact to the control plane, and servers of their zone.
type staleFleet struct {
	config  *config.Config
	pickers []*Picker
	servers []Server
	coldAt  Time // the servers begin to warm up then
	answers bool // the servers answer health checks
	sent    map[string][]Time
	failed  int // requests that were not sent
}

// newStaleFleet returns a fleet of twelve, of which as many as given are in the zone and become Stale at 0.
func newStaleFleet(stale int, knobs TestingKnobs) *staleFleet {
	fleet := &staleFleet{answers: true, coldAt: 5 * time.Second, sent: map[string][]Time{},
		config: &config.Config{Services: map[string]*config.Service{
			"a": {Name: "a", HealthPath: "/health", WarmUpTime: warmUpDuration, WarmUpRequestsPerSecond: 31}}}}
	fleet.config.Routes = []*config.Route{{Host: "h", Prefix: "/", MaxAttempts: 1, Shares: []config.Share{{Service: "a", Weight: 1}}}}
	for i := range 5 {
		fleet.servers = append(fleet.servers, Server{ID: fmt.Sprint("s", i), Service: "a", Zone: "z", Region: "r", Slots: 1000})
	}
	var peers []string
	for i := range 12 {
		peers = append(peers, fmt.Sprintf("p%02d", i))
	}
	for i := range stale {
		p := New(Settings{Zone: "z", Region: "r", WarmUpExcess: 1.5, WarmUpSlack: 5, TestingKnobs: knobs})
		state := ClusterState{Config: fleet.config, Self: peers[i], Peers: peers, Servers: fleet.servers}
		p.UpdateClusterState(-2*time.Second, state)
		state.Stale, state.ContactAge = true, 1600*time.Millisecond
		p.UpdateClusterState(0, state)
		fleet.pickers = append(fleet.pickers, p)
	}
	return fleet
}

// checkHealth lets a proxy check its servers: each is asked and answers 5 ms later.
func (f *staleFleet) checkHealth(now Time, p *Picker) {
	const roundTrip = 5 * time.Millisecond
	for _, target := range p.HealthTargets() {
		left := time.Duration(0)
		if now >= f.coldAt && now < f.coldAt+warmUpDuration {
			left = f.coldAt + warmUpDuration - now
		}
		if f.answers {
			p.RecordHealth(now, target.Server.ID, now-roundTrip, left)
		}
	}
}

// play sends 300 requests per second, 60 per server, until the given time.
func (f *staleFleet) play(until Time) {
	const step, perSecond = 5 * time.Millisecond, 300
	arrived := 0
	for now := Time(0); now < until; now += step {
		for i, p := range f.pickers {
			if phase := time.Duration(i) * 15 * time.Millisecond; (now+phase)%HealthCheckInterval == 0 {
				f.checkHealth(now, p)
			}
		}
		for ; arrived < int(now.Seconds()*perSecond); arrived++ {
			f.send(now, f.pickers[arrived%len(f.pickers)])
		}
	}
}

func (f *staleFleet) send(now Time, p *Picker) {
	result := p.Pick(now, &Request{Route: f.config.Routes[0], TimeLeft: time.Second}, nil, false)
	if result.Decision != Send {
		f.failed++
		return
	}
	f.sent[result.Server.ID] = append(f.sent[result.Server.ID], now)
	p.Done(now, result.Ticket, Served, 0)
}

// peakFrom returns the maximum that a server got within a second from a time on.
func (f *staleFleet) peakFrom(from Time) (peak int) {
	for _, all := range f.sent {
		var late []Time
		for _, at := range all {
			if at >= from {
				late = append(late, at)
			}
		}
		peak = max(peak, maxInASecond(late))
	}
	return peak
}

// TestStaleProxiesLearnOfWarmUpsFromServers sends each server 60 requests per second through proxies without contact to the control plane.
// The servers then begin to warm up. It guards against a flood by proxies that take what they do not know for good news.
func TestStaleProxiesLearnOfWarmUpsFromServers(t *testing.T) {
	for _, stale := range []int{1, 5, 12} {
		fleet := newStaleFleet(stale, TestingKnobs{})
		fleet.play(fleet.coldAt + warmUpDuration)
		if peak := fleet.peakFrom(fleet.coldAt); float64(peak) > maxWarmUpRequests {
			t.Errorf("%d stale proxies: %d requests in a second, want at most %v", stale, peak, maxWarmUpRequests)
		}
		control := newStaleFleet(stale, TestingKnobs{TrustStaleState: true})
		control.play(control.coldAt + warmUpDuration)
		if peak := control.peakFrom(control.coldAt); float64(peak) <= maxWarmUpRequests {
			t.Errorf("control: %d stale proxies that trust their state send only %d requests in a second", stale, peak)
		}
	}
}

// TestStaleProxiesServeWarmServers checks that proxies without contact to the control plane lose nothing as long as the servers say that
// they are warm, and serve at full rate again once they say so after a warm-up.
func TestStaleProxiesServeWarmServers(t *testing.T) {
	fleet := newStaleFleet(5, TestingKnobs{})
	fleet.play(fleet.coldAt)
	if fleet.failed > 0 {
		t.Errorf("%d requests were not sent although all servers are warm", fleet.failed)
	}
	fleet = newStaleFleet(5, TestingKnobs{})
	fleet.coldAt = time.Second
	fleet.play(fleet.coldAt + warmUpDuration + time.Second)
	before := fleet.failed
	fleet.sent = map[string][]Time{}
	fleet.play(fleet.coldAt + warmUpDuration + time.Second)
	if before == 0 {
		t.Error("nothing was held back while the servers warmed up")
	}
	if got := fleet.peakFrom(fleet.coldAt + warmUpDuration); got < 55 {
		t.Errorf("a server gets at most %d requests in a second after its warm-up, want about 60", got)
	}
}

// TestSilentServersArePaced checks that a server which does not answer health checks gets no more than a warming one may.
func TestSilentServersArePaced(t *testing.T) {
	fleet := newStaleFleet(12, TestingKnobs{})
	fleet.answers = false
	fleet.play(8 * time.Second)
	if peak := fleet.peakFrom(healthTTL); float64(peak) > maxWarmUpRequests {
		t.Errorf("%d requests in a second, want at most %v", peak, maxWarmUpRequests)
	}
}

// TestHealthTargets checks which servers are checked: none while the control plane is in contact; otherwise those that may warm up and may
// get requests, the nearest first, a bounded number.
func TestHealthTargets(t *testing.T) {
	picker := New(Settings{Zone: "z", Region: "r", WarmUpExcess: 1.5, WarmUpSlack: 5})
	state := ClusterState{Self: "p0", Peers: []string{"p0"}, Evacuated: map[string]bool{"e": true},
		Config: &config.Config{Services: map[string]*config.Service{
			"a": {Name: "a", HealthPath: "/health", WarmUpRequestsPerSecond: 31}, "never cold": {Name: "never cold", HealthPath: "/health"},
			"no path": {Name: "no path", WarmUpRequestsPerSecond: 31}}}}
	for i := range 40 {
		state.Servers = append(state.Servers, Server{ID: fmt.Sprint("far", i), Service: "a", Zone: "y", Region: "q"})
	}
	state.Servers = append(state.Servers, Server{ID: "near", Service: "a", Zone: "z", Region: "r"}, Server{ID: "region", Service: "a", Zone: "x", Region: "r"},
		Server{ID: "draining", Service: "a", Zone: "z", Region: "r", Draining: true}, Server{ID: "evacuated", Service: "a", Zone: "e", Region: "r"},
		Server{ID: "warm", Service: "never cold", Zone: "z", Region: "r"}, Server{ID: "mute", Service: "no path", Zone: "z", Region: "r"})
	picker.UpdateClusterState(0, state)
	if targets := picker.HealthTargets(); len(targets) > 0 {
		t.Errorf("%d servers are checked while the control plane is in contact", len(targets))
	}
	state.Stale = true
	picker.UpdateClusterState(time.Second, state)
	targets := picker.HealthTargets()
	if len(targets) != maxHealthTargets || targets[0].Server.ID != "near" || targets[1].Server.ID != "region" || targets[0].Path != "/health" {
		t.Errorf("%d servers are checked: %v", len(targets), targets)
	}
}

// TestHealthOfAnUnknownServer guards against an answer that arrives after its server has left the list.
func TestHealthOfAnUnknownServer(t *testing.T) {
	picker := newStaleFleet(1, TestingKnobs{}).pickers[0]
	picker.RecordHealth(time.Second, "gone", time.Second, time.Second)
	picker.RecordHealth(time.Second, "gone", time.Second, 0)
	if picker.servers["gone"] != nil {
		t.Error("a server that is not listed became known by its answer")
	}
}
