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
	recordFormat = 1
	stateFormat  = 1
)

// digest tells changes apart; equal changes have equal ones on every machine.
func (c Change) digest() uint64 {
	var head [1 + 2*binary.MaxVarintLen64]byte
	b := append(head[:0], byte(c.Op))
	b = binary.AppendVarint(b, c.Base)
	b = binary.AppendUvarint(b, uint64(len(c.Body)))
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(b)
	_, _ = d.Write(c.Body)
	_, _ = d.WriteString(c.Zone)
	return d.Sum64()
}

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
	size := 64 + 32*len(s.taken)
	if s.Config != nil {
		size += len(s.Config.Raw)
	}
	b := append(make([]byte, 0, size), stateFormat)
	b = binary.AppendUvarint(b, s.Seq)
	b = binary.AppendUvarint(b, uint64(len(s.Evacuated)))
	for _, z := range slices.Sorted(maps.Keys(s.Evacuated)) {
		b = appendBytes(b, z)
	}
	b = binary.AppendUvarint(b, uint64(len(s.taken)))
	for _, t := range s.taken {
		b = binary.AppendVarint(b, t.Revision)
		b = binary.LittleEndian.AppendUint64(b, t.Digest)
		b = binary.AppendUvarint(b, t.Seq)
	}
	if s.Config == nil {
		b = append(b, 0)
	} else {
		b = appendBytes(append(b, 1), s.Config.Raw)
	}
	return binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b))
}

// Decode reads what Encode made. Errors are ErrCorrupt. The state does not share the memory of b.
func Decode(b []byte) (*State, error) {
	if len(b) < 8 || xxhash.Sum64(b[:len(b)-8]) != binary.LittleEndian.Uint64(b[len(b)-8:]) {
		return nil, corrupt("state")
	}
	d := reader{b: b[:len(b)-8]}
	if d.byte() != stateFormat {
		return nil, errors.Mark(errors.New("state in a format unknown here: run a newer version"), ErrCorrupt)
	}
	s := &State{Seq: d.uvarint(), Evacuated: map[string]bool{}}
	for n := d.uvarint(); n > 0 && !d.bad; n-- {
		s.Evacuated[string(d.bytes())] = true
	}
	for n := d.uvarint(); n > 0 && !d.bad; n-- {
		s.taken = append(s.taken, taken{Revision: d.varint(), Digest: d.uint64(), Seq: d.uvarint()})
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

func (d *reader) uint64() uint64 {
	if b := d.take(8); b != nil {
		return binary.LittleEndian.Uint64(b)
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
