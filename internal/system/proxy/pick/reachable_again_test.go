package pick

import (
	"testing"
	"time"
)

// TestServersReachableAgain: proxies of a zone that is cut off reach neither keepers nor the servers of another zone, which turn cold
// meanwhile. The cut ends, and servers are reached before a keeper is. Danger: the first answer ends the doubt in a server, and all
// that waits goes there.
func TestServersReachableAgain(t *testing.T) {
	const cut, healed, told = 5 * time.Second, 10 * time.Second, 10300 * time.Millisecond
	fleet := newWarmUpFleet(12)
	fleet.pickers = fleet.pickers[:5]
	for i, p := range fleet.pickers {
		p.UpdateClusterState(0, fleet.state(i, 1, 0))
		w := fleet.state(i, 1, 0)
		w.Stale = true
		p.UpdateClusterState(cut, w)
		c := p.Pick(cut, &Request{Route: fleet.config.Routes[0], TimeLeft: time.Second}, nil, false)
		p.Done(cut, c.Ticket, ConnectFailed, 0)
	}
	fleet.sendAll(healed, told, 5*time.Millisecond, nil)
	fleet.checkBound(t)
	if len(fleet.sent) == 0 {
		t.Error("nothing was tried")
	}
	for i, p := range fleet.pickers {
		w := fleet.state(i, 1, 0)
		w.ContactAge = told - healed + time.Millisecond
		p.UpdateClusterState(told, w)
		if !p.servers["s0"].warmingUp(told) {
			t.Errorf("proxy %d takes the server for warm by a word from before", i)
		}
		w.ContactAge = 0
		p.UpdateClusterState(told, w)
		if p.servers["s0"].warmingUp(told) {
			t.Errorf("proxy %d takes the server for cold though a keeper has told of it since", i)
		}
	}
}

// TestServersReachableAgainWithContact: a proxy that hears its keepers knows of cold servers by them, and goes on at once.
func TestServersReachableAgainWithContact(t *testing.T) {
	f := newWarmUpFleet(12)
	p := f.pickers[0]
	p.UpdateClusterState(0, f.state(0, 1, 0))
	c := p.Pick(0, &Request{Route: f.config.Routes[0], TimeLeft: time.Second}, nil, false)
	p.Done(0, c.Ticket, ConnectFailed, 0)
	f.pickers = f.pickers[:1]
	f.sendAll(10*time.Second, 11*time.Second, 10*time.Millisecond, nil)
	if len(f.sent) != 100 {
		t.Errorf("%d requests of 100", len(f.sent))
	}
}
