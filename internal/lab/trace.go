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

// Moment is one thing that was seen of a request.
type Moment struct {
	At   float64 `json:"at_ms"` // from when its first try was due
	Says string  `json:"says"`
}

// Trace is what clients and servers saw of a request and its retry, in order of time, from the records in a report's folder. It fails
// with an *UnknownRequestError where no client has the id.
func Trace(folder, id string) ([]Moment, error) {
	tries, err := ctl.ReadRecords[load.Attempt](filepath.Join(folder, "requests.jsonl"))
	if err != nil {
		return nil, err
	}
	i := slices.IndexFunc(tries, func(t load.Attempt) bool { return t.ID == id })
	if i < 0 {
		return nil, &UnknownRequestError{Folder: folder, ID: id}
	}
	arrival := tries[i].Arrival
	tries = slices.DeleteFunc(tries, func(t load.Attempt) bool { return t.Arrival != arrival })
	slices.SortFunc(tries, func(a, b load.Attempt) int { return cmp.Compare(a.Due, b.Due) })
	var all []Moment
	add := func(at int64, form string, args ...any) {
		if at != 0 {
			all = append(all, Moment{float64(at-tries[0].Due) / 1e6, fmt.Sprintf(form, args...)})
		}
	}
	ids := map[string]bool{}
	for _, t := range tries {
		ids[t.ID] = true
		add(t.Began, "client: %s to sidecar %d, class %d, time-out %v", t.ID, t.Sidecar, t.Class, t.Timeout)
		add(t.ResentAt, "client: %s once more, the connection had been closed", t.ID)
		if t.Status == 0 {
			add(t.Ended, "client: %s got no answer: %s", t.ID, t.Fault)
		} else {
			add(t.Ended, "client: %s got %d%s", t.ID, t.Status, strings.TrimSuffix(" from "+t.ServedBy, " from "))
		}
	}
	paths, err := filepath.Glob(filepath.Join(folder, "attempts-*.jsonl"))
	if err != nil {
		return nil, err
	}
	for _, path := range paths {
		attempts, err := ctl.ReadRecords[ctl.Attempt](path)
		if err != nil {
			return nil, err
		}
		for _, a := range attempts {
			if ids[a.ID] {
				add(a.First, "sidecar %d: %s to server %s, %.1f ms of work%s", a.Near, a.ID, a.Server, float64(a.Work)/1e6,
					map[bool]string{true: ", on a new connection"}[a.New])
				add(a.Received, "server %s: %s is there whole", a.Server, a.ID)
				add(a.End, "server %s: %s %s", a.Server, a.ID, a.Outcome)
			}
		}
	}
	slices.SortStableFunc(all, func(a, b Moment) int { return cmp.Compare(a.At, b.At) })
	return all, nil
}

// PrintTrace writes a trace, a moment a line.
func PrintTrace(w io.Writer, all []Moment) {
	var text strings.Builder
	for _, m := range all {
		fmt.Fprintf(&text, "%10.3f ms  %s\n", m.At, m.Says)
	}
	_, _ = io.WriteString(w, text.String()) // a reader who has gone needs no trace
}
