package main

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/apex/log"

	"gradeusher.example/gradeusher/internal/system/distribution"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/ownership"
	"gradeusher.example/gradeusher/internal/system/platform"
	"gradeusher.example/gradeusher/internal/system/process"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
	"gradeusher.example/gradeusher/internal/system/settings"
)

const (
	pollInterval     = 500 * time.Millisecond // of the platform's server list
	maxPollRateShare = 0.1                    // of the calls that the platform accepts, at most
	listRole         = "list"
)

// distributor serves the proxies: it publishes the control state and the server list to those that subscribe to this node, and polls the
// platform's list while the node owns that singleton role. Only nodes with a disk have one; an observer has none.
type distributor struct {
	settings   *settings.Settings
	log        log.Interface
	chain      *controlChain
	server     *distribution.Server
	assignment *ownership.Assignment
	client     *platform.Client
	poller     *platform.Poller
	warmingUp  map[string]bool // ids of the servers that were warming up in the last result; used only by the poller's goroutine
}

// newDistributor returns a distributor that is not running yet; start starts it.
func newDistributor(config *settings.Settings, logger log.Interface, chain *controlChain) *distributor {
	created := &distributor{
		settings:   config,
		log:        logger,
		chain:      chain,
		assignment: ownership.NewAssignment(config.IP),
		client:     platform.NewClient(platform.Options{Address: config.Cloud.Address}),
	}
	created.server = distribution.NewServer(distribution.ServerOptions{
		Source:  chain,
		Self:    config.IP,
		Zone:    config.Zone,
		Region:  config.Region,
		ListLag: settings.Milliseconds(config.Cloud.LagMS),
		Peers:   created.peerURLs,
		Log:     logger,
	})
	created.poller = platform.NewPoller(platform.PollerOptions{
		Lister:            created.client,
		Ownership:         created.ownsListRole,
		Newest:            created.listVersion,
		OnResult:          created.publishList,
		Interval:          pollInterval,
		MaxCallsPerSecond: max(config.Cloud.CallsPerSecond*maxPollRateShare, 1),
		Log:               logger,
	})
	return created
}

// start runs the distributor in goroutines of the group, which end with ctx.
func (d *distributor) start(ctx context.Context, group *process.Group) {
	group.Go(func() error { d.server.Run(ctx); return nil })
	group.Go(func() error {
		defer d.client.Close()
		d.poller.Run(ctx)
		return nil
	})
}

// waitDelivered waits until the connected proxies have acknowledged the record numbered seq, or ctx ends.
func (d *distributor) waitDelivered(ctx context.Context, seq uint64) {
	_ = d.server.WaitAcknowledged(ctx, seq)
}

// peerURLs returns the base URLs of the other nodes.
func (d *distributor) peerURLs() []string {
	var urls []string
	for _, address := range d.chain.Addresses() {
		if address != d.settings.IP {
			urls = append(urls, "http://"+net.JoinHostPort(address, strconv.Itoa(d.settings.ControlPlanePort())))
		}
	}
	return urls
}

// ownsListRole reports whether this node polls the platform's list, and returns the fencing token for it. The role is owned by a
// replica of the chain, and its token is the epoch of the view.
func (d *distributor) ownsListRole() (token uint64, owns bool) {
	d.assignment.Update(d.chain.ChainAddresses())
	return d.assignment.Owns(listRole)
}

// listVersion returns the version and age of the list in use, for the poller.
func (d *distributor) listVersion() platform.ListVersion {
	return platform.ListVersion(d.server.ListVersion())
}

// publishList publishes a result of the poller to the proxies.
func (d *distributor) publishList(r platform.Result) {
	servers := make([]pick.Server, 0, len(r.Instances))
	for _, i := range r.Instances {
		servers = append(servers, pick.Server{ID: i.ID, Service: i.Target, Address: i.Address, Zone: i.Zone,
			Region: d.settings.Zones[i.Zone], Slots: i.Slots, Draining: i.Phase == platform.Draining,
			Remaining: i.Remaining, WarmUpMax: maxWarmUp(i.WarmUpLeft)})
	}
	d.logWarmUps(r)
	if err := d.server.PutList(r.Fence, r.Version, servers, softstate.TimeBounds{Earliest: r.RequestedAt, Latest: r.ReceivedAt}); err != nil {
		d.log.WithError(err).Info("controlplane: a reading of the server list was superseded")
	}
}

// logWarmUps logs each server that is warming up in this result and was not in the previous one, with the remaining time and the
// duration of the reading, which bounds the error of that time.
func (d *distributor) logWarmUps(r platform.Result) {
	warmingUp := map[string]bool{}
	for _, i := range r.Instances {
		if i.WarmUpLeft <= 0 {
			continue
		}
		warmingUp[i.ID] = true
		if !d.warmingUp[i.ID] {
			d.log.WithField("server", i.ID).WithField("cold_ms", i.WarmUpLeft.Milliseconds()).
				WithField("reading_ms", r.ReceivedAt.Sub(r.RequestedAt).Milliseconds()).Info("controlplane: the server list calls a server cold")
		}
	}
	d.warmingUp = warmingUp
}

// maxWarmUp returns the upper bound of the times that the list, which has whole milliseconds, may have rounded to d.
func maxWarmUp(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d + time.Millisecond
}
