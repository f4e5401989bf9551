package plan

import (
	"slices"
	"strings"

	"gradeusher.example/gradeusher/balance/hitters"
)

// Fault is one thing that goes wrong, as the file has it.
type Fault struct {
	Do      string   `toml:"do"`
	At      float64  `toml:"at"`
	For     float64  `toml:"for"`
	On      string   `toml:"on"`      // "sidecars", "servers", "list", "keepers", "clients", "members" or "peers" (links between sidecars), where do leaves a choice
	Zone    string   `toml:"zone"`    // only those of it
	Part    float64  `toml:"part"`    // this share of them, drawn; 0: all
	Count   int      `toml:"count"`   // or this many
	Names   []string `toml:"names"`   // or just these
	Restart *float64 `toml:"restart"` // seconds after the end until a process is started again; left out: never
	Size    float64  `toml:"size"`
	Every   float64  `toml:"every"`  // steal: seconds on, and off
	From    string   `toml:"from"`   // links: the zone of the sidecars, or one sidecar; "": all
	Way     string   `toml:"way"`    // silence: "to-far" or "to-near"
	Jitter  float64  `toml:"jitter"` // delay: ms
	Batch   float64  `toml:"batch"`  // deploy: share of the fleet at a time
	Drain   float64  `toml:"drain"`  // deploy: seconds from the drain to the end of a process

	Through  int  `toml:"through"`  // flood: as many sidecars, drawn; 0: all, alike
	Distinct bool `toml:"distinct"` // flood: each request has a client of its own
	dry      bool // flood: nobody asks for anything
}

// faultKind says what a fault needs.
type faultKind struct {
	on    []string // what it may act on; the first is the default
	lasts bool     // it needs for
	size  [2]float64
	keys  []string // besides do, at, for, on, zone, part, count, names
}

var processes = []string{"sidecars", "list", "keepers"}
var links = []string{"servers", "list", "keepers", "peers"}

// faultKinds are the faults there are.
var faultKinds = map[string]faultKind{
	"kill":          {on: processes, keys: []string{"restart"}},                                                     // SIGKILL
	"term":          {on: processes, keys: []string{"restart"}},                                                     // SIGTERM, and SIGKILL if that is not enough
	"stop":          {on: processes, lasts: true},                                                                   // SIGSTOP, and SIGCONT at the end
	"slow":          {on: []string{"servers"}, lasts: true, size: [2]float64{1, 1000}},                              // servers work size times slower
	"hang":          {on: []string{"servers"}, lasts: true},                                                         // servers take work and do none
	"steal":         {on: []string{"servers"}, lasts: true, size: [2]float64{0.01, 0.99}, keys: []string{"every"}},  // another program takes the share size
	"die":           {on: []string{"servers"}, keys: []string{"restart"}},                                           // server processes end at once
	"lose":          {on: []string{"servers"}, lasts: true},                                                         // machines say nothing, and return with new, cold processes
	"deploy":        {on: []string{"servers"}, lasts: true, keys: []string{"batch", "drain"}},                       // servers drain, end, and are replaced by new, cold ones
	"flap":          {on: []string{"servers"}, lasts: true, keys: []string{"every"}},                                // server processes end and start again and again
	"delay":         {on: links, lasts: true, size: [2]float64{0.01, 10000}, keys: []string{"from", "jitter"}},      // links take size ms more, one way
	"silence":       {on: links, lasts: true, keys: []string{"from", "way"}},                                        // links carry nothing one way
	"partition":     {on: links, lasts: true, keys: []string{"from"}},                                               // links carry nothing
	"reset":         {on: links, keys: []string{"from"}},                                                            // connections are reset
	"half-open":     {on: links, keys: []string{"from"}},                                                            // far ends forget their connections without a word
	"trickle":       {on: links, lasts: true, size: [2]float64{1, 1e9}, keys: []string{"from"}},                     // links pass size bytes a second
	"loss":          {on: links, lasts: true, size: [2]float64{0.001, 1}, keys: []string{"from"}},                   // links lose the share size of packets
	"list-late":     {on: []string{"list"}, lasts: true, size: [2]float64{0.01, 3600}},                              // the list tells everything size seconds later
	"list-old":      {on: []string{"list"}, lasts: true},                                                            // the list is an old one
	"list-cut":      {on: []string{"list"}, lasts: true},                                                            // the list breaks off half way
	"list-garbled":  {on: []string{"list"}, lasts: true},                                                            // the list cannot be read
	"disk-full":     {on: []string{"sidecars", "keepers"}, lasts: true},                                             // nothing can be written to files
	"disk-torn":     {on: []string{"keepers"}},                                                                      // the newest file of the log loses its end, while the process is down
	"disk-short":    {on: []string{"keepers"}},                                                                      // the newest snapshot loses its end, while the process is down
	"backup":        {on: []string{"keepers"}},                                                                      // the state is saved
	"restore":       {on: []string{"keepers"}},                                                                      // the state is replaced by what was saved last
	"disk-readonly": {on: []string{"sidecars"}, lasts: true},                                                        // the folder can only be read
	"burst":         {on: []string{"clients"}, lasts: true, size: [2]float64{0.01, 10}},                             // size of the fleet's rate comes besides
	"flood":         {on: []string{"clients"}, lasts: true, size: [2]float64{0.001, 10}, keys: []string{"through"}}, // count clients besides, each with size of the fleet's rate
	"lie":           {on: []string{"members"}, lasts: true, size: [2]float64{0.01, 1000}},                           // count members that are no sidecars tell of work by the clients names that nobody did, each of size times the fleet's
	"join":          {on: []string{"sidecars"}, lasts: true},                                                        // count sidecars more, evenly over the time
	"leave":         {on: []string{"sidecars"}, lasts: true},                                                        // sidecars end, evenly over the time, and their clients go to others
	"roll":          {on: []string{"sidecars"}, lasts: true, keys: []string{"batch", "restart"}},                    // sidecars are ended and started again, batch by batch
	"clock":         {on: []string{"servers"}, size: [2]float64{-86400, 86400}},                                     // the wall clock of the servers' machines jumps by size seconds
}

// isSidecar tells whether a name is that of a sidecar that stands at the start.
func (f *File) isSidecar(name string) bool {
	for i := range f.Fleet.Sidecars {
		if name == sidecarName(i) {
			return true
		}
	}
	return false
}

const (
	mostFlooders = 64 // clients of one flood
	mostLiars    = 16 // members of one lie
	mostTold     = len(hitters.Report{}.Keys)
)

// checkFault refuses a fault that makes no sense by itself.
func (f *File) checkFault(i int) *Error {
	t := &f.Faults[i]
	kind, ok := faultKinds[t.Do]
	if !ok {
		return f.bad("fault", i, "do", "unknown fault %q", t.Do)
	}
	if t.On == "" {
		t.On = kind.on[0]
	}
	switch {
	case t.Do == "clock" && t.On == "sidecars":
		return f.bad("fault", i, "on", "a sidecar takes no clock but the machine's")
	case !slices.Contains(kind.on, t.On):
		return f.bad("fault", i, "on", "%s cannot act on %q, only on %s", t.Do, t.On, strings.Join(kind.on, " or "))
	case t.At < 0 || t.At >= f.Seconds:
		return f.bad("fault", i, "at", "at %v s is not within the %v s of load", t.At, f.Seconds)
	case kind.lasts && t.For <= 0:
		return f.bad("fault", i, "for", "%s needs for, the seconds that it lasts", t.Do)
	case !kind.lasts && t.For != 0:
		return f.bad("fault", i, "for", "%s happens at once: it has no for", t.Do)
	case t.At+t.For > f.Seconds:
		return f.bad("fault", i, "for", "it ends at %v s, after the %v s of load", t.At+t.For, f.Seconds)
	case t.Part < 0 || t.Part > 1:
		return f.bad("fault", i, "part", "part %v is not within 0 to 1", t.Part)
	case t.Part > 0 && (t.Count > 0 || len(t.Names) > 0) || t.Count > 0 && len(t.Names) > 0 && t.Do != "lie":
		return f.bad("fault", i, "part", "only one of part, count and names can be given")
	case t.Count < 0:
		return f.bad("fault", i, "count", "count %d is below 0", t.Count)
	case t.On == "keepers" && f.Registry.Count == 0:
		return f.bad("fault", i, "on", "there are no keepers: [keepers] needs count")
	case t.On == "peers" && !f.Members.On:
		return f.bad("fault", i, "on", "sidecars do not know each other: [members] needs on")
	case t.On == "list" && f.Registry.Count > 0:
		return f.bad("fault", i, "on", "keepers hold the list: on = \"keepers\"")
	case t.On == "keepers" && t.Zone != "":
		return f.bad("fault", i, "zone", "keepers have no zone")
	case t.On == "keepers" && !slices.Contains([]string{"", "peers", "clients", "sidecars", "servers"}, t.From):
		return f.bad("fault", i, "from", "from %q is none of peers, clients, sidecars and servers", t.From)
	case t.On == "servers" && t.From != "" && f.Registry.Count > 0:
		return f.bad("fault", i, "from", "with keepers all sidecars reach servers by one listener: from is not possible")
	case t.Zone != "" && !slices.Contains(f.Fleet.Zones, t.Zone):
		return f.bad("fault", i, "zone", "no zone %q", t.Zone)
	case t.From != "" && t.On != "keepers" && !slices.Contains(f.Fleet.Zones, t.From) && !(t.On == "servers" && f.isSidecar(t.From)):
		return f.bad("fault", i, "from", "no zone %q, nor a sidecar", t.From)
	case t.On == "list" && (t.Zone != "" || t.Part > 0 || t.Count > 0 || len(t.Names) > 0):
		return f.bad("fault", i, "on", "there is one list: zone, part, count and names choose nothing")
	case kind.size != [2]float64{} && (t.Size < kind.size[0] || t.Size > kind.size[1]):
		return f.bad("fault", i, "size", "%s needs a size within %v to %v", t.Do, kind.size[0], kind.size[1])
	case t.Way != "" && t.Way != "to-far" && t.Way != "to-near":
		return f.bad("fault", i, "way", "way %q is neither to-far nor to-near", t.Way)
	case t.Do == "silence" && t.Way == "":
		return f.bad("fault", i, "way", "silence needs a way, to-far or to-near")
	case t.On == "clients" && (t.Part > 0 || len(t.Names) > 0 || t.Count > 0 && t.Do != "flood"):
		return f.bad("fault", i, "on", "part and names choose no clients, and count only those of a flood")
	case t.Do == "lie" && (!f.Members.On || !f.Hitters.On):
		return f.bad("fault", i, "do", "nobody would hear a lie: it needs on in [members] and in [hitters]")
	case t.Do == "lie" && (t.Count < 1 || t.Count > mostLiars || len(t.Names) < 1 || len(t.Names) > mostTold || t.Part > 0 || t.Zone != ""):
		return f.bad("fault", i, "count", "a lie needs count, 1 to %d, and names, 1 to %d, and nothing else that chooses", mostLiars, mostTold)
	case t.Do == "flood" && (t.Count > mostFlooders || t.Through < 0):
		return f.bad("fault", i, "count", "a flood has %d clients at most, and goes through no fewer than 0 sidecars", mostFlooders)
	case t.Distinct && t.Do != "flood":
		return f.bad("fault", i, "distinct", "%s has no distinct", t.Do)
	case t.Do == "join" && (t.Count < 1 || t.Part > 0 || len(t.Names) > 0 || t.Zone != ""):
		return f.bad("fault", i, "count", "join needs count, and nothing else that chooses")
	case t.Restart != nil && (*t.Restart < 0 || t.At+*t.Restart >= f.Seconds):
		return f.bad("fault", i, "restart", "a restart after %v s is not within the load", *t.Restart)
	case t.Batch < 0 || t.Batch > 1 || t.Drain < 0 || t.Jitter < 0 || t.Every < 0:
		return f.bad("fault", i, "do", "batch, drain, jitter and every cannot be below 0, nor batch above 1")
	case t.Do == "flap" && t.Every <= 0:
		return f.bad("fault", i, "every", "flap needs every, the seconds up and down")
	}
	for key, given := range map[string]bool{"restart": t.Restart != nil, "size": t.Size != 0, "every": t.Every != 0, "from": t.From != "",
		"way": t.Way != "", "jitter": t.Jitter != 0, "batch": t.Batch != 0, "drain": t.Drain != 0, "through": t.Through != 0} {
		if given && !slices.Contains(kind.keys, key) && (key != "size" || kind.size == [2]float64{}) {
			return f.bad("fault", i, key, "%s has no %s", t.Do, key)
		}
	}
	return nil
}
