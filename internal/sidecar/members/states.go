package members

import (
	"math"
	"time"
)

// This file stores what the members published. Merging is a join in a semilattice, so loss, duplicates and order do not matter.

// maxClockDrift is by how many seconds a second the monotonic clocks of two machines may drift apart: the kernel slews a clock by 500 ppm
// at most.
const maxClockDrift = 500e-6

// stateKey identifies a state: each origin has one of each kind.
type stateKey struct {
	name string // of the origin
	kind uint8
}

// states stores the newest state of each origin and kind, by the start of its process and then by its number, and the offset between
// the clock of each process and the own clock. merge is commutative, associative and idempotent over copies of states, each with the time
// at which it arrived.
//
// Ages are computed without comparing wall clocks. A copy carries the time that it spent at the members that forwarded it, but not the
// time that it spent in the network. For each process the offset is therefore the minimum, over all its copies, of
//
//	own time at arrival - time of publishing - forwarded age
//
// which is the offset of the clocks plus the shortest time that any copy spent in the network. The time that another copy took beyond
// that is part of its age, whether a network, a stopped peer or a full buffer delayed it. An age is too low by at most that shortest time,
// and by the drift since, 0.5 ms a second. If all copies from the start on are delayed alike, it cannot be seen here; then memberlist's
// probes time out and the peer is declared dead.
type states struct {
	latest  map[stateKey]frame
	offsets map[process]*float64 // in seconds, less the greatest drift since time 0 of the own clock
}

func newStates() *states {
	return &states{latest: map[stateKey]frame{}, offsets: map[process]*float64{}}
}

// merge merges a copy that arrived at a time of the own clock, and reports whether its state is newer than the stored one.
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

// isNewer reports whether a frame's state is newer than the one that is stored, if any.
func (s *states) isNewer(f frame) bool {
	old, known := s.latest[stateKey{f.name, f.kind}]
	return !known || newer(f, old)
}

func newer(f, old frame) bool {
	return f.start > old.start || f.start == old.start && f.seq > old.seq
}

// age returns how long ago a state was published, at a time of the own clock. If nothing of its process is stored, it is the largest
// duration.
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

// retain drops the states and offsets of all processes but those that keep returns true for.
func (s *states) retain(keep func(process) bool) {
	for p := range s.offsets {
		if !keep(p) {
			delete(s.offsets, p)
		}
	}
	for key, f := range s.latest {
		if !keep(process{f.name, f.start}) {
			delete(s.latest, key)
		}
	}
}
