package pick

import (
	"fmt"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
)

// warmUpFleet is a fleet of proxies that send as many requests as they may. Its servers are of one service, named s0, s1, ...
type warmUpFleet struct {
	config  *config.Config
	names   []string
	pickers []*Picker
	sent    []Time // to s0
}

func newWarmUpFleet(proxies int) *warmUpFleet {
	f := &warmUpFleet{config: &config.Config{Services: map[string]*config.Service{"a": {Name: "a", WarmUpRequestsPerSecond: 31, WarmUpTime: warmUpDuration}}}}
	f.config.Routes = []*config.Route{{Host: "h", Prefix: "/", MaxAttempts: 2, Category: config.Idempotent, Shares: []config.Share{{Service: "a", Weight: 1}}}}
	for i := range proxies {
		f.names = append(f.names, fmt.Sprintf("p%02d", i))
		f.pickers = append(f.pickers, New(Settings{Zone: "z", Region: "r", WarmUpExcess: 1.5, WarmUpSlack: 5, RetryRatio: 0.2,
			RetrySlack: 64}))
	}
	return f
}

// state returns the state of proxy i: servers that warm up for the given remaining time.
func (f *warmUpFleet) state(i int, servers int, warmUpLeft time.Duration) ClusterState {
	w := ClusterState{Config: f.config, Self: f.names[i], Peers: f.names}
	for s := range servers {
		w.Servers = append(w.Servers, Server{ID: fmt.Sprint("s", s), Service: "a", Zone: "z", Slots: 1000, WarmUpMax: warmUpLeft})
	}
	return w
}

// sendAll has every proxy pick a server in every step, and calls each before every step.
func (f *warmUpFleet) sendAll(from, to, step time.Duration, each func(now Time)) {
	for now := from; now < to; now += step {
		if each != nil {
			each(now)
		}
		for _, p := range f.pickers {
			c := p.Pick(now, &Request{Route: f.config.Routes[0], TimeLeft: time.Second}, nil, false)
			if c.Decision != Send {
				continue
			}
			if c.Server.ID == "s0" {
				f.sent = append(f.sent, now)
			}
			p.Done(now, c.Ticket, Served, 0)
		}
	}
}

// splitSenders gives all proxies a warming server, and returns the indexes
// of up to count of its senders, and the names of all other proxies.
func (f *warmUpFleet) splitSenders(count int) (removed map[int]bool, others []string) {
	removed = map[int]bool{}
	for i, p := range f.pickers {
		p.UpdateClusterState(0, f.state(i, 1, time.Minute))
		if p.servers["s0"].warmUp.isSender && len(removed) < count {
			removed[i] = true
		} else {
			others = append(others, f.names[i])
		}
	}
	return removed, others
}

func (f *warmUpFleet) checkBound(t *testing.T) {
	t.Helper()
	if peak := maxInASecond(f.sent); float64(peak) > maxWarmUpRequests {
		t.Errorf("%d requests in a second, want at most %v", peak, maxWarmUpRequests)
	}
}

// TestQuietTimeKeepsQuotasSmall: nothing changes for 31 s, then 9 of 12 proxies lose the control plane,
// but not the server. Failure: the quotas of the others grow immediately although the 9 continue.
func TestQuietTimeKeepsQuotasSmall(t *testing.T) {
	f := newWarmUpFleet(12)
	for i, p := range f.pickers {
		p.UpdateClusterState(0, f.state(i, 1, time.Minute))
	}
	for i, p := range f.pickers[:3] {
		w := f.state(i, 1, 29*time.Second)
		w.Peers = f.names[:3]
		p.UpdateClusterState(31*time.Second, w)
	}
	f.sendAll(31*time.Second, 34*time.Second, 10*time.Millisecond, nil)
	f.checkBound(t)
}

// TestIncompleteMembershipSendsNothing: all processes restart, and each half of them knows only itself because the control
// plane's tables are not complete yet. Failure: each half uses the whole rate, and each proxy too large a share of the retries.
func TestIncompleteMembershipSendsNothing(t *testing.T) {
	fleet := newWarmUpFleet(12)
	for i, p := range fleet.pickers {
		w := fleet.state(i, 1, time.Minute)
		w.Peers, w.MembershipIncomplete = fleet.names[i/6*6:i/6*6+6], true
		p.UpdateClusterState(0, w)
		if got := p.retrySlack(); got > 0 {
			t.Errorf("a retry slack of %v while the number of proxies is not known, want 0", got)
		}
	}
	fleet.sendAll(0, 4*time.Second, 10*time.Millisecond, nil)
	if len(fleet.sent) > 0 {
		t.Errorf("%d requests to a warming server whose senders are not known", len(fleet.sent))
	}
	for i, p := range fleet.pickers {
		p.UpdateClusterState(4*time.Second, fleet.state(i, 1, time.Minute))
	}
	fleet.sendAll(4*time.Second, 8*time.Second, 10*time.Millisecond, nil)
	fleet.checkBound(t)
	if len(fleet.sent) == 0 {
		t.Error("no requests to a warming server whose senders are known")
	}
}

// TestReplacedSendersStop: of 60 proxies, some senders of a warming server are given
// up and replaced by the others, but continue to run. They stop once they are stale.
func TestReplacedSendersStop(t *testing.T) {
	const removedAt, staleDelay = 2 * time.Second, 1600 * time.Millisecond
	for _, count := range []int{3, 4, 6, 9, 17} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			fleet := newWarmUpFleet(60)
			removed, others := fleet.splitSenders(count)
			fleet.sendAll(0, 8*time.Second, 10*time.Millisecond, func(now Time) {
				for i, p := range fleet.pickers {
					w := fleet.state(i, 1, time.Minute-now)
					switch {
					case now == removedAt && !removed[i]:
						w.Peers = others
						p.UpdateClusterState(now, w)
					case now == removedAt+staleDelay && removed[i]:
						w.Stale = true
						p.UpdateClusterState(now, w)
					}
				}
			})
			fleet.checkBound(t)
		})
	}
}

// TestNewServerHasSendersAtOnce: if the proxies have known each other for long, a new
// server gets its full warm-up rate from the start; a proxy that has just joined waits.
func TestNewServerHasSendersAtOnce(t *testing.T) {
	fleet := newWarmUpFleet(12)
	for i, p := range fleet.pickers {
		p.UpdateClusterState(0, fleet.state(i, 0, 0))
	}
	const startedAt = 10 * time.Second
	for i, p := range fleet.pickers {
		p.UpdateClusterState(startedAt, fleet.state(i, 1, warmUpDuration))
	}
	fleet.sendAll(startedAt, startedAt+time.Second, 10*time.Millisecond, nil)
	fleet.checkBound(t)
	if len(fleet.sent) < 20 {
		t.Errorf("%d requests in the first second, want at least 20 at a rate of 26", len(fleet.sent))
	}
	newProxy := newWarmUpFleet(12)
	newProxy.pickers = newProxy.pickers[:1]
	newProxy.pickers[0].UpdateClusterState(startedAt, newProxy.state(0, 1, warmUpDuration))
	newProxy.sendAll(startedAt, startedAt+newSenderDelay-10*time.Millisecond, 10*time.Millisecond, nil)
	if len(newProxy.sent) > 0 {
		t.Errorf("%d requests from a proxy that has just joined", len(newProxy.sent))
	}
}
