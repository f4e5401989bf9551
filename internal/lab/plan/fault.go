package plan

import (
	"gradeusher.example/gradeusher/balance/hitters"
)

// Fault is a fault of the file, from the time At on. Times are in seconds from the start of the load, durations in seconds. Only some
// kinds have the fields that name kinds here.
type Fault struct {
	Do      FaultKind `toml:"do"`
	At      float64   `toml:"at"`
	For     float64   `toml:"for"`     // duration; 0: the fault happens at once
	On      Target    `toml:"on"`      // where the kind leaves a choice; "": its default
	Zone    string    `toml:"zone"`    // only targets of this zone; "": of all
	Part    float64   `toml:"part"`    // share of the targets, drawn; 0: all
	Count   int       `toml:"count"`   // number of targets, drawn, in place of Part, 0: all; flood, lie, join: number of clients, members or sidecars that it adds
	Names   []string  `toml:"names"`   // names of targets, in place of Part and Count; lie: the clients that are reported
	Restart *float64  `toml:"restart"` // kill, term, die, roll: from the end of the process until it restarts; nil: never, of roll after 0.1 s
	Size    float64   `toml:"size"`    // as the kind of fault says
	Every   float64   `toml:"every"`   // steal, flap: how long the fault is on, and then off; of steal 0: on all the time
	From    string    `toml:"from"`    // links: the zone of the near ends, one sidecar, or of registry nodes FromPeers and the others; "": all
	Way     Direction `toml:"way"`     // silence
	Jitter  float64   `toml:"jitter"`  // delay: bound of a random delay besides, in ms
	Batch   float64   `toml:"batch"`   // deploy, roll: share of the fleet at a time; 0: a tenth
	Drain   float64   `toml:"drain"`   // deploy: from the drain to the end of a process; 0: 4 s

	Through  int  `toml:"through"`  // flood: number of sidecars, drawn, that it uses; 0: all
	Distinct bool `toml:"distinct"` // flood: each request has a client of its own

	dry bool // flood: it has no requests (WithoutFloods)
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

// The bounds of a fault of clients or members.
const (
	maxFlooders        = 64 // clients of one flood
	maxLyingMembers    = 16 // members of one lie
	maxReportedClients = len(hitters.Report{}.Keys)
)

// inZone reports whether a fault acts on a zone.
func (f *Fault) inZone(zone string) bool { return f.Zone == "" || f.Zone == zone }
