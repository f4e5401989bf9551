package main

import (
	"context"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/replication"
	"gradeusher.example/gradeusher/internal/system/settings"
	"gradeusher.example/gradeusher/internal/system/staff"
	"gradeusher.example/gradeusher/internal/system/wal"
)

const leaveWithin = time.Second // for the others to cut a keeper that goes out of the chain

// links is the chain of keepers as the keeper's other parts see it.
type links struct {
	*replication.Keeper
}

// Submit implements control.Chain.
func (l *links) Submit(ctx context.Context, change controlstate.Change) (controlstate.Verdict, error) {
	answer, err := l.Keeper.Submit(ctx, change)
	verdict := answer.Verdict
	verdict.Seq = answer.Seq
	return verdict, err
}

// Addresses implements distribution.Source: the keepers of the view, those of the chain first and in its order.
func (l *links) Addresses() []string {
	view := l.View()
	addresses := make([]string, 0, len(view.Voters))
	in := map[replication.ID]bool{}
	for _, id := range view.Chain {
		if m, ok := view.Voter(id); ok {
			addresses, in[id] = append(addresses, m.Addr), true
		}
	}
	for _, m := range view.Voters {
		if !in[m.ID] {
			addresses = append(addresses, m.Addr)
		}
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

// start opens the disk and joins the chain. A log that is damaged elsewhere than at its end is not believed: this keeper
// then begins anew, with another identity and without a vote, and takes what it lacks from the others.
func (k *keeper) start(ctx context.Context) error {
	s := k.settings
	folder := filepath.Join(s.DataDir, "control")
	disk, err := wal.Open(folder, wal.Options{})
	if err != nil {
		return errors.Wrapf(err, "the control state in %s cannot be opened", folder)
	}
	open := func() (*replication.Keeper, error) {
		return replication.Start(ctx, replication.Options{Addr: s.IP, Zone: s.Zone, Region: s.Region, Port: s.KeeperPort(), Seeds: s.SeedIPs(),
			Bootstrap: s.Bootstrap, MachineLosses: s.Tolerance.Machines, Ack: settings.Milliseconds(s.Bounds.Ack), Disk: disk, Log: k.log})
	}
	chain, err := open()
	if errors.Is(err, wal.ErrDamaged) {
		k.log.WithError(err).Error("keeper: the log is damaged; this keeper begins anew and takes the state from the others")
		if err := disk.Wipe(); err != nil {
			return errors.Wrapf(err, "the damaged state in %s cannot be removed: empty the folder", folder)
		}
		chain, err = open()
	}
	if err != nil {
		return err
	}
	k.chain = &links{chain}
	return nil
}

// leave has the others go on without this keeper before it ends.
func (k *keeper) leave() {
	k.log.Info("keeper: leaving")
	ctx, cancel := context.WithTimeout(context.Background(), leaveWithin)
	defer cancel()
	k.chain.Leave(ctx)
}

// status is what staff see of this keeper.
func (k *keeper) status() any {
	view := k.chain.View()
	state, _ := k.chain.Committed()
	servers, age, listed := k.hub.List()
	out := staff.KeeperStatus{Version: staff.Version, Node: k.settings.Node, Current: k.chain.Current(), Epoch: view.Epoch,
		Number: state.Seq, Revision: state.Revision(), Evacuated: staff.Zones(state), Servers: len(servers), ListAgeMS: -1,
		Proxies: []staff.Holding{}}
	_, out.Chain = k.chain.Live()
	for _, m := range view.Voters {
		out.Voters = append(out.Voters, staff.Voter{Address: m.Addr, Zone: m.Zone, Region: m.Region})
	}
	if listed {
		out.ListAgeMS = age.Milliseconds()
	}
	out.ListDuty, _ = k.fence.Holder(listDuty)
	for _, f := range k.hub.Followers() {
		out.Proxies = append(out.Proxies, staff.Holding{Node: f.Node, Acknowledged: f.Seq, SilentMS: f.Silent.Milliseconds()})
	}
	for _, m := range k.hub.Members() {
		if !m.Down && !m.Leaving {
			out.Members = append(out.Members, m.Node)
		}
	}
	return out
}
