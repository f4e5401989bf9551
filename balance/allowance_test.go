package balance

import (
	"math/rand/v2"
	"testing"
)

// exceedingShares returns for two tenants with equal allowances the share of requests that exceed the allowance. It simulates
// one of a thousand sidecars, which gets rate requests per second for 20 s. Second is the second tenant's share of them.
func exceedingShares(t *testing.T, rate, second float64) (over [2]float64) {
	t.Helper()
	set := settings()
	set.PeerCount = 1000
	set.Tenants = []Tenant{{"a", 500}, {"b", 500}}
	b, recorder := start(t, set, twoEndpoints())
	rng := rand.New(rand.NewPCG(1, 1))
	var all [2]float64
	for range int(20 / tickInterval.Seconds()) {
		recorder.now += tickInterval
		b.Timer(recorder.now, tickToken)
		for owed := rate * tickInterval.Seconds(); rng.Float64() < owed; owed-- {
			i := 0
			if rng.Float64() < second {
				i = 1
			}
			all[i]++
			if b.exceedsAllowance(i, recorder.now) {
				over[i]++
			}
		}
	}
	return [2]float64{over[0] / max(all[0], 1), over[1] / max(all[1], 1)}
}

func TestAllowanceOfManySidecars(t *testing.T) {
	for _, test := range []struct {
		name         string
		rate, second float64
		low, high    [2]float64 // bounds of the shares that exceed the allowance
	}{
		{"usual traffic", 1, .5, [2]float64{0, 0}, [2]float64{.1, .1}},
		{"a busy sidecar", 10, .5, [2]float64{0, 0}, [2]float64{.35, .35}},
		{"a tenant that takes the most", 10, .9, [2]float64{0, .2}, [2]float64{0, .6}},
	} {
		got := exceedingShares(t, test.rate, test.second)
		for i := range got {
			if got[i] < test.low[i] || got[i] > test.high[i] {
				t.Errorf("%s: %.2f of the requests of tenant %d exceed its allowance, want %.2f to %.2f", test.name, got[i], i, test.low[i],
					test.high[i])
			}
		}
	}
}
