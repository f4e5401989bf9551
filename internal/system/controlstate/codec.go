package controlstate

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/conf"
)

// Formats of encodings, each its first byte.
const (
	recordFormat      = 1
	stateFormat       = 2
	legacyStateFormat = 1 // remembers 256 changes by digests of 64 bits, and not when zones were changed
)

// AppendRecord appends the encoding of r to dst. It has no digest of its own.
func AppendRecord(dst []byte, r Record) []byte {
	dst = append(dst, recordFormat, byte(r.Op))
	dst = binary.AppendUvarint(dst, r.Seq)
	dst = binary.AppendVarint(dst, r.Base)
	dst = appendBytes(dst, r.Body)
	return appendBytes(dst, r.Zone)
}

// DecodeRecord reads what AppendRecord made, and no byte more. Body shares the memory of b. Errors are ErrCorrupt.
func DecodeRecord(b []byte) (Record, error) {
	d := reader{b: b}
	if d.byte() != recordFormat {
		return Record{}, corrupt("record")
	}
	r := Record{Op: Op(d.byte()), Seq: d.uvarint(), Base: d.varint(), Body: d.bytes(), Zone: string(d.bytes())}
	if d.bad || len(d.b) > 0 {
		return Record{}, corrupt("record")
	}
	return r, nil
}

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
		b = appendBytes(append(b, 1), s.Config.Raw)
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
		b = appendBytes(b, zone)
		b = binary.AppendUvarint(b, all[zone])
		b = appendFlag(b, s.Evacuated[zone])
	}
	return b
}

func (d *reader) zones(s *State) {
	s.zones = zoneChanges{floor: d.uvarint(), last: map[string]uint64{}}
	for n := d.uvarint(); n > 0 && !d.bad; n-- {
		zone, changed, evacuated := string(d.bytes()), d.uvarint(), d.byte() == 1
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
	h := history{forgetful: d.byte() == 1, base: d.varint()}
	legacy := d.uvarint()
	revision, seq := h.base, uint64(0)
	for n := d.uvarint(); n > 0 && !d.bad; n-- {
		revision += int64(d.uvarint())
		seq += d.uvarint()
		c := appliedChange{Revision: revision, Seq: seq}
		copy(c.Digest[:], d.take(len(c.Digest)))
		h.changes = append(h.changes, c)
	}
	if legacy > uint64(len(h.changes)) {
		d.bad = true
		return history{}
	}
	h.legacy = int(legacy)
	return h
}

// legacyBody reads what encoding 1 has between the number and the configuration. When zones were changed it does not tell:
// the number of the state is the latest that can be.
func (d *reader) legacyBody(s *State) {
	s.zones = zoneChanges{floor: s.Seq, last: map[string]uint64{}}
	for n := d.uvarint(); n > 0 && !d.bad; n-- {
		s.Evacuated[string(d.bytes())] = true
	}
	for n := d.uvarint(); n > 0 && !d.bad; n-- {
		c := appliedChange{Revision: d.varint()}
		copy(c.Digest[:], d.take(8))
		c.Seq = d.uvarint()
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
		return nil, corrupt("state")
	}
	d := reader{b: b[:len(b)-8]}
	format := d.byte()
	s := &State{Seq: d.uvarint(), Evacuated: map[string]bool{}}
	switch format {
	case stateFormat:
		d.zones(s)
		s.history = d.history()
	case legacyStateFormat:
		d.legacyBody(s)
	default:
		return nil, errors.Mark(errors.New("state in a format unknown here: run a newer version"), ErrCorrupt)
	}
	if d.byte() == 1 {
		raw := slices.Clone(d.bytes())
		if d.bad {
			return nil, corrupt("state")
		}
		config, err := conf.Parse(raw)
		if err != nil {
			return nil, errors.Mark(errors.Wrap(err, "state with a configuration that cannot be read here"), ErrCorrupt)
		}
		s.Config = config
	}
	if d.bad || len(d.b) > 0 {
		return nil, corrupt("state")
	}
	return s, nil
}

func corrupt(what string) error {
	return errors.Mark(errors.Newf("bytes that are no whole %s: fetch it again", what), ErrCorrupt)
}

func appendBytes[T string | []byte](dst []byte, b T) []byte {
	return append(binary.AppendUvarint(dst, uint64(len(b))), b...)
}

func appendFlag(dst []byte, flag bool) []byte {
	if flag {
		return append(dst, 1)
	}
	return append(dst, 0)
}

// reader takes fields off the front of b; once one is missing it is bad and gives zeros.
type reader struct {
	b   []byte
	bad bool
}

func (d *reader) take(n int) []byte {
	if d.bad || n < 0 || n > len(d.b) {
		d.bad = true
		return nil
	}
	b := d.b[:n:n]
	d.b = d.b[n:]
	return b
}

func (d *reader) byte() byte {
	if b := d.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (d *reader) uvarint() uint64 {
	v, n := binary.Uvarint(d.b)
	if n <= 0 {
		d.bad = true
		return 0
	}
	d.b = d.b[n:]
	return v
}

func (d *reader) varint() int64 {
	v, n := binary.Varint(d.b)
	if n <= 0 {
		d.bad = true
		return 0
	}
	d.b = d.b[n:]
	return v
}

func (d *reader) bytes() []byte {
	n := d.uvarint()
	if n > uint64(len(d.b)) {
		d.bad = true
		return nil
	}
	return d.take(int(n))
}
