// Package promptpool determines how many of a region's model servers long prompts use.
//
// Problem: the prefill of a long prompt delays everything that runs at its server, so long and short prompts are
// better served by different servers. How many servers each kind needs depends on the work that it causes, which
// changes during a day; and each server that changes from one kind to the other loses the use of its cached prefixes.
//
// Terms: a Pool is the number of a region's servers that long prompts use; the rest are for short prompts.
// Demand is the prefill work of either kind, decayed over time. Mix records which kinds arrive at all.
//
// Invariant: if a region has at least two servers, both kinds have at least one, and the pool changes at most once per
// minResizeInterval, by at most a quarter of its distance from the target or by one server. Two changes may go all the way:
// its first move to a known target, before which its size was not based on any observation, and a move down to its limit.
//
// The package is pure and not safe for concurrent use. Times are readings of the caller's monotonic clock.
package promptpool

import (
	"math"
	"time"
)

const (
	// MaxRegions is how many regions have pools; servers of further regions are for both kinds of prompts.
	MaxRegions = 16
	// MixTTL is how long a kind of prompt counts as present after its last prompt, and also the time in which demand decays to 1/e.
	MixTTL = 10 * time.Second

	initialShare      = 0.5         // share of the servers that long prompts are assumed to need until work was observed
	minResizeInterval = time.Second // between two moves, because each one moves homes of prompts
	resizeFraction    = 0.25        // fraction of the distance from the target that a move covers, at least one server
	maxDeviation      = 0.75        // number of servers by which a pool may differ from its target without being moved
)

// Pool is the size of one region's pool. The zero value is the pool of a region without servers.
type Pool struct {
	size, servers int
	hasTarget     bool          // a target has been known
	resized       bool          // it was moved towards a target
	resizedAt     time.Duration // the last move or, before the first one, when a target was first known
}

// Size returns how many of the region's servers are for long prompts.
func (p *Pool) Size() int { return p.size }

// SetServers sets the number of the region's servers, and keeps the pool's share of them.
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

// Presume sets the size to a presumed target, unless a target from observed work has been known.
func (p *Pool) Presume(target float64) {
	if !p.hasTarget {
		p.setSize(int(math.Round(target)))
	}
}

// Adjust moves the pool towards a target, in servers, within the bounds on the size and frequency of moves.
// The first move is made once a target has been known for minResizeInterval, because earlier targets are
// based on few prompts, and goes all the way. A move down to limit, the most servers that short prompts can
// do without, also goes all the way: otherwise short prompts would wait for slots in the meantime.
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
	case !p.resized: // only few prefixes have homes yet
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

// setSize sets the size within its bounds: both kinds of prompts keep at least one server.
func (p *Pool) setSize(size int) { p.size = min(max(size, 1), p.servers-1) }
