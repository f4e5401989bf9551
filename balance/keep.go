package balance

import (
	"cmp"
	"slices"
	"time"
)

// Here is what a process hands on to the next one. It decides nothing: beliefs are copied, and fade with the time that has passed as
// they do in life (fade).

// Bounds of what is handed on.
const (
	mostKeptAge = 5 * memory // by then under 1% is left of what answers taught
	mostKept    = 4096       // endpoints
)

// Kept is what a Balancer believes, for the one of the next process. Durations and starts are on the host's clock.
type Kept struct {
	Near      float64       `json:"near"`    // weight of other zones
	Idle      float64       `json:"idle"`    // seconds that a request held takes where the fleet idles
	Arrived   float64       `json:"arrived"` // fading count of requests
	Tight     time.Duration `json:"tight"`   // for which lesser classes still give way
	Work      []float64     `json:"work"`    // mean seconds of answers, by class
	Groups    []KeptSum     `json:"groups"`  // by the rule's destinations, the last one of all endpoints
	Endpoints []KeptServer  `json:"endpoints"`
}

// KeptSum is a fading sum of answer times in seconds and of the requests held.
type KeptSum struct {
	Took float64 `json:"took"`
	Held float64 `json:"held"`
}

// KeptServer is what is believed of an endpoint.
type KeptServer struct {
	ID      string `json:"id"`
	Started Time   `json:"started"` // of the process that it is believed of; 0: long ago
	Cold    Time   `json:"cold"`    // from when on it counted as cold; 0: it does not
	KeptSum
	Fresh  float64       `json:"fresh"` // as Held, but what answers have told lately
	Faults float64       `json:"faults"`
	Due    float64       `json:"due"` // of its next turn
	Out    time.Duration `json:"out"` // it stays ejected for so long
}

// Keep returns what is believed now.
func (b *Balancer) Keep(now Time) Kept {
	k := Kept{Near: b.near[1], Idle: b.idle, Arrived: b.arrived, Tight: max(0, b.tight-now), Work: slices.Clone(b.work)}
	for _, g := range b.groups {
		k.Groups = append(k.Groups, KeptSum{g.took, g.held})
	}
	for _, e := range b.endpoints[:min(len(b.endpoints), mostKept)] {
		s := KeptServer{ID: e.ID, Started: e.Started, Cold: e.from, KeptSum: KeptSum{e.took, e.held}, Fresh: e.fresh, Faults: e.faults, Due: e.due, Out: max(0, e.until-now)}
		if now-e.from >= b.set.ColdTime {
			s.Cold = 0
		}
		if s.Held > 0 || s.Took > 0 || s.Faults > 0 || s.Out > 0 || s.Cold > 0 {
			k.Endpoints = append(k.Endpoints, s)
		}
	}
	return k
}

// Remember takes up what was believed some time ago, where nothing newer is believed yet: it is for a Balancer that was told its first
// list and has sent nothing. What is older than mostKeptAge, negative or no number counts for nothing, and so does what is believed of an
// endpoint's former process, of one that is not listed, and of groups that are others now.
func (b *Balancer) Remember(now Time, k Kept, age time.Duration) {
	if age < 0 || age > mostKeptAge || len(b.requests) > 0 {
		return
	}
	if len(k.Work) == len(b.work) && !slices.ContainsFunc(k.Work, func(w float64) bool { return !sound(w, b.aim*100) || w == 0 }) {
		copy(b.work, k.Work)
		for i := range b.works {
			b.works[i].took = k.Work[i] * b.works[i].held
		}
	}
	if sound(k.Near, 1) {
		b.near[1] = max(k.Near, leastNear)
	}
	if sound(k.Idle, b.aim) {
		b.idle = k.Idle
	}
	if sound(k.Arrived, mostSum) {
		b.arrived = k.Arrived
	}
	if sound(k.Tight.Seconds(), memory.Seconds()) {
		b.tight = now + max(0, k.Tight-age)
	}
	if len(k.Groups) == len(b.groups) && !slices.ContainsFunc(k.Groups, func(s KeptSum) bool { return !s.sound() }) {
		for i, g := range b.groups {
			g.took, g.held = k.Groups[i].Took, k.Groups[i].Held
		}
	}
	for _, s := range k.Endpoints[:min(len(k.Endpoints), mostKept)] {
		e := b.known[s.ID]
		if e == nil || e.Started != s.Started || !s.sound() || !sound(s.Fresh, 1) || !sound(s.Faults, faultBar) || !sound(s.Due, mostSum) || !sound(s.Out.Seconds(), ejectFor.Seconds()) {
			continue
		}
		e.took, e.held, e.fresh, e.faults, e.due = s.Took, s.Held, s.Fresh, s.Faults, s.Due
		e.from = cmp.Or(min(max(s.Cold, 0), now), e.from)
		if s.Out > age {
			e.until = now + s.Out - age
		}
	}
	b.regroup(now)
	b.fade(now, age)
	b.heard = now - age
}

const mostSum = 1e9

func sound(x, most float64) bool { return x >= 0 && x <= most }

func (s KeptSum) sound() bool { return sound(s.Took, mostSum) && sound(s.Held, mostSum) }
