package main

import (
	"context"

	"github.com/apex/log"

	"gradeusher.example/gradeusher/internal/system/process"
	"gradeusher.example/gradeusher/internal/system/quota/quotarpc"
	"gradeusher.example/gradeusher/internal/system/settings"
)

// node holds the components of the process.
type node struct {
	settings    *settings.Settings
	log         log.Interface
	chain       *controlChain
	distributor *distributor // nil: an observer
	allocation  *quotarpc.AllocationServer
}

// run runs the node until the process is asked to terminate or one of its components fails.
func run(self *process.Process) error {
	rootCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := process.NewGroup(rootCtx)
	n := &node{settings: self.Settings, log: self.Log}
	if err := n.start(ctx, self, group); err != nil {
		return err
	}
	self.Wait(ctx, n.chain.SetSeeds)
	n.leaveChain()
	cancel()
	defer n.chain.Stop()
	return group.Wait()
}

// start opens the chain and starts the components that serve and distribute its state. The group owns the goroutines, which end with
// ctx.
func (n *node) start(ctx context.Context, self *process.Process, group *process.Group) error {
	if err := n.openChain(ctx); err != nil {
		return err
	}
	if n.settings.HasDisk() {
		n.distributor = newDistributor(n.settings, n.log, n.chain)
	}
	n.allocation.Publish()
	if err := n.serve(ctx, group); err != nil {
		return err
	}
	if err := self.ServeMetrics(ctx, group); err != nil {
		return err
	}
	if n.distributor != nil {
		n.distributor.start(ctx, group)
		group.Go(func() error { n.allocation.Run(ctx); return nil })
	}
	n.log.WithField("control", n.settings.Bind.Control).Info("controlplane: started")
	return nil
}
