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

var (
	segmentMagic  = []byte("GRDSEG03")
	recordMagic   = []byte("wrec")
	snapshotMagic = []byte("GRDSNP01")
	metaMagic     = []byte("GRDMET01")
)

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
