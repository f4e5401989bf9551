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

// ListUpdate is what a follower tells.
type ListUpdate struct {
	Complete bool          `json:"all"`        // Targets is all there is; else what changed
	Cached   bool          `json:"remembered"` // it is what was held before, not what a keeper says now
	Targets  []list.Target `json:"targets"`
}

// ListOptions say how a Follower follows.
type ListOptions struct {
	Registry     []string
	ShrinkLimits ShrinkLimits
	Cache        ListCache
	MaxAge       time.Duration // a keeper that was out of touch for longer is left for another; 0: 2.5 s
	Log          *slog.Logger
	OnUpdate     func(ListUpdate) // called by one goroutine
	SaveInterval time.Duration    // the list is saved at most so often; 0: 1 s
}

// ListSubscriber keeps a list by watching one keeper after the other.
type ListSubscriber struct {
	rotation
	o                ListOptions
	reader           *Reader
	saves            *asyncSaver[list.List]
	confirmations    chan confirmation // the answer to a second reading that was asked for
	lastConfirmation time.Time         // when it last was
	confirming       bool
	tasks            sync.WaitGroup
	dirty            bool // the list is not saved
	saved            time.Time
}

// Times of a Follower's calls.
const (
	minWatchBackoff     = 100 * time.Millisecond
	maxWatchBackoff     = 5 * time.Second // so that a fleet comes back to its keepers over some seconds
	defaultMaxAge       = 2500 * time.Millisecond
	defaultSaveInterval = time.Second
	confirmationTimeout = 3 * time.Second
	tendInterval        = 500 * time.Millisecond
)

// NewListSubscriber takes up what the cache holds and tells it at once.
func NewListSubscriber(o ListOptions) (*ListSubscriber, error) {
	if err := checkAddresses(o.Registry); err != nil {
		return nil, err
	}
	if o.MaxAge == 0 {
		o.MaxAge = defaultMaxAge
	}
	if o.SaveInterval == 0 {
		o.SaveInterval = defaultSaveInterval
	}
	f := &ListSubscriber{rotation: newRotation("list", o.Registry, o.Log), o: o, reader: NewReader(o.ShrinkLimits), confirmations: make(chan confirmation, 1)}
	l, age, ok, err := o.Cache.Load(time.Now())
	if err != nil {
		o.Log.Warn("list", "err", err)
	}
	if ok {
		o.Log.Info("list remembered", "rev", l.Rev, "servers", len(l.Targets), "age_s", int64(age.Seconds()))
		f.reader.Restore(l)
		f.lastUpToDate.Store(time.Now().Add(-age).UnixNano())
		o.OnUpdate(ListUpdate{Complete: true, Cached: true, Targets: f.reader.List().Targets})
	}
	return f, nil
}

// Run follows until ctx is done.
func (f *ListSubscriber) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	f.saves = newAsyncSaver("list", f.o.Log, func(l list.List) error { return f.o.Cache.Save(l, time.Now()) })
	defer f.saves.close()
	defer f.save(true)
	defer f.tasks.Wait()
	defer cancel()
	f.run(ctx, f.watchList, f.waitAndTend)
}

// waitAndTend passes a time, in which a list that is doubted goes on being looked at.
func (f *ListSubscriber) waitAndTend(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	tick := time.NewTicker(tendInterval)
	defer tick.Stop()
	for {
		select {
		case <-timer.C:
			return true
		case keepers := <-f.addressChanges:
			f.applyAddresses(keepers)
			return true
		case now := <-tick.C:
			f.tend(ctx, now, "")
		case r := <-f.confirmations:
			f.confirm(r)
		case <-ctx.Done():
			return false
		}
	}
}

// watchList follows one keeper until it ends or is no good. came: it said something new.
func (f *ListSubscriber) watchList(ctx context.Context, keeper string) (came bool, after time.Duration, err error) {
	path := "/v1/servers?watch=1&ages=1"
	if f.reader.Revision() >= 0 {
		path += "&from=" + strconv.FormatInt(f.reader.Revision(), 10) + "&cluster=" + f.reader.Cluster()
	}
	lines, end, after, err := f.openWatch(ctx, keeper, path)
	if err != nil {
		return false, after, err
	}
	defer end()
	silent := time.NewTimer(list.Silence)
	defer silent.Stop()
	tick := time.NewTicker(tendInterval)
	defer tick.Stop()
	for {
		select {
		case l := <-lines:
			if l.err != nil {
				return came, 0, l.err
			}
			silent.Reset(list.Silence)
			if len(l.text) == 0 {
				f.lastUpToDate.Store(time.Now().UnixNano())
				continue
			}
			said, err := list.Parse(l.text)
			if err != nil {
				return came, 0, err
			}
			if err := f.receive(said); err != nil {
				return came, 0, err
			}
			if !f.tooOld(said.AgeMS, f.o.MaxAge) {
				came = true
			} else if !f.toleratesAge {
				return came, 0, fmt.Errorf("%w for %d ms", errNotUpToDate, *said.AgeMS)
			}
		case now := <-tick.C:
			f.tend(ctx, now, keeper)
		case r := <-f.confirmations:
			f.confirm(r)
		case keepers := <-f.addressChanges:
			f.applyAddresses(keepers)
			return came, 0, errAddressesChanged
		case <-silent.C:
			return came, 0, fmt.Errorf("nothing came for %v", list.Silence)
		case <-ctx.Done():
			return came, 0, ctx.Err()
		}
	}
}

// receive takes what a keeper says and tells what changes by it.
func (f *ListSubscriber) receive(l list.List) error {
	first, missing := f.reader.Revision() < 0, f.reader.Missing()
	foreign := !first && f.reader.Cluster() != "" && l.Cluster != f.reader.Cluster()
	rev := f.reader.Revision()
	changes, err := f.reader.Receive(l, time.Now())
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
	f.recordUpToDate(at)
	f.publish(changes, first)
	if f.reader.Revision() != rev {
		f.dirty = true
		f.save(false)
	}
	return nil
}

func (f *ListSubscriber) publish(changes []list.Target, all bool) {
	if len(changes) > 0 || all {
		f.dirty = true
		f.o.OnUpdate(ListUpdate{Complete: all, Targets: changes})
	}
}

// confirmation is a second confirmation of the list, or why there is none.
type confirmation struct {
	list list.List
	err  error
}

// tend does what time brings: a second reading, steps without one, and saving. It never waits: news would.
func (f *ListSubscriber) tend(ctx context.Context, now time.Time, watched string) {
	if !f.confirming && f.reader.NeedsConfirmation(now) && now.Sub(f.lastConfirmation) >= f.o.ShrinkLimits.ConfirmAfter {
		f.confirming, f.lastConfirmation = true, now
		keeper, path := f.otherAddress(watched), "/v1/servers?from="+strconv.FormatInt(f.reader.Revision(), 10)+"&cluster="+f.reader.Cluster()
		f.tasks.Add(1)
		go func() {
			defer f.tasks.Done()
			l, err := f.readList(ctx, keeper, path)
			f.confirmations <- confirmation{l, err} // there is room for the one that is asked for at a time
		}()
	}
	f.releaseTargets(f.reader.ReleaseMissing(now), false)
	f.save(false)
}

// confirm takes a second reading.
func (f *ListSubscriber) confirm(r confirmation) {
	f.confirming = false
	gone, err := []list.Target(nil), r.err
	if err == nil {
		gone, err = f.reader.Confirm(r.list)
	}
	if err != nil {
		f.o.Log.Info("list: no second reading", "err", err)
	}
	f.releaseTargets(gone, true)
}

func (f *ListSubscriber) releaseTargets(gone []list.Target, confirmed bool) {
	if len(gone) > 0 {
		f.o.Log.Warn("list: servers let go", "servers", len(gone), "confirmed", confirmed, "missing", f.reader.Missing())
	}
	f.publish(gone, false)
}

// otherAddress is a keeper for a second reading: where there is one, another than the one that is watched.
func (f *ListSubscriber) otherAddress(watched string) string {
	n := len(f.addresses)
	for i := range n {
		if k := f.addresses[(f.next+1+i)%n]; k != watched {
			return k
		}
	}
	return watched
}

// readList reads the whole list once from a keeper.
func (f *ListSubscriber) readList(ctx context.Context, keeper, path string) (list.List, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmationTimeout)
	defer cancel()
	body, _, err := f.get(ctx, keeper, path)
	if err != nil {
		return list.List{}, err
	}
	defer body.Close()
	text, err := io.ReadAll(io.LimitReader(body, list.MostText))
	if err != nil {
		return list.List{}, err
	}
	return list.Parse(text)
}

// save hands the list on to be saved if it changed, now or not too often.
func (f *ListSubscriber) save(now bool) {
	if !f.dirty || !now && time.Since(f.saved) < f.o.SaveInterval {
		return
	}
	f.saves.put(f.reader.List())
	f.dirty, f.saved = false, time.Now()
}
