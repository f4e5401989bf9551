package failuredetector

import (
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/fields"
)

// Kind is the kind of a message. The numbers are on the wire: never reuse one.
type Kind uint8

// The kinds of messages. All but Leave show that their sender is alive.
const (
	Heartbeat    Kind = 1 // periodic, without a reply
	Ping         Kind = 2 // asks for a Pong
	Pong         Kind = 3 // the reply to a Ping, with its nonce
	IndirectPing Kind = 4 // asks a watcher for its last contact with Node
	IndirectAck  Kind = 5 // the reply: contact with Node, Age ago
	IndirectNack Kind = 6 // the reply: no recent contact with Node
	Leave        Kind = 7 // announces a graceful shutdown
)

// Message is one datagram.
type Message struct {
	Kind            Kind
	From            string
	Incarnation     uint64 // of the sender
	Nonce           uint64 // of Ping, IndirectPing and their replies
	Node            string // of IndirectPing and its replies
	NodeIncarnation uint64
	Age             time.Duration // of IndirectAck; whole milliseconds on the wire
}

// ErrMalformedMessage is returned by Decode for data that is not a message or has another protocol version.
var ErrMalformedMessage = errors.New("failuredetector: not a message of this protocol version: drop it")

// Size limits of a datagram.
const (
	maxNameBytes     = 128
	MaxDatagramBytes = 512
)

var magic = [3]byte{0xB5, 'r', 1} // the last is the version

const headerBytes = len(magic) + 1 // magic and kind

// Append appends the encoding of a message to dst. Names longer than 128 bytes are truncated, so that they match no member.
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

// isIndirect reports whether messages of the kind concern a node other than their sender.
func (k Kind) isIndirect() bool { return k == IndirectPing || k == IndirectAck || k == IndirectNack }

func appendName(dst []byte, s string) []byte {
	s = s[:min(len(s), maxNameBytes)]
	return append(append(dst, byte(len(s))), s...)
}

// Decode decodes a datagram. Its error is ErrMalformedMessage.
func Decode(data []byte) (Message, error) {
	if !hasHeader(data) {
		return Message{}, ErrMalformedMessage
	}
	message := Message{Kind: Kind(data[len(magic)])}
	in := fields.NewReader(data[headerBytes:])
	message.From, message.Incarnation, message.Nonce = readName(&in), in.Uint64(), in.Uvarint()
	if message.Kind.isIndirect() {
		message.Node, message.NodeIncarnation = readName(&in), in.Uint64()
		message.Age = time.Duration(min(in.Uvarint(), uint64(time.Hour/time.Millisecond))) * time.Millisecond
	}
	if !in.Complete() || message.From == "" {
		return Message{}, ErrMalformedMessage
	}
	return message, nil
}

// hasHeader reports whether a datagram begins with the magic bytes and a known kind.
func hasHeader(data []byte) bool {
	if len(data) < headerBytes || len(data) > MaxDatagramBytes {
		return false
	}
	kind := Kind(data[len(magic)])
	return [len(magic)]byte(data) == magic && kind >= Heartbeat && kind <= Leave
}

// readName reads a name encoded by appendName.
func readName(in *fields.Reader) string {
	length := in.Byte()
	if length > maxNameBytes {
		in.Fail()
	}
	return string(in.Next(int(length)))
}
