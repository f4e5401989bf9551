package lab

import (
	"cmp"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/load"
)

// Moment is one thing that was observed of a request.
type Moment struct {
	At   float64 `json:"at_ms"` // from when its first attempt was due
	Says string  `json:"says"`
}

// Trace is what clients and servers saw of a request and its retry, in order of time, from the records in a report's folder. It fails
// with an *UnknownRequestError where no client has the id.
func Trace(folder, id string) ([]Moment, error) {
	attempts, err := clientAttempts(folder, id)
	if err != nil {
		return nil, err
	}
	trace := &requestTrace{due: attempts[0].Due, ids: map[string]bool{}}
	for i := range attempts {
		trace.addClientAttempt(&attempts[i])
	}
	paths, err := filepath.Glob(filepath.Join(folder, recordsPattern(recordsOfAttempts)))
	if err != nil {
		return nil, err
	}
	for _, path := range paths {
		received, err := ctl.ReadRecords[ctl.Attempt](path)
		if err != nil {
			return nil, err
		}
		for i := range received {
			trace.addServerAttempt(&received[i])
		}
	}
	slices.SortStableFunc(trace.moments, func(a, b Moment) int { return cmp.Compare(a.At, b.At) })
	return trace.moments, nil
}

// clientAttempts are all attempts of the arrival that the attempt of an id belongs to, in the order in which they were due.
func clientAttempts(folder, id string) ([]load.Attempt, error) {
	attempts, err := ctl.ReadRecords[load.Attempt](filepath.Join(folder, clientAttemptsFile))
	if err != nil {
		return nil, err
	}
	index := slices.IndexFunc(attempts, func(a load.Attempt) bool { return a.ID == id })
	if index < 0 {
		return nil, &UnknownRequestError{Folder: folder, ID: id}
	}
	arrival := attempts[index].Arrival
	attempts = slices.DeleteFunc(attempts, func(a load.Attempt) bool { return a.Arrival != arrival })
	slices.SortFunc(attempts, func(a, b load.Attempt) int { return cmp.Compare(a.Due, b.Due) })
	return attempts, nil
}

// requestTrace collects what was observed of a request.
type requestTrace struct {
	due     int64           // when its first attempt was due, ns of the lab's clock
	ids     map[string]bool // of its attempts
	moments []Moment
}

// add adds what was observed at a time, in ns of the lab's clock; 0: it did not happen.
func (r *requestTrace) add(at int64, format string, args ...any) {
	if at != 0 {
		r.moments = append(r.moments, Moment{float64(at-r.due) / 1e6, fmt.Sprintf(format, args...)})
	}
}

// addClientAttempt adds what the client observed of an attempt of the request.
func (r *requestTrace) addClientAttempt(attempt *load.Attempt) {
	r.ids[attempt.ID] = true
	r.add(attempt.Began, "client: %s to sidecar %d, class %d, time-out %v", attempt.ID, attempt.Sidecar, attempt.Class, attempt.Timeout)
	r.add(attempt.ResentAt, "client: %s once more, the connection had been closed", attempt.ID)
	if attempt.Status == 0 {
		r.add(attempt.Ended, "client: %s got no answer: %s", attempt.ID, attempt.Fault)
		return
	}
	servedBy := ""
	if attempt.ServedBy != "" {
		servedBy = " from " + attempt.ServedBy
	}
	r.add(attempt.Ended, "client: %s got %d%s", attempt.ID, attempt.Status, servedBy)
}

// addServerAttempt adds what a server observed of an attempt, if that is one of the request.
func (r *requestTrace) addServerAttempt(attempt *ctl.Attempt) {
	if !r.ids[attempt.ID] {
		return
	}
	connection := ""
	if attempt.New {
		connection = ", on a new connection"
	}
	r.add(attempt.First, "sidecar %d: %s to server %s, %.1f ms of work%s", attempt.Near, attempt.ID, attempt.Server, float64(attempt.Work)/1e6, connection)
	r.add(attempt.Received, "server %s: %s is there whole", attempt.Server, attempt.ID)
	r.add(attempt.End, "server %s: %s %s", attempt.Server, attempt.ID, attempt.Outcome)
}

// PrintTrace writes a trace as text, one line a moment.
func PrintTrace(w io.Writer, moments []Moment) {
	var text strings.Builder
	for _, moment := range moments {
		fmt.Fprintf(&text, "%10.3f ms  %s\n", moment.At, moment.Says)
	}
	_, _ = io.WriteString(w, text.String()) // a reader who has gone needs no trace
}
