package balance

import (
	"cmp"
	"math"
	"time"

	"gradeusher.example/gradeusher/balance/hitters"
)

const (
	// refusalThreshold is the expected latency, as a share of the shortest latency target, above which an answer
	// is not worth its work.
	refusalThreshold = 0.85
	// overAllowanceShare is the threshold for requests beyond their tenant's allowance, as a share of the
	// class's.
	overAllowanceShare = 0.5
	// sheddingTime is how long classes of lower value are shed after all endpoints were full.
	sheddingTime = memoryTTL
	// minAllowance, in requests per second, keeps the share finite if there is no allowance.
	minAllowance = 1e-9
)

// shedding is the state that determines which requests are refused first.
type shedding struct {
	tenants        []tokenBucket
	totalAllowance float64           // of all tenants, in requests per second
	sheddingUntil  Time              // until when classes of lower value are refused sooner
	hitters        *hitters.Detector // nil: heavy clients are not detected
}

// tokenBucket meters this sidecar's share of a tenant's allowance.
type tokenBucket struct {
	tokens     float64
	refilledAt Time
}

func newShedding(tenants []Tenant, detector *hitters.Detector) shedding {
	s := shedding{tenants: make([]tokenBucket, len(tenants)), hitters: detector}
	for _, tenant := range tenants {
		s.totalAllowance += tenant.Allowance
	}
	return s
}

// takeToken refills the bucket, takes a token, and reports whether there was one. The bucket refills at
// allowance*share tokens per second and holds what memoryTTL adds, plus one.
func (t *tokenBucket) takeToken(allowance, share float64, now Time) bool {
	refilled := t.tokens + allowance*share*(now-t.refilledAt).Seconds()
	t.tokens = math.Min(refilled, 1+allowance*share*memoryTTL.Seconds())
	t.refilledAt = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// exceedsAllowance counts a request and reports whether it exceeds its tenant's allowance as far as this
// sidecar can tell. The sidecar's share of the allowance is the larger of an equal share and its own share of
// the traffic. Of a thousand sidecars most carry little traffic and some much more, and an equal share would
// be less than one request per second.
func (b *Balancer) exceedsAllowance(tenant int, now Time) bool {
	b.arrivals++
	if tenant < 0 || tenant >= len(b.tenants) {
		return false
	}
	share := math.Max(1/float64(b.settings.PeerCount),
		b.arrivals/memoryTTL.Seconds()/math.Max(b.totalAllowance, minAllowance))
	return !b.tenants[tenant].takeToken(b.settings.Tenants[tenant].Allowance, share, now)
}

// latencyThreshold returns the expected answer time, in seconds, above which a request is currently refused.
func (b *Balancer) latencyThreshold(q *request, now Time) float64 {
	threshold := refusalThreshold * b.shortestTarget
	if now < b.sheddingUntil {
		threshold = b.sheddingThreshold(q.Class)
	}
	if q.overAllowance {
		threshold *= overAllowanceShare
	}
	return threshold
}

// sheddingThreshold returns the expected answer time, in seconds, above which a class is refused during
// shedding. It depends on the class's value per second of answer time: a class with a quarter of the highest
// value per second gets half the threshold.
func (b *Balancer) sheddingThreshold(class int) float64 {
	own := b.settings.Classes[class].Value / b.meanSeconds[class]
	highest := math.SmallestNonzeroFloat64
	for i, c := range b.settings.Classes {
		highest = math.Max(highest, c.Value/b.meanSeconds[i])
	}
	return refusalThreshold * b.shortestTarget * math.Sqrt(own/highest)
}

// shedHeavyClient refuses a request by which a heavy client exceeds its fair share while endpoints are full.
// It reports whether it refused the request.
func (b *Balancer) shedHeavyClient(q *request, now Time) bool {
	if b.hitters == nil {
		return false
	}
	retryAfter, rejected := b.hitters.ShouldReject(now, now < b.sheddingUntil, q.Client, uint64(q.ID))
	if rejected {
		b.actions.Refuse(q.ID, retryAfter)
		b.finish(q)
	}
	return rejected
}

// observeClientWork adds the work of a request to its client's total: its answer time, or the mean of its
// class if it got no answer. The work is relative to the mean time of all classes, because endpoints do not
// do more work when all answers take longer. It is bounded because a single answer can take arbitrarily long.
func (b *Balancer) observeClientWork(q *request) {
	mean, sum := b.meanSeconds[q.Class], 0.0
	for _, seconds := range b.meanSeconds {
		sum += seconds
	}
	work := min(cmp.Or(q.latency.Seconds(), mean), heavyMultiple*mean) * float64(len(b.meanSeconds)) / sum
	b.hitters.Observe(q.Client, time.Duration(work*float64(time.Second)), q.latency > 0)
}

// HeavyHitters returns the detector of heavy clients, or nil without Settings.Hitters. The host passes it the
// reports of other sidecars and ends its windows.
func (b *Balancer) HeavyHitters() *hitters.Detector { return b.hitters }
