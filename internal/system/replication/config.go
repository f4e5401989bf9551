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

// Config configures a Core. Times that are zero get their defaults.
type Config struct {
	Self              Member        // ID is used only if the disk holds none
	MachineLosses     int           // disks that may be lost at once without losing an acknowledged change
	ZoneLosses        int           // zones that may be lost at once, each with all of its nodes
	RegionLosses      int           // regions that may be lost at once, each with all of its nodes
	Seeds             []string      // IP addresses of the nodes that form the first view
	Bootstrap         bool          // may take part in forming the first view
	Observer          bool          // has no disk: follows the chain and forwards calls, and is never a voter or a chain replica
	HeartbeatInterval time.Duration // 0: 100 ms
	SuspectTimeout    time.Duration // time without contact after which a node is suspected; 0: 700 ms
	SlowDiskTimeout   time.Duration // longest operation of a healthy disk; 0: 500 ms
	Incarnation       uint64        // differs between any two starts
	Seed              uint64        // seed of the jitter

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

// partitionedTimeout is how long a node must be unable to reach the chain before it counts as partitioned: 500 ms with the default
// times, counted from when the peers that it relied on are suspected after SuspectTimeout. It must be longer than a few heartbeats,
// so that one late heartbeat ends the outage, and shorter than a change may wait, so that a caller benefits from switching to another
// node immediately.
func (c *Config) partitionedTimeout() time.Duration { return c.SuspectTimeout * 5 / 7 }

// currentWindow is how old the confirmation of a majority may be for this node to count as current: the state that it then holds
// lacks nothing that was acknowledged longer ago than that. It must be longer than a heartbeat interval plus the latency of the
// reply, and shorter than config_apply_ms, within which the proxies apply a change. With the default times it is 600 ms, six
// heartbeats. An observer, which sends a heartbeat only every observerSlowdown = 5 intervals, gets 900 ms: one of its heartbeats and
// four intervals for the reply, still below a second.
func (c *Config) currentWindow() time.Duration {
	if c.Observer {
		return c.SuspectTimeout * 9 / 7
	}
	return c.SuspectTimeout * 6 / 7
}
