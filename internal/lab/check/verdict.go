package check

import "fmt"

// Verdict is whether one invariant or bar held.
type Verdict struct {
	Name     string   `json:"name"`
	Verdict  string   `json:"verdict"` // Held, Broken or NotSeen
	Passed   bool     `json:"held"`
	LookedAt int      `json:"looked_at"`          // how many of what it is about were seen
	Broken   int      `json:"broken"`             // how often it was
	Detail   []string `json:"detail,omitempty"`   // the first of them
	Value    *float64 `json:"value,omitempty"`    // of a bar's figure
	Bar      string   `json:"bar,omitempty"`      // what it had to be
	Says     string   `json:"promises,omitempty"` // what it promises
}

// What a verdict may be.
const (
	Passed  = "held"
	Broken  = "broken"
	NotSeen = "not seen" // there was nothing to look at: it has not held, and was not broken
)

// conclude words what was found.
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

// Names are those of the verdicts that are as wanted.
func Names(all []Verdict, verdict string) []string {
	var names []string
	for _, v := range all {
		if v.Verdict == verdict {
			names = append(names, v.Name)
		}
	}
	return names
}

const maxDetails = 5

// findings collects what was looked at for each invariant, and what broke it.
type findings map[string]*Verdict

func (f findings) violation(name, form string, args ...any) {
	v := f[name]
	v.Broken++
	if len(v.Detail) < maxDetails {
		v.Detail = append(v.Detail, fmt.Sprintf(form, args...))
	}
}

// observe notes that n things more were looked at.
func (f findings) observe(name string, n int) { f[name].LookedAt += n }
