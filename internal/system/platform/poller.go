package platform

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/ownership"
)

// Lister is what a Poller asks; a Client is one.
type Lister interface {
	List(ctx context.Context, zone string) ([]Instance, error)
	Calls() uint64 // calls sent so far, each page counted
}

// Result is a whole list. The higher (Fence, Version) replaces the lower.
type Result struct {
	Fence, Version uint64
	Instances      []Instance

	// The platform was asked and had answered, with its last page, at these moments of the monotonic clock. Remaining counts
	// from between them, ColdLeft from when the last page was made.
	Asked, Answered time.Time
}

// PollerOptions are those of a Poller.
type PollerOptions struct {
	Lister Lister
	// Duty tells whether this process is to poll now, and under which fence.
	Ownership func() (fence uint64, holds bool)
	// Newest tells what the list that is in use carries, wherever it came from, and how long ago it was read from the
	// platform. Versions go on from there, so a poller that was started again is not taken for an old one.
	Newest   func() (fence, version uint64, age time.Duration)
	OnResult func(Result) // called by Run, one at a time

	Interval   time.Duration // from the start of one poll to that of the next; 0: 500 ms
	CallRate   float64       // the most calls a second of the holder, pages counted; 0: 4. A tenth of rate_per_s is meant
	StaleAfter time.Duration // a list older than this is polled by others than the holder as well; 0: 2 s
	Log        log.Interface
}

// Poller reads the list again and again while it holds the duty. One that does not hold it steps in, rarely and at a
// random moment, when the list in use grows old: so a holder that is cut off from the platform costs freshness for a
// bound only.
type Poller struct {
	o       PollerOptions
	pace    pace
	standby ownership.Standby
}

// NewPoller makes a poller; Run starts it.
func NewPoller(o PollerOptions) *Poller {
	if o.Interval <= 0 {
		o.Interval = 500 * time.Millisecond
	}
	if !(o.CallRate > 0) {
		o.CallRate = 4
	}
	if o.StaleAfter <= 0 {
		o.StaleAfter = 2 * time.Second
	}
	if o.Log == nil {
		o.Log = log.Log
	}
	return &Poller{
		o:       o,
		pace:    pace{interval: o.Interval, gap: time.Duration(float64(time.Second) / o.CallRate)},
		standby: ownership.Standby{Interval: o.Interval, After: o.StaleAfter},
	}
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(p.step(ctx))
	}
}

// step polls once if it should, and gives how long to wait for the next.
func (p *Poller) step(ctx context.Context) time.Duration {
	fence, holds := p.o.Ownership()
	used, version, age := p.o.Newest()
	if fence < used {
		// Somebody acts under a newer fence: what this one would give is refused anyway.
		return p.o.Interval
	}
	act, next := p.standby.Next(holds, age, rand.Float64())
	if !act {
		p.pace.failures = 0
		return next
	}
	start, before := time.Now(), p.o.Lister.Calls()
	list, err := p.o.Lister.List(ctx, "")
	spent := time.Since(start)
	wait := max(next, p.pace.after(int(p.o.Lister.Calls()-before), err))
	if err != nil {
		if ctx.Err() == nil {
			p.o.Log.WithError(err).Warn("platform: list not read, the old one stays in use")
		}
		return max(0, wait-spent)
	}
	if fence == used {
		version++
	} else {
		version = 1
	}
	p.o.OnResult(Result{Fence: fence, Version: version, Instances: list, Asked: start, Answered: start.Add(spent)})
	return max(0, wait-spent)
}

// pace decides how long to wait from the start of one poll to that of the next. It is pure.
type pace struct {
	interval time.Duration // the shortest wait
	gap      time.Duration // for each call that a poll took, so that their rate is bounded
	failures int           // in a row
}

// The longest waits after failures in a row.
const (
	longestFailed = 2 * time.Second
	longestRate   = 4 * time.Second
)

func (p *pace) after(calls int, err error) time.Duration {
	wait := max(p.interval, time.Duration(calls)*p.gap)
	if err == nil {
		p.failures = 0
		return wait
	}
	p.failures++
	longest, shortest := longestFailed, wait
	if errors.Is(err, ErrRateLimited) {
		longest, shortest = longestRate, max(2*wait, RetryAfter(err))
		wait *= 2
	}
	for range min(p.failures, 5) - 1 {
		wait *= 2
	}
	return max(min(wait, longest), shortest)
}
