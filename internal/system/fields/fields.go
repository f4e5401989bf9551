// Package fields encodes and decodes the fields of records and snapshots on disk: variable-length integers (encoding/binary), single
// bytes, and byte strings behind their length.
package fields

import "encoding/binary"

// AppendBytes appends the length of b and b itself.
func AppendBytes[T string | []byte](dst []byte, b T) []byte {
	return append(binary.AppendUvarint(dst, uint64(len(b))), b...)
}

// Reader takes fields off the front of an encoding. Once one is missing, or has been found wrong by Fail, it has failed for good
// and gives zeros.
type Reader struct {
	rest   []byte
	failed bool
}

// NewReader reads from b, which must not be changed while what was read is in use.
func NewReader(b []byte) Reader { return Reader{rest: b} }

// Fail marks the encoding as wrong.
func (r *Reader) Fail() { r.failed = true }

// Failed tells whether a field was missing or wrong.
func (r *Reader) Failed() bool { return r.failed }

// Complete tells whether all fields were there and nothing is left behind them.
func (r *Reader) Complete() bool { return !r.failed && len(r.rest) == 0 }

// Next reads n bytes; nil where there are fewer.
func (r *Reader) Next(n int) []byte {
	if r.failed || n < 0 || n > len(r.rest) {
		r.failed = true
		return nil
	}
	b := r.rest[:n:n]
	r.rest = r.rest[n:]
	return b
}

// Byte reads one byte.
func (r *Reader) Byte() byte {
	if b := r.Next(1); b != nil {
		return b[0]
	}
	return 0
}

// Uvarint reads an unsigned integer of variable length.
func (r *Reader) Uvarint() uint64 {
	value, size := binary.Uvarint(r.rest)
	if !r.skip(size) {
		return 0
	}
	return value
}

// Varint reads a signed integer of variable length.
func (r *Reader) Varint() int64 {
	value, size := binary.Varint(r.rest)
	if !r.skip(size) {
		return 0
	}
	return value
}

// skip drops the n bytes of an integer; false where n says that there is none, as binary.Uvarint does by 0 or less.
func (r *Reader) skip(n int) bool {
	if r.failed || n <= 0 {
		r.failed = true
		return false
	}
	r.rest = r.rest[n:]
	return true
}

// Bytes reads what AppendBytes has written.
func (r *Reader) Bytes() []byte {
	n := r.Uvarint()
	if n > uint64(len(r.rest)) {
		r.failed = true
		return nil
	}
	return r.Next(int(n))
}
