package wal

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"gradeusher.example/gradeusher/internal/system/fields"
)

// The format of a segment's file, in little endian:
//
//	header: magic (8 bytes), number (8), number and live end of the previous segment (8, 8), generation of the snapshot that was
//	        current (8), nonce (8), checksum of all these (8)
//	record: magic (4), length of the payload (4), checksum (8), payload
//
// A record's checksum covers the segment's nonce, the record's offset, the length and the payload.
const (
	headerSize       = 56
	recordHeaderSize = 16 // bytes before the payload

	kindAppend   = 1 // payload: first sequence number, count, then each entry's length and data
	kindTruncate = 2 // payload: the sequence number above which entries are dropped
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

// sealRecord fills in the header of a record at offset in a segment; b consists of space for the header, and the payload.
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

// recordScanner finds the records in the content of one segment.
type recordScanner struct {
	content       []byte
	nonce         uint64
	skipChecksums bool // see TestingKnobs.SkipRecordChecksums
}

// record returns the record at offset with its header, or nil if no complete record starts there.
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

// hasRecordAfter reports whether a complete record starts after offset.
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
