package check

import (
	"fmt"
	"strings"
)

// Bars compares the figures with the bars of the experiment file. A figure that was not measured does not meet its bar.
func Bars(e *Evidence, figures Figures) []Verdict {
	var verdicts []Verdict
	for _, bar := range e.Plan.File.Bars {
		verdict := Verdict{Name: "bar " + bar.Figure, LookedAt: 1}
		value, known := figures[bar.Figure]
		met := known
		var wants []string
		if bar.Min != nil {
			wants = append(wants, fmt.Sprintf("at least %v", *bar.Min))
			met = met && value >= *bar.Min
		}
		if bar.Max != nil {
			wants = append(wants, fmt.Sprintf("at most %v", *bar.Max))
			met = met && value <= *bar.Max
		}
		verdict.Bar = strings.Join(wants, ", ")
		found := "not measured"
		if known {
			verdict.Value, found = &value, fmt.Sprintf("%.4g", value)
		}
		if !met {
			verdict.Broken = 1
			verdict.Detail = []string{fmt.Sprintf("it is %s, wanted %s", found, verdict.Bar)}
		}
		verdict.conclude()
		verdicts = append(verdicts, verdict)
	}
	return verdicts
}
