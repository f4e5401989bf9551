package pick

import (
	"time"

	"gradeusher.example/gradeusher/internal/system/defaults"
)

// Settings are what a Picker is made with. They never change in its life.
type Settings struct {
	Zone, Region string            // of this proxy
	Regions      map[string]string // zone to region, for servers whose Region is empty

	RetryRatio  float64       // retries for each request that all proxies together may make; 0: none
	RetryWindow time.Duration // the span in which they are counted; default 10 s
	RetrySlack  float64       // retries in a window that all proxies together may make beside the ratio

	// WarmUpExcess and WarmUpSlack bound what a warming server gets in any second: its warm-up rate × WarmUpExcess + WarmUpSlack requests.
	WarmUpExcess, WarmUpSlack float64

	Seed               uint64        // of the rotation's starting points
	CrossRegionLatency time.Duration // one way to another region; default 40 ms
	CrossZoneLatency   time.Duration // one way to another zone of the region; default 1 ms
	PrefillRate        float64       // prompt tokens that a model server prefills in a millisecond, before it is learned; default 50
	StepTime           time.Duration // one decoding step of a model server; default 6 ms

	TestingKnobs TestingKnobs
}

// TestingKnobs change what a Picker does for tests alone. The zero value changes nothing.
type TestingKnobs struct {
	// PromptPoolShare is the share of each region's servers that are for long prompts, in place of the share of the work that long
	// prompts bring: simulations compare the learned share with fixed ones. 0: by the work.
	PromptPoolShare float64
	// IgnoreTenantHomes lets requests go to regions that are no home of their tenant.
	IgnoreTenantHomes bool
}

// setDefaults fills in what is not set.
func (s *Settings) setDefaults() {
	s.RetryWindow = defaults.IfNotPositive(s.RetryWindow, 10*time.Second)
	s.CrossRegionLatency = defaults.IfNotPositive(s.CrossRegionLatency, 40*time.Millisecond)
	s.CrossZoneLatency = defaults.IfNotPositive(s.CrossZoneLatency, time.Millisecond)
	if s.PrefillRate <= 0 {
		s.PrefillRate = 50
	}
	s.StepTime = defaults.IfNotPositive(s.StepTime, 6*time.Millisecond)
}
