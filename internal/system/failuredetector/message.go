package failuredetector

import (
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind says what a message is. The numbers are on the wire: never reuse one.
type Kind uint8

// The kinds of messages. Each is a sign of life of its sender, but for Leave.
const (
	Heartbeat    Kind = 1 // I live
	Ping         Kind = 2 // I live; answer me
	Pong         Kind = 3 // the answer, with the nonce of the Ping
	IndirectPing Kind = 4 // do you hear Node?
	IndirectAck  Kind = 5 // I heard Node Age ago
	IndirectNack Kind = 6 // I do not hear Node
	Leave        Kind = 7 // I leave
)

// Message is one datagram.
type Message struct {
	Kind            Kind
	From            string
	Incarnation     uint64 // of the sender
	Nonce           uint64 // of Ping, Query and their answers
	Node            string // of Query and its answers
	NodeIncarnation uint64
	Age             time.Duration // of Heard; whole milliseconds on the wire
}

// ErrMalformedMessage is the kind of Decode's errors.
var ErrMalformedMessage = errors.New("failuredetector: bytes that are no message of this version")

// The bounds of a datagram.
const (
	maxNameBytes     = 128
	MaxDatagramBytes = 512 // bytes
)

var magic = [3]byte{0xB5, 'r', 1} // the last is the version

// Append writes a message after dst. Names longer than 128 bytes are cut, which nobody will know.
func (m Message) Append(dst []byte) []byte {
	dst = append(dst, magic[:]...)
	dst = append(dst, byte(m.Kind))
	dst = appendName(dst, m.From)
	dst = binary.BigEndian.AppendUint64(dst, m.Incarnation)
	dst = binary.AppendUvarint(dst, m.Nonce)
	if !m.Kind.isIndirect() {
		return dst
	}
	dst = appendName(dst, m.Node)
	dst = binary.BigEndian.AppendUint64(dst, m.NodeIncarnation)
	return binary.AppendUvarint(dst, uint64(max(0, m.Age)/time.Millisecond))
}

// isIndirect tells whether messages of the kind are about another node than their sender.
func (k Kind) isIndirect() bool { return k == IndirectPing || k == IndirectAck || k == IndirectNack }

func appendName(dst []byte, s string) []byte {
	s = s[:min(len(s), maxNameBytes)]
	return append(append(dst, byte(len(s))), s...)
}

// Decode reads a datagram. Its errors are of the kind ErrMalformedMessage: drop the datagram.
func Decode(data []byte) (Message, error) {
	in := decoder{rest: data}
	var message Message
	if len(data) > MaxDatagramBytes || len(data) < 4 || [3]byte(data[:3]) != magic || data[3] < byte(Heartbeat) || data[3] > byte(Leave) {
		return message, ErrMalformedMessage
	}
	message.Kind, in.rest = Kind(data[3]), data[4:]
	message.From, message.Incarnation, message.Nonce = in.readName(), in.readUint64(), in.readUvarint()
	if message.Kind.isIndirect() {
		message.Node, message.NodeIncarnation = in.readName(), in.readUint64()
		message.Age = time.Duration(min(in.readUvarint(), uint64(time.Hour/time.Millisecond))) * time.Millisecond
	}
	if in.failed || len(in.rest) > 0 || message.From == "" {
		return Message{}, ErrMalformedMessage
	}
	return message, nil
}

type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) next(n int) []byte {
	if d.failed || n > len(d.rest) {
		d.failed = true
		return nil
	}
	b := d.rest[:n]
	d.rest = d.rest[n:]
	return b
}

func (d *decoder) readName() string {
	n := d.next(1)
	if d.failed || n[0] > maxNameBytes {
		d.failed = true
		return ""
	}
	return string(d.next(int(n[0])))
}

func (d *decoder) readUint64() uint64 {
	b := d.next(8)
	if d.failed {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

func (d *decoder) readUvarint() uint64 {
	v, n := binary.Uvarint(d.rest)
	if d.failed || n <= 0 {
		d.failed = true
		return 0
	}
	d.rest = d.rest[n:]
	return v
}
