package hitters

import "slices"

// Summary counts work by key with a bounded number of counters: the weighted form of Misra and Gries (Finding repeated
// elements, 1982), which is mergeable (Agarwal et al., Mergeable summaries, 2012). For every key
//
//	Estimate(key) <= true work <= Estimate(key) + Err()  and  Err() <= (Total() - sum of counters) / (counters + 1)
//
// in any order of additions and with any merges. A key with more than Total/(counters+1) always has a counter. A Summary only
// counts and makes no decisions. The zero value is ready to use.
type Summary struct {
	keys       []uint64
	work       []uint64
	total, err uint64
}

// Total returns the exact work of all keys.
func (s *Summary) Total() uint64 { return s.total }

// Err returns an upper bound of how much too low a count can be.
func (s *Summary) Err() uint64 { return s.err }

// Estimate returns the counter of a key, or 0 if it has none.
func (s *Summary) Estimate(key uint64) uint64 {
	if i := slices.Index(s.keys, key); i >= 0 {
		return s.work[i]
	}
	return 0
}

// Add adds work of a key. Its time is linear in the number of counters, and it allocates memory only for the first key.
func (s *Summary) Add(key, work uint64) {
	s.total += work
	s.put(key, work)
}

// Merge adds the counts of another Summary.
func (s *Summary) Merge(o *Summary) {
	s.total += o.total
	s.err += o.err
	for i, key := range o.keys {
		s.put(key, o.work[i])
	}
}

// put adds work to a key's counter. If no counter is free, the minimum is subtracted from all counters and from the work. Each
// unit by which counts become too low uses up one unit of every counter and one of the work, so counters+1 units of the total.
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

// subtract subtracts work from all counters, and frees those that reach 0.
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

// reset clears the summary but keeps its memory.
func (s *Summary) reset() { *s = Summary{keys: s.keys[:0], work: s.work[:0]} }
