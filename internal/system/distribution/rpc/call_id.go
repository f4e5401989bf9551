package rpc

import (
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrMismatchedReply marks an answer that belongs to another call.
var ErrMismatchedReply = errors.New("distribution: an answer that belongs to another call")

// CallIDs names the CallIDs of a process to others. On a connection that is used again an answer is told from another by its
// place alone: a peer that answers once too often would put off all that follow. The zero value is ready.
type CallIDs struct{ last atomic.Uint32 }

// MaxCallIDs is how many names there are: more than may be under way, and few enough to be short on the wire.
const MaxCallIDs = 1 << 14

// Next gives the name of a call; never 0.
func (c *CallIDs) Next() uint32 { return c.last.Add(1)%(MaxCallIDs-1) + 1 }

// CheckReply fails with ErrMismatchedReply unless got is the name that was asked under.
func CheckReply(asked, got uint32) error {
	if asked == got {
		return nil
	}
	return errors.Mark(errors.Newf("distribution: call %d was answered as %d: ask again on another connection", asked, got), ErrMismatchedReply)
}
