package members

import (
	"encoding/binary"
	"errors"
	"time"
)

// The bounds of what members send each other. A frame fits into one UDP packet with room for memberlist's own headers.
const (
	MaxPayloadBytes = 768     // of one state
	MaxKinds        = 8       // kinds of states: 0 to 7
	MaxNameBytes    = 96      // of a member's name
	maxStateBytes   = 1 << 19 // of all frames of one push-pull
)

// The forms of frames, in the first byte. The forms of an exchange are in digest.go. A frame of an unknown form comes from a later
// version of the program: it is ignored and counted as malformed.
const (
	updateForm   = 1
	claimForm    = 2
	farewellForm = 3
)

var errMalformed = errors.New("torn or foreign")

// frame is an update, or the state that it was stored as. The encoding is written with encoding/binary and not by a codec that uses
// reflection: with 300 members a process decodes thousands of frames a second, most of them duplicates, and only the age in a frame
// changes at each hop.
type frame struct {
	name         string        // of the origin
	kind         uint8         // less than MaxKinds
	start        int64         // of the origin's process
	seq          uint64        // rises by 1 with each state that the process publishes, of whatever kind
	publishedAt  time.Duration // by the clock of the origin's process, which counts from its start
	forwardedAge time.Duration // the part of its age that passed at the members that forwarded it; 0 in stored states
	payload      []byte        // nil in stored states that are older than the TTL

	// Only stored states have these.
	key    uint64   // see hash
	offset *float64 // that of the origin's process, see states
}

const (
	ageOffset   = 2                 // where the age is in an encoded update, after its form and kind
	headerBytes = ageOffset + 4 + 8 // up to the end of the start
)

// encode encodes an update: form, kind, age in milliseconds, start, seq, time of publishing in microseconds, name, payload. Integers are
// big-endian or varints, and the lengths of name and payload stand before them.
func (f *frame) encode() []byte { return f.appendTo(make([]byte, 0, f.size())) }

// size returns how many bytes the encoding has at most.
func (f *frame) size() int {
	return headerBytes + 2*binary.MaxVarintLen64 + 1 + len(f.name) + 2 + len(f.payload)
}

func (f *frame) appendTo(b []byte) []byte {
	b = append(b, updateForm, f.kind)
	b = binary.BigEndian.AppendUint32(b, roundUpMS(f.forwardedAge))
	b = binary.BigEndian.AppendUint64(b, uint64(f.start))
	b = binary.AppendUvarint(b, f.seq)
	b = binary.AppendUvarint(b, uint64(f.publishedAt/time.Microsecond))
	b = append(append(b, byte(len(f.name))), f.name...)
	b = binary.BigEndian.AppendUint16(b, uint16(len(f.payload)))
	return append(b, f.payload...)
}

// withAge returns a copy of an encoded update with another age.
func withAge(encoded []byte, age time.Duration) []byte {
	b := append([]byte(nil), encoded...)
	binary.BigEndian.PutUint32(b[ageOffset:], roundUpMS(age))
	return b
}

// roundUpMS returns an age in milliseconds, rounded up. Rounded down, an update would become younger at each hop.
func roundUpMS(age time.Duration) uint32 {
	return uint32(min(max(0, (age+time.Millisecond-1)/time.Millisecond), 1<<32-1))
}

// decodeUpdate decodes an update, and returns errMalformed if b is none. The result shares no memory with b.
func decodeUpdate(b []byte) (f frame, err error) {
	if len(b) < headerBytes || b[0] != updateForm || b[1] >= MaxKinds {
		return f, errMalformed
	}
	f.kind = b[1]
	f.forwardedAge = time.Duration(binary.BigEndian.Uint32(b[ageOffset:])) * time.Millisecond
	f.start = int64(binary.BigEndian.Uint64(b[ageOffset+4:]))
	rest := b[headerBytes:]
	var publishedMicroseconds uint64
	for _, to := range []*uint64{&f.seq, &publishedMicroseconds} {
		value, size := binary.Uvarint(rest)
		if size <= 0 {
			return f, errMalformed
		}
		*to = value
		rest = rest[size:]
	}
	if len(rest) < 1 || publishedMicroseconds > uint64(1<<63-1)/uint64(time.Microsecond) || f.start <= 0 {
		return f, errMalformed
	}
	f.publishedAt = time.Duration(publishedMicroseconds) * time.Microsecond
	n := int(rest[0])
	if rest = rest[1:]; n == 0 || n > MaxNameBytes || len(rest) < n+2 {
		return f, errMalformed
	}
	f.name, rest = string(rest[:n]), rest[n:]
	if n = int(binary.BigEndian.Uint16(rest)); n > MaxPayloadBytes || len(rest) != n+2 {
		return f, errMalformed
	}
	f.payload = append([]byte(nil), rest[2:]...)
	return f, nil
}

// claimSize is the length of an encoded claim: form, count, hash.
const claimSize = 1 + 4 + 4

func (c claim) encode() []byte {
	b := binary.BigEndian.AppendUint32([]byte{claimForm}, c.count)
	return binary.BigEndian.AppendUint32(b, c.hash)
}

func decodeClaim(b []byte) (c claim, err error) {
	if len(b) != claimSize || b[0] != claimForm {
		return c, errMalformed
	}
	return claim{binary.BigEndian.Uint32(b[1:]), binary.BigEndian.Uint32(b[5:])}, nil
}

// encodeFarewell encodes the farewell of a process.
func (p process) encodeFarewell() []byte {
	return append(binary.BigEndian.AppendUint64([]byte{farewellForm}, uint64(p.start)), p.name...)
}

func decodeFarewell(b []byte) (p process, err error) {
	if len(b) < 10 || len(b) > 9+MaxNameBytes || b[0] != farewellForm {
		return p, errMalformed
	}
	return process{string(b[9:]), int64(binary.BigEndian.Uint64(b[1:]))}, nil
}

// pack concatenates frames, each after its length of 2 bytes. It ends before the frame that would exceed maxStateBytes.
func pack(frames [][]byte) (packed []byte, leftOut int) {
	for i, f := range frames {
		if len(packed)+2+len(f) > maxStateBytes {
			return packed, len(frames) - i
		}
		packed = append(binary.BigEndian.AppendUint16(packed, uint16(len(f))), f...)
	}
	return packed, 0
}

// unpack calls each for the frames that pack concatenated. It stops with errMalformed at a frame that is cut off.
func unpack(b []byte, each func([]byte)) error {
	if len(b) > maxStateBytes {
		return errMalformed
	}
	for len(b) > 0 {
		if len(b) < 2 || len(b) < 2+int(binary.BigEndian.Uint16(b)) {
			return errMalformed
		}
		n := 2 + int(binary.BigEndian.Uint16(b))
		each(b[2:n])
		b = b[n:]
	}
	return nil
}
