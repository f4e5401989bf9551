// Package check checks what servers, the list, the registry and clients observed of an experiment against its invariants, and computes its
// figures.
//
// Terms: the evidence is what was observed; an invariant (plan.Invariants) holds for every run; a figure is a measured value, and a bar is a
// bound on one that an experiment file sets; a verdict says whether an invariant or bar held. An invariant of which nothing was
// observed has not held: it counts as not seen.
//
// Nothing here asks the program under test. Each check has a control in lab/controls, a run that it has to find broken.
package check

import (
	"cmp"
	"slices"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/plan"
)

// Invariants checks all invariants. It returns a verdict of each, in the order of plan.Invariants.
func Invariants(evidence *Evidence) []Verdict {
	found := findings{}
	for _, v := range plan.Invariants {
		found[v.Name] = &Verdict{Name: v.Name, Says: v.Says}
	}
	attempts := map[string][]ctl.Attempt{}
	for _, a := range evidence.ServerAttempts {
		attempts[a.ID] = append(attempts[a.ID], a)
	}
	for _, all := range attempts {
		slices.SortFunc(all, func(a, b ctl.Attempt) int { return cmp.Compare(a.First, b.First) })
	}
	evidence.checkResponses(found, attempts)
	evidence.checkAttempts(found, attempts)
	evidence.checkDrained(found)
	evidence.checkRegistry(found)
	evidence.checkRoutes(found)
	evidence.checkProcesses(found)
	evidence.checkResources(found)
	evidence.checkLateness(found)
	verdicts := make([]Verdict, 0, len(plan.Invariants))
	for _, v := range plan.Invariants {
		found[v.Name].conclude()
		verdicts = append(verdicts, *found[v.Name])
	}
	return verdicts
}

// checkProcesses checks cold and no-crash.
func (e *Evidence) checkProcesses(found findings) {
	found.observe("cold", e.coldServers())
	for _, fall := range e.Falls {
		found.violation("cold", "server %s fell over at %s", fall.UID, e.when(fall.At))
	}
	found.observe("no-crash", len(e.Exits))
	for _, exit := range e.Exits {
		if !exit.Wanted || exit.Code > 0 {
			found.violation("no-crash", "%s ended at %s: %s", exit.Name, e.when(exit.At), exit.How)
		}
	}
}

// checkResources checks memory and descriptors.
func (e *Evidence) checkResources(found findings) {
	limits := &e.Plan.File.Limits
	for i, peak := range e.Peaks {
		if peak.MemoryMB > 0 { // it was sampled
			found.observe("memory", 1)
		}
		if peak.Descriptors > 0 {
			found.observe("descriptors", 1)
		}
		if peak.MemoryMB > limits.MemoryMB {
			found.violation("memory", "%s held %.0f MB, %.0f at most", e.Plan.Sidecars[i].Name, peak.MemoryMB, limits.MemoryMB)
		}
		if peak.Descriptors > limits.Descriptors {
			found.violation("descriptors", "%s held %d descriptors, %d at most", e.Plan.Sidecars[i].Name, peak.Descriptors, limits.Descriptors)
		}
	}
}

// checkLateness checks lab-on-time.
func (e *Evidence) checkLateness(found findings) {
	found.observe("lab-on-time", len(e.ClientAttempts))
	if limit := plan.Millis(e.Plan.File.Limits.LatenessMS); e.Lateness > limit {
		found.violation("lab-on-time", "void: the lab sent %v late at the 99th percentile, %v at most", e.Lateness, limit)
	}
}

// coldServers is how many processes of servers started cold and received a request.
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
