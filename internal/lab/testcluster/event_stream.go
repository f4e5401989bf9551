package testcluster

import (
	"bufio"
	"io"
	"strconv"
	"strings"

	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// readEvents reads an event stream to its end, and records the events in the attempt. A body that ends within an event, as if it were
// complete, is recorded as an empty segment: rule ORDER counts it as broken.
func (c *clientConn) readEvents(body io.Reader, spec *attemptSpec) error {
	lines := bufio.NewReader(body)
	id, run := 0, ""
	for {
		c.extendReadDeadline(spec)
		line, err := lines.ReadString('\n')
		if err == io.EOF && line == "" && id == 0 {
			return nil
		}
		if err == io.EOF {
			spec.attempt.Events = append(spec.attempt.Events, rules.Segment{})
			return nil
		}
		if err != nil {
			return err
		}
		line = strings.TrimRight(line, "\r\n")
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			id, _ = strconv.Atoi(text)
		}
		if text, ok := strings.CutPrefix(line, "data: "); ok {
			run, _, _ = strings.Cut(text, " ")
		}
		if line == "" && id != 0 {
			spec.attempt.Events = appendEvent(spec.attempt.Events, run, id)
			id, run = 0, ""
		}
	}
}

// appendEvent appends one event. Consecutive events of one run are one segment.
func appendEvent(segments []rules.Segment, run string, id int) []rules.Segment {
	if n := len(segments); n > 0 && segments[n-1].Run == run && segments[n-1].Last == id-1 {
		segments[n-1].Last = id
		return segments
	}
	return append(segments, rules.Segment{Run: run, First: id, Last: id})
}
