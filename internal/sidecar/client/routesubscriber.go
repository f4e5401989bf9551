package client

import (
	"context"
	"errors"
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"

	"gradeusher.example/gradeusher/balance/routes"
)

// RouteUpdate is a route table that a subscriber has from now on.
type RouteUpdate struct {
	Cached     bool // it is of the cache; no node has confirmed it yet
	Generation int64
	Hash       string
	Rules      routes.Table
}

// RouteOptions are those of a RouteSubscriber.
type RouteOptions struct {
	Registry []string          // addresses of the nodes
	Tags     map[string]string // of the client; nil: any
	Service  string            // that the client calls; "": any
	Cache    RouteCache
	MaxAge   time.Duration // a node that was out of touch for longer is left for another; 0: 2.5 s
	Log      *slog.Logger
	OnUpdate func(RouteUpdate) // called by one goroutine, for each table that differs from the one before
}

// RouteStatus is what a subscriber has and what came of its watches.
type RouteStatus struct {
	Generation     int64         // below 0: it has no table
	Age            time.Duration // since the table was last known to be the current one; below 0: never
	Rules          int
	CompleteTables int64 // that were received
	Diffs          int64 // that were applied
	Mismatches     int64 // diffs and tables that did not lead to the table that the node meant
}

// RouteSubscriber keeps a route table up to date by watching one node after the other.
type RouteSubscriber struct {
	rotation
	options       RouteOptions
	filter        string
	current       atomic.Pointer[RouteState]
	needsComplete bool // the table may not be the one that the nodes mean: the next watch asks for the complete one
	saves         *asyncSaver[RouteState]

	completes, diffs, mismatches atomic.Int64
}

// NewRouteSubscriber begins with what the cache has, and calls OnUpdate with it at once. The error says which address is invalid.
func NewRouteSubscriber(options RouteOptions) (*RouteSubscriber, error) {
	if err := checkAddresses(options.Registry); err != nil {
		return nil, err
	}
	if options.MaxAge == 0 {
		options.MaxAge = defaultMaxAge
	}
	subscriber := &RouteSubscriber{
		rotation: newRotation("routes", options.Registry, options.Log),
		options:  options,
		filter:   RouteFilter(options.Tags, options.Service),
	}
	cached, age, found, err := options.Cache.Load(subscriber.filter, time.Now())
	if err != nil {
		options.Log.Warn("routes", "err", err)
	}
	subscriber.current.Store(&cached)
	if found {
		options.Log.Info("routes remembered", "gen", cached.Generation, "rules", len(cached.Rules), "age_s", int64(age.Seconds()))
		subscriber.lastUpToDate.Store(time.Now().Add(-age).UnixNano())
		options.OnUpdate(RouteUpdate{Cached: true, Generation: cached.Generation, Hash: cached.Hash, Rules: cached.Rules})
	}
	return subscriber, nil
}

// Status returns the status of now. It is safe for concurrent use.
func (s *RouteSubscriber) Status() RouteStatus {
	current := s.current.Load()
	status := RouteStatus{
		Generation:     current.Generation,
		Age:            -1,
		Rules:          len(current.Rules),
		CompleteTables: s.completes.Load(),
		Diffs:          s.diffs.Load(),
		Mismatches:     s.mismatches.Load(),
	}
	if age, known := s.Age(); known {
		status.Age = age
	}
	return status
}

// Run watches until ctx is done. It may be called once.
func (s *RouteSubscriber) Run(ctx context.Context) {
	s.saves = newAsyncSaver("routes", s.options.Log, func(r RouteState) error { return s.options.Cache.Save(r, s.filter, time.Now()) })
	defer s.saves.close()
	s.run(ctx, s.watchRoutes, s.wait)
	if current := *s.current.Load(); current.Generation >= 0 {
		s.saves.put(current) // with the generation that it has now
	}
}

func (s *RouteSubscriber) watchRoutes(ctx context.Context, address string) watchResult {
	path := "/v1/routes?watch=1&ages=1" + s.filter
	if current := s.current.Load(); current.Generation >= 0 && !s.needsComplete {
		path += "&from=" + strconv.FormatInt(current.Generation, 10) + "&cluster=" + current.Cluster
	}
	return s.watch(ctx, address, path, watchHandlers{onLine: s.receiveLine})
}

func (s *RouteSubscriber) receiveLine(text []byte) (useful bool, err error) {
	if len(text) == 0 {
		return true, nil
	}
	update, err := parseRoutesUpdate(text)
	if err != nil {
		return false, err
	}
	if err := s.receive(update); err != nil {
		return false, err
	}
	useful, err = s.checkAge(update.AgeMS, s.options.MaxAge)
	if useful {
		s.recordUpToDate(update.AgeMS)
	}
	return useful, err
}

// receive applies an update, and passes on the table that it leads to.
func (s *RouteSubscriber) receive(update RoutesUpdate) error {
	before := *s.current.Load()
	after, err := before.Apply(update)
	if errors.Is(err, ErrMismatch) {
		s.mismatches.Add(1)
		s.needsComplete = true
		s.options.Log.Warn("routes: the whole table is asked for", "err", err)
	}
	if err != nil {
		return err
	}
	switch {
	case update.Complete:
		s.completes.Add(1)
		s.needsComplete = false
	case update.From != nil:
		s.diffs.Add(1)
	}
	s.current.Store(&after)
	if after.Hash == before.Hash && before.Generation >= 0 {
		return nil // another generation of the same rules, or a heartbeat
	}
	if before.Generation >= 0 && before.Cluster != after.Cluster {
		s.options.Log.Warn("routes of another cluster", "cluster", after.Cluster, "gen", after.Generation, "before", before.Generation)
	}
	s.saves.put(after)
	s.options.OnUpdate(RouteUpdate{Generation: after.Generation, Hash: after.Hash, Rules: after.Rules})
	return nil
}
