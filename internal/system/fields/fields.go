// Package fields encodes and decodes the fields of records and snapshots on disk, and of messages that are not Protocol Buffers.
//
// An encoding is a sequence of single bytes, integers and length-prefixed byte strings. An integer has either a variable length, as
// in encoding/binary (the base-128 varints of Protocol Buffers), or eight bytes. An encoding has neither tags nor a checksum: the
// reader must know the order of fields, and the layers above check integrity. Decoding never panics, never wraps around and never
// allocates memory based on a length that it has read: a Reader returns parts of its input.
package fields

import "encoding/binary"

// AppendBytes appends the length of b as an unsigned varint, and b itself.
func AppendBytes[T string | []byte](dst []byte, b T) []byte {
	return append(binary.AppendUvarint(dst, uint64(len(b))), b...)
}

// Reader decodes the fields of an encoding in order. Its error is sticky: once a field is missing, or Fail was called, every later
// read returns zero. Callers may therefore check Failed or Complete once, after a group of fields.
type Reader struct {
	rest   []byte // not read yet
	failed bool
}

// NewReader returns a Reader of b. b must not be changed while byte strings that were read from it are in use: they share its
// memory.
func NewReader(b []byte) Reader { return Reader{rest: b} }

// Fail marks the encoding as malformed, for checks that only the caller can make.
func (r *Reader) Fail() { r.failed = true }

// Failed reports whether a field was missing or malformed, or Fail was called.
func (r *Reader) Failed() bool { return r.failed }

// Complete reports whether all fields were present and no input is left after them.
func (r *Reader) Complete() bool { return !r.failed && len(r.rest) == 0 }

// Next reads n bytes. It fails and returns nil if fewer are left.
func (r *Reader) Next(n int) []byte {
	if r.failed || n < 0 || n > len(r.rest) {
		r.failed = true
		return nil
	}
	b := r.rest[:n:n]
	r.rest = r.rest[n:]
	return b
}

// Byte reads a single byte.
func (r *Reader) Byte() byte {
	if b := r.Next(1); b != nil {
		return b[0]
	}
	return 0
}

// Uint64 reads an unsigned integer of eight bytes, big endian.
func (r *Reader) Uint64() uint64 {
	if b := r.Next(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

// Uvarint reads an unsigned varint.
func (r *Reader) Uvarint() uint64 {
	value, size := binary.Uvarint(r.rest)
	if !r.skip(size) {
		return 0
	}
	return value
}

// Varint reads a signed varint (zigzag).
func (r *Reader) Varint() int64 {
	value, size := binary.Varint(r.rest)
	if !r.skip(size) {
		return 0
	}
	return value
}

// skip drops the n bytes of an integer. It fails and returns false if n is 0 or less, which binary.Uvarint and binary.Varint return
// for a malformed integer.
func (r *Reader) skip(n int) bool {
	if r.failed || n <= 0 {
		r.failed = true
		return false
	}
	r.rest = r.rest[n:]
	return true
}

// Bytes reads a byte string that AppendBytes wrote.
func (r *Reader) Bytes() []byte {
	length := r.Uvarint()
	if length > uint64(len(r.rest)) { // this also covers a length that overflows int
		r.failed = true
		return nil
	}
	return r.Next(int(length))
}
