package fields

import (
	"encoding/binary"
	"testing"

	"pgregory.net/rapid"
)

// TestReader: what was written is read, and every cut of it fails.
func TestReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")
		unsigned, signed, single := rapid.Uint64().Draw(t, "unsigned"), rapid.Int64().Draw(t, "signed"), rapid.Byte().Draw(t, "single")
		encoding := AppendBytes(binary.AppendVarint(binary.AppendUvarint([]byte{single}, unsigned), signed), text)
		r := NewReader(encoding)
		if r.Byte() != single || r.Uvarint() != unsigned || r.Varint() != signed || string(r.Bytes()) != string(text) || !r.Complete() {
			t.Fatalf("%x is read otherwise than it was written", encoding)
		}
		cut := NewReader(encoding[:rapid.IntRange(0, len(encoding)-1).Draw(t, "cut")])
		cut.Byte()
		cut.Uvarint()
		cut.Varint()
		cut.Bytes()
		if !cut.Failed() || cut.Complete() || cut.Uvarint() != 0 {
			t.Fatalf("a cut of %x is read as complete", encoding)
		}
	})
}

// TestLengthBeyondTheEnd: a length that is larger than what is left is no allocation and no wrap.
func TestLengthBeyondTheEnd(t *testing.T) {
	for _, length := range []uint64{2, 1 << 31, 1 << 63, 1<<64 - 1} {
		r := NewReader(append(binary.AppendUvarint(nil, length), 'x'))
		if b := r.Bytes(); b != nil || !r.Failed() {
			t.Errorf("length %d gives %q", length, b)
		}
	}
}
