// Package pick decides which server gets which request: the design's rotation (fixed shares smoothly interleaved over a
// route's groups, round robin inside a group, a due server with more in flight yields) and, inside the rotation's freedom,
// prompts that stick to servers that hold them, cold and draining servers, homes, evacuated zones, load that servers and
// other proxies tell, the budget of repeats, and admission. It is pure: no I/O, no clock, no goroutine, no lock.
package pick

import (
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick/prefixcache"
)

// Time is a reading of the caller's monotonic clock.
type Time = time.Duration

// Server is one incarnation of a server, as the platform's list tells of it.
type Server struct {
	ID, Service, Address string
	Zone, Region         string
	Slots                int
	Draining             bool
	Remaining            time.Duration // of a server withdrawn at short notice: what is left to it; 0: not told
	WarmUpMax            time.Duration // how much longer it is cold at most, counted from when SetWorld is told; 0: warm
	WarmUpMin            time.Duration // and at least
}

// ClusterState is what is known beside traffic. A new one replaces the old whole.
type ClusterState struct {
	Age       time.Duration // since the durations in it were right
	Config    *config.Config
	Evacuated map[string]bool // zones
	Servers   []Server
	// WordAge is how long ago, at most, a current keeper told of this world.
	ContactAge time.Duration
	// ZoneChanges tells for each zone which record of the control state evacuated it or took it back last; 0: none did. ListCovers
	// is the number of the newest record before which all that happened to servers certainly shows in Servers.
	ZoneChanges   map[string]uint64
	ListCoversSeq uint64
	// Self is this proxy's name and Peers the names of all live proxies, this one included, sorted: duties such as a cold
	// server's are cut over them. A proxy that is not among them, or does not know them yet, sends nothing to cold servers.
	Self  string
	Peers []string
	// Lost is how many proxies were given up lately, which may live on. Parts are cut for them, too.
	DownCount int
	// Partial tells that Peers may lack live proxies, as no keeper that knows them all has told of them yet.
	MembershipIncomplete bool
	// Stale tells that others may have given this proxy up by now, as it has not been heard from or has heard nothing.
	Stale bool
}

// service is what the configuration says of a service; nil: nothing.
func (c *ClusterState) service(name string) *config.Service {
	if c.Config == nil {
		return nil
	}
	return c.Config.Services[name]
}

// hasContactSince reports whether the state shows what the control plane knew at a time or later.
func (c *ClusterState) hasContactSince(now, since Time) bool { return now-c.ContactAge-c.Age >= since }

// Load is what one proxy, or all other proxies together, have brought to a server and is not yet answered.
type Load struct {
	Requests int   // running or waiting there
	Prefill  int64 // prompt tokens believed still to be read before a new request would get its first token
	Tokens   int64 // tokens of memory that those requests hold or will hold
}

// PrefixPart is one part of a prompt.
type PrefixPart = prefixcache.Part

// Request is a client's request.
type Request struct {
	Route        *config.Route
	Model        string
	TokensIn     int
	MaxTokensOut int // the most
	Prefix       []PrefixPart
	TimeLeft     time.Duration // of the client's time and the route's timeout, whichever is shorter
	Age          time.Duration // since the head was read here
	Resumed      bool          // continues a stream after Last-Event-Id

	arrived int // sends that reached a server, or are under way to one
}

// allowsRegion reports whether r may go to a region, by its route's home regions.
func (r *Request) allowsRegion(region string) bool {
	return len(r.Route.HomeRegions) == 0 || slices.Contains(r.Route.HomeRegions, region)
}

// Outcome is how one send to a server ended.
type Outcome uint8

// The outcomes.
const (
	Served         Outcome = iota // a whole answer
	NotExecuted                   // the server said that it did not run it (X-Not-Executed): full, or too late in its queue
	Misdirected                   // 421: another server lives there now
	ConnectFailed                 // no connection, or not a byte was sent
	ConnectionLost                // sent, then a reset, a close or bytes that are no answer: may have run
	TimedOut                      // sent, and no answer in the time that was given: may have run
	ServerError                   // an answer of 5xx that ran
	Canceled                      // the client went away, or this end gave it up
)

// Verdict is what is to be done with a request now.
type Verdict uint8

// The verdicts.
const (
	Send   Verdict = iota // to Choice.Server
	Reject                // answer 503 with Retry-After: nothing can serve it in time (only where it has not run)
	GiveUp                // no further send is allowed (tries, budget, no other server): answer with what there is
)

// Result is a verdict with what it needs.
type Result struct {
	Verdict    Verdict
	Server     Server
	Ticket     uint64        // names this send in Started, FirstEvent and Done
	Priority   int           // for the Priority header, 0 to 9
	RetryAfter time.Duration // with Refuse: when there will be room
	SendWithin time.Duration // with Send: the request goes out so soon after the choice, or not at all; 0: whenever it can
}
