package pick

import (
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick/prefixcache"
)

// PrefixPart is one part of a prompt.
type PrefixPart = prefixcache.Part

// Request is a client's request. The caller sets its fields before each call of Pick, and does not reuse it before its last
// attempt is Done.
type Request struct {
	Route        *config.Route
	Tenant       *config.Tenant // that sent it; nil: none is known
	Model        string
	TokensIn     int           // of the prompt
	MaxTokensOut int           // of the answer
	Prefix       []PrefixPart  // the prompt's parts in order; shared between requests, but for the last
	TimeLeft     time.Duration // of the client's time and the route's timeout, whichever is shorter
	Age          time.Duration // since the head was read here
	Resumed      bool          // continues a stream after Last-Event-Id

	// arrived is how many attempts reached a server, or are under way to one. Only the Picker changes it: send counts an attempt, and Done
	// takes it back with ConnectFailed. So one Request has to be passed with all its attempts. hasNoTriesLeft says why the caller counts too.
	arrived int
}

// allowsRegion reports whether r may go to a region: it has to be a home of the route and of the tenant, where these have any.
func (r *Request) allowsRegion(region string) bool {
	return isHome(r.Route.HomeRegions, region) && (r.Tenant == nil || isHome(r.Tenant.HomeRegions, region))
}

// isHome reports whether a region is among the homes; without homes all regions are.
func isHome(homes []string, region string) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

// Priority is the priority of r, 0 or more and the highest first: the tenant's, or that of the route where the tenant has none.
func (r *Request) Priority() int {
	if r.Tenant != nil && r.Tenant.Priority != config.NoPriority {
		return r.Tenant.Priority
	}
	return r.Route.Priority
}

// maxTries is how many attempts of r may reach a server.
func (r *Request) maxTries() int { return max(r.Route.MaxAttempts, 1) }

// AttemptOutcome is how one attempt at a server ended.
type AttemptOutcome uint8

// The outcomes.
const (
	Served         AttemptOutcome = iota // a whole answer
	NotExecuted                          // the server said that it did not run it (X-Not-Executed): full, or too late in its queue
	Misdirected                          // 421: another server has the address now
	ConnectFailed                        // no connection, or not a byte was sent
	ConnectionLost                       // sent, then a reset, a close or bytes that are no answer: may have run
	TimedOut                             // sent, and no answer in the time that was given: may have run
	ServerError                          // an answer of 5xx that ran
	Canceled                             // the client went away, or this end gave it up
)

// Decision is what is to be done with a request now.
type Decision uint8

// The decisions.
const (
	Send   Decision = iota // to Result.Server
	Reject                 // answer 503 with Retry-After: nothing can serve it in time (only where it has not run)
	GiveUp                 // no further attempt is allowed (tries, budget, no other server): answer with what there is
)

// Result is a decision with what it needs.
type Result struct {
	Decision   Decision
	Server     Server
	Ticket     uint64        // names this attempt in ResponseStarted, FirstEvent and Done
	Priority   int           // for the Priority header, 0 to 9
	RetryAfter time.Duration // with Reject: when there will be capacity
	SendWithin time.Duration // with Send: the request goes out so soon after the choice, or not at all; 0: whenever it can
}
