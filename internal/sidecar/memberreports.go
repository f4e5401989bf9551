package sidecar

import (
	"context"
	"slices"
	"time"

	"gradeusher.example/gradeusher/balance"
	"gradeusher.example/gradeusher/balance/signals"
	"gradeusher.example/gradeusher/internal/sidecar/members"
)

// kindSignals is the kind of member updates that are reports of package signals.
const kindSignals uint8 = 0

// Intervals of the reports to the members.
const (
	reportCheckInterval = 200 * time.Millisecond // how often the loop checks whether there is something to report
	repeatPerMember     = 10 * time.Millisecond  // for each member, before the same verdicts are repeated
	quietInterval       = 15 * time.Second       // how often zone and traffic level are repeated, for members that joined since
	viewStableTime      = 600 * time.Millisecond // how long the view must be unchanged before positions are assigned by it
	maxViewWait         = 3 * time.Second        // the same while the view keeps changing
)

// fleetState is what the loop knows of the members.
type fleetState struct {
	view         members.View
	peers        map[string]balance.Peer // by name, as last reported
	pendingSince balance.Time            // when the first change that the Balancer does not know happened; 0: it knows all
	lastChange   balance.Time            // when the last change happened
	published    signals.Report
	publishedAt  balance.Time // when published was sent
	reportTTL    time.Duration
}

func (c *fleetState) changed(now balance.Time) {
	c.lastChange = now
	if c.pendingSince == 0 {
		c.pendingSince = now
	}
}

// updateMembers records the members' view. Only the loop calls it and the functions below, except where they post to the loop.
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

// receiveSignals receives a member's report on servers. A report that cannot be decoded is ignored.
func (h *host) receiveSignals(update members.Update) {
	r, err := signals.Decode(update.Payload)
	if err != nil {
		h.log.Debug("signals: cannot decode a report", "origin", update.Origin, "err", err)
		return
	}
	h.post(func() {
		state := &h.fleet
		if !slices.Contains(state.view.Names, update.Origin) {
			return
		}
		for i := range r.Verdicts {
			v := &r.Verdicts[i]
			boot, known := h.upstream.startOf(v.Server)
			if known && startMS(boot) == v.Start {
				v.Start = int64(h.started(Target{Started: boot}))
			} else {
				v.Start = -1 // not the process listed here; the verdict still counts towards how many servers the witness condemns
			}
		}
		if p := (balance.Peer{Zone: r.Zone, TrafficLevel: r.TrafficLevel}); state.peers[update.Origin] != p {
			state.peers[update.Origin] = p
			state.changed(h.now)
		}
		h.balancer.ReceiveReport(h.now, signals.Statement{Origin: update.Origin, Start: update.Start, Seq: update.Seq, Age: update.Age, Report: r})
	})
}

// startMS returns the start of a server process as reports encode it; 0: not known.
func startMS(boot time.Time) int64 {
	if boot.IsZero() {
		return 0
	}
	return boot.UnixMilli()
}

// publishReports has the loop check at each interval whether there is something to report, until ctx is done.
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

// updatePositions passes the members' positions to the Balancer once the view is stable. While a fleet starts, each arrival
// would otherwise change the subsets of all sidecars. A sidecar that is the only member is treated as one without members.
func (h *host) updatePositions() {
	state := &h.fleet
	if state.pendingSince == 0 || h.now-state.lastChange < viewStableTime && h.now-state.pendingSince < maxViewWait {
		return
	}
	state.pendingSince = 0
	h.log.Info("members: positions updated", "count", state.view.Count, "place", state.view.Index, "epoch", state.view.Epoch)
	if state.view.Count < 2 {
		h.balancer.SetMembers(h.now, -1, nil)
		return
	}
	peers := make([]balance.Peer, len(state.view.Names))
	for i, name := range state.view.Names {
		peers[i] = state.peers[name]
	}
	peers[state.view.Index] = balance.Peer{Zone: state.published.Zone, TrafficLevel: state.published.TrafficLevel}
	h.balancer.SetMembers(h.now, state.view.Index, peers)
}

// sameVerdicts reports whether two reports condemn the same servers for the same reasons, counting only kinds of least or above.
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

// publishReport publishes this sidecar's verdicts on servers, its zone and its traffic level to the members.
func (h *host) publishReport() {
	state, report := &h.fleet, h.balancer.LocalReport(h.now)
	same, sameFailing := sameVerdicts(report.Verdicts, state.published.Verdicts, signals.None), sameVerdicts(report.Verdicts, state.published.Verdicts, signals.Failing)
	if report.TrafficLevel != state.published.TrafficLevel {
		same, sameFailing = false, false
		state.changed(h.now)
	}
	// Verdicts are repeated within the TTL; the more members there are, the less often. That a server
	// does not answer is published sooner than that it is full or slow, which changes all the time in an
	// overload, while each report goes to all members.
	interval, ttl := quietInterval, state.reportTTL
	if len(report.Verdicts)+len(state.published.Verdicts) > 0 {
		interval = min(max(repeatPerMember*time.Duration(state.view.Count), ttl*35/100), ttl*70/100)
	}
	if !sameFailing {
		interval /= 2
	}
	if (same || len(report.Verdicts)+len(state.published.Verdicts) > 0) && state.publishedAt > 0 && h.now-state.publishedAt < interval {
		return
	}
	state.published, state.publishedAt = report, h.now
	published := report
	published.Verdicts = slices.Clone(report.Verdicts)
	for i := range published.Verdicts {
		boot, _ := h.upstream.startOf(published.Verdicts[i].Server)
		published.Verdicts[i].Start = startMS(boot)
	}
	text, err := signals.Encode(published)
	if err == nil {
		err = h.members.Publish(kindSignals, text)
	}
	if err != nil {
		h.log.Warn("signals: cannot publish the report", "err", err)
	}
}
