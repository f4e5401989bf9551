package members

import (
	"math"
	"time"
)

// This file stores what the others published: a join of lattices, so that loss, duplicates and order do not matter.

// maxClockDrift is how far the clocks of two machines may run apart, each second, at most: the kernel slews by 500 ppm at most.
const maxClockDrift = 500e-6

// stateKey is a state's place: each origin has one a kind.
type stateKey struct {
	name string
	kind uint8
}

// states keeps the newest state of each origin and kind, by the start of its process and then by its number, and how far the
// clock of each process is from the own. merge is commutative, associative and idempotent over copies, each with the time at
// which it came.
//
// An age is never computed by comparing wall clocks. A copy carries the time that it spent at those who forwarded it, which misses the time
// that it was on its way. So for each process the least of (own time at arrival - stamp - said age) is kept: it is the
// distance of the clocks plus the quickest way ever seen, and what a later copy needed beyond that is its age, also when a
// network, a stopped peer or a full buffer delayed it. Bound: an age is too low by the quickest way that any copy from
// that process took, and by drift, 0.5 ms a second, at most. Where every copy from the start on was delayed alike, that
// cannot be seen here; memberlist's probes take such a peer for dead.
type states struct {
	latest  map[stateKey]frame
	offsets map[process]*float64 // seconds: the least distance, brought back by drift to time 0
}

func newStates() *states {
	return &states{latest: map[stateKey]frame{}, offsets: map[process]*float64{}}
}

// merge merges a copy that arrived at a time of the process's own clock, and reports whether its state is newer than the stored one.
func (s *states) merge(f frame, now time.Duration) bool {
	p := process{f.name, f.start}
	distance := (now - f.publishedAt - f.forwardedAge).Seconds() - maxClockDrift*now.Seconds()
	if f.offset = s.offsets[p]; f.offset == nil {
		f.offset = &distance
		s.offsets[p] = f.offset
	}
	*f.offset = min(*f.offset, distance)
	if !s.isNewer(f) {
		return false
	}
	f.forwardedAge, f.key = 0, f.hash()
	s.latest[stateKey{f.name, f.kind}] = f
	return true
}

// isNewer reports whether a frame's state is newer than the stored one.
func (s *states) isNewer(f frame) bool {
	old, known := s.latest[stateKey{f.name, f.kind}]
	return !known || newer(f, old)
}

func newer(f, old frame) bool {
	return f.start > old.start || f.start == old.start && f.seq > old.seq
}

// age returns how long ago a state was published. For a process of which nothing is stored it is beyond any TTL.
func (s *states) age(f frame, now time.Duration) time.Duration {
	offset := f.offset // of a stored state
	if offset == nil {
		if offset = s.offsets[process{f.name, f.start}]; offset == nil {
			return math.MaxInt64
		}
	}
	distance := *offset + maxClockDrift*now.Seconds()
	return max(0, now-f.publishedAt-time.Duration(distance*float64(time.Second)))
}

// dropPayloads drops the payloads of states older than the TTL, of all members but the own.
func (s *states) dropPayloads(own string, now, ttl time.Duration) {
	for key, f := range s.latest {
		if key.name != own && f.payload != nil && s.age(f, now) > ttl {
			f.payload = nil
			s.latest[key] = f
		}
	}
}

// retain drops all processes but those that fit.
func (s *states) retain(fits func(process) bool) {
	for p := range s.offsets {
		if !fits(p) {
			delete(s.offsets, p)
		}
	}
	for key, f := range s.latest {
		if !fits(process{f.name, f.start}) {
			delete(s.latest, key)
		}
	}
}
