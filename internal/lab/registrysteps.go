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
	AgeMS   int64  `json:"age_ms"`
	Rev     int64  `json:"rev"`
	Cluster string `json:"cluster"`
}

const leaderTimeout = 10 * time.Second

// leader asks the nodes for the leader, past the relay and its faults, until one leads.
func (ks *registryNodes) leader(ctx context.Context) (*registryNode, error) {
	var own []string
	for _, k := range ks.nodes {
		own = append(own, k.http.Addr.String())
	}
	c, err := client.New(own)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	for {
		all, _ := client.Status[nodeStatus](ctx, c)
		for _, k := range ks.nodes {
			if s, ok := all[k.http.Addr.String()]; ok && s.Role == "leader" && s.AgeMS == 0 {
				return k, nil
			}
		}
		select {
		case <-ctx.Done():
			return nil, ErrNoLeader
		case <-time.After(20 * time.Millisecond):
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

// targetName is the name of what a step acts on, for the report.
func (ks *registryNodes) targetName(s *plan.Step) string {
	if k, ok := plan.NodeOf(s.Sidecar); ok {
		return ks.nodes[k].name
	}
	ks.mu.Lock()
	defer ks.mu.Unlock()
	if k := ks.leaderByFault[s.Fault]; k != nil {
		return k.name
	}
	return "leader"
}

// runInOrder runs steps that wait: one after the other where they act on one node, concurrently where not. It does not wait.
func (ks *registryNodes) runInOrder(s *plan.Step, run func()) {
	ks.mu.Lock()
	before := ks.lastStepDone[s.Sidecar]
	own := make(chan struct{})
	ks.lastStepDone[s.Sidecar] = own
	ks.mu.Unlock()
	go func() {
		defer close(own)
		if before != nil {
			<-before
		}
		run()
	}()
}

// applyStep applies a step to a registry node and returns when it took effect.
func (ks *registryNodes) applyStep(ctx context.Context, step *plan.Step) (int64, error) {
	node, err := ks.nodeOf(ctx, step)
	if err != nil {
		return clock.Now(), err
	}
	switch step.Do {
	case plan.Stop, plan.Cont, plan.Disk:
		node.mu.Lock()
		defer node.mu.Unlock()
		now := clock.Now()
		switch step.Do {
		case plan.Stop:
			return now, node.process.Signal(syscall.SIGSTOP, false)
		case plan.Cont:
			return now, node.process.Signal(syscall.SIGCONT, false)
		}
		return now, node.process.SetDiskFault(step.Mode)
	case plan.Tear:
		return clock.Now(), truncateStore(filepath.Join(node.folder, "data", "raft"), step.Mode)
	case plan.Link, plan.Reset, plan.Forget:
		return ks.applyLinkFault(node, step)
	case plan.Backup, plan.Restore:
		return clock.Now(), ks.backupOrRestore(ctx, step.Do == plan.Backup)
	case plan.Start:
		return clock.Now(), ks.start(node)
	}
	node.mu.Lock()
	p := node.process
	node.mu.Unlock()
	at := clock.Now()
	sig := syscall.SIGKILL
	if step.Do == plan.Term {
		sig = syscall.SIGTERM
	}
	_, err = endBy(p, sig)
	return at, err
}

// backupOrRestore takes a backup of the registry, or restores the one that was taken.
func (ks *registryNodes) backupOrRestore(ctx context.Context, take bool) error {
	c, ctx, done, err := ks.fleet.dialRegistry(ctx)
	if err != nil {
		return err
	}
	defer done()
	ks.mu.Lock()
	defer ks.mu.Unlock()
	if take {
		ks.backup, err = c.Backup(ctx, true)
		return err
	}
	_, err = c.Restore(ctx, ks.backup)
	return err
}
