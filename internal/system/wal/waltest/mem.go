// Package waltest provides an in-memory wal.Disk for tests of packages that keep their state in a write-ahead log. It behaves like
// a wal.Log on a disk without faults, and rejects the same calls as a Log, with the same checks.
package waltest

import (
	"maps"
	"slices"

	"gradeusher.example/gradeusher/internal/system/wal"
)

// Mem is an in-memory wal.Disk. It must not be used by more than one goroutine at a time.
type Mem struct {
	meta     map[string][]byte
	snapshot wal.Snapshot
	entries  []wal.Entry
}

var _ wal.Disk = (*Mem)(nil)

// NewMem returns an empty disk.
func NewMem() *Mem { return &Mem{meta: map[string][]byte{}} }

// NewMemWith returns a disk with the contents that wal.Disk.Load returned. The disk shares memory with its argument, which must not
// be used afterwards.
func NewMemWith(stored wal.Contents) *Mem {
	return &Mem{meta: stored.Meta, snapshot: stored.Snapshot, entries: stored.Entries}
}

// Clone returns an independent copy of the disk.
func (m *Mem) Clone() *Mem {
	return &Mem{meta: maps.Clone(m.meta), snapshot: m.snapshot, entries: slices.Clone(m.entries)}
}

// Load implements wal.Disk.
func (m *Mem) Load() (wal.Contents, error) {
	meta := make(map[string][]byte, len(m.meta))
	for name, data := range m.meta {
		meta[name] = slices.Clone(data)
	}
	entries := make([]wal.Entry, len(m.entries))
	for i, e := range m.entries {
		entries[i] = wal.Entry{Seq: e.Seq, Data: slices.Clone(e.Data)}
	}
	return wal.Contents{Meta: meta, Snapshot: wal.Snapshot{Seq: m.snapshot.Seq, Data: slices.Clone(m.snapshot.Data)}, Entries: entries}, nil
}

// LastSeq returns the sequence number of the newest entry, or that of the snapshot if no entry follows it.
func (m *Mem) LastSeq() uint64 { return m.snapshot.Seq + uint64(len(m.entries)) }

// Append implements wal.Disk.
func (m *Mem) Append(entries []wal.Entry) error {
	if err := wal.ValidateAppend(m.LastSeq(), entries); err != nil {
		return err
	}
	for _, e := range entries {
		m.entries = append(m.entries, wal.Entry{Seq: e.Seq, Data: slices.Clone(e.Data)})
	}
	return nil
}

// Truncate implements wal.Disk.
func (m *Mem) Truncate(after uint64) error {
	if err := wal.ValidateTruncate(m.snapshot.Seq, after); err != nil {
		return err
	}
	if after < m.LastSeq() {
		m.entries = m.entries[:after-m.snapshot.Seq]
	}
	return nil
}

// Compact implements wal.Disk.
func (m *Mem) Compact(snapshot wal.Snapshot) error {
	if err := wal.ValidateCompact(m.snapshot.Seq, m.LastSeq(), snapshot.Seq); err != nil {
		return err
	}
	m.entries = slices.Clone(m.entries[snapshot.Seq-m.snapshot.Seq:])
	m.snapshot = wal.Snapshot{Seq: snapshot.Seq, Data: slices.Clone(snapshot.Data)}
	return nil
}

// Install implements wal.Disk.
func (m *Mem) Install(snapshot wal.Snapshot) error {
	m.entries, m.snapshot = nil, wal.Snapshot{Seq: snapshot.Seq, Data: slices.Clone(snapshot.Data)}
	return nil
}

// SaveMeta implements wal.Disk.
func (m *Mem) SaveMeta(name string, data []byte) error {
	if err := wal.ValidateMetaName(name); err != nil {
		return err
	}
	m.meta[name] = slices.Clone(data)
	return nil
}

// Quarantine empties the disk.
func (m *Mem) Quarantine() error {
	*m = Mem{meta: map[string][]byte{}}
	return nil
}

// Meta returns the metadata called name, or nil if there is none.
func (m *Mem) Meta(name string) []byte { return slices.Clone(m.meta[name]) }
