package wal

import "slices"

// Mem is a Disk in memory, for tests. A Mem is used by one goroutine at a time.
type Mem struct {
	meta     map[string][]byte
	snapshot Snapshot
	entries  []Entry
}

var _ Disk = (*Mem)(nil)

// NewMem returns an empty disk.
func NewMem() *Mem { return &Mem{meta: map[string][]byte{}} }

// Load implements Disk.
func (m *Mem) Load() (map[string][]byte, Snapshot, []Entry, error) {
	meta := make(map[string][]byte, len(m.meta))
	for name, data := range m.meta {
		meta[name] = slices.Clone(data)
	}
	entries := make([]Entry, len(m.entries))
	for i, e := range m.entries {
		entries[i] = Entry{Seq: e.Seq, Data: slices.Clone(e.Data)}
	}
	return meta, Snapshot{Seq: m.snapshot.Seq, Data: slices.Clone(m.snapshot.Data)}, entries, nil
}

func (m *Mem) last() uint64 { return m.snapshot.Seq + uint64(len(m.entries)) }

// Append implements Disk.
func (m *Mem) Append(entries []Entry) error {
	if err := ValidateAppend(m.last(), entries); err != nil {
		return err
	}
	for _, e := range entries {
		m.entries = append(m.entries, Entry{Seq: e.Seq, Data: slices.Clone(e.Data)})
	}
	return nil
}

// Truncate implements Disk.
func (m *Mem) Truncate(after uint64) error {
	if err := ValidateTruncate(m.snapshot.Seq, after); err != nil {
		return err
	}
	if after < m.last() {
		m.entries = m.entries[:after-m.snapshot.Seq]
	}
	return nil
}

// Compact implements Disk.
func (m *Mem) Compact(s Snapshot) error {
	if err := ValidateCompact(m.snapshot.Seq, m.last(), s.Seq); err != nil {
		return err
	}
	m.entries = slices.Clone(m.entries[s.Seq-m.snapshot.Seq:])
	m.snapshot = Snapshot{Seq: s.Seq, Data: slices.Clone(s.Data)}
	return nil
}

// Install implements Disk.
func (m *Mem) Install(s Snapshot) error {
	m.entries, m.snapshot = nil, Snapshot{Seq: s.Seq, Data: slices.Clone(s.Data)}
	return nil
}

// SaveMeta implements Disk.
func (m *Mem) SaveMeta(name string, data []byte) error {
	if err := ValidateMetaName(name); err != nil {
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
