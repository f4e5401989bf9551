package replication

import (
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
)

// TestCapacitySaysWhatIsMissing guards against a deployment whose nodes are too few or badly placed for the configured tolerance,
// such as three nodes where two may be lost, without an operator being informed before a loss occurs.
func TestCapacitySaysWhatIsMissing(t *testing.T) {
	for _, test := range []struct {
		name            string
		layout          []int
		machines, zones int
		remedy          string // expected substring; empty: nothing is missing
	}{
		{"one a zone", []int{1, 1, 1}, 1, 1, ""},
		{"two a zone", []int{2, 2, 2}, 2, 1, ""},
		{"two machines may be lost and three run", []int{1, 1, 1}, 2, 1, "run keepers on 2 more machines"},
		{"one keeper", []int{1}, 1, 0, "run keepers on 2 more machines"},
		{"two zones", []int{2, 2}, 1, 1, "at least 3 zones"},
		{"most keepers in one zone", []int{3, 1, 1}, 2, 1, "at least 3 zones"},
		{"nothing need be borne", []int{1}, 0, 0, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			members := membersOf(test.layout)
			cluster := sizedCluster(t, members, test.machines, test.zones)
			cluster.run(10 * time.Second)
			have := cluster.nodes[members[0].Addr].core.Capacity()
			if have.ToleranceMet != (test.remedy == "") || !strings.Contains(have.Remedy, test.remedy) || have.Nodes != len(members) {
				t.Errorf("%+v", have)
			}
		})
	}
}

// TestCapacityIsLoggedOnceItLasts checks that a short repair is not logged, and that the capacity is logged once it is stable.
func TestCapacityIsLoggedOnceItLasts(t *testing.T) {
	members := membersOf([]int{1, 1, 1})
	cluster := sizedCluster(t, members, 1, 1)
	handler := memory.New()
	logger := &log.Logger{Handler: handler, Level: log.InfoLevel}
	var capacity capacityReporter
	first := cluster.nodes[members[0].Addr]
	watch := func(d time.Duration) {
		for end := cluster.now + d; cluster.now < end; {
			cluster.step()
			capacity.report(cluster.now, first.core, logger)
		}
	}
	watch(12 * time.Second)
	away := cluster.nodes[members[2].Addr]
	core := away.core
	away.core = nil
	watch(2 * time.Second)
	away.core = core
	watch(10 * time.Second)
	if n := len(handler.Entries); n != 1 || handler.Entries[0].Level != log.InfoLevel {
		t.Fatalf("%d entries: %+v", n, handler.Entries)
	}
	if have := first.core.Capacity(); !have.ToleranceMet {
		t.Fatalf("%+v", have)
	}
}
