package main

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"gradeusher.example/gradeusher/internal/system/admin"
	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/distribution"
	"gradeusher.example/gradeusher/internal/system/operatorapi"
	"gradeusher.example/gradeusher/internal/system/process"
	"gradeusher.example/gradeusher/internal/system/replication"
	"gradeusher.example/gradeusher/internal/system/settings"
)

const (
	endMargin        = 700 * time.Millisecond // kept free before the platform's kill
	leastLeave       = time.Second            // for the others to cut a keeper that goes out of the chain, however short the grace
	distributionPath = "/twirp/gradeusher.distribution.Distribution/"
)

// keeper is the process: its parts, and what each tells the others.
type keeper struct {
	settings *settings.Settings
	log      log.Interface
	chain    *links
	feed     *feed // nil: an observer
	stalls   *operatorapi.StallDetector
}

func run(self *process.Process) error {
	k := &keeper{settings: self.Settings, log: self.Log, stalls: operatorapi.NewStallDetector()}
	life, end := context.WithCancel(context.Background())
	defer end()
	group, ctx := process.NewGroup(life)
	if err := k.start(ctx); err != nil {
		return err
	}
	if k.settings.HasDisk() {
		k.feed = newFeed(k.settings, k.log, k.chain)
	}
	group.Go(func() error { k.stalls.Run(ctx); return nil })
	if err := k.serve(ctx, group); err != nil {
		return err
	}
	if err := self.ServeMetrics(ctx, group); err != nil {
		return err
	}
	if k.feed != nil {
		k.feed.run(ctx, group)
	}
	k.log.WithField("control", k.settings.Bind.Control).Info("keeper: started")
	self.Wait(ctx)
	k.leave()
	end()
	defer k.chain.Stop()
	return group.Wait()
}

// serve answers keepers and proxies at the inner port, and the operator at the control address.
func (k *keeper) serve(ctx context.Context, group *process.Group) error {
	for address, handler := range map[string]http.Handler{
		net.JoinHostPort(k.settings.IP, strconv.Itoa(k.settings.ControlPlanePort())): k.innerCalls(),
		k.settings.Bind.Control: k.operatorCalls(),
	} {
		l, err := process.Listen(ctx, address)
		if err != nil {
			return err
		}
		group.HTTP(ctx, l, handler)
	}
	return nil
}

func (k *keeper) innerCalls() http.Handler {
	calls := http.NewServeMux()
	calls.Handle(replication.PathPrefix, k.chain.Handler())
	if k.feed != nil {
		calls.Handle(distributionPath, k.feed.hub.Handler())
	} else {
		calls.Handle(distributionPath, distribution.Referral{Servers: k.chain.Places}.Handler())
	}
	return calls
}

func (k *keeper) operatorCalls() http.Handler {
	options := operatorapi.Options{Chain: k.chain, AckTimeout: settings.Milliseconds(k.settings.Bounds.Ack), Log: k.log,
		CommittedState: func() *controlstate.State { state, _ := k.chain.Committed(); return state },
		Stalled:        k.stalls.Stalled,
		Partitioned:    k.chain.Partitioned,
		Status:         k.status, Backup: admin.BackupHandler(k.chain.Read)}
	if k.feed != nil {
		options.WaitDelivered = k.feed.delivered
	}
	return operatorapi.Handler(options)
}
