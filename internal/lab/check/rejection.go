package check

import (
	"time"

	"gradeusher.example/gradeusher/internal/lab/plan"
)

const (
	settlingSeconds    = 5    // seconds after the last fault's end
	recoveredTolerance = 0.03 // of the share before the first fault counts as back
	recoveredSeconds   = 3    // seconds in a row
)

// faultPeriod is when the first fault begins and the last one ends, with the restart that it brings; ok is false without faults.
func (e *Evidence) faultPeriod() (first, last int64, ok bool) {
	for i, band := range e.Plan.Bands {
		to := band.To
		if r := e.Plan.File.Faults[band.Fault].Restart; r != nil {
			to += plan.Seconds(*r)
		}
		from, end := e.Start+int64(band.From), e.Start+int64(to)
		if i == 0 || from < first {
			first = from
		}
		last = max(last, end)
	}
	return first, last, len(e.Plan.Bands) > 0
}

// rejectionFigures are refused_after, the share of requests refused from 5 s after the last fault's end on less that before the first
// fault, and refused_back_s, the seconds from that end until the share is within 0.03 of that before, for 3 s in a row: all the rest
// of the load where it never is. They are left out where there is nothing before, or nothing after.
func (e *Evidence) rejectionFigures(f Figures, course []Second) {
	first, last, ok := e.faultPeriod()
	if !ok {
		return
	}
	of := func(from, to int64) (share float64, any bool) { // whole seconds
		requests, refused := 0, 0
		for i, s := range course {
			if at := e.Start + int64(i)*int64(time.Second); at >= from && at+int64(time.Second) <= to {
				requests, refused = requests+s.Requests, refused+s.Refused
			}
		}
		return float64(refused) / float64(max(1, requests)), requests > 0
	}
	end := e.Start + int64(len(course))*int64(time.Second)
	before, was := of(e.Start, first)
	after, is := of(last+settlingSeconds*int64(time.Second), end)
	if !was || !is {
		return
	}
	f["refused_before"], f["refused_after"] = before, after-before
	begin := int((last - e.Start + int64(time.Second) - 1) / int64(time.Second)) // the first whole second after it
	back := len(course)
	for s := begin; s+recoveredSeconds <= len(course); s++ {
		share, _ := of(e.Start+int64(s)*int64(time.Second), e.Start+int64(s+recoveredSeconds)*int64(time.Second))
		if share <= before+recoveredTolerance {
			back = s
			break
		}
	}
	f["refused_back_s"] = float64(back - begin)
}
