package testcluster

import (
	"context"
	"math/rand/v2"
	"sync"
)

// floodStream is the first sequence of random numbers of a seed from which floods are drawn. Those before it are of the usual traffic.
const floodStream = 1 << 20

// Flood has clients of all zones send requests of a kind beside the usual ones until ctx ends. It returns when the last one has begun.
func (e *Environment) Flood(ctx context.Context, kind RequestKind) {
	t := e.traffic
	stream := floodStream * t.floods.Add(1)
	var zones sync.WaitGroup
	for i, pool := range t.pools {
		rng := rand.New(rand.NewPCG(t.seed, stream+uint64(i)))
		zones.Go(func() { t.generate(ctx, kind, pool, kind.Rate/float64(len(t.pools)), rng) })
	}
	zones.Wait()
}
