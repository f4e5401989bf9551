package hitters

import (
	"fmt"
	"math"
)

const (
	// confidenceDeviations is the number of standard deviations from a share to the threshold: of few requests
	// it may be chance.
	confidenceDeviations = 2.5
	// maxTotalRatio is how many times the next origin's total the largest one counts for.
	maxTotalRatio = 4
)

// Detector holds what the origins reported, and who is heavy by it. It must not be used by two goroutines at
// once.
type Detector struct {
	settings Settings
	current  window          // of this sidecar, being counted
	closed   [windows]window // the last ones
	seq      uint64          // of the own reports
	reports  []*storedReport // by origin
	clients  []*Client       // by key
	rejected uint64          // requests
	capacity float64         // work that servers do, as far as is known, in microseconds a second
	// unusedCapacity is how much of it is admitted besides what is served, as it seems to be left undone.
	unusedCapacity float64
}

// New returns a Detector, or an error that says what is wrong with the settings. Without settings there is
// none.
func New(set *Settings) (*Detector, error) {
	if set == nil {
		return nil, nil
	}
	if err := set.check(); err != nil {
		return nil, fmt.Errorf("hitters: %w", err)
	}
	return &Detector{settings: *set}, nil
}

// Rejected counts the requests that ShouldReject rejected.
func (d *Detector) Rejected() uint64 { return d.rejected }

// Clients returns those that are held, by key. They change at the next EndWindow.
func (d *Detector) Clients() []*Client { return d.clients }

// EndWindow ends a window and moves the clients on. It returns the report that the others are to get, and the
// clients whose state changed. The host calls it every Settings.Window.
func (d *Detector) EndWindow(now Time) (own OriginReport, changed []Client) {
	own = d.closeWindow(now)
	next := d.secondLargestTotal()
	// One origin could hide all clients behind a total without bound.
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

// shareEstimate is a client's share of the fleet's work.
type shareEstimate struct {
	likely     float64
	lowerBound float64 // less a margin for chance
}

// share is a client's share of the fleet's work, less what the other origin reports that reports most of it.
// One origin that lies could otherwise have any client be taken for heavy: what it reports adds to the total;
// to this sum it adds nothing, or less than the honest one left out for it. So a client that comes by one
// sidecar alone is heavy there, by its own count, and nowhere else.
func (f fleet) share(t tally) shareEstimate {
	share := float64(t.total-t.largestOther) / math.Max(float64(f.total), 1)
	deviation := math.Sqrt(share * (1 - share) / math.Max(float64(f.requests), 1))
	return shareEstimate{likely: share, lowerBound: share - confidenceDeviations*deviation}
}

// nextState is the state that a client goes to: up by what is sure, down by what is not even likely.
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
