package pick

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gradeusher.example/gradeusher/internal/system/config"
)

// TestHoldersThatComeBackWait: holders of a cold server were given up, stopped as they were stale, and hear from a keeper again.
// Those in their places go on until they have heard of it.
func TestHoldersThatComeBackWait(t *testing.T) {
	const givenUp, stale, back = 2 * time.Second, 3600 * time.Millisecond, 8 * time.Second
	for _, count := range []int{6, 9, 17} {
		for _, hear := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, time.Second, 1600 * time.Millisecond} {
			for _, idle := range []bool{false, true} {
				t.Run(fmt.Sprint(count, hear, idle), func(t *testing.T) {
					f := newColdFleet(60)
					lost, left := f.loseHolders(count)
					tell := func(now Time) {
						for i, p := range f.pickers {
							w := f.world(i, 1, time.Minute-now)
							switch {
							case now == givenUp && !lost[i]:
								w.Peers = left
							case now == stale && lost[i]:
								w.Stale = true
							case now == back && lost[i]:
							case now == back+hear && !lost[i]:
							default:
								continue
							}
							p.UpdateClusterState(now, w)
						}
					}
					if idle { // load comes as they come back
						for now := Time(0); now < back; now += 10 * time.Millisecond {
							tell(now)
						}
						f.press(back, back+3*time.Second, 10*time.Millisecond, tell)
					} else {
						f.press(0, back+3*time.Second, 10*time.Millisecond, tell)
					}
					f.check(t)
				})
			}
		}
	}
}

// TestSplitFleetKeepsThePace: the keepers' net is cut for over 30 s. On both sides proxies hear of the list, as either side reads
// it, and reach the servers; then one starts cold.
func TestSplitFleetKeepsThePace(t *testing.T) {
	for _, minority := range []int{1, 3, 6, 8, 9, 11} {
		t.Run(fmt.Sprint(minority), func(t *testing.T) {
			f := newColdFleet(12)
			world := func(i, servers int, cold time.Duration) ClusterState {
				w := f.world(i, servers, cold)
				if i < minority {
					w.Peers, w.Stale = f.names[:minority], true
				} else {
					w.Peers = f.names[minority:]
				}
				return w
			}
			for i, p := range f.pickers {
				p.UpdateClusterState(0, f.world(i, 0, 0))
				p.UpdateClusterState(time.Second, world(i, 0, 0))
			}
			const starts = 40 * time.Second
			for i, p := range f.pickers {
				p.UpdateClusterState(starts, world(i, 1, coldFor))
			}
			f.press(starts, starts+coldFor, 10*time.Millisecond, nil)
			f.check(t)
		})
	}
}

// TestColdAgainUnseenIsNoViolation: a server turns cold anew 200 ms before the first request goes to it as to a warm one, which no reading
// can show by then (PROTOCOL: it may become cold again at any moment). The state before had ended 1.8 s earlier.
func TestColdAgainUnseenIsNoViolation(t *testing.T) {
	const again, request, told = 4800 * time.Millisecond, 5 * time.Second, 5600 * time.Millisecond
	f := newColdFleet(1)
	p := f.pickers[0]
	before := coldEndKept.Violations()
	p.UpdateClusterState(0, f.world(0, 1, coldFor))
	f.press(0, coldFor, 10*time.Millisecond, nil)
	f.press(request, request+10*time.Millisecond, 10*time.Millisecond, nil)
	w := f.world(0, 1, again+coldFor-told)
	w.Servers[0].WarmUpMin = w.Servers[0].WarmUpMax
	p.UpdateClusterState(told, w)
	if coldEndKept.Violations() != before {
		t.Error("counted as a fault")
	}
}

// TestRateChangedForAMomentIsNoViolation: the configuration names a higher cold_per_s for a moment and is put back, while requests went
// elsewhere; what was saved up under it is no more than one request.
func TestRateChangedForAMomentIsNoViolation(t *testing.T) {
	f := newColdFleet(1)
	p := f.pickers[0]
	before := coldPaceKept.Violations()
	tell := func(now Time, rate float64) {
		w := f.world(0, 1, 10*time.Second-now)
		w.Config = &config.Config{Routes: f.config.Routes, Services: map[string]*config.Service{"a": {Name: "a", WarmUpRequestsPerSecond: rate, WarmUpTime: 10 * time.Second}}}
		p.UpdateClusterState(now, w)
	}
	tell(0, 3.1)
	f.press(0, 2910*time.Millisecond, 10*time.Millisecond, nil) // the last goes at 2.9 s
	n := f.sent[len(f.sent)-1]
	tell(n+10*time.Millisecond, 310)
	p.bars(n+20*time.Millisecond, p.servers["s0"], nil, nil) // it is looked at, and the request goes to another
	tell(n+30*time.Millisecond, 3.1)
	f.press(n+40*time.Millisecond, n+2*time.Second, 10*time.Millisecond, nil)
	if coldPaceKept.Violations() != before {
		t.Error("counted as a fault")
	}
}

// TestEndOfPartialWaits: proxies that knew a server while partial learn their peers at different times.
func TestEndOfPartialWaits(t *testing.T) {
	const ends = 4 * time.Second
	for _, hear := range []time.Duration{300 * time.Millisecond, time.Second, 1600 * time.Millisecond} {
		for _, back := range []int{6, 9, 17} {
			t.Run(fmt.Sprint(hear, back), func(t *testing.T) {
				f := newColdFleet(60)
				lost, left := f.loseHolders(back)
				// The lost ones start anew at 0 without a keeper, and reach one at ends.
				for i, p := range f.pickers {
					w := f.world(i, 1, time.Minute)
					if lost[i] {
						f.pickers[i] = New(p.set)
						w.MembershipIncomplete, w.Stale = true, true
						f.pickers[i].UpdateClusterState(0, w)
						continue
					}
					w.Peers = left
					p.UpdateClusterState(0, w)
				}
				f.press(ends, ends+3*time.Second, 10*time.Millisecond, func(now Time) {
					for i, p := range f.pickers {
						if now == ends && lost[i] || now == ends+hear && !lost[i] {
							p.UpdateClusterState(now, f.world(i, 1, time.Minute))
						}
					}
				})
				f.check(t)
			})
		}
	}
}

// TestColdBoundAroundListing: members come and go, and each proxy hears of it, and of servers that start or turn cold again, up to 1.6 s
// later, in order; a proxy that has gone for the others hears of that likewise. Within any second no server gets more than its bound.
func TestColdBoundAroundListing(t *testing.T) {
	most := 0
	rapid.Check(t, func(t *rapid.T) { most = max(most, aroundListing(t, 3, 1)) })
	t.Logf("at most %d", most)
}

// TestColdBoundWhileAFleetGrows: as before, with as many that join as there are, or more.
func TestColdBoundWhileAFleetGrows(t *testing.T) {
	most := 0
	rapid.Check(t, func(t *rapid.T) { most = max(most, aroundListing(t, 1, 2)) })
	t.Logf("at most %d", most)
}

// aroundListing plays one such run, in which up to growth times a part of the proxies join, and gives the most.
func aroundListing(t *rapid.T, part, growth int) (most int) {
	{
		const step, end = 20 * time.Millisecond, 14 * time.Second
		n := rapid.SampledFrom([]int{1, 2, 3, 8, 12, 16, 17, 18, 20, 30, 60}).Draw(t, "proxies")
		extra := rapid.IntRange(0, max(1, n*growth/part)).Draw(t, "extra")
		lagMost := rapid.SampledFrom([]int{150, 600, 1000, 1600}).Draw(t, "lag")
		loadFrom := time.Duration(rapid.IntRange(0, 8000).Draw(t, "load")) * time.Millisecond
		f := newColdFleet(n + extra)
		live, began, n0 := map[int]bool{}, map[int]Time{}, n
		for i := range n {
			live[i] = true
		}
		type state struct {
			at    Time
			peers []string
			lost  int  // proxies that have gone, and may live on
			cold  Time // cold until; 0: not listed
		}
		names := func() (v []string) {
			for i, s := range f.names {
				if live[i] {
					v = append(v, s)
				}
			}
			return v
		}
		lost := func() (n int) {
			for i := range f.names {
				if _, joined := began[i]; !live[i] && (i < n0 || joined) {
					n++
				}
			}
			return n
		}
		history := []state{{0, names(), 0, 0}}
		var cold Time
		changes := rapid.IntRange(1, 8).Draw(t, "changes")
		var ats []int
		for range changes {
			ats = append(ats, rapid.IntRange(1000, 10000).Draw(t, "at"))
		}
		slices.Sort(ats)
		for _, ms := range ats {
			at := Time(ms) * time.Millisecond
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				for i := n; i < n+extra; i++ {
					if !live[i] && rapid.Bool().Draw(t, "joins") {
						live[i] = true
						if _, ok := began[i]; !ok {
							began[i] = at
						}
					}
				}
			case 1:
				for i := range n / part {
					if live[i] && rapid.Bool().Draw(t, "goes") {
						live[i] = false
					}
				}
			case 2:
				if cold < at {
					cold = at + coldFor
				}
			}
			history = append(history, state{at, names(), lost(), cold})
		}
		hears := make([][]Time, n+extra)
		for i := range hears {
			prev := Time(0)
			for _, h := range history {
				at := h.at
				if h.at > 0 && began[i] != h.at {
					at += time.Duration(rapid.IntRange(20, lagMost).Draw(t, "hears")) * time.Millisecond
				}
				prev = max(prev, at)
				hears[i] = append(hears[i], prev)
			}
		}
		at := make([]int, n+extra)
		for i := range at {
			at[i] = -1
		}
		tell := func(now Time) {
			for i, p := range f.pickers {
				if b, late := began[i]; i >= n && (!late || now < b) {
					continue
				}
				k := at[i]
				for k+1 < len(history) && hears[i][k+1] <= now {
					k++
				}
				if k == at[i] || k < 0 {
					continue
				}
				at[i] = k
				h := history[k]
				w := ClusterState{Config: f.config, Self: f.names[i], Peers: h.peers, DownCount: h.lost}
				if !slices.Contains(w.Peers, w.Self) {
					// it goes on until it has heard so
					w.Stale = true
					w.Peers = append(slices.Clone(w.Peers), w.Self)
					slices.Sort(w.Peers)
				}
				if h.cold > 0 {
					w.Servers = []Server{{ID: "s0", Service: "a", Zone: "z", Slots: 1000, WarmUpMax: max(0, h.cold-now)}}
				}
				p.UpdateClusterState(now, w)
			}
		}
		var sent []Time
		for now := Time(0); now < end; now += step {
			tell(now)
			if now < loadFrom {
				continue
			}
			inCold := false
			for _, h := range history {
				inCold = inCold || h.cold > 0 && now >= h.cold-coldFor && now < h.cold
			}
			for i, p := range f.pickers {
				if at[i] < 0 {
					continue
				}
				c := p.Choose(now, &Request{Route: f.config.Routes[0], TimeLeft: time.Second}, nil, false)
				if c.Verdict != Send {
					continue
				}
				s := p.servers["s0"]
				if inCold && s.cold(now) { // sends of proxies that can't know yet are another matter
					sent = append(sent, now)
				}
				p.Done(now, c.Ticket, Served, 0)
			}
		}
		most = mostInASecond(sent)
		if float64(most) > coldMost {
			t.Fatalf("%d of %d proxies, load from %v: %d requests in a second, of %v", n, n+extra, loadFrom, most, coldMost)
		}
	}
	return most
}

// TestStaleMinorityOfSeventeenHolds: a fleet of more than 17 is split for some seconds, until either side has marked the other down. The
// smaller one is stale, and hears of a new server from its own keeper.
func TestStaleMinorityOfSeventeenHolds(t *testing.T) {
	for _, c := range []struct{ all, minority int }{{93, 15}, {93, 17}, {93, 20}, {30, 14}, {24, 8}, {20, 5}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			f := newColdFleet(c.all)
			for i, p := range f.pickers {
				p.UpdateClusterState(0, f.world(i, 0, 0))
			}
			world := func(i, servers int, cold time.Duration) ClusterState {
				w := f.world(i, servers, cold)
				if i < c.minority {
					w.Peers, w.Stale = f.names[:c.minority], true
				} else {
					w.Peers = f.names[c.minority:]
				}
				return w
			}
			const split, starts = 5 * time.Second, 10 * time.Second
			for i, p := range f.pickers {
				p.UpdateClusterState(split, world(i, 0, 0))
			}
			for i, p := range f.pickers {
				p.UpdateClusterState(starts, world(i, 1, coldFor))
			}
			f.press(starts+800*time.Millisecond, starts+coldFor, 10*time.Millisecond, nil)
			f.check(t)
		})
	}
}
