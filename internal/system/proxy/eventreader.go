package proxy

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	eventBufferBytes = 4 << 10   // bytes that are read at once
	maxEventBytes    = 256 << 10 // bytes of an event
)

var (
	errEventTooLong = errors.New("an event is too long to be held: have the server send shorter ones")
	errEventOrder   = errors.New("the ids of events do not rise: the stream is not one run's")
)

// eventReader reads a text/event-stream and gives out whole eventReader only.
type eventReader struct {
	source     io.Reader
	buf        []byte // from what was given out to what was read
	emitted    int    // bytes at the start of buf that were given out
	scanned    int    // bytes of buf that lie before the line that is coming
	eventStart int    // where the event that is coming begins
	readErr    error  // why no more can be read

	highestID    uint64 // the highest id
	lastEventID  string // the id that was given out last, as it stood
	hasNumericID bool   // an id that is a number has come
	missedID     bool   // an event without an id has come
}

// resumeAfter has ids rise above one that came before.
func (e *eventReader) resumeAfter(id string) {
	e.lastEventID = id
	if n, err := strconv.ParseUint(id, 10, 64); err == nil {
		e.highestID, e.hasNumericID = n, true
	}
}

// next gives out the events that have come whole, one at least. The bytes are good until the next call. It ends with
// io.EOF where the stream came whole; bytes that no empty line ends are given out before that.
func (e *eventReader) next() ([]byte, error) {
	if e.emitted > 0 {
		n := copy(e.buf, e.buf[e.emitted:])
		e.buf, e.scanned, e.eventStart, e.emitted = e.buf[:n], e.scanned-e.emitted, e.eventStart-e.emitted, 0
	}
	for {
		complete, err := e.scan()
		if complete > 0 {
			e.emitted = complete
			return e.buf[:complete], nil
		}
		if err != nil {
			return nil, err
		}
		if e.readErr == io.EOF && len(e.buf) > 0 {
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
		if cap(e.buf)-len(e.buf) < eventBufferBytes/2 {
			grown := make([]byte, len(e.buf), max(2*cap(e.buf), eventBufferBytes))
			copy(grown, e.buf)
			e.buf = grown
		}
		n, err := e.source.Read(e.buf[len(e.buf):cap(e.buf)])
		e.buf = e.buf[:len(e.buf)+n]
		e.readErr = err
	}
}

// scan goes on through the lines that have come, and tells how many bytes of whole events there are. It stops before an
// event whose id does not rise.
func (e *eventReader) scan() (complete int, err error) {
	for {
		end := bytes.IndexByte(e.buf[e.scanned:], '\n')
		if end < 0 {
			return complete, nil
		}
		line := bytes.TrimSuffix(e.buf[e.scanned:e.scanned+end], []byte("\r"))
		e.scanned += end + 1
		if len(line) > 0 {
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

// checkEvent takes in the id of an event, the last one where it has several. It takes in nothing of an event whose id does not
// rise: a stream is resumed after the last event that was given out.
func (e *eventReader) checkEvent(event []byte) error {
	id, missing := "", true
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:")); ok {
			id, missing = string(bytes.TrimPrefix(value, []byte(" "))), false
		}
	}
	if missing {
		e.missedID = e.missedID || bytes.Contains(event, []byte("data"))
		return nil
	}
	if n, err := strconv.ParseUint(id, 10, 64); err == nil {
		if e.hasNumericID && n <= e.highestID {
			return errEventOrder
		}
		e.highestID, e.hasNumericID = n, true
	}
	e.lastEventID = id
	return nil
}
