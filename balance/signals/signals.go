package signals

// Here is what makes a verdict of what witnesses say. The promises are in types.go.

import (
	"slices"
	"time"
)

const (
	leastWitnesses = 3
	leastServed    = 2 // Danger: one that lies would take away what is true
	leastFaults    = 5 // among them, at most mostFaults of each
	mostFaults     = 2
	leastRooms     = 2               // Danger: one that is cut off would condemn another for all
	mostEvidence   = 8 * time.Second // an ejection of 5 s, and time to fail at the server again
	mostShare      = 0.4             // of the servers that a witness uses
	mostOfRoom     = 0.5             // of those in one room
	sureCut        = 2               // servers condemned, below which no share means anything
)

// Judged is what the witnesses make of each server's process now: the worst that enough of them say it is.
func (b *Book) Judged(now time.Duration) map[Subject]Kind {
	heard := map[Subject][]witness{}
	for origin, s := range b.said {
		if now-s.at > b.Bound {
			delete(b.said, origin)
			continue
		}
		if cutOff(s.Report) {
			continue
		}
		for _, v := range s.Verdicts {
			if age := v.Age + now - s.at; age <= mostEvidence {
				heard[v.Subject] = append(heard[v.Subject], witness{v.Kind, s.Room, v.Room, v.Count, age})
			}
		}
	}
	judged := map[Subject]Kind{}
	b.loud = map[Subject][2]int{}
	for subject, all := range heard {
		var served []time.Duration // ago, by each that it served
		for _, w := range all {
			if w.kind == Serves {
				served = append(served, w.age)
			}
		}
		b.loud[subject] = [2]int{len(all) - len(served), len(served)}
		since := mostEvidence
		if len(served) >= leastServed {
			slices.Sort(served)
			since = served[leastServed-1]
		}
		all = slices.DeleteFunc(all, func(w witness) bool { return w.kind == Serves || w.age > since })
		for kind := Silent; kind > None && judged[subject] == None; kind-- {
			if b.enough(all, kind) {
				judged[subject] = kind
			}
		}
	}
	return judged
}

// enough tells whether the witnesses suffice for a kind of failure.
func (b *Book) enough(all []witness, kind Kind) bool {
	var rooms []string
	count, faults, near := 0, 0, 0
	for _, w := range all {
		if w.kind < kind {
			continue
		}
		count, faults = count+1, faults+min(w.count, mostFaults)
		if !slices.Contains(rooms, w.room) {
			rooms = append(rooms, w.room)
		}
		if w.room == w.of {
			near++
		}
	}
	return count >= leastWitnesses && faults >= leastFaults &&
		(len(rooms) >= leastRooms || rooms[0] == b.Room || near >= leastWitnesses)
}

// cutOff tells whether a witness more likely lost its own way than that so many servers fail.
func cutOff(r Report) bool {
	var used, condemned int
	r.Verdicts = slices.DeleteFunc(slices.Clone(r.Verdicts), func(v Verdict) bool { return v.Kind == Serves })
	for _, u := range r.Uses {
		here := 0
		for _, v := range r.Verdicts {
			if v.Room == u.Room {
				here++
			}
		}
		used, condemned = used+u.Servers, condemned+here
		if here >= sureCut && float64(here) > mostOfRoom*float64(u.Servers) {
			return true
		}
	}
	// Danger: what it condemns where it uses nothing, by its own word, would not show in any share.
	return condemned < len(r.Verdicts) ||
		condemned >= sureCut && float64(condemned) > mostShare*float64(used)
}

// Own is what a sidecar says of what it saw itself: nothing if it is likely cut off.
func Own(r Report) Report {
	cut := cutOff(r)
	r.Verdicts = slices.DeleteFunc(slices.Clone(r.Verdicts), func(v Verdict) bool {
		return cut || v.Age > mostEvidence
	})
	return r
}
