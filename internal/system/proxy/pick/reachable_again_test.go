package pick

import (
	"testing"
	"time"
)

// TestServersReachableAgain partitions the proxies of a zone from the control plane and from the servers of
// another zone, which begin to warm up meanwhile. When the partition ends, the servers are reachable before the
// control plane is. Failure: the first response ends the suspicion of a server, and all waiting requests go there.
func TestServersReachableAgain(t *testing.T) {
	const partitionedAt, reconnectedAt, publishedAt = 5 * time.Second, 10 * time.Second, 10300 * time.Millisecond
	fleet := newWarmUpFleet(12)
	fleet.pickers = fleet.pickers[:5]
	for i, picker := range fleet.pickers {
		picker.UpdateClusterState(0, fleet.state(i, 1, 0))
		state := fleet.state(i, 1, 0)
		state.Stale = true
		picker.UpdateClusterState(partitionedAt, state)
		c := picker.Pick(partitionedAt, &Request{Route: fleet.config.Routes[0], TimeLeft: time.Second}, nil, false)
		picker.Done(partitionedAt, c.Ticket, ConnectFailed, 0)
	}
	fleet.sendAll(reconnectedAt, publishedAt, 5*time.Millisecond, nil)
	fleet.checkBound(t)
	if len(fleet.sent) == 0 {
		t.Error("no request was sent")
	}
	for i, picker := range fleet.pickers {
		state := fleet.state(i, 1, 0)
		state.ContactAge = publishedAt - reconnectedAt + time.Millisecond
		picker.UpdateClusterState(publishedAt, state)
		if !picker.servers["s0"].warmingUp(publishedAt) {
			t.Errorf("proxy %d treats the server as warm because of a state published before the partition ended", i)
		}
		state.ContactAge = 0
		picker.UpdateClusterState(publishedAt, state)
		if picker.servers["s0"].warmingUp(publishedAt) {
			t.Errorf("proxy %d treats the server as warming up although the control plane has published a state since", i)
		}
	}
}

// TestServersReachableAgainWithContact checks that a proxy in contact with the control plane, which
// would know of warming servers, sends to a server without pacing as soon as it is reachable again.
func TestServersReachableAgainWithContact(t *testing.T) {
	fleet := newWarmUpFleet(12)
	picker := fleet.pickers[0]
	picker.UpdateClusterState(0, fleet.state(0, 1, 0))
	c := picker.Pick(0, &Request{Route: fleet.config.Routes[0], TimeLeft: time.Second}, nil, false)
	picker.Done(0, c.Ticket, ConnectFailed, 0)
	fleet.pickers = fleet.pickers[:1]
	fleet.sendAll(10*time.Second, 11*time.Second, 10*time.Millisecond, nil)
	if len(fleet.sent) != 100 {
		t.Errorf("%d requests were sent, want 100", len(fleet.sent))
	}
}
