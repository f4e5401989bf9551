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
	Cached     bool // it is what was held before, not what a keeper says now
	Generation int64
	Hash       string
	Rules      routes.Table
}

// RouteOptions say how a RouteSubscriber follows.
type RouteOptions struct {
	Registry []string
	Tags     map[string]string // of the client; nil: any
	Service  string            // that it calls; "": any
	Cache    RouteCache
	MaxAge   time.Duration // a keeper that was out of touch for longer is left for another; 0: 2.5 s
	Log      *slog.Logger
	OnUpdate func(RouteUpdate) // called by one goroutine, for each table that differs from the one before
}

// RouteStatus are what a follower holds and what came of its calls.
type RouteStatus struct {
	Generation     int64         // below 0: none is held
	Age            time.Duration // since it was last known to be the newest; below 0: never
	Rules          int
	CompleteTables int64 // tables that came whole
	Diffs          int64 // changes that were applied
	Mismatches     int64 // of those, how many did not lead to the table that was meant
}

// RouteSubscriber keeps a route table by watching one keeper after the other.
type RouteSubscriber struct {
	rotation
	o             RouteOptions
	filter        string
	current       atomic.Pointer[RouteState]
	needsComplete bool // what is held may not be what the keepers think: the next watch asks for all
	saves         *asyncSaver[RouteState]

	completes, diffs, mismatches atomic.Int64
}

// routeTimeout is how long a watch of routes may say nothing. Its keeper says something every second.
const routeTimeout = list.Silence

// NewRouteSubscriber takes up what the cache holds and tells it at once.
func NewRouteSubscriber(o RouteOptions) (*RouteSubscriber, error) {
	if err := checkAddresses(o.Registry); err != nil {
		return nil, err
	}
	if o.MaxAge == 0 {
		o.MaxAge = defaultMaxAge
	}
	f := &RouteSubscriber{rotation: newRotation("routes", o.Registry, o.Log), o: o, filter: RouteFilter(o.Tags, o.Service)}
	h, age, ok, err := o.Cache.Load(f.filter, time.Now())
	if err != nil {
		o.Log.Warn("routes", "err", err)
	}
	f.current.Store(&h)
	if ok {
		o.Log.Info("routes remembered", "gen", h.Generation, "rules", len(h.Rules), "age_s", int64(age.Seconds()))
		f.lastUpToDate.Store(time.Now().Add(-age).UnixNano())
		o.OnUpdate(RouteUpdate{Cached: true, Generation: h.Generation, Hash: h.Hash, Rules: h.Rules})
	}
	return f, nil
}

// Status are as of now. They may be asked for by any goroutine.
func (f *RouteSubscriber) Status() RouteStatus {
	h := f.current.Load()
	n := RouteStatus{Generation: h.Generation, Age: -1, Rules: len(h.Rules), CompleteTables: f.completes.Load(), Diffs: f.diffs.Load(), Mismatches: f.mismatches.Load()}
	if age, known := f.Age(); known {
		n.Age = age
	}
	return n
}

// Run follows until ctx is done.
func (f *RouteSubscriber) Run(ctx context.Context) {
	f.saves = newAsyncSaver("routes", f.o.Log, func(h RouteState) error { return f.o.Cache.Save(h, f.filter, time.Now()) })
	defer f.saves.close()
	f.run(ctx, f.watchRoutes, f.wait)
	if h := *f.current.Load(); h.Generation >= 0 {
		f.saves.put(h) // with the generation that it is now
	}
}

// watchRoutes follows one keeper until it ends or is no good. came: it was of use.
func (f *RouteSubscriber) watchRoutes(ctx context.Context, keeper string) (came bool, after time.Duration, err error) {
	path := "/v1/routes?watch=1&ages=1" + f.filter
	if h := f.current.Load(); h.Generation >= 0 && !f.needsComplete {
		path += "&from=" + strconv.FormatInt(h.Generation, 10) + "&cluster=" + h.Cluster
	}
	lines, end, after, err := f.openWatch(ctx, keeper, path)
	if err != nil {
		return false, after, err
	}
	defer end()
	silent := time.NewTimer(routeTimeout)
	defer silent.Stop()
	for {
		select {
		case l := <-lines:
			if l.err != nil {
				return came, 0, l.err
			}
			silent.Reset(routeTimeout)
			if len(l.text) == 0 {
				came = true
				continue
			}
			n, err := parseRoutesUpdate(l.text)
			if err == nil {
				err = f.receive(n)
			}
			if err != nil {
				return came, 0, err
			}
			if f.tooOld(n.AgeMS, f.o.MaxAge) {
				if !f.toleratesAge {
					return came, 0, fmt.Errorf("%w for %d ms", errNotUpToDate, *n.AgeMS)
				}
				continue
			}
			came = true
			at := time.Now()
			if n.AgeMS != nil {
				at = at.Add(-time.Duration(*n.AgeMS) * time.Millisecond)
			}
			f.recordUpToDate(at)
		case keepers := <-f.addressChanges:
			f.applyAddresses(keepers)
			return came, 0, errAddressesChanged
		case <-silent.C:
			return came, 0, fmt.Errorf("nothing came for %v", routeTimeout)
		case <-ctx.Done():
			return came, 0, ctx.Err()
		}
	}
}

// receive takes a keeper's news and tells the table that it leads to.
func (f *RouteSubscriber) receive(n RoutesUpdate) error {
	old := *f.current.Load()
	h, err := old.Apply(n)
	switch {
	case errors.Is(err, ErrMismatch):
		f.mismatches.Add(1)
		f.needsComplete = true
		f.o.Log.Warn("routes: the whole table is asked for", "err", err)
		return err
	case err != nil:
		return err
	case n.Complete:
		f.completes.Add(1)
		f.needsComplete = false
	case n.From != nil:
		f.diffs.Add(1)
	}
	f.current.Store(&h)
	if h.Hash == old.Hash && old.Generation >= 0 {
		return nil // another number for the same rules, or a beat
	}
	if old.Generation >= 0 && old.Cluster != h.Cluster {
		f.o.Log.Warn("routes of another cluster", "cluster", h.Cluster, "gen", h.Generation, "before", old.Generation)
	}
	f.saves.put(h)
	f.o.OnUpdate(RouteUpdate{Generation: h.Generation, Hash: h.Hash, Rules: h.Rules})
	return nil
}
