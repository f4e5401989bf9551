package replica

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/raft"
)

// The errors of a proposal. After ErrUncertain the command may have been applied, or may yet be; after the others it was not.
var (
	ErrNotLeader = errors.New("not the leader")
	ErrBusy      = errors.New("too much to do")
	ErrUncertain = errors.New("the outcome is unknown: leadership was lost meanwhile")
)

// Propose puts a command in the log, and returns what the machine returned once it is committed and applied. Errors wrap ErrNotLeader, ErrBusy or
// ErrUncertain, also where ctx is done.
func (r *Replica) Propose(ctx context.Context, command []byte) (any, error) {
	if !r.Ready() {
		return nil, ErrNotLeader
	}
	future := r.raft.Apply(command, enqueueTimeout)
	done := make(chan error, 1)
	go func() { done <- future.Error() }()
	select {
	case err := <-done:
		if err != nil {
			return nil, translateError(err)
		}
		return future.Response(), nil
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrUncertain, ctx.Err())
	}
}

// translateError returns the error of this package for one of raft's. The outcome of a command is unknown unless raft says that it refused it.
func translateError(err error) error {
	switch {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		return ErrNotLeader
	case errors.Is(err, raft.ErrEnqueueTimeout):
		return ErrBusy
	case errors.Is(err, raft.ErrLeadershipLost), errors.Is(err, raft.ErrAbortedByRestore), errors.Is(err, raft.ErrRaftShutdown):
		return fmt.Errorf("%w (%w)", ErrUncertain, err)
	}
	return fmt.Errorf("%w: %w", ErrUncertain, err)
}

const appliedPollInterval = time.Millisecond

// Confirm returns once this replica has proved by a majority that it still leads, and has applied everything that was acknowledged before the call; a
// read of the machine after that is linearizable (Ongaro's dissertation, section 6.4). Errors are ErrNotLeader or ctx's.
func (r *Replica) Confirm(ctx context.Context) error {
	if !r.Ready() {
		return ErrNotLeader
	}
	index := r.raft.CommitIndex()
	done := make(chan error, 1)
	go func() { done <- r.raft.VerifyLeader().Error() }()
	select {
	case err := <-done:
		if err != nil {
			return ErrNotLeader
		}
	case <-ctx.Done():
		return ctx.Err()
	}
	for r.raft.AppliedIndex() < index {
		select {
		case <-time.After(appliedPollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
