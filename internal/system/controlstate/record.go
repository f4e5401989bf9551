package controlstate

// Op is the kind of a record.
type Op uint8

// The kinds of records. Their numbers are on disk and on the wire: never reuse one.
const (
	OpReplace  Op = 1 // Body is a complete configuration, Base the revision that it builds on
	OpAmend    Op = 2 // Body is an amendment, Base as above
	OpEvacuate Op = 3 // Zone is to get no requests; Base is the newest record known when the call arrived, 0 in old records
	OpReadmit  Op = 4 // Zone is in service again; Base as for OpEvacuate
	OpNone     Op = 5 // changes nothing: fills a sequence number
)

// Record is a change under its sequence number. Sequence numbers rise by one; the first is 1.
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
	// Base is what the change builds on, and two kinds of number: for OpReplace and OpAmend the revision of the configuration, for
	// OpEvacuate and OpReadmit the fence, which is the sequence number of a record (see SetFence).
	Base int64
	Body []byte
	Zone string
}

// SetFence sets the fence of an evacuation or readmission: seq is the newest committed record that the receiving node knew when the request
// arrived. State.Check rejects the change where its zone was changed after that.
func (c *Change) SetFence(seq uint64) { c.Base = int64(seq) }

// isBehind reports whether the fence of the change is older than the record seq. No caller sets a negative fence; it is older than any.
func (c Change) isBehind(seq uint64) bool { return c.Base < 0 || seq > uint64(c.Base) }

// Record returns the change under a sequence number.
func (c Change) Record(seq uint64) Record {
	return Record{Seq: seq, Op: c.Op, Base: c.Base, Body: c.Body, Zone: c.Zone}
}

// change returns what the record asks for.
func (r Record) change() Change { return Change{Op: r.Op, Base: r.Base, Body: r.Body, Zone: r.Zone} }
