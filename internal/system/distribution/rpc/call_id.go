package rpc

import (
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrMismatchedReply marks a reply that belongs to another call. Close the connection and call again.
var ErrMismatchedReply = errors.New("distribution: a reply that belongs to another call")

// MaxCallIDs is how many call ids there are: more than calls are in flight, and few enough to be short on the wire.
const MaxCallIDs = 1 << 14

// CallIDs numbers the calls of a process to others. On a connection that is used again, HTTP/1.1 tells a reply from another by its
// place alone: a peer that replies once too often would shift all that follow. The zero value is ready, and safe for concurrent use.
type CallIDs struct{ last atomic.Uint32 }

// Next returns the id of a call; never 0.
func (c *CallIDs) Next() uint32 { return c.last.Add(1)%(MaxCallIDs-1) + 1 }

// CheckReply fails with ErrMismatchedReply unless the reply's id is that of the call.
func CheckReply(callID, replyID uint32) error {
	if callID == replyID {
		return nil
	}
	return errors.Mark(errors.Newf("distribution: call %d got the reply to call %d: ask again on another connection", callID, replyID),
		ErrMismatchedReply)
}
