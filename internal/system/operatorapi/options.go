package operatorapi

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// The bounds of a request. Callers try another node after a second without a response, or later if the body is large.
const (
	maxBodyBytes       = 16 << 20
	largeBodyBytes     = 256 << 10 // larger bodies get the longer time-outs
	maxTotalBodyBytes  = 32 << 20  // of all bodies in memory
	bodyTimeout        = 10 * time.Second
	chainTimeout       = 700 * time.Millisecond
	largeChangeTimeout = 2500 * time.Millisecond
	deliveryTimeout    = 300 * time.Millisecond
	responseTimeout    = 900 * time.Millisecond // of the entire request, if its body is not large
)

// Chain replicates changes (package replication). After an error a change may or may not be applied.
type Chain interface {
	// Submit returns the verdict on a change once every record on which the verdict depends is durable on every replica.
	Submit(ctx context.Context, change controlstate.Change) (controlstate.Verdict, error)
	// Read returns a state that contains all changes that were acknowledged before the call (a linearizable read).
	Read(ctx context.Context) (*controlstate.State, error)
}

// Options configure Handler. Only Chain is required.
type Options struct {
	Chain Chain
	// WaitDelivered waits until the connected proxies have the record numbered seq, or ctx ends. Nil: no wait.
	WaitDelivered func(ctx context.Context, seq uint64)
	// CommittedState returns the newest committed state of this node without asking the others, so that it may lag. It provides the
	// revision in a 412 response. If it is nil or returns nil, the response has none.
	CommittedState func() *controlstate.State
	// Partitioned reports whether this node has been partitioned from the chain for so long that a change would not be
	// committed. Changes are then answered with 503 immediately and are not forwarded. Nil: never.
	Partitioned func() bool
	// WaitsFor describes what changes wait for, as part of a sentence that goes into the response to a change that is not durable in
	// time. It returns an empty string if that is not known. Nil: never known.
	WaitsFor func() string
	// Status returns the value that GET /status encodes as JSON. Nil: an empty object.
	Status func() any
	// Backup serves GET /backup. Nil: the path does not exist.
	Backup http.Handler
	// AckTimeout is the deployment's ack_ms, the longest time for which an unacknowledged change may still take effect; the wait
	// for its delivery takes at most an eighth of it. 0: 5 s.
	AckTimeout time.Duration
	// Log receives the node's log. Nil: the default log.
	Log log.Interface

	knobs TestingKnobs
}
