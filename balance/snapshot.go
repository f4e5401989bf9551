package balance

import (
	"cmp"
	"slices"
	"time"
)

// Snapshot is what a Balancer believes, for the one of the next process. Durations and starts are on the host's clock.
type Snapshot struct {
	Near      float64            `json:"near"`    // weight of other zones
	Idle      float64            `json:"idle"`    // seconds that a request held takes where the fleet idles
	Arrived   float64            `json:"arrived"` // fading count of requests
	Tight     time.Duration      `json:"tight"`   // for which lesser classes still give way
	Work      []float64          `json:"work"`    // mean seconds of answers, by class
	Groups    []LatencySum       `json:"groups"`  // by the rule's destinations, the last one of all endpoints
	Endpoints []EndpointSnapshot `json:"endpoints"`
}

// LatencySum is a fading sum of answer times in seconds and of the requests held.
type LatencySum struct {
	Took float64 `json:"took"`
	Held float64 `json:"held"`
}

// EndpointSnapshot is what is believed of an endpoint.
type EndpointSnapshot struct {
	ID      string `json:"id"`
	Started Time   `json:"started"` // of the process that it is believed of; 0: long ago
	Cold    Time   `json:"cold"`    // from when on it counted as cold; 0: it does not
	LatencySum
	Fresh  float64       `json:"fresh"` // as Held, but what answers have told lately
	Faults float64       `json:"faults"`
	Due    float64       `json:"due"` // of its next turn
	Out    time.Duration `json:"out"` // it stays ejected for so long
}

// Snapshot returns what is believed now.
func (b *Balancer) Snapshot(now Time) Snapshot {
	k := Snapshot{Near: b.zoneWeight[1], Idle: b.idleSeconds, Arrived: b.arrivals, Tight: max(0, b.sheddingUntil-now), Work: slices.Clone(b.meanSeconds)}
	for _, g := range b.groups {
		k.Groups = append(k.Groups, LatencySum{g.latencySum, g.loadSum})
	}
	for _, e := range b.endpoints[:min(len(b.endpoints), maxSnapshotEndpoints)] {
		s := EndpointSnapshot{ID: e.ID, Started: e.Started, Cold: e.warmUpStart, LatencySum: LatencySum{e.latencySum, e.loadSum}, Fresh: e.freshness, Faults: e.failures, Due: e.turnCredit, Out: max(0, e.ejectedUntil-now)}
		if now-e.warmUpStart >= b.settings.WarmUpTime {
			s.Cold = 0
		}
		if s.Held > 0 || s.Took > 0 || s.Faults > 0 || s.Out > 0 || s.Cold > 0 {
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
	if len(k.Work) == len(b.meanSeconds) && !slices.ContainsFunc(k.Work, func(w float64) bool { return !isWithin(w, b.shortestTarget*100) || w == 0 }) {
		copy(b.meanSeconds, k.Work)
		for i := range b.classLatency {
			b.classLatency[i].latencySum = k.Work[i] * b.classLatency[i].loadSum
		}
	}
	if isWithin(k.Near, 1) {
		b.zoneWeight[1] = max(k.Near, minZoneWeight)
	}
	if isWithin(k.Idle, b.shortestTarget) {
		b.idleSeconds = k.Idle
	}
	if isWithin(k.Arrived, maxSum) {
		b.arrivals = k.Arrived
	}
	if isWithin(k.Tight.Seconds(), memoryTTL.Seconds()) {
		b.sheddingUntil = now + max(0, k.Tight-age)
	}
	if len(k.Groups) == len(b.groups) && !slices.ContainsFunc(k.Groups, func(s LatencySum) bool { return !s.isValid() }) {
		for i, g := range b.groups {
			g.latencySum, g.loadSum = k.Groups[i].Took, k.Groups[i].Held
		}
	}
	for _, s := range k.Endpoints[:min(len(k.Endpoints), maxSnapshotEndpoints)] {
		e := b.byID[s.ID]
		if e == nil || e.Started != s.Started || !s.isValid() || !isWithin(s.Fresh, 1) || !isWithin(s.Faults, ejectionThreshold) || !isWithin(s.Due, maxSum) || !isWithin(s.Out.Seconds(), ejectionTime.Seconds()) {
			continue
		}
		e.latencySum, e.loadSum, e.freshness, e.failures, e.turnCredit = s.Took, s.Held, s.Fresh, s.Faults, s.Due
		e.warmUpStart = cmp.Or(min(max(s.Cold, 0), now), e.warmUpStart)
		if s.Out > age {
			e.ejectedUntil = now + s.Out - age
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

const maxSum = 1e9

func isWithin(x, most float64) bool { return x >= 0 && x <= most }

func (s LatencySum) isValid() bool { return isWithin(s.Took, maxSum) && isWithin(s.Held, maxSum) }
