package client

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"

	"gradeusher.example/gradeusher/balance/routes"
	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// RouteUpdate is a route table that a follower now holds.
type RouteUpdate struct {
	Remembered bool // it is what was held before, not what a keeper says now
	Gen        int64
	Hash       string
	Rules      routes.Table
}

// RouteOptions say how a RouteFollower follows.
type RouteOptions struct {
	Keepers []string
	Tags    map[string]string // of the client; nil: any
	Service string            // that it calls; "": any
	Cache   RouteCache
	MostAge time.Duration // a keeper that was out of touch for longer is left for another; 0: 2.5 s
	Log     *slog.Logger
	Told    func(RouteUpdate) // called by one goroutine, for each table that differs from the one before
}

// RouteFigures are what a follower holds and what came of its calls.
type RouteFigures struct {
	Gen        int64         // below 0: none is held
	Age        time.Duration // since it was last known to be the newest; below 0: never
	Rules      int
	Whole      int64 // tables that came whole
	Diffs      int64 // changes that were applied
	Mismatches int64 // of those, how many did not lead to the table that was meant
}

// RouteFollower keeps a route table by watching one keeper after the other.
type RouteFollower struct {
	rounds
	o     RouteOptions
	cut   string
	held  atomic.Pointer[Held]
	whole bool // what is held may not be what the keepers think: the next watch asks for all
	saves *saver[Held]

	wholes, diffs, mismatches atomic.Int64
}

// routeSilence is how long a watch of routes may say nothing. Its keeper says something every second.
const routeSilence = list.WatchTimeout

// NewRouteFollower takes up what the cache holds and tells it at once.
func NewRouteFollower(o RouteOptions) (*RouteFollower, error) {
	if err := checkKeepers(o.Keepers); err != nil {
		return nil, err
	}
	if o.MostAge == 0 {
		o.MostAge = defaultMostAge
	}
	f := &RouteFollower{rounds: newRounds("routes", o.Keepers, o.Log), o: o, cut: RouteCut(o.Tags, o.Service)}
	h, age, ok, err := o.Cache.Load(f.cut, time.Now())
	if err != nil {
		o.Log.Warn("routes", "err", err)
	}
	f.held.Store(&h)
	if ok {
		o.Log.Info("routes remembered", "gen", h.Gen, "rules", len(h.Rules), "age_s", int64(age.Seconds()))
		f.fresh.Store(time.Now().Add(-age).UnixNano())
		o.Told(RouteUpdate{Remembered: true, Gen: h.Gen, Hash: h.Hash, Rules: h.Rules})
	}
	return f, nil
}

// Figures are as of now. They may be asked for by any goroutine.
func (f *RouteFollower) Figures() RouteFigures {
	h := f.held.Load()
	n := RouteFigures{Gen: h.Gen, Age: -1, Rules: len(h.Rules), Whole: f.wholes.Load(), Diffs: f.diffs.Load(), Mismatches: f.mismatches.Load()}
	if age, known := f.Age(); known {
		n.Age = age
	}
	return n
}

// Run follows until ctx is done.
func (f *RouteFollower) Run(ctx context.Context) {
	f.saves = newSaver("routes", f.o.Log, func(h Held) error { return f.o.Cache.Save(h, f.cut, time.Now()) })
	defer f.saves.close()
	f.run(ctx, f.watch, f.wait)
	if h := *f.held.Load(); h.Gen >= 0 {
		f.saves.put(h) // with the generation that it is now
	}
}

// watch follows one keeper until it ends or is no good. came: it was of use.
func (f *RouteFollower) watch(ctx context.Context, keeper string) (came bool, after time.Duration, err error) {
	path := "/v1/routes?watch=1&ages=1" + f.cut
	if h := f.held.Load(); h.Gen >= 0 && !f.whole {
		path += "&from=" + strconv.FormatInt(h.Gen, 10) + "&cluster=" + h.Cluster
	}
	lines, end, after, err := f.open(ctx, keeper, path)
	if err != nil {
		return false, after, err
	}
	defer end()
	silent := time.NewTimer(routeSilence)
	defer silent.Stop()
	for {
		select {
		case l := <-lines:
			if l.err != nil {
				return came, 0, l.err
			}
			silent.Reset(routeSilence)
			if len(l.text) == 0 {
				came = true
				continue
			}
			n, err := parseRouteNews(l.text)
			if err == nil {
				err = f.take(n)
			}
			if err != nil {
				return came, 0, err
			}
			if f.stale(n.AgeMS, f.o.MostAge) {
				if !f.patient {
					return came, 0, fmt.Errorf("%w for %d ms", errStale, *n.AgeMS)
				}
				continue
			}
			came = true
			at := time.Now()
			if n.AgeMS != nil {
				at = at.Add(-time.Duration(*n.AgeMS) * time.Millisecond)
			}
			f.freshAt(at)
		case keepers := <-f.moves:
			f.moved(keepers)
			return came, 0, errMoved
		case <-silent.C:
			return came, 0, fmt.Errorf("nothing came for %v", routeSilence)
		case <-ctx.Done():
			return came, 0, ctx.Err()
		}
	}
}

// take takes a keeper's news and tells the table that it leads to.
func (f *RouteFollower) take(n RouteNews) error {
	old := *f.held.Load()
	h, err := old.Take(n)
	switch {
	case errors.Is(err, ErrMismatch):
		f.mismatches.Add(1)
		f.whole = true
		f.o.Log.Warn("routes: the whole table is asked for", "err", err)
		return err
	case err != nil:
		return err
	case n.All:
		f.wholes.Add(1)
		f.whole = false
	case n.From != nil:
		f.diffs.Add(1)
	}
	f.held.Store(&h)
	if h.Hash == old.Hash && old.Gen >= 0 {
		return nil // another number for the same rules, or a beat
	}
	if old.Gen >= 0 && old.Cluster != h.Cluster {
		f.o.Log.Warn("routes of another cluster", "cluster", h.Cluster, "gen", h.Gen, "before", old.Gen)
	}
	f.saves.put(h)
	f.o.Told(RouteUpdate{Gen: h.Gen, Hash: h.Hash, Rules: h.Rules})
	return nil
}
