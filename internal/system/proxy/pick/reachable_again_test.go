package pick

import (
	"testing"
	"time"
)

// TestServersReachableAgain: proxies of a zone that is cut off reach neither keepers nor the servers of another zone, which turn cold
// meanwhile. The cut ends, and servers are reached before the control plane is. Danger: the first answer ends the doubt in a server, and all
// that waits goes there.
func TestServersReachableAgain(t *testing.T) {
	const cut, healed, told = 5 * time.Second, 10 * time.Second, 10300 * time.Millisecond
	fleet := newWarmUpFleet(12)
	fleet.pickers = fleet.pickers[:5]
	for i, picker := range fleet.pickers {
		picker.UpdateClusterState(0, fleet.state(i, 1, 0))
		state := fleet.state(i, 1, 0)
		state.Stale = true
		picker.UpdateClusterState(cut, state)
		c := picker.Pick(cut, &Request{Route: fleet.config.Routes[0], TimeLeft: time.Second}, nil, false)
		picker.Done(cut, c.Ticket, ConnectFailed, 0)
	}
	fleet.sendAll(healed, told, 5*time.Millisecond, nil)
	fleet.checkBound(t)
	if len(fleet.sent) == 0 {
		t.Error("nothing was tried")
	}
	for i, picker := range fleet.pickers {
		state := fleet.state(i, 1, 0)
		state.ContactAge = told - healed + time.Millisecond
		picker.UpdateClusterState(told, state)
		if !picker.servers["s0"].warmingUp(told) {
			t.Errorf("proxy %d takes the server for warm by a word from before", i)
		}
		state.ContactAge = 0
		picker.UpdateClusterState(told, state)
		if picker.servers["s0"].warmingUp(told) {
			t.Errorf("proxy %d takes the server for cold though a keeper has told of it since", i)
		}
	}
}

// TestServersReachableAgainWithContact: a proxy in contact with the control plane knows of warming servers by it, and goes on at once.
func TestServersReachableAgainWithContact(t *testing.T) {
	fleet := newWarmUpFleet(12)
	picker := fleet.pickers[0]
	picker.UpdateClusterState(0, fleet.state(0, 1, 0))
	c := picker.Pick(0, &Request{Route: fleet.config.Routes[0], TimeLeft: time.Second}, nil, false)
	picker.Done(0, c.Ticket, ConnectFailed, 0)
	fleet.pickers = fleet.pickers[:1]
	fleet.sendAll(10*time.Second, 11*time.Second, 10*time.Millisecond, nil)
	if len(fleet.sent) != 100 {
		t.Errorf("%d requests of 100", len(fleet.sent))
	}
}
