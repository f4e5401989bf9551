package check

import "fmt"

// Verdict is the result for one invariant or bar.
type Verdict struct {
	Name     string   `json:"name"`
	Verdict  string   `json:"verdict"` // Passed, Broken or NotSeen
	Passed   bool     `json:"held"`
	LookedAt int      `json:"looked_at"`          // number of observations that it applies to
	Broken   int      `json:"broken"`             // number of violations
	Detail   []string `json:"detail,omitempty"`   // the first violations
	Value    *float64 `json:"value,omitempty"`    // of the figure of a bar
	Bar      string   `json:"bar,omitempty"`      // the bounds of the figure
	Says     string   `json:"promises,omitempty"` // the statement of the invariant
}

// The values of Verdict.Verdict.
const (
	Passed  = "held"
	Broken  = "broken"
	NotSeen = "not seen" // nothing was observed that it applies to: neither passed nor broken
)

// conclude sets the verdict by what was counted.
func (v *Verdict) conclude() {
	switch {
	case v.Broken > 0:
		v.Verdict = Broken
	case v.LookedAt == 0:
		v.Verdict = NotSeen
	default:
		v.Verdict = Passed
	}
	v.Passed = v.Verdict == Passed
}

// Names are the names of the invariants and bars with a verdict.
func Names(all []Verdict, verdict string) []string {
	var names []string
	for _, v := range all {
		if v.Verdict == verdict {
			names = append(names, v.Name)
		}
	}
	return names
}

const maxDetails = 5 // violations of one invariant that a report describes

// findings collects observations and violations by name of the invariant.
type findings map[string]*Verdict

// violation counts a violation and describes the first ones.
func (f findings) violation(name, form string, args ...any) {
	v := f[name]
	v.Broken++
	if len(v.Detail) < maxDetails {
		v.Detail = append(v.Detail, fmt.Sprintf(form, args...))
	}
}

// observe counts n observations that the invariant applies to.
func (f findings) observe(name string, n int) { f[name].LookedAt += n }
