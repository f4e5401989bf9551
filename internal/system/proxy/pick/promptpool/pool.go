// Package promptpool sizes the part of a region's model servers that long prompts use.
//
// Problem: a long prompt's prefill delays everything that runs at its server, so long and short prompts are better served apart. How many
// servers each kind needs depends on the work that it brings, which changes during a day; and each server that changes sides takes its
// cached prefixes with it.
//
// Terms: a Pool is the number of a region's servers that long prompts use, the rest being for short ones. Demand is the prefill work of
// either kind, counted less the longer ago it was. Mix tells which kinds come at all.
//
// Invariant: where a region has two servers or more, both kinds have one at least, and the pool moves at most once in
// minResizeInterval, by at most a quarter of its distance from the target or by one server. Only its first move, before which it had a size
// that nothing was known for, and a move down to its limit go all the way.
//
// The package is pure and not safe for concurrent use. Times are readings of the caller's monotonic clock.
package promptpool

import (
	"math"
	"time"
)

const (
	// MaxRegions is how many regions have pools; servers of further ones are for both kinds of prompts.
	MaxRegions = 16
	// MixTTL is how long a kind of prompt counts as present after the last one, and the time in which demand decays to 1/e.
	MixTTL = 10 * time.Second

	initialShare      = 0.5         // of the servers that long prompts are presumed to need, before any work was observed
	minResizeInterval = time.Second // between two moves, as each one moves homes of prompts
	resizeFraction    = 0.25        // of the distance from the target that a move covers, one server at least
	maxDeviation      = 0.75        // servers by which a pool may differ from its target without a move
)

// Pool is the size of one region's pool. The zero value is the pool of a region without servers.
type Pool struct {
	size, servers int
	hasTarget     bool          // a target was known
	resized       bool          // towards it
	resizedAt     time.Duration // with resized; with hasTarget alone, when the target was first known
}

// Size is how many of the region's servers are for long prompts.
func (p *Pool) Size() int { return p.size }

// SetServers keeps the pool's share where the number of the region's servers has changed.
func (p *Pool) SetServers(servers int) {
	if p.servers == servers {
		return
	}
	share := initialShare
	if p.servers > 0 {
		share = float64(p.size) / float64(p.servers)
	}
	p.servers = servers
	p.setSize(int(math.Round(share * float64(servers))))
}

// Presume sets the size as long as no target has been known, by what is presumed of the work.
func (p *Pool) Presume(target float64) {
	if !p.hasTarget {
		p.setSize(int(math.Round(target)))
	}
}

// Adjust moves the pool towards a target, in servers, within the bounds on how far and how often it moves. The first move comes once a target has
// been known for minResizeInterval, as what is known sooner rests on few prompts, and goes all the way. So does a move down to limit, the most
// servers that short prompts can do without: they would wait for slots meanwhile.
func (p *Pool) Adjust(now time.Duration, target, limit float64) {
	target = min(target, limit)
	if !p.hasTarget {
		p.hasTarget, p.resizedAt = true, now
	}
	deviation := target - float64(p.size)
	if math.Abs(deviation) <= maxDeviation || now-p.resizedAt < minResizeInterval {
		return
	}
	step := max(1, int(math.Abs(deviation)*resizeFraction))
	switch {
	case !p.resized: // few prefixes have homes yet
		step = int(math.Round(math.Abs(deviation)))
	case float64(p.size)-limit > maxDeviation:
		step = max(step, int(math.Ceil(float64(p.size)-limit)))
	}
	if deviation < 0 {
		step = -step
	}
	p.resized, p.resizedAt = true, now
	p.setSize(p.size + step)
}

// setSize bounds the pool: both kinds of prompts keep a server at least.
func (p *Pool) setSize(size int) { p.size = min(max(size, 1), p.servers-1) }
