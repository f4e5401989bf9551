package check

import (
	"time"

	"gradeusher.example/gradeusher/internal/lab/plan"
)

const (
	excludedSeconds    = 5    // after the end of the last fault, which do not count
	recoveredTolerance = 0.03 // above the share before the first fault that counts as recovered
	recoveredSeconds   = 3    // in a row
)

// faultPeriod is when the first fault begins and the last one ends, with the restart that it brings, in ns of the lab's clock; ok is false
// without faults.
func (e *Evidence) faultPeriod() (first, last int64, ok bool) {
	for i, band := range e.Plan.Bands {
		end := band.To
		if restart := e.Plan.File.Faults[band.Fault].Restart; restart != nil {
			end += plan.Seconds(*restart)
		}
		from := e.Start + int64(band.From)
		if i == 0 || from < first {
			first = from
		}
		last = max(last, e.Start+int64(end))
	}
	return first, last, len(e.Plan.Bands) > 0
}

// rejectionFigures adds refused_after, the share of requests rejected from 5 s after the end of the last fault less that before the first
// fault, and refused_back_s, the seconds from that end until the share is within 0.03 of that before for 3 s in a row, or until the end
// of the load where it never is. They are left out where there is nothing before, or nothing after.
func (e *Evidence) rejectionFigures(figures Figures, course []Second) {
	first, last, ok := e.faultPeriod()
	if !ok {
		return
	}
	before, requestsBefore := e.rejectedShare(course, e.Start, first)
	after, requestsAfter := e.rejectedShare(course, last+excludedSeconds*int64(time.Second), e.second(len(course)))
	if !requestsBefore || !requestsAfter {
		return
	}
	figures["refused_before"], figures["refused_after"] = before, after-before
	begin := int((last - e.Start + int64(time.Second) - 1) / int64(time.Second)) // the first whole second after it
	recovered := len(course)
	for second := begin; second+recoveredSeconds <= len(course); second++ {
		share, _ := e.rejectedShare(course, e.second(second), e.second(second+recoveredSeconds))
		if share <= before+recoveredTolerance {
			recovered = second
			break
		}
	}
	figures["refused_back_s"] = float64(recovered - begin)
}

// rejectedShare is the share of the requests that were rejected in the whole seconds of a period; ok is false where there were no requests.
func (e *Evidence) rejectedShare(course []Second, from, to int64) (share float64, ok bool) {
	requests, rejected := 0, 0
	for i, second := range course {
		if e.second(i) >= from && e.second(i+1) <= to {
			requests, rejected = requests+second.Requests, rejected+second.Refused
		}
	}
	return float64(rejected) / float64(max(1, requests)), requests > 0
}
