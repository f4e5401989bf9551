package quota

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/testsupport/golden"
)

// goldenFile has a line "scenario seed steps digest" for each run; GRADEUSHER_WRITE_GOLDEN=1 regenerates it.
const goldenFile = "testdata/golden_trace.txt"

// goldenTrace computes a digest of the outputs of limiters and allocators: their messages and the admitted requests.
type goldenTrace struct{ *golden.Digest }

func (g goldenTrace) attach(sim *simulation) {
	sim.onRequest = func(node *simLimiter, request LeaseRequest) {
		g.TextStep("request", uint64(sim.now), uint64(node.index), request.Limiter.Incarnation, request.Sequence)
		g.Bools(request.Leaving)
		for _, demand := range request.Demands {
			g.Text(demand.Tenant)
			g.Floats(demand.RatePerSecond)
			g.share(demand.Held)
			g.Ints(int64(demand.Waiting))
		}
	}
	sim.onReply = func(node *simAllocator, reply LeaseReply) {
		g.TextStep("reply", uint64(sim.now), uint64(node.index), reply.Sequence, uint64(reply.TTL))
		g.Bools(reply.Learning, reply.Rejected)
		for _, grant := range reply.Grants {
			g.Text(grant.Tenant)
			g.share(grant.Share)
			g.Ints(int64(grant.Tokens))
		}
	}
	sim.onTake = func(node *simLimiter, tenant *simTenant, granted int) {
		g.TextStep("take", uint64(sim.now), uint64(node.index), uint64(granted))
		g.Text(tenant.name)
	}
}

func (g goldenTrace) share(share Share) {
	g.Floats(share.Fraction)
	g.Ints(int64(share.Extra))
}

func traceFaults(_ *testing.T, digest *golden.Digest, seed uint64) {
	sim := newSimulation(seed, faultyFleet(TestingKnobs{}))
	goldenTrace{digest}.attach(sim)
	sim.addFaultyTenants()
	sim.run(7 * time.Second)
	sim.scheduleFaults()
	sim.run(faultySpan)
}

func traceNormal(_ *testing.T, digest *golden.Digest, seed uint64) {
	sim := newSimulation(seed, healthyFleet())
	goldenTrace{digest}.attach(sim)
	sim.run(8 * time.Second)
	sim.addTenant("small", Limit{RatePerSecond: 3, Burst: 3}).setRates(0.3)
	sim.addTenant("large", Limit{RatePerSecond: 100, Burst: 50}).rates[1] = 200
	sim.run(20 * time.Second)
}

// TestGoldenTrace compares the outputs of limiters and allocators with recorded digests, which must not change in a refactoring.
func TestGoldenTrace(t *testing.T) {
	var scenarios []golden.Scenario
	for seed := range uint64(3) {
		scenarios = append(scenarios,
			golden.Scenario{Name: "normal", Seed: seed, Play: traceNormal},
			golden.Scenario{Name: "faults", Seed: seed, Play: traceFaults})
	}
	golden.CompareDigests(t, goldenFile, scenarios)
}
