package replication

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// call starts a call in the core and waits for its completion.
func (n *Node) call(ctx context.Context, start func(c *Core, id uint64, ttl time.Duration)) (Completion, error) {
	ttl := n.opt.AckTimeout
	if deadline, ok := ctx.Deadline(); ok {
		ttl = time.Until(deadline)
	}
	if ttl <= 0 || ctx.Err() != nil {
		err := errors.New("replication: the deadline has passed: ask again")
		return Completion{}, errors.Mark(errors.Mark(err, ErrNotApplied), ErrUnavailable)
	}
	waiter := make(chan Completion, 1)
	var id uint64
	n.update(func(c *Core) {
		n.lastCallID++
		id = n.lastCallID
		n.waiters[id] = waiter
		start(c, id, ttl)
	})
	if id == 0 {
		return Completion{}, ErrStopped
	}
	select {
	case done, ok := <-waiter:
		if !ok {
			return Completion{}, errors.Mark(ErrStopped, ErrUnavailable)
		}
		return done, nil
	case <-ctx.Done():
		n.update(func(c *Core) {
			delete(n.waiters, id)
			c.Abandon(id)
		})
		return Completion{}, errors.Mark(errors.Wrap(ctx.Err(), "replication: no answer"), ErrUnavailable)
	}
}

// Submit requests a change and waits until its outcome is committed, that is, acknowledged by enough disks. The verdict's Seq is the
// committed record that it depends on. Submit may be called on any node. If ctx has no deadline, it waits for Options.AckTimeout.
// Errors are marked ErrUnavailable, and also ErrNotApplied if it is certain that the change will not be applied; after Stop the error
// is ErrStopped.
func (n *Node) Submit(ctx context.Context, change controlstate.Change) (controlstate.Verdict, error) {
	done, err := n.call(ctx, func(c *Core, id uint64, ttl time.Duration) { c.Submit(n.now(), id, change, ttl) })
	if err != nil {
		return controlstate.Verdict{}, err
	}
	switch done.Outcome {
	case Answered:
		verdict := done.Verdict
		verdict.Seq = done.Seq
		return verdict, nil
	case Refused:
		return controlstate.Verdict{}, errors.Mark(ErrNotApplied, ErrUnavailable)
	}
	return controlstate.Verdict{}, ErrUnavailable
}

// Read returns the state after everything that was acknowledged before the call, and possibly later changes. It may be called on any
// node. Errors are marked ErrUnavailable; after Stop the error is ErrStopped.
func (n *Node) Read(ctx context.Context) (*controlstate.State, error) {
	done, err := n.call(ctx, func(c *Core, id uint64, ttl time.Duration) { c.Read(n.now(), id, ttl) })
	if err != nil {
		return nil, err
	}
	state, ok := done.State.(controlState)
	if done.Outcome != Answered || !ok {
		return nil, ErrUnavailable
	}
	return state.State, nil
}
