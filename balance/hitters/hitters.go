// Package hitters finds, over all sidecars of a fleet, the clients that ask for a large share of the servers' work, and
// says what each of them gives up while the servers are full.
//
// A sidecar counts work by client in bounded memory (Summary) and tells the others, a window at a time, its total and its
// few largest (Report). A Judge holds the latest of what each origin told, weighs it, and moves clients through the states
// below. It is a pure state machine: no clock, goroutine, lock or I/O, and the same calls always give the same states.
//
// What it promises:
//
//   - Whatever one origin tells, a client is held for heavy only if its share of the work that the others told reaches
//     the upper bar; the largest of the others may be taken for no more than four times the next. See fleet.surely.
//   - A sidecar alone, or cut off, judges by its own part alone, as do all once news is older than the bound.
//   - One origin's word counts once: its newest replaces its older, in any order, repeated or late.
//   - A heavy client keeps its fair share by max-min over all clients, and at the worst a tenth of the lower bar's share
//     of what is served. Others lose nothing to it, and while there is room nobody loses anything.
//   - Memory is bounded whatever clients are called: under 64 kB with 300 origins.
package hitters

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Time is a reading of the host's monotonic clock, from any origin.
type Time = time.Duration

// The bounds.
const (
	maxCounters         = 64   // clients counted in a window: a count is at most 1/65 of the total too low
	windows             = 2    // that a report covers
	maxNamed            = 11   // clients named in a report
	maxOrigins          = 1024 // that are listened to
	maxClients          = 48   // held in a state other than quiet: as many as can be above the lower bar
	namedFraction       = 4    // a report names clients whose share of the sidecar's own work is the bar's part of that
	maxReportsPerWindow = 150  // tell their report in a window
	maxNameBytes        = 24   // bytes of a client's name that are kept for logs
	fullShare           = math.MaxUint16
	maxTotal            = 1 << 44          // microseconds of work a second
	maxRequestWork      = time.Hour        // of one request
	minHighThreshold    = 2. / maxCounters // under it a share could not be told from the error of the counts
	minLowThreshold     = 1. / maxClients
	maxDuration         = 10 * time.Minute // of any setting
)

// Settings are what a Judge is told at its start.
type Settings struct {
	Origin        uint64        // names this sidecar, as Key of its name
	HighThreshold float64       // share of the fleet's work above which a client is suspected
	LowThreshold  float64       // share under which a heavy one cools
	Window        time.Duration // between reports; a report covers two
	SuspicionTime time.Duration // a suspected client must stay above High: a little less than whole windows, which do not end to the dot
	CoolingTime   time.Duration // a cooling one is remembered
	ReportTTL     time.Duration // news that is older counts for nothing
}

// Defaults are the settings of a sidecar that is told none.
func Defaults() Settings {
	return Settings{HighThreshold: 0.04, LowThreshold: 0.025, Window: 500 * time.Millisecond, SuspicionTime: 400 * time.Millisecond, CoolingTime: 5 * time.Second,
		ReportTTL: 2 * time.Second}
}

// check says what is wrong with the settings, naming the field.
func (s Settings) check() error {
	if !(s.HighThreshold >= minHighThreshold && s.HighThreshold < 1) {
		return fmt.Errorf("field High: %v is not from %.3f to under 1", s.HighThreshold, minHighThreshold)
	}
	if !(s.LowThreshold >= minLowThreshold && s.LowThreshold <= s.HighThreshold) {
		return fmt.Errorf("field Low: %v is not from %.3f to High", s.LowThreshold, minLowThreshold)
	}
	var all error
	for _, f := range []struct {
		name  string
		value time.Duration
		least time.Duration
	}{{"Window", s.Window, 10 * time.Millisecond}, {"Hold", s.SuspicionTime, 0}, {"Cool", s.CoolingTime, 0}, {"Bound", s.ReportTTL, s.Window}} {
		if f.value < f.least || f.value > maxDuration {
			all = errors.Join(all, fmt.Errorf("field %s: %v is not from %v to %v", f.name, f.value, f.least, maxDuration))
		}
	}
	return all
}

// Key is the 64-bit xxHash of a client's name, or of an origin's, mixed with a salt that the fleet shares. Danger:
// whoever knows the salt can make a name that falls together with another's; then both count as one.
func Key(salt uint64, name string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(salt)
	_, _ = d.WriteString(name) // never fails
	return d.Sum64()
}

// State is what a client is held for.
type State uint8

// The states of a client.
const (
	Quiet     State = iota // not held at all
	Suspected              // above the upper bar, but not for long enough
	Heavy                  // gives way while servers are full
	Cooling                // under the lower bar since a while: served as all, and heavy at once when above the upper
)

// String implements fmt.Stringer.
func (s State) String() string {
	if names := [...]string{"quiet", "suspected", "heavy", "cooling"}; int(s) < len(names) {
		return names[s]
	}
	return fmt.Sprintf("State(%d)", uint8(s))
}

// Client is one that is, or until now was, in a state other than quiet.
type Client struct {
	Key           uint64
	Name          string  // its name's beginning; "": no request of it came here since it is suspected
	State         State   // now
	Since         Time    // when it got there
	Share         float64 // of the fleet's work, at the least
	ShareError    float64 // and at the most this much above that
	AdmittedShare float64 // share of its requests that are served while servers are full
	credit        float64 // towards the next such request
	rejecting     bool    // it began to give way, and there is no room for all of it yet
}

// Detector holds what the origins told and who is heavy by it. It must not be used by two goroutines at once.
type Detector struct {
	settings       Settings
	current        window          // of this sidecar, being counted
	closed         [windows]window // the last ones
	seq            uint64          // of the own reports
	reports        []*storedReport // by origin
	clients        []*Client       // by key
	rejected       uint64          // requests that gave way
	capacity       float64         // work that servers do, as far as is known
	unusedCapacity float64         // of which this much is let in besides what is served, as it seems to be left undone
}

// New returns a Judge, or an error that says what is wrong with the settings. Without settings there is none.
func New(set *Settings) (*Detector, error) {
	if set == nil {
		return nil, nil
	}
	if err := set.check(); err != nil {
		return nil, fmt.Errorf("hitters: %w", err)
	}
	return &Detector{settings: *set}, nil
}

// SetName has a client that is held be known by its name in logs.
func (j *Detector) SetName(key uint64, name string) {
	if i, held := j.find(key); held && j.clients[i].Name == "" {
		j.clients[i].Name = strings.ToValidUTF8(strings.Clone(name[:min(len(name), maxNameBytes)]), "")
	}
}

// Rejected counts the requests that were to give way.
func (j *Detector) Rejected() uint64 { return j.rejected }

// Clients returns those that are held, by key. They change at the next Roll.
func (j *Detector) Clients() []*Client { return j.clients }
