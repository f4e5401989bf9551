package wal

import "gradeusher.example/gradeusher/internal/system/fields"

// replayState is what the records read so far add up to.
type replayState struct {
	entries []Entry
	batches []batch
	nextSeq uint64 // number of the next entry; 0: any
}

// applyRecord does what a record says, and returns the number of the first entry that it holds; false where it cannot follow the ones
// before it.
func (r *replayState) applyRecord(payload []byte, segment uint64) (first uint64, ok bool) {
	reader := fields.NewReader(payload)
	switch reader.Byte() {
	case kindAppend:
		var count uint64
		first, count = reader.Uvarint(), reader.Uvarint()
		if reader.Failed() || first == 0 || count == 0 || r.nextSeq != 0 && first != r.nextSeq {
			return 0, false
		}
		for i := range count {
			data := reader.Bytes()
			if reader.Failed() {
				return 0, false
			}
			r.entries = append(r.entries, Entry{Seq: first + i, Data: data})
		}
		r.nextSeq = first + count
		r.batches = append(r.batches, batch{first, r.nextSeq - 1, segment})
	case kindTruncate:
		after := reader.Uvarint()
		if reader.Failed() {
			return 0, false
		}
		for n := len(r.entries); n > 0 && r.entries[n-1].Seq > after; n-- {
			r.entries = r.entries[:n-1]
		}
		first = after + 1
		r.batches, r.nextSeq = truncateBatches(r.batches, after), after+1
	default:
		return 0, false
	}
	return first, reader.Complete()
}

// truncateBatches drops what follows after.
func truncateBatches(batches []batch, after uint64) []batch {
	for len(batches) > 0 && batches[len(batches)-1].firstSeq > after {
		batches = batches[:len(batches)-1]
	}
	if n := len(batches); n > 0 && batches[n-1].lastSeq > after {
		batches[n-1].lastSeq = after
	}
	return batches
}
