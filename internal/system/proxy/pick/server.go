package pick

import (
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
)

const (
	goneTime     = 3 * time.Second        // a server whose address answered 421 stays out at least this long
	leavingTime  = 3 * time.Second        // a hint that a server leaves holds this long
	coldHintLife = 3 * time.Second        // a server's own word on being cold outlives a list that says warm by this
	toldLife     = 400 * time.Millisecond // X-Server-Load is believed this long
	othersLife   = 2 * time.Second        // the loads of other proxies are believed this long
	doubtFirst   = 500 * time.Millisecond // the first time that a server which failed gets nothing
	doubtMost    = 4 * time.Second        // and the longest
	untriedMost  = 2 * time.Second        // after it, any request may try a doubted server
)

const (
	roomMost  = 5.0  // what servers are believed to take until one says that it is full
	roomLeast = 2.0  // it may say so for other reasons
	roomGrow  = 0.01 // for each answer, as it may have been full for other reasons
)

// group is the servers of one service.
type group struct {
	name        string
	service     *config.Service // nil: the configuration does not name it
	servers     []*server       // in the list's order
	cursor      int             // whose turn is next
	budget      budget
	serviceTime float64 // milliseconds from a send to its end, learned
	room        float64 // requests that a server takes, running and waiting, for each of its slots; learned

	longAt    Time // when a long prompt last came
	longSeen  bool
	shortAt   [regionsMost]Time // when a short one last came that may go to the region
	shortSeen [regionsMost]bool

	keptFor time.Duration // connections to its servers are kept so long without use

	lanes        [regionsMost]lane
	demand       demand // of this proxy
	othersDemand Load   // of all others: Prefill for long prompts, Tokens for short ones
}

// server is what is known of one incarnation.
type server struct {
	Server
	group  *group
	region int
	lane   bool // long prompts go here rather than to others of its region
	hash   uint64

	kept        kept
	own, others Load
	told        struct {
		running, waiting, slots int
		at                      Time
		set                     bool
	}
	speed float64 // of reading prompts, against the fleet's

	coldUntil, coldTold, holderSince Time
	wasCold                          bool // no request was sent to it as a warm one since it turned cold
	warmedAt                         Time // when the first one was; 0: none, or it was judged
	warmedSince                      Time // when this proxy had heard of the cold state that was taken to be over then
	coldSince                        Time // when this proxy heard of the last cold state
	unseen                           bool // it may have turned cold at unseenAt or before, of which no keeper's word has come since
	unseenAt                         Time
	pacedUnseen                      bool // it counts as cold only because it was unseen
	coldSent                         coldWindow
	listed                           bool // in a list before
	holder                           bool // this proxy may send to it while it is cold
	unproven                         bool // it may have turned cold without a reading of the list that could show it
	token                            float64
	tokenRate                        float64 // the highest pace, in requests a second, by which token was refilled since it was spent
	tokenAt                          Time

	gone         bool // its address answered for another server
	goneAt       Time
	fails        int // connections that failed in a row
	broken       int // answers that broke off in a row
	failed       int // 5xx in a row
	outUntil     Time
	trial        *send // the one send that tries a doubted server
	fullUntil    Time
	leavingUntil Time

	first, last   *send // own sends that await their first event, oldest first
	oldest, young *belief
	believed      int64 // tokens of beliefs
}

// send is one request on its way to one server.
type send struct {
	ticket     uint64
	server     *server
	request    *Request
	at, due    Time  // sent; when the first event is expected
	prefill    int64 // prompt tokens that it adds to the server's work
	tokens     int64 // memory that it takes there
	alone      bool  // nothing was waiting there and nothing of it was believed kept: it measures the server's rate
	pending    bool  // its first event is still awaited
	charged    bool  // it drew on the budget
	next, prev *send
}

// load is how many requests are believed to be at s.
func (s *server) load(now Time, othersAt Time) int {
	n := s.own.Requests
	if now-othersAt < othersLife {
		n += s.others.Requests
	}
	if s.told.set && now-s.told.at < toldLife {
		n = max(n, s.told.running+s.told.waiting)
	}
	return n
}

// slots is how many requests s runs at once; 1 at least.
func (s *server) slots() int {
	switch {
	case s.told.set && s.told.slots > 0:
		return s.told.slots
	case s.Slots > 0:
		return s.Slots
	case s.group.service != nil && s.group.service.Engine != nil && s.group.service.Engine.Slots > 0:
		return s.group.service.Engine.Slots
	}
	return 1
}

// cold tells whether s is cold.
func (s *server) cold(now Time) bool { return now < s.coldUntil }

func (p *Picker) setCold(now Time, s *server, until Time) {
	if !s.cold(now) && until > now {
		s.token, s.tokenAt = 0, now // it turns cold: nothing was saved up
		s.wasCold, s.coldSent, s.coldSince, s.pacedUnseen = true, coldWindow{}, now, false
		p.stats.WarmUpStarts++
	}
	s.coldUntil = until
}

// doubted tells whether s gets nothing because of failures. One trial at a time may go to a server whose time is over.
func (s *server) doubted(now Time) bool {
	return now < s.outUntil || s.suspect() && s.trial != nil
}

// mayTry tells whether r may be the one that tries a doubted server. That is best left to a request that can go on to
// another server; one that can't tries only a server that nobody has tried for long.
func (s *server) mayTry(now Time, r *Request, tried []string) bool {
	return len(tried) == 0 && r.Route.MaxAttempts > 1 || now >= s.outUntil+untriedMost
}

func (s *server) suspect() bool { return s.fails > 0 || s.outUntil > 0 }

// fail takes a failure that says that s does not answer.
func (s *server) fail(now Time) {
	if now < s.outUntil {
		return // sends that were under way when the first of them failed
	}
	s.fails = min(s.fails+1, 8)
	s.outUntil = now + min(doubtFirst<<(s.fails-1), doubtMost)
}

// well takes an answer: s lives.
func (s *server) well() { s.fails, s.broken, s.outUntil = 0, 0, 0 }

// overdue is by how much the oldest prompt at s is late, in milliseconds: a server that is slow, frozen or dark shows
// by it before any send fails.
func (s *server) overdue(now Time) float64 {
	if s.first == nil {
		return 0
	}
	return max(0, ms(now-s.first.due)-overdueSlack)
}

// overdueSlack is how many milliseconds an estimate may be wrong before it counts against a server.
const overdueSlack = 40

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func span(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// ServerLoad takes X-Server-Load: requests running and waiting at a server, and its slots.
func (p *Picker) ServerLoad(now Time, id string, running, waiting, slots int) {
	if s := p.servers[id]; s != nil && running >= 0 && waiting >= 0 {
		s.told.running, s.told.waiting, s.told.slots, s.told.at, s.told.set = running, waiting, slots, now, true
	}
}

// WarmingUp takes X-WarmingUp-Ms: how much longer the server is cold; 0: no longer.
func (p *Picker) WarmingUp(now Time, id string, left time.Duration) {
	if s := p.servers[id]; s != nil {
		p.setCold(now, s, now+max(left, 0))
		s.coldTold = now
	}
}

// ServerDraining takes the hint that a server is about to leave: it is used last for some seconds.
func (p *Picker) ServerDraining(now Time, id string) {
	if s := p.servers[id]; s != nil {
		s.leavingUntil = now + leavingTime
	}
}
