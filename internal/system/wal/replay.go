package wal

import "gradeusher.example/gradeusher/internal/system/fields"

// replayState is the result of the records read so far.
type replayState struct {
	entries []Entry
	batches []batch
	nextSeq uint64 // expected sequence number of the next entry; 0 if any is accepted
}

// lastSeq returns the sequence number of the newest entry read, or 0 if there is none.
func (r *replayState) lastSeq() uint64 { return r.nextSeq - min(r.nextSeq, 1) }

// entriesAbove returns the entries that follow a snapshot. It fails if the log ends before the snapshot or there is a gap between
// them.
func (r *replayState) entriesAbove(snapshotSeq uint64) ([]Entry, error) {
	if r.nextSeq > 0 && r.nextSeq <= snapshotSeq {
		return nil, damagedError("the log ends at %d, below its snapshot at %d", r.lastSeq(), snapshotSeq)
	}
	entries := r.entries
	for len(entries) > 0 && entries[0].Seq <= snapshotSeq {
		entries = entries[1:]
	}
	if len(entries) > 0 && entries[0].Seq != snapshotSeq+1 {
		return nil, damagedError("the log begins at %d, but its snapshot ends at %d", entries[0].Seq, snapshotSeq)
	}
	return entries, nil
}

// applyRecord applies a record's payload and returns the sequence number of the first entry that it changes. ok is false if the
// record cannot follow the ones before it.
func (r *replayState) applyRecord(payload []byte, segment uint64) (firstSeq uint64, ok bool) {
	reader := fields.NewReader(payload)
	switch reader.Byte() {
	case kindAppend:
		firstSeq, ok = r.applyAppend(&reader, segment)
	case kindTruncate:
		firstSeq, ok = r.applyTruncate(&reader)
	}
	return firstSeq, ok && reader.Complete()
}

func (r *replayState) applyAppend(reader *fields.Reader, segment uint64) (firstSeq uint64, ok bool) {
	firstSeq, count := reader.Uvarint(), reader.Uvarint()
	if reader.Failed() || firstSeq == 0 || count == 0 {
		return 0, false
	}
	if follows := r.nextSeq == 0 || firstSeq == r.nextSeq; !follows {
		return 0, false
	}
	for i := range count {
		data := reader.Bytes()
		if reader.Failed() {
			return 0, false
		}
		r.entries = append(r.entries, Entry{Seq: firstSeq + i, Data: data})
	}
	r.nextSeq = firstSeq + count
	r.batches = append(r.batches, batch{firstSeq, r.nextSeq - 1, segment})
	return firstSeq, true
}

func (r *replayState) applyTruncate(reader *fields.Reader) (firstSeq uint64, ok bool) {
	after := reader.Uvarint()
	if reader.Failed() {
		return 0, false
	}
	for count := len(r.entries); count > 0 && r.entries[count-1].Seq > after; count-- {
		r.entries = r.entries[:count-1]
	}
	r.batches, r.nextSeq = truncateBatches(r.batches, after), after+1
	return after + 1, true
}

// truncateBatches drops the entries with sequence numbers above after.
func truncateBatches(batches []batch, after uint64) []batch {
	for len(batches) > 0 && batches[len(batches)-1].firstSeq > after {
		batches = batches[:len(batches)-1]
	}
	if n := len(batches); n > 0 && batches[n-1].lastSeq > after {
		batches[n-1].lastSeq = after
	}
	return batches
}

// batchesAbove drops the batches that a snapshot at seq covers.
func batchesAbove(batches []batch, seq uint64) []batch {
	for len(batches) > 0 && batches[0].lastSeq <= seq {
		batches = batches[1:]
	}
	return batches
}
