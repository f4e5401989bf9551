package distribution

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// TestCommitLog checks which record was certainly committed at a moment, with marks that arrive at intervals.
func TestCommitLog(t *testing.T) {
	var commits commitLog
	begin := time.Now()
	at := begin.Add
	if got := commits.committedBefore(begin); got != 0 {
		t.Errorf("got record %d before the first mark", got)
	}
	commits.observe(at(time.Second), 3)
	commits.observe(at(2*time.Second), 3)
	commits.observe(at(3*time.Second), 5)
	for when, want := range map[time.Duration]uint64{0: 0, time.Second: 3, 2500 * time.Millisecond: 3, 3 * time.Second: 5, time.Hour: 5} {
		if got := commits.committedBefore(at(when)); got != want {
			t.Errorf("at %v: got record %d, want %d", when, got, want)
		}
	}
	for i := range 10 * maxCommitMarks {
		commits.observe(at(time.Duration(4+i)*time.Second), uint64(6+i))
	}
	if len(commits.marks) != maxCommitMarks || commits.committedBefore(at(3*time.Second)) != 0 {
		t.Errorf("got %d marks, and record %d at 3 s", len(commits.marks), commits.committedBefore(at(3*time.Second)))
	}
	if got := commits.committedBefore(at(time.Hour)); got != uint64(5+10*maxCommitMarks) {
		t.Errorf("got record %d at the end", got)
	}
}

// TestReadingReportsCoveredRecord: a node's reading covers the records that it knew at least lag before the request, and proxies learn
// which.
func TestReadingReportsCoveredRecord(t *testing.T) {
	const lag = 800 * time.Millisecond
	server := NewServer(ServerOptions{Source: &fakeSource{fakeChain: newChain(), addresses: []string{"k"}}, Self: "k", Log: discardLogger(), ListLag: lag})
	begin := time.Now().Add(-10 * time.Second)
	server.commits.observe(begin, 4)
	server.commits.observe(begin.Add(time.Second), 5)
	subscriber := NewSubscriber(SubscriberOptions{Log: discardLogger()})
	for _, read := range []struct {
		asked  time.Duration
		covers uint64
	}{{lag - 1, 0}, {lag, 4}, {time.Second + lag - 1, 4}, {time.Second + lag, 5}} {
		asked := begin.Add(read.asked)
		if err := server.PutList(1, 1, []pick.Server{{ID: "s"}}, softstate.TimeBounds{Earliest: asked, Latest: asked.Add(time.Millisecond)}); err != nil {
			t.Fatal(err)
		}
		if got := server.table.ListCoversSeq(); got != read.covers {
			t.Errorf("reading requested at %v: covers record %d, want %d", read.asked, got, read.covers)
		}
		entries := softstate.EncodeEntries(time.Now(), []*softstate.StoredEntry{server.table.Get(softstate.ListKey)})
		subscriber.soft.applyEntries(time.Now(), softstate.Age{}, &distributionpb.FollowReply{Entries: entries})
		if got := subscriber.Current().ListCoversSeq; got != read.covers {
			t.Errorf("reading requested at %v: a proxy gets record %d, want %d", read.asked, got, read.covers)
		}
	}
}

// TestRefreshNotifiesOfNextContact: the owner is notified of a current node's reply to a call made after Refresh, even if it has nothing
// new, and of no reply to an earlier call.
func TestRefreshNotifiesOfNextContact(t *testing.T) {
	subscriber := NewSubscriber(SubscriberOptions{Log: discardLogger()})
	wasNotified := func() bool {
		select {
		case <-subscriber.updatePending:
			return true
		default:
			return false
		}
	}
	reply := func(asked time.Time, current bool) {
		subscriber.handleReply(asked, time.Now(), &distributionpb.FollowRequest{}, &distributionpb.FollowReply{Current: current, Soft: &distributionpb.Cursor{}})
	}
	reply(time.Now(), true)
	wasNotified() // the state may be served from now on
	reply(time.Now(), true)
	if wasNotified() {
		t.Error("the owner was notified of a reply that brings nothing new and is not awaited")
	}
	before := time.Now()
	subscriber.Refresh()
	select {
	case <-subscriber.callRequested:
	default:
		t.Error("no immediate call was requested")
	}
	reply(before, true)
	reply(time.Now(), false)
	if wasNotified() {
		t.Error("the owner was notified of an earlier contact, or of a node that is not current")
	}
	reply(time.Now(), true)
	if !wasNotified() {
		t.Error("the owner was not notified of the awaited contact")
	}
	reply(time.Now(), true)
	if wasNotified() {
		t.Error("the owner was notified twice")
	}
}
