package rules

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Trouble is what was done to a machine of the system.
type Trouble struct {
	Proxy   string // front address; empty: a keeper
	Kind    string // "kill", "term", "start", or what lasts
	At      Time
	Until   Time // of what lasts; else below At
	Keeper  bool // the keeper votes
	Machine string
}

// Kinds of troubles.
const (
	Term  = "term"  // a planned end begins
	Start = "start" // a process is started
	Pause = "pause" // a process is stopped and goes on
)

// Trouble takes in what was done to a machine.
func (e *Evidence) Trouble(t Trouble) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Troubles = append(e.Troubles, t)
}

// Begin takes in a trouble that lasts until end is called.
func (e *Evidence) Begin(t Trouble) (end func(at Time)) {
	t.Until = math.MaxInt64
	e.mu.Lock()
	defer e.mu.Unlock()
	i := len(e.Troubles)
	e.Troubles = append(e.Troubles, t)
	return func(at Time) { e.Note(func() { e.Troubles[i].Until = at }) }
}

// over is when a trouble has ended.
func (t *Trouble) over() Time { return max(t.At, t.Until) }

// unplanned tells whether a trouble is neither a planned end nor a start.
func (t *Trouble) unplanned() bool { return t.Kind != Term && t.Kind != Start }

// span is a stretch of time.
type span struct{ from, to Time }

// coreLost gives the times in which half of the core or more was in trouble.
func (e *Evidence) coreLost() []span {
	if e.Core == 0 {
		return nil
	}
	need := (e.Core + 1) / 2
	var all []span
	for i := range e.Troubles {
		if first := &e.Troubles[i]; first.ofCore() {
			// The ends of the troubles that machines are in when this one begins, the last one first.
			ends := slices.SortedFunc(maps.Values(e.troubled(first.At)), func(a, b Time) int { return cmp.Compare(b, a) })
			if len(ends) >= need {
				all = append(all, span{first.At, ends[need-1]})
			}
		}
	}
	return all
}

// ofCore tells whether a trouble is one of a keeper that is known by its machine.
func (t *Trouble) ofCore() bool { return t.Keeper && t.Machine != "" }

// troubled gives the machines of the core that are in trouble at a time, and until when.
func (e *Evidence) troubled(at Time) map[string]Time {
	until := map[string]Time{}
	for i := range e.Troubles {
		if t := &e.Troubles[i]; t.ofCore() && t.At <= at && t.over() >= at {
			until[t.Machine] = max(until[t.Machine], t.over())
		}
	}
	return until
}

// inTouch tells whether nothing was done to a proxy, nor to most of the core, from at-Contact to at.
func (x *index) inTouch(proxy string, at Time) bool {
	for i := range x.Troubles {
		if t := &x.Troubles[i]; t.Proxy == proxy && t.At <= at && at-min(t.over(), at) < x.Bounds.Contact {
			return false
		}
	}
	for _, s := range x.lost {
		if s.from <= at && at-min(s.to, at) < x.Bounds.Contact {
			return false
		}
	}
	return true
}

// InTouch is how many of the clients' tries ended at a proxy in touch: those by which rules that are bounded in time are judged.
func (e *Evidence) InTouch() (n int) {
	x := &index{Evidence: e, lost: e.coreLost()}
	for _, t := range e.Tries {
		if x.inTouch(t.Proxy, t.Ended) {
			n++
		}
	}
	return n
}

// Waited is how many of the clients' tries began while their proxy was paused, and had not been given up when it went on.
func (e *Evidence) Waited() (n int) {
	for i := range e.Troubles {
		pause := &e.Troubles[i]
		if pause.Kind != Pause || pause.Proxy == "" {
			continue
		}
		for _, t := range e.Tries {
			if t.Proxy == pause.Proxy && t.Sent >= pause.At && t.Sent < pause.over() && t.Ended > pause.over() {
				n++
			}
		}
	}
	return n
}

// stretch is by how much bounds on configurations and evacuations grow at a time, as a keeper was in trouble.
func (e *Evidence) stretch(from, to Time) Time {
	for i := range e.Troubles {
		if t := &e.Troubles[i]; t.Keeper && t.At <= to && t.over() > from-e.Bounds.Contact {
			return e.Bounds.Stretch
		}
	}
	return 0
}
