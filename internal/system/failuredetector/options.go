package failuredetector

import "time"

// Options are those of a Detector. Zero values take the defaults.
type Options struct {
	Self              string
	Incarnation       uint64        // of this process; chosen at random at its start
	Watchers          int           // 3
	HeartbeatInterval time.Duration // 400 ms
	SuspectTimeout    time.Duration // without a beat, after which a node is suspected; 3.5 beats
	ProbeTimeout      time.Duration // that second paths have until the verdict; 2 beats
	PauseThreshold    time.Duration // in this process's own ticks, after which it was paused; 1 s

	knobs TestingKnobs
}

// TestingKnobs take protections out, so that tests can show what each is for.
type TestingKnobs struct {
	// AcceptStaleReplies counts replies however long after their ping they arrive.
	AcceptStaleReplies bool
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
