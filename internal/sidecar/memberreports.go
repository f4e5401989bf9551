package sidecar

import (
	"context"
	"slices"
	"time"

	"gradeusher.example/gradeusher/balance"
	"gradeusher.example/gradeusher/balance/signals"
	"gradeusher.example/gradeusher/internal/sidecar/members"
)

// kindSignals is the kind of the states, among members, that are reports of package signals.
const kindSignals uint8 = 0

// How often a sidecar speaks to the members.
const (
	reportCheckInterval = 200 * time.Millisecond // it looks whether there is something to say
	repeatPerMember     = 10 * time.Millisecond  // for each member, until it says again what it condemns
	quietInterval       = 15 * time.Second       // it says its zone and level, for who came since
	viewSettleTime      = 600 * time.Millisecond // without a change, before places are taken by it
	maxViewWait         = 3 * time.Second        // with changes
)

// fleetState is what the loop knows of the members.
type fleetState struct {
	view         members.View
	peers        map[string]balance.Peer // by name, as they last said
	pendingSince balance.Time            // of the first change that the Balancer was not told; 0: it knows all
	lastChange   balance.Time            // change
	published    signals.Report
	publishedAt  balance.Time // when that was said
	reportTTL    time.Duration
}

func (c *fleetState) changed(now balance.Time) {
	c.lastChange = now
	if c.pendingSince == 0 {
		c.pendingSince = now
	}
}

// updateMembers takes in who is a member. The loop alone calls it, and what follows.
func (h *host) updateMembers(v members.View) {
	for name := range h.fleet.peers {
		if !slices.Contains(v.Names, name) {
			delete(h.fleet.peers, name)
			h.balancer.RemoveMember(name)
		}
	}
	h.fleet.view = v
	h.fleet.changed(h.now)
}

// receiveSignals takes in what a member says of servers. What cannot be read is passed over.
func (h *host) receiveSignals(n members.News) {
	r, err := signals.Decode(n.Payload)
	if err != nil {
		h.log.Debug("signals", "origin", n.Origin, "err", err)
		return
	}
	h.post(func() {
		c := &h.fleet
		if !slices.Contains(c.view.Names, n.Origin) {
			return
		}
		for i := range r.Verdicts {
			v := &r.Verdicts[i]
			boot, known := h.upstream.boot(v.Server)
			if known && bootMS(boot) == v.Start {
				v.Start = int64(h.started(Target{Boot: boot}))
			} else {
				v.Start = -1 // another process than the one listed here; it counts for how much the witness condemns
			}
		}
		if p := (balance.Peer{Zone: r.Zone, TrafficLevel: r.TrafficLevel}); c.peers[n.Origin] != p {
			c.peers[n.Origin] = p
			c.changed(h.now)
		}
		h.balancer.ReceiveReport(h.now, signals.Statement{Origin: n.Origin, Start: n.Start, Seq: n.Seq, Age: n.Age, Report: r})
	})
}

// bootMS is a server process's start as sidecars tell each other; 0: not known.
func bootMS(boot time.Time) int64 {
	if boot.IsZero() {
		return 0
	}
	return boot.UnixMilli()
}

// publishReports has the loop look what there is to say until ctx is done.
func (h *host) publishReports(ctx context.Context) {
	tick := time.NewTicker(reportCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			h.post(func() { h.updatePositions(); h.publishReport() })
		case <-ctx.Done():
			return
		}
	}
}

// updatePositions tells the Balancer the places of the members once they rest. Danger: in a fleet that starts each arrival would move
// the subsets of all. One that is alone is as one that knows nobody.
func (h *host) updatePositions() {
	c := &h.fleet
	if c.pendingSince == 0 || h.now-c.lastChange < viewSettleTime && h.now-c.pendingSince < maxViewWait {
		return
	}
	c.pendingSince = 0
	h.log.Info("members", "count", c.view.Count, "place", c.view.Place, "epoch", c.view.Epoch)
	if c.view.Count < 2 {
		h.balancer.SetMembers(h.now, -1, nil)
		return
	}
	peers := make([]balance.Peer, len(c.view.Names))
	for i, name := range c.view.Names {
		peers[i] = c.peers[name]
	}
	peers[c.view.Place] = balance.Peer{Zone: c.published.Zone, TrafficLevel: c.published.TrafficLevel}
	h.balancer.SetMembers(h.now, c.view.Place, peers)
}

// sameVerdicts tells whether two reports say the same of the same servers, of kinds from least on.
func sameVerdicts(a, b []signals.Verdict, least signals.Kind) bool {
	counts := func(v signals.Verdict) bool { return v.Kind >= least }
	for _, pair := range [2][2][]signals.Verdict{{a, b}, {b, a}} {
		for _, v := range pair[0] {
			if counts(v) && !slices.ContainsFunc(pair[1], func(w signals.Verdict) bool { return counts(w) && w.Process == v.Process && w.Kind == v.Kind }) {
				return false
			}
		}
	}
	return true
}

// publishReport tells the members what this sidecar saw of servers, and what it is.
func (h *host) publishReport() {
	c, r := &h.fleet, h.balancer.LocalReport(h.now)
	same, grave := sameVerdicts(r.Verdicts, c.published.Verdicts, signals.None), sameVerdicts(r.Verdicts, c.published.Verdicts, signals.Failing)
	if r.TrafficLevel != c.published.TrafficLevel {
		same, grave = false, false
		c.changed(h.now)
	}
	// What it condemns it says again within the bound, the more members there are the less often. Who fails to answer is said
	// sooner. Danger: in a jam, what is full or slow changes all the time, and each word goes to all members.
	again, bound := quietInterval, c.reportTTL
	if len(r.Verdicts)+len(c.published.Verdicts) > 0 {
		again = min(max(repeatPerMember*time.Duration(c.view.Count), bound*35/100), bound*70/100)
	}
	if !grave {
		again /= 2
	}
	if (same || len(r.Verdicts)+len(c.published.Verdicts) > 0) && c.publishedAt > 0 && h.now-c.publishedAt < again {
		return
	}
	c.published, c.publishedAt = r, h.now
	told := r
	told.Verdicts = slices.Clone(r.Verdicts)
	for i := range told.Verdicts {
		boot, _ := h.upstream.boot(told.Verdicts[i].Server)
		told.Verdicts[i].Start = bootMS(boot)
	}
	text, err := signals.Encode(told)
	if err == nil {
		err = h.members.Publish(kindSignals, text)
	}
	if err != nil {
		h.log.Warn("signals", "err", err)
	}
}
