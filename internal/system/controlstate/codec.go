package controlstate

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/fields"
)

// Formats of encodings, each its first byte.
const (
	stateFormat       = 2
	legacyStateFormat = 1 // remembers 256 changes by digests of 64 bits, and not when zones were changed
)

// Encode returns the state as bytes, the same for equal states.
func (s *State) Encode() []byte {
	size := 64 + 20*len(s.history.changes)
	if s.Config != nil {
		size += len(s.Config.Raw)
	}
	b := append(make([]byte, 0, size), stateFormat)
	b = binary.AppendUvarint(b, s.Seq)
	b = s.appendZones(b)
	b = s.history.append(b)
	if s.Config == nil {
		b = append(b, 0)
	} else {
		b = fields.AppendBytes(append(b, 1), s.Config.Raw)
	}
	return binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b))
}

func (s *State) appendZones(b []byte) []byte {
	all := maps.Clone(s.zones.last)
	if all == nil {
		all = map[string]uint64{}
	}
	for zone := range s.Evacuated {
		all[zone] = s.zones.changed(zone)
	}
	b = binary.AppendUvarint(b, s.zones.floor)
	b = binary.AppendUvarint(b, uint64(len(all)))
	for _, zone := range slices.Sorted(maps.Keys(all)) {
		b = fields.AppendBytes(b, zone)
		b = binary.AppendUvarint(b, all[zone])
		b = appendFlag(b, s.Evacuated[zone])
	}
	return b
}

func (d *reader) zones(s *State) {
	s.zones = zoneChanges{floor: d.Uvarint(), last: map[string]uint64{}}
	for n := d.Uvarint(); n > 0 && !d.Failed(); n-- {
		zone, changed, evacuated := string(d.Bytes()), d.Uvarint(), d.Byte() == 1
		if changed > s.zones.floor {
			s.zones.last[zone] = changed
		}
		if evacuated {
			s.Evacuated[zone] = true
		}
	}
}

// append encodes the history; revisions and numbers rise, so their steps are told.
func (h *history) append(b []byte) []byte {
	b = appendFlag(b, h.forgetful)
	b = binary.AppendVarint(b, h.base)
	b = binary.AppendUvarint(b, uint64(h.legacy))
	b = binary.AppendUvarint(b, uint64(len(h.changes)))
	revision, seq := h.base, uint64(0)
	for _, c := range h.changes {
		b = binary.AppendUvarint(b, uint64(c.Revision-revision))
		b = binary.AppendUvarint(b, c.Seq-seq)
		b = append(b, c.Digest[:]...)
		revision, seq = c.Revision, c.Seq
	}
	return b
}

func (d *reader) history() history {
	h := history{forgetful: d.Byte() == 1, base: d.Varint()}
	legacy := d.Uvarint()
	revision, seq := h.base, uint64(0)
	for n := d.Uvarint(); n > 0 && !d.Failed(); n-- {
		revision += int64(d.Uvarint())
		seq += d.Uvarint()
		c := appliedChange{Revision: revision, Seq: seq}
		copy(c.Digest[:], d.Next(len(c.Digest)))
		h.changes = append(h.changes, c)
	}
	if legacy > uint64(len(h.changes)) {
		d.Fail()
		return history{}
	}
	h.legacy = int(legacy)
	return h
}

// legacyBody reads what encoding 1 has between the number and the configuration. When zones were changed it does not tell:
// the number of the state is the latest that can be.
func (d *reader) legacyBody(s *State) {
	s.zones = zoneChanges{floor: s.Seq, last: map[string]uint64{}}
	for n := d.Uvarint(); n > 0 && !d.Failed(); n-- {
		s.Evacuated[string(d.Bytes())] = true
	}
	for n := d.Uvarint(); n > 0 && !d.Failed(); n-- {
		c := appliedChange{Revision: d.Varint()}
		copy(c.Digest[:], d.Next(8))
		c.Seq = d.Uvarint()
		s.history.changes = append(s.history.changes, c)
	}
	const most = 256
	if len(s.history.changes) >= most {
		// There may have been more, so what the oldest builds on is not known.
		s.history.base, s.history.changes = s.history.changes[0].Revision, s.history.changes[1:]
	}
	s.history.legacy = len(s.history.changes)
}

// Decode reads what Encode made, also that of earlier versions of the software. Errors are ErrCorrupt. The state does not
// share the memory of b.
func Decode(b []byte) (*State, error) {
	if len(b) < 8 || xxhash.Sum64(b[:len(b)-8]) != binary.LittleEndian.Uint64(b[len(b)-8:]) {
		return nil, corrupt()
	}
	d := reader{fields.NewReader(b[:len(b)-8])}
	format := d.Byte()
	s := &State{Seq: d.Uvarint(), Evacuated: map[string]bool{}}
	switch format {
	case stateFormat:
		d.zones(s)
		s.history = d.history()
	case legacyStateFormat:
		d.legacyBody(s)
	default:
		return nil, errors.Mark(errors.New("state in a format unknown here: run a newer version"), ErrCorrupt)
	}
	if d.Byte() == 1 {
		raw := slices.Clone(d.Bytes())
		if d.Failed() {
			return nil, corrupt()
		}
		candidate, err := config.Parse(raw)
		if err != nil {
			return nil, errors.Mark(errors.Wrap(err, "state with a configuration that cannot be read here"), ErrCorrupt)
		}
		s.Config = candidate
	}
	if !d.Complete() {
		return nil, corrupt()
	}
	return s, nil
}

func corrupt() error {
	return errors.Mark(errors.New("bytes that are no whole state: fetch it again"), ErrCorrupt)
}

func appendFlag(dst []byte, flag bool) []byte {
	if flag {
		return append(dst, 1)
	}
	return append(dst, 0)
}

// reader decodes what a state is made of.
type reader struct{ fields.Reader }
