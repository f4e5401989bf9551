package main

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"gradeusher.example/gradeusher/internal/system/control"
	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/distribution"
	"gradeusher.example/gradeusher/internal/system/ownership"
	"gradeusher.example/gradeusher/internal/system/platform"
	"gradeusher.example/gradeusher/internal/system/process"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
	"gradeusher.example/gradeusher/internal/system/replication"
	"gradeusher.example/gradeusher/internal/system/settings"
	"gradeusher.example/gradeusher/internal/system/staff"
)

const (
	pollEvery = 500 * time.Millisecond // of the platform's list
	pollPart  = 0.1                    // of the calls that the platform accepts, at most
	listDuty  = "list"
)

// keeper is the process: its parts, and what each tells the others.
type keeper struct {
	settings *settings.Settings
	log      log.Interface
	chain    *links
	hub      *distribution.Hub
	fence    *ownership.Fence
}

func run(self *process.Process) error {
	s := self.Settings
	k := &keeper{settings: s, log: self.Log, fence: ownership.NewFence(s.IP)}
	life, end := context.WithCancel(context.Background())
	defer end()
	group, ctx := process.NewGroup(life)
	if err := k.start(ctx); err != nil {
		return err
	}
	k.hub = distribution.NewHub(distribution.HubOptions{Source: k.chain, Self: s.IP, Zone: s.Zone, Region: s.Region, Peers: k.peers, Log: k.log})
	client := platform.NewClient(platform.Options{Address: s.Cloud.Address})
	defer client.Close()
	poller := platform.NewPoller(platform.PollerOptions{Lister: client, Duty: k.duty, Newest: k.newest, OnResult: k.listed,
		Interval: pollEvery, CallRate: max(s.Cloud.Rate*pollPart, 1), Log: k.log})
	calls := http.NewServeMux()
	calls.Handle("/twirp/gradeusher.distribution.Distribution/", k.hub.Handler())
	calls.Handle(replication.PathPrefix, k.chain.Handler())
	operator := control.Handler(control.Options{Chain: k.chain, AckTimeout: settings.Milliseconds(s.Bounds.Ack), Log: k.log,
		Delivered: func(ctx context.Context, seq uint64) { _ = k.hub.Acknowledged(ctx, seq) },
		Current:   func() *controlstate.State { state, _ := k.chain.Committed(); return state },
		Status:    k.status, Backup: staff.BackupHandler(k.chain.Read)})
	for address, handler := range map[string]http.Handler{
		net.JoinHostPort(s.IP, strconv.Itoa(s.KeeperPort())): calls,
		s.Bind.Control: operator,
	} {
		l, err := process.Listen(ctx, address)
		if err != nil {
			return err
		}
		group.HTTP(ctx, l, handler)
	}
	group.Go(func() error { k.hub.Run(ctx); return nil })
	group.Go(func() error { poller.Run(ctx); return nil })
	k.log.WithField("control", s.Bind.Control).Info("keeper: started")
	self.Wait(ctx)
	k.leave()
	end()
	defer k.chain.Stop()
	return group.Wait()
}

// peers are the base URLs of the other keepers.
func (k *keeper) peers() []string {
	var urls []string
	for _, address := range k.chain.Addresses() {
		if address != k.settings.IP {
			urls = append(urls, "http://"+net.JoinHostPort(address, strconv.Itoa(k.settings.KeeperPort())))
		}
	}
	return urls
}

// duty tells whether this keeper reads the platform's list. The duty lies with one of the chain's links, under the epoch
// of their view as its fence.
func (k *keeper) duty() (fence uint64, holds bool) {
	k.fence.Observe(k.chain.Live())
	return k.fence.Holds(listDuty)
}

func (k *keeper) newest() (fence, version uint64, age time.Duration) {
	return k.hub.ListVersion()
}

// listed takes in a reading of the platform's list.
func (k *keeper) listed(r platform.Result) {
	servers := make([]pick.Server, 0, len(r.Instances))
	for _, i := range r.Instances {
		servers = append(servers, pick.Server{ID: i.ID, Service: i.Target, Address: i.Address, Zone: i.Zone,
			Region: k.settings.Zones[i.Zone], Slots: i.Slots, Draining: i.Phase == platform.Draining,
			Remaining: i.Remaining, Cold: i.ColdLeft})
	}
	if err := k.hub.PutList(r.Fence, r.Version, servers, time.Since(r.At)); err != nil {
		k.log.WithError(err).Info("keeper: a reading of the list came too late")
	}
}
