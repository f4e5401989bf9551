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

// LimiterOptions are what a LimiterServer needs. ID, Followed, ControlPlanePort and Log must be given.
type LimiterOptions struct {
	ID               quota.LimiterID
	Bounds           quota.Bounds
	Followed         func() string // address of the control-plane node that the proxy follows; empty: none
	ControlPlanePort int
	Transport        http.RoundTripper // nil: NewTransport
	Log              log.Interface
	Knobs            TestingKnobs
}

// LimiterServer is the limiter of a proxy: it decides on requests of the proxy and of others of its zone by the leases that it holds,
// and renews these at the allocator.
//
// Invariant: each take reads the clock under the lock under which it spends tokens, so that no lease is used after its end, however
// long the process was paused.
type LimiterServer struct {
	options   LimiterOptions
	startedAt time.Time
	caller    leaseCaller
	limits    limitTable
	counters  limiterCounters
	wake      chan struct{} // room for one: the leases are to be looked at again

	mu        sync.Mutex // guards what follows
	limiter   *quota.Limiter
	waiting   map[quota.Ticket]chan<- quota.Resolution // each with room for one
	left      bool
	steppedAt time.Duration // the last step of Run
}

// NewLimiterServer returns a limiter that holds no lease. Run makes it lease.
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

// Handler serves other proxies of the zone, under /twirp/gradeusher.quota.Limiting/.
func (s *LimiterServer) Handler() http.Handler {
	return rpc.BoundedHandler(quotapb.NewLimitingServer(s))
}

// SetConfig has the limits of a configuration in force from now on. It must not be changed later; nil changes nothing.
func (s *LimiterServer) SetConfig(newest *config.Config) {
	if !s.limits.use(newest) {
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
	return takenToProto(message.GetCall(), taken), nil
}

// Decide decides on some requests of a tenant. Those for which the allocator must be asked wait no longer than maxWait, 400 ms and ctx.
// All are Unavailable where the newest configuration here has no such tenant, and after Leave.
func (s *LimiterServer) Decide(ctx context.Context, tenant string, count int, maxWait time.Duration) Taken {
	limit, known := s.limits.limit(tenant)
	switch {
	case !known:
		return unavailable(count)
	case limit.Unlimited():
		return Taken{Admitted: count}
	}
	decision, resolved := s.take(tenant, limit, count)
	if decision.NeedsLease {
		s.requestStep()
	}
	taken := takenFromDecision(decision)
	if decision.Waiting > 0 {
		taken = taken.plus(s.await(ctx, decision, resolved, maxWait))
	}
	s.counters.count(taken)
	return taken
}

// take asks the limiter. The channel gets what becomes of the requests that wait; it has room for that.
func (s *LimiterServer) take(tenant string, limit quota.Limit, count int) (quota.Decision, <-chan quota.Resolution) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left {
		return quota.Decision{Unavailable: count}, nil
	}
	decision := s.limiter.Take(s.takeTime(), tenant, limit, count)
	if decision.Waiting == 0 {
		return decision, nil
	}
	resolved := make(chan quota.Resolution, 1)
	s.waiting[decision.Ticket] = resolved
	return decision, resolved
}

// await waits for what becomes of the requests that wait. Those on which nothing is decided in time are Unavailable; what the
// limiter grants them later is spent in vain.
func (s *LimiterServer) await(ctx context.Context, decision quota.Decision, resolved <-chan quota.Resolution, maxWait time.Duration) Taken {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case resolution := <-resolved:
		return takenFromResolution(resolution)
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, decision.Ticket)
	return unavailable(decision.Waiting)
}

// Run leases until ctx ends. It is called once.
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

// leaseStep is what there is to do for the leases.
type leaseStep struct {
	request   quota.LeaseRequest // to be sent now, where one is due
	due       bool
	wait      time.Duration // until the next step, where one is scheduled
	scheduled bool
}

// minStepWait is the least time between two steps that nothing but the clock asks for.
const minStepWait = time.Millisecond

// step ends the waits that have been too long, and takes the request that is due.
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

// call makes a lease call and takes in what comes of it.
func (s *LimiterServer) call(ctx context.Context, request quota.LeaseRequest) {
	s.counters.leaseCalls.Add(1)
	reply, err := s.caller.lease(ctx, request)
	if err != nil {
		s.counters.leaseFailures.Add(1)
		s.options.Log.WithError(err).Debug("quota: a lease call failed; it is made again")
	}
	s.handleLeaseReply(request.Sequence, reply, err)
	s.requestStep()
}

// handleLeaseReply takes in the outcome of a call.
func (s *LimiterServer) handleLeaseReply(sequence uint64, reply quota.LeaseReply, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.resolve(s.limiter.Fail(s.now(), sequence))
		return
	}
	s.resolve(s.limiter.Receive(s.now(), reply))
}

// resolve tells those that wait what has become of their requests. The caller holds mu.
func (s *LimiterServer) resolve(resolutions []quota.Resolution) {
	for _, resolution := range resolutions {
		if waiting, ok := s.waiting[resolution.Ticket]; ok {
			delete(s.waiting, resolution.Ticket)
			waiting <- resolution
		}
	}
}

// Leave gives all leases back and has later requests found Unavailable. The allocator gets to know by one call, within 500 ms.
func (s *LimiterServer) Leave(ctx context.Context) error {
	request, leaving := s.beginLeave()
	if !leaving {
		return nil
	}
	_, err := s.caller.lease(ctx, request)
	return err
}

// beginLeave ends the use of all leases; false: no lease call was ever made, or Leave was called before.
func (s *LimiterServer) beginLeave() (quota.LeaseRequest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left {
		return quota.LeaseRequest{}, false
	}
	s.left = true
	request, resolutions := s.limiter.Leave(s.now())
	s.resolve(resolutions)
	return request, s.counters.leaseCalls.Load() > 0
}

// requestStep has Run look at the leases again.
func (s *LimiterServer) requestStep() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// takeTime is the time as of which requests are decided on: now, as a process that was paused wakes in the middle of anything. The
// caller holds mu.
func (s *LimiterServer) takeTime() time.Duration {
	if s.options.Knobs.TakeAtLastStep {
		return s.steppedAt
	}
	return s.now()
}

// now is the time on the clock of the limiter, which starts with the process.
func (s *LimiterServer) now() time.Duration { return time.Since(s.startedAt) }
