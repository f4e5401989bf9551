// Package hitters finds, across all sidecars of a fleet, the clients that ask for a large share of the servers' work (heavy
// hitters), and determines which share of their requests is rejected while the servers are full.
//
// A sidecar counts work by client in bounded memory (Summary) and, once per window, reports its total and its few largest
// clients to the others (Report). A Detector stores the latest report of each origin, sums them up, and moves clients through
// the states of State. It is a pure state machine: it has no clock, goroutine, lock or I/O, and the same calls always lead to
// the same states.
//
// # Terms
//
//   - An origin is a sidecar as the source of reports. Work is server time, in microseconds of any unit that all origins share.
//   - The high and low thresholds are shares of the fleet's work: above the high one a client becomes suspected, and below the
//     low one a heavy client starts to cool.
//   - A rejected request is a request of a heavy client that is refused so that others are served.
//
// # Invariants
//
//   - Whatever one origin reports, a client is heavy only if its share of the work that the other origins reported reaches the
//     high threshold. The largest total of the others counts for no more than four times the next. See fleet.share. (TestOneFalseOrigin
//     generates such origins.)
//   - A sidecar that is alone or partitioned uses only its own counts, and so do all sidecars once reports have exceeded their
//     TTL.
//   - Each origin counts once: its newest report replaces its older ones, even if reports are reordered, duplicated or late.
//   - A heavy client keeps its max-min fair share among all clients, and in the worst case a tenth of the low threshold's share
//     of what is served. Other clients lose nothing to it, and while there is capacity no client loses anything.
//   - Memory is bounded whatever the names of clients: under 64 kB with 300 origins.
package hitters

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Time is a reading of the host's monotonic clock, relative to an arbitrary origin.
type Time = time.Duration

// Bounds of what is counted, stored and reported.
const (
	maxCounters         = 64   // clients counted in a window; a count is too low by at most 1/65 of the total
	windows             = 2    // windows covered by a report
	maxNamed            = 11   // clients named in a report
	maxOrigins          = 1024 // origins whose reports are stored
	maxClients          = 48   // clients in a state other than quiet: as many as can be above the low threshold
	namedFraction       = 4    // a report names clients whose share of its work is above HighThreshold/namedFraction
	maxReportsPerWindow = 150  // of all sidecars together
	maxNameBytes        = 24   // of a client's name, kept for logs
	fullShare           = math.MaxUint16
	maxTotal            = 1 << 44   // microseconds of work per second
	maxRequestWork      = time.Hour // of one request
	maxDuration         = 10 * time.Minute
)

// Bounds of the settings.
const (
	minHighThreshold = 2. / maxCounters // a lower share could not be distinguished from the error of the counts
	minLowThreshold  = 1. / maxClients
	minWindow        = 10 * time.Millisecond
)

// Settings configures a Detector.
type Settings struct {
	Origin        uint64        // identifies this sidecar: Key of its name
	HighThreshold float64       // share of the fleet's work above which a client is suspected
	LowThreshold  float64       // share of the fleet's work below which a heavy client starts to cool
	Window        time.Duration // length of a window; a report covers two
	// SuspicionTime is how long a suspected client must stay above HighThreshold to become heavy. It should be a little less
	// than a whole number of windows because windows do not end exactly on time.
	SuspicionTime time.Duration
	CoolingTime   time.Duration // how long a cooling client is remembered
	ReportTTL     time.Duration // older reports are ignored
}

// Defaults returns the default settings of a sidecar, without Origin.
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

// SettingsError reports an invalid field of the settings.
type SettingsError struct {
	Field   string
	Problem string
}

func (e *SettingsError) Error() string { return "field " + e.Field + ": " + e.Problem }

// check validates the settings. Its error names the invalid field.
func (s Settings) check() error {
	if !(s.HighThreshold >= minHighThreshold && s.HighThreshold < 1) {
		problem := fmt.Sprintf("%v is not in the range from %.3f to below 1", s.HighThreshold, minHighThreshold)
		return &SettingsError{Field: "HighThreshold", Problem: problem}
	}
	if !(s.LowThreshold >= minLowThreshold && s.LowThreshold <= s.HighThreshold) {
		problem := fmt.Sprintf("%v is not in the range from %.3f to HighThreshold", s.LowThreshold, minLowThreshold)
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
	return &SettingsError{Field: field, Problem: fmt.Sprintf("%v is not in the range from %v to %v", value, low, maxDuration)}
}

// Key returns the 64-bit xxHash of the name of a client or origin, seeded with a salt that the fleet shares. Someone who knows
// the salt can construct a name that collides with another; both then count as one.
func Key(salt uint64, name string) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(salt)
	_, _ = digest.WriteString(name) // never fails
	return digest.Sum64()
}
