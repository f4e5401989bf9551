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
	pollEvery = 500 * time.Millisecond // of the platform's list
	pollPart  = 0.1                    // of the calls that the platform accepts, at most
	listDuty  = "list"
)

// feed is what a keeper with a disk does for proxies beside the chain: it feeds those that follow it, and reads the
// platform's list while that duty lies here. An observer has none.
type feed struct {
	settings *settings.Settings
	log      log.Interface
	chain    *links
	hub      *distribution.Server
	fence    *ownership.Assignment
	client   *platform.Client
	poller   *platform.Poller
	cold     map[string]bool // ids of the servers that the last reading called cold; of the poller's goroutine
}

func newFeed(s *settings.Settings, logger log.Interface, chain *links) *feed {
	f := &feed{settings: s, log: logger, chain: chain, fence: ownership.NewAssignment(s.IP), client: platform.NewClient(platform.Options{Address: s.Cloud.Address})}
	f.hub = distribution.NewServer(distribution.ServerOptions{Source: chain, Self: s.IP, Zone: s.Zone, Region: s.Region,
		ListLag: settings.Milliseconds(s.Cloud.Lag), Peers: f.peers, Log: logger})
	f.poller = platform.NewPoller(platform.PollerOptions{Lister: f.client, Ownership: f.duty, Newest: f.newest, OnResult: f.listed,
		Interval: pollEvery, MaxCallsPerSecond: max(s.Cloud.Rate*pollPart, 1), Log: logger})
	return f
}

// run works until ctx ends.
func (f *feed) run(ctx context.Context, group *process.Group) {
	group.Go(func() error { f.hub.Run(ctx); return nil })
	group.Go(func() error {
		defer f.client.Close()
		f.poller.Run(ctx)
		return nil
	})
}

// delivered waits until the connected proxies hold the change numbered seq, or ctx ends.
func (f *feed) delivered(ctx context.Context, seq uint64) { _ = f.hub.WaitAcknowledged(ctx, seq) }

// peers are the base URLs of the other keepers.
func (f *feed) peers() []string {
	var urls []string
	for _, address := range f.chain.Addresses() {
		if address != f.settings.IP {
			urls = append(urls, "http://"+net.JoinHostPort(address, strconv.Itoa(f.settings.ControlPlanePort())))
		}
	}
	return urls
}

// duty tells whether this keeper reads the platform's list. The duty lies with one of the chain's links, under the epoch
// of their view as its fence.
func (f *feed) duty() (fence uint64, holds bool) {
	f.fence.Update(f.chain.Live())
	return f.fence.Owns(listDuty)
}

func (f *feed) newest() (fence, version uint64, age time.Duration) {
	return f.hub.ListVersion()
}

// listed takes in a reading of the platform's list.
func (f *feed) listed(r platform.Result) {
	servers := make([]pick.Server, 0, len(r.Instances))
	for _, i := range r.Instances {
		servers = append(servers, pick.Server{ID: i.ID, Service: i.Target, Address: i.Address, Zone: i.Zone,
			Region: f.settings.Zones[i.Zone], Slots: i.Slots, Draining: i.Phase == platform.Draining,
			Remaining: i.Remaining, WarmUpMax: roundedUp(i.WarmUpLeft)})
	}
	f.logCold(r)
	if err := f.hub.PutList(r.Fence, r.Version, servers, distribution.TimeBounds{Earliest: r.RequestedAt, Latest: r.ReceivedAt}); err != nil {
		f.log.WithError(err).Info("keeper: a reading of the list came too late")
	}
}

// logCold logs each server that a reading of the list calls cold and the one before did not, and how exact that word is.
func (f *feed) logCold(r platform.Result) {
	cold := map[string]bool{}
	for _, i := range r.Instances {
		if i.WarmUpLeft <= 0 {
			continue
		}
		cold[i.ID] = true
		if !f.cold[i.ID] {
			f.log.WithField("server", i.ID).WithField("cold_ms", i.WarmUpLeft.Milliseconds()).
				WithField("reading_ms", r.ReceivedAt.Sub(r.RequestedAt).Milliseconds()).Info("keeper: the list calls a server cold")
		}
	}
	f.cold = cold
}

// roundedUp is the longest time that the list may have told as d, in whole milliseconds.
func roundedUp(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d + time.Millisecond
}
