package rules

import (
	"fmt"
	"strings"
)

// Verdict is the result of the check of one rule.
type Verdict struct {
	Rule       string // name in RULES.md
	Checked    int    // requests, streams, windows or changes at which the rule was checked
	Violations int
	Examples   []string // of violations, maxExamples at most
}

const maxExamples = 3

// violation counts a violation, and describes the first ones.
func (v *Verdict) violation(format string, args ...any) {
	v.Violations++
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, fmt.Sprintf(format, args...))
	}
}

// String returns the verdict as a line.
func (v Verdict) String() string {
	if v.Violations == 0 {
		return fmt.Sprintf("%-9s kept, looked at %d", v.Rule, v.Checked)
	}
	return fmt.Sprintf("%-9s BROKEN %d times, looked at %d: %s", v.Rule, v.Violations, v.Checked, strings.Join(v.Examples, "; "))
}

// checks are the checks of the rules that can be judged by the evidence, in the order of RULES.md. RECOVER, the prices and the gate are not among
// them.
var checks = []struct {
	rule  string
	check func(*index, *Verdict)
}{
	{"MIXED", (*index).checkMixed},
	{"UNASKED", (*index).checkUnasked},
	{"TWICE", (*index).checkTwice},
	{"REFUSED", (*index).checkRefused},
	{"DENIED", (*index).checkDenied},
	{"ROUTE", (*index).checkRoute},
	{"DRAIN", (*index).checkDrain},
	{"LOST", (*index).checkLost},
	{"CONFIG", (*index).checkConfig},
	{"BUDGET", (*index).checkBudget},
	{"ORDER", (*index).checkOrder},
	{"FAILBACK", (*index).checkFailback},
	{"HOME", (*index).checkHome},
	{"EVAC", (*index).checkEvacuation},
	{"QUOTA", (*index).checkQuota},
}

// Check checks all rules, and returns a verdict for each, in the order of RULES.md. The run must be over: nothing may be recorded meanwhile.
func Check(e *Evidence) []Verdict {
	x := e.index()
	all := make([]Verdict, len(checks))
	for i, c := range checks {
		all[i].Rule = c.rule
		c.check(x, &all[i])
	}
	return all
}
