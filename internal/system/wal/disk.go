package wal

// Entry is one opaque entry of the log.
type Entry struct {
	Seq  uint64 // from 1, without gaps
	Data []byte // at most 4 GiB less the record's header in all entries of one Append
}

// Snapshot is an opaque image of all entries up to and including Seq.
type Snapshot struct {
	Seq  uint64 // 0: there is no snapshot
	Data []byte
}

// Contents is all that a Disk stores. The entries follow the snapshot without a gap.
type Contents struct {
	Meta     map[string][]byte // by name
	Snapshot Snapshot
	Entries  []Entry
}

// Disk stores a log, one snapshot below it and a few named pieces of metadata. What a method changed is durable when it returns
// nil; after an error the change may or may not have come about. Errors are of the kinds ErrFull, ErrDamaged, ErrSuperseded and
// ErrMisuse, or the file system's. Calls must not overlap.
type Disk interface {
	// Load returns everything that is stored. It must come before any other call.
	Load() (Contents, error)
	// Append adds entries at the end of the log, all of them or none. Their sequence numbers continue those of the log.
	Append(entries []Entry) error
	// Truncate drops the entries above after, which must not be below the snapshot.
	Truncate(after uint64) error
	// Compact replaces the entries up to snapshot.Seq by snapshot, whose Seq must be between the last snapshot's and the log's end.
	Compact(snapshot Snapshot) error
	// Install replaces the log and the snapshot by snapshot, of any Seq.
	Install(snapshot Snapshot) error
	// SaveMeta replaces the metadata called name, which has 1 to 64 bytes of a to z, 0 to 9 and _.
	SaveMeta(name string, data []byte) error
}
