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

// Options are what a Node is started with.
type Options struct {
	Addr, Zone, Region string            // of this machine; Addr is its IP address
	Port               int               // inner port, the same on all machines
	Seeds              []string          // IP addresses of the nodes that form the first view
	Bootstrap          bool              // this node may take part in forming it
	MachineLosses      int               // disks that may be lost at once
	ZoneLosses         int               // zones that may be lost at once, all of their nodes with them
	RegionLosses       int               // regions, likewise
	AckTimeout         time.Duration     // a change must be acknowledged within it; repair times are derived from it. 0: 5 s
	Disk               wal.Disk          // used by this node alone until Stop has returned; nil for an observer
	Observer           bool              // the machine has no disk: follows and forwards calls, never a voter nor a chain replica
	Transport          http.RoundTripper // nil: connections of its own
	Log                log.Interface     // nil: the standard logger
}

// applyDefaults fills in what is not set, and checks that there is a disk.
func (o *Options) applyDefaults() error {
	if o.Observer {
		o.Disk = nullDisk{} // an identity that has voted before must not be taken up by one that cannot vote
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
		return Config{}, errors.Wrap(err, "replication: no random numbers")
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
