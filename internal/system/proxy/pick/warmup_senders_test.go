package pick

import (
	"fmt"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
)

// TestLateConnectionsKeepTheRate: requests to a warming server are sent up to warmUpSendTimeout after they were chosen, because
// their connections take that long. So the requests that are chosen within that time plus a second may be sent within one second.
func TestLateConnectionsKeepTheRate(t *testing.T) {
	const connectTime = warmUpSendTimeout
	for _, rate := range []float64{31, 45, 300} {
		for proxies := 1; proxies <= 60; proxies++ {
			t.Run(fmt.Sprint(rate, proxies), func(t *testing.T) {
				f := newWarmUpFleet(proxies)
				f.config.Services["a"].WarmUpRequestsPerSecond = rate
				for i, p := range f.pickers {
					p.UpdateClusterState(0, f.state(i, 1, time.Minute))
				}
				f.sendAll(0, 3*time.Second, 4*time.Millisecond, nil)
				from := f.sent[0]
				var arrived []Time
				for _, at := range f.sent {
					if at < from+connectTime {
						at = from + connectTime - 1
					}
					arrived = append(arrived, at)
				}
				if peak, bound := maxInASecond(arrived), rate*1.5+5; float64(peak) > bound {
					t.Errorf("%d requests in a second, want at most %v", peak, bound)
				}
			})
		}
	}
}

// TestServiceConfiguredAgainDelaysSuccessors: of 60 proxies, the 17 senders of a warming server are
// given up by the others while the configuration lacks its service for 2.1 s, which the senders,
// being partitioned, do not learn. The service is configured again before they have stopped.
func TestServiceConfiguredAgainDelaysSuccessors(t *testing.T) {
	const missingAt, givenUpAt, restoredAt, staleAt = time.Second, 3 * time.Second, 3100 * time.Millisecond, 4500 * time.Millisecond
	fleet := newWarmUpFleet(60)
	removed, others := fleet.splitSenders(17)
	missing := &config.Config{Routes: fleet.config.Routes, Services: map[string]*config.Service{}}
	fleet.sendAll(0, 8*time.Second, 10*time.Millisecond, func(now Time) {
		for i, picker := range fleet.pickers {
			w := fleet.state(i, 1, time.Minute-now)
			switch {
			case now == missingAt && !removed[i]:
				w.Config = missing
			case now == givenUpAt && !removed[i]:
				w.Config, w.Peers = missing, others
			case now == restoredAt && !removed[i]:
				w.Peers = others
			case now == staleAt && removed[i]:
				w.Stale = true
			default:
				continue
			}
			picker.UpdateClusterState(now, w)
		}
	})
	fleet.checkBound(t)
}

// TestBoundAppliesToAWarmingServer: servers warm up while the configuration
// has no bound for them, and then it gets one. From then on the bound is kept.
func TestBoundAppliesToAWarmingServer(t *testing.T) {
	for _, proxies := range []int{12, 17, 18, 60} {
		t.Run(fmt.Sprint(proxies), func(t *testing.T) {
			const boundAt = 5 * time.Second
			fleet := newWarmUpFleet(proxies)
			unbounded := &config.Config{Routes: fleet.config.Routes, Services: map[string]*config.Service{"a": {Name: "a", WarmUpTime: warmUpDuration}}}
			for i, p := range fleet.pickers {
				w := fleet.state(i, 1, time.Minute)
				w.Config = unbounded
				p.UpdateClusterState(0, w)
			}
			fleet.sendAll(boundAt, boundAt+3*time.Second, 10*time.Millisecond, func(now Time) {
				if now == boundAt {
					for i, p := range fleet.pickers {
						p.UpdateClusterState(now, fleet.state(i, 1, time.Minute))
					}
				}
			})
			fleet.checkBound(t)
		})
	}
}

// TestHalfRestartedFleetKeepsTheRate: the machines are partitioned into two halves, and all processes of the larger one restart,
// including the control plane, which then knows only the proxies of that half. The proxies in the smaller half are stale and continue.
func TestHalfRestartedFleetKeepsTheRate(t *testing.T) {
	for _, smaller := range []int{1, 2, 3, 4, 5, 6} {
		t.Run(fmt.Sprint(smaller), func(t *testing.T) {
			fleet := newWarmUpFleet(12)
			const restartedAt = 10 * time.Second
			for i, p := range fleet.pickers {
				w := fleet.state(i, 1, time.Minute)
				if i < smaller {
					p.UpdateClusterState(0, fleet.state(i, 1, time.Minute))
					w.Peers, w.Stale = fleet.names[:smaller], true
				} else {
					w.Peers = fleet.names[smaller:]
				}
				p.UpdateClusterState(restartedAt, w)
			}
			fleet.sendAll(restartedAt, restartedAt+5*time.Second, 10*time.Millisecond, nil)
			fleet.checkBound(t)
		})
	}
}
