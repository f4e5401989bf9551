package main

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/apex/log"

	"gradeusher.example/gradeusher/internal/system/distribution"
	"gradeusher.example/gradeusher/internal/system/ownership"
	"gradeusher.example/gradeusher/internal/system/platform"
	"gradeusher.example/gradeusher/internal/system/process"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
	"gradeusher.example/gradeusher/internal/system/settings"
)

const (
	pollInterval  = 500 * time.Millisecond // of the platform's list
	pollRateShare = 0.1                    // of the calls that the platform accepts, at most
	listRole      = "list"
)

// distributor is what a keeper with a disk does for proxies beside the chain: it feeds those that follow it, and reads the
// platform's list while that duty lies here. An observer has none.
type distributor struct {
	settings   *settings.Settings
	log        log.Interface
	chain      *chainReplica
	server     *distribution.Server
	assignment *ownership.Assignment
	client     *platform.Client
	poller     *platform.Poller
	warmingUp  map[string]bool // ids of the servers that the last reading called cold; of the poller's goroutine
}

func newDistributor(config *settings.Settings, logger log.Interface, chain *chainReplica) *distributor {
	d := &distributor{settings: config, log: logger, chain: chain, assignment: ownership.NewAssignment(config.IP), client: platform.NewClient(platform.Options{Address: config.Cloud.Address})}
	d.server = distribution.NewServer(distribution.ServerOptions{Source: chain, Self: config.IP, Zone: config.Zone, Region: config.Region,
		ListLag: settings.Milliseconds(config.Cloud.Lag), Peers: d.peerURLs, Log: logger})
	d.poller = platform.NewPoller(platform.PollerOptions{Lister: d.client, Ownership: d.ownsListRole, Newest: d.listVersion, OnResult: d.publishList,
		Interval: pollInterval, MaxCallsPerSecond: max(config.Cloud.Rate*pollRateShare, 1), Log: logger})
	return d
}

// start works until ctx ends.
func (d *distributor) start(ctx context.Context, group *process.Group) {
	group.Go(func() error { d.server.Run(ctx); return nil })
	group.Go(func() error {
		defer d.client.Close()
		d.poller.Run(ctx)
		return nil
	})
}

// waitDelivered waits until the connected proxies hold the change numbered seq, or ctx ends.
func (d *distributor) waitDelivered(ctx context.Context, seq uint64) {
	_ = d.server.WaitAcknowledged(ctx, seq)
}

// peerURLs are the base URLs of the other keepers.
func (d *distributor) peerURLs() []string {
	var urls []string
	for _, address := range d.chain.Addresses() {
		if address != d.settings.IP {
			urls = append(urls, "http://"+net.JoinHostPort(address, strconv.Itoa(d.settings.ControlPlanePort())))
		}
	}
	return urls
}

// ownsListRole tells whether this keeper reads the platform's list. The ownsListRole lies with one of the chain's links, under the epoch
// of their view as its fence.
func (d *distributor) ownsListRole() (token uint64, owns bool) {
	d.assignment.Update(d.chain.ChainAddresses())
	return d.assignment.Owns(listRole)
}

func (d *distributor) listVersion() (fence, version uint64, age time.Duration) {
	return d.server.ListVersion()
}

// publishList takes in a reading of the platform's list.
func (d *distributor) publishList(r platform.Result) {
	servers := make([]pick.Server, 0, len(r.Instances))
	for _, i := range r.Instances {
		servers = append(servers, pick.Server{ID: i.ID, Service: i.Target, Address: i.Address, Zone: i.Zone,
			Region: d.settings.Zones[i.Zone], Slots: i.Slots, Draining: i.Phase == platform.Draining,
			Remaining: i.Remaining, WarmUpMax: maxWarmUp(i.WarmUpLeft)})
	}
	d.logWarmUps(r)
	if err := d.server.PutList(r.Fence, r.Version, servers, distribution.TimeBounds{Earliest: r.RequestedAt, Latest: r.ReceivedAt}); err != nil {
		d.log.WithError(err).Info("keeper: a reading of the list came too late")
	}
}

// logWarmUps logs each server that a reading of the list calls cold and the one before did not, and how exact that word is.
func (d *distributor) logWarmUps(r platform.Result) {
	warmingUp := map[string]bool{}
	for _, i := range r.Instances {
		if i.WarmUpLeft <= 0 {
			continue
		}
		warmingUp[i.ID] = true
		if !d.warmingUp[i.ID] {
			d.log.WithField("server", i.ID).WithField("cold_ms", i.WarmUpLeft.Milliseconds()).
				WithField("reading_ms", r.ReceivedAt.Sub(r.RequestedAt).Milliseconds()).Info("keeper: the list calls a server cold")
		}
	}
	d.warmingUp = warmingUp
}

// maxWarmUp is the longest time that the list may have told as d, in whole milliseconds.
func maxWarmUp(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d + time.Millisecond
}
