// Package plan turns an experiment file and a seed into everything that an experiment will do: the fleet, each arrival, and each step of
// each fault with its time.
//
// Terms: a fault is an entry of the file; a step is one action of the lab, by which a fault begins or ends; an arrival is one request of a
// client; a bar is a bound on a figure of the report.
//
// Invariant: a plan is a pure function of file and seed. Each draw has a random stream of its own, labelled by its purpose, so a
// change of one draw moves no other. ArrivalsHash and StepsHash identify a plan in reports.
package plan

// File is an experiment file. Times are in seconds from the start of the load unless the name says ms.
type File struct {
	States   string   `toml:"states"`  // the claim that the experiment tests
	Seconds  float64  `toml:"seconds"` // duration of the load
	Breaks   string   `toml:"breaks"`  // controls: the invariant or bar that has to be found broken
	Fleet    Fleet    `toml:"fleet"`
	Load     Load     `toml:"load"`
	Limits   Limits   `toml:"limits"`
	List     List     `toml:"list"`
	Registry Registry `toml:"keepers"`
	Hitters  Hitters  `toml:"hitters"`
	Members  Members  `toml:"members"`
	Routes   Routes   `toml:"routes"`
	// Config is copied into the configuration of each sidecar, beside what the lab sets.
	Config  map[string]any `toml:"config"`
	Kinds   []Kind         `toml:"kind"`
	Classes []Class        `toml:"class"`
	Faults  []Fault        `toml:"fault"`
	Bars    []Bar          `toml:"bar"`

	Path string `toml:"-"`
	Name string `toml:"-"` // of the file, without directory and extension
	text []byte
}

// Fleet is the processes that are started, but for the registry.
type Fleet struct {
	Zones     []string    `toml:"zones"`
	Servers   int         `toml:"servers"`
	Sidecars  int         `toml:"sidecars"`
	PerHost   int         `toml:"per_host"`   // stand-in servers in one process
	Program   Program     `toml:"program"`    // ProgramSidecar or ProgramPlain
	Flaw      string      `toml:"flaw"`       // of the stand-in sidecar, one of Flaws
	MemoryMB  int         `toml:"memory_mb"`  // limit in the configuration of a sidecar
	Sockets   int         `toml:"sockets"`    // limit in the configuration of a sidecar
	DelayMS   float64     `toml:"delay_ms"`   // one way between any sidecar and server
	Start     ServerStart `toml:"start"`      // how servers start before the load
	ErrorRate float64     `toml:"error_rate"` // share of the requests that a server answers with an error after the work
	Keep      bool        `toml:"keep"`       // a sidecar's process finds what the one before it wrote to $TMPDIR
}

// Program is what runs as a sidecar or as a registry node. The values are part of the files' format.
type Program string

// The programs of sidecars and of registry nodes.
const (
	ProgramSidecar  Program = "sidecar" // the sidecar itself
	ProgramRegistry Program = "keeper"  // the registry node itself
	ProgramPlain    Program = "plain"   // a stand-in to compare with; as a registry node it does not replicate and has no disk
)

// ServerStart is how the servers of the start begin. The values are part of the files' format.
type ServerStart string

// The starts of servers.
const (
	StartWarm ServerStart = "warm"
	StartCold ServerStart = "cold" // they warm up, as a new process does
)

// Sizes is what the list publishes as the servers' capacities. The values are part of the files' format.
type Sizes string

// The published capacities.
const (
	SizesAlike Sizes = "alike" // the same of all servers
	SizesRough Sizes = "rough" // the true ones, up to a fifth wrong
)

// Load is what clients ask for.
type Load struct {
	Share       float64 `toml:"share"`     // of the work that all warm servers can do
	Rate        float64 `toml:"rate"`      // or requests a second
	Uneven      float64 `toml:"uneven"`    // coefficient of variation of the sidecars' shares
	ZoneSkew    float64 `toml:"zone_skew"` // how much more of the traffic the first zone has, 0 to 1
	Retries     bool    `toml:"retries"`   // clients retry once
	SendDelayMS float64 `toml:"tardy_ms"`  // delay of every arrival, for the control that the lab finds its own lateness
	WorkPart    float64 `toml:"work_part"` // of the classes' mean work, so that more requests fit the same servers
	Clients     int     `toml:"clients"`   // number of tenants, in the header X-Tenant-Id; 0: none
	Skew        float64 `toml:"skew"`      // exponent of Zipf's law: the i-th client has requests in proportion to i to the power of -skew
}

// Limits are the limits that invariants check. The operators' documents that they come from are named.
type Limits struct {
	AnswerSlackMS float64 `toml:"answer_slack_ms"` // past the client's time-out (FLEET.md: half a second)
	DrainGraceMS  float64 `toml:"drain_grace_ms"`  // after a sidecar was notified
	SlackMS       float64 `toml:"slack_ms"`        // of every time limit (PROTOCOL)
	MemoryMB      float64 `toml:"memory_mb"`       // of a sidecar's process
	Descriptors   int     `toml:"descriptors"`     // of a sidecar's process
	LatenessMS    float64 `toml:"lateness_ms"`     // of the lab, at the 99th percentile
}

// List is how late and how exact the platform's list of servers is. Delays are drawn from ranges of seconds.
type List struct {
	NoticeS      [2]float64 `toml:"notice_s"` // until it knows that a process drains or ended
	AddS         [2]float64 `toml:"add_s"`    // until it knows a new one
	UnreachableS [2]float64 `toml:"silent_s"` // until it knows that a machine does not respond
	Sizes        Sizes      `toml:"sizes"`
}

// Registry is the service registry that publishes the servers, in place of the platform's list.
type Registry struct {
	Count            int     `toml:"count"`       // of nodes; 0: the platform's list
	Program          Program `toml:"program"`     // ProgramRegistry or ProgramPlain
	Flaw             string  `toml:"flaw"`        // of the stand-in nodes, one of RegistryFlaws
	LeaseS           float64 `toml:"lease_s"`     // of the servers' registrations
	GraceS           float64 `toml:"grace_s"`     // from the end of a lease to the server's removal
	MaxExpiringShare float64 `toml:"share"`       // of the leases that may end within 30 s
	Snapshot         int     `toml:"snapshot"`    // commands between snapshots, and that stay in the log behind one
	Writers          int     `toml:"writers"`     // clients that write and read entries of their own, side by side
	WriteRate        float64 `toml:"write_rate"`  // their operations a second in all
	Keys             int     `toml:"keys"`        // entries that they share
	MaxRemovalShare  float64 `toml:"doubt_share"` // of the servers, that sidecars remove at once where a complete list lacks them
	MaxStalenessS    float64 `toml:"most_age_s"`  // sidecars leave a node that has had no contact for longer
	Cache            bool    `toml:"cache"`       // sidecars keep the last list on disk
	Watchers         int     `toml:"watchers"`    // clients besides the sidecars that only watch
}

// Members is whether sidecars exchange updates with each other.
type Members struct {
	On      bool    `toml:"on"`
	BoundMS float64 `toml:"bound_ms"` // older updates are ignored
}

// Kind is a kind of server (BRIEF).
type Kind struct {
	Name  string     `toml:"name"`
	Share float64    `toml:"share"` // of the servers, in relation to other kinds
	Cores int        `toml:"cores"`
	Speed [2]float64 `toml:"speed"` // range of a core's speed; work is given for a core of speed 1
}

// Class is a class of requests (BRIEF).
type Class struct {
	Name            string  `toml:"name"`
	Share           float64 `toml:"share"`      // of the requests, in relation to other classes
	WorkMS          float64 `toml:"work_ms"`    // mean, on a core of speed 1
	LatencyTargetMS float64 `toml:"aim_ms"`     // after which a response has LateValue
	GiveUpMS        float64 `toml:"give_up_ms"` // after which the client waits no longer
	Value           float64 `toml:"worth"`      // of a response in time
	LateValue       float64 `toml:"late_worth"` // share of the value of a response after the latency target
	Safe            bool    `toml:"safe"`       // idempotent: it may be retried
}

// Bar is a bound, or two, of a figure of the report.
type Bar struct {
	Figure string   `toml:"figure"` // one of Figures, or one with a class after a colon
	Min    *float64 `toml:"least"`  // nil: no bound
	Max    *float64 `toml:"most"`   // nil: no bound
}

// Defaults is a file with the defaults of all keys but kinds and classes, which Parse adds where a file has none: the fleet of BRIEF.
func Defaults() File {
	return File{
		Seconds: 20,
		Fleet: Fleet{Zones: []string{"room-a", "room-b"}, Servers: 10, Sidecars: 4, PerHost: 50, Program: ProgramSidecar, MemoryMB: 192,
			Sockets: 1024, Start: StartWarm, Keep: true, ErrorRate: 0.001},
		Load: Load{Uneven: 1, Retries: true, WorkPart: 1},
		Limits: Limits{AnswerSlackMS: 500, DrainGraceMS: 300, SlackMS: 50, MemoryMB: 192, Descriptors: 1024,
			LatenessMS: 5},
		List:    List{NoticeS: [2]float64{0.66, 3.9}, AddS: [2]float64{0.25, 2.6}, UnreachableS: [2]float64{6.5, 13}, Sizes: SizesAlike},
		Members: Members{BoundMS: 2000},
		Registry: Registry{Program: ProgramRegistry, LeaseS: 3, GraceS: 3, MaxExpiringShare: 0.3,
			Snapshot: 4096, Writers: 4, Keys: 4, MaxRemovalShare: 0.3, MaxStalenessS: 2.5, Cache: true},
	}
}

// defaultKinds are the kinds of servers of BRIEF.
var defaultKinds = []Kind{
	{"fast", 0.32, 3, [2]float64{1.4, 1.8}},
	{"standard", 0.32, 3, [2]float64{0.85, 1.1}},
	{"slow", 0.36, 3, [2]float64{0.51, 0.69}},
}

// defaultClasses are the classes of requests of BRIEF.
var defaultClasses = []Class{
	{"fetch", 0.52, 78, 600, 2000, 1, 0.25, true},
	{"submit", 0.48, 71, 500, 2000, 5, 0.3, false},
}
