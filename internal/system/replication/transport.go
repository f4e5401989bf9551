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
	maxBatchBytes     = 64 << 20
	targetBatchBytes  = 1 << 20
	maxQueuedMessages = 1024
	maxQueuedBytes    = 8 << 20
	messageTTL        = 500 * time.Millisecond // older messages are dropped: peers repeat what still matters
	sendersPerPeer    = 3                      // requests under way to a peer, so that a long way does not hold up the next
	requestTimeout    = 800 * time.Millisecond
	requestTimePerMB  = 2 * time.Second // more for large batches
	maxOutboxes       = 32
	outboxIdleTimeout = 30 * time.Second
)

// transport sends messages, each peer on its own.
type transport struct {
	ctx          context.Context
	wg           *sync.WaitGroup
	port         int
	roundTripper http.RoundTripper

	mu       sync.Mutex
	outboxes map[string]*outbox
}

// outbox is the bounded queue to one address.
type outbox struct {
	owner                *transport
	addr                 string
	client               replicationpb.Replication
	closeIdleConnections func()
	cancel               context.CancelFunc

	mu         sync.Mutex
	queue      []queuedMessage
	bytes      int
	wake       chan struct{}
	lastUsedAt time.Time
}

type queuedMessage struct {
	msg        *replicationpb.Message
	size       int
	enqueuedAt time.Time
}

func newTransport(ctx context.Context, wg *sync.WaitGroup, port int, t http.RoundTripper) *transport {
	return &transport{ctx: ctx, wg: wg, port: port, roundTripper: t, outboxes: map[string]*outbox{}}
}

func (o *transport) send(e Envelope) {
	o.mu.Lock()
	b := o.outboxes[e.Addr]
	if b == nil && len(o.outboxes) < maxOutboxes && o.ctx.Err() == nil {
		b = o.open(e.Addr)
	}
	o.mu.Unlock()
	if b != nil {
		b.enqueue(e.Msg)
	}
}

func (o *transport) open(addr string) *outbox {
	t, idle := o.roundTripper, func() {}
	if t == nil {
		own := &http.Transport{
			DialContext:         (&net.Dialer{Timeout: requestTimeout, KeepAlive: -1}).DialContext,
			MaxIdleConnsPerHost: sendersPerPeer, MaxConnsPerHost: 2 * sendersPerPeer, IdleConnTimeout: outboxIdleTimeout,
			WriteBufferSize: 4 << 10, ReadBufferSize: 1 << 10,
		}
		t, idle = own, own.CloseIdleConnections
	}
	b := &outbox{
		owner: o, addr: addr, closeIdleConnections: idle, wake: make(chan struct{}, sendersPerPeer), lastUsedAt: time.Now(),
		client: replicationpb.NewReplicationProtobufClient("http://"+net.JoinHostPort(addr, strconv.Itoa(o.port)), &http.Client{Transport: t}),
	}
	o.outboxes[addr] = b
	var ctx context.Context
	ctx, b.cancel = context.WithCancel(o.ctx)
	for range sendersPerPeer {
		o.wg.Go(func() {
			defer b.cancel()
			b.run(ctx)
		})
	}
	return b
}

func (b *outbox) enqueue(m *replicationpb.Message) {
	size := proto.Size(m)
	b.mu.Lock()
	if len(b.queue) >= maxQueuedMessages || b.bytes+size > maxQueuedBytes && len(b.queue) > 0 {
		b.queue, b.bytes = nil, 0
	}
	b.queue = append(b.queue, queuedMessage{m, size, time.Now()})
	b.bytes += size
	b.lastUsedAt = time.Now()
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// dequeueBatch empties the queue as far as one request goes.
func (b *outbox) dequeueBatch() ([]*replicationpb.Message, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*replicationpb.Message
	size := 0
	for len(b.queue) > 0 && (size == 0 || size+b.queue[0].size <= targetBatchBytes) {
		l := b.queue[0]
		b.queue = b.queue[1:]
		b.bytes -= l.size
		if time.Since(l.enqueuedAt) <= messageTTL {
			out = append(out, l.msg)
			size += l.size
		}
	}
	if len(b.queue) == 0 {
		b.queue = nil
	}
	return out, size
}

func (b *outbox) run(ctx context.Context) {
	t := time.NewTimer(outboxIdleTimeout)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			b.closeIdleConnections()
			return
		case <-t.C:
			if b.closeIfIdle() {
				b.closeIdleConnections()
				return
			}
			t.Reset(outboxIdleTimeout)
			continue
		case <-b.wake:
		}
		for {
			msgs, size := b.dequeueBatch()
			if len(msgs) == 0 {
				break
			}
			b.sendBatch(ctx, msgs, size)
		}
	}
}

func (b *outbox) sendBatch(ctx context.Context, msgs []*replicationpb.Message, size int) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout+time.Duration(size)*requestTimePerMB>>20)
	defer cancel()
	if _, err := b.client.Deliver(ctx, &replicationpb.Batch{Messages: msgs}); err != nil {
		b.closeIdleConnections() // the next try gets a new connection
	}
}

// closeIfIdle closes a outbox that nothing was sent to for long.
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
