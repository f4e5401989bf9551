// Package wire encodes and decodes the simulator's text protocol, and reads the settings of a balance.Balancer from it or from JSON.
// It holds no policy. The operators' page on the simulator's wire defines the messages.
//
// A process of the simulator runs many instances of a sidecar over one pair of pipes. The simulator sends batches of events, and the
// process answers each batch with one reply:
//
//	FRAME 8.41225       the time of the batch, in seconds
//	SWITCH_TO 3         the instance that the following events are for
//	DUE 77              an event
//	YOUR_TURN           the end of the batch
//
//	SPEAKING 3          the instance that does the following actions
//	AFTER 0.5 77        an action
//	END                 the end of the reply
//
// A line is a message: its name, and fields that are separated by single tabs. "-" stands for a value that is absent. Times are in
// seconds, with a resolution of microseconds. Errors count the fields of a line from 0, which is the name, and call them parts, as the
// operators' page does.
package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"gradeusher.example/gradeusher/balance"
)

// maxLineBytes bounds a line. The longest one defines a list of servers, of about 50 bytes each.
const maxLineBytes = 16 << 20

// errLineTooLong is the error of a line of more than maxLineBytes.
var errLineTooLong = fmt.Errorf("the line has more than %d bytes", maxLineBytes)

// Reader decodes events. It is not safe for concurrent use.
type Reader struct {
	in       *bufio.Reader
	longLine []byte // holds a line that exceeds in's buffer
	line     int    // lines read so far
	event    Event
	fields   [][]byte               // of the current line, the message's name first
	lists    [16][]balance.Endpoint // as DEFINE_LIST last defined each
	interned map[string]string      // see text
	err      error                  // of the first malformed field of the current line
}

// NewReader returns a Reader that decodes what in holds.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<16), interned: map[string]string{}}
}

// Next returns the next event, which is valid until the following call. It returns io.EOF at the end of input. Other errors are of in,
// or of a line that cannot be decoded, and name the line's number, from 1.
func (r *Reader) Next() (*Event, error) {
	for {
		line, err := r.readLine()
		if err != nil {
			if errors.Is(err, io.EOF) {
				return nil, io.EOF
			}
			return nil, fmt.Errorf("line %d: %w", r.line+1, err)
		}
		if len(line) == 0 {
			continue
		}
		complete, err := r.parse(line)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", r.line, err)
		}
		if complete {
			return &r.event, nil
		}
	}
}

// readLine returns the next line without its end, valid until the following call. The last line may lack its end.
func (r *Reader) readLine() ([]byte, error) {
	line, err := r.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		r.longLine = append(r.longLine[:0], line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			line, err = r.in.ReadSlice('\n')
			r.longLine = append(r.longLine, line...)
			if len(r.longLine) > maxLineBytes {
				return nil, errLineTooLong
			}
		}
		line = r.longLine
	}
	if err != nil && (!errors.Is(err, io.EOF) || len(line) == 0) {
		return nil, err
	}
	r.line++
	return bytes.TrimSuffix(line, []byte{'\n'}), nil
}

// parse decodes one line into r.event, and reports whether the line is an event.
func (r *Reader) parse(line []byte) (bool, error) {
	r.split(line)
	r.err = nil
	name := string(r.fields[0])
	switch name {
	case "DEFINE_LIST":
		return false, r.defineList()
	case "STATUS_BACK", "PEER_DATA":
		// The Balancer asks no server for its status, and does not use the messages of other instances.
		return false, nil
	}
	if !r.parseInstanceEvent(name) && !r.parseRequestEvent(name) {
		return false, fmt.Errorf("unknown message %q", name)
	}
	if r.err != nil {
		return false, fmt.Errorf("%s: %w", r.fields[0], r.err)
	}
	return true, nil
}

// parseInstanceEvent decodes the events of batches, instances, lists and timers, and reports whether the line is one of these.
func (r *Reader) parseInstanceEvent(name string) bool {
	event := &r.event
	switch name {
	case "FRAME":
		event.Kind, event.Now = BatchStart, r.duration(1)
	case "YOUR_TURN":
		event.Kind = EndOfBatch
	case "SWITCH_TO":
		event.Kind, event.Instance = Instance, r.integer(1)
	case "OPEN_INSTANCE":
		event.Kind = Open
		seed := r.uint(1)
		if r.err == nil {
			event.Settings, event.Names, r.err = parseSettings(seed, r.fields[2:])
		}
	case "STOP":
		event.Kind = Stop
	case "ENDPOINTS":
		event.Kind = Endpoints
		r.endpoints()
	case "DUE":
		event.Kind, event.Token = Timer, r.uint(1)
	default:
		return false
	}
	return true
}

// parseRequestEvent decodes the events of requests, and reports whether the line is one of these.
func (r *Reader) parseRequestEvent(name string) bool {
	event := &r.event
	switch name {
	case "DEMAND":
		event.Kind, event.ID = Request, r.requestID()
		event.Class, event.Tenant = r.text(2), r.text(3)
		event.TimeLeft = r.duration(5)
	case "ACCEPTED":
		event.Kind, event.ID, event.Attempt = AnswerStarted, r.requestID(), r.integer(2)
	case "RESPONSE":
		event.Kind = Result
		event.Result = balance.Result{
			ID:       r.requestID(),
			Attempt:  r.integer(2),
			Endpoint: r.text(3),
			Outcome:  r.outcome(4),
			Latency:  r.duration(5),
			Finished: r.boolean(6),
		}
	case "CLIENT_LEFT":
		event.Kind, event.ID = ClientDisconnected, r.requestID()
	default:
		return false
	}
	return true
}
