package quotarpc

import (
	"time"

	"gradeusher.example/gradeusher/internal/system/quota"
)

// TakeResult is the outcome for a number of requests of one tenant, each of which is counted once.
type TakeResult struct {
	Admitted    int           // requests that are admitted
	OverLimit   int           // requests that exceed the tenant's limit
	Unavailable int           // requests that could not be decided on in time
	RetryAfter  time.Duration // how long to wait before a request over the limit is retried; 0 means not known
}

// unavailable returns the outcome for requests that no limiter decided on.
func unavailable(count int) TakeResult { return TakeResult{Unavailable: count} }

// resultFromDecision converts an immediate decision of a limiter.
func resultFromDecision(decision quota.Decision) TakeResult {
	return TakeResult{
		Admitted:    decision.Granted,
		OverLimit:   decision.Denied,
		Unavailable: decision.Unavailable,
		RetryAfter:  decision.RetryAfter,
	}
}

// resultFromResolution converts a limiter's decision on requests that waited.
func resultFromResolution(resolution quota.Resolution) TakeResult {
	return TakeResult{
		Admitted:    resolution.Granted,
		OverLimit:   resolution.Denied,
		Unavailable: resolution.Unavailable,
		RetryAfter:  resolution.RetryAfter,
	}
}

// plus returns the combined outcome of t and other, which must be for different requests.
func (t TakeResult) plus(other TakeResult) TakeResult {
	return TakeResult{
		Admitted:    t.Admitted + other.Admitted,
		OverLimit:   t.OverLimit + other.OverLimit,
		Unavailable: t.Unavailable + other.Unavailable,
		RetryAfter:  max(t.RetryAfter, other.RetryAfter),
	}
}

// admission returns the verdict on the request at an index: admitted requests come first, then those over the limit, then unavailable ones.
func (t TakeResult) admission(index int) quota.Admission {
	switch {
	case index < t.Admitted:
		return quota.Admission{Verdict: quota.Admitted}
	case index < t.Admitted+t.OverLimit:
		return quota.Admission{Verdict: quota.OverLimit, RetryAfter: t.RetryAfter}
	default:
		return quota.Admission{Verdict: quota.Unavailable}
	}
}
