package failuredetector

import (
	"time"

	"gradeusher.example/gradeusher/internal/system/defaults"
)

// Options configure a Detector. Zero values select the defaults, which are given in the comments of the fields.
type Options struct {
	Self              string
	Incarnation       uint64        // of this process, chosen at random when it starts
	Watchers          int           // per node; default 3
	HeartbeatInterval time.Duration // default 400 ms
	SuspectTimeout    time.Duration // without contact, until a node is suspected; default 3.5 heartbeat intervals
	ProbeTimeout      time.Duration // from suspicion to the down report; default 2 heartbeat intervals
	PauseThreshold    time.Duration // a longer time between two inputs means that this process was paused; default 1 s

	knobs TestingKnobs
}

func (o Options) withDefaults() Options {
	o.Watchers = defaults.IfNotPositive(o.Watchers, 3)
	o.HeartbeatInterval = defaults.IfNotPositive(o.HeartbeatInterval, 400*time.Millisecond)
	o.SuspectTimeout = defaults.IfNotPositive(o.SuspectTimeout, o.HeartbeatInterval*7/2)
	o.ProbeTimeout = defaults.IfNotPositive(o.ProbeTimeout, 2*o.HeartbeatInterval)
	o.PauseThreshold = defaults.IfNotPositive(o.PauseThreshold, time.Second)
	return o
}
