package check

import (
	"fmt"
	"strings"
)

// Bars holds the figures against what the file wants of them. A figure that was not measured does not reach its bar.
func Bars(e *Evidence, f Figures) []Verdict {
	var verdicts []Verdict
	for _, b := range e.Plan.File.Bars {
		v := Verdict{Name: "bar " + b.Figure, LookedAt: 1}
		value, known := f[b.Figure]
		reached := known
		var wants []string
		if b.Min != nil {
			wants = append(wants, fmt.Sprintf("at least %v", *b.Min))
			reached = reached && value >= *b.Min
		}
		if b.Max != nil {
			wants = append(wants, fmt.Sprintf("at most %v", *b.Max))
			reached = reached && value <= *b.Max
		}
		v.Bar = strings.Join(wants, ", ")
		found := "not measured"
		if known {
			v.Value, found = &value, fmt.Sprintf("%.4g", value)
		}
		if !reached {
			v.Broken = 1
			v.Detail = []string{fmt.Sprintf("it is %s, wanted %s", found, v.Bar)}
		}
		v.conclude()
		verdicts = append(verdicts, v)
	}
	return verdicts
}
