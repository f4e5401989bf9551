package pick

import (
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick/prefixcache"
)

// PrefixPart is one part of a prompt.
type PrefixPart = prefixcache.Part

// Request is a client's request. The caller sets its fields before each call
// of Pick, and does not reuse it until Done was called for its last attempt.
type Request struct {
	Route        *config.Route
	Tenant       *config.Tenant // the sender; nil: not known
	Model        string
	TokensIn     int           // of the prompt
	MaxTokensOut int           // of the answer
	Prefix       []PrefixPart  // the prompt's parts in order; other requests may share all but the last
	TimeLeft     time.Duration // until the client's deadline or the route's timeout, whichever comes first
	Age          time.Duration // since this proxy read the request head
	Resumed      bool          // it continues a stream after Last-Event-Id

	// countedAttempts is the number of attempts that reached a server or are in flight to one. Only the Picker
	// changes it: send counts an attempt, and Done uncounts it for ConnectFailed. So all attempts of a request
	// must be passed the same Request. attemptsExhausted explains why the caller counts attempts as well.
	countedAttempts int
}

// allowsRegion reports whether r may go to a region: it must be a home region of the route and of the tenant, if these have any.
func (r *Request) allowsRegion(region string) bool {
	return isHome(r.Route.HomeRegions, region) && (r.Tenant == nil || isHome(r.Tenant.HomeRegions, region))
}

// isHome reports whether a region is among the homes; if there are no homes, all regions are allowed.
func isHome(homes []string, region string) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

// Priority returns the priority of r, 0 or more, 0 being the highest: the tenant's priority, or that of the route if the tenant has none.
func (r *Request) Priority() int {
	if r.Tenant != nil && r.Tenant.Priority != config.NoPriority {
		return r.Tenant.Priority
	}
	return r.Route.Priority
}

// maxAttempts returns how many attempts of r may reach a server.
func (r *Request) maxAttempts() int { return max(r.Route.MaxAttempts, 1) }

// AttemptOutcome is how one attempt at a server ended.
type AttemptOutcome uint8

// The outcomes.
const (
	Served         AttemptOutcome = iota // a complete response
	NotExecuted                          // X-Not-Executed: the server did not run it because it was full or the request queued too long
	Misdirected                          // 421: the address now belongs to another server
	ConnectFailed                        // no connection, or not a byte was sent
	ConnectionLost                       // sent, then a reset, a close or an invalid response: may have run
	TimedOut                             // sent, and no response within the timeout: may have run
	ServerError                          // a 5xx response of a request that ran
	Canceled                             // the client disconnected, or this proxy aborted the attempt
)

// Decision is what to do with a request now.
type Decision uint8

// The decisions.
const (
	Send   Decision = iota // to Result.Server
	Reject                 // respond 503 with Retry-After: no server can serve it in time (only if the request has not run)
	GiveUp                 // no further attempt is allowed (attempts, budget, no other server): respond with what there is
)

// Result is a decision with its details.
type Result struct {
	Decision   Decision
	Server     Server
	Ticket     uint64        // identifies this attempt in ResponseStarted, FirstEvent and Done
	Priority   int           // for the Priority header, 0 to 9
	RetryAfter time.Duration // with Reject: when capacity is expected
	SendWithin time.Duration // with Send: the request must go out within this time after the choice, or not at all; 0: no limit
}
