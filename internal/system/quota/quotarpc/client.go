package quotarpc

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/distribution/rpc"
	"gradeusher.example/gradeusher/internal/system/quota"
	"gradeusher.example/gradeusher/internal/system/quota/quotapb"
)

const (
	// limiterCallTimeout is the timeout of a call to another proxy's limiter.
	limiterCallTimeout = 450 * time.Millisecond
	// remoteWait is how long a called limiter may wait for the allocator: less than the timeout of
	// the call, so that a limiter that is waiting can be distinguished from an unreachable one.
	remoteWait = 400 * time.Millisecond
	// maxUndecidedWait is the longest time that a limiter may take without deciding on all requests for the next one still to be
	// asked. If it takes longer, the allocator does not answer, and asking another limiter would only delay the refusal.
	maxUndecidedWait = remoteWait / 2
	// maxAdmissionWait is the maximum time that a request waits for its admission.
	maxAdmissionWait = time.Second
	// maxAdmissionAge is the maximum time between a request's call of Admit and the use of its admission. An admission comes later
	// than maxAdmissionWait only if the process was paused. The limiter then counted the request in a window that has passed.
	maxAdmissionAge = maxAdmissionWait + 100*time.Millisecond
)

// OwnLimiter is the limiter of this proxy.
type OwnLimiter interface {
	// Decide decides on count requests of a tenant. It waits for the allocator no longer than maxWait.
	Decide(ctx context.Context, tenant string, count int, maxWait time.Duration) TakeResult
}

// ClientOptions configure a Client. Self, Limiter and Log are required.
type ClientOptions struct {
	Self      string // this proxy's node
	Limiter   OwnLimiter
	Transport http.RoundTripper // nil means NewTransport
	Log       log.Interface
	Knobs     TestingKnobs
}

// Client asks the limiters of its zone to admit the requests of a proxy. It is safe for concurrent use.
type Client struct {
	options    ClientOptions
	http       *http.Client
	callIDs    rpc.CallIDs
	candidates *candidateSet
	batches    *batcher
	counters   clientCounters
	refusals   refusalLog
}

// NewClient returns a client that knows only its own limiter until SetPeers is called.
func NewClient(options ClientOptions) *Client {
	if options.Transport == nil {
		options.Transport = NewTransport()
	}
	created := &Client{
		options:    options,
		http:       &http.Client{Transport: rpc.BoundedTransport{Next: options.Transport}},
		candidates: newCandidateSet(options.Self, options.Knobs),
	}
	created.batches = newBatcher(created.decideBatch, options.Knobs)
	return created
}

// SetPeers replaces the live proxies of this proxy's zone.
func (c *Client) SetPeers(peers []Peer) { c.candidates.setPeers(peers) }

// HasPeers reports whether the zone has another live proxy to ask.
func (c *Client) HasPeers() bool { return c.candidates.hasPeers() }

// Close makes later requests Unavailable, and returns once the calls in flight have ended, after at most 1 s.
func (c *Client) Close() { c.batches.close() }

// Admit decides on a request of a tenant within 1 s, or earlier if ctx ends. Requests of an unlimited tenant are admitted immediately.
func (c *Client) Admit(ctx context.Context, tenant *config.Tenant) quota.Admission {
	if limitOf(tenant).Unlimited() {
		return quota.Admission{Verdict: quota.Admitted}
	}
	askedAt := time.Now()
	admission := c.decide(ctx, tenant.Name)
	if c.isLate(askedAt) {
		admission = quota.Admission{Verdict: quota.Unavailable}
	}
	c.counters.count(admission)
	if admission.Verdict != quota.Admitted {
		c.refusals.record(time.Now(), tenant.Name, admission.Verdict)
	}
	return admission
}

// isLate reports whether the decision on a request made at askedAt is too old to be used.
func (c *Client) isLate(askedAt time.Time) bool {
	return time.Since(askedAt) > maxAdmissionAge && !c.options.Knobs.UseLateAdmissions
}

// decide asks the own limiter directly if it is the first candidate. Otherwise the request joins a batched call.
func (c *Client) decide(ctx context.Context, tenant string) quota.Admission {
	candidates := c.candidates.inOrder(time.Now(), tenant)
	if candidates[0].Node != c.options.Self {
		return c.batches.admit(ctx, tenant)
	}
	ctx, cancel := context.WithTimeout(ctx, maxAdmissionWait)
	defer cancel()
	return c.askInOrder(ctx, candidates, tenant, 1).admission(0)
}

// decideBatch decides on the requests of one batch.
func (c *Client) decideBatch(tenant string, count int) TakeResult {
	ctx, cancel := context.WithTimeout(context.Background(), maxAdmissionWait)
	defer cancel()
	return c.askInOrder(ctx, c.candidates.inOrder(time.Now(), tenant), tenant, count)
}

// askInOrder asks the candidates one after the other, each about the requests that the previous ones have not decided on.
func (c *Client) askInOrder(ctx context.Context, candidates []Peer, tenant string, count int) TakeResult {
	var decided TakeResult
	undecided := count
	for _, candidate := range candidates {
		askedAt := time.Now()
		taken, err := c.ask(ctx, candidate, tenant, undecided)
		if ctx.Err() != nil && err != nil {
			break // ctx ended, so the error is not a failure of the limiter
		}
		if err != nil {
			c.recordFailure(candidate, err)
			continue
		}
		undecided = taken.Unavailable
		taken.Unavailable = 0
		decided = decided.plus(taken)
		if undecided == 0 || time.Since(askedAt) > maxUndecidedWait {
			break
		}
	}
	return decided.plus(unavailable(undecided))
}

// ask asks one limiter: the own one directly, any other one by a call.
func (c *Client) ask(ctx context.Context, candidate Peer, tenant string, count int) (TakeResult, error) {
	if candidate.Node == c.options.Self {
		return c.options.Limiter.Decide(ctx, tenant, count, maxAdmissionWait), nil
	}
	return c.call(ctx, candidate, tenant, count)
}

// recordFailure makes a limiter that did not answer be skipped for a while.
func (c *Client) recordFailure(candidate Peer, err error) {
	c.counters.failures.Add(1)
	c.candidates.recordFailure(time.Now(), candidate.Node)
	c.options.Log.WithField("limiter", candidate.Node).WithError(err).Debug("quota: a limiter did not answer; trying the next one")
}

// call makes one call to the limiter of another proxy.
func (c *Client) call(ctx context.Context, candidate Peer, tenant string, count int) (TakeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, limiterCallTimeout)
	defer cancel()
	c.counters.calls.Add(1)
	request := &quotapb.TakeRequest{
		Call:   c.callIDs.Next(),
		Tenant: tenant,
		Count:  countToProto(count),
		WaitMs: uint32(remoteWait / time.Millisecond),
	}
	reply, err := quotapb.NewLimitingProtobufClient("http://"+candidate.Address, c.http).Take(ctx, request)
	if err != nil {
		return TakeResult{}, err
	}
	if err := rpc.CheckReply(request.GetCall(), reply.GetCall()); err != nil && !c.options.Knobs.AcceptAnyReply {
		c.http.CloseIdleConnections()
		return TakeResult{}, err
	}
	return takeResultFromProto(count, reply), nil
}
