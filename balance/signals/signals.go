package signals

import (
	"slices"
	"time"
)

// The requirements for a verdict; see the package's invariants.
const (
	minWitnesses  = 3
	minServed     = 2 // served witnesses needed to outweigh earlier faults, as a single one may be false
	minFaults     = 5 // in total, counting at most maxFaultsEach per witness
	maxFaultsEach = 2
	minZones      = 2               // otherwise a partitioned zone could condemn another zone for all sidecars
	evidenceTTL   = 8 * time.Second // an ejection of 5 s, and time to fail at the server again
	maxShare      = 0.4             // of the servers that a witness uses
	maxZoneShare  = 0.5             // of the servers in one zone that a witness uses
	minCondemned  = 2               // number of condemned servers below which shares are not meaningful
)

// witness is the statement of one origin about one process.
type witness struct {
	kind       Kind
	zone       string // the origin's
	serverZone string
	count      int
	age        time.Duration
}

// Evaluate returns the verdict on each process according to the current statements of the members: the worst
// kind that enough witnesses support.
func (a *Aggregate) Evaluate(now time.Duration) map[Process]Kind {
	a.dropExpired(now)
	verdicts := map[Process]Kind{}
	a.counts = map[Process]WitnessCount{}
	for process, witnesses := range a.collectWitnesses(now) {
		served := servedAges(witnesses)
		a.counts[process] = WitnessCount{Condemning: len(witnesses) - len(served), Served: len(served)}
		if kind := a.worstKind(condemningWitnesses(witnesses, served)); kind > None {
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

// collectWitnesses returns the witnesses on each process whose evidence has not expired and that are probably
// not partitioned themselves.
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

// servedAges returns how long ago the process served each of the witnesses that report it as serving.
func servedAges(witnesses []witness) (ages []time.Duration) {
	for _, w := range witnesses {
		if w.kind == Serving {
			ages = append(ages, w.age)
		}
	}
	return ages
}

// condemningWitnesses returns the witnesses of faults that are no older than the answers that enough others
// got.
func condemningWitnesses(witnesses []witness, served []time.Duration) []witness {
	maxAge := evidenceTTL
	if len(served) >= minServed {
		slices.Sort(served)
		maxAge = served[minServed-1]
	}
	return slices.DeleteFunc(witnesses, func(w witness) bool { return w.kind == Serving || w.age > maxAge })
}

// worstKind returns the worst kind that enough witnesses support, or None.
func (a *Aggregate) worstKind(witnesses []witness) Kind {
	for kind := Unresponsive; kind > None; kind-- {
		if a.hasEnoughWitnesses(witnesses, kind) {
			return kind
		}
	}
	return None
}

// hasEnoughWitnesses reports whether enough witnesses support a kind of failure or a worse one.
func (a *Aggregate) hasEnoughWitnesses(witnesses []witness, kind Kind) bool {
	var zones []string
	count, faults, sameZone := 0, 0, 0
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
			sameZone++
		}
	}
	if count < minWitnesses || faults < minFaults {
		return false
	}
	return len(zones) >= minZones || zones[0] == a.Zone || sameZone >= minWitnesses
}

// isPartitioned reports whether a witness condemns so many servers that it is more likely partitioned itself.
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
	// Servers condemned in zones where it uses none, according to its own report, would not show up in any
	// share.
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

// LocalReport returns a sidecar's own report as it may be sent: without verdicts if the sidecar is probably
// partitioned, and without verdicts that are too old.
func LocalReport(r Report) Report {
	partitioned := isPartitioned(r)
	r.Verdicts = slices.DeleteFunc(slices.Clone(r.Verdicts), func(v Verdict) bool {
		return partitioned || v.Age > evidenceTTL
	})
	return r
}
