package proxy

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	eventRoom = 4 << 10   // bytes that are read at once
	mostEvent = 256 << 10 // bytes of an event
)

var (
	errEventSize = errors.New("an event is too long to be held: have the server send shorter ones")
	errOrder     = errors.New("the ids of events do not rise: the stream is not one run's")
)

// events reads a text/event-stream and gives out whole events only.
type events struct {
	from  io.Reader
	buf   []byte // from what was given out to what was read
	given int    // bytes at the start of buf that were given out
	seen  int    // bytes of buf that lie before the line that is coming
	line  int    // where the event that is coming begins
	err   error  // why no more can be read

	last   uint64 // the highest id
	lastID string // the id that was given out last, as it stood
	any    bool   // an id that is a number has come
	bare   bool   // an event without an id has come
}

// after has ids rise above one that came before.
func (e *events) after(id string) {
	e.lastID = id
	if n, err := strconv.ParseUint(id, 10, 64); err == nil {
		e.last, e.any = n, true
	}
}

// next gives out the events that have come whole, one at least. The bytes are good until the next call. It ends with
// io.EOF where the stream came whole; bytes that no empty line ends are given out before that.
func (e *events) next() ([]byte, error) {
	if e.given > 0 {
		n := copy(e.buf, e.buf[e.given:])
		e.buf, e.seen, e.line, e.given = e.buf[:n], e.seen-e.given, e.line-e.given, 0
	}
	for {
		whole, err := e.scan()
		if whole > 0 {
			e.given = whole
			return e.buf[:whole], nil
		}
		if err != nil {
			return nil, err
		}
		if e.err == io.EOF && len(e.buf) > 0 {
			e.given, e.seen, e.line = len(e.buf), len(e.buf), len(e.buf)
			return e.buf, nil
		}
		if e.err != nil {
			return nil, e.err
		}
		if len(e.buf) >= mostEvent {
			e.err = errEventSize
			return nil, e.err
		}
		if cap(e.buf)-len(e.buf) < eventRoom/2 {
			grown := make([]byte, len(e.buf), max(2*cap(e.buf), eventRoom))
			copy(grown, e.buf)
			e.buf = grown
		}
		n, err := e.from.Read(e.buf[len(e.buf):cap(e.buf)])
		e.buf = e.buf[:len(e.buf)+n]
		e.err = err
	}
}

// scan goes on through the lines that have come, and tells how many bytes of whole events there are. It stops before an
// event whose id does not rise.
func (e *events) scan() (whole int, err error) {
	for {
		end := bytes.IndexByte(e.buf[e.seen:], '\n')
		if end < 0 {
			return whole, nil
		}
		line := bytes.TrimSuffix(e.buf[e.seen:e.seen+end], []byte("\r"))
		e.seen += end + 1
		if len(line) > 0 {
			continue
		}
		if err := e.check(e.buf[e.line:e.seen]); err != nil {
			e.seen = e.line // found again by the next call, if events before it are given out now
			if whole > 0 {
				return whole, nil
			}
			return 0, err
		}
		e.line, whole = e.seen, e.seen
	}
}

// check takes in the id of an event, the last one where it has several. It takes in nothing of an event whose id does not
// rise: a stream is resumed after the last event that was given out.
func (e *events) check(event []byte) error {
	id, bare := "", true
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:")); ok {
			id, bare = string(bytes.TrimPrefix(value, []byte(" "))), false
		}
	}
	if bare {
		e.bare = e.bare || bytes.Contains(event, []byte("data"))
		return nil
	}
	if n, err := strconv.ParseUint(id, 10, 64); err == nil {
		if e.any && n <= e.last {
			return errOrder
		}
		e.last, e.any = n, true
	}
	e.lastID = id
	return nil
}
