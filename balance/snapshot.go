package balance

import (
	"cmp"
	"slices"
	"time"
)

// Snapshot is what a Balancer believes, for the one of the next process. Durations and starts are on the host's clock.
type Snapshot struct {
	ZoneWeight  float64            `json:"near"`    // weight of other zones
	IdleSeconds float64            `json:"idle"`    // seconds that a request held takes where the fleet idles
	Arrivals    float64            `json:"arrived"` // fading count of requests
	SheddingFor time.Duration      `json:"tight"`   // for which lesser classes still give way
	MeanSeconds []float64          `json:"work"`    // mean seconds of answers, by class
	Groups      []LatencySum       `json:"groups"`  // by the rule's destinations, the last one of all endpoints
	Endpoints   []EndpointSnapshot `json:"endpoints"`
}

// LatencySum is a fading sum of answer times in seconds and of the requests held.
type LatencySum struct {
	Seconds float64 `json:"took"`
	Load    float64 `json:"held"`
}

// EndpointSnapshot is what is believed of an endpoint.
type EndpointSnapshot struct {
	ID          string `json:"id"`
	Started     Time   `json:"started"` // of the process that it is believed of; 0: long ago
	WarmUpStart Time   `json:"cold"`    // from when on it counted as cold; 0: it does not
	LatencySum
	Freshness  float64       `json:"fresh"` // as Held, but what answers have told lately
	Failures   float64       `json:"faults"`
	TurnCredit float64       `json:"due"` // of its next turn
	EjectedFor time.Duration `json:"out"` // it stays ejected for so long
}

// Snapshot returns what is believed now.
func (b *Balancer) Snapshot(now Time) Snapshot {
	k := Snapshot{ZoneWeight: b.zoneWeight[1], IdleSeconds: b.idleSeconds, Arrivals: b.arrivals, SheddingFor: max(0, b.sheddingUntil-now), MeanSeconds: slices.Clone(b.meanSeconds)}
	for _, g := range b.groups {
		k.Groups = append(k.Groups, LatencySum{g.latencySum, g.loadSum})
	}
	for _, e := range b.endpoints[:min(len(b.endpoints), maxSnapshotEndpoints)] {
		s := EndpointSnapshot{ID: e.ID, Started: e.Started, WarmUpStart: e.warmUpStart, LatencySum: LatencySum{e.latencySum, e.loadSum}, Freshness: e.freshness, Failures: e.failures, TurnCredit: e.turnCredit, EjectedFor: max(0, e.ejectedUntil-now)}
		if now-e.warmUpStart >= b.settings.WarmUpTime {
			s.WarmUpStart = 0
		}
		if s.Load > 0 || s.Seconds > 0 || s.Failures > 0 || s.EjectedFor > 0 || s.WarmUpStart > 0 {
			k.Endpoints = append(k.Endpoints, s)
		}
	}
	return k
}

// Restore takes up what was believed some time ago, where nothing newer is believed yet: it is for a Balancer that was told its first
// list and has sent nothing. What is older than maxSnapshotAge, negative or no number counts for nothing, and so does what is believed of an
// endpoint's former process, of one that is not listed, and of groups that are others now.
func (b *Balancer) Restore(now Time, k Snapshot, age time.Duration) {
	if age < 0 || age > maxSnapshotAge || len(b.requests) > 0 {
		return
	}
	if len(k.MeanSeconds) == len(b.meanSeconds) && !slices.ContainsFunc(k.MeanSeconds, func(w float64) bool { return !isUpTo(w, b.shortestTarget*100) || w == 0 }) {
		copy(b.meanSeconds, k.MeanSeconds)
		for i := range b.classLatency {
			b.classLatency[i].latencySum = k.MeanSeconds[i] * b.classLatency[i].loadSum
		}
	}
	if isUpTo(k.ZoneWeight, 1) {
		b.zoneWeight[1] = max(k.ZoneWeight, minZoneWeight)
	}
	if isUpTo(k.IdleSeconds, b.shortestTarget) {
		b.idleSeconds = k.IdleSeconds
	}
	if isUpTo(k.Arrivals, maxRestored) {
		b.arrivals = k.Arrivals
	}
	if isUpTo(k.SheddingFor.Seconds(), memoryTTL.Seconds()) {
		b.sheddingUntil = now + max(0, k.SheddingFor-age)
	}
	if len(k.Groups) == len(b.groups) && !slices.ContainsFunc(k.Groups, func(s LatencySum) bool { return !s.isValid() }) {
		for i, g := range b.groups {
			g.latencySum, g.loadSum = k.Groups[i].Seconds, k.Groups[i].Load
		}
	}
	for _, s := range k.Endpoints[:min(len(k.Endpoints), maxSnapshotEndpoints)] {
		e := b.byID[s.ID]
		if e == nil || e.Started != s.Started || !s.isValid() || !isUpTo(s.Freshness, 1) || !isUpTo(s.Failures, ejectionThreshold) || !isUpTo(s.TurnCredit, maxRestored) || !isUpTo(s.EjectedFor.Seconds(), ejectionTime.Seconds()) {
			continue
		}
		e.latencySum, e.loadSum, e.freshness, e.failures, e.turnCredit = s.Seconds, s.Load, s.Freshness, s.Failures, s.TurnCredit
		e.warmUpStart = cmp.Or(min(max(s.WarmUpStart, 0), now), e.warmUpStart)
		if s.EjectedFor > age {
			e.ejectedUntil = now + s.EjectedFor - age
		}
	}
	b.regroup(now)
	b.decay(now, age)
	b.lastResultAt = now - age
}

// Here is what a process hands on to the next one. It decides nothing: beliefs are copied, and fade with the time that has passed as
// they do in life (fade).

// Bounds of what is handed on.
const (
	maxSnapshotAge       = 5 * memoryTTL // by then under 1% is left of what answers taught
	maxSnapshotEndpoints = 4096          // endpoints
)

const maxRestored = 1e9

func isUpTo(x, most float64) bool { return x >= 0 && x <= most }

func (s LatencySum) isValid() bool {
	return isUpTo(s.Seconds, maxRestored) && isUpTo(s.Load, maxRestored)
}
