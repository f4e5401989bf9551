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

// The kinds of steps, with the processes that they act on. The values are part of StepsHash and of reports.
const (
	Kill  = "kill"  // sidecar, list or registry node: SIGKILL
	Term  = "term"  // sidecar, list or registry node: SIGTERM, and SIGKILL after TermGrace
	Stop  = "stop"  // sidecar, list or registry node: SIGSTOP
	Cont  = "cont"  // sidecar, list or registry node: SIGCONT
	Start = "start" // sidecar, list or registry node: a new process
	Disk  = "disk"  // sidecar or registry node: Mode "full", "readonly" or ""
	Tear  = "tear"  // registry node that does not run: Mode "torn" (log) or "short" (snapshot)

	Backup  = "backup"  // registry: its state is saved
	Restore = "restore" // registry: its state is replaced by what was saved last

	Drain       = "drain"   // server: it rejects further requests
	Die         = "die"     // server: its process ends
	Remove      = "remove"  // server: its process ends for good
	Revive      = "revive"  // server: a new process, cold
	Add         = "add"     // server: a successor starts
	ServerFault = "trouble" // server: its fault state is Step.Trouble from now on
	Clock       = "clock"   // server: its wall clock jumps by By
	Link        = "link"    // server or list: Effect begins or ends on the links from Nears
	Reset       = "reset"   // server or list: connections are reset
	Forget      = "forget"  // server or list: the far end loses its connections

	Isolate = "silent" // server: its machine cannot reach the registry while On

	// FalseReports makes the lying members Nears, which are no sidecars, report By of work per second in all by the clients Mode, while On.
	FalseReports = "lie"

	UpdateList = "tell" // the list learns the State of a server
	ListMode   = "mode" // the list answers as Mode says
)

// Step is one action of the lab. The names of its fields are part of StepsHash.
type Step struct {
	At      time.Duration
	Fault   int // index in the file
	Do      string
	Sidecar int         // index of the process: a sidecar, ListIndex, LeaderIndex or NodeIndex
	Server  string      // UID
	Trouble model.Fault // ServerFault: the state from now on
	State   string      // UpdateList: what the list learns
	Mode    string
	By      time.Duration // Clock: the jump; ListMode "late": the delay; FalseReports: the work per second
	Nears   []int         // links: the near ends, none: all; of peers: the sidecars; FalseReports: the lying members, from 0
	Peers   bool          // links: those between sidecars
	Effect  LinkEffect    // Link: what begins or ends
	On      bool          // Link, Isolate, FalseReports: it begins
	From    string        // links of a registry node: the other ends, "": all; of peers: the zone of the others, "": all
	Group   int           // Link: the group whose calls are not established; negative: none
}

// LinkEffect is the effect of one fault on a link. Effects at the same time add up. The names of its fields are part of StepsHash.
type LinkEffect struct {
	HoldFar, HoldNear bool
	Delay, Jitter     time.Duration
	Rate              int
	Loss              float64
}
