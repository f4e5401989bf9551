package plan

import (
	"gradeusher.example/gradeusher/balance/hitters"
)

// Fault is a fault of the file.
type Fault struct {
	Do      string   `toml:"do"`
	At      float64  `toml:"at"`
	For     float64  `toml:"for"`
	On      string   `toml:"on"`      // "sidecars", "servers", "list", "keepers", "clients", "members" or "peers" (links between sidecars), where do leaves a choice
	Zone    string   `toml:"zone"`    // only targets of this zone
	Part    float64  `toml:"part"`    // share of the targets, drawn; 0: all
	Count   int      `toml:"count"`   // or this many
	Names   []string `toml:"names"`   // or these
	Restart *float64 `toml:"restart"` // seconds after the end until the process restarts; left out: never
	Size    float64  `toml:"size"`
	Every   float64  `toml:"every"`  // steal: seconds on, and off
	From    string   `toml:"from"`   // links: the zone of the sidecars, or one sidecar; "": all
	Way     string   `toml:"way"`    // silence: "to-far" or "to-near"
	Jitter  float64  `toml:"jitter"` // delay: ms
	Batch   float64  `toml:"batch"`  // deploy: share of the fleet at a time
	Drain   float64  `toml:"drain"`  // deploy: seconds from the drain to the end of a process

	Through  int  `toml:"through"`  // flood: as many sidecars, drawn; 0: all, alike
	Distinct bool `toml:"distinct"` // flood: each request has a client of its own
	dry      bool // flood: without any request (WithoutFloods)
}

// faultKind says what a kind of fault acts on and needs.
type faultKind struct {
	on    []string // what it may act on; the first is the default
	lasts bool     // it needs for
	size  [2]float64
	keys  []string // besides do, at, for, on, zone, part, count, names
}

// The targets of faults on processes and on links.
var processTargets = []string{"sidecars", "list", "keepers"}
var linkTargets = []string{"servers", "list", "keepers", "peers"}

// faultKinds are the kinds of faults by name.
var faultKinds = map[string]faultKind{
	"kill":          {on: processTargets, keys: []string{"restart"}},                                                 // SIGKILL
	"term":          {on: processTargets, keys: []string{"restart"}},                                                 // SIGTERM, and SIGKILL if that is not enough
	"stop":          {on: processTargets, lasts: true},                                                               // SIGSTOP, and SIGCONT at the end
	"slow":          {on: []string{"servers"}, lasts: true, size: [2]float64{1, 1000}},                               // servers work size times slower
	"hang":          {on: []string{"servers"}, lasts: true},                                                          // servers take work and do none
	"steal":         {on: []string{"servers"}, lasts: true, size: [2]float64{0.01, 0.99}, keys: []string{"every"}},   // another program takes the share size
	"die":           {on: []string{"servers"}, keys: []string{"restart"}},                                            // server processes end at once
	"lose":          {on: []string{"servers"}, lasts: true},                                                          // machines say nothing, and return with new, cold processes
	"deploy":        {on: []string{"servers"}, lasts: true, keys: []string{"batch", "drain"}},                        // servers drain, end, and are replaced by new, cold ones
	"flap":          {on: []string{"servers"}, lasts: true, keys: []string{"every"}},                                 // server processes end and start again and again
	"delay":         {on: linkTargets, lasts: true, size: [2]float64{0.01, 10000}, keys: []string{"from", "jitter"}}, // links take size ms more, one way
	"silence":       {on: linkTargets, lasts: true, keys: []string{"from", "way"}},                                   // links carry nothing one way
	"partition":     {on: linkTargets, lasts: true, keys: []string{"from"}},                                          // links carry nothing
	"reset":         {on: linkTargets, keys: []string{"from"}},                                                       // connections are reset
	"half-open":     {on: linkTargets, keys: []string{"from"}},                                                       // far ends forget their connections without a word
	"trickle":       {on: linkTargets, lasts: true, size: [2]float64{1, 1e9}, keys: []string{"from"}},                // links pass size bytes a second
	"loss":          {on: linkTargets, lasts: true, size: [2]float64{0.001, 1}, keys: []string{"from"}},              // links lose the share size of packets
	"list-late":     {on: []string{"list"}, lasts: true, size: [2]float64{0.01, 3600}},                               // the list tells everything size seconds later
	"list-old":      {on: []string{"list"}, lasts: true},                                                             // the list is an old one
	"list-cut":      {on: []string{"list"}, lasts: true},                                                             // the list breaks off half way
	"list-garbled":  {on: []string{"list"}, lasts: true},                                                             // the list cannot be read
	"disk-full":     {on: []string{"sidecars", "keepers"}, lasts: true},                                              // nothing can be written to files
	"disk-torn":     {on: []string{"keepers"}},                                                                       // the newest file of the log loses its end, while the process is down
	"disk-short":    {on: []string{"keepers"}},                                                                       // the newest snapshot loses its end, while the process is down
	"backup":        {on: []string{"keepers"}},                                                                       // the state is saved
	"restore":       {on: []string{"keepers"}},                                                                       // the state is replaced by what was saved last
	"disk-readonly": {on: []string{"sidecars"}, lasts: true},                                                         // the folder can only be read
	"burst":         {on: []string{"clients"}, lasts: true, size: [2]float64{0.01, 10}},                              // size of the fleet's rate comes besides
	"flood":         {on: []string{"clients"}, lasts: true, size: [2]float64{0.001, 10}, keys: []string{"through"}},  // count clients besides, each with size of the fleet's rate
	"lie":           {on: []string{"members"}, lasts: true, size: [2]float64{0.01, 1000}},                            // count members that are no sidecars tell of work by the clients names that nobody did, each of size times the fleet's
	"join":          {on: []string{"sidecars"}, lasts: true},                                                         // count sidecars more, evenly over the time
	"leave":         {on: []string{"sidecars"}, lasts: true},                                                         // sidecars end, evenly over the time, and their clients go to others
	"roll":          {on: []string{"sidecars"}, lasts: true, keys: []string{"batch", "restart"}},                     // sidecars are ended and started again, batch by batch
	"clock":         {on: []string{"servers"}, size: [2]float64{-86400, 86400}},                                      // the wall clock of the servers' machines jumps by size seconds
}

// isSidecar reports whether a name is that of an initial sidecar.
func (f *File) isSidecar(name string) bool {
	for i := range f.Fleet.Sidecars {
		if name == sidecarName(i) {
			return true
		}
	}
	return false
}

const (
	maxFlooders        = 64 // clients of one flood
	maxLyingMembers    = 16 // members of one lie
	maxReportedClients = len(hitters.Report{}.Keys)
)

// inZone reports whether a fault acts on a zone.
func (t *Fault) inZone(zone string) bool { return t.Zone == "" || t.Zone == zone }
