package plan

import (
	"time"

	"gradeusher.example/gradeusher/internal/lab/model"
)

// Plan is all that an experiment will do. Times are counted from the start of the load.
type Plan struct {
	File           *File
	Seed           uint64
	Servers        []model.Spec // first those that stand at the start, then successors
	InitialServers int          // of Servers at the start
	Sidecars       []Sidecar
	Arrivals       []Arrival
	Steps          []Step
	Bands          []Band

	ArrivalsHash string // of all that clients will do
	StepsHash    string // of all that faults will do, and to whom
}

// Sidecar is one sidecar and the clients beside it.
type Sidecar struct {
	Name   string
	Zone   string
	Group  int // the index of its zone
	Weight float64
	Peers  int           // how many sidecars there are as it starts, which is what it is told
	From   time.Duration // from when clients send to it; 0: the start of the load
	To     time.Duration // until when; 0: the end

	joined, left int // by which fault, from 1; 0: by none
}

// Arrival is one request's first try.
type Arrival struct {
	At           time.Duration
	Sidecar      int
	Class        int
	Work         time.Duration // of a core of speed 1
	TimeoutShare float64       // of the give-up time after which a try is given up, 0.7 to 1
	Backoff      time.Duration // before the second try; below 0: there is none
	Client       int           // who asks, from 1; 0: nobody by name
}

// Band is a fault as the report shows it.
type Band struct {
	Fault    int // index in the file
	Says     string
	From, To time.Duration
}

// Steps that the lab takes, by the process that they act on.
const (
	Kill  = "kill"  // sidecar, list or keeper
	Term  = "term"  // sidecar, list or keeper
	Stop  = "stop"  // sidecar, list or keeper
	Cont  = "cont"  // sidecar, list or keeper
	Start = "start" // sidecar, list or keeper
	Disk  = "disk"  // sidecar or keeper: Mode "full", "readonly" or ""
	Tear  = "tear"  // keeper that is down: Mode "torn" or "short"

	Backup  = "backup"  // keepers
	Restore = "restore" // keepers

	Drain       = "drain"   // server
	Die         = "die"     // server
	Remove      = "remove"  // server
	Revive      = "revive"  // server
	Add         = "add"     // server
	ServerFault = "trouble" // server
	Clock       = "clock"   // server: By
	Link        = "link"    // server or list: what holds between far end and Nears
	Reset       = "reset"   // server or list
	Forget      = "forget"  // server or list

	Isolate = "silent" // server: its machine cannot reach the keepers while On

	FalseReports = "lie" // members that are no sidecars, Nears of them, tell of work by the clients Mode, By a second in all, while On

	UpdateList = "tell" // the list learns State of a server
	ListMode   = "mode" // the list's answers are as Mode says
)

// Step is one thing that the lab does at a time.
type Step struct {
	At      time.Duration
	Fault   int // index in the file
	Do      string
	Sidecar int         // or ListIndex
	Server  string      // uid
	Trouble model.Fault // what the server suffers from then on
	State   string      // tell
	Mode    string
	By      time.Duration // clock, late; lie: the work a second
	Nears   []int         // link faults; none: all. Of peers: the sidecars meant. Lie: the liars meant, from 0
	Peers   bool          // link faults: of the links between sidecars
	Effect  LinkEffect    // that begins or ends
	On      bool          // link: it begins
	From    string        // link of a keeper: "peers", "clients", or ""; of peers: the zone of the others, or ""
	Group   int           // link: whose calls are cut off; below 0: nobody's
}

// LinkEffect is one fault's part of a link's state. All that hold at once add up.
type LinkEffect struct {
	HoldFar, HoldNear bool
	Delay, Jitter     time.Duration
	Rate              int
	Loss              float64
}
