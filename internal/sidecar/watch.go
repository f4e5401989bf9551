package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"gradeusher.example/gradeusher/balance"
)

const (
	// A watch that ended is opened again after minBackoff, and after twice as long each time that nothing comes.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	noVersion  = -1 // there is no list
)

// moveTo has discovery, or the registry, asked at another address from now on. The loop alone calls it. Of several that come at
// once the last counts.
func (h *host) moveTo(address string) {
	if h.registry != nil {
		h.log.Info("keepers move", "to", address)
		if err := h.registry.SetAddresses(strings.Split(address, ",")); err != nil {
			h.log.Error("keepers", "err", err)
		}
		h.routing.move(address)
		return
	}
	h.log.Info("discovery moves", "to", address)
	if h.moves == nil {
		// The Balancer asks again some seconds after a call that failed, and what the new address has to say counts as published
		// 4 s from now. So it is asked from here; with a pause, as all sidecars move at once.
		if h.nextAddress = address; !h.watching {
			h.watching = true
			h.openWatchAtNext()
		}
		h.closeWatch()
		return
	}
	select {
	case <-h.moves: // one that was not taken yet
	default:
	}
	h.moves <- address
}

// Subscribe opens a watch, if none is open. The Balancer asks for another only once it knows that the last one ended.
func (h *host) Subscribe() {
	if h.watching {
		return // since a move
	}
	h.watching = true
	h.openWatch()
}

// openWatch opens the one watch that there is where the Balancer asks for them. The loop alone calls it.
func (h *host) openWatch() {
	var ctx context.Context
	ctx, h.closeWatch = context.WithCancel(h.ctx)
	h.watchers.Add(1)
	go func() {
		defer h.watchers.Done()
		err := h.watch(ctx, h.table.resumeFrom(), 0, func() {})
		if h.ctx.Err() != nil {
			return
		}
		h.log.Info("discovery", "err", err)
		h.post(func() { //nolint:contextcheck // a watch lasts as long as the host
			if h.nextAddress != "" {
				h.openWatchAtNext()
				return
			}
			h.watching = false
			h.balancer.Endpoints(h.now, balance.ListRefused, nil)
		})
	}()
}

// openWatchAtNext asks at the address that discovery has moved to. No watch is open.
func (h *host) openWatchAtNext() {
	time.AfterFunc(jitter(maxBackoff), func() {
		h.post(func() {
			h.discovery.address.Store(h.nextAddress)
			h.nextAddress = ""
			h.table.reset()
			h.openWatch()
		})
	})
}

var errStaleList = errors.New("the list went back: it is read again")

// watch has the loop apply the lists of a watch, until it ends; a stale list ends it when that is to be read again. came is
// called for each list. Watches come one after the other: the one that is open has the table.
func (h *host) watch(ctx context.Context, from int64, first time.Duration, came func()) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	reread := time.AfterFunc(rereadInterval, func() { cancel(errStaleList) })
	defer reread.Stop()
	if !h.table.isStale() {
		reread.Stop()
	}
	err := h.discovery.watch(ctx, from, first, func(received List) {
		doubted, rev, now := h.table.isStale(), h.table.highestRev, time.Now()
		received = h.table.apply(received, now)
		switch doubts := h.table.isStale(); {
		case doubts && !doubted:
			h.log.Warn("list went back: what it lacks is kept until it is read again", "held", rev)
			reread.Reset(rereadInterval)
		case doubted && !doubts:
			h.log.Info("list is believed again", "rev", h.table.highestRev, "held", rev)
			reread.Stop()
		}
		came()
		h.post(func() {
			kind := balance.ListChanges
			if received.Complete {
				kind = balance.ListFull
			}
			h.applyList(kind, received)
		})
	})
	if cause := context.Cause(ctx); errors.Is(cause, errStaleList) {
		return cause
	}
	return err
}

// reload moves to where discovery is each time that signals delivers, until ctx is done. A configuration that cannot be read
// changes nothing.
func (h *host) reload(ctx context.Context, signals <-chan os.Signal, discoveryAt func() (string, error)) {
	for {
		select {
		case <-signals:
			address, err := discoveryAt()
			if err != nil {
				h.log.Error("reload", "err", err)
				continue
			}
			h.post(func() { h.moveTo(address) }) //nolint:contextcheck // a watch lasts as long as the host
		case <-ctx.Done():
			return
		}
	}
}

// follow keeps a watch open at an agent that pushes its lists and answers at no cost, until ctx is done, and moves it to each
// address that comes from moves.
//
// What the agent has counts as published, whether or not anybody listened: at once to a new process, and some seconds later
// where a watch fell silent or moves. So those ask for the complete list, which the agent always has an answer to, and leave an
// agent that says nothing soon. A watch that breaks off is opened again soon; twice in a list that cannot be read, it asks for
// the complete one too.
func (h *host) follow(ctx context.Context, moves <-chan string) {
	plan := watchPlan{}
	plan.restart(h.discovery)
	for {
		address, ok := h.watchOnce(ctx, &plan, moves)
		if !ok {
			return
		}
		if address != "" {
			h.discovery.address.Store(address)
			h.table.reset()
			plan.restart(h.discovery)
		}
	}
}

// watchPlan is how the next watch at an agent is opened.
type watchPlan struct {
	complete     bool          // the complete list is asked for
	firstTimeout time.Duration // of the first list; 0: as of any other
	backoff      time.Duration
	badLists     int // in a row
}

// restart is for an agent that has not been asked.
func (p *watchPlan) restart(d *discovery) {
	p.backoff = minBackoff
	p.complete = true
	p.firstTimeout = d.firstTimeout
}

// listCame is for a watch that works.
func (p *watchPlan) listCame() { *p = watchPlan{backoff: minBackoff} }

// watchEnded is for a watch that ended with an error.
func (p *watchPlan) watchEnded(err error, d *discovery) {
	switch {
	case errors.Is(err, errTimedOut) && p.complete: // the agent may be slow
		p.firstTimeout = min(2*p.firstTimeout, d.watchTimeout)
	case errors.Is(err, errTimedOut):
		p.complete = true
		p.firstTimeout = d.firstTimeout
	case errors.Is(err, errBadList):
		p.badLists++
		p.complete = p.complete || p.badLists > 1
	}
}

// watchOnce opens a watch and returns once the next one is to be opened: at another address, or at the same where that is "". It
// tells false once ctx is done.
func (h *host) watchOnce(ctx context.Context, plan *watchPlan, moves <-chan string) (address string, ok bool) {
	from := int64(noVersion)
	if !plan.complete {
		from = h.table.resumeFrom()
	}
	watchCtx, closeWatch := context.WithCancel(ctx)
	defer closeWatch()
	first, ended := plan.firstTimeout, make(chan error, 1)
	go func() { ended <- h.watch(watchCtx, from, first, plan.listCame) }()
	select {
	case err := <-ended:
		closeWatch()
		h.log.Info("discovery", "err", err)
		plan.watchEnded(err, h.discovery)
		return h.awaitNextWatch(ctx, plan, err, moves)
	case address = <-moves:
		closeWatch()
		<-ended //nolint:errcheck // it ended as it was told to
		return address, true
	case <-ctx.Done():
		<-ended //nolint:errcheck // it ended as it was told to
		return "", false
	}
}

// awaitNextWatch waits for the backoff to end, or for another address.
func (h *host) awaitNextWatch(ctx context.Context, plan *watchPlan, ended error, moves <-chan string) (address string, ok bool) {
	select {
	case address = <-moves:
		return address, true
	case <-time.After(jitter(plan.backoff)):
		if !errors.Is(ended, errTimedOut) {
			plan.backoff = min(2*plan.backoff, maxBackoff)
		}
		return "", true
	case <-ctx.Done():
		return "", false
	}
}

// awaitAgent waits until an agent has sent its list, at most for some time, or until stop is done.
//
// What the agent has counts as published from the first moment, and a new process has an old list. An agent that says nothing
// must not keep requests from servers for long, though: clients connect, and wait.
func (h *host) awaitAgent(stop context.Context, atMost time.Duration) {
	timer := time.NewTimer(atMost)
	defer timer.Stop()
	select {
	case <-h.listed:
	case <-timer.C:
		h.log.Warn("the agent says nothing: serving by the list from before", "waited", atMost)
	case <-stop.Done():
	}
}

// jitter is a time from half of the pause up to all of it. Sidecars whose watches end together, as when what they ask is
// overbooked, would ask again together, each time.
func jitter(pause time.Duration) time.Duration { return pause/2 + rand.N(pause/2) }

// applyList hands a applyList to the connections and to the Balancer, in this order: what it sends next must find its address.
func (h *host) applyList(kind balance.ListKind, l List) {
	l.Complete = l.Complete || kind == balance.ListCached
	h.upstream.update(l)
	entries := make([]balance.Endpoint, 0, len(l.Targets))
	for _, t := range l.Targets {
		entries = append(entries, balance.Endpoint{ID: t.ID, Zone: t.Zone, Kind: t.Kind, Cell: t.Cell, State: t.State,
			Size: t.Size, Started: h.started(t)})
	}
	h.balancer.Endpoints(h.now, kind, entries)
	if kind != balance.ListCached && !h.isListed {
		h.isListed = true
		h.restoreSnapshot() // again: more servers are known
		close(h.listed)
	}
	if !h.isReady && (kind != balance.ListCached || len(entries) > 0) {
		h.isReady = true
		close(h.ready)
	}
}

// started is when a server started, in the Balancer's time; 0: long ago.
func (h *host) started(t Target) balance.Time {
	if t.Started.IsZero() {
		return 0
	}
	return max(t.Started.Sub(h.origin), 0)
}
