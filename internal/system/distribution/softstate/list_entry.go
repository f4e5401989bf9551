package softstate

import "encoding/binary"

// EncodeListCovers returns the value of the list's entry: the newest record of the control state that the reading covers.
func EncodeListCovers(seq uint64) []byte { return binary.AppendUvarint(nil, seq) }

// ListCoversSeq returns the number of the newest record of the control state that the stored reading of the list certainly covers; 0:
// none.
func (t *Table) ListCoversSeq() uint64 {
	list := t.entries[ListKey]
	if list == nil {
		return 0
	}
	seq, size := binary.Uvarint(list.Value)
	if size <= 0 {
		return 0
	}
	return seq
}
