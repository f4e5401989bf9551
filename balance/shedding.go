package balance

import (
	"cmp"
	"math"
	"time"

	"gradeusher.example/gradeusher/balance/hitters"
)

// tenant meters this sidecar's part of a tenant's allowance.
type tenant struct {
	tokens     float64
	refilledAt Time
}

// exceedsAllowance tells whether a request is beyond its tenant's allowance, as far as this sidecar sees. Its
// part is the equal one or, where that is more, the one that goes with its own traffic. Danger: of a thousand
// sidecars most carry little and some much more; an equal part would be under one request a second.
func (b *Balancer) exceedsAllowance(i int, now Time) bool {
	b.arrivals++
	if i < 0 || i >= len(b.tenants) {
		return false
	}
	t, allowance := &b.tenants[i], b.settings.Tenants[i].Allowance
	part := math.Max(1/float64(b.settings.PeerCount),
		b.arrivals/memoryTTL.Seconds()/math.Max(b.totalAllowance, 1e-9))
	t.tokens = math.Min(t.tokens+allowance*part*(now-t.refilledAt).Seconds(),
		1+allowance*part*memoryTTL.Seconds())
	over := t.tokens < 1
	if t.refilledAt = now; !over {
		t.tokens--
	}
	return over
}

// sheddingThreshold is the expected answer time in seconds above which a class is refused while it is tight.
// Worth for each second that answers take counts: a class that has a quarter of the dearest's waits half as
// long.
func (b *Balancer) sheddingThreshold(class int) float64 {
	own := b.settings.Classes[class].Value / b.meanSeconds[class]
	dearest := math.SmallestNonzeroFloat64
	for i, c := range b.settings.Classes {
		dearest = math.Max(dearest, c.Value/b.meanSeconds[i])
	}
	return refusalThreshold * b.shortestTarget * math.Sqrt(own/dearest)
}

// shedHeavyClient refuses a request of a heavy client that is beyond its fair share, while servers are full.
func (b *Balancer) shedHeavyClient(q *request, now Time) bool {
	if b.hitters == nil {
		return false
	}
	after, yields := b.hitters.ShouldReject(now, now < b.sheddingUntil, q.Client, uint64(q.ID))
	if yields {
		b.actions.Refuse(q.ID, after)
		b.finish(q)
	}
	return yields
}

// observeClientWork counts a request as its answer took, or else as its class does; a second is what the
// classes take in the mean. Danger: servers do not do more when all answers take longer, and one can take for
// ever.
func (b *Balancer) observeClientWork(q *request) {
	usual, sum := b.meanSeconds[q.Class], 0.0
	for _, w := range b.meanSeconds {
		sum += w
	}
	work := min(cmp.Or(q.latency.Seconds(), usual), heavyMultiple*usual) * float64(len(b.meanSeconds)) / sum
	b.hitters.Observe(q.Client, time.Duration(work*float64(time.Second)), q.latency > 0)
}

// HeavyHitters is what is known of clients that ask for much; nil without Settings.HeavyHitters. The host
// tells it what the other sidecars told, and ends its windows.
func (b *Balancer) HeavyHitters() *hitters.Detector { return b.hitters }
