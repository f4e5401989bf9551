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
	count := f.plan.File.Registry.Watchers
	if count == 0 {
		return nil
	}
	args := []string{"watchers"}
	for index := range count {
		args = append(args, "--of", strings.Join(f.registryAddresses(f.plan.NearWatcher(index)), "/"))
	}
	f.registry.watchers, err = f.startStandIn("watchers", args)
	return err
}

const (
	watcherTimeout      = 15 * time.Second // for all watchers to catch up, when the faults are over
	watcherPollInterval = 200 * time.Millisecond
)

// awaitWatchers waits, when all faults are over, until a node leads and every watcher was notified of its revision, or for watcherTimeout.
// It returns the last revision that was seen; 0: nobody leads.
func (ks *registryNodes) awaitWatchers(ctx context.Context) (last check.Last) {
	ctx, cancel := context.WithTimeout(ctx, watcherTimeout)
	defer cancel()
	path := ks.fleet.records(recordsOfRegistryUpdates, 0)
	for {
		leader, err := ks.leader(ctx)
		if err != nil {
			return last
		}
		registry, err := client.New([]string{leader.http.Addr.String()})
		if err != nil {
			return last
		}
		statuses, _ := client.Status[nodeStatus](ctx, registry) // of the leader alone, unless it has gone
		registry.Close()
		for _, status := range statuses {
			last = check.Last{Cluster: status.Cluster, Rev: status.Rev}
		}
		updates, err := ctl.ReadRecords[ctl.RegistryUpdate](path)
		if err == nil && len(check.LaggingReaders(ks.fleet.plan, updates, last)) == 0 {
			return last
		}
		select {
		case <-time.After(watcherPollInterval):
		case <-ctx.Done():
			return last
		}
	}
}
