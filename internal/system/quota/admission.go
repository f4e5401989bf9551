// Package quota limits the requests of tenants over the whole fleet.
package quota

import (
	"strconv"
	"time"
)

// Verdict says whether a request counts as within its tenant's limit.
type Verdict uint8

// The verdicts.
const (
	Admitted    Verdict = iota // the request is within the limit and has been counted
	OverLimit                  // it is beyond the limit: answer 429
	Unavailable                // whether it is could not be found out in time: answer 503
)

// String is for operators and tests.
func (v Verdict) String() string {
	names := [...]string{"admitted", "over the limit", "unavailable"}
	if int(v) < len(names) {
		return names[v]
	}
	return "verdict " + strconv.Itoa(int(v))
}

// Admission is the verdict on one request.
type Admission struct {
	Verdict Verdict
	// RetryAfter is when the client may come back, unless the verdict is Admitted; 0: not known.
	RetryAfter time.Duration
}
