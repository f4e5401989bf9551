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
	RequestedAt, ReceivedAt time.Time
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

	Interval          time.Duration // from the start of one poll to that of the next; 0: 500 ms
	MaxCallsPerSecond float64       // the most calls a second of the holder, pages counted; 0: 4. A tenth of rate_per_s is meant
	StaleAfter        time.Duration // a list older than this is polled by others than the holder as well; 0: 2 s
	Log               log.Interface
}

// Poller reads the list again and again while it holds the duty. One that does not hold it steps in, rarely and at a
// random moment, when the list in use grows old: so a holder that is cut off from the platform costs freshness for a
// bound only.
type Poller struct {
	options PollerOptions
	backoff pollBackoff
	standby ownership.Standby
}

// NewPoller makes a poller; Run starts it.
func NewPoller(options PollerOptions) *Poller {
	if options.Interval <= 0 {
		options.Interval = 500 * time.Millisecond
	}
	if !(options.MaxCallsPerSecond > 0) {
		options.MaxCallsPerSecond = 4
	}
	if options.StaleAfter <= 0 {
		options.StaleAfter = 2 * time.Second
	}
	if options.Log == nil {
		options.Log = log.Log
	}
	return &Poller{
		options: options,
		backoff: pollBackoff{interval: options.Interval, perCall: time.Duration(float64(time.Second) / options.MaxCallsPerSecond)},
		standby: ownership.Standby{Interval: options.Interval, After: options.StaleAfter},
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
		timer.Reset(p.poll(ctx))
	}
}

// poll polls once if it should, and gives how long to wait for the next.
func (p *Poller) poll(ctx context.Context) time.Duration {
	fence, owns := p.options.Ownership()
	newestFence, version, age := p.options.Newest()
	if fence < newestFence {
		// Somebody acts under a newer fence: what this one would give is refused anyway.
		return p.options.Interval
	}
	act, next := p.standby.Next(owns, age, rand.Float64())
	if !act {
		p.backoff.failures = 0
		return next
	}
	start, callsBefore := time.Now(), p.options.Lister.Calls()
	list, err := p.options.Lister.List(ctx, "")
	spent := time.Since(start)
	wait := max(next, p.backoff.next(int(p.options.Lister.Calls()-callsBefore), err))
	if err != nil {
		if ctx.Err() == nil {
			p.options.Log.WithError(err).Warn("platform: list not read, the old one stays in use")
		}
		return max(0, wait-spent)
	}
	if fence == newestFence {
		version++
	} else {
		version = 1
	}
	p.options.OnResult(Result{Fence: fence, Version: version, Instances: list, RequestedAt: start, ReceivedAt: start.Add(spent)})
	return max(0, wait-spent)
}

// pollBackoff decides how long to wait from the start of one poll to that of the next. It is pure.
type pollBackoff struct {
	interval time.Duration // the shortest wait
	perCall  time.Duration // for each call that a poll took, so that their rate is bounded
	failures int           // in a row
}

// The longest waits after failures in a row.
const (
	maxFailureWait   = 2 * time.Second
	maxRateLimitWait = 4 * time.Second
)

func (p *pollBackoff) next(calls int, err error) time.Duration {
	wait := max(p.interval, time.Duration(calls)*p.perCall)
	if err == nil {
		p.failures = 0
		return wait
	}
	p.failures++
	maxWait, minWait := maxFailureWait, wait
	if errors.Is(err, ErrRateLimited) {
		maxWait, minWait = maxRateLimitWait, max(2*wait, RetryAfter(err))
		wait *= 2
	}
	for range min(p.failures, 5) - 1 {
		wait *= 2
	}
	return max(min(wait, maxWait), minWait)
}
