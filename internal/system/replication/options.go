package replication

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/defaults"
	"gradeusher.example/gradeusher/internal/system/wal"
)

const defaultAckTimeout = 5 * time.Second

// Options configures a Node.
type Options struct {
	Addr, Zone, Region string            // location of this machine; Addr is its IP address
	Port               int               // inner port, the same on all machines
	Seeds              []string          // IP addresses of the nodes that form the first view
	Bootstrap          bool              // this node may take part in forming the first view
	MachineLosses      int               // disks that may be lost at once
	ZoneLosses         int               // zones that may be lost at once, each with all of its nodes
	RegionLosses       int               // regions that may be lost at once, each with all of its nodes
	AckTimeout         time.Duration     // time within which a change must be acknowledged; repair times are derived from it. 0: 5 s
	Disk               wal.Disk          // used only by this node until Stop has returned; nil for an observer
	Observer           bool              // the machine has no disk: follows and forwards calls, and is never a voter or a chain replica
	Transport          http.RoundTripper // nil: the node opens its own connections
	Log                log.Interface     // nil: the standard logger
}

// applyDefaults sets the defaults, and checks that there is a disk.
func (o *Options) applyDefaults() error {
	if o.Observer {
		o.Disk = nullDisk{} // a node that cannot vote must not use an identity that has voted before
	}
	if o.Disk == nil {
		return ErrNoDisk
	}
	o.AckTimeout = defaults.IfNotPositive(o.AckTimeout, defaultAckTimeout)
	if o.Log == nil {
		o.Log = log.Log
	}
	return nil
}

// coreConfig derives the configuration of the core. Identity, incarnation and jitter are random.
func (o *Options) coreConfig() (Config, error) {
	var random [24]byte
	if _, err := rand.Read(random[:]); err != nil {
		return Config{}, errors.Wrap(err, "replication: random numbers cannot be read")
	}
	identity, incarnation := random[:16], random[16:]
	return Config{
		Self:              Member{ID: ID(hex.EncodeToString(identity)), Addr: o.Addr, Zone: o.Zone, Region: o.Region},
		MachineLosses:     o.MachineLosses,
		ZoneLosses:        o.ZoneLosses,
		RegionLosses:      o.RegionLosses,
		Seeds:             o.Seeds,
		Bootstrap:         o.Bootstrap,
		Observer:          o.Observer,
		HeartbeatInterval: min(defaultHeartbeatInterval, o.AckTimeout/50),
		SuspectTimeout:    min(defaultSuspectTimeout, o.AckTimeout*7/50),
		SlowDiskTimeout:   min(defaultSlowDiskTimeout, o.AckTimeout/10),
		Incarnation:       binary.BigEndian.Uint64(incarnation) | 1,
		Seed:              binary.BigEndian.Uint64(identity),
	}, nil
}
