package wire

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"time"

	"gradeusher.example/gradeusher/balance"
)

// requestID returns the request's id, which is the first field after the name in all events of requests.
func (r *Reader) requestID() balance.RequestID { return balance.RequestID(r.uint(1)) }

// split sets r.fields to those of a line.
func (r *Reader) split(line []byte) {
	r.fields = r.fields[:0]
	for {
		i := bytes.IndexByte(line, '\t')
		if i < 0 {
			r.fields = append(r.fields, line)
			return
		}
		r.fields = append(r.fields, line[:i])
		line = line[i+1:]
	}
}

// absent reports whether field i is missing, empty or "-".
func (r *Reader) absent(i int) bool {
	return i >= len(r.fields) || len(r.fields[i]) == 0 || len(r.fields[i]) == 1 && r.fields[i][0] == '-'
}

// fail records that field i is not what was wanted, unless an earlier field of the line has failed. The methods that read a field call
// it and return the zero value; parse and listEntry return the error once all fields are read.
func (r *Reader) fail(i int, want string) {
	if r.err != nil {
		return
	}
	if i >= len(r.fields) {
		r.err = fmt.Errorf("part %d is missing, want %s", i, want)
		return
	}
	r.err = fmt.Errorf("part %d is %q, want %s", i, r.fields[i], want)
}

// uint reads a whole number below 2^64.
func (r *Reader) uint(i int) uint64 {
	if i >= len(r.fields) {
		r.fail(i, "a whole number")
		return 0
	}
	n, ok := parseUint(r.fields[i])
	if !ok {
		r.fail(i, "a whole number")
	}
	return n
}

// optionalUint is uint for a field that may be absent, which is 0.
func (r *Reader) optionalUint(i int) uint64 {
	if r.absent(i) {
		return 0
	}
	return r.uint(i)
}

// integer reads a whole number below 2^31.
func (r *Reader) integer(i int) int {
	n := r.uint(i)
	if n > math.MaxInt32 {
		r.fail(i, "a small whole number")
		return 0
	}
	return int(n)
}

// float reads a number of at most maxNumber in absolute value.
func (r *Reader) float(i int) float64 {
	if i >= len(r.fields) {
		r.fail(i, "a number")
		return 0
	}
	f, err := strconv.ParseFloat(string(r.fields[i]), 64)
	if err != nil || math.IsNaN(f) || math.Abs(f) > maxNumber {
		r.fail(i, "a number")
		return 0
	}
	return f
}

// duration reads a time in seconds.
func (r *Reader) duration(i int) time.Duration { return seconds(r.float(i)) }

const (
	maxNumber           = 1e12 // no number of the wire or the settings is larger
	maxSeconds          = 9e9  // what a time.Duration can hold, rounded down
	microsecondsASecond = 1e6
)

// seconds converts seconds to a duration, rounded to microseconds, the resolution of the wire, and bounded by maxSeconds both ways.
func seconds(s float64) time.Duration {
	if math.Abs(s) > maxSeconds {
		s = math.Copysign(maxSeconds, s)
	}
	return time.Duration(math.Round(s*microsecondsASecond)) * time.Microsecond
}

// boolean reads 1 or 0.
func (r *Reader) boolean(i int) bool {
	if i < len(r.fields) && len(r.fields[i]) == 1 {
		switch r.fields[i][0] {
		case '1':
			return true
		case '0':
			return false
		}
	}
	r.fail(i, "1 or 0")
	return false
}

// maxInterned is how many strings are kept for reuse at most.
const maxInterned = 1 << 16

// text returns field i as a string, "" if it is absent. Strings are interned: names of servers, classes and tenants come again in most
// lines, and are allocated once.
func (r *Reader) text(i int) string {
	if r.absent(i) {
		return ""
	}
	if s, ok := r.interned[string(r.fields[i])]; ok {
		return s
	}
	if len(r.interned) >= maxInterned {
		clear(r.interned)
	}
	s := string(r.fields[i])
	r.interned[s] = s
	return s
}

// outcomes are the outcomes of attempts by their words.
var outcomes = map[string]balance.Outcome{
	"completed": balance.Served, "errored": balance.Errored, "saturated": balance.Saturated,
	"overdue": balance.TimedOut, "refused_conn": balance.ConnectFailed, "severed": balance.Reset,
	"recalled": balance.Cancelled, "superseded": balance.NotSent,
}

// outcome reads the outcome of an attempt.
func (r *Reader) outcome(i int) balance.Outcome {
	if i < len(r.fields) {
		if o, ok := outcomes[string(r.fields[i])]; ok {
			return o
		}
	}
	r.fail(i, "an outcome")
	return 0
}

// state reads the state of an entry of a list.
func (r *Reader) state(i int) balance.State {
	switch r.text(i) {
	case "healthy":
		return balance.Ready
	case "cordoned":
		return balance.Draining
	case "deregistered":
		return balance.Removed
	}
	r.fail(i, "a state")
	return balance.Ready
}

// parseUint is strconv.ParseUint for decimal digits in bytes, without an allocation.
func parseUint(s []byte) (n uint64, ok bool) {
	if len(s) == 0 || len(s) > 20 {
		return 0, false
	}
	for _, c := range s {
		d := uint64(c - '0')
		if c < '0' || c > '9' || n > (math.MaxUint64-d)/10 {
			return 0, false
		}
		n = n*10 + d
	}
	return n, true
}
