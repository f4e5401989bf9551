package pick

import (
	"time"

	"gradeusher.example/gradeusher/internal/system/proxy/pick/outlier"
	"gradeusher.example/gradeusher/internal/system/proxy/pick/prefixcache"
)

const (
	// misdirectedTimeout is how long a server whose address answered 421 gets nothing, at least.
	misdirectedTimeout = 3 * time.Second
	// drainHintTTL is how long a hint that a server leaves counts.
	drainHintTTL = 3 * time.Second
	// overdueSlackMS is by how many milliseconds an estimate may be wrong before it counts against a server.
	overdueSlackMS = 40
)

// server is what is known of one incarnation.
type server struct {
	Server
	group       *group
	hash        uint64 // of its id
	regionIndex int
	listed      bool // in a list before

	inPromptPool  bool               // it is for long prompts rather than short ones
	prefixes      prefixcache.Server // what it is estimated to have cached
	relativeSpeed float64            // of prefill, compared with the fleet's

	load    serverLoad
	pending pendingAttempts
	idle    idleConns
	warmUp  warmUpState
	outlier outlier.Detector

	misdirected    bool // its address answered for another server
	misdirectedAt  Time
	fullUntil      Time // it said that it is full, and gets little until then
	drainHintUntil Time // it said that it is about to leave, and gets little until then
}

// slots is how many requests s runs at once; 1 at least.
func (s *server) slots() int {
	engine := s.group.engine()
	switch {
	case s.load.reported.slots > 0:
		return s.load.reported.slots
	case s.Slots > 0:
		return s.Slots
	case engine != nil && engine.Slots > 0:
		return engine.Slots
	}
	return 1
}

// overdueMS is by how many milliseconds the oldest pending attempt at s is late: a server that is slow, paused or cut off shows by it before
// any attempt fails.
func (s *server) overdueMS(now Time) float64 {
	if s.pending.oldest == nil {
		return 0
	}
	return max(0, ms(now-s.pending.oldest.expectedAt)-overdueSlackMS)
}

// ServerDraining takes in the hint that a server is about to leave: it is used last for some seconds.
func (p *Picker) ServerDraining(now Time, id string) {
	if s := p.servers[id]; s != nil {
		s.drainHintUntil = now + drainHintTTL
	}
}

// ms is d in milliseconds.
func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// durationMS is a number of milliseconds as a duration.
func durationMS(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
