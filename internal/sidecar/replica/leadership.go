package replica

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// followLeadership calls OnLeader for each leadership of this replica, one after the other, until the channel closes.
func (r *Replica) followLeadership() {
	var leading sync.WaitGroup
	endLeadership := func() {
		r.ready.Store(false)
		if r.endLeadership != nil {
			r.endLeadership()
		}
		leading.Wait()
	}
	defer endLeadership()
	for leads := range r.leadership {
		endLeadership()
		if !leads {
			continue
		}
		var ctx context.Context
		ctx, r.endLeadership = context.WithCancel(context.Background())
		leading.Go(func() { r.lead(ctx) })
	}
}

// lead waits until what was acknowledged in earlier terms is applied here, and calls OnLeader.
func (r *Replica) lead(ctx context.Context) {
	if err := r.raft.Barrier(0).Error(); err != nil || ctx.Err() != nil {
		return
	}
	r.ready.Store(true)
	if r.options.OnLeader != nil {
		r.options.OnLeader(ctx)
	}
}

// Ready tells whether this replica leads and has applied all that was acknowledged before its term.
func (r *Replica) Ready() bool { return r.ready.Load() && r.raft.State() == raft.Leader }

// StepDown transfers the leadership to another member, if this replica leads, so that the cluster needs no time-out to replace it. An error says why
// no member took over; nothing is lost then but time.
func (r *Replica) StepDown() error {
	if r.raft.State() != raft.Leader {
		return nil
	}
	done := make(chan error, 1)
	go func() { done <- r.raft.LeadershipTransfer().Error() }()
	select {
	case err := <-done:
		if err != nil {
			return fmt.Errorf("step down: %w", err)
		}
		return nil
	case <-time.After(closeTimeout):
		return fmt.Errorf("step down: nobody took over within %v", closeTimeout)
	}
}

// Removed tells whether this replica was removed from the cluster while it led, and so has ended.
func (r *Replica) Removed() bool { return r.raft.State() == raft.Shutdown }

// Leader returns the name of the leader; "": none is known.
func (r *Replica) Leader() string {
	_, id := r.raft.LeaderWithID()
	return string(id)
}

// Age returns how long ago this replica last had contact with the leader, 0 on the leader, and whether it had any since its start.
func (r *Replica) Age() (time.Duration, bool) {
	if r.Ready() {
		return 0, true
	}
	lastContact := r.raft.LastContact()
	if lastContact.IsZero() {
		return 0, false
	}
	return time.Since(lastContact), true
}

// Status is what a replica knows of the cluster.
type Status struct {
	Name    string        `json:"name"`
	Role    string        `json:"role"` // "leader", "follower", "candidate" or "shutdown"
	Leader  string        `json:"leader"`
	Term    uint64        `json:"term"`
	Commit  uint64        `json:"commit_index"`
	Applied uint64        `json:"applied_index"`
	Last    uint64        `json:"last_index"`
	Age     time.Duration `json:"-"` // as Replica.Age; below 0: it had no contact
	Peers   []Peer        `json:"peers"`
}

// Status returns the status of now. It lacks the peers while the replica ends.
func (r *Replica) Status() Status {
	age, known := r.Age()
	if !known {
		age = -1
	}
	peers, _ := r.Peers()
	return Status{
		Name:    r.options.Name,
		Role:    strings.ToLower(r.raft.State().String()),
		Leader:  r.Leader(),
		Term:    r.raft.CurrentTerm(),
		Commit:  r.raft.CommitIndex(),
		Applied: r.raft.AppliedIndex(),
		Last:    r.raft.LastIndex(),
		Age:     age,
		Peers:   peers,
	}
}
