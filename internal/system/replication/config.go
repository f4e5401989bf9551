package replication

import "time"

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
	if c.HeartbeatInterval <= 0 {
		c.HeartbeatInterval = defaultHeartbeatInterval
	}
	if c.SuspectTimeout <= 0 {
		c.SuspectTimeout = defaultSuspectTimeout
	}
	if c.compactRecords == 0 {
		c.compactRecords, c.retainedRecords = defaultCompactRecords, defaultRetainedRecords
	}
	if c.SlowDiskTimeout <= 0 {
		c.SlowDiskTimeout = defaultSlowDiskTimeout
	}
}
