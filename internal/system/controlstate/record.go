package controlstate

import "unicode/utf8"

// Op is the kind of a record.
type Op uint8

// The kinds of records. Their numbers are stored on disk and sent on the wire, so a number must never be reused.
const (
	OpReplace  Op = 1 // Body is a complete configuration, Base the revision that it builds on
	OpAmend    Op = 2 // Body is an amendment, Base as for OpReplace
	OpEvacuate Op = 3 // stops requests to Zone; Base is the fence of the change (SetFence), 0 in old records
	OpReadmit  Op = 4 // returns Zone to service; Base as for OpEvacuate
	OpNone     Op = 5 // no-op that fills a sequence number
)

// Record is a change with its sequence number. Sequence numbers start at 1 and increase by one.
type Record struct {
	Seq  uint64
	Op   Op
	Base int64
	Body []byte
	Zone string
}

// Change is what a caller asks for: a Record without a sequence number.
type Change struct {
	Op Op
	// Base is what the change builds on. Its meaning depends on Op: for OpReplace and OpAmend it is a revision of the configuration,
	// for OpEvacuate and OpReadmit it is the fence, which is the sequence number of a record (see SetFence).
	Base int64
	Body []byte
	Zone string
}

// Unrecordable returns why no state could ever record the change, and what helps; an empty text if one could. It depends on the bytes of
// the change alone: the zone is text in messages and records, which have to be UTF-8.
func (c Change) Unrecordable() (reason string) {
	if !utf8.ValidString(c.Zone) {
		return "the zone's name is not UTF-8: encode it so"
	}
	return ""
}

// SetFence sets the fence of an evacuation or readmission: seq is the number of a record that was committed before its caller sent the
// change, and that a node has named to the caller. State.Check rejects the change if its zone was changed after that record.
func (c *Change) SetFence(seq uint64) { c.Base = int64(seq) }

// fenceIsOlderThan reports whether the fence of the change is older than the record seq. A negative fence, which no caller sets, is
// older than any record.
func (c Change) fenceIsOlderThan(seq uint64) bool { return c.Base < 0 || seq > uint64(c.Base) }

// Record returns the record of the change with the sequence number seq.
func (c Change) Record(seq uint64) Record {
	return Record{Seq: seq, Op: c.Op, Base: c.Base, Body: c.Body, Zone: c.Zone}
}

// change returns the change in the record.
func (r Record) change() Change { return Change{Op: r.Op, Base: r.Base, Body: r.Body, Zone: r.Zone} }
