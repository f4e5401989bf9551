package pick

import (
	"time"

	"gradeusher.example/gradeusher/internal/system/defaults"
)

// Settings are the parameters of a Picker. They are fixed when it is created.
type Settings struct {
	Zone, Region string            // of this proxy
	Regions      map[string]string // zone to region, for servers whose Region is empty

	RetryRatio  float64       // retries per request that all proxies together may make; 0: none
	RetryWindow time.Duration // the window in which they are counted; default 10 s
	RetrySlack  float64       // retries per window that all proxies together may make in addition to the ratio

	// WarmUpExcess and WarmUpSlack bound the requests that a warming server
	// gets in any second: its warm-up rate × WarmUpExcess + WarmUpSlack.
	WarmUpExcess, WarmUpSlack float64

	Seed               uint64        // of the rotation's start positions
	CrossRegionLatency time.Duration // one-way latency to another region; default 40 ms
	CrossZoneLatency   time.Duration // one-way latency to another zone of the region; default 1 ms
	PrefillRate        float64       // initial prefill rate of a model server, in prompt tokens per millisecond, until it is learned; default 50
	StepTime           time.Duration // duration of one decoding step of a model server; default 6 ms

	TestingKnobs TestingKnobs
}

// TestingKnobs changes what a Picker does in tests. The zero value changes nothing.
type TestingKnobs struct {
	// PromptPoolShare is a fixed share of each region's servers for long prompts, instead of the share of the
	// work that long prompts cause: simulations compare the learned share with fixed ones. 0: the learned share.
	PromptPoolShare float64
	// IgnoreTenantHomes allows requests to go to regions that are not a home of their tenant.
	IgnoreTenantHomes bool
	// TrustStaleState sends to servers at full rate without contact to the control plane, whether they say that they are warm or not.
	TrustStaleState bool
}

// setDefaults sets the defaults of unset fields.
func (s *Settings) setDefaults() {
	s.RetryWindow = defaults.IfNotPositive(s.RetryWindow, 10*time.Second)
	s.CrossRegionLatency = defaults.IfNotPositive(s.CrossRegionLatency, 40*time.Millisecond)
	s.CrossZoneLatency = defaults.IfNotPositive(s.CrossZoneLatency, time.Millisecond)
	if s.PrefillRate <= 0 {
		s.PrefillRate = 50
	}
	s.StepTime = defaults.IfNotPositive(s.StepTime, 6*time.Millisecond)
}
