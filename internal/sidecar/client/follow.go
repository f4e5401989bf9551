package client

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// Update is what a follower tells.
type Update struct {
	All        bool          `json:"all"`        // Targets is all there is; else what changed
	Remembered bool          `json:"remembered"` // it is what was held before, not what a keeper says now
	Targets    []list.Target `json:"targets"`
}

// Options say how a Follower follows.
type Options struct {
	Keepers  []string
	Doubt    Doubt
	Cache    Cache
	MostAge  time.Duration // a keeper that was out of touch for longer is left for another; 0: 2.5 s
	Log      *slog.Logger
	Told     func(Update)  // called by one goroutine
	SaveWait time.Duration // the list is saved at most so often; 0: 1 s
}

// Follower keeps a list by watching one keeper after the other.
type Follower struct {
	rounds
	o      Options
	reader *Reader
	saves  *saver[list.List]
	second chan reading // the answer to a second reading that was asked for
	asked  time.Time    // when it last was
	asking bool
	tasks  sync.WaitGroup
	dirty  bool // the list is not saved
	saved  time.Time
}

// Times of a Follower's calls.
const (
	watchPauseLeast = 100 * time.Millisecond
	watchPauseMost  = 5 * time.Second // so that a fleet comes back to its keepers over some seconds
	defaultMostAge  = 2500 * time.Millisecond
	defaultSave     = time.Second
	secondTimeout   = 3 * time.Second
	doubtEvery      = 500 * time.Millisecond
)

// NewFollower takes up what the cache holds and tells it at once.
func NewFollower(o Options) (*Follower, error) {
	if err := checkKeepers(o.Keepers); err != nil {
		return nil, err
	}
	if o.MostAge == 0 {
		o.MostAge = defaultMostAge
	}
	if o.SaveWait == 0 {
		o.SaveWait = defaultSave
	}
	f := &Follower{rounds: newRounds("list", o.Keepers, o.Log), o: o, reader: NewReader(o.Doubt), second: make(chan reading, 1)}
	l, age, ok, err := o.Cache.Load(time.Now())
	if err != nil {
		o.Log.Warn("list", "err", err)
	}
	if ok {
		o.Log.Info("list remembered", "rev", l.Rev, "servers", len(l.Targets), "age_s", int64(age.Seconds()))
		f.reader.Remember(l)
		f.fresh.Store(time.Now().Add(-age).UnixNano())
		o.Told(Update{All: true, Remembered: true, Targets: f.reader.Held().Targets})
	}
	return f, nil
}

// Run follows until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	f.saves = newSaver("list", f.o.Log, func(l list.List) error { return f.o.Cache.Save(l, time.Now()) })
	defer f.saves.close()
	defer f.save(true)
	defer f.tasks.Wait()
	defer cancel()
	f.run(ctx, f.watch, f.wait)
}

// wait passes a time, in which a list that is doubted goes on being looked at.
func (f *Follower) wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	tick := time.NewTicker(doubtEvery)
	defer tick.Stop()
	for {
		select {
		case <-timer.C:
			return true
		case keepers := <-f.moves:
			f.moved(keepers)
			return true
		case now := <-tick.C:
			f.tend(ctx, now, "")
		case r := <-f.second:
			f.confirm(r)
		case <-ctx.Done():
			return false
		}
	}
}

// watch follows one keeper until it ends or is no good. came: it said something new.
func (f *Follower) watch(ctx context.Context, keeper string) (came bool, after time.Duration, err error) {
	path := "/v1/servers?watch=1&ages=1"
	if f.reader.Rev() >= 0 {
		path += "&from=" + strconv.FormatInt(f.reader.Rev(), 10) + "&cluster=" + f.reader.Cluster()
	}
	lines, end, after, err := f.open(ctx, keeper, path)
	if err != nil {
		return false, after, err
	}
	defer end()
	silent := time.NewTimer(list.WatchTimeout)
	defer silent.Stop()
	tick := time.NewTicker(doubtEvery)
	defer tick.Stop()
	for {
		select {
		case l := <-lines:
			if l.err != nil {
				return came, 0, l.err
			}
			silent.Reset(list.WatchTimeout)
			if len(l.text) == 0 {
				f.fresh.Store(time.Now().UnixNano())
				continue
			}
			said, err := list.Parse(l.text)
			if err != nil {
				return came, 0, err
			}
			if err := f.take(said); err != nil {
				return came, 0, err
			}
			if !f.stale(said.AgeMS, f.o.MostAge) {
				came = true
			} else if !f.patient {
				return came, 0, fmt.Errorf("%w for %d ms", errStale, *said.AgeMS)
			}
		case now := <-tick.C:
			f.tend(ctx, now, keeper)
		case r := <-f.second:
			f.confirm(r)
		case keepers := <-f.moves:
			f.moved(keepers)
			return came, 0, errMoved
		case <-silent.C:
			return came, 0, fmt.Errorf("nothing came for %v", list.WatchTimeout)
		case <-ctx.Done():
			return came, 0, ctx.Err()
		}
	}
}

// take takes what a keeper says and tells what changes by it.
func (f *Follower) take(l list.List) error {
	first, missing := f.reader.Rev() < 0, f.reader.Missing()
	foreign := !first && f.reader.Cluster() != "" && l.Cluster != f.reader.Cluster()
	rev := f.reader.Rev()
	changes, err := f.reader.Take(l, time.Now())
	if err != nil {
		return err
	}
	if foreign {
		f.o.Log.Warn("list of another cluster", "cluster", l.Cluster, "rev", l.Rev, "before", rev)
	}
	if n := f.reader.Missing(); n > missing {
		f.o.Log.Warn("list shrank: what is missing is kept until a second reading", "missing", n, "rev", l.Rev)
	}
	at := time.Now()
	if l.AgeMS != nil {
		at = at.Add(-time.Duration(*l.AgeMS) * time.Millisecond)
	}
	f.freshAt(at)
	f.tell(changes, first)
	if f.reader.Rev() != rev {
		f.dirty = true
		f.save(false)
	}
	return nil
}

func (f *Follower) tell(changes []list.Target, all bool) {
	if len(changes) > 0 || all {
		f.dirty = true
		f.o.Told(Update{All: all, Targets: changes})
	}
}

// reading is a second reading of the list, or why there is none.
type reading struct {
	list list.List
	err  error
}

// tend does what time brings: a second reading, steps without one, and saving. It never waits: news would.
func (f *Follower) tend(ctx context.Context, now time.Time, watched string) {
	if !f.asking && f.reader.Asks(now) && now.Sub(f.asked) >= f.o.Doubt.After {
		f.asking, f.asked = true, now
		keeper, path := f.other(watched), "/v1/servers?from="+strconv.FormatInt(f.reader.Rev(), 10)+"&cluster="+f.reader.Cluster()
		f.tasks.Add(1)
		go func() {
			defer f.tasks.Done()
			l, err := f.read(ctx, keeper, path)
			f.second <- reading{l, err} // there is room for the one that is asked for at a time
		}()
	}
	f.letGo(f.reader.Step(now), false)
	f.save(false)
}

// confirm takes a second reading.
func (f *Follower) confirm(r reading) {
	f.asking = false
	gone, err := []list.Target(nil), r.err
	if err == nil {
		gone, err = f.reader.Confirm(r.list)
	}
	if err != nil {
		f.o.Log.Info("list: no second reading", "err", err)
	}
	f.letGo(gone, true)
}

func (f *Follower) letGo(gone []list.Target, confirmed bool) {
	if len(gone) > 0 {
		f.o.Log.Warn("list: servers let go", "servers", len(gone), "confirmed", confirmed, "missing", f.reader.Missing())
	}
	f.tell(gone, false)
}

// other is a keeper for a second reading: where there is one, another than the one that is watched.
func (f *Follower) other(watched string) string {
	n := len(f.keepers)
	for i := range n {
		if k := f.keepers[(f.next+1+i)%n]; k != watched {
			return k
		}
	}
	return watched
}

// read reads the whole list once from a keeper.
func (f *Follower) read(ctx context.Context, keeper, path string) (list.List, error) {
	ctx, cancel := context.WithTimeout(ctx, secondTimeout)
	defer cancel()
	body, _, err := f.get(ctx, keeper, path)
	if err != nil {
		return list.List{}, err
	}
	defer body.Close()
	text, err := io.ReadAll(io.LimitReader(body, list.MaxListBytes))
	if err != nil {
		return list.List{}, err
	}
	return list.Parse(text)
}

// save hands the list on to be saved if it changed, now or not too often.
func (f *Follower) save(now bool) {
	if !f.dirty || !now && time.Since(f.saved) < f.o.SaveWait {
		return
	}
	f.saves.put(f.reader.Held())
	f.dirty, f.saved = false, time.Now()
}
