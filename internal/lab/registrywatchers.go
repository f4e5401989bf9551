package lab

import (
	"context"
	"strings"
	"time"

	"gradeusher.example/gradeusher/internal/lab/check"
	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/sidecar/client"
)

// startWatchers starts the process of subscribers that only watch, if the plan has any.
func (f *Fleet) startWatchers() (err error) {
	n := f.plan.File.Registry.Watchers
	if n == 0 {
		return nil
	}
	args := []string{"watchers"}
	for i := range n {
		args = append(args, "--of", strings.Join(f.registryAddresses(f.plan.NearWatcher(i)), "/"))
	}
	f.registry.watchers, err = f.startStandIn("watchers", args)
	return err
}

const watcherTimeout = 15 * time.Second // for all watchers to catch up, when the faults are over

// awaitWatchers waits, when all faults are over, until a node leads and every watcher was notified of its revision, or for watcherTimeout.
// It returns what the last revision is; 0: nobody leads.
func (ks *registryNodes) awaitWatchers(ctx context.Context) (last check.Last) {
	ctx, cancel := context.WithTimeout(ctx, watcherTimeout)
	defer cancel()
	path := ks.fleet.records(recordsOfRegistryUpdates, 0)
	for {
		leader, err := ks.leader(ctx)
		if err != nil {
			return last
		}
		c, err := client.New([]string{leader.http.Addr.String()})
		if err != nil {
			return last
		}
		all, _ := client.Status[nodeStatus](ctx, c)
		c.Close()
		for _, s := range all {
			last = check.Last{Cluster: s.Cluster, Rev: s.Rev}
		}
		shown, err := ctl.ReadRecords[ctl.RegistryUpdate](path)
		if err == nil && len(check.LaggingReaders(ks.fleet.plan, shown, last)) == 0 {
			return last
		}
		select {
		case <-time.After(200 * time.Millisecond):
		case <-ctx.Done():
			return last
		}
	}
}
