// Package quota limits the requests of tenants across the whole fleet.
package quota

import (
	"strconv"
	"time"
)

// Verdict is the outcome of checking a request against its tenant's limit.
type Verdict uint8

// Possible verdicts.
const (
	Admitted    Verdict = iota // the request is within the limit and has been counted
	OverLimit                  // the request exceeds the limit: answer 429
	Unavailable                // the request could not be decided on in time: answer 503
)

// String returns a description of the verdict for operators and tests.
func (v Verdict) String() string {
	names := [...]string{"admitted", "over the limit", "unavailable"}
	if int(v) < len(names) {
		return names[v]
	}
	return "verdict " + strconv.Itoa(int(v))
}

// Admission is the outcome for one request.
type Admission struct {
	Verdict Verdict
	// RetryAfter is how long the client should wait before it retries, unless the verdict is Admitted; 0 means not known.
	RetryAfter time.Duration
}
