package fields_test

import (
	"encoding/binary"
	"testing"

	"pgregory.net/rapid"

	"gradeusher.example/gradeusher/internal/system/fields"
)

// TestReader: a Reader returns the fields that were encoded, and fails on every truncation of the encoding.
func TestReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")
		unsigned, signed, single := rapid.Uint64().Draw(t, "unsigned"), rapid.Int64().Draw(t, "signed"), rapid.Byte().Draw(t, "single")
		encoding := fields.AppendBytes(binary.AppendVarint(binary.AppendUvarint([]byte{single}, unsigned), signed), text)
		r := fields.NewReader(encoding)
		if r.Byte() != single || r.Uvarint() != unsigned || r.Varint() != signed || string(r.Bytes()) != string(text) || !r.Complete() {
			t.Fatalf("the fields read from %x differ from those written", encoding)
		}
		truncated := fields.NewReader(encoding[:rapid.IntRange(0, len(encoding)-1).Draw(t, "cut")])
		truncated.Byte()
		truncated.Uvarint()
		truncated.Varint()
		truncated.Bytes()
		if !truncated.Failed() || truncated.Complete() || truncated.Uvarint() != 0 {
			t.Fatalf("a truncation of %x is accepted as complete", encoding)
		}
	})
}

// TestUint64: Uint64 decodes eight bytes, and fails if there are fewer.
func TestUint64(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := rapid.Uint64().Draw(t, "value")
		encoding := binary.BigEndian.AppendUint64(nil, value)
		r := fields.NewReader(encoding)
		if got := r.Uint64(); got != value || !r.Complete() {
			t.Fatalf("%d is decoded as %d", value, got)
		}
		truncated := fields.NewReader(encoding[:rapid.IntRange(0, 7).Draw(t, "length")])
		if truncated.Uint64() != 0 || !truncated.Failed() {
			t.Fatal("a truncated integer is accepted as complete")
		}
	})
}

// TestLengthBeyondTheEnd: a length that exceeds the remaining input makes Bytes fail without allocating memory or wrapping around.
func TestLengthBeyondTheEnd(t *testing.T) {
	for _, length := range []uint64{2, 1 << 31, 1 << 63, 1<<64 - 1} {
		r := fields.NewReader(append(binary.AppendUvarint(nil, length), 'x'))
		if b := r.Bytes(); b != nil || !r.Failed() {
			t.Errorf("a byte string of length %d is decoded as %q, want a failure", length, b)
		}
	}
}
