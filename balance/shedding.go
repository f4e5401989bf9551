package balance

import (
	"cmp"
	"math"
	"time"

	"gradeusher.example/gradeusher/balance/hitters"
)

const (
	// refusalThreshold is the share of the shortest latency target above which no expected answer is worth its
	// work.
	refusalThreshold = 0.85
	// overAllowanceShare is the threshold of requests beyond an allowance, as a share of their class's.
	overAllowanceShare = 0.5
	// sheddingTime is how long classes of lower value are shed once all endpoints were full.
	sheddingTime = memoryTTL
	// minAllowance keeps a share of no allowance finite, in requests a second.
	minAllowance = 1e-9
)

// shedding is what says which requests are refused first.
type shedding struct {
	tenants        []tokenBucket
	totalAllowance float64           // of all tenants, in requests a second
	sheddingUntil  Time              // until then classes of lower value are refused sooner
	hitters        *hitters.Detector // nil: heavy clients are not looked for
}

// tokenBucket meters this sidecar's part of a tenant's allowance.
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

// takes tells whether there was a token to take. The bucket fills by a rate, in tokens a second, to what
// memoryTTL brings.
func (t *tokenBucket) takes(allowance, share float64, now Time) bool {
	refilled := t.tokens + allowance*share*(now-t.refilledAt).Seconds()
	t.tokens = math.Min(refilled, 1+allowance*share*memoryTTL.Seconds())
	t.refilledAt = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// exceedsAllowance counts a request, and tells whether it exceeds its tenant's allowance, as far as this
// sidecar sees. The sidecar's share of the allowance is the equal one or, where that is more, the one that
// goes with its own traffic: of a thousand sidecars most carry little and some much more, and an equal share
// would be under one request a second.
func (b *Balancer) exceedsAllowance(tenant int, now Time) bool {
	b.arrivals++
	if tenant < 0 || tenant >= len(b.tenants) {
		return false
	}
	share := math.Max(1/float64(b.settings.PeerCount),
		b.arrivals/memoryTTL.Seconds()/math.Max(b.totalAllowance, minAllowance))
	return !b.tenants[tenant].takes(b.settings.Tenants[tenant].Allowance, share, now)
}

// latencyThreshold is the expected answer time in seconds above which a request is refused now.
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

// sheddingThreshold is the expected answer time in seconds above which a class is refused while requests are
// shed. It goes by the value for each second that answers take: a class that has a quarter of the highest
// waits half as long.
func (b *Balancer) sheddingThreshold(class int) float64 {
	own := b.settings.Classes[class].Value / b.meanSeconds[class]
	highest := math.SmallestNonzeroFloat64
	for i, c := range b.settings.Classes {
		highest = math.Max(highest, c.Value/b.meanSeconds[i])
	}
	return refusalThreshold * b.shortestTarget * math.Sqrt(own/highest)
}

// shedHeavyClient refuses a request of a heavy client that exceeds its fair share, while endpoints are full.
// It tells whether it did.
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

// observeClientWork counts a request for its client as its answer took, or else as its class does, in units
// of the mean time of all classes: endpoints do not do more work when all answers take longer. It is bounded,
// as one answer can take forever.
func (b *Balancer) observeClientWork(q *request) {
	mean, sum := b.meanSeconds[q.Class], 0.0
	for _, seconds := range b.meanSeconds {
		sum += seconds
	}
	work := min(cmp.Or(q.latency.Seconds(), mean), heavyMultiple*mean) * float64(len(b.meanSeconds)) / sum
	b.hitters.Observe(q.Client, time.Duration(work*float64(time.Second)), q.latency > 0)
}

// HeavyHitters is what is known of clients that ask for much; nil without Settings.Hitters. The host gives it
// the reports of other sidecars, and ends its windows.
func (b *Balancer) HeavyHitters() *hitters.Detector { return b.hitters }
