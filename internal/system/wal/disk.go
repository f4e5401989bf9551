package wal

// Entry is one opaque entry of the log.
type Entry struct {
	Seq  uint64 // sequence number, from 1, without gaps
	Data []byte // all entries of one Append together have at most 4 GiB minus the record's header
}

// Snapshot is an opaque image of all entries up to and including Seq.
type Snapshot struct {
	Seq  uint64 // 0 if there is no snapshot
	Data []byte
}

// Contents is everything that a Disk stores. The entries follow the snapshot without a gap.
type Contents struct {
	Meta     map[string][]byte // by name
	Snapshot Snapshot
	Entries  []Entry
}

// Disk stores a log, one snapshot that precedes it and a few named pieces of metadata. When a method returns nil, its change is
// durable; after an error the change may or may not have taken effect. Errors are of the kinds ErrFull, ErrDamaged, ErrSuperseded
// and ErrMisuse, or come from the file system. Calls must not be concurrent.
type Disk interface {
	// Load returns everything that is stored. It must come before any other call.
	Load() (Contents, error)
	// Append adds entries at the end of the log, all of them or none. Their sequence numbers continue those of the log.
	Append(entries []Entry) error
	// Truncate drops the entries with sequence numbers above after, which must not be below the snapshot.
	Truncate(after uint64) error
	// Compact replaces the entries up to snapshot.Seq by snapshot, whose Seq must be between the last snapshot's and the log's end.
	Compact(snapshot Snapshot) error
	// Install replaces the log and the snapshot by snapshot, which may have any Seq.
	Install(snapshot Snapshot) error
	// SaveMeta replaces the metadata called name. A name has 1 to 64 characters from a to z, 0 to 9 and _.
	SaveMeta(name string, data []byte) error
}
