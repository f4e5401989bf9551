package quotarpc

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/distribution/rpc"
	"gradeusher.example/gradeusher/internal/system/quota"
	"gradeusher.example/gradeusher/internal/system/quota/quotapb"
)

// LimiterOptions configure a LimiterServer. ID, Followed, ControlPlanePort and Log are required.
type LimiterOptions struct {
	ID               quota.LimiterID
	Bounds           quota.Bounds
	Followed         func() string // returns the address of the control-plane node that the proxy follows; empty if none
	ControlPlanePort int
	Transport        http.RoundTripper // nil means NewTransport
	Log              log.Interface
	Knobs            TestingKnobs
}

// LimiterServer is the limiter of a proxy: it decides on requests of this proxy and of others
// in its zone according to the leases that it holds, and renews these leases at the allocator.
//
// Invariant: each take reads the clock under the same lock under which it spends tokens, so
// that no lease is used after it has expired, no matter how long the process was paused.
type LimiterServer struct {
	options   LimiterOptions
	startedAt time.Time
	caller    leaseCaller
	limits    limitTable
	counters  limiterCounters
	wake      chan struct{} // capacity 1; makes Run check the leases again

	mu        sync.Mutex // guards the fields below
	limiter   *quota.Limiter
	waiting   map[quota.Ticket]chan<- quota.Resolution // each has capacity 1
	hasLeft   bool
	steppedAt time.Duration // time of the last step of Run
}

// NewLimiterServer returns a limiter that holds no leases. It requests leases while Run runs.
func NewLimiterServer(options LimiterOptions) *LimiterServer {
	if options.Transport == nil {
		options.Transport = NewTransport()
	}
	return &LimiterServer{
		options:   options,
		startedAt: time.Now(),
		caller: leaseCaller{
			followed:         options.Followed,
			controlPlanePort: options.ControlPlanePort,
			http:             &http.Client{Transport: rpc.BoundedTransport{Next: options.Transport}},
			knobs:            options.Knobs,
		},
		wake:    make(chan struct{}, 1),
		limiter: quota.NewLimiter(quota.LimiterOptions{ID: options.ID, Bounds: options.Bounds}),
		waiting: map[quota.Ticket]chan<- quota.Resolution{},
	}
}

// Handler returns the handler for calls of other proxies of the zone, under /twirp/gradeusher.quota.Limiting/.
func (s *LimiterServer) Handler() http.Handler {
	return rpc.BoundedHandler(quotapb.NewLimitingServer(s))
}

// SetConfig applies the limits of a configuration, which must not be modified afterwards. A nil configuration is ignored.
func (s *LimiterServer) SetConfig(newest *config.Config) {
	if !s.limits.update(newest) {
		return
	}
	s.mu.Lock()
	s.limiter.Announce(s.limits.hasLimited())
	s.mu.Unlock()
	s.requestStep()
}

// Take implements quotapb.Limiting.
func (s *LimiterServer) Take(ctx context.Context, message *quotapb.TakeRequest) (*quotapb.TakeReply, error) {
	s.counters.takes.Add(1)
	count := int(min(message.GetCount(), maxWaitingPerTenant))
	taken := s.Decide(ctx, message.GetTenant(), count, durationFromMilliseconds(uint64(message.GetWaitMs())))
	return takeResultToProto(message.GetCall(), taken), nil
}

// Decide decides on count requests of a tenant. Requests for which the allocator must be asked wait until maxWait or 400 ms have passed or
// ctx ends, whichever comes first. All requests are Unavailable if the newest configuration known here has no such tenant, and after Leave.
func (s *LimiterServer) Decide(ctx context.Context, tenant string, count int, maxWait time.Duration) TakeResult {
	limit, known := s.limits.limit(tenant)
	switch {
	case !known:
		return unavailable(count)
	case limit.Unlimited():
		return TakeResult{Admitted: count}
	}
	decision, resolved := s.take(tenant, limit, count)
	if decision.NeedsLease {
		s.requestStep()
	}
	taken := resultFromDecision(decision)
	if decision.Waiting > 0 {
		taken = taken.plus(s.awaitResolution(ctx, decision, resolved, maxWait))
	}
	s.counters.count(taken)
	return taken
}

// take asks the limiter. The returned channel, which has capacity 1, receives the resolution of the requests that wait.
func (s *LimiterServer) take(tenant string, limit quota.Limit, count int) (quota.Decision, <-chan quota.Resolution) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasLeft {
		return quota.Decision{Unavailable: count}, nil
	}
	decision := s.limiter.Take(s.decisionTime(), tenant, limit, count)
	if decision.Waiting == 0 {
		return decision, nil
	}
	resolved := make(chan quota.Resolution, 1)
	s.waiting[decision.Ticket] = resolved
	return decision, resolved
}

// awaitResolution waits for the resolution of the waiting requests. Those that are not decided
// on in time are Unavailable; tokens that the limiter grants them later are lost.
func (s *LimiterServer) awaitResolution(ctx context.Context, decision quota.Decision, resolved <-chan quota.Resolution, maxWait time.Duration) TakeResult {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case resolution := <-resolved:
		return resultFromResolution(resolution)
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, decision.Ticket)
	return unavailable(decision.Waiting)
}

// Run requests and renews leases until ctx ends. It must be called only once.
func (s *LimiterServer) Run(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		step := s.step()
		if step.due {
			calls.Go(func() { s.call(ctx, step.request) })
		}
		timer.Stop()
		if step.scheduled {
			timer.Reset(step.wait)
		}
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-timer.C:
		}
	}
}

// leaseStep is the result of one check of the leases.
type leaseStep struct {
	request   quota.LeaseRequest // to be sent now, if due
	due       bool
	wait      time.Duration // until the next step, if scheduled
	scheduled bool
}

// minStepWait is the minimum time between two steps that are triggered only by the timer.
const minStepWait = time.Millisecond

// step resolves the requests that have waited too long, and returns the lease request that is due, if any.
func (s *LimiterServer) step() leaseStep {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.steppedAt = now
	s.resolve(s.limiter.Expire(now))
	var step leaseStep
	step.request, step.due = s.limiter.NextRequest(now)
	at, scheduled := s.limiter.NextCall(now)
	step.wait, step.scheduled = max(at-now, minStepWait), scheduled
	return step
}

// call makes a lease call and processes its outcome.
func (s *LimiterServer) call(ctx context.Context, request quota.LeaseRequest) {
	s.counters.leaseCalls.Add(1)
	reply, err := s.caller.lease(ctx, request)
	if err != nil {
		s.counters.leaseFailures.Add(1)
		s.options.Log.WithError(err).Debug("quota: a lease call failed; it will be retried")
	}
	s.handleLeaseReply(request.Sequence, reply, err)
	s.requestStep()
}

// handleLeaseReply passes the outcome of a lease call to the limiter.
func (s *LimiterServer) handleLeaseReply(sequence uint64, reply quota.LeaseReply, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.resolve(s.limiter.Fail(s.now(), sequence))
		return
	}
	s.resolve(s.limiter.Receive(s.now(), reply))
}

// resolve sends resolutions to the goroutines that wait for them. The caller must hold mu.
func (s *LimiterServer) resolve(resolutions []quota.Resolution) {
	for _, resolution := range resolutions {
		if waiting, ok := s.waiting[resolution.Ticket]; ok {
			delete(s.waiting, resolution.Ticket)
			waiting <- resolution
		}
	}
}

// Leave returns all leases and makes later requests Unavailable. It notifies the allocator in a single call with a timeout of 500 ms.
func (s *LimiterServer) Leave(ctx context.Context) error {
	request, leaving := s.beginLeave()
	if !leaving {
		return nil
	}
	_, err := s.caller.lease(ctx, request)
	return err
}

// beginLeave stops using all leases and returns the request that reports this. It
// returns false if no lease call was ever made, or if Leave was called before.
func (s *LimiterServer) beginLeave() (quota.LeaseRequest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasLeft {
		return quota.LeaseRequest{}, false
	}
	s.hasLeft = true
	request, resolutions := s.limiter.Leave(s.now())
	s.resolve(resolutions)
	return request, s.counters.leaseCalls.Load() > 0
}

// requestStep makes Run check the leases again.
func (s *LimiterServer) requestStep() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// decisionTime returns the time as of which requests are decided on. It is the current
// time, because a paused process may resume at any point. The caller must hold mu.
func (s *LimiterServer) decisionTime() time.Duration {
	if s.options.Knobs.TakeAtLastStep {
		return s.steppedAt
	}
	return s.now()
}

// now returns the time on the limiter's clock, which starts with the process.
func (s *LimiterServer) now() time.Duration { return time.Since(s.startedAt) }
