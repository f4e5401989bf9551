package platform

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"
)

type fakeList struct {
	mu    sync.Mutex
	pages uint64 // calls that one list takes
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

// table is the list in use, as all pollers of a test see it.
type table struct {
	mu             sync.Mutex
	fence, version uint64
	at             time.Time
	taken          int
}

func (b *table) put(r Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.Fence < b.fence || r.Fence == b.fence && r.Version <= b.version {
		return
	}
	b.fence, b.version, b.at = r.Fence, r.Version, r.Asked
	b.taken++
}

func (b *table) newest() (uint64, uint64, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.at.IsZero() {
		return b.fence, b.version, time.Hour
	}
	return b.fence, b.version, time.Since(b.at)
}

func quiet() log.Interface { return &log.Logger{Handler: discard.New(), Level: log.InfoLevel} }

// run runs a poller for a span of the bubble's clock.
func run(o PollerOptions, span time.Duration) {
	o.Log = quiet()
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	NewPoller(o).Run(ctx)
}

func TestPollerKeepsItsRate(t *testing.T) {
	for pages, want := range map[uint64]uint64{1: 21, 4: 4 * 11, 20: 20 * 3} {
		synctest.Test(t, func(t *testing.T) {
			list, in := &fakeList{pages: pages}, &table{}
			run(PollerOptions{Lister: list, Ownership: func() (uint64, bool) { return 3, true }, Newest: in.newest,
				OnResult: in.put, CallRate: 4}, 10*time.Second+time.Millisecond)
			if list.calls != want {
				t.Errorf("%d pages: %d calls in 10 s, want %d", pages, list.calls, want)
			}
			if in.fence != 3 || in.version != uint64(in.taken) || in.taken != int(want/pages) {
				t.Errorf("table = %+v", in)
			}
		})
	}
}

func TestPollerGoesOnFromTheNewestVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list, in := &fakeList{pages: 1}, &table{fence: 3, version: 40}
		o := PollerOptions{Lister: list, Ownership: func() (uint64, bool) { return 3, true }, Newest: in.newest, OnResult: in.put}
		run(o, time.Millisecond)
		if in.version != 41 || in.taken != 1 {
			t.Errorf("table = %+v, want version 41", in)
		}
	})
}

func TestPollerUnderAnOldFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list, in := &fakeList{pages: 1}, &table{fence: 4, version: 1}
		run(PollerOptions{Lister: list, Ownership: func() (uint64, bool) { return 3, true }, Newest: in.newest, OnResult: in.put},
			10*time.Second)
		if list.calls != 0 {
			t.Errorf("%d calls under an old fence", list.calls)
		}
	})
}

func TestPollerStepsInForASilentHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := &table{fence: 3, at: time.Now()}
		lists := []*fakeList{{pages: 1}, {pages: 1}}
		start := time.Now()
		var wg sync.WaitGroup
		for _, list := range lists {
			wg.Go(func() {
				run(PollerOptions{Lister: list, Ownership: func() (uint64, bool) { return 3, false }, Newest: in.newest,
					OnResult: in.put}, 20*time.Second)
			})
		}
		time.Sleep(3 * time.Second)
		in.mu.Lock()
		if in.taken == 0 || in.at.Sub(start) < 2*time.Second {
			t.Errorf("after 3 s: %d lists taken, the newest of %v", in.taken, in.at.Sub(start))
		}
		in.mu.Unlock()
		wg.Wait()
		// Both together stay under the rate of a holder: one list every two seconds or so.
		if calls := lists[0].calls + lists[1].calls; calls < 6 || calls > 16 {
			t.Errorf("%d calls in 20 s", calls)
		}
	})
}

func TestPollerKeepsTheOldListThroughErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list, in := &fakeList{pages: 1}, &table{}
		list.fail(&RateError{After: 3 * time.Second})
		go func() {
			time.Sleep(9 * time.Second)
			list.fail(nil)
		}()
		run(PollerOptions{Lister: list, Ownership: func() (uint64, bool) { return 1, true }, Newest: in.newest, OnResult: in.put},
			30*time.Second)
		// Calls at 0, 3 and 6 s fail, and from 10 s on there are two a second.
		if in.taken < 40 || in.taken > 41 {
			t.Errorf("%d lists taken", in.taken)
		}
		if list.calls != uint64(in.taken)+3 {
			t.Errorf("%d calls for %d lists", list.calls, in.taken)
		}
	})
}

func TestPace(t *testing.T) {
	p := pace{interval: 500 * time.Millisecond, gap: 250 * time.Millisecond}
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
		if got := p.after(s.calls, s.err); got != s.want {
			t.Errorf("step %d: %v, want %v", n, got, s.want)
		}
	}
}
