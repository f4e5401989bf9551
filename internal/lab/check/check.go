// Package check holds what servers, the list and clients saw of an experiment against its invariants. Nothing here asks the
// program. Each check has a control in lab/controls that it must find broken.
package check

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/load"
	"gradeusher.example/gradeusher/internal/lab/plan"
	"gradeusher.example/gradeusher/internal/lab/proc"
)

// Evidence is all that was seen. Times are ns of the lab's clock.
type Evidence struct {
	Plan            *plan.Plan
	Start           int64 // of the load
	ClientAttempts  []load.Attempt
	ServerAttempts  []ctl.Attempt
	ListUpdates     []ctl.ListUpdate
	Falls           []ctl.Event
	Exits           []proc.Exit
	Runs            [][]Run // of each sidecar: its processes, in order
	Peaks           []Peak  // of each sidecar
	Lateness        time.Duration
	RegistryUpdates []ctl.RegistryUpdate // what keepers wrote to readers
	RegistryCalls   []ctl.RegistryCall   // what the lab's own clients of keepers did
	Last            Last                 // of the keepers
	Gossip          []ctl.Gossip         // what sidecars said to each other, a second each

	Tables       []Table           // the route tables that the lab put
	RouteUpdates []ctl.RouteUpdate // what keepers wrote of them to sidecars

	WithoutFloods *Evidence // of the same seed without its floods; nil: that was not played

	Kills     []int64 // of keepers
	NodePeaks []NodePeak
}

// Run is one process of a sidecar, as far as faults go.
type Run struct {
	From   int64
	Killed int64 // when a fault sent it SIGKILL; 0: none did
	To     int64 // when it had ended; 0: not before the end of the load
	Stops  []Span
}

// Span is a time.
type Span struct{ From, To int64 }

// Peak is the most that a sidecar's processes held at a sample.
type Peak struct {
	MemoryMB    float64
	Descriptors int
}

// Invariants checks all of them, in the order of plan.Invariants.
func Invariants(e *Evidence) []Verdict {
	f := findings{}
	for _, v := range plan.Invariants {
		f[v.Name] = &Verdict{Name: v.Name, Says: v.Says}
	}
	attempts := map[string][]ctl.Attempt{}
	for _, a := range e.ServerAttempts {
		attempts[a.ID] = append(attempts[a.ID], a)
	}
	for _, all := range attempts {
		slices.SortFunc(all, func(a, b ctl.Attempt) int { return cmp.Compare(a.First, b.First) })
	}
	e.checkResponses(f, attempts)
	e.checkAttempts(f, attempts)
	e.checkDrained(f)
	e.checkRegistry(f)
	e.checkRoutes(f)
	f.observe("cold", e.coldServers())
	for _, n := range e.Falls {
		f.violation("cold", "server %s fell over at %s", n.UID, e.when(n.At))
	}
	f.observe("no-crash", len(e.Exits))
	for _, x := range e.Exits {
		if !x.Wanted || x.Code > 0 {
			f.violation("no-crash", "%s ended at %s: %s", x.Name, e.when(x.At), x.How)
		}
	}
	limits := &e.Plan.File.Limits
	for i, p := range e.Peaks {
		if p.MemoryMB > 0 { // it was sampled
			f.observe("memory", 1)
		}
		if p.Descriptors > 0 {
			f.observe("descriptors", 1)
		}
		if p.MemoryMB > limits.MemoryMB {
			f.violation("memory", "%s held %.0f MB, %.0f at most", e.Plan.Sidecars[i].Name, p.MemoryMB, limits.MemoryMB)
		}
		if p.Descriptors > limits.Descriptors {
			f.violation("descriptors", "%s held %d descriptors, %d at most", e.Plan.Sidecars[i].Name, p.Descriptors, limits.Descriptors)
		}
	}
	f.observe("lab-on-time", len(e.ClientAttempts))
	if most := plan.Millis(limits.LatenessMS); e.Lateness > most {
		f.violation("lab-on-time", "void: the lab sent %v late at the 99th percentile, %v at most", e.Lateness, most)
	}
	verdicts := make([]Verdict, 0, len(plan.Invariants))
	for _, v := range plan.Invariants {
		f[v.Name].conclude()
		verdicts = append(verdicts, *f[v.Name])
	}
	return verdicts
}

// coldServers is how many processes of servers began cold and were sent a request.
func (e *Evidence) coldServers() int {
	type process struct {
		server string
		boot   int64
	}
	cold := map[process]bool{}
	for _, a := range e.ServerAttempts {
		if a.Boot > e.Start || e.Plan.File.Fleet.Start == "cold" {
			cold[process{a.Server, a.Boot}] = true
		}
	}
	return len(cold)
}

// when words a time from the start of the load.
func (e *Evidence) when(t int64) string { return fmt.Sprintf("%.3fs", float64(t-e.Start)/1e9) }

// excused tells whether a fault kept a sidecar from answering what it took at sent by until: its process was killed, or
// stopped, between. Until a killed process has ended, its sockets still take what nobody will read.
func (e *Evidence) excused(sidecar int, sent, until int64) bool {
	for _, r := range e.Runs[sidecar] {
		if r.Killed != 0 && r.Killed <= until && r.To >= sent {
			return true
		}
		for _, s := range r.Stops {
			if s.From <= until && s.To >= sent {
				return true
			}
		}
	}
	return false
}

// checkResponses checks one-answer and in-time.
func (e *Evidence) checkResponses(f findings, attempts map[string][]ctl.Attempt) {
	limits := &e.Plan.File.Limits
	for i := range e.ClientAttempts {
		t := &e.ClientAttempts[i]
		name := e.Plan.Sidecars[t.Sidecar].Name
		if t.ResentAt != 0 && len(attempts[t.ID]) > 0 && attempts[t.ID][0].First < t.ResentAt && !e.excused(t.Sidecar, t.Began, t.Ended) {
			// The client took it that nobody had read the request, but a server had got it.
			f.violation("one-answer", "%s hung up on request %s after it had sent it on", name, t.ID)
		}
		if t.Sent == 0 {
			continue // no sidecar has taken it
		}
		late := t.Sent + int64(t.Timeout) + int64(plan.Millis(limits.AnswerSlackMS))
		excused := e.excused(t.Sidecar, t.Began, t.Ended)
		if t.Status != 0 || !excused {
			f.observe("one-answer", 1)
		}
		if t.Status != 0 && !excused {
			f.observe("in-time", 1)
		}
		switch {
		case t.Status == 0 && !excused:
			f.violation("one-answer", "%s took request %s at %s and gave no answer: %s", name, t.ID, e.when(t.Sent), t.Fault)
		case t.Status == 200 && !slices.ContainsFunc(attempts[t.ID], func(a ctl.Attempt) bool { return a.Outcome == "served" && a.Server == t.ServedBy }):
			f.violation("one-answer", "%s served request %s by %q, which no server says", name, t.ID, t.ServedBy)
		case t.Status != 0 && t.Ended > late && !excused:
			f.violation("in-time", "%s answered request %s %v after its time", name, t.ID, time.Duration(t.Ended-t.Sent)-t.Timeout)
		}
	}
}

const maxAttempts = 3

// checkAttempts checks no-duplicate and one-at-a-time.
func (e *Evidence) checkAttempts(f findings, attempts map[string][]ctl.Attempt) {
	tries := make(map[string]*load.Attempt, len(e.ClientAttempts))
	for i := range e.ClientAttempts {
		tries[e.ClientAttempts[i].ID] = &e.ClientAttempts[i]
	}
	slack := int64(plan.Millis(e.Plan.File.Limits.SlackMS))
	for _, id := range slices.Sorted(maps.Keys(attempts)) {
		all := attempts[id]
		t := tries[id]
		f.observe("no-duplicate", 1)
		if t == nil {
			f.violation("no-duplicate", "server %s got request %q, which no client sent", all[0].Server, id)
			continue
		}
		if t.ResentAt != 0 && e.excused(t.Sidecar, t.Began, t.Ended) {
			continue // sent to two processes
		}
		most := maxAttempts
		if t.ResentAt != 0 {
			most *= 2
		}
		if len(all) > most {
			f.violation("no-duplicate", "request %s was sent %d times, %d at most", id, len(all), most)
		}
		for i := 1; i < len(all); i++ {
			before, a := all[i-1], all[i]
			f.observe("one-at-a-time", 1)
			if !e.Plan.File.Classes[t.Class].Safe && before.Outcome != "turned" {
				f.violation("no-duplicate", "request %s may have run at %s (%s) and went to %s at %s", id, before.Server, before.Outcome, a.Server, e.when(a.First))
			}
			if before.End == 0 || before.End > a.First+slack {
				f.violation("one-at-a-time", "request %s went to %s at %s while its attempt at %s was out", id, a.Server, e.when(a.First), before.Server)
			}
		}
	}
}

// checkDrained checks that nothing new goes to a server that a sidecar was told drains or is gone.
func (e *Evidence) checkDrained(f findings) {
	type pair struct {
		near   int
		server string
	}
	told := map[pair][]ctl.ListUpdate{}
	for _, t := range e.ListUpdates {
		p := pair{t.Near, t.UID}
		told[p] = append(told[p], t)
	}
	for p := range told {
		slices.SortStableFunc(told[p], func(a, b ctl.ListUpdate) int { return cmp.Compare(a.At, b.At) })
	}
	for _, all := range told {
		if slices.ContainsFunc(all, func(t ctl.ListUpdate) bool { return t.State != "SERVING" }) {
			f.observe("drained", 1)
		}
	}
	limits := &e.Plan.File.Limits
	grace := int64(plan.Millis(limits.DrainGraceMS + limits.SlackMS))
	for _, a := range e.ServerAttempts {
		since, state := int64(0), ""
		born := e.processStart(a.Near, a.First)
		for _, t := range told[pair{a.Near, a.Server}] {
			if t.At > a.First || t.At < born {
				continue // not told yet, or to a process before this one
			}
			if t.State == "SERVING" {
				since = 0
			} else if since == 0 {
				since, state = t.At, t.State
			}
		}
		if since != 0 && a.First > since+grace && !e.stopped(a.Near, since, a.First) {
			f.violation("drained", "%s sent request %s to %s at %s, %v after it was told %s", e.Plan.Sidecars[a.Near].Name, a.ID, a.Server,
				e.when(a.First), time.Duration(a.First-since).Round(time.Millisecond), state)
		}
	}
}

// processStart is the start of the process of a sidecar that ran at t.
func (e *Evidence) processStart(sidecar int, t int64) int64 {
	born := int64(0)
	for _, r := range e.Runs[sidecar] {
		if r.From <= t {
			born = r.From
		}
	}
	return born
}

// stopped tells whether a sidecar was stopped within the time between, when it could read nothing.
func (e *Evidence) stopped(sidecar int, from, to int64) bool {
	grace := int64(plan.Millis(e.Plan.File.Limits.DrainGraceMS))
	for _, r := range e.Runs[sidecar] {
		for _, s := range r.Stops {
			if s.From <= to && s.To+grace >= from && to < s.To+grace {
				return true
			}
		}
	}
	return false
}
