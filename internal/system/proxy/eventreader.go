package proxy

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	eventBufferBytes = 4 << 10   // the size of a reader's first buffer
	maxEventBytes    = 256 << 10 // the maximum size of one event
)

var (
	errEventTooLong = errors.New("the event stream contains an event that is too long to be buffered; the server must send shorter events")
	errEventOrder   = errors.New("the event ids of the stream do not increase; its events are not from a single run")
)

// eventReader reads a text/event-stream (HTML Living Standard, section "Server-sent events") and returns only complete events, whose
// numeric ids increase.
type eventReader struct {
	source     io.Reader
	buf        []byte // begins with the events that the last call of next returned
	emitted    int    // number of bytes of buf that the last call of next returned
	scanned    int    // number of bytes of buf before the incomplete line
	eventStart int    // offset in buf at which the incomplete event begins
	readErr    error  // why no more can be read; nil: more data may follow

	lastEventID       string // of the last returned event that has an id, as written in the stream
	highestID         uint64
	hasNumericID      bool // highestID is valid
	hasEventWithoutID bool // an event with data but no id was read: lastEventID no longer marks the position in the stream
}

// resumeAfter requires the numeric ids of this stream to be greater than the given id, that of an event received before this stream.
func (e *eventReader) resumeAfter(id string) {
	e.lastEventID = id
	if number, err := strconv.ParseUint(id, 10, 64); err == nil {
		e.highestID, e.hasNumericID = number, true
	}
}

// resumableID returns the id after which another stream may resume this one, or "" if it is not known.
func (e *eventReader) resumableID() string {
	if e.hasEventWithoutID {
		return ""
	}
	return e.lastEventID
}

// next returns the complete events that have been read, at least one. The bytes are valid until the next call. It fails with io.EOF
// at the end of a completely received stream, whose unterminated last event, if any, it has returned before; with errEventOrder and
// errEventTooLong; and with the errors of the source.
func (e *eventReader) next() ([]byte, error) {
	e.dropEmitted()
	for {
		complete, err := e.scan()
		if complete > 0 {
			e.emitted = complete
			return e.buf[:complete], nil
		}
		if err != nil {
			return nil, err
		}
		if errors.Is(e.readErr, io.EOF) && len(e.buf) > 0 {
			e.emitted, e.scanned, e.eventStart = len(e.buf), len(e.buf), len(e.buf)
			return e.buf, nil
		}
		if e.readErr != nil {
			return nil, e.readErr
		}
		if len(e.buf) >= maxEventBytes {
			e.readErr = errEventTooLong
			return nil, e.readErr
		}
		e.read()
	}
}

// dropEmitted removes the bytes returned by the last call of next from the buffer.
func (e *eventReader) dropEmitted() {
	if e.emitted == 0 {
		return
	}
	remaining := copy(e.buf, e.buf[e.emitted:])
	e.buf = e.buf[:remaining]
	e.scanned -= e.emitted
	e.eventStart -= e.emitted
	e.emitted = 0
}

// read appends the source's available bytes to the buffer. It grows the buffer if less than half of eventBufferBytes is free.
func (e *eventReader) read() {
	if cap(e.buf)-len(e.buf) < eventBufferBytes/2 {
		longer := make([]byte, len(e.buf), max(2*cap(e.buf), eventBufferBytes))
		copy(longer, e.buf)
		e.buf = longer
	}
	count, err := e.source.Read(e.buf[len(e.buf):cap(e.buf)])
	e.buf = e.buf[:len(e.buf)+count]
	e.readErr = err
}

// scan processes the lines that were read since the last call, and returns the number of bytes of complete events at the start of the
// buffer. It stops before an event whose id does not increase.
func (e *eventReader) scan() (complete int, err error) {
	for {
		length := bytes.IndexByte(e.buf[e.scanned:], '\n')
		if length < 0 {
			return complete, nil
		}
		line := bytes.TrimSuffix(e.buf[e.scanned:e.scanned+length], []byte("\r"))
		e.scanned += length + 1
		if endsEvent := len(line) == 0; !endsEvent {
			continue
		}
		if err := e.checkEvent(e.buf[e.eventStart:e.scanned]); err != nil {
			e.scanned = e.eventStart // so that the next call finds the event again if this one returns the events before it
			if complete > 0 {
				return complete, nil
			}
			return 0, err
		}
		e.eventStart, complete = e.scanned, e.scanned
	}
}

// checkEvent records the id of an event, the last one if it has several. It records nothing about an event whose id does not
// increase, because a stream is resumed after the last event that was returned.
func (e *eventReader) checkEvent(event []byte) error {
	id, hasID := eventID(event)
	if !hasID {
		// Deliberately conservative: a comment or an unknown field that contains "data" also counts as data. At worst, a stream is
		// not resumed.
		e.hasEventWithoutID = e.hasEventWithoutID || bytes.Contains(event, []byte("data"))
		return nil
	}
	if number, err := strconv.ParseUint(id, 10, 64); err == nil {
		if e.hasNumericID && number <= e.highestID {
			return errEventOrder
		}
		e.highestID, e.hasNumericID = number, true
	}
	e.lastEventID = id
	return nil
}

// eventID returns the last id field of an event.
func eventID(event []byte) (id string, hasID bool) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:"))
		if ok {
			id, hasID = string(bytes.TrimPrefix(value, []byte(" "))), true
		}
	}
	return id, hasID
}
