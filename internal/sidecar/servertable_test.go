package sidecar

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gradeusher.example/gradeusher/balance"
)

func listed(id string, state balance.State, boot int64) Target {
	t := Target{ID: id, Address: "127.0.0.1:1", State: state, Size: 1}
	if boot > 0 {
		t.Started = time.Unix(boot, 0)
	}
	return t
}

// followed is what a Balancer knows who was told lists.
type followed map[string]Target

func (f followed) told(l List) {
	if l.Complete {
		clear(f)
	}
	for _, t := range l.Targets {
		if f[t.ID] = t; t.State == balance.Removed {
			delete(f, t.ID)
		}
	}
}

// TestOldList has a list go back after two servers were replaced: those who came later stay, those who went stay gone, and what the old
// list says drains gets nothing. Then the list goes on.
func TestOldList(t *testing.T) {
	l, f, now := newServerTable(List{}), followed{}, time.Unix(1000, 0)
	take := func(in List) { f.told(l.apply(in, now)) }
	take(List{Version: 40, Complete: true, Targets: []Target{listed("a", balance.Ready, 0), listed("b", balance.Ready, 0), listed("c", balance.Ready, 0)}})
	take(List{Version: 44, Targets: []Target{listed("a", balance.Removed, 0), listed("b", balance.Removed, 0), listed("d", balance.Ready, 9), listed("e", balance.Ready, 9)}})
	take(List{Version: 41, Complete: true, Targets: []Target{listed("a", balance.Ready, 0), listed("b", balance.Draining, 0), listed("c", balance.Draining, 0)}})
	if want := "map[c:1 d:0 e:0]"; states(f) != want || l.resumeFrom() != noVersion {
		t.Errorf("%s from %d after the old list, want %s and the whole list", states(f), l.resumeFrom(), want)
	}
	take(List{Version: 45, Targets: []Target{listed("e", balance.Draining, 9)}})
	if want := "map[c:0 d:0 e:1]"; states(f) != want || l.resumeFrom() != 45 {
		t.Errorf("%s from %d after it went on, want %s", states(f), l.resumeFrom(), want)
	}
}

// TestLostCount has a list service begin to count anew: who is new by it is there at once, and it is believed at last, not before.
func TestLostCount(t *testing.T) {
	l, f, now := newServerTable(List{}), followed{}, time.Unix(1000, 0)
	take := func(in List) { f.told(l.apply(in, now)) }
	take(List{Version: 40, Complete: true, Targets: []Target{listed("a", balance.Ready, 0), listed("b", balance.Ready, 0)}})
	mended := List{Version: 2, Complete: true, Targets: []Target{listed("b", balance.Ready, 50), listed("c", balance.Ready, 0)}}
	take(mended)
	now = now.Add(staleTimeout - time.Second)
	if take(mended); states(f) != "map[a:0 b:0 c:0]" || f["b"].Started.Unix() != 50 {
		t.Errorf("%v while it is doubted", f)
	}
	now = now.Add(time.Second)
	if take(mended); states(f) != "map[b:0 c:0]" || l.resumeFrom() != 2 {
		t.Errorf("%s from %d when it has to be believed", states(f), l.resumeFrom())
	}
	take(List{Version: 3, Targets: []Target{listed("c", balance.Removed, 0)}})
	if states(f) != "map[b:0]" {
		t.Errorf("%s after it goes on", states(f))
	}
}

func states(f followed) string {
	all := map[string]int{}
	for id, t := range f {
		all[id] = int(t.State)
	}
	return fmt.Sprint(all)
}

// TestServerTable draws lists of any revision, and holds what is told to the invariants.
func TestServerTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, f, now, highest := newServerTable(List{}), followed{}, time.Unix(1000, 0), int64(noVersion)
		for range rapid.IntRange(1, 20).Draw(t, "lists") {
			now = now.Add(time.Duration(rapid.IntRange(0, 8).Draw(t, "s")) * time.Second)
			in := List{Version: rapid.Int64Range(0, 9).Draw(t, "rev"), Complete: rapid.Bool().Draw(t, "all")}
			for _, id := range []string{"a", "b", "c", "d"} {
				if rapid.Bool().Draw(t, id) {
					in.Targets = append(in.Targets, listed(id, balance.State(rapid.IntRange(0, 2).Draw(t, "state")), rapid.Int64Range(0, 2).Draw(t, "boot")))
				}
			}
			before := followed{}
			before.told(l.complete())
			doubted, since := l.isStale(), l.staleSince
			f.told(l.apply(in, now))
			for _, e := range in.Targets {
				if to, known := f[e.ID]; e.State != balance.Ready && known && to.State == balance.Ready {
					t.Fatalf("%s still gets requests, though it is %d by the list", e.ID, e.State)
				}
			}
			switch {
			case in.Version >= highest:
				if l.isStale() || l.highestRev != in.Version {
					t.Fatalf("a list of %d is doubted by who held %d", in.Version, highest)
				}
				whole := followed{}
				if whole.told(l.complete()); fmt.Sprint(whole) != fmt.Sprint(f) {
					t.Fatalf("told %v, held %v", f, whole)
				}
			case !l.isStale():
				if !doubted || !in.Complete || now.Sub(since) < staleTimeout {
					t.Fatalf("a list of %d is believed at once by who held %d", in.Version, highest)
				}
			default:
				for id := range before {
					if _, still := f[id]; !still {
						t.Fatalf("%s went by a list that is doubted", id)
					}
				}
				if l.highestRev != highest {
					t.Fatalf("the revision went from %d to %d", highest, l.highestRev)
				}
			}
			highest = l.highestRev
		}
	})
}
