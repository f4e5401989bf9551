package pick

import (
	"time"

	"gradeusher.example/gradeusher/internal/system/proxy/pick/outlier"
	"gradeusher.example/gradeusher/internal/system/proxy/pick/prefixcache"
)

const (
	// misdirectedTimeout is how long, at least, a server gets no requests after its address has answered 421.
	misdirectedTimeout = 3 * time.Second
	// drainHintTTL is how long a hint that a server is about to leave is valid.
	drainHintTTL = 3 * time.Second
	// overdueSlackMS is the error of an estimate, in milliseconds, that is not counted against a server.
	overdueSlackMS = 40
)

// server is the state of one incarnation of a server.
type server struct {
	Server
	group       *group
	hash        uint64 // of its id
	regionIndex int
	listed      bool // it was in a previous list

	inPromptPool  bool               // it serves long prompts rather than short ones
	prefixes      prefixcache.Server // what it is estimated to have cached
	relativeSpeed float64            // prefill speed relative to the fleet's rate

	load    serverLoad
	pending pendingAttempts
	idle    idleConns
	warmUp  warmUpState
	outlier outlier.Detector

	misdirected    bool // its address answered for another server
	misdirectedAt  Time
	fullUntil      Time // it reported that it is full, and is avoided until then
	drainHintUntil Time // it reported that it is about to leave, and is avoided until then
}

// slots returns how many requests s runs concurrently, at least 1.
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

// overdueMS returns by how many milliseconds the oldest pending attempt at s is overdue.
// This detects a server that is slow, paused or cut off before any attempt fails.
func (s *server) overdueMS(now Time) float64 {
	if s.pending.oldest == nil {
		return 0
	}
	return max(0, ms(now-s.pending.oldest.expectedAt)-overdueSlackMS)
}

// ServerDraining records the hint that a server is about to leave: for a few seconds it is used only as a last choice.
func (p *Picker) ServerDraining(now Time, id string) {
	if s := p.servers[id]; s != nil {
		s.drainHintUntil = now + drainHintTTL
	}
}

// ms converts a duration to milliseconds.
func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// durationMS converts milliseconds to a duration.
func durationMS(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
