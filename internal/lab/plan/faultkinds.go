package plan

import "slices"

// FaultKind names a kind of fault in experiment files. The values are part of the files' format and of reports.
type FaultKind string

// The kinds of faults of processes.
const (
	FaultKill           FaultKind = "kill"  // SIGKILL
	FaultTerminate      FaultKind = "term"  // SIGTERM, and SIGKILL after TermGrace
	FaultPause          FaultKind = "stop"  // SIGSTOP, and SIGCONT at the end
	FaultJoin           FaultKind = "join"  // further sidecars start, evenly over the time
	FaultLeave          FaultKind = "leave" // sidecars end, evenly over the time, and their clients go to others
	FaultRollingRestart FaultKind = "roll"  // sidecars are ended and started again, batch by batch

	FaultDiskFull     FaultKind = "disk-full"     // nothing can be written to files
	FaultDiskReadOnly FaultKind = "disk-readonly" // the folder can only be read
	FaultTornLog      FaultKind = "disk-torn"     // the newest file of the log loses its end, while the process is down
	FaultTornSnapshot FaultKind = "disk-short"    // the newest snapshot loses its end, while the process is down
	FaultBackup       FaultKind = "backup"        // the registry's state is saved
	FaultRestore      FaultKind = "restore"       // the registry's state is replaced by what was saved last
)

// The kinds of faults of servers.
const (
	FaultSlow        FaultKind = "slow"   // servers work Fault.Size times slower
	FaultHang        FaultKind = "hang"   // servers accept work and do none
	FaultSteal       FaultKind = "steal"  // another program takes the share Fault.Size of the cores
	FaultCrash       FaultKind = "die"    // processes end at once
	FaultMachineLoss FaultKind = "lose"   // machines answer nobody, and return with new, cold processes
	FaultDeployment  FaultKind = "deploy" // servers drain, end, and are replaced by new, cold ones
	FaultFlap        FaultKind = "flap"   // processes end and start again and again
	FaultClockJump   FaultKind = "clock"  // the wall clocks of the servers' machines jump by Fault.Size seconds
)

// The kinds of faults of links.
const (
	FaultDelay           FaultKind = "delay"     // links take Fault.Size ms more, one way
	FaultOneWayPartition FaultKind = "silence"   // links carry nothing in the direction Fault.Way
	FaultPartition       FaultKind = "partition" // links carry nothing
	FaultReset           FaultKind = "reset"     // connections are reset
	FaultHalfOpen        FaultKind = "half-open" // far ends lose their connections without a word to the near ends
	FaultTrickle         FaultKind = "trickle"   // links pass Fault.Size bytes a second
	FaultPacketLoss      FaultKind = "loss"      // links lose the share Fault.Size of packets
)

// The kinds of faults of the list's answers.
const (
	FaultListLate      FaultKind = "list-late"    // changes reach sidecars Fault.Size seconds later
	FaultListStale     FaultKind = "list-old"     // watches get an earlier snapshot
	FaultListTruncated FaultKind = "list-cut"     // answers end within an object
	FaultListGarbled   FaultKind = "list-garbled" // answers cannot be parsed
)

// The kinds of faults of what clients and members send.
const (
	FaultBurst        FaultKind = "burst" // requests at Fault.Size of the fleet's rate come besides, from the clients of the load
	FaultFlood        FaultKind = "flood" // Fault.Count further clients each send requests at Fault.Size of the fleet's rate
	FaultFalseReports FaultKind = "lie"   // Fault.Count lying members report work that nobody did, Fault.Size times the fleet's for each client of Fault.Names
)

// stepModes are the modes of the steps of faults that have one.
var stepModes = map[FaultKind]string{
	FaultDiskFull:      ModeDiskFull,
	FaultDiskReadOnly:  ModeDiskReadOnly,
	FaultTornLog:       ModeTornLog,
	FaultTornSnapshot:  ModeTornSnapshot,
	FaultListLate:      ModeListLate,
	FaultListStale:     ModeListStale,
	FaultListTruncated: ModeListTruncated,
	FaultListGarbled:   ModeListGarbled,
}

// Target is what a fault acts on. The values are part of the files' format and of reports.
type Target string

// The targets of faults.
const (
	TargetSidecars Target = "sidecars"
	TargetServers  Target = "servers"
	TargetList     Target = "list"    // the platform's list of servers
	TargetRegistry Target = "keepers" // registry nodes
	TargetClients  Target = "clients"
	TargetMembers  Target = "members" // members of the sidecars' gossip that are no sidecars
	TargetPeers    Target = "peers"   // links between sidecars
)

// Direction is the direction in which a link holds back what it carries. The zero value is none.
type Direction string

// The directions of a link.
const (
	DirectionToFar  Direction = "to-far"  // from the near end to the far one
	DirectionToNear Direction = "to-near" // from the far end to the near one
)

// The values of Fault.From by which a fault of a registry node's links chooses their other ends.
const (
	FromPeers    = "peers"    // other registry nodes
	FromClients  = "clients"  // all but registry nodes
	FromSidecars = "sidecars" // sidecars
	FromServers  = "servers"  // processes of servers, which register there
)

// registryLinkEnds are the possible other ends of links of registry nodes; "" is all.
var registryLinkEnds = []string{"", FromPeers, FromClients, FromSidecars, FromServers}

// faultSpec says what a kind of fault acts on and needs.
type faultSpec struct {
	on    []Target   // what it may act on; the first is the default
	lasts bool       // whether it has a duration, Fault.For
	size  [2]float64 // range of Fault.Size; zero: it has no size
	whole bool       // it acts on its target as a whole: part, count and names choose nothing
	keys  []string   // further keys of the file that it may have, besides do, at, for, on, zone, part, count and names
}

// hasSize reports whether a kind of fault has a size.
func (s faultSpec) hasSize() bool { return s.size != [2]float64{} }

// hasKey reports whether a kind of fault may have a key of the file.
func (s faultSpec) hasKey(key string) bool {
	return slices.Contains(s.keys, key) || key == "size" && s.hasSize()
}

// The targets of faults of processes and of links.
var (
	processTargets = []Target{TargetSidecars, TargetList, TargetRegistry}
	linkTargets    = []Target{TargetServers, TargetList, TargetRegistry, TargetPeers}
	serverTargets  = []Target{TargetServers}
	listTargets    = []Target{TargetList}
	sidecarTargets = []Target{TargetSidecars}
	nodeTargets    = []Target{TargetRegistry}
	clientTargets  = []Target{TargetClients}
)

// faultSpecs are all kinds of faults.
var faultSpecs = map[FaultKind]faultSpec{
	FaultKill:           {on: processTargets, keys: []string{"restart"}},
	FaultTerminate:      {on: processTargets, keys: []string{"restart"}},
	FaultPause:          {on: processTargets, lasts: true},
	FaultJoin:           {on: sidecarTargets, lasts: true},
	FaultLeave:          {on: sidecarTargets, lasts: true},
	FaultRollingRestart: {on: sidecarTargets, lasts: true, keys: []string{"batch", "restart"}},

	FaultDiskFull:     {on: []Target{TargetSidecars, TargetRegistry}, lasts: true},
	FaultDiskReadOnly: {on: sidecarTargets, lasts: true},
	FaultTornLog:      {on: nodeTargets},
	FaultTornSnapshot: {on: nodeTargets},
	FaultBackup:       {on: nodeTargets, whole: true},
	FaultRestore:      {on: nodeTargets, whole: true},

	FaultSlow:        {on: serverTargets, lasts: true, size: [2]float64{1, 1000}},
	FaultHang:        {on: serverTargets, lasts: true},
	FaultSteal:       {on: serverTargets, lasts: true, size: [2]float64{0.01, 0.99}, keys: []string{"every"}},
	FaultCrash:       {on: serverTargets, keys: []string{"restart"}},
	FaultMachineLoss: {on: serverTargets, lasts: true},
	FaultDeployment:  {on: serverTargets, lasts: true, keys: []string{"batch", "drain"}},
	FaultFlap:        {on: serverTargets, lasts: true, keys: []string{"every"}},
	FaultClockJump:   {on: serverTargets, size: [2]float64{-86400, 86400}},

	FaultDelay:           {on: linkTargets, lasts: true, size: [2]float64{0.01, 10000}, keys: []string{"from", "jitter"}},
	FaultOneWayPartition: {on: linkTargets, lasts: true, keys: []string{"from", "way"}},
	FaultPartition:       {on: linkTargets, lasts: true, keys: []string{"from"}},
	FaultReset:           {on: linkTargets, keys: []string{"from"}},
	FaultHalfOpen:        {on: linkTargets, keys: []string{"from"}},
	FaultTrickle:         {on: linkTargets, lasts: true, size: [2]float64{1, 1e9}, keys: []string{"from"}},
	FaultPacketLoss:      {on: linkTargets, lasts: true, size: [2]float64{0.001, 1}, keys: []string{"from"}},

	FaultListLate:      {on: listTargets, lasts: true, size: [2]float64{0.01, 3600}},
	FaultListStale:     {on: listTargets, lasts: true},
	FaultListTruncated: {on: listTargets, lasts: true},
	FaultListGarbled:   {on: listTargets, lasts: true},

	FaultBurst:        {on: clientTargets, lasts: true, size: [2]float64{0.01, 10}},
	FaultFlood:        {on: clientTargets, lasts: true, size: [2]float64{0.001, 10}, keys: []string{"through"}},
	FaultFalseReports: {on: []Target{TargetMembers}, lasts: true, size: [2]float64{0.01, 1000}},
}
