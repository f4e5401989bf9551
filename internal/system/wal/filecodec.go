package wal

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// encodeFile encodes the file of a snapshot or of a piece of metadata: magic, fields, length of data, data and a checksum of all
// these. Each number takes 8 bytes in little endian order.
func encodeFile(magic []byte, fields []uint64, data []byte) []byte {
	b := append(make([]byte, 0, len(magic)+8*len(fields)+len(data)+16), magic...)
	for _, f := range fields {
		b = binary.LittleEndian.AppendUint64(b, f)
	}
	b = binary.LittleEndian.AppendUint64(b, uint64(len(data)))
	b = append(b, data...)
	return binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b))
}

// decodeFile decodes a file with the given number of fields that encodeFile encoded, and returns its fields and data. It returns
// false if b is not such a file. The data shares memory with b.
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
