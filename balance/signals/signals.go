package signals

import (
	"slices"
	"time"
)

// What a verdict needs; see the package's invariants.
const (
	minWitnesses  = 3
	minServed     = 2 // witnesses that a process served, to outweigh earlier faults: one alone may lie
	minFaults     = 5 // among the witnesses, at most maxFaultsEach of each
	maxFaultsEach = 2
	minZones      = 2               // a zone that is cut off would condemn another one for all
	evidenceTTL   = 8 * time.Second // an ejection of 5 s, and time to fail at the server again
	maxShare      = 0.4             // of the servers that a witness uses
	maxZoneShare  = 0.5             // of those in one zone
	minCondemned  = 2               // servers, below which no share means anything
)

// witness is what one origin states of one process.
type witness struct {
	kind       Kind
	zone       string // the origin's
	serverZone string
	count      int
	age        time.Duration
}

// Evaluate returns the verdict on each process by what the members state now: the worst kind that enough
// witnesses support.
func (a *Aggregate) Evaluate(now time.Duration) map[Process]Kind {
	a.dropExpired(now)
	verdicts := map[Process]Kind{}
	a.counts = map[Process]WitnessCount{}
	for process, witnesses := range a.collectWitnesses(now) {
		served := servedAges(witnesses)
		a.counts[process] = WitnessCount{Condemning: len(witnesses) - len(served), Served: len(served)}
		if kind := a.worstKind(condemning(witnesses, served)); kind > None {
			verdicts[process] = kind
		}
	}
	return verdicts
}

func (a *Aggregate) dropExpired(now time.Duration) {
	for origin, s := range a.statements {
		if now-s.madeAt > a.TTL {
			delete(a.statements, origin)
		}
	}
}

// collectWitnesses returns the witnesses on each process that are likely not cut off, with evidence that
// still counts.
func (a *Aggregate) collectWitnesses(now time.Duration) map[Process][]witness {
	witnesses := map[Process][]witness{}
	for _, s := range a.statements {
		if isPartitioned(s.Report) {
			continue
		}
		for _, v := range s.Verdicts {
			age := v.Age + now - s.madeAt
			if age > evidenceTTL {
				continue
			}
			witnesses[v.Process] = append(witnesses[v.Process], witness{
				kind:       v.Kind,
				zone:       s.Zone,
				serverZone: v.Zone,
				count:      v.Count,
				age:        age,
			})
		}
	}
	return witnesses
}

// servedAges is how long ago the process served each of the witnesses that state so.
func servedAges(witnesses []witness) (ages []time.Duration) {
	for _, w := range witnesses {
		if w.kind == Serving {
			ages = append(ages, w.age)
		}
	}
	return ages
}

// condemning are the witnesses of faults that are no older than the answers that enough others had.
func condemning(witnesses []witness, served []time.Duration) []witness {
	oldest := evidenceTTL
	if len(served) >= minServed {
		slices.Sort(served)
		oldest = served[minServed-1]
	}
	return slices.DeleteFunc(witnesses, func(w witness) bool { return w.kind == Serving || w.age > oldest })
}

// worstKind is the worst kind that enough witnesses support, or None.
func (a *Aggregate) worstKind(witnesses []witness) Kind {
	for kind := Unresponsive; kind > None; kind-- {
		if a.suffices(witnesses, kind) {
			return kind
		}
	}
	return None
}

// suffices tells whether the witnesses are enough for a kind of failure, or a worse one.
func (a *Aggregate) suffices(witnesses []witness, kind Kind) bool {
	var zones []string
	count, faults, near := 0, 0, 0
	for _, w := range witnesses {
		if w.kind < kind {
			continue
		}
		count++
		faults += min(w.count, maxFaultsEach)
		if !slices.Contains(zones, w.zone) {
			zones = append(zones, w.zone)
		}
		if w.zone == w.serverZone {
			near++
		}
	}
	if count < minWitnesses || faults < minFaults {
		return false
	}
	return len(zones) >= minZones || zones[0] == a.Zone || near >= minWitnesses
}

// isPartitioned tells whether a witness is more likely cut off itself than that so many servers fail.
func isPartitioned(r Report) bool {
	condemned := slices.DeleteFunc(slices.Clone(r.Verdicts), func(v Verdict) bool { return v.Kind == Serving })
	var used, condemnedUsed int
	for _, use := range r.Uses {
		inZone := countInZone(condemned, use.Zone)
		used += use.Servers
		condemnedUsed += inZone
		if inZone >= minCondemned && float64(inZone) > maxZoneShare*float64(use.Servers) {
			return true
		}
	}
	// What it condemns where it uses nothing, by its own statement, would not show in any share.
	if condemnedUsed < len(condemned) {
		return true
	}
	return condemnedUsed >= minCondemned && float64(condemnedUsed) > maxShare*float64(used)
}

func countInZone(verdicts []Verdict, zone string) (count int) {
	for _, v := range verdicts {
		if v.Zone == zone {
			count++
		}
	}
	return count
}

// LocalReport is what a sidecar states of what it saw itself: no verdict if it is likely cut off, and none
// that is too old.
func LocalReport(r Report) Report {
	partitioned := isPartitioned(r)
	r.Verdicts = slices.DeleteFunc(slices.Clone(r.Verdicts), func(v Verdict) bool {
		return partitioned || v.Age > evidenceTTL
	})
	return r
}
