package softstate

import "encoding/binary"

// EncodeListCovers is the value of the list's entry.
func EncodeListCovers(seq uint64) []byte { return binary.AppendUvarint(nil, seq) }

// ListCoversSeq is the newest record that the reading held covers; 0: none for certain.
func (t *Table) ListCoversSeq() uint64 {
	held := t.entries[ListKey]
	if held == nil {
		return 0
	}
	seq, n := binary.Uvarint(held.Value)
	if n <= 0 {
		return 0
	}
	return seq
}
