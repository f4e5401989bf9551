package balance

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of a snapshot.
const (
	maxSnapshotAge       = 5 * memoryTTL // by then the estimates have decayed to under 1%
	maxSnapshotEndpoints = 4096
	maxRestored          = 1e9 // for sums, counts and credits
	maxTargets           = 100 // for the mean time of a class, in shortest latency targets
)

// Snapshot holds what a Balancer has learned, for the Balancer of the next process. Durations and start times are on the
// host's clock. Snapshots are stored, so the JSON keys must not change.
type Snapshot struct {
	ZoneWeight  float64            `json:"near"`    // weight of other zones
	IdleSeconds float64            `json:"idle"`    // latency of the idle fleet per unit of load
	Arrivals    float64            `json:"arrived"` // decaying count of requests
	SheddingFor time.Duration      `json:"tight"`   // how much longer classes of lower value are shed
	MeanSeconds []float64          `json:"work"`    // mean answer time by class
	Groups      []LatencySum       `json:"groups"`  // one per destination of the rule; the last one covers all endpoints
	Endpoints   []EndpointSnapshot `json:"endpoints"`
}

// LatencySum holds decaying sums of answer times, in seconds, and of load.
type LatencySum struct {
	Seconds float64 `json:"took"`
	Load    float64 `json:"held"`
}

// EndpointSnapshot holds what a Balancer has learned about an endpoint.
type EndpointSnapshot struct {
	ID          string `json:"id"`
	Started     Time   `json:"started"` // start of the process that was observed; 0: long ago
	WarmUpStart Time   `json:"cold"`    // 0: the endpoint is warm
	LatencySum
	Freshness  float64       `json:"fresh"` // share of the sums that still counts towards estimates
	Failures   float64       `json:"faults"`
	TurnCredit float64       `json:"due"`
	EjectedFor time.Duration `json:"out"`
}

// isEmpty reports whether the snapshot holds nothing worth restoring.
func (s EndpointSnapshot) isEmpty() bool {
	return !(s.Load > 0 || s.Seconds > 0 || s.Failures > 0 || s.EjectedFor > 0 || s.WarmUpStart > 0)
}

// isValid reports whether all values are numbers within their bounds.
func (s EndpointSnapshot) isValid() bool {
	return s.LatencySum.isValid() && isUpTo(s.Freshness, 1) && isUpTo(s.Failures, ejectionThreshold) &&
		isUpTo(s.TurnCredit, maxRestored) && isUpTo(s.EjectedFor.Seconds(), ejectionTime.Seconds())
}

func (s LatencySum) isValid() bool {
	return isUpTo(s.Seconds, maxRestored) && isUpTo(s.Load, maxRestored)
}

func (s LatencySum) sums() latencySums { return latencySums{latencySum: s.Seconds, loadSum: s.Load} }

func (s latencySums) snapshot() LatencySum { return LatencySum{Seconds: s.latencySum, Load: s.loadSum} }

// isUpTo reports whether x is a number from 0 to a bound.
func isUpTo(x, bound float64) bool { return isBetween(x, 0, bound) }

// Snapshot returns what the Balancer has learned so far.
func (b *Balancer) Snapshot(now Time) Snapshot {
	snapshot := Snapshot{
		ZoneWeight:  b.zoneWeight[otherZones],
		IdleSeconds: b.idleSeconds,
		Arrivals:    b.arrivals,
		SheddingFor: max(0, b.sheddingUntil-now),
		MeanSeconds: slices.Clone(b.meanSeconds),
	}
	for _, g := range b.groups {
		snapshot.Groups = append(snapshot.Groups, g.snapshot())
	}
	for _, e := range b.endpoints[:min(len(b.endpoints), maxSnapshotEndpoints)] {
		if s := b.snapshotEndpoint(e, now); !s.isEmpty() {
			snapshot.Endpoints = append(snapshot.Endpoints, s)
		}
	}
	return snapshot
}

func (b *Balancer) snapshotEndpoint(e *endpoint, now Time) EndpointSnapshot {
	saved := EndpointSnapshot{
		ID:          e.ID,
		Started:     e.Started,
		WarmUpStart: e.warmUpStart,
		LatencySum:  e.snapshot(),
		Freshness:   e.freshness,
		Failures:    e.failures,
		TurnCredit:  e.turnCredit,
		EjectedFor:  max(0, e.ejectedUntil-now),
	}
	if now-e.warmUpStart >= b.settings.WarmUpTime {
		saved.WarmUpStart = 0
	}
	return saved
}

// Restore loads a snapshot of the given age. It is meant for a Balancer that has got its first list and sent nothing yet. It
// ignores a snapshot older than maxSnapshotAge, values that are negative or not numbers, endpoints that are not listed or have
// restarted since, and groups if the number of destinations differs. The rest decays by its age as it would have in a running
// process.
func (b *Balancer) Restore(now Time, snapshot Snapshot, age time.Duration) {
	if age < 0 || age > maxSnapshotAge || len(b.requests) > 0 {
		return
	}
	b.restoreClasses(snapshot.MeanSeconds)
	b.restoreScalars(snapshot, now, age)
	b.restoreGroups(snapshot.Groups)
	for _, s := range snapshot.Endpoints[:min(len(snapshot.Endpoints), maxSnapshotEndpoints)] {
		b.restoreEndpoint(s, now, age)
	}
	b.regroup(now)
	b.decay(now, age)
	b.lastResultAt = now - age
}

func (b *Balancer) restoreClasses(meanSeconds []float64) {
	isInvalid := func(seconds float64) bool { return !isUpTo(seconds, b.shortestTarget*maxTargets) || seconds == 0 }
	if len(meanSeconds) != len(b.meanSeconds) || slices.ContainsFunc(meanSeconds, isInvalid) {
		return
	}
	copy(b.meanSeconds, meanSeconds)
	for i := range b.classLatency {
		b.classLatency[i].latencySum = meanSeconds[i] * b.classLatency[i].loadSum
	}
}

func (b *Balancer) restoreScalars(snapshot Snapshot, now Time, age time.Duration) {
	if isUpTo(snapshot.ZoneWeight, 1) {
		b.zoneWeight[otherZones] = max(snapshot.ZoneWeight, minZoneWeight)
	}
	if isUpTo(snapshot.IdleSeconds, b.shortestTarget) {
		b.idleSeconds = snapshot.IdleSeconds
	}
	if isUpTo(snapshot.Arrivals, maxRestored) {
		b.arrivals = snapshot.Arrivals
	}
	if isUpTo(snapshot.SheddingFor.Seconds(), sheddingTime.Seconds()) {
		b.sheddingUntil = now + max(0, snapshot.SheddingFor-age)
	}
}

func (b *Balancer) restoreGroups(groups []LatencySum) {
	isInvalid := func(s LatencySum) bool { return !s.isValid() }
	if len(groups) != len(b.groups) || slices.ContainsFunc(groups, isInvalid) {
		return
	}
	for i, g := range b.groups {
		g.latencySums = groups[i].sums()
	}
}

func (b *Balancer) restoreEndpoint(saved EndpointSnapshot, now Time, age time.Duration) {
	e := b.byID[saved.ID]
	if e == nil || e.Started != saved.Started || !saved.isValid() {
		return
	}
	e.latencySums = saved.sums()
	e.freshness = saved.Freshness
	e.failures = saved.Failures
	e.turnCredit = saved.TurnCredit
	e.warmUpStart = cmp.Or(min(max(saved.WarmUpStart, 0), now), e.warmUpStart)
	if saved.EjectedFor > age {
		e.ejectedUntil = now + saved.EjectedFor - age
	}
}
