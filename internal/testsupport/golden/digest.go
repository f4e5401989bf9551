package golden

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"math"
)

// Digest is the SHA-256 of what a run gives out, in the order in which it does, and the number of its steps. Values go into it as numbers and
// bytes under fixed tags, so that no name of a Go type, field or constant has a part in it. NewDigest makes one.
type Digest struct {
	sum   hash.Hash
	steps int
}

// NewDigest returns a digest of nothing.
func NewDigest() *Digest { return &Digest{sum: sha256.New()} }

// Step begins a step of the kind that the tag names.
func (d *Digest) Step(tag byte, values ...int64) {
	d.steps++
	d.bytes([]byte{tag})
	d.Ints(values...)
}

// TextStep begins a step whose tag is a text.
func (d *Digest) TextStep(tag string, values ...uint64) {
	d.steps++
	d.Text(tag)
	d.Uints(values...)
}

// Ints takes in signed numbers, 8 bytes each.
func (d *Digest) Ints(values ...int64) {
	for _, v := range values {
		d.Uints(uint64(v))
	}
}

// Uints takes in unsigned numbers, 8 bytes each.
func (d *Digest) Uints(values ...uint64) {
	for _, v := range values {
		d.bytes(binary.BigEndian.AppendUint64(nil, v))
	}
}

// Floats takes in the bits of floating-point numbers, 8 bytes each.
func (d *Digest) Floats(values ...float64) {
	for _, v := range values {
		d.Uints(math.Float64bits(v))
	}
}

// Bools takes in each value as the number 1 or 0.
func (d *Digest) Bools(values ...bool) {
	for _, v := range values {
		if v {
			d.Uints(1)
		} else {
			d.Uints(0)
		}
	}
}

// Text takes in a text's length and bytes.
func (d *Digest) Text(s string) { d.Bytes([]byte(s)) }

// Bytes takes in the length of b, then b.
func (d *Digest) Bytes(b []byte) {
	d.Ints(int64(len(b)))
	d.bytes(b)
}

// Write takes in b without its length, and never fails.
func (d *Digest) Write(b []byte) (int, error) {
	d.bytes(b)
	return len(b), nil
}

// Hex returns the hexadecimal digits of the digest so far.
func (d *Digest) Hex() string { return hex.EncodeToString(d.sum.Sum(nil)) }

// bytes takes in b as it is. A hash never fails.
func (d *Digest) bytes(b []byte) { _, _ = d.sum.Write(b) }

// line is the line of a scenario in its golden file: name, seed, number of steps and digest.
func (d *Digest) line(name string, seed uint64) string {
	return fmt.Sprintf("%s %d %d %s", name, seed, d.steps, d.Hex())
}
