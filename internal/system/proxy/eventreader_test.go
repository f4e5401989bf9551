package proxy

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// TestEventReader reads streams that arrive in fragments of different sizes.
func TestEventReader(t *testing.T) {
	for _, test := range []struct {
		name, text, after string
		want, last        string
		err               error
	}{
		{"two", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "2", io.EOF},
		{"other line ends", "id:1\r\ndata: a\r\n\r\nid:02\r\n\r\n", "", "id:1\r\ndata: a\r\n\r\nid:02\r\n\r\n", "02", io.EOF},
		{"versions first", "versions: 3\nid: 1\n\n", "", "versions: 3\nid: 1\n\n", "1", io.EOF},
		{"an end without an empty line", "id: 1\n\ndata: b", "", "id: 1\n\ndata: b", "1", io.EOF},
		{"the same id", "id: 1\n\nid: 1\n\n", "", "id: 1\n\n", "1", errEventOrder},
		{"a lower id", "id: 10\n\nid: 9\n\nid: 11\n\n", "", "id: 10\n\n", "10", errEventOrder},
		{"after another run", "id: 4\n\nid: 5\n\n", "3", "id: 4\n\nid: 5\n\n", "5", io.EOF},
		{"before another run's end", "id: 3\n\nid: 4\n\n", "3", "", "3", errEventOrder},
		{"ids that are no numbers", "id: b\n\nid: a\n\n", "", "id: b\n\nid: a\n\n", "a", io.EOF},
		{"nothing", "", "", "", "", io.EOF},
		{"an event that never ends", strings.Repeat("data: x\n", maxEventBytes/8+1), "", "", "", errEventTooLong},
	} {
		for name, wrap := range map[string]func(io.Reader) io.Reader{"bytes": iotest.OneByteReader, "halves": iotest.HalfReader,
			"at once": func(r io.Reader) io.Reader { return r }, "with the end": iotest.DataErrReader} {
			t.Run(fmt.Sprint(test.name, " in ", name), func(t *testing.T) {
				reader := &eventReader{source: wrap(strings.NewReader(test.text))}
				if test.after != "" {
					reader.resumeAfter(test.after)
				}
				var got bytes.Buffer
				var err error
				for err == nil {
					var events []byte
					events, err = reader.next()
					got.Write(events)
				}
				if got.String() != test.want || !errors.Is(err, test.err) || reader.lastEventID != test.last {
					t.Errorf("%q, last id %q, error %v", got.String(), reader.lastEventID, err)
				}
			})
		}
	}
}

// FuzzEvents reads arbitrary streams in fragments: the output is a prefix of the stream, contains only complete events except at the
// end of the stream, and does not depend on the fragments.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n", false)
	f.Add("\n\n\r\n\nid:1\n\nid:1\n\n", true)
	f.Add("data", true)
	f.Fuzz(func(t *testing.T, text string, truncated bool) {
		one, oneErr := readAllEvents(t, iotest.OneByteReader(strings.NewReader(text)), truncated)
		all, allErr := readAllEvents(t, strings.NewReader(text), truncated)
		if one != all || !errors.Is(oneErr, allErr) {
			t.Errorf("%q (%v) in fragments, %q (%v) at once", one, oneErr, all, allErr)
		}
		if !strings.HasPrefix(text, all) {
			t.Errorf("returned events %q are not a prefix of %q", all, text)
		}
		if truncated && all != "" && !strings.HasSuffix(all, "\n") {
			t.Errorf("returned events %q end within a line", all)
		}
	})
}

// readAllEvents reads a stream. If truncated is set, the stream ends with an error instead of io.EOF.
func readAllEvents(t *testing.T, source io.Reader, truncated bool) (string, error) {
	t.Helper()
	if truncated {
		source = io.MultiReader(source, iotest.ErrReader(io.ErrUnexpectedEOF))
	}
	reader := &eventReader{source: source}
	var got strings.Builder
	for {
		events, err := reader.next()
		if err != nil {
			return got.String(), err
		}
		if len(events) == 0 {
			t.Fatal("next returned no events and no error")
		}
		got.Write(events)
	}
}

// TestEventWithTwoIDs reads an event whose first id is higher than the previous one but whose last id is not: the stream is resumed
// after the previous event, so that no event is lost.
func TestEventWithTwoIDs(t *testing.T) {
	text := "id: 1\ndata: d1\n\nid: 2\nid: 1\ndata: d2\n\n"
	reader := &eventReader{source: strings.NewReader(text), buf: make([]byte, 0, eventBufferBytes)}
	events, err := reader.next()
	if string(events) != "id: 1\ndata: d1\n\n" || err != nil || reader.lastEventID != "1" {
		t.Fatalf("%q, error %v, last id %q", events, err, reader.lastEventID)
	}
	if events, err := reader.next(); err == nil || errors.Is(err, io.EOF) || reader.lastEventID != "1" {
		t.Errorf("%q, error %v, last id %q", events, err, reader.lastEventID)
	}
}
