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

// ErrMessage is the kind of Decode's errors.
var ErrMessage = errors.New("failuredetector: bytes that are no message of this version")

// The bounds of a datagram.
const (
	maxName     = 128
	MaxDatagram = 512 // bytes
)

var magic = [3]byte{0xB5, 'r', 1} // the last is the version

// Append writes a message after dst. Names longer than 128 bytes are cut, which nobody will know.
func (m Message) Append(dst []byte) []byte {
	dst = append(dst, magic[:]...)
	dst = append(dst, byte(m.Kind))
	dst = appendName(dst, m.From)
	dst = binary.BigEndian.AppendUint64(dst, m.Incarnation)
	dst = binary.AppendUvarint(dst, m.Nonce)
	if !m.Kind.asks() {
		return dst
	}
	dst = appendName(dst, m.Node)
	dst = binary.BigEndian.AppendUint64(dst, m.NodeIncarnation)
	return binary.AppendUvarint(dst, uint64(max(0, m.Age)/time.Millisecond))
}

// asks tells whether messages of the kind are about another node than their sender.
func (k Kind) asks() bool { return k == IndirectPing || k == IndirectAck || k == IndirectNack }

func appendName(dst []byte, s string) []byte {
	s = s[:min(len(s), maxName)]
	return append(append(dst, byte(len(s))), s...)
}

// Decode reads a datagram. Its errors are of the kind ErrMessage: drop the datagram.
func Decode(data []byte) (Message, error) {
	d := decoder{in: data}
	var m Message
	if len(data) > MaxDatagram || len(data) < 4 || [3]byte(data[:3]) != magic || data[3] < byte(Heartbeat) || data[3] > byte(Leave) {
		return m, ErrMessage
	}
	m.Kind, d.in = Kind(data[3]), data[4:]
	m.From, m.Incarnation, m.Nonce = d.name(), d.fixed(), d.uvarint()
	if m.Kind.asks() {
		m.Node, m.NodeIncarnation = d.name(), d.fixed()
		m.Age = time.Duration(min(d.uvarint(), uint64(time.Hour/time.Millisecond))) * time.Millisecond
	}
	if d.bad || len(d.in) > 0 || m.From == "" {
		return Message{}, ErrMessage
	}
	return m, nil
}

type decoder struct {
	in  []byte
	bad bool
}

func (d *decoder) take(n int) []byte {
	if d.bad || n > len(d.in) {
		d.bad = true
		return nil
	}
	b := d.in[:n]
	d.in = d.in[n:]
	return b
}

func (d *decoder) name() string {
	n := d.take(1)
	if d.bad || n[0] > maxName {
		d.bad = true
		return ""
	}
	return string(d.take(int(n[0])))
}

func (d *decoder) fixed() uint64 {
	b := d.take(8)
	if d.bad {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.in)
	if d.bad || n <= 0 {
		d.bad = true
		return 0
	}
	d.in = d.in[n:]
	return v
}
