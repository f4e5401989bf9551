package main

import (
	"context"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/distribution"
	"gradeusher.example/gradeusher/internal/system/replication"
	"gradeusher.example/gradeusher/internal/system/settings"
	"gradeusher.example/gradeusher/internal/system/wal"
)

// chainReplica is the chain of keepers as the keeper's other parts see it.
type chainReplica struct {
	*replication.Node
}

// Submit implements control.Chain.
func (c *chainReplica) Submit(ctx context.Context, change controlstate.Change) (controlstate.Verdict, error) {
	answer, err := c.Node.Submit(ctx, change)
	verdict := answer.Verdict
	verdict.Seq = answer.Seq
	return verdict, err
}

// ServerLocations are the keepers of the view, those of the chain first and in its order.
func (c *chainReplica) ServerLocations() []distribution.ServerLocation {
	view := c.View()
	locations := make([]distribution.ServerLocation, 0, len(view.Voters))
	add := func(m replication.Member) {
		locations = append(locations, distribution.ServerLocation{Address: m.Addr, Zone: m.Zone, Region: m.Region})
	}
	inChain := map[replication.ID]bool{}
	for _, id := range view.Chain {
		if m, ok := view.Voter(id); ok {
			inChain[id] = true
			add(m)
		}
	}
	for _, m := range view.Voters {
		if !inChain[m.ID] {
			add(m)
		}
	}
	return locations
}

// Addresses implements distribution.Source: the keepers of the view, those of the chain first and in its order.
func (c *chainReplica) Addresses() []string {
	locations := c.ServerLocations()
	addresses := make([]string, 0, len(locations))
	for _, p := range locations {
		addresses = append(addresses, p.Address)
	}
	return addresses
}

// ChainAddresses is the epoch of the view, and the addresses of the chain's links: those that duties are cut over.
func (c *chainReplica) ChainAddresses() (epoch uint64, addresses []string) {
	view := c.View()
	for _, id := range view.Chain {
		if m, ok := view.Voter(id); ok {
			addresses = append(addresses, m.Addr)
		}
	}
	return view.Epoch, addresses
}

// openChain joins the chain: as a member where there is a disk, as an observer otherwise.
func (n *node) openChain(ctx context.Context) error {
	options := n.replicationOptions()
	if !n.settings.HasDisk() {
		n.log.Info("keeper: no disk (data_dir is empty), so this keeper is an observer: it has no vote and passes calls on")
		options.Observer = true
		return n.startReplica(ctx, options)
	}
	directory := filepath.Join(n.settings.DataDir, "control")
	disk, err := wal.Open(directory, diskOptions(n.settings.Limits.DiskMB))
	if err != nil {
		return errors.Wrapf(err, "the control state in %s cannot be opened", directory)
	}
	options.Disk = disk
	quarantined, err := disk.HasQuarantine()
	if err != nil {
		return errors.Wrapf(err, "the control state in %s cannot be opened", directory)
	}
	if quarantined { // it was put aside in an earlier life
		options = withoutBootstrap(options)
	}
	err = n.startReplica(ctx, options)
	if !errors.Is(err, wal.ErrDamaged) {
		return err
	}
	n.log.WithError(err).Error("keeper: the log is damaged and put aside; this keeper begins anew and takes the state from the others")
	if err := disk.Quarantine(); err != nil {
		return errors.Wrapf(err, "the damaged log in %s cannot be put aside: empty the folder", directory)
	}
	return n.startReplica(ctx, withoutBootstrap(options))
}

// withoutBootstrap are the options of a keeper whose log was put aside. The system has run before, so it may not take part in forming a
// first view, whatever the settings say: with others of its kind it would begin with an empty state.
func withoutBootstrap(options replication.Options) replication.Options {
	options.Bootstrap = false
	return options
}

// diskOptions bounds the log, and all files with the copy of a damaged one, on a disk that is smaller than those that wal's
// defaults are for. What the log leaves is for a snapshot that is written beside the old one. 0: the size is not told.
func diskOptions(diskMB int64) wal.Options {
	const usualMB, logMB, filesMB = 64, 40, 60
	if diskMB == 0 || diskMB >= usualMB {
		return wal.Options{}
	}
	return wal.Options{MaxBytes: diskMB << 20 * logMB / usualMB, DiskBytes: diskMB * 1e6 * filesMB / usualMB}
}

func (n *node) replicationOptions() replication.Options {
	s := n.settings
	return replication.Options{Addr: s.IP, Zone: s.Zone, Region: s.Region, Port: s.ControlPlanePort(), Seeds: s.SeedIPs(), Bootstrap: s.Bootstrap,
		MachineLosses: s.Tolerance.Machines, ZoneLosses: s.Tolerance.Zones, RegionLosses: s.Tolerance.Regions,
		AckTimeout: settings.Milliseconds(s.Bounds.Ack), Log: n.log}
}

func (n *node) startReplica(ctx context.Context, options replication.Options) error {
	chain, err := replication.Start(ctx, options)
	if err != nil {
		return err
	}
	n.chain = &chainReplica{chain}
	return nil
}

// leaveChain has the others go on without this keeper before it ends. Until enough of them hold what was acknowledged it stays, as
// long as the grace allows: its disk may go with it.
func (n *node) leaveChain() {
	n.log.Info("keeper: leaving")
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout(n.settings.Bounds.Grace))
	defer cancel()
	n.chain.Leave(ctx)
	if ctx.Err() != nil {
		n.log.Warn("keeper: the grace is up and the others have not taken over; keep this disk until they have")
	}
}

func leaveTimeout(graceSeconds float64) time.Duration {
	return max(minLeaveTimeout, settings.Seconds(graceSeconds)-killMargin)
}
