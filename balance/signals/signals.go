package signals

// Here is what makes a verdict of what witnesses say. The promises are in types.go.

import (
	"slices"
	"time"
)

const (
	minWitnesses  = 3
	minServed     = 2 // Danger: one that lies would take away what is true
	minFaults     = 5 // among them, at most maxFaultsEach of each
	maxFaultsEach = 2
	minZones      = 2               // Danger: one that is cut off would condemn another for all
	evidenceTTL   = 8 * time.Second // an ejection of 5 s, and time to fail at the server again
	maxShare      = 0.4             // of the servers that a witness uses
	maxZoneShare  = 0.5             // of those in one room
	minCondemned  = 2               // servers condemned, below which no share means anything
)

// Evaluate is what the witnesses make of each server's process now: the worst that enough of them say it is.
func (b *Aggregate) Evaluate(now time.Duration) map[Process]Kind {
	heard := map[Process][]witness{}
	for origin, s := range b.statements {
		if now-s.madeAt > b.TTL {
			delete(b.statements, origin)
			continue
		}
		if isPartitioned(s.Report) {
			continue
		}
		for _, v := range s.Verdicts {
			if age := v.Age + now - s.madeAt; age <= evidenceTTL {
				heard[v.Process] = append(heard[v.Process], witness{v.Kind, s.Zone, v.Zone, v.Count, age})
			}
		}
	}
	judged := map[Process]Kind{}
	b.counts = map[Process][2]int{}
	for subject, all := range heard {
		var served []time.Duration // ago, by each that it served
		for _, w := range all {
			if w.kind == Serving {
				served = append(served, w.age)
			}
		}
		b.counts[subject] = [2]int{len(all) - len(served), len(served)}
		since := evidenceTTL
		if len(served) >= minServed {
			slices.Sort(served)
			since = served[minServed-1]
		}
		all = slices.DeleteFunc(all, func(w witness) bool { return w.kind == Serving || w.age > since })
		for kind := Unresponsive; kind > None && judged[subject] == None; kind-- {
			if b.suffices(all, kind) {
				judged[subject] = kind
			}
		}
	}
	return judged
}

// suffices tells whether the witnesses suffice for a kind of failure.
func (b *Aggregate) suffices(all []witness, kind Kind) bool {
	var rooms []string
	count, faults, near := 0, 0, 0
	for _, w := range all {
		if w.kind < kind {
			continue
		}
		count, faults = count+1, faults+min(w.count, maxFaultsEach)
		if !slices.Contains(rooms, w.zone) {
			rooms = append(rooms, w.zone)
		}
		if w.zone == w.serverZone {
			near++
		}
	}
	return count >= minWitnesses && faults >= minFaults &&
		(len(rooms) >= minZones || rooms[0] == b.Zone || near >= minWitnesses)
}

// isPartitioned tells whether a witness more likely lost its own way than that so many servers fail.
func isPartitioned(r Report) bool {
	var used, condemned int
	r.Verdicts = slices.DeleteFunc(slices.Clone(r.Verdicts), func(v Verdict) bool { return v.Kind == Serving })
	for _, u := range r.Uses {
		here := 0
		for _, v := range r.Verdicts {
			if v.Zone == u.Zone {
				here++
			}
		}
		used, condemned = used+u.Servers, condemned+here
		if here >= minCondemned && float64(here) > maxZoneShare*float64(u.Servers) {
			return true
		}
	}
	// Danger: what it condemns where it uses nothing, by its own word, would not show in any share.
	return condemned < len(r.Verdicts) ||
		condemned >= minCondemned && float64(condemned) > maxShare*float64(used)
}

// LocalReport is what a sidecar says of what it saw itself: nothing if it is likely cut off.
func LocalReport(r Report) Report {
	cut := isPartitioned(r)
	r.Verdicts = slices.DeleteFunc(slices.Clone(r.Verdicts), func(v Verdict) bool {
		return cut || v.Age > evidenceTTL
	})
	return r
}
