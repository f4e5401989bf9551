package distribution

import (
	"testing"
	"time"
)

func TestPlanFeed(t *testing.T) {
	const most = 64
	for _, c := range []struct {
		name  string
		after uint64
		stock Stock
		want  Feed
	}{
		{"level", 9, Stock{Committed: 9}, FeedNothing},
		{"the hub is behind", 9, Stock{Committed: 7, Kept: 7, KeptOK: true}, FeedNothing},
		{"nothing at all", 0, Stock{}, FeedNothing},
		{"a few records", 5, Stock{Committed: 9, Known: true, Records: 4, Bytes: 400}, FeedRecords},
		{"a start takes a snapshot though all records are known", 0, Stock{Committed: 9, Known: true, Records: 9}, FeedNewSnapshot},
		{"one large record", 8, Stock{Committed: 9, Known: true, Records: 1, Bytes: 16 << 20}, FeedRecords},
		{"large records", 7, Stock{Committed: 9, Known: true, Records: 2, Bytes: FeedBytes + 1}, FeedNewSnapshot},
		{"away for 400 changes", 5, Stock{Committed: 405, Known: true, Records: most + 1}, FeedNewSnapshot},
		{"the records are gone", 5, Stock{Committed: 405}, FeedNewSnapshot},
		{"and a snapshot is at hand", 5, Stock{Committed: 405, Kept: 400, KeptOK: true}, FeedKeptSnapshot},
		{"which is too old", 5, Stock{Committed: 405, Kept: 300}, FeedNewSnapshot},
		{"which brings nothing", 400, Stock{Committed: 405, Kept: 400, KeptOK: true}, FeedNewSnapshot},
	} {
		if got := PlanFeed(c.after, c.stock, most); got != c.want {
			t.Errorf("%s: %v for %v", c.name, got, c.want)
		}
	}
}

func TestDecideTakesOnlyWhatIsNewerAndGoesOn(t *testing.T) {
	for _, c := range []struct {
		name  string
		at    Position
		offer Offer
		want  Step
	}{
		{"nothing", Position{Seq: 5}, Offer{Current: true, Newest: 5}, Step{}},
		{"the next records", Position{Seq: 5}, Offer{First: 6, Last: 8}, Step{First: 6}},
		{"some are held", Position{Seq: 7}, Offer{First: 6, Last: 8}, Step{First: 8}},
		{"all are held", Position{Seq: 8}, Offer{First: 6, Last: 8}, Step{}},
		{"a gap", Position{Seq: 4}, Offer{First: 6, Last: 8}, Step{}},
		{"a snapshot", Position{Seq: 4}, Offer{Snapshot: 7}, Step{Snapshot: true}},
		{"an older snapshot", Position{Seq: 8}, Offer{Snapshot: 7}, Step{}},
		{"a snapshot and what follows", Position{Seq: 4}, Offer{Snapshot: 7, First: 8, Last: 9}, Step{Snapshot: true, First: 8}},
		{"an older snapshot and what follows", Position{Seq: 8}, Offer{Snapshot: 7, First: 8, Last: 9}, Step{First: 9}},
		{"records do not heal one that did not apply", Position{Seq: 5, Resync: true}, Offer{First: 6, Last: 8}, Step{}},
		{"a snapshot of the same number does", Position{Seq: 5, Resync: true}, Offer{Snapshot: 5, First: 6, Last: 6}, Step{Snapshot: true, First: 6}},
		{"an older one does not", Position{Seq: 5, Resync: true}, Offer{Snapshot: 4, First: 5, Last: 6}, Step{}},
	} {
		if got := c.at.Decide(c.offer); got != c.want {
			t.Errorf("%s: %+v for %+v", c.name, got, c.want)
		}
	}
}

func TestOnlyAPromptWordOfACurrentKeeperProves(t *testing.T) {
	for _, c := range []struct {
		name  string
		at    Position
		offer Offer
		want  bool
	}{
		{"level", Position{Seq: 5}, Offer{Current: true, Newest: 5, Age: time.Millisecond}, true},
		{"beyond a link that lags", Position{Seq: 6}, Offer{Current: true, Newest: 5}, true},
		{"more is to come", Position{Seq: 5}, Offer{Current: true, Newest: 6}, false},
		{"a keeper that is cut off", Position{Seq: 5}, Offer{Newest: 5}, false},
		{"held up for 20 s", Position{Seq: 5}, Offer{Current: true, Newest: 5, Age: 20 * time.Second}, false},
		{"a record did not apply", Position{Seq: 5, Resync: true}, Offer{Current: true, Newest: 5}, false},
	} {
		if got := c.at.Proves(c.offer); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
	if (Position{Seq: 5, Resync: true}).Ask() != 0 || (Position{Seq: 5}).Ask() != 5 {
		t.Error("asks from the wrong number")
	}
}
