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

// Here is how the list of servers comes to the Balancer.

const (
	// A watch that ended is opened again after leastPause, and after twice as long each time that nothing comes.
	leastPause = 100 * time.Millisecond
	mostPause  = time.Second
	noRev      = -1 // no list is held
)

// move has discovery, or other keepers, asked at another address from now on. The loop alone calls it. Of several that come at once the
// last counts.
func (h *host) move(address string) {
	if h.keepers != nil {
		h.log.Info("keepers move", "to", address)
		if err := h.keepers.SetAddresses(strings.Split(address, ",")); err != nil {
			h.log.Error("keepers", "err", err)
		}
		h.routing.move(address)
		return
	}
	h.log.Info("discovery moves", "to", address)
	if h.moves == nil {
		// Danger: the Balancer asks again some seconds after a call that failed, and what the new address has to tell counts
		// as told 4 s from now. So it is asked from here; with a pause, as all sidecars are told to move at once.
		if h.moveTo = address; !h.watching {
			h.watching = true
			h.askMoved()
		}
		h.leave()
		return
	}
	select {
	case <-h.moves: // one that was not taken yet
	default:
	}
	h.moves <- address
}

// Subscribe opens a watch, if none is open. The Balancer asks for another only once it was told that the last one ended.
func (h *host) Subscribe() {
	if h.watching {
		return // since a move
	}
	h.watching = true
	h.open()
}

// open opens the one watch that there is where the Balancer asks for them. The loop alone calls it.
func (h *host) open() {
	var ctx context.Context
	ctx, h.leave = context.WithCancel(h.ctx)
	h.watchers.Add(1)
	go func() {
		defer h.watchers.Done()
		err := h.watch(ctx, h.ledger.from(), 0, func() {})
		if h.ctx.Err() != nil {
			return
		}
		h.log.Info("discovery", "err", err)
		h.post(func() {
			if h.moveTo != "" {
				h.askMoved()
				return
			}
			h.watching = false
			h.balancer.Endpoints(h.now, balance.ListRefused, nil)
		})
	}()
}

// askMoved asks at the address that discovery has moved to. No watch is open.
func (h *host) askMoved() {
	time.AfterFunc(jitter(mostPause), func() {
		h.post(func() {
			h.discovery.address.Store(h.moveTo)
			h.moveTo = ""
			h.ledger.forget()
			h.open()
		})
	})
}

var errDoubted = errors.New("the list went back: it is read again")

// watch has the loop take in what a watch tells, until it ends; a list that is doubted ends it when that is to be read again. came is
// called for each list. Watches come one after the other: the one that is open has the ledger.
func (h *host) watch(ctx context.Context, from int64, first time.Duration, came func()) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	reread := time.AfterFunc(rereadEvery, func() { cancel(errDoubted) })
	defer reread.Stop()
	if !h.ledger.doubts() {
		reread.Stop()
	}
	err := h.discovery.watch(ctx, from, first, func(l List) {
		doubted, rev, now := h.ledger.doubts(), h.ledger.rev, time.Now()
		l = h.ledger.take(l, now)
		switch doubts := h.ledger.doubts(); {
		case doubts && !doubted:
			h.log.Warn("list went back: what it lacks is kept until it is read again", "held", rev)
			reread.Reset(rereadEvery)
		case doubted && !doubts:
			h.log.Info("list is believed again", "rev", h.ledger.rev, "held", rev)
			reread.Stop()
		}
		came()
		h.post(func() {
			kind := balance.ListChanges
			if l.All {
				kind = balance.ListFull
			}
			h.list(kind, l)
		})
	})
	if cause := context.Cause(ctx); errors.Is(cause, errDoubted) {
		return cause
	}
	return err
}

// reload moves to where discovery is each time that told says so, until ctx is done. A configuration that cannot be read
// changes nothing.
func (h *host) reload(ctx context.Context, told <-chan os.Signal, discoveryAt func() (string, error)) {
	for {
		select {
		case <-told:
			address, err := discoveryAt()
			if err != nil {
				h.log.Error("reload", "err", err)
				continue
			}
			h.post(func() { h.move(address) })
		case <-ctx.Done():
			return
		}
	}
}

// follow keeps a watch open at an agent that pushes its news and answers at no cost, until ctx is done, and moves it to
// each address that comes from moves.
//
// Danger: what the agent has counts as told, whether or not anybody listened: at once to a new process, and some seconds later
// where a watch fell silent or moves. So those ask for the whole list, which it always has an answer to, and leave one that says nothing
// soon. One that breaks off is opened again soon; twice in a list that cannot be read, it asks for the whole one too.
func (h *host) follow(ctx context.Context, moves <-chan string) {
	bad := 0
	whole, first := true, h.discovery.within
	for pause := leastPause; ; {
		from := int64(noRev)
		if !whole {
			from = h.ledger.from()
		}
		now, leave := context.WithCancel(ctx)
		ended := make(chan error, 1)
		go func() {
			ended <- h.watch(now, from, first, func() {
				pause, bad, whole, first = leastPause, 0, false, 0
			})
		}()
		var err error
		var address string
		select {
		case err = <-ended:
			leave()
			h.log.Info("discovery", "err", err)
			switch {
			case errors.Is(err, errSilent) && whole: // it may be slow
				first = min(2*first, h.discovery.silence)
			case errors.Is(err, errSilent):
				whole, first = true, h.discovery.within
			case errors.Is(err, errBadList):
				if bad++; bad > 1 {
					whole = true
				}
			}
			select {
			case address = <-moves:
			case <-time.After(jitter(pause)):
				if !errors.Is(err, errSilent) {
					pause = min(2*pause, mostPause)
				}
			case <-ctx.Done():
				return
			}
		case address = <-moves:
			leave()
			<-ended
		case <-ctx.Done():
			leave()
			<-ended
			return
		}
		if address != "" {
			h.discovery.address.Store(address)
			h.ledger.forget()
			pause, whole, first = leastPause, true, h.discovery.within
		}
	}
}

// hear waits until an agent has told what it has, at most for some time, or until stop is done.
//
// Danger: what the agent has counts as told from the first moment, and a new process holds an old list. One that says nothing
// must not keep requests from servers for long, though: clients connect, and wait.
func (h *host) hear(stop context.Context, atMost time.Duration) {
	timer := time.NewTimer(atMost)
	defer timer.Stop()
	select {
	case <-h.told:
	case <-timer.C:
		h.log.Warn("the agent says nothing: serving by the list from before", "waited", atMost)
	case <-stop.Done():
	}
}

// jitter is a time from half of the pause up to all of it. Danger: sidecars whose watches end together, as when what they
// ask is overbooked, would ask again together, each time.
func jitter(pause time.Duration) time.Duration { return pause/2 + rand.N(pause/2) }

// list hands a list to the connections and to the Balancer, in this order: what it sends next must find its address.
func (h *host) list(kind balance.ListKind, l List) {
	l.All = l.All || kind == balance.ListCached
	h.upstream.update(l)
	entries := make([]balance.Endpoint, 0, len(l.Targets))
	for _, t := range l.Targets {
		entries = append(entries, balance.Endpoint{ID: t.ID, Zone: t.Zone, Kind: t.Kind, Cell: t.Cell, State: t.State,
			Size: t.Size, Started: h.started(t)})
	}
	h.balancer.Endpoints(h.now, kind, entries)
	if kind != balance.ListCached && !h.isTold {
		h.isTold = true
		h.takeUp() // again: more servers are known
		close(h.told)
	}
	if !h.isReady && (kind != balance.ListCached || len(entries) > 0) {
		h.isReady = true
		close(h.ready)
	}
}

// started is when a server started, in the Balancer's time; 0: long ago.
func (h *host) started(t Target) balance.Time {
	if t.Boot.IsZero() {
		return 0
	}
	return max(t.Boot.Sub(h.origin), 0)
}
