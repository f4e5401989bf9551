package distribution

import (
	"fmt"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
	"slices"
	"sync"
	"testing"
	"time"
)

// census records the lowest number of members that any of a set of subscribers was notified of.
type census struct {
	mu         sync.Mutex
	minMembers int
	on         bool
}

func (c *census) observe(update Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.on {
		c.minMembers = min(c.minMembers, len(update.Members))
	}
}

func (c *census) begin(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.on, c.minMembers = true, n
}

func (c *census) fewest() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.minMembers
}

const censusMembers = 9

func newCensusFleet(knobs TestingKnobs) (*testFleet, *census) {
	fleet := newFleetWithKnobs(knobs, "k1:1", "k2:1", "k3:1")
	memberCensus := &census{}
	for i := range censusMembers {
		fleet.startProxy(fmt.Sprint("p", i), func(options *SubscriberOptions) {
			options.Self.Zone = "zone-" + fleet.names[i%len(fleet.names)]
			options.OnUpdate = memberCensus.observe
		})
	}
	return fleet, memberCensus
}

// fewestAfterPartition isolates a node from the others for 20 s, and returns the lowest number of members that a proxy was notified of in
// the following 10 s.
func fewestAfterPartition(t *testing.T, knobs TestingKnobs) int {
	t.Helper()
	fleet, memberCensus := newCensusFleet(knobs)
	defer fleet.stop()
	time.Sleep(8 * time.Second)
	for _, k := range []string{"k2:1", "k3:1"} {
		fleet.mesh.setPartitioned("k1:1", k, true)
		fleet.mesh.setPartitioned(k, "k1:1", true)
	}
	fleet.sources["k1:1"].setStale(true)
	memberCensus.begin(censusMembers)
	time.Sleep(20 * time.Second)
	if memberCensus.fewest() != censusMembers {
		t.Errorf("during the partition a proxy was notified of %d members", memberCensus.fewest())
	}
	if !slices.ContainsFunc(fleet.servers["k1:1"].Members(), func(member softstate.Member) bool { return member.Down }) {
		t.Error("the run had no effect: the isolated node marked no proxy down")
	}
	fleet.mesh.mu.Lock()
	clear(fleet.mesh.partitioned)
	fleet.mesh.mu.Unlock()
	fleet.sources["k1:1"].setStale(false)
	time.Sleep(10 * time.Second)
	return memberCensus.fewest()
}

// TestNodeBackFromPartitionMarksNobodyDown: a node that was isolated from the others for 20 s has marked the proxies down that it had no
// contact to. After it rejoins, it must not spread that: for a moment every proxy would see itself as the only one.
func TestNodeBackFromPartitionMarksNobodyDown(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		if n := fewestAfterPartition(t, TestingKnobs{}); n != censusMembers {
			t.Errorf("a proxy was notified of %d members", n)
		}
	})
	bubble.Test(t, func(t *testing.T) {
		if fewestAfterPartition(t, TestingKnobs{AcceptDownEntries: true}) == censusMembers {
			t.Error("control: no members were lost although every down entry is accepted")
		}
	})
}

// TestNodesWithoutContactToEachOther: two nodes that are both in contact with the third, but not with each other, must not mark down each
// other's proxies, which would happen again and again.
func TestNodesWithoutContactToEachOther(t *testing.T) {
	run := func(t *testing.T, knobs TestingKnobs) int {
		t.Helper()
		fleet, memberCensus := newCensusFleet(knobs)
		defer fleet.stop()
		time.Sleep(8 * time.Second)
		fleet.mesh.setPartitioned("k1:1", "k2:1", true)
		fleet.mesh.setPartitioned("k2:1", "k1:1", true)
		memberCensus.begin(censusMembers)
		time.Sleep(20 * time.Second)
		return memberCensus.fewest()
	}
	bubble.Test(t, func(t *testing.T) {
		if n := run(t, TestingKnobs{}); n != censusMembers {
			t.Errorf("a proxy was notified of %d members", n)
		}
	})
	bubble.Test(t, func(t *testing.T) {
		if run(t, TestingKnobs{OwnContactsOnly: true}) == censusMembers {
			t.Error("control: no members were lost although a node uses only its own contacts")
		}
	})
}
