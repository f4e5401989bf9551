package plan

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

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

// Process indexes that mean no sidecar.
const (
	ListIndex   = -1
	LeaderIndex = -2  // the keeper that leads when the step is taken; what ends a fault acts on whom it began with
	firstNode   = -10 // and those below
)

// NodeIndex is the process index of the k-th keeper, from 0.
func NodeIndex(k int) int { return firstNode - k }

// NodeOf undoes NodeIndex; it tells false for others, LeaderIndex with them.
func NodeOf(process int) (k int, ok bool) { return firstNode - process, process <= firstNode }

// IsNode tells whether a process index means a keeper.
func IsNode(process int) bool { return process == LeaderIndex || process <= firstNode }

// Indexes of the near ends besides the sidecars, each with its own address (link.Near).

// NearWriter is that of the lab's own clients of the keepers.
func (p *Plan) NearWriter() int { return len(p.Sidecars) }

// NearNode is that of the k-th keeper, as it calls others.
func (p *Plan) NearNode(k int) int { return len(p.Sidecars) + 1 + k }

// NearHost is that of the i-th process of servers, as it registers them.
func (p *Plan) NearHost(i int) int { return len(p.Sidecars) + 1 + p.File.Registry.Count + i }

// NearWatcher is that of the i-th client that only watches.
func (p *Plan) NearWatcher(i int) int { return p.NearHost(p.Hosts()) + i }

// NearLyingMember is that of the i-th member that is no sidecar.
func (p *Plan) NearLyingMember(i int) int { return p.NearWatcher(p.File.Registry.Watchers) + i }

// Nears is how many near ends there are.
func (p *Plan) Nears() int { return p.NearLyingMember(p.LyingMembers()) }

// LyingMembers is how many members there are that are no sidecars: those of each lie have their own places, in the order of the file.
func (p *Plan) LyingMembers() (n int) {
	for i := range p.File.Faults {
		if t := &p.File.Faults[i]; t.Do == "lie" {
			n += t.Count
		}
	}
	return n
}

// Hosts is how many processes of stand-in servers there are.
func (p *Plan) Hosts() int {
	return (p.InitialServers + p.File.Fleet.PerHost - 1) / p.File.Fleet.PerHost
}

// NodeName is the name of the k-th keeper.
func NodeName(k int) string { return fmt.Sprintf("k%d", k+1) }

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

// stream is a source of random numbers of its own, so that a change of one draw moves no other.
func stream(seed uint64, label string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(label)))
}

func uniform(r *rand.Rand, v [2]float64) float64 { return v[0] + r.Float64()*(v[1]-v[0]) }

// Seconds is a time in seconds, as experiment files have it.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Millis is a time in milliseconds.
func Millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Make draws the plan of a file for a seed. It fails with an *Error where the faults cannot all be.
func Make(file *File, seed uint64) (*Plan, error) {
	plan := &Plan{File: file, Seed: seed}
	if err := plan.drawSidecars(); err != nil {
		return nil, err
	}
	kinds := plan.drawKinds(file.Fleet.Servers)
	for i := range file.Fleet.Servers {
		plan.Servers = append(plan.Servers, plan.drawSpec(i, file.Fleet.Zones[i%len(file.Fleet.Zones)], kinds[i]))
	}
	plan.InitialServers = len(plan.Servers)
	if err := plan.drawArrivals(); err != nil {
		return nil, err
	}
	if err := plan.drawSteps(); err != nil {
		return nil, err
	}
	plan.setHashes()
	return plan, nil
}

// Groups is how many groups of sidecars there are, each with listeners of its own at every server.
func (p *Plan) Groups() int {
	if p.File.Registry.Count > 0 {
		return 1
	}
	return len(p.File.Fleet.Zones)
}

// drawKinds gives n servers their kinds, by share as nearly as whole servers can, in drawn order.
func (p *Plan) drawKinds(n int) []int {
	sum := 0.0
	for _, k := range p.File.Kinds {
		sum += k.Share
	}
	var kinds []int
	due := 0.0
	for k, kind := range p.File.Kinds {
		due += kind.Share / sum * float64(n)
		for len(kinds) < int(math.Round(due)) {
			kinds = append(kinds, k)
		}
	}
	r := stream(p.Seed, "kinds")
	r.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	return kinds
}

// drawSpec draws the i-th server, after the site file's ranges where BRIEF has none.
func (p *Plan) drawSpec(i int, zone string, kind int) model.Spec {
	rng := stream(p.Seed, fmt.Sprintf("server %d", i))
	k := p.File.Kinds[kind]
	spec := model.Spec{
		UID: fmt.Sprintf("s-%08x", rng.Uint32()), Zone: zone, Kind: k.Name, Cores: k.Cores, Speed: uniform(rng, k.Speed), Slots: k.Cores,
		Queue: k.Cores * (200 + rng.IntN(500)), Thrash: uniform(rng, [2]float64{0.015, 0.07}), ThrashAt: uniform(rng, [2]float64{2.6, 7}),
		ColdFrom: uniform(rng, [2]float64{0.14, 0.36}), ColdFor: Seconds(uniform(rng, [2]float64{11, 24})),
		FallMultiple: 3, FallFor: 1500 * time.Millisecond, ErrorRate: p.File.Fleet.ErrorRate, DropsExpired: rng.IntN(2) == 0,
		ConnCap: k.Cores * (600 + rng.IntN(300)), ConnWork: Seconds(uniform(rng, [2]float64{0.00078, 0.0015})),
		ReportEvery: Seconds(uniform(rng, [2]float64{0.32, 1.2})), ReportDelay: Seconds(uniform(rng, [2]float64{0.23, 0.48})), Seed: rng.Uint64(),
	}
	if p.File.List.Sizes == "rough" {
		rough := stream(p.Seed, fmt.Sprintf("size %d", i))
		spec.Hint = spec.Capacity() * uniform(rough, [2]float64{0.8, 1.2})
	}
	return spec
}

// Capacity is the work a second of all servers at the start when warm.
func (p *Plan) Capacity() float64 {
	sum := 0.0
	for i := range p.InitialServers {
		sum += p.Servers[i].Capacity()
	}
	return sum
}

// Rate is the requests a second that arrive on average.
func (p *Plan) Rate() float64 {
	f := p.File
	if f.Load.Rate > 0 {
		return f.Load.Rate
	}
	shares, work := 0.0, 0.0
	for _, c := range f.Classes {
		shares += c.Share
		work += c.Share * c.WorkMS / 1000 * f.Load.WorkPart
	}
	return f.Load.Share * p.Capacity() / (work / shares)
}

func (p *Plan) setHashes() {
	hasher := xxhash.New()
	put := func(v ...any) {
		for _, x := range v {
			_ = binary.Write(hasher, binary.LittleEndian, x) // a hash takes everything
		}
	}
	for _, a := range p.Arrivals {
		put(int64(a.At), int64(a.Sidecar), int64(a.Class), int64(a.Work), a.TimeoutShare, int64(a.Backoff), int64(a.Client))
	}
	p.ArrivalsHash = fmt.Sprintf("%016x", hasher.Sum64())
	hasher.Reset()
	for _, s := range p.Steps {
		fmt.Fprintf(hasher, "%+v\n", s)
	}
	for _, s := range p.Servers {
		fmt.Fprintf(hasher, "%+v\n", s)
	}
	p.StepsHash = fmt.Sprintf("%016x", hasher.Sum64())
}
