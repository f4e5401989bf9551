package distribution

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/platform"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// publishList adds the present servers to the list's history, which the platform shows with a lag. The caller holds mu or has exclusive
// access.
func (w *warmUpFleet) publishList() {
	w.listHistory = append(w.listHistory, shownList{time.Now(), maps.Clone(w.trueServers)})
}

// fleetLister implements platform.Lister for one node.
type fleetLister struct {
	fleet *warmUpFleet
	calls uint64
}

func (l *fleetLister) Calls() uint64 { return l.calls }

func (l *fleetLister) List(ctx context.Context, _ string) ([]platform.Instance, error) {
	l.calls++
	if !sleep(ctx, time.Millisecond+rand.N(60*time.Millisecond)) {
		return nil, ctx.Err()
	}
	l.fleet.mu.Lock()
	now := time.Now()
	var list []platform.Instance
	for _, s := range slices.Backward(l.fleet.listHistory) {
		if now.Sub(s.at) < warmUpListLag {
			continue
		}
		for id, v := range s.servers {
			if rand.N(100) < l.fleet.missingPercent {
				continue
			}
			i := platform.Instance{ID: id, Target: "a", Address: id, Zone: v.zone, Slots: 1000, WarmUpLeft: max(0, v.coldUntil.Sub(now))}
			if !v.draining.IsZero() {
				i.Phase = platform.Draining
			}
			list = append(list, i)
		}
		break
	}
	l.fleet.mu.Unlock()
	slices.SortFunc(list, func(a, b platform.Instance) int { return cmp.Compare(a.ID, b.ID) })
	if !sleep(ctx, time.Millisecond+rand.N(60*time.Millisecond)) {
		return nil, ctx.Err()
	}
	return list, nil
}

// poll makes a node poll the platform.
func (w *warmUpFleet) poll(node string) {
	ctx, cancel := context.WithCancel(context.Background())
	w.polls[node] = cancel
	server := w.servers[node]
	poller := platform.NewPoller(platform.PollerOptions{Lister: &fleetLister{fleet: w}, Log: discardLogger(),
		Newest: func() platform.ListVersion { return platform.ListVersion(server.ListVersion()) },
		Ownership: func() (uint64, bool) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.sources[node].Current() {
				w.seen[node] = w.epoch
			}
			return w.seen[node], w.owner == node && w.seen[node] == w.epoch
		},
		OnResult: func(r platform.Result) {
			var servers []pick.Server
			for _, i := range r.Instances {
				servers = append(servers, pick.Server{ID: i.ID, Service: i.Target, Address: i.Address, Zone: i.Zone, Slots: i.Slots, Draining: i.Phase == platform.Draining, WarmUpMax: i.WarmUpLeft})
			}
			_ = server.PutList(r.Fence, r.Version, servers, softstate.TimeBounds{Earliest: r.RequestedAt, Latest: r.ReceivedAt})
		}})
	w.wg.Go(func() { poller.Run(ctx) })
}

// serve makes every proxy pick a server twice, and records the requests to cold and draining ones.
func (w *warmUpFleet) serve() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, node := range w.proxyNames {
		picker := w.pickers[node]
		picker.mu.Lock()
		for range 2 {
			if picker.serves {
				w.serveOnce(node, picker)
			}
		}
		picker.mu.Unlock()
	}
}

// serveOnce makes a proxy pick a server. The caller holds mu, and that of the picker.
func (w *warmUpFleet) serveOnce(node string, picker *fleetPicker) {
	now := time.Since(picker.start)
	sendsBefore := picker.picker.Stats().WarmUpSends
	choice := picker.picker.Pick(now, &pick.Request{Route: w.config.Routes[0], TimeLeft: time.Second}, nil, false)
	if choice.Decision != pick.Send {
		return
	}
	picker.picker.Done(now, choice.Ticket, pick.Served, 0)
	server, ok := w.trueServers[choice.Server.ID]
	if !ok {
		return // 421
	}
	if time.Now().Before(server.coldUntil) {
		if picker.changes[server.zone] < w.evacuated[server.zone] {
			// Such a proxy continues at its share of the load: see the postmortem of FAILBACK, section "what is left".
			w.faultCounts["cold sends by proxies that have not learned of the evacuation"]++
			return
		}
		asCold := picker.picker.Stats().WarmUpSends > sendsBefore
		w.recordColdSend(choice.Server.ID, server, coldRequest{time.Now(), node, asCold})
	}
	if _, isolated := w.isolatedUntil[node]; !isolated && !server.draining.IsZero() {
		since := laterOf(laterOf(w.lastFault[node], w.lastFault[""]), server.draining.Add(warmUpListLag))
		w.maxLateness = max(w.maxLateness, time.Since(since))
	}
}

// recordColdSend records a request to a cold server. The caller holds mu.
func (w *warmUpFleet) recordColdSend(id string, server warmingServer, request coldRequest) {
	w.sent[id] = append(w.sent[id], request)
	for time.Since(w.sent[id][0].at) >= time.Second {
		w.sent[id] = w.sent[id][1:]
	}
	if count := len(w.sent[id]); count > w.worst {
		w.worst = count
		w.worstSecond = w.describeSecond(id, server)
	}
	w.faultCounts["cold sends"]++
}

// describeSecond describes the requests of the last second at a server.
func (w *warmUpFleet) describeSecond(id string, s warmingServer) string {
	byProxy := map[string][2]int{}
	for _, v := range w.sent[id] {
		n := byProxy[v.node]
		if v.cold {
			n[0]++
		} else {
			n[1]++
		}
		byProxy[v.node] = n
	}
	out := fmt.Sprintf("%v: %s in %s, cold since %v, by proxy (as cold, as warm):", time.Since(w.begin).Round(time.Millisecond), id, s.zone,
		s.coldUntil.Add(-warmUpDuration).Sub(w.begin).Round(time.Millisecond))
	for _, node := range slices.Sorted(maps.Keys(byProxy)) {
		out += fmt.Sprint(" ", node, byProxy[node])
		if end, cut := w.isolatedUntil[node]; cut {
			out += fmt.Sprint("(isolated until ", end.Sub(w.begin), ")")
		} else if at, ok := w.lastFault[node]; ok {
			out += fmt.Sprint("(last fault ", at.Sub(w.begin), ")")
		}
	}
	return out + "\n" + fmt.Sprint(w.eventLog[max(0, len(w.eventLog)-45):])
}

// log adds an event to the log.
func (w *warmUpFleet) log(what ...any) {
	w.eventLog = append(w.eventLog, fmt.Sprint(time.Since(w.begin).Round(time.Millisecond), " ", fmt.Sprint(what...)))
}
