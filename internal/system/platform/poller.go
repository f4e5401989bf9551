package platform

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/defaults"
	"gradeusher.example/gradeusher/internal/system/ownership"
)

// Lister reads the list for a Poller. Client implements it.
type Lister interface {
	List(ctx context.Context, zone string) ([]Instance, error)
	Calls() uint64 // requests sent so far, one per page
}

// Result is a complete list. One with a higher (Fence, Version) replaces one with a lower.
type Result struct {
	Fence, Version uint64
	Instances      []Instance

	// RequestedAt is when the first page was requested, ReceivedAt when the last one had arrived, both by the monotonic clock.
	// Instance.Remaining counts from a moment between them, Instance.WarmUpLeft from ReceivedAt.
	RequestedAt, ReceivedAt time.Time
}

// ListVersion identifies how recent a list is. One with a higher (Fence, Version) replaces one with a lower.
type ListVersion struct {
	Fence   uint64 // the fencing token under which it was read
	Version uint64
	Age     time.Duration // upper bound of the time since it was read from the platform
}

// next returns the version of a result that is read under fence, which must not be lower than v.Fence.
func (v ListVersion) next(fence uint64) uint64 {
	if fence == v.Fence {
		return v.Version + 1
	}
	return 1
}

// PollerOptions configure a Poller. Lister, Ownership, Newest and OnResult are required.
type PollerOptions struct {
	Lister Lister
	// Ownership returns the fencing token of this process and whether the process owns the polling role.
	Ownership func() (fence uint64, owns bool)
	// Newest returns the version and age of the list in use, regardless of which node read it. Versions continue from there, so that
	// results of a restarted poller are newer than earlier ones.
	Newest   func() ListVersion
	OnResult func(Result) // called by Run, one at a time

	Interval          time.Duration // from the start of one poll to that of the next; 0: 500 ms
	MaxCallsPerSecond float64       // of the owner, counting each page; 0: 4. The intended value is a tenth of the platform's rate_per_s
	StaleAfter        time.Duration // the age from which nodes other than the owner poll as well; 0: 2 s
	Log               log.Interface
}

// Poller reads the list periodically while its process owns the role. Other nodes poll rarely, at random times, once the list in use
// is stale, so that an owner that is partitioned from the platform delays updates only for a bounded time.
type Poller struct {
	options PollerOptions
	backoff pollBackoff
	standby ownership.Standby
}

// NewPoller returns a poller; Run starts it.
func NewPoller(options PollerOptions) *Poller {
	options.Interval = defaults.IfNotPositive(options.Interval, 500*time.Millisecond)
	if !(options.MaxCallsPerSecond > 0) {
		options.MaxCallsPerSecond = 4
	}
	options.StaleAfter = defaults.IfNotPositive(options.StaleAfter, 2*time.Second)
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

// poll reads the list if this process should poll now, and returns how long to wait until the next call to poll.
func (p *Poller) poll(ctx context.Context) time.Duration {
	fence, owns := p.options.Ownership()
	newest := p.options.Newest()
	if fence < newest.Fence {
		// Another node polls under a newer fencing token: a result under this one would be rejected.
		return p.options.Interval
	}
	act, next := p.standby.Next(owns, newest.Age, rand.Float64())
	if !act {
		p.backoff.failures = 0
		return next
	}
	start := time.Now()
	result, calls, err := p.read(ctx, start)
	wait := max(next, p.backoff.next(calls, err))
	switch {
	case err == nil:
		result.Fence, result.Version = fence, newest.next(fence)
		p.options.OnResult(result)
	case ctx.Err() == nil:
		p.options.Log.WithError(err).Warn("platform: failed to read the server list; the previous list stays in use")
	}
	return max(0, wait-result.ReceivedAt.Sub(start))
}

// read reads the list and counts the calls it took. RequestedAt and ReceivedAt of the result are set even if there is an error.
func (p *Poller) read(ctx context.Context, start time.Time) (result Result, calls int, err error) {
	callsBefore := p.options.Lister.Calls()
	result.RequestedAt = start
	result.Instances, err = p.options.Lister.List(ctx, "")
	result.ReceivedAt = start.Add(time.Since(start))
	return result, int(p.options.Lister.Calls() - callsBefore), err
}

// pollBackoff computes the wait from the start of one poll to that of the next.
type pollBackoff struct {
	interval time.Duration // the minimum wait
	perCall  time.Duration // the wait per call of a poll, which bounds the call rate
	failures int           // consecutive failures
}

// Maximum waits after consecutive failures.
const (
	maxFailureWait   = 2 * time.Second
	maxRateLimitWait = 4 * time.Second
)

// next returns the wait after a poll that took the given number of calls and returned err. The wait doubles with each consecutive
// failure, up to a maximum.
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
