package failuredetector

import "time"

// Options configure a Detector. Zero values take the defaults, which are given here.
type Options struct {
	Self              string
	Incarnation       uint64        // of this process, chosen at random when it starts
	Watchers          int           // of each node; 3
	HeartbeatInterval time.Duration // 400 ms
	SuspectTimeout    time.Duration // without contact, until a node is suspected; 3.5 heartbeat intervals
	ProbeTimeout      time.Duration // from suspicion to the down report; 2 heartbeat intervals
	PauseThreshold    time.Duration // between two inputs, above which this process was paused; 1 s

	knobs TestingKnobs
}

func (o Options) withDefaults() Options {
	if o.Watchers <= 0 {
		o.Watchers = 3
	}
	if o.HeartbeatInterval <= 0 {
		o.HeartbeatInterval = 400 * time.Millisecond
	}
	if o.SuspectTimeout <= 0 {
		o.SuspectTimeout = o.HeartbeatInterval * 7 / 2
	}
	if o.ProbeTimeout <= 0 {
		o.ProbeTimeout = 2 * o.HeartbeatInterval
	}
	if o.PauseThreshold <= 0 {
		o.PauseThreshold = time.Second
	}
	return o
}
