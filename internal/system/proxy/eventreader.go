package proxy

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	eventBufferBytes = 4 << 10   // of a reader's first buffer
	maxEventBytes    = 256 << 10 // of one event
)

var (
	errEventTooLong = errors.New("an event is too long to be buffered: have the server send shorter ones")
	errEventOrder   = errors.New("the ids of events do not rise: the stream is not that of one run")
)

// eventReader reads a text/event-stream (HTML Living Standard, section "Server-sent events") and gives out complete events
// only, whose numeric ids rise.
type eventReader struct {
	source     io.Reader
	buf        []byte // begins with what was given out last
	emitted    int    // bytes of buf that were given out last
	scanned    int    // bytes of buf before the incomplete line
	eventStart int    // where in buf the incomplete event begins
	readErr    error  // why no more can be read; nil: more may come

	lastEventID       string // of the last event given out that has an id, as it stands in the stream
	highestID         uint64
	hasNumericID      bool // highestID is valid
	hasEventWithoutID bool // an event with data and without an id has come: lastEventID is not where the stream is
}

// resumeAfter has numeric ids rise above that of an event which came before this stream.
func (e *eventReader) resumeAfter(id string) {
	e.lastEventID = id
	if number, err := strconv.ParseUint(id, 10, 64); err == nil {
		e.highestID, e.hasNumericID = number, true
	}
}

// resumableID is the id after which another stream may resume this one; "": it is not known.
func (e *eventReader) resumableID() string {
	if e.hasEventWithoutID {
		return ""
	}
	return e.lastEventID
}

// next returns the complete events that have come, at least one. The bytes are valid until the next call. It fails with
// io.EOF after a stream that came completely, of which it returns an unterminated last event before; with errEventOrder and
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

// dropEmitted removes from the buffer what was given out last.
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

// read appends to the buffer what the source has, and makes the buffer longer where less than half of a first one is free.
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

// scan goes on through the lines that have come, and returns how many bytes of complete events the buffer begins with. It
// stops before an event whose id does not rise.
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
			e.scanned = e.eventStart // found again by the next call, if events before it are given out now
			if complete > 0 {
				return complete, nil
			}
			return 0, err
		}
		e.eventStart, complete = e.scanned, e.scanned
	}
}

// checkEvent records the id of an event, the last one where it has several. It records nothing of an event whose id does not
// rise, as a stream is resumed after the last event that was given out.
func (e *eventReader) checkEvent(event []byte) error {
	id, hasID := eventID(event)
	if !hasID {
		// Conservative on purpose: a comment or an unknown field that contains "data" counts as data as well. The worst that follows
		// is that a stream is not resumed.
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
