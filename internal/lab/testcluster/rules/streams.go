package rules

// checkOrder checks ORDER (RULES.md, "Streams"): no event of a stream is missing or comes twice, all are of one run, and a stream that was
// closed as complete has the last one.
//
// Excused are idempotent requests that continue with another run, if that began where the one before ended. A truncated stream need not have
// the last event.
func (x *index) checkOrder(verdict *Verdict) {
	for _, attempt := range x.Attempts {
		if !attempt.Stream {
			continue
		}
		verdict.Checked++
		last := x.checkEvents(attempt, verdict)
		if !attempt.succeeded() {
			continue
		}
		if arrival := x.arrivalBySeal[attempt.Seal]; arrival != nil && last != arrival.LastEvent {
			verdict.violation("%s: closed as complete after event %d of %d", attempt.ID, last, arrival.LastEvent)
		}
	}
}

// checkEvents checks that the events of a stream follow each other, and returns the number of the last one.
func (x *index) checkEvents(attempt *Attempt, verdict *Verdict) (last int) {
	last = attempt.From
	for i, segment := range attempt.Events {
		run := x.arrivalBySeal[segment.Run]
		switch {
		case run == nil || run.ID != attempt.ID:
			verdict.violation("%s: event %d is of no run of this request", attempt.ID, segment.First)
		case segment.First != last+1:
			verdict.violation("%s: event %d follows event %d", attempt.ID, segment.First, last)
		case i == 0:
			// The first run follows what the client has, wherever the run itself began.
		case segment.Run == attempt.Events[i-1].Run || !x.idempotent(attempt):
			verdict.violation("%s: events of two runs", attempt.ID)
		case run.From != last:
			verdict.violation("%s: a run that goes on after %d was joined after %d", attempt.ID, run.From, last)
		}
		last = segment.Last
	}
	return last
}
