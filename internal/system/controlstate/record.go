package controlstate

// Op says what a record changes.
type Op uint8

// The kinds of records. Their numbers are on disk and on the wire: never reuse one.
const (
	OpReplace  Op = 1 // Body is a whole configuration, Base the version that it builds on
	OpAmend    Op = 2 // Body is an amendment, Base as above
	OpEvacuate Op = 3 // Zone is to get nothing more; Base is the newest record known when the order came, 0 in old records
	OpReadmit  Op = 4 // Zone is taken back; Base as for OpEvacuate
	OpNone     Op = 5 // changes nothing: fills a number
)

// Record is one numbered change. Numbers rise by one; the first is 1.
type Record struct {
	Seq  uint64
	Op   Op
	Base int64
	Body []byte
	Zone string
}

// Change is what a caller asks for: a Record that has no number yet.
type Change struct {
	Op   Op
	Base int64
	Body []byte
	Zone string
}

// Record returns the change under a number.
func (c Change) Record(seq uint64) Record {
	return Record{Seq: seq, Op: c.Op, Base: c.Base, Body: c.Body, Zone: c.Zone}
}

// change returns what the record asks for.
func (r Record) change() Change { return Change{Op: r.Op, Base: r.Base, Body: r.Body, Zone: r.Zone} }
