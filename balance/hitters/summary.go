package hitters

import "slices"

// Summary counts work by key with a bounded number of counters: the weighted form of Misra and Gries (Finding repeated
// elements, 1982), which is mergeable (Agarwal et al., Mergeable summaries, 2012). For every key
//
//	Of(key) <= true work <= Of(key) + Err()  and  Err() <= (Total() - sum of counters) / (counters + 1)
//
// in any order, with any merges. A key with more than Total/(counters+1) always has a counter. It counts what it is given
// and decides nothing. The zero value is ready.
type Summary struct {
	keys       []uint64
	work       []uint64
	total, err uint64
}

// Total is the work of all keys, exactly.
func (s *Summary) Total() uint64 { return s.total }

// Err bounds how much too low a count can be.
func (s *Summary) Err() uint64 { return s.err }

// Of is a key's counter.
func (s *Summary) Of(key uint64) uint64 {
	if i := slices.Index(s.keys, key); i >= 0 {
		return s.work[i]
	}
	return 0
}

// Add counts work of a key. It takes time in the number of counters, and memory only for the first keys.
func (s *Summary) Add(key, work uint64) {
	s.total += work
	s.put(key, work)
}

// Merge adds what another Summary counted.
func (s *Summary) Merge(o *Summary) {
	s.total += o.total
	s.err += o.err
	for i, key := range o.keys {
		s.put(key, o.work[i])
	}
}

// put adds work to a key's counter. Where none is left, the least is taken from all counters and from the work: each unit by
// which counts get too low uses up one of every counter and one of the work, so counters+1 of the total.
func (s *Summary) put(key, work uint64) {
	if i := slices.Index(s.keys, key); i >= 0 {
		s.work[i] += work
		return
	}
	if len(s.keys) == maxCounters {
		least := min(work, slices.Min(s.work))
		s.err += least
		work -= least
		s.subtract(least)
	}
	if work == 0 {
		return
	}
	if s.keys == nil {
		s.keys, s.work = make([]uint64, 0, maxCounters), make([]uint64, 0, maxCounters)
	}
	s.keys, s.work = append(s.keys, key), append(s.work, work)
}

// subtract takes work from all counters, and frees those that have no more.
func (s *Summary) subtract(least uint64) {
	left := 0
	for i, work := range s.work {
		if work > least {
			s.keys[left], s.work[left] = s.keys[i], work-least
			left++
		}
	}
	s.keys, s.work = s.keys[:left], s.work[:left]
}

// reset forgets all, and keeps the memory.
func (s *Summary) reset() { *s = Summary{keys: s.keys[:0], work: s.work[:0]} }
