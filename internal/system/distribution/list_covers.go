package distribution

import (
	"encoding/binary"
	"time"
)

// A reading of the platform's list covers a record of the control state if it certainly shows all that had happened to servers
// when the record was committed. Proxies need to know that where the record takes a zone back, whose servers may have become
// cold shortly before. A keeper tells it without any clock but its own: it was asked ListLag or longer after the keeper knew
// that the record was committed.

// commitLog remembers when a keeper knew which records to be committed. The zero value is empty.
type commitLog struct {
	notes []commitNote // by time; numbers rise
}

// commitNote is that the record numbered seq was committed at or before a moment.
type commitNote struct {
	at  time.Time
	seq uint64
}

// commitNotes bounds a commitLog: at one note a tick it reaches back for some seconds.
const commitNotes = 64

// note takes in the number of the newest record that is known to be committed at now.
func (l *commitLog) note(now time.Time, seq uint64) {
	if n := len(l.notes); n > 0 && seq <= l.notes[n-1].seq {
		return
	}
	if len(l.notes) == commitNotes {
		l.notes = append(l.notes[:0], l.notes[1:]...)
	}
	l.notes = append(l.notes, commitNote{now, seq})
}

// before is the number of the newest record that was known to be committed at the moment t; 0: none that is remembered.
func (l *commitLog) before(t time.Time) uint64 {
	for i := len(l.notes) - 1; i >= 0; i-- {
		if !l.notes[i].at.After(t) {
			return l.notes[i].seq
		}
	}
	return 0
}

// encodeCovers is the value of the list's entry.
func encodeCovers(seq uint64) []byte { return binary.AppendUvarint(nil, seq) }

// listCovers is the newest record that the reading held covers; 0: none for certain.
func (t *table) listCovers() uint64 {
	held := t.items[listKey]
	if held == nil {
		return 0
	}
	seq, n := binary.Uvarint(held.Value)
	if n <= 0 {
		return 0
	}
	return seq
}
