package plan

import (
	"time"

	"gradeusher.example/gradeusher/internal/lab/model"
)

// Plan is everything that an experiment will do. Times count from the start of the load.
type Plan struct {
	File           *File
	Seed           uint64
	Servers        []model.Spec // first those that run at the start, then their successors
	InitialServers int          // how many of Servers run at the start
	Sidecars       []Sidecar
	Arrivals       []Arrival
	Steps          []Step
	Bands          []Band

	ArrivalsHash string // of all arrivals, 16 hexadecimal digits
	StepsHash    string // of all steps and servers; the names of their fields are part of it
}

// Sidecar is one sidecar and the clients that use it.
type Sidecar struct {
	Name   string
	Zone   string
	Group  int           // by which servers distinguish sidecars: the index of its zone, or 0 with a registry
	Weight float64       // of its clients, before it is shared out within its zone
	Peers  int           // how many sidecars run when it starts, which its configuration says
	From   time.Duration // when clients begin to send to it; 0: with the load
	To     time.Duration // when they stop; 0: at the end

	joined, left int // the fault that makes it join or leave, from 1; 0: none
}

// Arrival is the first attempt of one request, with what its retry needs.
type Arrival struct {
	At           time.Duration
	Sidecar      int           // index in the plan
	Class        int           // index in the file
	Work         time.Duration // of a core of speed 1
	TimeoutShare float64       // of the give-up time that one attempt may take, 0.7 to 1
	Backoff      time.Duration // before the retry; negative: there is none
	Client       int           // number of the tenant, from 1; 0: none
}

// Band is the period of a fault as the report shows it.
type Band struct {
	Fault    int    // index in the file
	Says     string // the fault and its targets
	From, To time.Duration
}

// StepKind says what a step does. The values are part of StepsHash and of reports; those of steps of servers and of links are the commands
// that stand-ins obey as well (ctl.Command).
type StepKind string

// The kinds of steps, each with what it acts on. A far end of links is a server, the list, a registry node or, of links between sidecars,
// a sidecar.
const (
	Kill  StepKind = "kill"  // sidecar, list or registry node: SIGKILL
	Term  StepKind = "term"  // sidecar, list or registry node: SIGTERM, and SIGKILL after TermGrace
	Stop  StepKind = "stop"  // sidecar, list or registry node: SIGSTOP
	Cont  StepKind = "cont"  // sidecar, list or registry node: SIGCONT
	Start StepKind = "start" // sidecar, list or registry node: a new process
	Disk  StepKind = "disk"  // sidecar or registry node: the fault of its disk is Step.Mode from now on
	Tear  StepKind = "tear"  // registry node that does not run: the file that Step.Mode says loses its end

	Backup  StepKind = "backup"  // registry: its state is saved
	Restore StepKind = "restore" // registry: its state is replaced by what was saved last

	Drain       StepKind = "drain"   // server: it rejects further requests
	Die         StepKind = "die"     // server: its process ends
	Remove      StepKind = "remove"  // server: its process ends for good
	Revive      StepKind = "revive"  // server: a new process, cold
	Add         StepKind = "add"     // server: a successor starts
	ServerFault StepKind = "trouble" // server: its fault state is Step.Trouble from now on
	Clock       StepKind = "clock"   // server: the wall clocks of its process of stand-ins jump by Step.By
	Link        StepKind = "link"    // any far end: Step.Effect begins or ends on the links from Step.Nears
	Reset       StepKind = "reset"   // any far end: connections are reset
	Forget      StepKind = "forget"  // any far end: it loses its connections without a word to the near ends

	Isolate StepKind = "silent" // server: its machine cannot reach the registry while Step.On

	// FalseReports has the lying members Step.Nears, which are no sidecars, report Step.By of work per second in all by the clients
	// Step.Mode, with commas between them, while Step.On.
	FalseReports StepKind = "lie"

	UpdateList StepKind = "tell" // the list learns Step.State of a server
	ListMode   StepKind = "mode" // the list answers as Step.Mode says
)

// The values of Step.Mode, which are part of StepsHash.
const (
	ModeDiskFull     = "full"     // Disk: nothing can be written to files
	ModeDiskReadOnly = "readonly" // Disk: the folder can only be read

	ModeTornLog      = "torn"  // Tear: of the newest file of the log
	ModeTornSnapshot = "short" // Tear: of the newest snapshot

	ModeListLate      = "late"    // ListMode: changes reach sidecars Step.By later
	ModeListStale     = "old"     // ListMode: watches get an earlier snapshot
	ModeListTruncated = "cut"     // ListMode: answers end within an object
	ModeListGarbled   = "garbled" // ListMode: answers cannot be parsed
)

// Step is one action of the lab. The names of its fields are part of StepsHash.
type Step struct {
	At      time.Duration
	Fault   int // index in the file
	Do      StepKind
	Sidecar int           // index of the process: a sidecar, ListIndex, LeaderIndex or NodeIndex
	Server  string        // UID; "": the step acts on no server, or on the list's links
	Trouble model.Fault   // ServerFault: the state from now on
	State   string        // UpdateList: what the list learns, a list.State
	Mode    string        // Disk, ListMode: the fault, "": none; Tear: the file; FalseReports: the clients
	By      time.Duration // Clock: the jump; ListMode "late": the delay; FalseReports: the work per second
	Nears   []int         // links: the near ends, none: all; of peers: the sidecars; FalseReports: the lying members, from 0
	Peers   bool          // links: those between sidecars
	Effect  LinkEffect    // Link: what begins or ends
	On      bool          // Link, Isolate, FalseReports: it begins
	From    string        // links of a registry node: the other ends, "": all; of peers: the zone of the others, "": all
	Group   int           // Link: the group whose calls are not established; negative: none
}

// noGroup is the value of Step.Group where calls of all groups are established.
const noGroup = -1

// LinkEffect is the effect of one fault on a link. Effects at the same time add up. The names of its fields are part of StepsHash.
type LinkEffect struct {
	HoldFar, HoldNear bool          // nothing arrives at the far end, or at the near one
	Delay, Jitter     time.Duration // one way; the bound of a random delay besides
	Rate              int           // bytes per second; 0: not limited
	Loss              float64       // share of the packets that are lost
}
