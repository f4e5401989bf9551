package pick

import (
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick/outlier"
	"gradeusher.example/gradeusher/internal/system/proxy/pick/prefixcache"
	"gradeusher.example/gradeusher/internal/system/proxy/pick/promptpool"
	"gradeusher.example/gradeusher/internal/system/proxy/pick/retrybudget"
)

const (
	misdirectedTimeout = 3 * time.Second        // a server whose address answered 421 stays out at least this long
	drainHintTTL       = 3 * time.Second        // a hint that a server leaves holds this long
	reportedLoadTTL    = 400 * time.Millisecond // X-Server-Load is believed this long
	peerLoadTTL        = 2 * time.Second        // the loads of other proxies are believed this long
)

const (
	maxCapacityPerSlot = 5.0  // what servers are believed to take until one says that it is full
	minCapacityPerSlot = 2.0  // it may say so for other reasons
	capacityIncrement  = 0.01 // for each answer, as it may have been full for other reasons
)

// group is the servers of one service.
type group struct {
	name            string
	service         *config.Service // nil: the configuration does not name it
	servers         []*server       // in the list's order
	cursor          int             // whose turn is next
	budget          retrybudget.Budget
	serviceTimeMS   float64 // milliseconds from a send to its end, learned
	capacityPerSlot float64 // requests that a server takes, running and waiting, for each of its slots; learned

	mix promptpool.Mix // which kinds of prompts come

	idleTimeout time.Duration // connections to its servers are kept so long without use

	pools      [promptpool.MaxRegions]promptpool.Pool // by region
	demand     promptpool.Demand                      // of this proxy
	peerDemand Load                                   // of all others: Prefill for long prompts, Tokens for short ones
}

// server is what is known of one incarnation.
type server struct {
	Server
	group        *group
	regionIndex  int
	inPromptPool bool // long prompts go here rather than to others of its region
	hash         uint64

	idle              idleConns
	ownLoad, peerLoad Load
	reported          struct {
		running, waiting, slots int
		at                      Time
		set                     bool
	}
	relativeSpeed float64 // of reading prompts, against the fleet's

	listed bool // in a list before
	warmUp warmUpState

	misdirected    bool // its address answered for another server
	misdirectedAt  Time
	outlier        outlier.Detector
	fullUntil      Time
	drainHintUntil Time

	oldestPending, newestPending *attempt           // own sends that await their first event, oldest first
	prefixes                     prefixcache.Server // what it is estimated to have cached
}

// attempt is one request on its way to one server.
type attempt struct {
	ticket             uint64
	server             *server
	request            *Request
	sentAt, expectedAt Time  // sent; when the first event is expected
	prefillTokens      int64 // prompt tokens that it adds to the server's work
	memoryTokens       int64 // memory that it takes there
	measuresRate       bool  // nothing was waiting there and nothing of it was believed kept: it measures the server's rate
	pending            bool  // its first event is still awaited
	isRetry            bool  // it drew on the budget
	next, prev         *attempt
}

// load is how many requests are believed to be at s.
func (s *server) load(now Time, othersAt Time) int {
	n := s.ownLoad.Requests
	if now-othersAt < peerLoadTTL {
		n += s.peerLoad.Requests
	}
	if s.reported.set && now-s.reported.at < reportedLoadTTL {
		n = max(n, s.reported.running+s.reported.waiting)
	}
	return n
}

// slots is how many requests s runs at once; 1 at least.
func (s *server) slots() int {
	switch {
	case s.reported.set && s.reported.slots > 0:
		return s.reported.slots
	case s.Slots > 0:
		return s.Slots
	case s.group.service != nil && s.group.service.Engine != nil && s.group.service.Engine.Slots > 0:
		return s.group.service.Engine.Slots
	}
	return 1
}

// overdue is by how much the oldest prompt at s is late, in milliseconds: a server that is slow, frozen or dark shows
// by it before any send fails.
func (s *server) overdue(now Time) float64 {
	if s.oldestPending == nil {
		return 0
	}
	return max(0, ms(now-s.oldestPending.expectedAt)-overdueSlackMS)
}

// overdueSlackMS is how many milliseconds an estimate may be wrong before it counts against a server.
const overdueSlackMS = 40

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func durationMS(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// ServerLoad takes X-Server-Load: requests running and waiting at a server, and its slots.
func (p *Picker) ServerLoad(now Time, id string, running, waiting, slots int) {
	if s := p.servers[id]; s != nil && running >= 0 && waiting >= 0 {
		s.reported.running, s.reported.waiting, s.reported.slots, s.reported.at, s.reported.set = running, waiting, slots, now, true
	}
}

// ServerDraining takes the hint that a server is about to leave: it is used last for some seconds.
func (p *Picker) ServerDraining(now Time, id string) {
	if s := p.servers[id]; s != nil {
		s.drainHintUntil = now + drainHintTTL
	}
}
