package wal

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"gradeusher.example/gradeusher/internal/system/fields"
)

// A segment is a header and records. The header holds magic, number, the number and the end of the segment before it, the
// generation of the snapshot that counted when the segment was made, a nonce and a checksum. A record holds magic, length, checksum and payload, one a call of Append or Truncate, so that one sync never
// covers two records and a torn record is always the last. A record's checksum covers the segment's nonce and its offset: what
// an earlier use of the block left there is never taken for a record. What a segment has behind the end that the next one's
// header gives does not count.
const (
	headerSize       = 56
	recordHeaderSize = 16 // before the payload

	kindAppend   = 1 // payload: first number, count, then each entry's length and data
	kindTruncate = 2 // payload: the number after which entries are dropped
)

const snapshotFirstSegmentOffset = 8 + 2*8 // where in a snapshot's file the number of the oldest segment that counts stands

var (
	segmentMagic  = []byte("GRDSEG03")
	recordMagic   = []byte("wrec")
	snapshotMagic = []byte("GRDSNP01")
	metaMagic     = []byte("GRDMET01")
)

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

func recordChecksum(nonce uint64, offset int64, payload []byte) uint64 {
	var head [24]byte
	binary.LittleEndian.PutUint64(head[0:], nonce)
	binary.LittleEndian.PutUint64(head[8:], uint64(offset))
	binary.LittleEndian.PutUint64(head[16:], uint64(len(payload)))
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(head[:])
	_, _ = d.Write(payload)
	return d.Sum64()
}

// sealRecord fills in the head of a record for offset; b is room for the head and the payload.
func sealRecord(b []byte, nonce uint64, offset int64) {
	copy(b, recordMagic)
	binary.LittleEndian.PutUint32(b[4:], uint32(len(b)-recordHeaderSize))
	binary.LittleEndian.PutUint64(b[8:], recordChecksum(nonce, offset, b[recordHeaderSize:]))
}

func newAppendRecord(entries []Entry) []byte {
	size := recordHeaderSize + 2*binary.MaxVarintLen64 + 1
	for _, e := range entries {
		size += binary.MaxVarintLen32 + len(e.Data)
	}
	b := append(make([]byte, recordHeaderSize, size), kindAppend)
	b = binary.AppendUvarint(b, entries[0].Seq)
	b = binary.AppendUvarint(b, uint64(len(entries)))
	for _, e := range entries {
		b = fields.AppendBytes(b, e.Data)
	}
	return b
}

func newTruncateRecord(after uint64) []byte {
	return binary.AppendUvarint(append(make([]byte, recordHeaderSize, recordHeaderSize+16), kindTruncate), after)
}

// recordScanner finds the records of one segment. Its checks may be taken out by tests.
type recordScanner struct {
	content       []byte
	nonce         uint64
	skipChecksums bool // without a look at the checksum
}

// record returns the record at offset with its head, nil where there is no whole one.
func (s recordScanner) record(offset int64) []byte {
	b := s.content[offset:]
	if len(b) <= recordHeaderSize || !bytes.HasPrefix(b, recordMagic) {
		return nil
	}
	n := int64(binary.LittleEndian.Uint32(b[4:]))
	if n == 0 || n > int64(len(b)-recordHeaderSize) {
		return nil
	}
	b = b[: recordHeaderSize+n : recordHeaderSize+n]
	if !s.skipChecksums && recordChecksum(s.nonce, offset, b[recordHeaderSize:]) != binary.LittleEndian.Uint64(b[8:]) {
		return nil
	}
	return b
}

// hasRecordAfter tells whether a whole record begins behind offset.
func (s recordScanner) hasRecordAfter(offset int64) bool {
	for at := offset + 1; at < int64(len(s.content)); at++ {
		i := bytes.Index(s.content[at:], recordMagic)
		if i < 0 {
			return false
		}
		if at += int64(i); s.record(at) != nil {
			return true
		}
	}
	return false
}

// encodeFile wraps what a snapshot or a piece of metadata holds.
func encodeFile(magic []byte, fields []uint64, data []byte) []byte {
	b := append(make([]byte, 0, len(magic)+8*len(fields)+len(data)+16), magic...)
	for _, f := range fields {
		b = binary.LittleEndian.AppendUint64(b, f)
	}
	b = binary.LittleEndian.AppendUint64(b, uint64(len(data)))
	b = append(b, data...)
	return binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b))
}

// decodeFile returns the fields and the data of what encodeFile made; data shares the memory of b.
func decodeFile(b, magic []byte, fields int) ([]uint64, []byte, bool) {
	head := len(magic) + 8*fields + 8
	if len(b) < head+8 || !bytes.HasPrefix(b, magic) ||
		xxhash.Sum64(b[:len(b)-8]) != binary.LittleEndian.Uint64(b[len(b)-8:]) {
		return nil, nil, false
	}
	all := make([]uint64, fields)
	for i := range all {
		all[i] = binary.LittleEndian.Uint64(b[len(magic)+8*i:])
	}
	data := b[head : len(b)-8]
	return all, data, binary.LittleEndian.Uint64(b[head-8:]) == uint64(len(data))
}
