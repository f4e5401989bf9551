// Package wire reads and writes the simulator's text wire, and reads the Balancer's settings from it or from JSON. It decides
// nothing.
//
// The wire is lines of parts with tabs between them. A batch of events begins with the time (FRAME), goes on with events for one
// instance after the other (SWITCH_TO), and ends with YOUR_TURN; the reply to it is the actions of all instances and END.
package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"gradeusher.example/gradeusher/balance"
)

// Reader reads events.
type Reader struct {
	in       *bufio.Reader
	longLine []byte
	line     int
	event    Event
	fields   [][]byte
	lists    [16][]balance.Endpoint
	interned map[string]string
	err      error // of the first malformed part of the line
}

// NewReader returns a Reader of in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<16), interned: map[string]string{}}
}

// Next returns the next event, which holds until the following call. At the end of input it returns io.EOF.
// Other errors name the line.
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

func (r *Reader) readLine() ([]byte, error) {
	line, err := r.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		r.longLine = append(r.longLine[:0], line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			line, err = r.in.ReadSlice('\n')
			r.longLine = append(r.longLine, line...)
		}
		line = r.longLine
	}
	if err != nil && (!errors.Is(err, io.EOF) || len(line) == 0) {
		return nil, err
	}
	r.line++
	return bytes.TrimSuffix(line, []byte{'\n'}), nil
}

// parse reads one line into r.event and tells whether an event is complete.
func (r *Reader) parse(line []byte) (bool, error) {
	r.split(line)
	r.err = nil
	name := string(r.fields[0])
	switch name {
	case "DEFINE_LIST":
		return false, r.defineList()
	case "STATUS_BACK", "PEER_DATA": // answers to what the module never asks, and what it does not listen to
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

// parseInstanceEvent reads the events of batches, instances and lists. It tells whether the line is one.
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

// parseRequestEvent reads the events of requests. It tells whether the line is one.
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
