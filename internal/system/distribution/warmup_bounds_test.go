package distribution

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// TestExtendedWarmUpEndsLate: a server that is cold becomes cold again ("at any moment"), so that its warm-up ends a little later. Each
// reading is correct by itself. warmUpAgrees must not take the second for another reading of the first warm-up because their spans
// overlap, or the stored end would stay before the true one.
func TestExtendedWarmUpEndsLate(t *testing.T) {
	const ms = time.Millisecond //nolint:varnamelen // the unit of the table below
	for name, test := range map[string]struct {
		more          time.Duration
		first, second transit
	}{
		"one page at 45 ms": {40 * ms, transit{45 * ms, 0}, transit{45 * ms, 45 * ms}},
		"two pages, the server on the second: 45 ms each way": {130 * ms, transit{135 * ms, 0}, transit{135 * ms, 45 * ms}},
		"a slow reading":                {700 * ms, transit{0, 0}, transit{800 * ms, 0}},
		"same ways, 40 ms more":         {40 * ms, transit{45 * ms, 10 * ms}, transit{45 * ms, 10 * ms}},
		"same ways, exact, 1.4 ms more": {1400 * time.Microsecond, transit{1 * ms, 0}, transit{1 * ms, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				p := newWarmUpPath(t, transit{})
				start := time.Now()
				p.server.warmUpEnd = start.Add(3 * time.Second)
				p.read(test.first)
				time.Sleep(200 * ms)
				p.server.warmUpEnd = p.server.warmUpEnd.Add(test.more)
				for range 2 {
					p.read(test.second)
					p.poll("reader:1", transit{})
					p.check()
				}
				if len(p.early) > 0 {
					t.Errorf("the warm-up ends early by %v", p.early)
				}
			})
		})
	}
}

// TestCarriedEntriesKeepTheirTimes: a reply is handled with a clock reading from before the process was paused, or waited for the lock,
// while another reply arrived. The entries that are kept from the newer table must not be dated by the older clock reading.
func TestCarriedEntriesKeepTheirTimes(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		subscriber := NewSubscriber(SubscriberOptions{Self: softstate.Member{Node: "p"}, Log: discardLogger()})
		empty := newIdleServer() // a restarted node whose table is complete, but has no list yet
		empty.markComplete()
		items, full := empty.table.ChangesSince(0)
		reply := &distributionpb.FollowReply{Full: full, Complete: true, Current: true, Entries: softstate.EncodeEntries(time.Now(), items),
			Soft: &distributionpb.Cursor{Boot: empty.bootID, Number: empty.table.LastNumber}}
		req := subscriber.buildRequest(nil, false)
		read := time.Now() // handleReply gets the time that was read before the lock
		time.Sleep(1500 * time.Millisecond)
		end := time.Now().Add(3 * time.Second)
		subscriber.handleReply(time.Now(), time.Now(), subscriber.buildRequest(nil, false), completeTable(t, 0, 5, pick.Server{ID: "s", WarmUpMax: 3 * time.Second}))
		subscriber.handleReply(read, read, req, reply)
		got := subscriber.Current().Servers
		if len(got) != 1 {
			t.Fatalf("the proxy has servers %+v", got)
		}
		if early := time.Until(end) - got[0].WarmUpMax; early > 0 {
			t.Errorf("the warm-up ends early by %v", early)
		}
	})
}

// TestOldWarmUpIsOver: a process of a version without least_age_ms forwards an entry that was made 20 s ago, when the server was cold for
// another 3 s. Whoever merges it must not consider the server cold, which has been warm for 17 s: otherwise, after each change of nodes,
// all servers that have ever been cold would be cold again.
func TestOldWarmUpIsOver(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		server := newIdleServer()
		server.markComplete()
		putList(t, server, 1, 1, []pick.Server{{ID: "s", WarmUpMax: 3 * time.Second}}, softstate.Age{})
		time.Sleep(20 * time.Second)
		items, full := server.table.ChangesSince(0)
		w := softstate.EncodeEntries(time.Now(), items)
		for _, e := range w {
			e.LeastAgeMs = nil
		}
		subscriber := NewSubscriber(SubscriberOptions{Self: softstate.Member{Node: "p"}, Log: discardLogger()})
		subscriber.handleReply(time.Now(), time.Now(), subscriber.buildRequest(nil, false), &distributionpb.FollowReply{Full: full, Complete: true, Current: true, Entries: w,
			Soft: &distributionpb.Cursor{Boot: server.bootID, Number: server.table.LastNumber}})
		for _, s := range subscriber.Current().Servers {
			if s.WarmUpMax > 0 {
				t.Errorf("the server is cold for another %v, 17 s after the end of its warm-up", s.WarmUpMax)
			}
		}
	})
}

// TestSecondReplicaNarrowsTheAge: the first replica of an entry arrived over a slow path, the second over a fast one. The bounds of both
// are valid, so the warm-up need not end later than by the better of the two.
func TestSecondReplicaNarrowsTheAge(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		p := newWarmUpPath(t, transit{})
		p.server.warmUpEnd = time.Now().Add(4 * time.Second)
		p.read(transit{})
		p.synchronise(transit{out: 1400 * time.Millisecond}) // a slow share request to the other node
		p.poll("other:1", transit{})
		p.poll("reader:1", transit{})
		p.poll("reader:1", transit{})
		p.check()
		late := p.stored()["proxy"].WarmUpMax - time.Until(p.server.warmUpEnd)
		t.Logf("late by %v, early %v", late, p.early)
		if late > 300*time.Millisecond {
			t.Errorf("the warm-up ends %v late at a proxy that received it over a fast path", late)
		}
	})
}

// TestListAgeHoldsOverAPause: the process is paused between the platform's reply and merging it. The ages of the list and of a withdrawal
// notice must not be understated by the time of the pause.
func TestListAgeHoldsOverAPause(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const stop = 300 * time.Millisecond
		server := newIdleServer()
		read := boundsOf(softstate.Age{Max: 50 * time.Millisecond})
		withdrawn := read.Earliest.Add(3 * time.Second)
		time.Sleep(stop)
		if err := server.PutList(1, 1, []pick.Server{{ID: "s", Remaining: 3 * time.Second}}, read); err != nil {
			t.Fatal(err)
		}
		got, listed, _ := server.List()
		if late := got[0].Remaining - time.Until(withdrawn); late > 0 || listed < stop {
			t.Errorf("the notice ends late by %v; the list, read %v ago, counts as %v old", late, stop, listed)
		}
	})
}

// TestWarmUpEndDoesNotFlap covers readings of one warm-up, near its end, over a slow path.
func TestWarmUpEndDoesNotFlap(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var worst time.Duration
		flaps := 0
		for phase := range 50 {
			server := newIdleServer()
			end := time.Now().Add(3 * time.Second)
			time.Sleep(time.Duration(phase) * 10 * time.Millisecond)
			for version := uint64(1); time.Until(end) > -time.Second; version++ {
				flapped, late := readWarmUp(t, server, version, end)
				if flapped {
					flaps++
				}
				worst = max(worst, late)
			}
		}
		t.Logf("50 phases: warm and cold again %d times, worst late %v", flaps, worst)
		if flaps > 0 {
			t.Errorf("a warm server is marked cold again by a reading of the same warm-up, %d times in 50 phases", flaps)
		}
	})
}

// readWarmUp makes a server read a warm-up that ends at end, over a path that is slow every second time, and waits until the next reading
// is due. It reports whether the server was considered warm before and cold afterwards, and by how much its warm-up ends late.
func readWarmUp(t *testing.T, server *Server, version uint64, end time.Time) (flapped bool, late time.Duration) {
	t.Helper()
	asked := time.Now()
	back := 55 * time.Millisecond
	if version%2 == 0 {
		back = 165 * time.Millisecond
	}
	time.Sleep(55 * time.Millisecond)
	stated := (trueServer{warmUpEnd: end}).statedAt(time.Now())
	time.Sleep(back)
	// rounding up, as the poller does
	if stated.WarmUpMax > 0 {
		stated.WarmUpMax += time.Millisecond
	}
	before, _, _ := server.List()
	putList(t, server, 1, version, []pick.Server{stated}, softstate.AgeUpTo(time.Since(asked)))
	after, _, _ := server.List()
	flapped = len(before) > 0 && before[0].WarmUpMax == 0 && after[0].WarmUpMax > 0
	late = after[0].WarmUpMax - max(0, time.Until(end))
	time.Sleep(500*time.Millisecond - time.Since(asked))
	return flapped, late
}
