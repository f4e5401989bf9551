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

// links is the chain of keepers as the keeper's other parts see it.
type links struct {
	*replication.Node
}

// Submit implements control.Chain.
func (l *links) Submit(ctx context.Context, change controlstate.Change) (controlstate.Verdict, error) {
	answer, err := l.Node.Submit(ctx, change)
	verdict := answer.Verdict
	verdict.Seq = answer.Seq
	return verdict, err
}

// Places are the keepers of the view, those of the chain first and in its order.
func (l *links) Places() []distribution.ServerLocation {
	view := l.View()
	places := make([]distribution.ServerLocation, 0, len(view.Voters))
	add := func(m replication.Member) {
		places = append(places, distribution.ServerLocation{Address: m.Addr, Zone: m.Zone, Region: m.Region})
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
	return places
}

// Addresses implements distribution.Source: the keepers of the view, those of the chain first and in its order.
func (l *links) Addresses() []string {
	places := l.Places()
	addresses := make([]string, 0, len(places))
	for _, p := range places {
		addresses = append(addresses, p.Address)
	}
	return addresses
}

// Live is the epoch of the view, and the addresses of the chain's links: those that duties are cut over.
func (l *links) Live() (epoch uint64, addresses []string) {
	view := l.View()
	for _, id := range view.Chain {
		if m, ok := view.Voter(id); ok {
			addresses = append(addresses, m.Addr)
		}
	}
	return view.Epoch, addresses
}

// start joins the chain: as a member where there is a disk, as an observer otherwise.
func (k *keeper) start(ctx context.Context) error {
	options := k.chainOptions()
	if !k.settings.HasDisk() {
		k.log.Info("keeper: no disk (data_dir is empty), so this keeper is an observer: it has no vote and passes calls on")
		options.Observer = true
		return k.join(ctx, options)
	}
	folder := filepath.Join(k.settings.DataDir, "control")
	disk, err := wal.Open(folder, diskOptions(k.settings.Limits.DiskMB))
	if err != nil {
		return errors.Wrapf(err, "the control state in %s cannot be opened", folder)
	}
	options.Disk = disk
	forgot, err := disk.HasQuarantine()
	if err != nil {
		return errors.Wrapf(err, "the control state in %s cannot be opened", folder)
	}
	if forgot { // it was put aside in an earlier life
		options = anew(options)
	}
	err = k.join(ctx, options)
	if !errors.Is(err, wal.ErrDamaged) {
		return err
	}
	k.log.WithError(err).Error("keeper: the log is damaged and put aside; this keeper begins anew and takes the state from the others")
	if err := disk.Quarantine(); err != nil {
		return errors.Wrapf(err, "the damaged log in %s cannot be put aside: empty the folder", folder)
	}
	return k.join(ctx, anew(options))
}

// anew are the options of a keeper whose log was put aside. The system has run before, so it may not take part in forming a
// first view, whatever the settings say: with others of its kind it would begin with an empty state.
func anew(options replication.Options) replication.Options {
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

func (k *keeper) chainOptions() replication.Options {
	s := k.settings
	return replication.Options{Addr: s.IP, Zone: s.Zone, Region: s.Region, Port: s.ControlPlanePort(), Seeds: s.SeedIPs(), Bootstrap: s.Bootstrap,
		MachineLosses: s.Tolerance.Machines, ZoneLosses: s.Tolerance.Zones, RegionLosses: s.Tolerance.Regions,
		AckTimeout: settings.Milliseconds(s.Bounds.AckMS), Log: k.log}
}

func (k *keeper) join(ctx context.Context, options replication.Options) error {
	chain, err := replication.Start(ctx, options)
	if err != nil {
		return err
	}
	k.chain = &links{chain}
	return nil
}

// leave has the others go on without this keeper before it ends. Until enough of them hold what was acknowledged it stays, as
// long as the grace allows: its disk may go with it.
func (k *keeper) leave() {
	k.log.Info("keeper: leaving")
	ctx, cancel := context.WithTimeout(context.Background(), leaveWithin(k.settings.Bounds.GraceSeconds))
	defer cancel()
	k.chain.Leave(ctx)
	if ctx.Err() != nil {
		k.log.Warn("keeper: the grace is up and the others have not taken over; keep this disk until they have")
	}
}

func leaveWithin(graceSeconds float64) time.Duration {
	return max(leastLeave, settings.Seconds(graceSeconds)-endMargin)
}
