package rpc

import (
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrMismatchedReply marks a reply that belongs to another call. The caller should close the connection and retry.
var ErrMismatchedReply = errors.New("distribution: a reply that belongs to another call")

// MaxCallIDs is the number of call ids: more than there are calls in flight, and few enough to be short on the wire.
const MaxCallIDs = 1 << 14

// CallIDs numbers a process's calls to other processes. On a reused connection, HTTP/1.1 matches replies to requests by their order
// alone: one surplus reply of a peer would shift all that follow. The zero value is ready to use, and safe for concurrent use.
type CallIDs struct{ last atomic.Uint32 }

// Next returns the id of the next call; never 0.
func (c *CallIDs) Next() uint32 { return c.last.Add(1)%(MaxCallIDs-1) + 1 }

// CheckReply returns ErrMismatchedReply unless the reply's id is that of the call.
func CheckReply(callID, replyID uint32) error {
	if callID == replyID {
		return nil
	}
	return errors.Mark(errors.Newf("distribution: call %d got the reply to call %d: retry on another connection", callID, replyID),
		ErrMismatchedReply)
}
