package client

import (
	"context"
	"io"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// ListUpdate is what changes in a subscriber's list.
type ListUpdate struct {
	Complete bool          `json:"all"`        // Targets is all there is; else what changed
	Cached   bool          `json:"remembered"` // it is of the cache; no node has confirmed it yet
	Targets  []list.Target `json:"targets"`
}

// ListOptions are those of a ListSubscriber.
type ListOptions struct {
	Registry     []string // addresses of the nodes
	ShrinkLimits ShrinkLimits
	Cache        ListCache
	MaxAge       time.Duration // a node that was out of touch for longer is left for another; 0: 2.5 s
	Log          *slog.Logger
	OnUpdate     func(ListUpdate) // called by one goroutine
	SaveInterval time.Duration    // shortest time between two saves of the list; 0: 1 s
}

// ListSubscriber keeps a list up to date by watching one node after the other.
type ListSubscriber struct {
	rotation
	options          ListOptions
	reader           *Reader
	saves            *asyncSaver[list.List]
	confirmations    chan confirmation // the answer to a second reading that was asked for
	lastConfirmation time.Time         // when one was last asked for
	confirming       bool              // one is on its way
	tasks            sync.WaitGroup
	dirty            bool // the list is not saved
	saved            time.Time
}

const (
	defaultSaveInterval = time.Second
	confirmationTimeout = 3 * time.Second
	tendInterval        = 500 * time.Millisecond
)

// NewListSubscriber begins with what the cache has, and calls OnUpdate with it at once. The error says which address is invalid.
func NewListSubscriber(options ListOptions) (*ListSubscriber, error) {
	if err := checkAddresses(options.Registry); err != nil {
		return nil, err
	}
	if options.MaxAge == 0 {
		options.MaxAge = defaultMaxAge
	}
	if options.SaveInterval == 0 {
		options.SaveInterval = defaultSaveInterval
	}
	subscriber := &ListSubscriber{
		rotation:      newRotation("list", options.Registry, options.Log),
		options:       options,
		reader:        NewReader(options.ShrinkLimits),
		confirmations: make(chan confirmation, 1),
	}
	cached, age, found, err := options.Cache.Load(time.Now())
	if err != nil {
		options.Log.Warn("list", "err", err)
	}
	if found {
		options.Log.Info("list remembered", "rev", cached.Rev, "servers", len(cached.Targets), "age_s", int64(age.Seconds()))
		subscriber.reader.Restore(cached)
		subscriber.lastUpToDate.Store(time.Now().Add(-age).UnixNano())
		options.OnUpdate(ListUpdate{Complete: true, Cached: true, Targets: subscriber.reader.List().Targets})
	}
	return subscriber, nil
}

// Run watches until ctx is done. It may be called once.
func (s *ListSubscriber) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	s.saves = newAsyncSaver("list", s.options.Log, func(l list.List) error { return s.options.Cache.Save(l, time.Now()) })
	defer s.saves.close()
	defer s.saveNow()
	defer s.tasks.Wait()
	defer cancel()
	s.run(ctx, s.watchList, s.waitAndTend)
}

// waitAndTend waits for a time, or until the addresses change, and tends the list meanwhile. It returns false once ctx is done.
func (s *ListSubscriber) waitAndTend(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	ticker := time.NewTicker(tendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-timer.C:
			return true
		case addresses := <-s.addressChanges:
			s.applyAddresses(addresses)
			return true
		case now := <-ticker.C:
			s.tend(ctx, now, "")
		case c := <-s.confirmations:
			s.confirm(c)
		case <-ctx.Done():
			return false
		}
	}
}

func (s *ListSubscriber) watchList(ctx context.Context, address string) watchResult {
	path := "/v1/servers?watch=1&ages=1"
	if s.reader.Revision() >= 0 {
		path += "&from=" + strconv.FormatInt(s.reader.Revision(), 10) + "&cluster=" + s.reader.Cluster()
	}
	ticker := time.NewTicker(tendInterval)
	defer ticker.Stop()
	return s.watch(ctx, address, path, watchHandlers{
		onLine:         s.receiveLine,
		ticks:          ticker.C,
		onTick:         func(now time.Time) { s.tend(ctx, now, address) },
		confirmations:  s.confirmations,
		onConfirmation: s.confirm,
	})
}

// receiveLine returns whether the line has something new of a node that is up to date.
func (s *ListSubscriber) receiveLine(text []byte) (useful bool, err error) {
	if len(text) == 0 {
		s.recordUpToDateNow()
		return false, nil
	}
	update, err := list.Parse(text)
	if err != nil {
		return false, err
	}
	if err := s.receive(update); err != nil {
		return false, err
	}
	return s.checkAge(update.AgeMS, s.options.MaxAge)
}

// receive applies an update, and passes on what changes by it.
func (s *ListSubscriber) receive(update list.List) error {
	revision, cluster, missing := s.reader.Revision(), s.reader.Cluster(), s.reader.Missing()
	isFirst := revision < 0
	changes, err := s.reader.Receive(update, time.Now())
	if err != nil {
		return err
	}
	if !isFirst && cluster != "" && update.Cluster != cluster {
		s.options.Log.Warn("list of another cluster", "cluster", update.Cluster, "rev", update.Rev, "before", revision)
	}
	if nowMissing := s.reader.Missing(); nowMissing > missing {
		s.options.Log.Warn("list shrank: what is missing is kept until a second reading", "missing", nowMissing, "rev", update.Rev)
	}
	s.recordUpToDate(update.AgeMS)
	s.publish(changes, isFirst)
	if s.reader.Revision() != revision {
		s.dirty = true
		s.saveIfDue()
	}
	return nil
}

func (s *ListSubscriber) publish(changes []list.Target, complete bool) {
	if len(changes) > 0 || complete {
		s.dirty = true
		s.options.OnUpdate(ListUpdate{Complete: complete, Targets: changes})
	}
}

// confirmation is a second reading of the list, or why there is none.
type confirmation struct {
	list list.List
	err  error
}

// tend does what is due at a time: it asks for a second reading, removes missing servers without one, and saves. It never blocks, since updates would
// wait. watched is the address of the node that is watched; "": none.
func (s *ListSubscriber) tend(ctx context.Context, now time.Time, watched string) {
	mayAsk := !s.confirming && now.Sub(s.lastConfirmation) >= s.options.ShrinkLimits.ConfirmAfter
	if mayAsk && s.reader.NeedsConfirmation(now) {
		s.confirming, s.lastConfirmation = true, now
		address := s.otherAddress(watched)
		path := "/v1/servers?from=" + strconv.FormatInt(s.reader.Revision(), 10) + "&cluster=" + s.reader.Cluster()
		s.tasks.Go(func() {
			second, err := s.readList(ctx, address, path)
			s.confirmations <- confirmation{second, err} // never blocks: only one is asked for at a time
		})
	}
	s.publishRemoved(s.reader.ReleaseMissing(now), false)
	s.saveIfDue()
}

// confirm applies a second reading.
func (s *ListSubscriber) confirm(c confirmation) {
	s.confirming = false
	var changes []list.Target
	err := c.err
	if err == nil {
		changes, err = s.reader.Confirm(c.list)
	}
	if err != nil {
		s.options.Log.Info("list: no second reading", "err", err)
	}
	s.publishRemoved(changes, true)
}

func (s *ListSubscriber) publishRemoved(changes []list.Target, confirmed bool) {
	if len(changes) > 0 {
		s.options.Log.Warn("list: servers let go", "servers", len(changes), "confirmed", confirmed, "missing", s.reader.Missing())
	}
	s.publish(changes, false)
}

// otherAddress returns the node for a second reading: where there is one, another than the one that is watched.
func (s *ListSubscriber) otherAddress(watched string) string {
	count := len(s.addresses)
	for i := range count {
		if address := s.addresses[(s.next+1+i)%count]; address != watched {
			return address
		}
	}
	return watched
}

// readList reads the complete list once from a node.
func (s *ListSubscriber) readList(ctx context.Context, address, path string) (list.List, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmationTimeout)
	defer cancel()
	body, _, err := s.get(ctx, address, path)
	if err != nil {
		return list.List{}, err
	}
	defer func() { _ = body.Close() }()
	text, err := io.ReadAll(io.LimitReader(body, list.MaxListBytes))
	if err != nil {
		return list.List{}, err
	}
	return list.Parse(text)
}

// saveIfDue has the list be saved if it changed, and the last save is long enough ago.
func (s *ListSubscriber) saveIfDue() {
	if time.Since(s.saved) >= s.options.SaveInterval {
		s.saveNow()
	}
}

// saveNow has the list be saved if it changed.
func (s *ListSubscriber) saveNow() {
	if s.dirty {
		s.saves.put(s.reader.List())
		s.dirty, s.saved = false, time.Now()
	}
}
