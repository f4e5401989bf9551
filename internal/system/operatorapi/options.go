package operatorapi

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// The bounds of a request. Callers go on to another node after a second without a response, later where the body is large.
const (
	maxBodyBytes       = 16 << 20
	largeBodyBytes     = 256 << 10 // bodies above it get the longer time-outs
	maxTotalBodyBytes  = 32 << 20  // of all bodies in memory
	bodyTimeout        = 10 * time.Second
	chainTimeout       = 700 * time.Millisecond
	largeChangeTimeout = 2500 * time.Millisecond
	deliveryTimeout    = 300 * time.Millisecond
	responseTimeout    = 900 * time.Millisecond // of the whole request, where its body is not large
)

// Chain replicates changes (package replication). After an error a change may or may not be applied.
type Chain interface {
	// Submit returns the verdict on a change once everything that the verdict rests on is durable on every replica.
	Submit(ctx context.Context, change controlstate.Change) (controlstate.Verdict, error)
	// Read returns a state that contains all changes that were acknowledged before the call (a linearizable read).
	Read(ctx context.Context) (*controlstate.State, error)
}

// Options configure Handler. Only Chain is required.
type Options struct {
	Chain Chain
	// WaitDelivered waits until the connected proxies have the record numbered seq, or ctx ends. Nil: no wait.
	WaitDelivered func(ctx context.Context, seq uint64)
	// CommittedState returns the newest committed state of this node without asking the others, so that it may lag. It is the
	// fence of evacuations, and gives the revision that a 412 names. Where it is nil or returns nil, the state of a linearizable
	// read that begins when the request has arrived is the fence.
	CommittedState func() *controlstate.State
	// Stalled reports whether the process was paused a moment ago (see StallDetector). Evacuations are rejected meanwhile.
	// Nil: never.
	Stalled func() bool
	// Partitioned reports whether this node has been without a way to the chain for so long that a change would not be
	// committed. Changes are then answered with 503 at once and are not forwarded. Nil: never.
	Partitioned func() bool
	// WaitsFor says what a change waits for, as part of a sentence, which responses to changes that are not durable in time then name. It
	// returns nothing where that is not known. Nil: never known.
	WaitsFor func() string
	// Status returns what GET /status answers as JSON. Nil: an empty object.
	Status func() any
	// Backup serves GET /backup. Nil: the path does not exist.
	Backup http.Handler
	// AckTimeout is the deployment's ack_ms, the longest life of a change that is not acknowledged; the wait for its delivery
	// takes an eighth of it at most. 0: 5 s.
	AckTimeout time.Duration
	// Log receives the node's log. Nil: the default log.
	Log log.Interface

	knobs TestingKnobs
}
