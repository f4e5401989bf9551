package platform

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

type fakeList struct {
	mu    sync.Mutex
	pages uint64 // calls per list
	calls uint64
	err   error
}

func (f *fakeList) List(context.Context, string) ([]Instance, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls += f.pages
	if f.err != nil {
		return nil, f.err
	}
	return []Instance{{ID: "i"}}, nil
}

func (f *fakeList) Calls() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

func (f *fakeList) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err = err
}

// listTable holds the version of the list in use, shared by all pollers of a test.
type listTable struct {
	mu             sync.Mutex
	fence, version uint64
	at             time.Time
	accepted       int
}

func (b *listTable) put(r Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.Fence < b.fence || r.Fence == b.fence && r.Version <= b.version {
		return
	}
	b.fence, b.version, b.at = r.Fence, r.Version, r.RequestedAt
	b.accepted++
}

func (b *listTable) newest() ListVersion {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.at.IsZero() {
		return ListVersion{b.fence, b.version, time.Hour}
	}
	return ListVersion{b.fence, b.version, time.Since(b.at)}
}

func discardLog() log.Interface { return &log.Logger{Handler: discard.New(), Level: log.InfoLevel} }

// runPoller runs a poller for a span of the test's synthetic clock.
func runPoller(o PollerOptions, span time.Duration) {
	o.Log = discardLog()
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	NewPoller(o).Run(ctx)
}

func TestPollerKeepsItsRateLimit(t *testing.T) {
	for pages, want := range map[uint64]uint64{1: 21, 4: 4 * 11, 20: 20 * 3} {
		t.Run(fmt.Sprint(pages, " pages"), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				list, table := &fakeList{pages: pages}, &listTable{}
				runPoller(PollerOptions{Lister: list, Ownership: func() (uint64, bool) { return 3, true }, Newest: table.newest,
					OnResult: table.put, MaxCallsPerSecond: 4}, 10*time.Second+time.Millisecond)
				if list.calls != want {
					t.Errorf("%d pages: %d calls in 10 s, want %d", pages, list.calls, want)
				}
				if table.fence != 3 || table.version != uint64(table.accepted) || table.accepted != int(want/pages) {
					t.Errorf("table = %+v", table)
				}
			})
		})
	}
}

func TestPollerContinuesFromTheNewestVersion(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		list, table := &fakeList{pages: 1}, &listTable{fence: 3, version: 40}
		o := PollerOptions{Lister: list, Ownership: func() (uint64, bool) { return 3, true }, Newest: table.newest, OnResult: table.put}
		runPoller(o, time.Millisecond)
		if table.version != 41 || table.accepted != 1 {
			t.Errorf("table = %+v, want version 41", table)
		}
	})
}

func TestPollerUnderAnOldFence(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		list, table := &fakeList{pages: 1}, &listTable{fence: 4, version: 1}
		runPoller(PollerOptions{Lister: list, Ownership: func() (uint64, bool) { return 3, true }, Newest: table.newest, OnResult: table.put},
			10*time.Second)
		if list.calls != 0 {
			t.Errorf("%d calls under a stale fencing token", list.calls)
		}
	})
}

func TestStandbyPollsWhenTheListIsStale(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		table := &listTable{fence: 3, at: time.Now()}
		lists := []*fakeList{{pages: 1}, {pages: 1}}
		start := time.Now()
		var wg sync.WaitGroup
		for _, list := range lists {
			wg.Go(func() {
				runPoller(PollerOptions{Lister: list, Ownership: func() (uint64, bool) { return 3, false }, Newest: table.newest,
					OnResult: table.put}, 20*time.Second)
			})
		}
		time.Sleep(3 * time.Second)
		table.mu.Lock()
		if table.accepted == 0 || table.at.Sub(start) < 2*time.Second {
			t.Errorf("after 3 s: %d lists accepted, the newest requested at %v", table.accepted, table.at.Sub(start))
		}
		table.mu.Unlock()
		wg.Wait()
		// Both together stay below the rate of an owner: about one list every two seconds.
		if calls := lists[0].calls + lists[1].calls; calls < 6 || calls > 16 {
			t.Errorf("%d calls in 20 s", calls)
		}
	})
}

func TestPollerKeepsTheListThroughErrors(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		list, table := &fakeList{pages: 1}, &listTable{}
		list.fail(&RateError{After: 3 * time.Second})
		go func() {
			time.Sleep(9 * time.Second)
			list.fail(nil)
		}()
		runPoller(PollerOptions{Lister: list, Ownership: func() (uint64, bool) { return 1, true }, Newest: table.newest, OnResult: table.put},
			30*time.Second)
		// Calls at 0, 3 and 6 s fail, and from 10 s on there are two per second.
		if table.accepted < 40 || table.accepted > 41 {
			t.Errorf("%d lists accepted", table.accepted)
		}
		if list.calls != uint64(table.accepted)+3 {
			t.Errorf("%d calls for %d lists", list.calls, table.accepted)
		}
	})
}

func TestPollBackoff(t *testing.T) {
	backoff := pollBackoff{interval: 500 * time.Millisecond, perCall: 250 * time.Millisecond}
	reach := errors.Mark(errors.New("cut"), ErrUnreachable)
	steps := []struct {
		calls int
		err   error
		want  time.Duration
	}{
		{1, nil, 500 * time.Millisecond},
		{8, nil, 2 * time.Second},
		{1, reach, 500 * time.Millisecond},
		{1, reach, time.Second},
		{1, reach, 2 * time.Second},
		{1, reach, 2 * time.Second},
		{20, reach, 5 * time.Second},
		{1, nil, 500 * time.Millisecond},
		{1, &RateError{}, time.Second},
		{1, &RateError{After: 5 * time.Second}, 5 * time.Second},
		{1, &RateError{}, 4 * time.Second},
		{1, &RateError{}, 4 * time.Second},
		{1, nil, 500 * time.Millisecond},
	}
	for n, s := range steps {
		if got := backoff.next(s.calls, s.err); got != s.want {
			t.Errorf("step %d: wait %v, want %v", n, got, s.want)
		}
	}
}
