package wal

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// snapshotFirstSegmentOffset is the byte offset of the oldest live segment's number in a snapshot's file.
const snapshotFirstSegmentOffset = 8 + 2*8

// segmentEnd is the live end of a segment. The zero value means no segment.
type segmentEnd struct {
	number uint64
	offset int64 // bytes from the start of the file
}

// segmentHeader is the start of a segment's file.
type segmentHeader struct {
	number     uint64
	previous   segmentEnd
	generation uint64 // generation of the current snapshot; 0 if none
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

// decodeSegmentHeader decodes the header of the segment with the given number; ok is false if the bytes are not such a header.
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
