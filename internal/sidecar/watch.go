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
		if err := h.keepers.Move(strings.Split(address, ",")); err != nil {
			h.log.Error("keepers", "err", err)
		}
		h.routing.move(address)
		return
	}
	h.log.Info("discovery moves", "to", address)
	if h.moves == nil {
		h.discovery.address.Store(address)
		h.rev = noRev
		h.leave() // the Balancer is told, and asks again
		return
	}
	select {
	case <-h.moves: // one that was not taken yet
	default:
	}
	h.moves <- address
}

// Subscribe opens a watch. The Balancer asks for another only once it was told that the last one ended.
func (h *host) Subscribe() {
	var ctx context.Context
	ctx, h.leave = context.WithCancel(h.ctx)
	from := h.rev
	h.watchers.Add(1)
	go func() {
		defer h.watchers.Done()
		if err := h.watch(ctx, from, nil); h.ctx.Err() == nil {
			h.log.Info("discovery", "err", err)
			h.post(func() { h.balancer.Endpoints(h.now, balance.ListRefused, nil) })
		}
	}()
}

// watch has the loop take in what a watch tells, until it ends. came, if any, is called for each list.
func (h *host) watch(ctx context.Context, from int64, came func(List)) error {
	return h.discovery.watch(ctx, from, func(l List) {
		if came != nil {
			came(l)
		}
		h.post(func() {
			kind := balance.ListChanges
			if l.All {
				kind = balance.ListFull
			}
			h.rev = l.Rev
			h.list(kind, l)
		})
	})
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
// Danger: what discovery has to say counts as told some seconds later, whether or not anybody listened. So a watch that
// ends is opened again soon, and one that moves, or breaks off twice in a list that cannot be read, asks for the whole list.
func (h *host) follow(ctx context.Context, from int64, moves <-chan string) {
	bad := 0
	for pause := leastPause; ; {
		now, leave := context.WithCancel(ctx)
		ended := make(chan error, 1)
		go func() {
			ended <- h.watch(now, from, func(l List) {
				from, pause, bad = l.Rev, leastPause, 0
			})
		}()
		var err error
		var address string
		select {
		case err = <-ended:
			leave()
			h.log.Info("discovery", "err", err)
			if errors.Is(err, errBadList) {
				if bad++; bad > 1 {
					from = noRev
				}
			}
			select {
			case address = <-moves:
			case <-time.After(jitter(pause)):
				pause = min(2*pause, mostPause)
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
			from, pause = noRev, leastPause
		}
	}
}

// jitter is a time from half of the pause up to all of it. Danger: sidecars whose watches end together, as when what they
// ask is overbooked, would ask again together, each time.
func jitter(pause time.Duration) time.Duration { return pause/2 + rand.N(pause/2) }

// list hands a list to the connections and to the Balancer, in this order: what it sends next must find its address.
func (h *host) list(kind balance.ListKind, l List) {
	l.All = l.All || kind == balance.ListRemembered
	h.upstream.update(l)
	entries := make([]balance.Endpoint, 0, len(l.Targets))
	for _, t := range l.Targets {
		entries = append(entries, balance.Endpoint{ID: t.ID, Zone: t.Zone, Kind: t.Kind, Cell: t.Cell, State: t.State,
			Size: t.Size, Started: h.started(t)})
	}
	h.balancer.Endpoints(h.now, kind, entries)
	if !h.isReady && (kind != balance.ListRemembered || len(entries) > 0) {
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
