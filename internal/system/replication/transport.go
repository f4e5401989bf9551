package replication

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

const (
	maxBatchBytes     = 64 << 20 // of a received request
	targetBatchBytes  = 1 << 20  // of a sent request; a single message may be larger
	maxQueuedMessages = 1024     // per address
	maxQueuedBytes    = 8 << 20
	messageTTL        = 500 * time.Millisecond // older messages are dropped: nodes resend what still matters
	sendersPerPeer    = 3                      // requests in flight to an address, so that a long round trip does not delay the next request
	requestTimeout    = 800 * time.Millisecond
	requestTimePerMB  = 2 * time.Second // added for large batches
	maxOutboxes       = 32
	outboxIdleTimeout = 30 * time.Second
)

// transport sends messages to other nodes, with one outbox per address. Messages may be lost, and may arrive out of order.
type transport struct {
	port         int
	roundTripper http.RoundTripper                   // nil: each outbox opens its own connections
	stopped      <-chan struct{}                     // closed when no more outboxes may be opened
	runSenders   func(run func(ctx context.Context)) // runs goroutines that end with the transport

	mu       sync.Mutex
	outboxes map[string]*outbox // by address
}

// outbox is the bounded queue of messages to one address. Its senders end when nothing has been sent for outboxIdleTimeout.
type outbox struct {
	owner                *transport
	addr                 string
	client               replicationpb.Replication
	closeIdleConnections func()

	mu         sync.Mutex
	queue      []queuedMessage
	bytes      int // of the queue
	wake       chan struct{}
	lastUsedAt time.Time
}

type queuedMessage struct {
	msg        *replicationpb.Message
	size       int
	enqueuedAt time.Time
}

// newTransport creates a transport whose goroutines end with ctx and are counted in wg.
func newTransport(ctx context.Context, wg *sync.WaitGroup, port int, roundTripper http.RoundTripper) *transport {
	runSenders := func(run func(ctx context.Context)) {
		ctx, cancel := context.WithCancel(ctx)
		endAll := sync.OnceFunc(cancel) // the senders of an outbox end together
		for range sendersPerPeer {
			wg.Go(func() {
				defer endAll()
				run(ctx)
			})
		}
	}
	return &transport{port: port, roundTripper: roundTripper, stopped: ctx.Done(), runSenders: runSenders, outboxes: map[string]*outbox{}}
}

// send queues a message. The message is dropped if there are too many outboxes, or the transport has stopped.
func (t *transport) send(e Envelope) {
	t.mu.Lock()
	box := t.outboxes[e.Addr]
	if box == nil && len(t.outboxes) < maxOutboxes && !t.isStopped() {
		box = t.open(e.Addr)
	}
	t.mu.Unlock()
	if box != nil {
		box.enqueue(e.Msg)
	}
}

func (t *transport) isStopped() bool {
	select {
	case <-t.stopped:
		return true
	default:
		return false
	}
}

// open opens an outbox and starts its senders. The caller holds mu.
func (t *transport) open(addr string) *outbox {
	roundTripper, closeIdleConnections := t.roundTripper, func() {}
	if roundTripper == nil {
		own := &http.Transport{
			DialContext:         (&net.Dialer{Timeout: requestTimeout, KeepAlive: -1}).DialContext,
			MaxIdleConnsPerHost: sendersPerPeer, MaxConnsPerHost: 2 * sendersPerPeer, IdleConnTimeout: outboxIdleTimeout,
			WriteBufferSize: 4 << 10, ReadBufferSize: 1 << 10,
		}
		roundTripper, closeIdleConnections = own, own.CloseIdleConnections
	}
	url := "http://" + net.JoinHostPort(addr, strconv.Itoa(t.port))
	box := &outbox{
		owner: t, addr: addr, closeIdleConnections: closeIdleConnections, wake: make(chan struct{}, sendersPerPeer), lastUsedAt: time.Now(),
		client: replicationpb.NewReplicationProtobufClient(url, &http.Client{Transport: roundTripper}),
	}
	t.outboxes[addr] = box
	t.runSenders(box.run)
	return box
}

// enqueue queues a message for the senders. A full queue is emptied first, since its messages are late already.
func (b *outbox) enqueue(msg *replicationpb.Message) {
	size := proto.Size(msg)
	b.mu.Lock()
	if len(b.queue) >= maxQueuedMessages || b.bytes+size > maxQueuedBytes && len(b.queue) > 0 {
		b.queue, b.bytes = nil, 0
	}
	b.queue = append(b.queue, queuedMessage{msg: msg, size: size, enqueuedAt: time.Now()})
	b.bytes += size
	b.lastUsedAt = time.Now()
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// dequeueBatch removes from the queue as many messages as one request may carry, discards those older than messageTTL, and returns
// the others with their size in bytes.
func (b *outbox) dequeueBatch() ([]*replicationpb.Message, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch []*replicationpb.Message
	size := 0
	for len(b.queue) > 0 && (size == 0 || size+b.queue[0].size <= targetBatchBytes) {
		next := b.queue[0]
		b.queue = b.queue[1:]
		b.bytes -= next.size
		if time.Since(next.enqueuedAt) <= messageTTL {
			batch = append(batch, next.msg)
			size += next.size
		}
	}
	if len(b.queue) == 0 {
		b.queue = nil
	}
	return batch, size
}

// run sends queued messages until ctx ends or the outbox is idle.
func (b *outbox) run(ctx context.Context) {
	defer b.closeIdleConnections()
	idle := time.NewTimer(outboxIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
			if b.closeIfIdle() {
				return
			}
			idle.Reset(outboxIdleTimeout)
		case <-b.wake:
			b.sendQueued(ctx)
		}
	}
}

// sendQueued sends batches until the queue is empty.
func (b *outbox) sendQueued(ctx context.Context) {
	for {
		batch, size := b.dequeueBatch()
		if len(batch) == 0 {
			return
		}
		b.sendBatch(ctx, batch, size)
	}
}

func (b *outbox) sendBatch(ctx context.Context, batch []*replicationpb.Message, size int) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout+time.Duration(size)*requestTimePerMB>>20)
	defer cancel()
	if _, err := b.client.Deliver(ctx, &replicationpb.Batch{Messages: batch}); err != nil {
		b.closeIdleConnections() // the next attempt gets a new connection
	}
}

// closeIfIdle removes the outbox if nothing was sent to it for outboxIdleTimeout, and reports whether it did.
func (b *outbox) closeIfIdle() bool {
	b.owner.mu.Lock()
	defer b.owner.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Since(b.lastUsedAt) < outboxIdleTimeout {
		return false
	}
	if b.owner.outboxes[b.addr] == b {
		delete(b.owner.outboxes, b.addr)
	}
	return true
}
