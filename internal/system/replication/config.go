package replication

import (
	"time"

	"gradeusher.example/gradeusher/internal/system/defaults"
)

const (
	defaultHeartbeatInterval = 100 * time.Millisecond
	defaultSuspectTimeout    = 700 * time.Millisecond
	defaultSlowDiskTimeout   = 500 * time.Millisecond
)

// Config is what a core is made with. Zero times get their defaults.
type Config struct {
	Self              Member        // ID is used only when the disk holds none
	MachineLosses     int           // disks that may be lost at once without losing an acknowledged change
	ZoneLosses        int           // zones that may be lost at once, all of their nodes with them
	RegionLosses      int           // regions, likewise
	Seeds             []string      // IP addresses of the nodes that form the first view
	Bootstrap         bool          // may take part in forming the first view
	Observer          bool          // has no disk: follows and forwards calls, and is never a voter nor a chain replica
	HeartbeatInterval time.Duration // 0: 100 ms
	SuspectTimeout    time.Duration // without contact, after which a node is suspected; 0: 700 ms
	SlowDiskTimeout   time.Duration // longest disk operation of a healthy disk; 0: 500 ms
	Incarnation       uint64        // differs from start to start
	Seed              uint64        // of the jitter

	compactRecords, retainedRecords uint64 // 0: defaultCompactRecords, defaultRetainedRecords
	knobs                           TestingKnobs
}

func (c *Config) applyDefaults() {
	c.HeartbeatInterval = defaults.IfNotPositive(c.HeartbeatInterval, defaultHeartbeatInterval)
	c.SuspectTimeout = defaults.IfNotPositive(c.SuspectTimeout, defaultSuspectTimeout)
	if c.compactRecords == 0 {
		c.compactRecords, c.retainedRecords = defaultCompactRecords, defaultRetainedRecords
	}
	c.SlowDiskTimeout = defaults.IfNotPositive(c.SlowDiskTimeout, defaultSlowDiskTimeout)
}

// The times below are fractions of SuspectTimeout, which is seven heartbeat intervals (Options.coreConfig): a seventh is one heartbeat.

// partitionedTimeout is how long a node is without a way to the chain until it counts as partitioned: 500 ms with the default times, after
// the SuspectTimeout at which those that it relied on are suspected. It must be longer than a few heartbeats, so that one that comes late
// ends it, and shorter than a change may wait, so that a caller gains by going to another node at once.
func (c *Config) partitionedTimeout() time.Duration { return c.SuspectTimeout * 5 / 7 }

// currentWindow is how old the confirmation of a majority may be for this node to be current: what it then holds lacks nothing that was
// acknowledged longer ago. It must be longer than a heartbeat interval and the way of the reply, and shorter than config_apply_ms, within
// which the proxies apply a change. With the default times it is 600 ms, six heartbeats. An observer, which sends one in
// observerSlowdown = 5 intervals only, gets 900 ms: one of its heartbeats and four intervals for the reply, still below a second.
func (c *Config) currentWindow() time.Duration {
	if c.Observer {
		return c.SuspectTimeout * 9 / 7
	}
	return c.SuspectTimeout * 6 / 7
}
