package controlstate

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// digest identifies a change: the first 16 bytes of a SHA-256. It is compared only with the digest of the one change that was
// applied on the same revision, so a collision needs a second change on the same base.
type digest [16]byte

// digestHeader encodes the fields that the digests cover ahead of the body.
func (c Change) digestHeader() []byte {
	b := append(make([]byte, 0, 1+2*binary.MaxVarintLen64), byte(c.Op))
	b = binary.AppendVarint(b, c.Base)
	return binary.AppendUvarint(b, uint64(len(c.Body)))
}

// digest returns the digest of the operation, the base, the length and bytes of the body, and the zone. It is the same on every
// machine.
func (c Change) digest() (out digest) {
	d := sha256.New()
	_, _ = d.Write(c.digestHeader())
	_, _ = d.Write(c.Body)
	_, _ = d.Write([]byte(c.Zone))
	copy(out[:], d.Sum(nil))
	return out
}

// legacyDigest returns the 64-bit digest that encoding 1 uses.
func (c Change) legacyDigest() (out digest) {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(c.digestHeader())
	_, _ = d.Write(c.Body)
	_, _ = d.WriteString(c.Zone)
	binary.LittleEndian.PutUint64(out[:], d.Sum64())
	return out
}
