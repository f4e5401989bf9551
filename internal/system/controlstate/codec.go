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

// Formats of an encoding. The first byte of an encoding is its format.
const (
	stateFormat       = 2
	legacyStateFormat = 1 // at most 256 changes, by 64-bit digests; does not store when zones were changed
)

// Encode returns the encoding of the state, which is the same for equal states: the format, the sequence number, zones, history,
// configuration and a checksum of all these.
func (s *State) Encode() []byte {
	size := 64 + 20*len(s.history.changes)
	if s.Config != nil {
		size += len(s.Config.Raw)
	}
	b := append(make([]byte, 0, size), stateFormat)
	b = binary.AppendUvarint(b, s.Seq)
	b = s.appendZones(b)
	b = s.history.encode(b)
	if s.Config == nil {
		b = append(b, 0)
	} else {
		b = fields.AppendBytes(append(b, 1), s.Config.Raw)
	}
	return binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b))
}

func (s *State) appendZones(b []byte) []byte {
	all := maps.Clone(s.zoneChanges.lastChange)
	if all == nil {
		all = map[string]uint64{}
	}
	for zone := range s.Evacuated {
		all[zone] = s.zoneChanges.lastChangeOf(zone)
	}
	b = binary.AppendUvarint(b, s.zoneChanges.floorSeq)
	b = binary.AppendUvarint(b, uint64(len(all)))
	for _, zone := range slices.Sorted(maps.Keys(all)) {
		b = fields.AppendBytes(b, zone)
		b = binary.AppendUvarint(b, all[zone])
		b = appendFlag(b, s.Evacuated[zone])
	}
	return b
}

func (d *stateReader) zones(state *State) {
	state.zoneChanges = zoneChanges{floorSeq: d.Uvarint(), lastChange: map[string]uint64{}}
	for n := d.Uvarint(); n > 0 && !d.Failed(); n-- {
		zone, changed, evacuated := string(d.Bytes()), d.Uvarint(), d.Byte() == 1
		if changed > state.zoneChanges.floorSeq {
			state.zoneChanges.lastChange[zone] = changed
		}
		if evacuated {
			state.Evacuated[zone] = true
		}
	}
}

// encode appends the history to b. Revisions and sequence numbers increase, so they are delta-encoded.
func (h *changeHistory) encode(b []byte) []byte {
	b = appendFlag(b, h.disabled)
	b = binary.AppendVarint(b, h.baseRevision)
	b = binary.AppendUvarint(b, uint64(h.legacyCount))
	b = binary.AppendUvarint(b, uint64(len(h.changes)))
	revision, seq := h.baseRevision, uint64(0)
	for _, change := range h.changes {
		b = binary.AppendUvarint(b, uint64(change.Revision-revision))
		b = binary.AppendUvarint(b, change.Seq-seq)
		b = append(b, change.Digest[:]...)
		revision, seq = change.Revision, change.Seq
	}
	return b
}

func (d *stateReader) history() changeHistory {
	decoded := changeHistory{disabled: d.Byte() == 1, baseRevision: d.Varint()}
	legacy := d.Uvarint()
	revision, seq := decoded.baseRevision, uint64(0)
	for n := d.Uvarint(); n > 0 && !d.Failed(); n-- {
		revision += int64(d.Uvarint())
		seq += d.Uvarint()
		change := appliedChange{Revision: revision, Seq: seq}
		copy(change.Digest[:], d.Next(len(change.Digest)))
		decoded.changes = append(decoded.changes, change)
	}
	if legacy > uint64(len(decoded.changes)) {
		d.Fail()
		return changeHistory{}
	}
	decoded.legacyCount = int(legacy)
	return decoded
}

// legacyBody decodes the part of format 1 between the sequence number and the configuration. Format 1 does not store when zones
// were changed, so the state's own sequence number is used: it is the latest possible.
func (d *stateReader) legacyBody(state *State) {
	state.zoneChanges = zoneChanges{floorSeq: state.Seq, lastChange: map[string]uint64{}}
	for n := d.Uvarint(); n > 0 && !d.Failed(); n-- {
		state.Evacuated[string(d.Bytes())] = true
	}
	for n := d.Uvarint(); n > 0 && !d.Failed(); n-- {
		change := appliedChange{Revision: d.Varint()}
		copy(change.Digest[:], d.Next(8))
		change.Seq = d.Uvarint()
		state.history.changes = append(state.history.changes, change)
	}
	const maxLegacyChanges = 256
	if len(state.history.changes) >= maxLegacyChanges {
		// Older changes may have been dropped, so the base of the oldest remaining change is unknown.
		state.history.baseRevision, state.history.changes = state.history.changes[0].Revision, state.history.changes[1:]
	}
	state.history.legacyCount = len(state.history.changes)
}

// Decode decodes an encoding that Encode of this or an earlier version of the software returned. Errors are marked ErrCorrupt. The
// state does not share memory with b.
func Decode(b []byte) (*State, error) {
	if len(b) < 8 || xxhash.Sum64(b[:len(b)-8]) != binary.LittleEndian.Uint64(b[len(b)-8:]) {
		return nil, corruptError()
	}
	reader := stateReader{fields.NewReader(b[:len(b)-8])}
	format := reader.Byte()
	state := &State{Seq: reader.Uvarint(), Evacuated: map[string]bool{}}
	switch format {
	case stateFormat:
		reader.zones(state)
		state.history = reader.history()
	case legacyStateFormat:
		reader.legacyBody(state)
	default:
		return nil, errors.Mark(errors.New("the state has an unknown format: run a newer version"), ErrCorrupt)
	}
	if reader.Byte() == 1 {
		raw := slices.Clone(reader.Bytes())
		if reader.Failed() {
			return nil, corruptError()
		}
		candidate, err := config.ParseAccepted(raw)
		if err != nil {
			return nil, errors.Mark(errors.Wrap(err, "decode the configuration in the state"), ErrCorrupt)
		}
		state.Config = candidate
	}
	if !reader.Complete() {
		return nil, corruptError()
	}
	return state, nil
}

func appendFlag(dst []byte, flag bool) []byte {
	if flag {
		return append(dst, 1)
	}
	return append(dst, 0)
}

// stateReader decodes the parts of a state.
type stateReader struct{ fields.Reader }
