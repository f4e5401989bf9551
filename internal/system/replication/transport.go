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
	maxBatch     = 64 << 20
	batchBytes   = 1 << 20
	queueLength  = 1024
	queueBytes   = 8 << 20
	queueAge     = 500 * time.Millisecond // older messages are dropped: peers repeat what still matters
	posters      = 3                      // requests under way to a peer, so that a long way does not hold up the next
	postTimeout  = 800 * time.Millisecond
	postPerMB    = 2 * time.Second // more for large batches
	maxMailboxes = 32
	mailboxIdle  = 30 * time.Second
)

// transport sends messages, each peer on its own.
type transport struct {
	ctx       context.Context
	wg        *sync.WaitGroup
	port      int
	transport http.RoundTripper

	mu    sync.Mutex
	boxes map[string]*mailbox
}

// mailbox is the bounded queue to one address.
type mailbox struct {
	office *transport
	addr   string
	client replicationpb.Replication
	idle   func()
	end    context.CancelFunc

	mu    sync.Mutex
	queue []letter
	bytes int
	wake  chan struct{}
	used  time.Time
}

type letter struct {
	msg  *replicationpb.Message
	size int
	at   time.Time
}

func newTransport(ctx context.Context, wg *sync.WaitGroup, port int, t http.RoundTripper) *transport {
	return &transport{ctx: ctx, wg: wg, port: port, transport: t, boxes: map[string]*mailbox{}}
}

func (o *transport) send(e Envelope) {
	o.mu.Lock()
	b := o.boxes[e.Addr]
	if b == nil && len(o.boxes) < maxMailboxes && o.ctx.Err() == nil {
		b = o.open(e.Addr)
	}
	o.mu.Unlock()
	if b != nil {
		b.put(e.Msg)
	}
}

func (o *transport) open(addr string) *mailbox {
	t, idle := o.transport, func() {}
	if t == nil {
		own := &http.Transport{
			DialContext:         (&net.Dialer{Timeout: postTimeout, KeepAlive: -1}).DialContext,
			MaxIdleConnsPerHost: posters, MaxConnsPerHost: 2 * posters, IdleConnTimeout: mailboxIdle,
			WriteBufferSize: 4 << 10, ReadBufferSize: 1 << 10,
		}
		t, idle = own, own.CloseIdleConnections
	}
	b := &mailbox{
		office: o, addr: addr, idle: idle, wake: make(chan struct{}, posters), used: time.Now(),
		client: replicationpb.NewReplicationProtobufClient("http://"+net.JoinHostPort(addr, strconv.Itoa(o.port)), &http.Client{Transport: t}),
	}
	o.boxes[addr] = b
	var ctx context.Context
	ctx, b.end = context.WithCancel(o.ctx)
	for range posters {
		o.wg.Go(func() {
			defer b.end()
			b.run(ctx)
		})
	}
	return b
}

func (b *mailbox) put(m *replicationpb.Message) {
	size := proto.Size(m)
	b.mu.Lock()
	if len(b.queue) >= queueLength || b.bytes+size > queueBytes && len(b.queue) > 0 {
		b.queue, b.bytes = nil, 0
	}
	b.queue = append(b.queue, letter{m, size, time.Now()})
	b.bytes += size
	b.used = time.Now()
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// take empties the queue as far as one request goes.
func (b *mailbox) take() ([]*replicationpb.Message, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*replicationpb.Message
	size := 0
	for len(b.queue) > 0 && (size == 0 || size+b.queue[0].size <= batchBytes) {
		l := b.queue[0]
		b.queue = b.queue[1:]
		b.bytes -= l.size
		if time.Since(l.at) <= queueAge {
			out = append(out, l.msg)
			size += l.size
		}
	}
	if len(b.queue) == 0 {
		b.queue = nil
	}
	return out, size
}

func (b *mailbox) run(ctx context.Context) {
	t := time.NewTimer(mailboxIdle)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			b.idle()
			return
		case <-t.C:
			if b.forgotten() {
				b.idle()
				return
			}
			t.Reset(mailboxIdle)
			continue
		case <-b.wake:
		}
		for {
			msgs, size := b.take()
			if len(msgs) == 0 {
				break
			}
			b.post(ctx, msgs, size)
		}
	}
}

func (b *mailbox) post(ctx context.Context, msgs []*replicationpb.Message, size int) {
	ctx, cancel := context.WithTimeout(ctx, postTimeout+time.Duration(size)*postPerMB>>20)
	defer cancel()
	if _, err := b.client.Deliver(ctx, &replicationpb.Batch{Messages: msgs}); err != nil {
		b.idle() // the next try gets a new connection
	}
}

// forgotten closes a mailbox that nothing was sent to for long.
func (b *mailbox) forgotten() bool {
	b.office.mu.Lock()
	defer b.office.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Since(b.used) < mailboxIdle {
		return false
	}
	if b.office.boxes[b.addr] == b {
		delete(b.office.boxes, b.addr)
	}
	return true
}
