package catchup

import (
	"testing"
	"time"
)

func TestPlanReply(t *testing.T) {
	const maxRecords = 64
	for _, test := range []struct {
		name      string
		after     uint64
		available Availability
		want      Method
	}{
		{"caught up", 9, Availability{Committed: 9}, None},
		{"the server is behind", 9, Availability{Committed: 7, CachedSnapshot: 7, CachedSnapshotUsable: true}, None},
		{"nothing at all", 0, Availability{}, None},
		{"a few records", 5, Availability{Committed: 9, Known: true, Records: 4, Bytes: 400}, Records},
		{"a start takes a snapshot though all records are known", 0, Availability{Committed: 9, Known: true, Records: 9}, NewSnapshot},
		{"one large record", 8, Availability{Committed: 9, Known: true, Records: 1, Bytes: 16 << 20}, Records},
		{"large records", 7, Availability{Committed: 9, Known: true, Records: 2, Bytes: MaxReplyBytes + 1}, NewSnapshot},
		{"away for 400 changes", 5, Availability{Committed: 405, Known: true, Records: maxRecords + 1}, NewSnapshot},
		{"the records are gone", 5, Availability{Committed: 405}, NewSnapshot},
		{"and a snapshot is cached", 5, Availability{Committed: 405, CachedSnapshot: 400, CachedSnapshotUsable: true}, CachedSnapshot},
		{"which is too old", 5, Availability{Committed: 405, CachedSnapshot: 300}, NewSnapshot},
		{"which brings nothing", 400, Availability{Committed: 405, CachedSnapshot: 400, CachedSnapshotUsable: true}, NewSnapshot},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := PlanReply(test.after, test.available, maxRecords); got != test.want {
				t.Errorf("got method %v, want %v", got, test.want)
			}
		})
	}
}

func TestPlanSnapshot(t *testing.T) {
	const (
		maxRecords = 4
		after      = 5
	)
	for _, test := range []struct {
		name        string
		afterCached Availability
		isRecent    bool
		want        Method
		withRecords bool
	}{
		{"nothing is cached", Availability{Committed: 9, Known: true, Records: 2}, true, NewSnapshot, false},
		{"the newest is cached", Availability{Committed: 9, CachedSnapshot: 9}, false, CachedSnapshot, true},
		{"the records after it fit", Availability{Committed: 9, Known: true, Records: 2, Bytes: 200, CachedSnapshot: 7}, false, CachedSnapshot, true},
		{"they are gone", Availability{Committed: 9, CachedSnapshot: 7}, false, NewSnapshot, false},
		{"they are gone, and it was made lately", Availability{Committed: 9, CachedSnapshot: 7}, true, CachedSnapshot, false},
		{"they are too many", Availability{Committed: 99, Known: true, Records: maxRecords + 1, CachedSnapshot: 7}, false, NewSnapshot, false},
		{"too many, and it was made lately", Availability{Committed: 99, Known: true, Records: maxRecords + 1, CachedSnapshot: 7}, true, CachedSnapshot, false},
		{"one large record", Availability{Committed: 8, Known: true, Records: 1, Bytes: MaxReplyBytes + 1, CachedSnapshot: 7}, false, NewSnapshot, false},
		{"it brings nothing", Availability{Committed: 9, Known: true, Records: 4, CachedSnapshot: after}, true, NewSnapshot, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, withRecords := PlanSnapshot(after, test.afterCached, test.isRecent, maxRecords)
			if got != test.want || withRecords != test.withRecords {
				t.Errorf("got method %v with records %v, want %v with records %v", got, withRecords, test.want, test.withRecords)
			}
		})
	}
}

func TestPlanTakesOnlyNewerContiguousRecords(t *testing.T) {
	for _, test := range []struct {
		name  string
		at    Position
		offer Offer
		want  Step
	}{
		{"nothing", Position{Seq: 5}, Offer{Current: true, Newest: 5}, Step{}},
		{"the next records", Position{Seq: 5}, Offer{First: 6, Last: 8}, Step{First: 6}},
		{"some are applied", Position{Seq: 7}, Offer{First: 6, Last: 8}, Step{First: 8}},
		{"all are applied", Position{Seq: 8}, Offer{First: 6, Last: 8}, Step{}},
		{"a gap", Position{Seq: 4}, Offer{First: 6, Last: 8}, Step{}},
		{"a snapshot", Position{Seq: 4}, Offer{Snapshot: 7}, Step{Snapshot: true}},
		{"an older snapshot", Position{Seq: 8}, Offer{Snapshot: 7}, Step{}},
		{"a snapshot and what follows", Position{Seq: 4}, Offer{Snapshot: 7, First: 8, Last: 9}, Step{Snapshot: true, First: 8}},
		{"an older snapshot and what follows", Position{Seq: 8}, Offer{Snapshot: 7, First: 8, Last: 9}, Step{First: 9}},
		{"records do not repair one that did not apply", Position{Seq: 5, Resync: true}, Offer{First: 6, Last: 8}, Step{}},
		{"a snapshot of the same number does", Position{Seq: 5, Resync: true}, Offer{Snapshot: 5, First: 6, Last: 6}, Step{Snapshot: true, First: 6}},
		{"an older one does not", Position{Seq: 5, Resync: true}, Offer{Snapshot: 4, First: 5, Last: 6}, Step{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.at.Plan(test.offer); got != test.want {
				t.Errorf("got step %+v, want %+v", got, test.want)
			}
		})
	}
}

func TestOnlyFreshOfferOfCurrentNodeProvesFreshness(t *testing.T) {
	for _, test := range []struct {
		name  string
		at    Position
		offer Offer
		want  bool
	}{
		{"caught up", Position{Seq: 5}, Offer{Current: true, Newest: 5, Age: time.Millisecond}, true},
		{"beyond a link that lags", Position{Seq: 6}, Offer{Current: true, Newest: 5}, true},
		{"more is to come", Position{Seq: 5}, Offer{Current: true, Newest: 6}, false},
		{"an isolated node", Position{Seq: 5}, Offer{Newest: 5}, false},
		{"delayed for 20 s", Position{Seq: 5}, Offer{Current: true, Newest: 5, Age: 20 * time.Second}, false},
		{"a record did not apply", Position{Seq: 5, Resync: true}, Offer{Current: true, Newest: 5}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.at.ProvesFreshness(test.offer); got != test.want {
				t.Errorf("ProvesFreshness returned %v", got)
			}
		})
	}
	if (Position{Seq: 5, Resync: true}).Ask() != 0 || (Position{Seq: 5}).Ask() != 5 {
		t.Error("Ask returned the wrong number")
	}
}
