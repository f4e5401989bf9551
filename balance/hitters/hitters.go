// Package hitters finds, over all sidecars of a fleet, the clients that ask for a large share of the servers' work (heavy
// hitters), and says what each of them gives up while the servers are full.
//
// A sidecar counts work by client in bounded memory (Summary) and reports to the others, a window at a time, its total and its
// few largest clients (Report). A Detector holds the latest report of each origin, sums them up, and moves clients through the
// states below. It is a pure state machine: it has no clock, goroutine, lock or I/O, and the same calls always give the same
// states.
//
// # Terms
//
//   - An origin is a sidecar as the source of reports. Work is servers' time, in microseconds of any unit that all share.
//   - The high and low thresholds are shares of the fleet's work, above which a client is suspected and below which a heavy one
//     cools.
//   - A rejected request is one that a heavy client is refused so that others are served.
//
// # Invariants
//
//   - Whatever one origin reports, a client is heavy only if its share of the work that the others reported reaches the high
//     threshold; the largest total of the others counts for no more than four times the next. See fleet.share. (TestOneLiar
//     draws such origins.)
//   - A sidecar alone, or cut off, goes by its own work alone, as do all once reports are older than their TTL.
//   - One origin counts once: its newest report replaces its older ones, in any order, duplicated or late.
//   - A heavy client keeps its fair share by max-min over all clients, and at the worst a tenth of the low threshold's share of
//     what is served. Others lose nothing to it, and while there is capacity nobody loses anything.
//   - Memory is bounded whatever clients are called: under 64 kB with 300 origins.
package hitters

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Time is a reading of the host's monotonic clock, from any origin.
type Time = time.Duration

// The bounds of what is counted, held and reported.
const (
	maxCounters         = 64   // clients counted in a window: a count is at most 1/65 of the total too low
	windows             = 2    // that a report covers
	maxNamed            = 11   // clients named in a report
	maxOrigins          = 1024 // whose reports are held
	maxClients          = 48   // in a state other than quiet: as many as can be above the low threshold
	namedFraction       = 4    // a report names clients above this fraction of the high threshold, of the sidecar's own work
	maxReportsPerWindow = 150  // of all sidecars
	maxNameBytes        = 24   // of a client's name, kept for logs
	fullShare           = math.MaxUint16
	maxTotal            = 1 << 44   // microseconds of work a second
	maxRequestWork      = time.Hour // of one request
	maxDuration         = 10 * time.Minute
)

// The bounds of the thresholds.
const (
	minHighThreshold = 2. / maxCounters // a lower share could not be told from the error of the counts
	minLowThreshold  = 1. / maxClients
	minWindow        = 10 * time.Millisecond
)

// Settings are what a Detector gets at its start.
type Settings struct {
	Origin        uint64        // names this sidecar, as Key of its name
	HighThreshold float64       // share of the fleet's work above which a client is suspected
	LowThreshold  float64       // share below which a heavy one cools
	Window        time.Duration // between reports; a report covers two
	// SuspicionTime is how long a suspected client must stay above HighThreshold: a little less than complete windows, which
	// do not end on the dot.
	SuspicionTime time.Duration
	CoolingTime   time.Duration // for which a cooling client is remembered
	ReportTTL     time.Duration // reports that are older count for nothing
}

// Defaults are the settings of a sidecar that is given none.
func Defaults() Settings {
	return Settings{
		HighThreshold: 0.04,
		LowThreshold:  0.025,
		Window:        500 * time.Millisecond,
		SuspicionTime: 400 * time.Millisecond,
		CoolingTime:   5 * time.Second,
		ReportTTL:     2 * time.Second,
	}
}

// SettingsError says which field of the settings cannot be used, and why.
type SettingsError struct {
	Field   string
	Problem string
}

func (e *SettingsError) Error() string { return "field " + e.Field + ": " + e.Problem }

// check returns what is wrong with the settings, naming the field.
func (s Settings) check() error {
	if !(s.HighThreshold >= minHighThreshold && s.HighThreshold < 1) {
		problem := fmt.Sprintf("%v is not from %.3f to under 1", s.HighThreshold, minHighThreshold)
		return &SettingsError{Field: "HighThreshold", Problem: problem}
	}
	if !(s.LowThreshold >= minLowThreshold && s.LowThreshold <= s.HighThreshold) {
		problem := fmt.Sprintf("%v is not from %.3f to HighThreshold", s.LowThreshold, minLowThreshold)
		return &SettingsError{Field: "LowThreshold", Problem: problem}
	}
	return errors.Join(
		checkDuration("Window", s.Window, minWindow),
		checkDuration("SuspicionTime", s.SuspicionTime, 0),
		checkDuration("CoolingTime", s.CoolingTime, 0),
		checkDuration("ReportTTL", s.ReportTTL, s.Window),
	)
}

func checkDuration(field string, value, low time.Duration) error {
	if value >= low && value <= maxDuration {
		return nil
	}
	return &SettingsError{Field: field, Problem: fmt.Sprintf("%v is not from %v to %v", value, low, maxDuration)}
}

// Key is the 64-bit xxHash of a client's name, or of an origin's, mixed with a salt that the fleet shares. Whoever knows the
// salt can make a name that collides with another's; then both count as one.
func Key(salt uint64, name string) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(salt)
	_, _ = digest.WriteString(name) // never fails
	return digest.Sum64()
}
