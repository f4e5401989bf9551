package hitters

import (
	"fmt"
	"math"
)

const (
	// confidenceDeviations is the number of standard deviations by which a share must exceed the threshold. With
	// few requests, a high share may be chance.
	confidenceDeviations = 2.5
	// maxTotalRatio caps the largest total of an origin at this multiple of the next one.
	maxTotalRatio = 4
)

// Detector stores the reports of the origins and determines from them which clients are heavy. It must not be
// used by several goroutines concurrently.
type Detector struct {
	settings Settings
	current  window          // this sidecar's open window
	closed   [windows]window // the last closed windows
	seq      uint64          // sequence number of this sidecar's reports
	reports  []*storedReport // sorted by origin
	clients  []*Client       // sorted by key
	rejected uint64          // number of rejected requests
	capacity float64         // estimate of the work that servers can do, in microseconds per second
	// unusedCapacity is the part of the capacity that seems unused and is admitted in addition to the served
	// work.
	unusedCapacity float64
}

// New returns a Detector, or an error if the settings are invalid. Without settings it returns nil.
func New(set *Settings) (*Detector, error) {
	if set == nil {
		return nil, nil
	}
	if err := set.check(); err != nil {
		return nil, fmt.Errorf("hitters: %w", err)
	}
	return &Detector{settings: *set}, nil
}

// Rejected returns the number of requests that ShouldReject rejected.
func (d *Detector) Rejected() uint64 { return d.rejected }

// Clients returns the tracked clients, sorted by key. They change at the next EndWindow.
func (d *Detector) Clients() []*Client { return d.clients }

// EndWindow closes a window and updates the states of the clients. It returns the report to send to the other
// sidecars, and the clients whose state changed. The host calls it every Settings.Window.
func (d *Detector) EndWindow(now Time) (own OriginReport, changed []Client) {
	own = d.closeWindow(now)
	next := d.secondLargestTotal()
	// With an unbounded total, one origin could hide all heavy clients.
	f, tallies := d.sumReports(maxTotalRatio * next)
	for _, t := range tallies {
		c := d.client(t.key)
		estimate := f.share(t)
		c.setShare(estimate.likely, t, f)
		if state := d.nextState(c, estimate, now); state != c.State {
			c.State = state
			c.Since = now
			d.storeClient(c)
			changed = append(changed, *c)
		}
	}
	d.setAdmittedShares(f, tallies)
	return own, changed
}

// shareEstimate is an estimate of a client's share of the fleet's work.
type shareEstimate struct {
	likely     float64
	lowerBound float64 // likely minus a margin for chance
}

// share returns a client's share of the fleet's work, leaving out the largest part of the client's work that
// another origin reports. Otherwise one origin with a false report could make any client count as heavy. A
// false report still adds to the fleet's total, but to the client's work it adds nothing, or less than the
// honest report left out in its place. So a client that sends all its requests through one sidecar is heavy
// there, by that sidecar's own count, and nowhere else.
func (f fleet) share(t tally) shareEstimate {
	share := float64(t.total-t.largestOther) / math.Max(float64(f.total), 1)
	deviation := math.Sqrt(share * (1 - share) / math.Max(float64(f.requests), 1))
	return shareEstimate{likely: share, lowerBound: share - confidenceDeviations*deviation}
}

// nextState returns the next state of a client. A client becomes suspected by the lower bound of its share,
// and stops being heavy by its likely share.
func (d *Detector) nextState(client *Client, estimate shareEstimate, now Time) State {
	isHigh, inState := estimate.lowerBound >= d.settings.HighThreshold, now-client.Since
	switch client.State {
	case Quiet:
		if isHigh {
			return Suspected
		}
	case Suspected:
		if !isHigh {
			return Quiet
		}
		if inState >= d.settings.SuspicionTime {
			return Heavy
		}
	case Heavy:
		if estimate.likely < d.settings.LowThreshold {
			return Cooling
		}
	case Cooling:
		if isHigh {
			return Heavy
		}
		if inState >= d.settings.CoolingTime {
			return Quiet
		}
	}
	return client.State
}
