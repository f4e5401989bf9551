package registry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/replica"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

const (
	removalCheckInterval = time.Second
	removalCheckTimeout  = 3 * time.Second // out of touch; then the others are asked
)

// awaitRemoval returns true once this keeper has been taken out of the cluster, false when ctx is done. One that led when it
// was removed knows; one that followed hears nothing more, and asks the others.
func (k *Node) awaitRemoval(ctx context.Context) bool {
	tick := time.NewTicker(removalCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return false
		}
		if k.replica.Removed() {
			return true
		}
		if age, known := k.replica.Age(); known && age > removalCheckTimeout && k.removedByLeader(ctx) {
			return true
		}
	}
}

// removedByLeader tells whether a leader says that this keeper is none of the members. Danger: only a leader's word counts: a keeper
// that was cut off before this one was added knows nothing of it either.
func (k *Node) removedByLeader(ctx context.Context) bool {
	var others []string
	k.store.read(func(m *state.Machine) {
		for _, p := range m.Nodes() {
			others = append(others, p.HTTPAddress)
		}
	})
	for _, p := range k.config.Peers {
		others = append(others, p.HTTP)
	}
	own := cmp.Or(k.config.AdvertiseHTTP, k.config.HTTP)
	others = slices.DeleteFunc(others, func(at string) bool { return at == own })
	slices.Sort(others)
	c, err := client.New(slices.Compact(others))
	if err != nil {
		return false // there are no others
	}
	defer c.Close()
	all, _ := client.Status[Status](ctx, c) // who does not answer says nothing
	for _, s := range all {
		named := slices.ContainsFunc(s.Peers, func(p replica.Peer) bool { return p.Name == k.config.Name })
		if s.Role == "leader" && s.AgeMS == 0 && len(s.Peers) > 0 && !named {
			return true
		}
	}
	return false
}
