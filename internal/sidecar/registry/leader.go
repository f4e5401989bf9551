package registry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// leadCluster does what a leader does besides answering calls, until ctx ends with its term: it founds the cluster, records its own address
// and ends leases.
func (n *Node) leadCluster(ctx context.Context) {
	n.log.Info("leads", "term", n.replica.Status().Term)
	defer n.log.Info("leads no more")
	for _, command := range n.firstCommands() {
		if !n.proposeUntilAccepted(ctx, command) {
			return
		}
	}
	var roleLeases sync.WaitGroup
	defer roleLeases.Wait()
	roleLeases.Go(func() { n.runRoleLeases(ctx) })
	n.runServerLeases(ctx)
}

func (n *Node) firstCommands() []state.Command {
	var clusterID [8]byte
	_, _ = rand.Read(clusterID[:]) // never fails (crypto/rand)
	var commands []state.Command
	if n.store.cluster() == "" {
		commands = append(commands, state.Command{Op: state.FoundCluster, Cluster: hex.EncodeToString(clusterID[:])})
	}
	return append(commands, state.Command{Op: state.SetNode, Node: &state.Node{Name: n.config.Name, HTTPAddress: n.httpAddress()}})
}

// proposeUntilAccepted retries a command while the node leads, and returns whether it was accepted.
func (n *Node) proposeUntilAccepted(ctx context.Context, command state.Command) bool {
	for {
		_, err := n.propose(ctx, command)
		if err == nil {
			return true
		}
		n.log.Warn("leads", "op", command.Op, "err", err)
		select {
		case <-ctx.Done():
			return false
		case <-time.After(serverLeaseInterval): // the node is busy, or is about to lose leadership
		}
	}
}

// propose puts a command in the log and returns its result once a majority has it. Errors are those of replica.Propose, or a *state.Error,
// with which the result is returned too.
func (n *Node) propose(ctx context.Context, command state.Command) (state.Result, error) {
	text, err := json.Marshal(command)
	if err != nil {
		return state.Result{}, fmt.Errorf("command: %w", err)
	}
	answer, err := n.replica.Propose(ctx, text)
	if err != nil {
		return state.Result{}, err
	}
	result, ok := answer.(state.Result)
	if !ok {
		return result, fmt.Errorf("command: the machine answered %T", answer)
	}
	if result.Err != nil {
		return result, result.Err
	}
	return result, nil
}
