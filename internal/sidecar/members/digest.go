package members

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// This file compares the states of two members, and encodes the messages of the comparison. It does no I/O.
//
// The first member asks with versions: a short name and the low bits of the number of each state that it has. The second sends deltas,
// the states of which it has newer ones, and wants by short name those that are newer at the first, which sends these as deltas too. So a
// state is sent to each member about once. Gossip does not know what a peer has, and sends a state several times to each: six times at
// 300 members.
//
// A short name depends on a salt, which each question draws. Two states that have one short name under a salt miss one exchange.

// The forms of the frames of an exchange, in the first byte.
const (
	askForm   = 4 // versions
	wantForm  = 5 // wants
	deltaForm = 6 // packed updates

	maxFrameBytes = 1360                                                       // of a frame of these forms: with the headers of memberlist, UDP and IP it stays below 1,400
	entrySize     = 3 + 2                                                      // of a state in versions: short name, low bits of its number
	wantSize      = 3                                                          // of a state in wants: short name
	maxAskEntries = (maxFrameBytes - 1 - 4 - 2 - 9 - MaxNameBytes) / entrySize // states in a part of a question
	maxParts      = 32                                                         // of a question: enough for 8,000 states
)

// versions is a part of a question: which states the asker has, of those whose key modulo the number of parts is the part's number.
type versions struct {
	asker       process
	salt        uint32
	part, parts uint8             // the number of this part, and how many there are
	seqs        map[uint32]uint16 // by short name, see seqBits
}

// wants are states that a process wants of the one that asked it, by their short names under the salt of that question.
type wants struct {
	wanter process
	salt   uint32
	names  map[uint32]bool
}

// question is a frame of an exchange that calls for an answer: versions or wants.
type question interface {
	// from returns the process that asks.
	from() process
	// answer returns the stored states that the asker is to be sent, and, encoded, what the answering process wants of it; nil: nothing.
	answer(stored *states, answering process, now, ttl time.Duration) (give []frame, want []byte)
}

var (
	_ question = (*versions)(nil)
	_ question = (*wants)(nil)
)

func (v *versions) from() process { return v.asker }

func (v *versions) answer(stored *states, answering process, now, ttl time.Duration) (give []frame, want []byte) {
	give, newer := stored.compare(v, now, ttl)
	if len(newer) > 0 {
		want = encodeWants(answering, v.salt, newer)
	}
	return give, want
}

func (w *wants) from() process { return w.wanter }

func (w *wants) answer(stored *states, _ process, now, ttl time.Duration) (give []frame, want []byte) {
	return stored.wanted(w, now, ttl), nil
}

// hash returns the key of a state, which stands for its origin, process and kind. Short names are derived from it.
func (f *frame) hash() uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(f.start) + uint64(f.kind)<<56)
	_, _ = d.WriteString(f.name) // never fails
	return d.Sum64()
}

// shortName returns the short name, of 24 bits, that the state of a key has under a salt.
func shortName(id uint64, salt uint32) uint32 {
	return uint32((id ^ uint64(salt)*0x9E3779B97F4A7C15) * 0xD6E8FEB86659FD93 >> 40)
}

// seqBits returns the low 15 bits of a number, shifted left by 1. The lowest bit is set if the asker wants nothing newer now.
func seqBits(seq uint64, enough bool) uint16 {
	if enough {
		return uint16(seq)<<1 | 1
	}
	return uint16(seq) << 1
}

// parts returns in how many parts a question about so many states is sent: on average a part is filled to three quarters at most.
func parts(states int) uint8 { return uint8(min(1+states/(maxAskEntries*3/4), maxParts)) }

// ask encodes a question to any peer, about the states within the TTL, in parts that each fit into a packet. enough reports of which
// origins no newer states are wanted for now.
func (s *states) ask(who process, salt uint32, now, ttl time.Duration, enough func(name string) bool) [][]byte {
	n := parts(len(s.latest))
	asks := make([][]byte, n)
	for i := range asks {
		b := append(make([]byte, 0, maxFrameBytes), askForm, uint8(i), n)
		asks[i] = who.appendTo(binary.BigEndian.AppendUint32(b, salt))
	}
	for _, f := range s.latest {
		b := &asks[f.key%uint64(n)]
		if len(*b)+entrySize > maxFrameBytes || s.age(f, now) > ttl {
			continue
		}
		name := shortName(f.key, salt)
		*b = append(*b, byte(name>>16), byte(name>>8), byte(name))
		*b = binary.BigEndian.AppendUint16(*b, seqBits(f.seq, enough(f.name)))
	}
	return asks
}

// compare compares a part of a question with the stored states. give are the states within the TTL that are missing or older at the
// asker, want the short names of those that are newer there. It removes what it has compared from the question.
func (s *states) compare(question *versions, now, ttl time.Duration) (give []frame, want []uint32) {
	for _, stored := range s.latest {
		if stored.key%uint64(question.parts) != uint64(question.part) {
			continue
		}
		name := shortName(stored.key, question.salt)
		theirs, known := question.seqs[name]
		delete(question.seqs, name)
		// Sequence numbers are compared as serial numbers (RFC 1982), of 15 bits above the bit that says enough.
		ahead := int16(seqBits(stored.seq, false) - theirs&^1)
		switch {
		case known && theirs&1 == 1: // the asker wants nothing newer of this origin
		case s.age(stored, now) > ttl:
			if known && ahead < 0 {
				want = append(want, name)
			}
		case !known || ahead > 0:
			give = append(give, stored)
		case ahead < 0:
			want = append(want, name)
		}
	}
	for name, theirs := range question.seqs {
		if theirs&1 == 0 {
			want = append(want, name)
		}
	}
	return give, want
}

// wanted returns the stored states within the TTL that a process wants.
func (s *states) wanted(w *wants, now, ttl time.Duration) (give []frame) {
	for _, f := range s.latest {
		if w.names[shortName(f.key, w.salt)] && s.age(f, now) <= ttl {
			give = append(give, f)
		}
	}
	return give
}

// deltas encodes updates, with their ages, into as few packets of maxFrameBytes as their order allows.
func (s *states) deltas(give []frame, now time.Duration) (packets [][]byte) {
	var b []byte
	for _, f := range give {
		f.forwardedAge = s.age(f, now)
		size := f.size()
		if b != nil && len(b)+2+size > maxFrameBytes {
			packets, b = append(packets, b), nil
		}
		if b == nil {
			b = append(make([]byte, 0, maxFrameBytes), deltaForm)
		}
		at := len(b)
		b = f.appendTo(append(b, 0, 0))
		binary.BigEndian.PutUint16(b[at:], uint16(len(b)-at-2))
	}
	if b != nil {
		packets = append(packets, b)
	}
	return packets
}

// decodeAsk decodes a part of a question. It returns errMalformed if b is none.
func decodeAsk(b []byte) (*versions, error) {
	if len(b) < 7 || len(b) > maxFrameBytes || b[0] != askForm || b[1] >= b[2] || b[2] > maxParts {
		return nil, errMalformed
	}
	q := &versions{part: b[1], parts: b[2], salt: binary.BigEndian.Uint32(b[3:])}
	var err error
	if q.asker, b, err = decodeProcess(b[7:]); err != nil || len(b)%entrySize != 0 {
		return nil, errMalformed
	}
	q.seqs = make(map[uint32]uint16, len(b)/entrySize)
	for ; len(b) > 0; b = b[entrySize:] {
		q.seqs[uint32(b[0])<<16|uint32(b[1])<<8|uint32(b[2])] = binary.BigEndian.Uint16(b[3:])
	}
	return q, nil
}

// encodeWants encodes wants, and leaves out the names that do not fit into a packet.
func encodeWants(who process, salt uint32, names []uint32) []byte {
	b := who.appendTo(binary.BigEndian.AppendUint32([]byte{wantForm}, salt))
	for _, name := range names[:min(len(names), (maxFrameBytes-len(b))/wantSize)] {
		b = append(b, byte(name>>16), byte(name>>8), byte(name))
	}
	return b
}

// decodeWants decodes wants. It returns errMalformed if b is none.
func decodeWants(b []byte) (*wants, error) {
	if len(b) < 5 || len(b) > maxFrameBytes || b[0] != wantForm {
		return nil, errMalformed
	}
	w := &wants{salt: binary.BigEndian.Uint32(b[1:])}
	var err error
	if w.wanter, b, err = decodeProcess(b[5:]); err != nil || len(b)%wantSize != 0 {
		return nil, errMalformed
	}
	w.names = make(map[uint32]bool, len(b)/wantSize)
	for ; len(b) > 0; b = b[wantSize:] {
		w.names[uint32(b[0])<<16|uint32(b[1])<<8|uint32(b[2])] = true
	}
	return w, nil
}
