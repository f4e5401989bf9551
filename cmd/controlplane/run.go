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
	killMargin       = 700 * time.Millisecond // kept free before the platform's kill
	minLeaveTimeout  = time.Second            // for the others to cut a keeper that goes out of the chain, however short the grace
	distributionPath = "/twirp/gradeusher.distribution.Distribution/"
)

// node is the process: its parts, and what each tells the others.
type node struct {
	settings    *settings.Settings
	log         log.Interface
	chain       *chainReplica
	distributor *distributor // nil: an observer
	stalls      *operatorapi.StallDetector
}

func run(self *process.Process) error {
	n := &node{settings: self.Settings, log: self.Log, stalls: operatorapi.NewStallDetector()}
	rootCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := process.NewGroup(rootCtx)
	if err := n.openChain(ctx); err != nil {
		return err
	}
	if n.settings.HasDisk() {
		n.distributor = newDistributor(n.settings, n.log, n.chain)
	}
	group.Go(func() error { n.stalls.Run(ctx); return nil })
	if err := n.serve(ctx, group); err != nil {
		return err
	}
	if err := self.ServeMetrics(ctx, group); err != nil {
		return err
	}
	if n.distributor != nil {
		n.distributor.start(ctx, group)
	}
	n.log.WithField("control", n.settings.Bind.Control).Info("keeper: started")
	self.Wait(ctx)
	n.leaveChain()
	cancel()
	defer n.chain.Stop()
	return group.Wait()
}

// serve answers keepers and proxies at the inner port, and the operator at the control address.
func (n *node) serve(ctx context.Context, group *process.Group) error {
	for address, handler := range map[string]http.Handler{
		net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.ControlPlanePort())): n.internalHandler(),
		n.settings.Bind.Control: n.operatorHandler(),
	} {
		listener, err := process.Listen(ctx, address)
		if err != nil {
			return err
		}
		group.HTTP(ctx, listener, handler)
	}
	return nil
}

func (n *node) internalHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(replication.PathPrefix, n.chain.Handler())
	if n.distributor != nil {
		mux.Handle(distributionPath, n.distributor.server.Handler())
	} else {
		mux.Handle(distributionPath, distribution.Referral{Servers: n.chain.ServerLocations}.Handler())
	}
	return mux
}

func (n *node) operatorHandler() http.Handler {
	options := operatorapi.Options{Chain: n.chain, AckTimeout: settings.Milliseconds(n.settings.Bounds.Ack), Log: n.log,
		CommittedState: func() *controlstate.State { state, _ := n.chain.Committed(); return state },
		Stalled:        n.stalls.Stalled,
		Partitioned:    n.chain.Partitioned,
		Status:         n.status, Backup: admin.BackupHandler(n.chain.Read)}
	if n.distributor != nil {
		options.WaitDelivered = n.distributor.waitDelivered
	}
	return operatorapi.Handler(options)
}
