package wal

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const snapshotFirstSegmentOffset = 8 + 2*8 // where in a snapshot's file the number of the oldest segment that counts stands

// segmentEnd names a segment and the bytes of it that count. The zero segmentEnd names none.
type segmentEnd struct {
	number uint64
	offset int64
}

// segmentHeader is what stands at the start of a segment.
type segmentHeader struct {
	number     uint64
	previous   segmentEnd
	generation uint64 // of the snapshot; 0: none
	nonce      uint64
}

func (h segmentHeader) encode() []byte {
	b := append(make([]byte, 0, headerSize), segmentMagic...)
	b = binary.LittleEndian.AppendUint64(b, h.number)
	b = binary.LittleEndian.AppendUint64(b, h.previous.number)
	b = binary.LittleEndian.AppendUint64(b, uint64(h.previous.offset))
	b = binary.LittleEndian.AppendUint64(b, h.generation)
	b = binary.LittleEndian.AppendUint64(b, h.nonce)
	return binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b))
}

// decodeSegmentHeader reads the header of the segment with the number.
func decodeSegmentHeader(b []byte, number uint64) (h segmentHeader, ok bool) {
	if len(b) < headerSize {
		return segmentHeader{}, false
	}
	h = segmentHeader{
		number: number,
		previous: segmentEnd{
			number: binary.LittleEndian.Uint64(b[16:]),
			offset: int64(binary.LittleEndian.Uint64(b[24:])),
		},
		generation: binary.LittleEndian.Uint64(b[32:]),
		nonce:      binary.LittleEndian.Uint64(b[40:]),
	}
	return h, bytes.Equal(b[:headerSize], h.encode()) && h.previous.number < number
}
