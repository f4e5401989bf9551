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
	// A watch that ended is opened again after minBackoff, doubled each time that nothing arrives.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	noVersion  = -1 // there is no list
)

// moveTo switches discovery, or the registry, to another address. Only the loop calls it. If several
// moves follow in short order, the last one counts.
func (h *host) moveTo(address string) {
	if h.registry != nil {
		h.log.Info("registry moves", "to", address)
		if err := h.registry.SetAddresses(strings.Split(address, ",")); err != nil {
			h.log.Error("registry: cannot move", "err", err)
		}
		h.routing.move(address)
		return
	}
	h.log.Info("discovery moves", "to", address)
	if h.moves == nil {
		// The Balancer asks again only some seconds after a call failed, while what the new address publishes counts as known
		// 4 s from now. So the new watch is opened here, after a random pause because all sidecars move at the same time.
		if h.nextAddress = address; !h.watching {
			h.watching = true
			h.openWatchAtNext()
		}
		h.closeWatch()
		return
	}
	select {
	case <-h.moves: // discards a move that was not taken yet
	default:
	}
	h.moves <- address
}

// Subscribe opens a watch if none is open. The Balancer asks for another one only after it was notified that the last one ended.
func (h *host) Subscribe() {
	if h.watching {
		return // a move has opened one
	}
	h.watching = true
	h.openWatch()
}

// openWatch opens the single watch that exists at a time if the Balancer subscribes to discovery. Only the loop calls it.
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
		h.log.Info("discovery: watch ended", "err", err)
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

// openWatchAtNext opens a watch at the address to which discovery has moved. No watch may be open.
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

var errStaleList = errors.New("the list went back to an older revision: it is read again")

// watch has the loop apply the lists of a watch until the watch ends; while the list is stale, watch ends it after rereadInterval
// to read the list again. onList is called for each list. There is at most one watch at a time, which owns the table.
func (h *host) watch(ctx context.Context, from int64, first time.Duration, onList func()) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	reread := time.AfterFunc(rereadInterval, func() { cancel(errStaleList) })
	defer reread.Stop()
	if !h.table.isStale() {
		reread.Stop()
	}
	err := h.discovery.watch(ctx, from, first, func(received List) {
		wasStale, rev, now := h.table.isStale(), h.table.highestRev, time.Now()
		received = h.table.apply(received, now)
		switch isStale := h.table.isStale(); {
		case isStale && !wasStale:
			h.log.Warn("list went back to an older revision: missing servers are kept until it is read again", "held", rev)
			reread.Reset(rereadInterval)
		case wasStale && !isStale:
			h.log.Info("list is trusted again", "rev", h.table.highestRev, "held", rev)
			reread.Stop()
		}
		onList()
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

// reload moves to the present address of discovery on each signal, until ctx is done. A configuration
// that cannot be read changes nothing.
func (h *host) reload(ctx context.Context, signals <-chan os.Signal, discoveryAt func() (string, error)) {
	for {
		select {
		case <-signals:
			address, err := discoveryAt()
			if err != nil {
				h.log.Error("reload: cannot read the configuration", "err", err)
				continue
			}
			h.post(func() { h.moveTo(address) }) //nolint:contextcheck // a watch lasts as long as the host
		case <-ctx.Done():
			return
		}
	}
}

// follow keeps a watch open at an agent that pushes its lists and answers at no cost, until ctx is
// done, and moves it to each address received from moves.
//
// What the agent has counts as published, whether or not anyone was listening: immediately for a new process, and
// some seconds later if a watch fell silent or moves. So in these cases follow requests the complete list, which
// the agent can always answer, and gives up an agent that does not answer soon. A watch that breaks off is
// reopened soon; after two lists in a row that cannot be parsed, it requests the complete list too.
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

// watchPlan states how the next watch at an agent is opened.
type watchPlan struct {
	complete     bool          // request the complete list
	firstTimeout time.Duration // for the first list; 0: the same as for later ones
	backoff      time.Duration
	badLists     int // in a row
}

// restart plans the first watch at an agent.
func (p *watchPlan) restart(d *discovery) {
	p.backoff = minBackoff
	p.complete = true
	p.firstTimeout = d.firstTimeout
}

// listCame resets the plan after a list has arrived.
func (p *watchPlan) listCame() { *p = watchPlan{backoff: minBackoff} }

// watchEnded updates the plan after a watch has ended with an error.
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

// watchOnce opens a watch and returns when the next one is to be opened, with its address, or "" for
// the same address. It returns false once ctx is done.
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
		h.log.Info("discovery: watch ended", "err", err)
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

// awaitAgent waits until an agent has sent its list, for at most the given time, or until stop is done.
//
// What the agent has counts as published from the start, while a new process has an old list. But an
// agent that does not answer must not hold up requests for long: clients connect, and wait.
func (h *host) awaitAgent(stop context.Context, atMost time.Duration) {
	timer := time.NewTimer(atMost)
	defer timer.Stop()
	select {
	case <-h.listed:
	case <-timer.C:
		h.log.Warn("no list from the agent: serving with the previous list", "waited", atMost)
	case <-stop.Done():
	}
}

// jitter returns a random time from half of the pause up to all of it. Without it, sidecars whose watches end
// at the same time, as when an overloaded service ends them, would ask again at the same time, every time.
func jitter(pause time.Duration) time.Duration { return pause/2 + rand.N(pause/2) }

// applyList applies a list to the connections and then to the Balancer: once the Balancer sends to a
// server, its address must be known.
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
		h.restoreSnapshot() // again, because more servers are known now
		close(h.listed)
	}
	if !h.isReady && (kind != balance.ListCached || len(entries) > 0) {
		h.isReady = true
		close(h.ready)
	}
}

// started returns when a server started, on the Balancer's clock; 0: long ago.
func (h *host) started(t Target) balance.Time {
	if t.Started.IsZero() {
		return 0
	}
	return max(t.Started.Sub(h.origin), 0)
}
