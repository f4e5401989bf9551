package distribution

import "time"

// A reading of the platform's list covers a record of the control state if it certainly shows all that had happened to servers
// when the record was committed. Proxies need to know that where the record ends the evacuation of a zone, whose servers may have
// become cold shortly before. A node decides it without any clock but its own: it asked the platform ListLag or longer after it
// knew that the record was committed.
//
// Example: ListLag is 1 s, so what the platform shows may be as old as that. This node knew at 10.0 s that record 7 was committed,
// and at 10.8 s that record 8 was, which ends the evacuation of zone z.
//   - A reading that was asked for at 11.5 s shows at least all that had happened by 10.5 s. It covers record 7, not record 8:
//     proxies get ListCoversSeq 7, and do not trust it about the servers of z.
//   - A reading that was asked for at 11.8 s or later covers record 8: proxies get ListCoversSeq 8, and go by what it says of z.

// commitLog remembers when this node knew which records to be committed. The zero value is empty.
type commitLog struct {
	marks []commitMark // by time; numbers rise
}

// commitMark says that the record numbered seq was committed at or before a moment.
type commitMark struct {
	at  time.Time
	seq uint64
}

// maxCommitMarks bounds a commitLog: at one mark a tick it reaches back for some seconds.
const maxCommitMarks = 64

// observe records the number of the newest record that is known to be committed at now.
func (l *commitLog) observe(now time.Time, seq uint64) {
	if n := len(l.marks); n > 0 && seq <= l.marks[n-1].seq {
		return
	}
	if len(l.marks) == maxCommitMarks {
		l.marks = append(l.marks[:0], l.marks[1:]...)
	}
	l.marks = append(l.marks, commitMark{now, seq})
}

// committedBefore is the number of the newest record that was known to be committed at a moment; 0: none that is remembered.
func (l *commitLog) committedBefore(moment time.Time) uint64 {
	for i := len(l.marks) - 1; i >= 0; i-- {
		if !l.marks[i].at.After(moment) {
			return l.marks[i].seq
		}
	}
	return 0
}
