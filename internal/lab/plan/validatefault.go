package plan

import (
	"slices"
	"strings"
)

// checkFault rejects a fault that makes no sense by itself. It sets On where the file leaves it out. The first error is the one that
// is reported.
func (f *File) checkFault(index int) *Error {
	fault := &f.Faults[index]
	spec, ok := faultSpecs[fault.Do]
	if !ok {
		return f.errorAt("fault", index, "do", "unknown fault %q", fault.Do)
	}
	if fault.On == "" {
		fault.On = spec.on[0]
	}
	for _, check := range []func(int, *Fault, faultSpec) *Error{f.checkFaultTime, f.checkFaultChoice, f.checkFaultTarget, f.checkFaultLink,
		f.checkFaultSize, f.checkClientFault, f.checkLyingMembers, f.checkFlood, f.checkFaultTimings, f.checkFaultKeys} {
		if err := check(index, fault, spec); err != nil {
			return err
		}
	}
	return nil
}

// checkFaultTime rejects what a fault cannot act on, and times outside of the load.
func (f *File) checkFaultTime(index int, fault *Fault, spec faultSpec) *Error {
	switch {
	case fault.Do == FaultClockJump && fault.On == TargetSidecars:
		return f.errorAt("fault", index, "on", "a sidecar takes no clock but the machine's")
	case !slices.Contains(spec.on, fault.On):
		return f.errorAt("fault", index, "on", "%s cannot act on %q, only on %s", fault.Do, fault.On, joinTargets(spec.on))
	case fault.At < 0 || fault.At >= f.Seconds:
		return f.errorAt("fault", index, "at", "at %v s is not within the %v s of load", fault.At, f.Seconds)
	case spec.lasts && fault.For <= 0:
		return f.errorAt("fault", index, "for", "%s needs for, the seconds that it lasts", fault.Do)
	case !spec.lasts && fault.For != 0:
		return f.errorAt("fault", index, "for", "%s happens at once: it has no for", fault.Do)
	case fault.At+fault.For > f.Seconds:
		return f.errorAt("fault", index, "for", "it ends at %v s, after the %v s of load", fault.At+fault.For, f.Seconds)
	}
	return nil
}

// joinTargets is a choice of targets as errors show it.
func joinTargets(targets []Target) string {
	names := make([]string, len(targets))
	for i, target := range targets {
		names[i] = string(target)
	}
	return strings.Join(names, " or ")
}

// checkFaultChoice rejects a choice of targets by more than one key.
func (f *File) checkFaultChoice(index int, fault *Fault, spec faultSpec) *Error {
	byPart, byCount, byName := fault.Part > 0, fault.Count > 0, len(fault.Names) > 0
	countAndNames := byCount && byName && fault.Do != FaultFalseReports // a lie has names of clients, not of its targets
	switch {
	case fault.Part < 0 || fault.Part > 1:
		return f.errorAt("fault", index, "part", "part %v is not within 0 to 1", fault.Part)
	case byPart && (byCount || byName) || countAndNames:
		return f.errorAt("fault", index, "part", "only one of part, count and names can be given")
	case fault.Count < 0:
		return f.errorAt("fault", index, "count", "count %d is below 0", fault.Count)
	case spec.whole && fault.chooses():
		return f.errorAt("fault", index, "part", "%s acts on all keepers: part, count and names choose nothing", fault.Do)
	}
	return nil
}

// checkFaultTarget rejects targets that the experiment does not have.
func (f *File) checkFaultTarget(index int, fault *Fault, _ faultSpec) *Error {
	switch {
	case fault.On == TargetRegistry && f.Registry.Count == 0:
		return f.errorAt("fault", index, "on", "there are no keepers: [keepers] needs count")
	case fault.On == TargetPeers && !f.Members.On:
		return f.errorAt("fault", index, "on", "sidecars do not know each other: [members] needs on")
	case fault.On == TargetList && f.Registry.Count > 0:
		return f.errorAt("fault", index, "on", "keepers hold the list: on = \"keepers\"")
	case fault.On == TargetRegistry && fault.Zone != "":
		return f.errorAt("fault", index, "zone", "keepers have no zone")
	}
	return nil
}

// checkFaultLink rejects ends of links that the experiment does not have.
func (f *File) checkFaultLink(index int, fault *Fault, _ faultSpec) *Error {
	isZone := slices.Contains(f.Fleet.Zones, fault.From)
	isSidecarOfServers := fault.On == TargetServers && f.isSidecar(fault.From)
	switch {
	case fault.On == TargetRegistry && !slices.Contains(registryLinkEnds, fault.From):
		return f.errorAt("fault", index, "from", "from %q is none of peers, clients, sidecars and servers", fault.From)
	case fault.On == TargetServers && fault.From != "" && f.Registry.Count > 0:
		return f.errorAt("fault", index, "from", "with keepers all sidecars reach servers by one listener: from is not possible")
	case fault.Zone != "" && !slices.Contains(f.Fleet.Zones, fault.Zone):
		return f.errorAt("fault", index, "zone", "no zone %q", fault.Zone)
	case fault.From != "" && fault.On != TargetRegistry && !isZone && !isSidecarOfServers:
		return f.errorAt("fault", index, "from", "no zone %q, nor a sidecar", fault.From)
	case fault.On == TargetList && (fault.Zone != "" || fault.chooses()):
		return f.errorAt("fault", index, "on", "there is one list: zone, part, count and names choose nothing")
	}
	return nil
}

// chooses reports whether a fault chooses among its targets by part, count or names.
func (f *Fault) chooses() bool { return f.Part > 0 || f.Count > 0 || len(f.Names) > 0 }

// checkFaultSize rejects a size out of range and an unknown direction.
func (f *File) checkFaultSize(index int, fault *Fault, spec faultSpec) *Error {
	switch {
	case spec.hasSize() && (fault.Size < spec.size[0] || fault.Size > spec.size[1]):
		return f.errorAt("fault", index, "size", "%s needs a size within %v to %v", fault.Do, spec.size[0], spec.size[1])
	case fault.Way != "" && fault.Way != DirectionToFar && fault.Way != DirectionToNear:
		return f.errorAt("fault", index, "way", "way %q is neither to-far nor to-near", fault.Way)
	case fault.Do == FaultOneWayPartition && fault.Way == "":
		return f.errorAt("fault", index, "way", "silence needs a way, to-far or to-near")
	}
	return nil
}

// checkClientFault rejects a choice among clients, who are not chosen.
func (f *File) checkClientFault(index int, fault *Fault, _ faultSpec) *Error {
	countOfNoFlood := fault.Count > 0 && fault.Do != FaultFlood
	if fault.On == TargetClients && (fault.Part > 0 || len(fault.Names) > 0 || countOfNoFlood) {
		return f.errorAt("fault", index, "on", "part and names choose no clients, and count only those of a flood")
	}
	return nil
}

// checkLyingMembers rejects false reports that nobody would receive, or that are not complete.
func (f *File) checkLyingMembers(index int, fault *Fault, _ faultSpec) *Error {
	if fault.Do != FaultFalseReports {
		return nil
	}
	countPossible := fault.Count >= 1 && fault.Count <= maxLyingMembers
	namesPossible := len(fault.Names) >= 1 && len(fault.Names) <= maxReportedClients
	switch {
	case !f.Members.On || !f.Hitters.On:
		return f.errorAt("fault", index, "do", "nobody would hear a lie: it needs on in [members] and in [hitters]")
	case !countPossible || !namesPossible || fault.Part > 0 || fault.Zone != "":
		return f.errorAt("fault", index, "count", "a lie needs count, 1 to %d, and names, 1 to %d, and nothing else that chooses", maxLyingMembers,
			maxReportedClients)
	}
	return nil
}

// checkFlood rejects floods by too many clients, and keys of floods at other faults.
func (f *File) checkFlood(index int, fault *Fault, _ faultSpec) *Error {
	switch {
	case fault.Do == FaultFlood && (fault.Count > maxFlooders || fault.Through < 0):
		return f.errorAt("fault", index, "count", "a flood has %d clients at most, and goes through no fewer than 0 sidecars", maxFlooders)
	case fault.Distinct && fault.Do != FaultFlood:
		return f.errorAt("fault", index, "distinct", "%s has no distinct", fault.Do)
	}
	return nil
}

// checkFaultTimings rejects joins without a number, restarts outside of the load and negative times.
func (f *File) checkFaultTimings(index int, fault *Fault, _ faultSpec) *Error {
	negative := fault.Batch < 0 || fault.Drain < 0 || fault.Jitter < 0 || fault.Every < 0
	switch {
	case fault.Do == FaultJoin && (fault.Count < 1 || fault.Part > 0 || len(fault.Names) > 0 || fault.Zone != ""):
		return f.errorAt("fault", index, "count", "join needs count, and nothing else that chooses")
	case fault.Restart != nil && (*fault.Restart < 0 || fault.At+*fault.Restart >= f.Seconds):
		return f.errorAt("fault", index, "restart", "a restart after %v s is not within the load", *fault.Restart)
	case negative || fault.Batch > 1:
		return f.errorAt("fault", index, "do", "batch, drain, jitter and every cannot be below 0, nor batch above 1")
	case fault.Do == FaultFlap && fault.Every <= 0:
		return f.errorAt("fault", index, "every", "flap needs every, the seconds up and down")
	}
	return nil
}

// checkFaultKeys rejects keys that a kind of fault does not have. Of several, the first by the order below is reported.
func (f *File) checkFaultKeys(index int, fault *Fault, spec faultSpec) *Error {
	for _, key := range []struct {
		name  string
		given bool
	}{
		{"restart", fault.Restart != nil},
		{"size", fault.Size != 0},
		{"every", fault.Every != 0},
		{"from", fault.From != ""},
		{"way", fault.Way != ""},
		{"jitter", fault.Jitter != 0},
		{"batch", fault.Batch != 0},
		{"drain", fault.Drain != 0},
		{"through", fault.Through != 0},
	} {
		if key.given && !spec.hasKey(key.name) {
			return f.errorAt("fault", index, key.name, "%s has no %s", fault.Do, key.name)
		}
	}
	return nil
}
