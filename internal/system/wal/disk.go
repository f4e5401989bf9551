// Package wal is the write-ahead log of a keeper on its disk: segments of checksummed records, one snapshot below them, and a
// few named pieces of metadata. It does not know what the records mean.
package wal

// Entry is one opaque entry of the log. Sequence numbers run without
// gaps.
type Entry struct {
	Seq  uint64
	Data []byte
}

// Snapshot is an opaque image of all entries up to and including Seq.
type Snapshot struct {
	Seq  uint64
	Data []byte
}

// Disk keeps a log, one snapshot below it and a few named pieces of metadata.
// What a method changed is durable when it returns nil; after an error the
// change may or may not have come about. Calls must not overlap.
type Disk interface {
	// Load returns all that the disk holds. The entries follow the snapshot
	// without a gap.
	Load() (meta map[string][]byte, snapshot Snapshot, entries []Entry, err error)
	// Append adds entries at the end of the log.
	Append(entries []Entry) error
	// Truncate drops the entries above after.
	Truncate(after uint64) error
	// Compact replaces the entries up to snapshot.Seq by snapshot.
	Compact(snapshot Snapshot) error
	// Install replaces the log and the snapshot by snapshot.
	Install(snapshot Snapshot) error
	// SaveMeta replaces the metadata called name.
	SaveMeta(name string, data []byte) error
}
