package quotarpc

import (
	"time"

	"gradeusher.example/gradeusher/internal/system/quota"
)

// Taken says what became of some requests of one tenant, each of which is counted once.
type Taken struct {
	Admitted    int           // may run
	OverLimit   int           // exceed the tenant's limit
	Unavailable int           // could not be decided in time
	RetryAfter  time.Duration // when one that is over the limit may be admitted; 0: not known
}

// unavailable is the outcome for requests that nobody decided on.
func unavailable(count int) Taken { return Taken{Unavailable: count} }

// takenFromDecision converts what a limiter decided at once.
func takenFromDecision(decision quota.Decision) Taken {
	return Taken{
		Admitted:    decision.Granted,
		OverLimit:   decision.Denied,
		Unavailable: decision.Unavailable,
		RetryAfter:  decision.RetryAfter,
	}
}

// takenFromResolution converts what a limiter decided on requests that waited.
func takenFromResolution(resolution quota.Resolution) Taken {
	return Taken{
		Admitted:    resolution.Granted,
		OverLimit:   resolution.Denied,
		Unavailable: resolution.Unavailable,
		RetryAfter:  resolution.RetryAfter,
	}
}

// plus adds the outcome for other requests.
func (t Taken) plus(other Taken) Taken {
	return Taken{
		Admitted:    t.Admitted + other.Admitted,
		OverLimit:   t.OverLimit + other.OverLimit,
		Unavailable: t.Unavailable + other.Unavailable,
		RetryAfter:  max(t.RetryAfter, other.RetryAfter),
	}
}

// admission is the verdict on the request at an index: those that are admitted come first, then those over the limit.
func (t Taken) admission(index int) quota.Admission {
	switch {
	case index < t.Admitted:
		return quota.Admission{Verdict: quota.Admitted}
	case index < t.Admitted+t.OverLimit:
		return quota.Admission{Verdict: quota.OverLimit, RetryAfter: t.RetryAfter}
	default:
		return quota.Admission{Verdict: quota.Unavailable}
	}
}
