package main

import (
	"context"
	"net"
	"net/http"
	"strconv"

	"gradeusher.example/gradeusher/internal/system/admin"
	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/distribution"
	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/operatorapi"
	"gradeusher.example/gradeusher/internal/system/process"
	"gradeusher.example/gradeusher/internal/system/quota/quotapb"
	"gradeusher.example/gradeusher/internal/system/replication"
	"gradeusher.example/gradeusher/internal/system/settings"
)

// serve serves the other nodes and the proxies on the internal port, and the operator on the control address.
func (n *node) serve(ctx context.Context, group *process.Group) error {
	internalAddress := net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.ControlPlanePort()))
	for address, handler := range map[string]http.Handler{
		internalAddress:         n.internalHandler(),
		n.settings.Bind.Control: n.operatorHandler(),
	} {
		listener, err := process.Listen(ctx, address)
		if err != nil {
			return err
		}
		group.ServeHTTP(ctx, listener, handler)
	}
	return nil
}

// internalHandler serves replication and distribution. An observer refers proxies to the nodes of the view.
func (n *node) internalHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(replication.PathPrefix, n.chain.Handler())
	mux.Handle(quotapb.AllocationPathPrefix, n.allocation.Handler())
	if n.distributor != nil {
		mux.Handle(distributionpb.DistributionPathPrefix, n.distributor.server.Handler())
	} else {
		mux.Handle(distributionpb.DistributionPathPrefix, distribution.Referral{Servers: n.chain.ServerLocations}.Handler())
	}
	return mux
}

// operatorHandler serves the operator's API.
func (n *node) operatorHandler() http.Handler {
	options := operatorapi.Options{
		Chain:          n.chain,
		AckTimeout:     settings.Milliseconds(n.settings.Bounds.AckMS),
		Log:            n.log,
		CommittedState: n.committedState,
		Partitioned:    n.chain.Partitioned,
		WaitsFor:       n.chain.WaitsFor,
		Status:         n.status,
		Backup:         admin.BackupHandler(n.chain.Read),
	}
	if n.distributor != nil {
		options.WaitDelivered = n.distributor.waitDelivered
	}
	return operatorapi.Handler(options)
}

// committedState returns the newest committed state of this node, which may lag behind that of others.
func (n *node) committedState() *controlstate.State {
	state, _ := n.chain.Committed()
	return state
}
