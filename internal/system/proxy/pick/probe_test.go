package pick

import (
	"testing"
	"time"
)

// TestStaleProxyProbesOnce: all servers of a zone are cut off from a stale proxy. At most one request awaits a connection to each, also in
// a large fleet.
func TestStaleProxyProbesOnce(t *testing.T) {
	for _, proxies := range []int{12, 60} {
		f := newWarmUpFleet(proxies)
		p := f.pickers[0]
		w := f.state(0, 2, 0)
		w.Stale = true
		p.UpdateClusterState(0, w)
		ask := func(now Time) Result {
			return p.Pick(now, &Request{Route: f.config.Routes[0], TimeLeft: time.Second}, nil, false)
		}
		for range 2 {
			c := ask(0)
			p.Done(0, c.Ticket, ConnectFailed, 0)
		}
		knocks := 0
		for range 20 {
			if ask(100*time.Millisecond).Verdict == Send {
				knocks++
			}
		}
		if knocks > 2 {
			t.Errorf("%d proxies: %d requests await connections to two servers", proxies, knocks)
		}
	}
}
