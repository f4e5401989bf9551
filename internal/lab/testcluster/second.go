package testcluster

import (
	"fmt"
	"strings"
	"time"
)

// Second is the state of a run as Run.Play announces it every second.
type Second struct {
	At           time.Duration // since Play began
	Stats        Stats
	Rate         int      // requests that began since the last announcement
	Revision     int64    // of the configuration; 0: no control-plane node answers
	Epoch        uint64   // of the newest view
	Chain        []string // its chain replicas; empty: not known
	LiveProxies  int      // that a directory lists
	ReadyProxies int      // that answer the platform's readiness check
}

// String returns the state as one line.
func (s Second) String() string {
	chain := "unknown"
	if len(s.Chain) > 0 {
		chain = strings.Join(s.Chain, ">")
	}
	first := "first p50 -      p99 -     "
	if s.Stats.FirstTokens > 0 {
		first = fmt.Sprintf("first p50 %4d ms p99 %4d ms", s.Stats.P50.Milliseconds(), s.Stats.P99.Milliseconds())
	}
	requests := fmt.Sprintf("%3d requests/s  served %d  refused %d  failed %d  open %d", s.Rate, s.Stats.Served, s.Stats.Refused,
		s.Stats.Failed+s.Stats.Unanswered, s.Stats.Open)
	controlPlane := fmt.Sprintf("revision %d  chain %s (epoch %d)", s.Revision, chain, s.Epoch)
	return fmt.Sprintf("%4.0fs  %s  %s  %s  proxies %d (ready %d)", s.At.Seconds(), requests, first, controlPlane, s.LiveProxies, s.ReadyProxies)
}
