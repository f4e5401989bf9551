package lab

import (
	"context"
	"path/filepath"
	"syscall"
	"time"

	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/plan"
	"gradeusher.example/gradeusher/internal/sidecar/client"
)

// nodeStatus is what the lab reads of a registry node's status.
type nodeStatus struct {
	Role    string `json:"role"`
	AgeMS   int64  `json:"age_ms"`  // since the node last knew itself up to date; below 0: not since its start
	Rev     int64  `json:"rev"`     // revision of its list
	Cluster string `json:"cluster"` // id
}

const (
	leaderTimeout      = 10 * time.Second // for a node to lead
	leaderPollInterval = 20 * time.Millisecond
	leaderRole         = "leader" // of a node's status
)

// leader asks all nodes, past the relay and its faults, until one leads. It fails with ErrNoLeader after leaderTimeout.
func (ks *registryNodes) leader(ctx context.Context) (*registryNode, error) {
	var addresses []string
	for _, node := range ks.nodes {
		addresses = append(addresses, node.http.Addr.String())
	}
	registry, err := client.New(addresses)
	if err != nil {
		return nil, err
	}
	defer registry.Close()
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	for {
		statuses, _ := client.Status[nodeStatus](ctx, registry) // of the nodes that answered
		for _, node := range ks.nodes {
			status := statuses[node.http.Addr.String()]
			if status.Role == leaderRole && status.AgeMS == 0 {
				return node, nil
			}
		}
		select {
		case <-ctx.Done():
			return nil, ErrNoLeader
		case <-time.After(leaderPollInterval):
		}
	}
}

// nodeOf is the registry node that a step addresses: the leader at the beginning of its fault, where it says so. nil, without an error,
// is whichever leads.
func (ks *registryNodes) nodeOf(ctx context.Context, step *plan.Step) (*registryNode, error) {
	if node, ok := plan.NodeOf(step.Sidecar); ok {
		return ks.nodes[node], nil
	}
	ks.mu.Lock()
	node := ks.leaderByFault[step.Fault]
	ks.mu.Unlock()
	if node != nil {
		return node, nil
	}
	if step.Do == plan.Backup || step.Do == plan.Restore {
		return nil, nil // whoever leads
	}
	node, err := ks.leader(ctx)
	if err != nil {
		return nil, err
	}
	ks.mu.Lock()
	defer ks.mu.Unlock()
	ks.leaderByFault[step.Fault] = node
	return node, nil
}

// targetName is what a step acts on, as reports show it.
func (ks *registryNodes) targetName(step *plan.Step) string {
	if index, ok := plan.NodeOf(step.Sidecar); ok {
		return ks.nodes[index].name
	}
	ks.mu.Lock()
	defer ks.mu.Unlock()
	if node := ks.leaderByFault[step.Fault]; node != nil {
		return node.name
	}
	return "leader"
}

// runInOrder runs a step in a goroutine, after all earlier steps of the same process index. It does not wait for it.
func (ks *registryNodes) runInOrder(step *plan.Step, apply func()) {
	ks.mu.Lock()
	before := ks.lastStepDone[step.Sidecar]
	done := make(chan struct{})
	ks.lastStepDone[step.Sidecar] = done
	ks.mu.Unlock()
	go func() {
		defer close(done)
		if before != nil {
			<-before
		}
		apply()
	}()
}

// applyStep applies a step to a registry node and returns when that took effect, in ns of the lab's clock.
func (ks *registryNodes) applyStep(ctx context.Context, step *plan.Step) (at int64, err error) {
	node, err := ks.nodeOf(ctx, step)
	if err != nil {
		return clock.Now(), err
	}
	switch step.Do {
	case plan.Stop, plan.Cont, plan.Disk:
		return node.applyFault(step)
	case plan.Tear:
		return endOf(truncateStore(filepath.Join(node.folder, "data", "raft"), step.Mode))
	case plan.Link, plan.Reset, plan.Forget:
		return ks.applyLinkFault(node, step)
	case plan.Backup, plan.Restore:
		return endOf(ks.backupOrRestore(ctx, step.Do == plan.Backup))
	case plan.Start:
		return endOf(ks.start(node))
	}
	return node.end(step.Do == plan.Term)
}

// applyFault stops or continues the node's process, or begins or ends a fault of its disk.
func (n *registryNode) applyFault(step *plan.Step) (at int64, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	at = clock.Now()
	switch step.Do {
	case plan.Stop:
		return at, n.process.Signal(syscall.SIGSTOP, false)
	case plan.Cont:
		return at, n.process.Signal(syscall.SIGCONT, false)
	}
	return at, n.process.SetDiskFault(step.Mode)
}

// end ends the node's process by SIGTERM or SIGKILL, and returns when the signal was sent.
func (n *registryNode) end(terminate bool) (at int64, err error) {
	n.mu.Lock()
	process := n.process
	n.mu.Unlock()
	at = clock.Now()
	sig := syscall.SIGKILL
	if terminate {
		sig = syscall.SIGTERM
	}
	_, err = endBy(process, sig)
	return at, err
}

// backupOrRestore takes a backup of the registry, or restores the latest one.
func (ks *registryNodes) backupOrRestore(ctx context.Context, take bool) error {
	registry, ctx, done, err := ks.fleet.dialRegistry(ctx)
	if err != nil {
		return err
	}
	defer done()
	ks.mu.Lock()
	defer ks.mu.Unlock()
	if take {
		ks.backup, err = registry.Backup(ctx, true)
		return err
	}
	_, err = registry.Restore(ctx, ks.backup)
	return err
}
