package distribution

import "time"

// A reading of the platform's list covers a record of the control state if it certainly shows everything that had happened to the servers
// when the record was committed. Proxies need to know that for a record that ends the evacuation of a zone, because servers of the zone
// may have become cold shortly before. A node decides it by its own clock only: the reading covers the record if the node asked the
// platform ListLag or longer after it knew that the record was committed.
//
// Example: ListLag is 1 s, so the platform's response may be 1 s old. This node knew at 10.0 s that record 7 was committed, and at
// 10.8 s that record 8 was, which ends the evacuation of zone z.
//   - A reading requested at 11.5 s shows at least everything that had happened by 10.5 s. It covers record 7 but not record 8:
//     proxies get ListCoversSeq 7, and do not trust the reading about the servers of z.
//   - A reading requested at 11.8 s or later covers record 8: proxies get ListCoversSeq 8, and use what it shows of z.

// commitLog remembers when this node learned that records were committed. The zero value is empty.
type commitLog struct {
	marks []commitMark // in the order of time; record numbers rise
}

// commitMark states that the record numbered seq was committed at or before the time at.
type commitMark struct {
	at  time.Time
	seq uint64
}

// maxCommitMarks bounds a commitLog: at one mark per tick it reaches back several seconds.
const maxCommitMarks = 64

// observe records that the newest record known to be committed at now is seq.
func (l *commitLog) observe(now time.Time, seq uint64) {
	if n := len(l.marks); n > 0 && seq <= l.marks[n-1].seq {
		return
	}
	if len(l.marks) == maxCommitMarks {
		l.marks = append(l.marks[:0], l.marks[1:]...)
	}
	l.marks = append(l.marks, commitMark{now, seq})
}

// committedBefore returns the number of the newest record that was known to be committed at a moment, or 0 if none is remembered.
func (l *commitLog) committedBefore(moment time.Time) uint64 {
	for i := len(l.marks) - 1; i >= 0; i-- {
		if !l.marks[i].at.After(moment) {
			return l.marks[i].seq
		}
	}
	return 0
}
