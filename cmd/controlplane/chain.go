package main

import (
	"context"
	"path/filepath"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/process"
	"gradeusher.example/gradeusher/internal/system/quota/quotarpc"
	"gradeusher.example/gradeusher/internal/system/replication"
	"gradeusher.example/gradeusher/internal/system/settings"
	"gradeusher.example/gradeusher/internal/system/wal"
)

// minLeaveTimeout gives the other nodes time to remove this node from the chain, however short the grace period is.
const minLeaveTimeout = time.Second

// openChain joins the chain, as a replica if the node has a disk and as an observer otherwise. A damaged log is quarantined.
func (n *node) openChain(ctx context.Context) error {
	options := n.replicationOptions()
	if !n.settings.HasDisk() {
		n.log.Info("controlplane: no disk (data_dir is empty), so this node is an observer: it has no vote and forwards calls")
		options.Observer = true
		return n.startReplica(ctx, options)
	}
	directory := filepath.Join(n.settings.DataDir, "control")
	disk, err := wal.Open(directory, diskOptions(n.settings.Limits.DiskMB))
	if err != nil {
		return errors.Wrapf(err, "the control state in %s cannot be opened", directory)
	}
	options.Disk = disk
	quarantined, err := disk.HasQuarantine() // by an earlier process
	if err != nil {
		return errors.Wrapf(err, "the control state in %s cannot be opened", directory)
	}
	if quarantined {
		options = withoutBootstrap(options)
	}
	err = n.startReplica(ctx, options)
	if !errors.Is(err, wal.ErrDamaged) {
		return err
	}
	n.log.WithError(err).Error("controlplane: the log is damaged and quarantined; this node starts with a new identity and catches up from the others")
	if err := disk.Quarantine(); err != nil {
		return errors.Wrapf(err, "the damaged log in %s cannot be quarantined: empty the directory", directory)
	}
	return n.startReplica(ctx, withoutBootstrap(options))
}

// withoutBootstrap returns the options for a node whose log was quarantined. The system has run before, so the node must not take part
// in forming a first view, whatever the settings say: together with other nodes that lost their logs it would start from an empty
// state.
func withoutBootstrap(options replication.Options) replication.Options {
	options.Bootstrap = false
	return options
}

// diskOptions bounds the size of the log, and of all files including a quarantined log, on a disk that is smaller than the disks for
// which the defaults of wal are meant. The space that the log leaves free is for a new snapshot, which is written before the old one is
// removed. A diskMB of 0 means that the size is not known.
func diskOptions(diskMB int64) wal.Options {
	const usualMB, logMB, filesMB = 64, 40, 60
	if diskMB == 0 || diskMB >= usualMB {
		return wal.Options{}
	}
	return wal.Options{MaxBytes: diskMB << 20 * logMB / usualMB, DiskBytes: diskMB * 1e6 * filesMB / usualMB}
}

// replicationOptions derives the options of replication from the settings.
func (n *node) replicationOptions() replication.Options {
	s := n.settings
	return replication.Options{
		Addr:          s.IP,
		Zone:          s.Zone,
		Region:        s.Region,
		Port:          s.ControlPlanePort(),
		Seeds:         s.SeedIPs(),
		Bootstrap:     s.Bootstrap,
		MachineLosses: s.Tolerance.Machines,
		ZoneLosses:    s.Tolerance.Zones,
		RegionLosses:  s.Tolerance.Regions,
		AckTimeout:    settings.Milliseconds(s.Bounds.AckMS),
		Log:           n.log,
	}
}

// startReplica joins the chain with these options and creates the allocation server, which depends only on the chain.
func (n *node) startReplica(ctx context.Context, options replication.Options) error {
	chain, err := replication.Start(ctx, options)
	if err != nil {
		return err
	}
	n.chain = &controlChain{chain}
	n.allocation = newAllocation(n.settings, n.log, n.chain, string(chain.Self().ID))
	return nil
}

// newAllocation returns the server that leases shares of quotas to limiters. On an observer it refers them to the owner of the role.
// identity is the identity of the node's disk.
func newAllocation(config *settings.Settings, logger log.Interface, chain quotarpc.Chain, identity string) *quotarpc.AllocationServer {
	options := quotarpc.AllocationOptions{
		Self:     config.IP,
		Chain:    chain,
		Bounds:   quotarpc.BoundsOf(config.Bounds),
		Log:      logger,
		Identity: identity,
	}
	if config.HasDisk() {
		options.Roster = quotarpc.NewRosterFile(filepath.Join(config.DataDir, "quota"))
	}
	return quotarpc.NewAllocationServer(options)
}

// leaveChain hands over to the other nodes before this one exits. It waits until enough of them have the acknowledged changes, for as
// long as the grace period allows: the disk of this node may be lost with it.
func (n *node) leaveChain() {
	n.log.Info("controlplane: draining")
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout(n.settings.Bounds.GraceSeconds))
	defer cancel()
	n.chain.Leave(ctx)
	if ctx.Err() != nil {
		n.log.Warn("controlplane: the grace period is over and the others have not taken over; keep this disk until they have")
	}
}

// leaveTimeout returns how long leaveChain may take for a grace period.
func leaveTimeout(graceSeconds float64) time.Duration {
	return max(minLeaveTimeout, process.GracePeriod(graceSeconds))
}
