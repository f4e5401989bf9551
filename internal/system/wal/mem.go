package wal

import "slices"

// Mem is a Disk in memory, for tests. Fail, where set, is asked before every change with the method's name, and its error
// returned in place of the change. A Mem is used by one goroutine at a time.
type Mem struct {
	Fail func(method string) error

	meta     map[string][]byte
	snapshot Snapshot
	entries  []Entry
}

var _ Disk = (*Mem)(nil)

// NewMem returns an empty disk.
func NewMem() *Mem { return &Mem{meta: map[string][]byte{}} }

func (m *Mem) failed(method string) error {
	if m.Fail == nil {
		return nil
	}
	return m.Fail(method)
}

// Load implements Disk.
func (m *Mem) Load() (map[string][]byte, Snapshot, []Entry, error) {
	if err := m.failed("Load"); err != nil {
		return nil, Snapshot{}, nil, err
	}
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
	if err := m.failed("Append"); err != nil {
		return err
	}
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
	if err := m.failed("Truncate"); err != nil {
		return err
	}
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
	if err := m.failed("Compact"); err != nil {
		return err
	}
	if err := ValidateCompact(m.snapshot.Seq, m.last(), s.Seq); err != nil {
		return err
	}
	m.entries = slices.Clone(m.entries[s.Seq-m.snapshot.Seq:])
	m.snapshot = Snapshot{Seq: s.Seq, Data: slices.Clone(s.Data)}
	return nil
}

// Install implements Disk.
func (m *Mem) Install(s Snapshot) error {
	if err := m.failed("Install"); err != nil {
		return err
	}
	m.entries, m.snapshot = nil, Snapshot{Seq: s.Seq, Data: slices.Clone(s.Data)}
	return nil
}

// SaveMeta implements Disk.
func (m *Mem) SaveMeta(name string, data []byte) error {
	if err := m.failed("SaveMeta"); err != nil {
		return err
	}
	if err := ValidateMetaName(name); err != nil {
		return err
	}
	m.meta[name] = slices.Clone(data)
	return nil
}

// Quarantine empties the disk.
func (m *Mem) Quarantine() error {
	if err := m.failed("PutAside"); err != nil {
		return err
	}
	*m = Mem{Fail: m.Fail, meta: map[string][]byte{}}
	return nil
}

func ValidateAppend(last uint64, entries []Entry) error {
	for i, e := range entries {
		if e.Seq != last+1+uint64(i) {
			return misuseError("entry %d does not follow %d: append without gaps", e.Seq, last+uint64(i))
		}
	}
	return nil
}

func ValidateTruncate(snapshot, after uint64) error {
	if after < snapshot {
		return misuseError("cut after %d is below the snapshot at %d: install an older snapshot instead", after, snapshot)
	}
	return nil
}

func ValidateCompact(snapshot, last, seq uint64) error {
	if seq < snapshot || seq > last {
		return misuseError("snapshot at %d is outside the log from %d to %d: install it instead", seq, snapshot, last)
	}
	return nil
}

// ValidateMetaName allows names of metadata that are safe in a file's name.
func ValidateMetaName(name string) error {
	if name == "" || len(name) > 64 {
		return misuseError("metadata needs a name of 1 to 64 bytes, not %d", len(name))
	}
	for _, r := range name {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '_' {
			return misuseError("metadata name %q: use a to z, 0 to 9 and _", name)
		}
	}
	return nil
}
