package rules

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Unanswered returns the last attempts of the requests that got no final answer, in the order in which they were sent.
func (e *Evidence) Unanswered() []*Attempt {
	last := map[int]*Attempt{}
	for _, attempt := range e.Attempts {
		if former := last[attempt.Request]; !attempt.Probe && (former == nil || attempt.Sent > former.Sent) {
			last[attempt.Request] = attempt
		}
	}
	var all []*Attempt
	for _, attempt := range last {
		if attempt.Outcome != Answered {
			all = append(all, attempt)
		}
	}
	slices.SortFunc(all, func(a, b *Attempt) int { return cmp.Compare(a.Sent, b.Sent) })
	return all
}

// String returns the attempt as a line.
func (a *Attempt) String() string {
	return fmt.Sprintf("%s %s at %s, sent %v: %s after %v (status %d, %d segments)", a.ID, a.Path, a.Proxy, a.Sent.Round(time.Millisecond),
		a.Outcome, (a.Ended - a.Sent).Round(time.Millisecond), a.Status, len(a.Events))
}

// Describe returns an attempt as a line, with what servers saw of it.
func (e *Evidence) Describe(attempt *Attempt) string {
	text := attempt.String()
	for _, arrival := range e.Arrivals {
		if arrival.ID != attempt.ID {
			continue
		}
		text += fmt.Sprintf("; reached %s after %v", arrival.Server, (arrival.At - attempt.Sent).Round(time.Millisecond))
		switch {
		case arrival.Rejected != 0:
			text += fmt.Sprintf(", rejected with %d", arrival.Rejected)
		case !arrival.executed():
			text += ", never ran"
		default:
			ranAfter := (arrival.ExecutedAt - attempt.Sent).Round(time.Millisecond)
			text += fmt.Sprintf(", ran after %v, %d of %d events", ranAfter, arrival.SentEvents, arrival.LastEvent)
		}
	}
	return text
}
