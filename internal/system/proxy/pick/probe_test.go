package pick

import (
	"testing"
	"time"
)

// TestStaleProxyProbesOnce: a stale proxy cannot reach any server of a zone. At
// most one request waits for a connection to each of them, also in a large fleet.
func TestStaleProxyProbesOnce(t *testing.T) {
	for _, proxies := range []int{12, 60} {
		fleet := newWarmUpFleet(proxies)
		picker := fleet.pickers[0]
		state := fleet.state(0, 2, 0)
		state.Stale = true
		picker.UpdateClusterState(0, state)
		pick := func(now Time) Result {
			return picker.Pick(now, &Request{Route: fleet.config.Routes[0], TimeLeft: time.Second}, nil, false)
		}
		for range 2 {
			c := pick(0)
			picker.Done(0, c.Ticket, ConnectFailed, 0)
		}
		attempts := 0
		for range 20 {
			if pick(100*time.Millisecond).Decision == Send {
				attempts++
			}
		}
		if attempts > 2 {
			t.Errorf("%d proxies: %d requests wait for connections to two servers, want at most one each", proxies, attempts)
		}
	}
}
