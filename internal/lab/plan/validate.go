package plan

import (
	"slices"
	"strings"
)

// The bounds of an experiment.
const (
	maxSeconds  = 3600 // of the load, and of times in it
	maxServers  = 2000 // that run at the start
	maxSidecars = 1000 // with those that join
	maxArrivals = 2_000_000
	maxZones    = 16
	maxCores    = 1024 // of a server
)

// check rejects a file that makes no sense. The first error is the one that is reported.
func (f *File) check() *Error {
	for _, check := range []func() *Error{f.checkRanges, f.checkFleet, f.checkRegistry, f.checkStart, f.checkListDelays, f.checkKinds, f.checkClasses, f.checkBars,
		f.checkFaults, f.checkRoutes} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// keyRange is a number of the file and the range that it has to be in.
type keyRange struct {
	table, key      string // where the file has it
	value, min, max float64
}

// ranges are the numbers of the file whose range depends on nothing else.
func (f *File) ranges() []keyRange {
	return []keyRange{
		{"", "seconds", f.Seconds, 1, maxSeconds},
		{"fleet", "servers", float64(f.Fleet.Servers), 1, maxServers},
		{"fleet", "sidecars", float64(f.Fleet.Sidecars), 1, maxSidecars},
		{"fleet", "per_host", float64(f.Fleet.PerHost), 1, maxServers},
		{"fleet", "memory_mb", float64(f.Fleet.MemoryMB), 16, 4096},
		{"fleet", "sockets", float64(f.Fleet.Sockets), 64, 65536},
		{"fleet", "delay_ms", f.Fleet.DelayMS, 0, 1000},
		{"fleet", "error_rate", f.Fleet.ErrorRate, 0, 1},
		{"load", "share", f.Load.Share, 0, 10},
		{"load", "rate", f.Load.Rate, 0, 100000},
		{"load", "uneven", f.Load.Uneven, 0, 5},
		{"load", "zone_skew", f.Load.ZoneSkew, 0, 1},
		{"load", "tardy_ms", f.Load.SendDelayMS, 0, 10000},
		{"load", "clients", float64(f.Load.Clients), 0, 1 << 20},
		{"load", "skew", f.Load.Skew, 0, 5},
		{"load", "work_part", f.Load.WorkPart, 0.001, 10},
		{"members", "bound_ms", f.Members.BoundMS, 1, 3600000},
		{"keepers", "count", float64(f.Registry.Count), 0, 7},
		{"keepers", "lease_s", f.Registry.LeaseS, 1, 3600},
		{"keepers", "grace_s", f.Registry.GraceS, 0, 3600},
		{"keepers", "share", f.Registry.MaxExpiringShare, 0, 1},
		{"keepers", "snapshot", float64(f.Registry.Snapshot), 1, 1 << 20},
		{"keepers", "writers", float64(f.Registry.Writers), 1, 64},
		{"keepers", "write_rate", f.Registry.WriteRate, 0, 10000},
		{"keepers", "keys", float64(f.Registry.Keys), 1, 2000},
		{"keepers", "doubt_share", f.Registry.MaxRemovalShare, 0, 1},
		{"keepers", "most_age_s", f.Registry.MaxStalenessS, 0.1, 3600},
		{"keepers", "watchers", float64(f.Registry.Watchers), 0, 10000},
		{"hitters", "high", f.Hitters.High, 0, 1},
		{"hitters", "low", f.Hitters.Low, 0, 1},
		{"limits", "answer_slack_ms", f.Limits.AnswerSlackMS, 0, 60000},
		{"limits", "drain_grace_ms", f.Limits.DrainGraceMS, 0, 60000},
		{"limits", "slack_ms", f.Limits.SlackMS, 0, 60000},
		{"limits", "memory_mb", f.Limits.MemoryMB, 1, 65536},
		{"limits", "descriptors", float64(f.Limits.Descriptors), 1, 1 << 20},
		{"limits", "lateness_ms", f.Limits.LatenessMS, 0, 10000},
	}
}

// checkRanges rejects numbers that are out of range, and those that are none (NaN).
func (f *File) checkRanges() *Error {
	for _, number := range f.ranges() {
		if inRange := number.value >= number.min && number.value <= number.max; !inRange {
			return f.errorAt(number.table, -1, number.key, "%s is %v, not within %v to %v", number.key, number.value, number.min, number.max)
		}
	}
	return nil
}

// checkFleet rejects a fleet, load or stand-in sidecar that is not possible.
func (f *File) checkFleet() *Error {
	switch {
	case f.States == "":
		return f.errorAt("", -1, "states", "states is missing: the sentence that the experiment puts to the test")
	case len(f.Fleet.Zones) == 0 || len(f.Fleet.Zones) > maxZones:
		return f.errorAt("fleet", -1, "zones", "zones: 1 to %d are possible", maxZones)
	case (f.Load.Share == 0) == (f.Load.Rate == 0):
		return f.errorAt("load", -1, "share", "load needs either share or rate")
	}
	return f.checkProgram(programChoice{table: "fleet", program: f.Fleet.Program, itself: ProgramSidecar, flaw: f.Fleet.Flaw, flaws: Flaws,
		onlyPlain: "only the plain program has flaws"})
}

// checkRegistry rejects a registry, or members, that are not possible with the program.
func (f *File) checkRegistry() *Error {
	switch {
	case f.Registry.Count != 0 && f.Registry.Count%2 == 0:
		return f.errorAt("keepers", -1, "count", "%d keepers: an odd number agrees", f.Registry.Count)
	case f.Registry.Count > 0 && f.Fleet.Program == ProgramPlain:
		return f.errorAt("fleet", -1, "program", "the plain sidecar knows no keepers")
	case f.Members.On && f.Fleet.Program == ProgramPlain:
		return f.errorAt("fleet", -1, "program", "the plain sidecar knows no members")
	}
	return f.checkProgram(programChoice{table: "keepers", program: f.Registry.Program, itself: ProgramRegistry, flaw: f.Registry.Flaw,
		flaws: RegistryFlaws, onlyPlain: "only plain keepers have flaws"})
}

// programChoice is the program of a table of the file, or a stand-in for it, which may have a flaw.
type programChoice struct {
	table     string
	program   Program
	itself    Program // the one that is no stand-in
	flaw      string
	flaws     []string // all flaws of the stand-in
	onlyPlain string   // the error where the program itself is given a flaw
}

// checkProgram rejects an unknown program, and a flaw that it does not have.
func (f *File) checkProgram(choice programChoice) *Error {
	switch {
	case choice.program != choice.itself && choice.program != ProgramPlain:
		return f.errorAt(choice.table, -1, "program", "program %q is neither %s nor plain", choice.program, choice.itself)
	case choice.flaw != "" && choice.program != ProgramPlain:
		return f.errorAt(choice.table, -1, "flaw", "%s", choice.onlyPlain)
	case !slices.Contains(choice.flaws, choice.flaw):
		return f.errorAt(choice.table, -1, "flaw", "unknown flaw %q", choice.flaw)
	}
	return nil
}

// checkStart rejects unknown sizes and starts, and a control that expects an unknown verdict to be broken.
func (f *File) checkStart() *Error {
	switch {
	case f.List.Sizes != SizesAlike && f.List.Sizes != SizesRough:
		return f.errorAt("list", -1, "sizes", "sizes %q are neither alike nor rough", f.List.Sizes)
	case f.Fleet.Start != StartWarm && f.Fleet.Start != StartCold:
		return f.errorAt("fleet", -1, "start", "start %q is neither warm nor cold", f.Fleet.Start)
	case f.Breaks != "" && !isInvariant(f.Breaks) && !f.hasBar(f.Breaks):
		return f.errorAt("", -1, "breaks", "no invariant and no bar of the file is named %q", f.Breaks)
	}
	return nil
}

// checkListDelays rejects delays of the list that are no range.
func (f *File) checkListDelays() *Error {
	for _, delay := range []struct {
		key   string
		value [2]float64
	}{{"notice_s", f.List.NoticeS}, {"add_s", f.List.AddS}, {"silent_s", f.List.UnreachableS}} {
		if delay.value[0] < 0 || delay.value[1] < delay.value[0] || delay.value[1] > maxSeconds {
			return f.errorAt("list", -1, delay.key, "%s: %v is no range", delay.key, delay.value)
		}
	}
	return nil
}

// checkKinds rejects kinds of servers that are not complete.
func (f *File) checkKinds() *Error {
	for i, kind := range f.Kinds {
		coresPossible := kind.Cores >= 1 && kind.Cores <= maxCores
		speedPossible := kind.Speed[0] > 0 && kind.Speed[1] >= kind.Speed[0]
		if kind.Name == "" || kind.Share <= 0 || !coresPossible || !speedPossible {
			return f.errorAt("kind", i, "name", "kind %q needs name, share, cores and a range of speed", kind.Name)
		}
	}
	return nil
}

// checkClasses rejects classes of requests that are not complete.
func (f *File) checkClasses() *Error {
	for i, class := range f.Classes {
		timesPossible := class.WorkMS > 0 && class.LatencyTargetMS > 0 && class.GiveUpMS >= class.LatencyTargetMS
		valuePossible := class.Value > 0 && class.LateValue >= 0 && class.LateValue <= 1
		if class.Name == "" || class.Share <= 0 || !timesPossible || !valuePossible {
			return f.errorAt("class", i, "name", "class %q needs name, share, work_ms, aim_ms, give_up_ms, worth and late_worth", class.Name)
		}
	}
	return nil
}

// checkBars rejects bars on unknown figures and bars without a bound.
func (f *File) checkBars() *Error {
	for i, bar := range f.Bars {
		base, _, _ := strings.Cut(bar.Figure, ":")
		if !slices.Contains(Figures, base) {
			return f.errorAt("bar", i, "figure", "unknown figure %q; known: %s", bar.Figure, strings.Join(Figures, ", "))
		}
		if bar.Min == nil && bar.Max == nil {
			return f.errorAt("bar", i, "figure", "bar %q has neither least nor most", bar.Figure)
		}
	}
	return nil
}

// checkFaults rejects faults that make no sense by themselves.
func (f *File) checkFaults() *Error {
	for i := range f.Faults {
		if err := f.checkFault(i); err != nil {
			return err
		}
	}
	return nil
}

// hasBar reports whether the name of a verdict is that of a bar of the file.
func (f *File) hasBar(name string) bool {
	return slices.ContainsFunc(f.Bars, func(b Bar) bool { return "bar "+b.Figure == name })
}

// isInvariant reports whether an invariant has a name.
func isInvariant(name string) bool {
	return slices.ContainsFunc(Invariants, func(v struct{ Name, Says string }) bool { return v.Name == name })
}
