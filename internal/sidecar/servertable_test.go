package sidecar

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gradeusher.example/gradeusher/balance"
)

func testTarget(id string, state balance.State, boot int64) Target {
	t := Target{ID: id, Address: "127.0.0.1:1", State: state, Size: 1}
	if boot > 0 {
		t.Started = time.Unix(boot, 0)
	}
	return t
}

// followed is the set of servers that a Balancer knows after applying lists.
type listFollower map[string]Target

func (f listFollower) apply(l List) {
	if l.Complete {
		clear(f)
	}
	for _, t := range l.Targets {
		if f[t.ID] = t; t.State == balance.Removed {
			delete(f, t.ID)
		}
	}
}

// TestOldList has the list go back to an older revision after two servers were replaced: the new servers stay, the
// removed ones stay removed, and those that the old list reports as draining get nothing. Then the list continues.
func TestOldList(t *testing.T) {
	l, f, now := newServerTable(List{}), listFollower{}, time.Unix(1000, 0)
	receive := func(in List) { f.apply(l.apply(in, now)) }
	receive(List{Version: 40, Complete: true, Targets: []Target{testTarget("a", balance.Ready, 0), testTarget("b", balance.Ready, 0), testTarget("c", balance.Ready, 0)}})
	receive(List{Version: 44, Targets: []Target{testTarget("a", balance.Removed, 0), testTarget("b", balance.Removed, 0), testTarget("d", balance.Ready, 9), testTarget("e", balance.Ready, 9)}})
	receive(List{Version: 41, Complete: true, Targets: []Target{testTarget("a", balance.Ready, 0), testTarget("b", balance.Draining, 0), testTarget("c", balance.Draining, 0)}})
	if want := "map[c:1 d:0 e:0]"; states(f) != want || l.resumeFrom() != noVersion {
		t.Errorf("%s from %d after the old list, want %s and the complete list", states(f), l.resumeFrom(), want)
	}
	receive(List{Version: 45, Targets: []Target{testTarget("e", balance.Draining, 9)}})
	if want := "map[c:0 d:0 e:1]"; states(f) != want || l.resumeFrom() != 45 {
		t.Errorf("%s from %d after the list continued, want %s", states(f), l.resumeFrom(), want)
	}
}

// TestLostCount has a list service restart its revision counter: servers that are new in its list are
// added immediately, and the list is trusted after staleTimeout, not before.
func TestLostCount(t *testing.T) {
	l, seen, now := newServerTable(List{}), listFollower{}, time.Unix(1000, 0)
	receive := func(in List) { seen.apply(l.apply(in, now)) }
	receive(List{Version: 40, Complete: true, Targets: []Target{testTarget("a", balance.Ready, 0), testTarget("b", balance.Ready, 0)}})
	regressed := List{Version: 2, Complete: true, Targets: []Target{testTarget("b", balance.Ready, 50), testTarget("c", balance.Ready, 0)}}
	receive(regressed)
	now = now.Add(staleTimeout - time.Second)
	if receive(regressed); states(seen) != "map[a:0 b:0 c:0]" || seen["b"].Started.Unix() != 50 {
		t.Errorf("%v while the list is stale", seen)
	}
	now = now.Add(time.Second)
	if receive(regressed); states(seen) != "map[b:0 c:0]" || l.resumeFrom() != 2 {
		t.Errorf("%s from %d when the list must be trusted", states(seen), l.resumeFrom())
	}
	receive(List{Version: 3, Targets: []Target{testTarget("c", balance.Removed, 0)}})
	if states(seen) != "map[b:0]" {
		t.Errorf("%s after the list continued", states(seen))
	}
}

func states(f listFollower) string {
	all := map[string]int{}
	for id, t := range f {
		all[id] = int(t.State)
	}
	return fmt.Sprint(all)
}

// TestServerTable applies random lists of any version, and checks the invariants on what is published.
func TestServerTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := tableModel{table: newServerTable(List{}), seen: listFollower{}, now: time.Unix(1000, 0), highest: int64(noVersion)}
		for range rapid.IntRange(1, 20).Draw(t, "lists") {
			p.now = p.now.Add(time.Duration(rapid.IntRange(0, 8).Draw(t, "s")) * time.Second)
			p.apply(t, drawList(t))
		}
	})
}

func drawList(t *rapid.T) List {
	drawn := List{Version: rapid.Int64Range(0, 9).Draw(t, "rev"), Complete: rapid.Bool().Draw(t, "all")}
	for _, id := range []string{"a", "b", "c", "d"} {
		if rapid.Bool().Draw(t, id) {
			drawn.Targets = append(drawn.Targets, testTarget(id, balance.State(rapid.IntRange(0, 2).Draw(t, "state")), rapid.Int64Range(0, 2).Draw(t, "boot")))
		}
	}
	return drawn
}

// tableModel is a table with a follower of its lists.
type tableModel struct {
	table   *serverTable
	seen    listFollower
	now     time.Time
	highest int64
}

// apply applies a list to the table, and checks the invariants.
func (p *tableModel) apply(t *rapid.T, received List) {
	before := listFollower{}
	before.apply(p.table.complete())
	wasStale, since := p.table.isStale(), p.table.staleSince
	p.seen.apply(p.table.apply(received, p.now))
	for _, e := range received.Targets {
		if to, known := p.seen[e.ID]; e.State != balance.Ready && known && to.State == balance.Ready {
			t.Fatalf("%s still gets requests, though the list has it in state %d", e.ID, e.State)
		}
	}
	switch {
	case received.Version >= p.highest:
		p.checkTrusted(t, received)
	case !p.table.isStale():
		if !wasStale || !received.Complete || p.now.Sub(since) < staleTimeout {
			t.Fatalf("a list of revision %d is trusted immediately after revision %d", received.Version, p.highest)
		}
	default:
		p.checkStale(t, before)
	}
	p.highest = p.table.highestRev
}

// checkTrusted checks that a list does not count as stale, and that a follower of the table knows what it holds.
func (p *tableModel) checkTrusted(t *rapid.T, received List) {
	if p.table.isStale() || p.table.highestRev != received.Version {
		t.Fatalf("a list of revision %d is stale after revision %d", received.Version, p.highest)
	}
	complete := listFollower{}
	if complete.apply(p.table.complete()); fmt.Sprint(complete) != fmt.Sprint(p.seen) {
		t.Fatalf("published %v, held %v", p.seen, complete)
	}
}

// checkStale checks that a stale list removes no server, and that the revision stays.
func (p *tableModel) checkStale(t *rapid.T, before listFollower) {
	for id := range before {
		if _, still := p.seen[id]; !still {
			t.Fatalf("%s was removed by a stale list", id)
		}
	}
	if p.table.highestRev != p.highest {
		t.Fatalf("the revision went from %d to %d", p.highest, p.table.highestRev)
	}
}
