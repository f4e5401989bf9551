package distribution

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// largeConfigRecord returns a change to a complete configuration with one service and its routes, of about size bytes.
func largeConfigRecord(tb testing.TB, size int, random *rand.ChaCha8) controlstate.Record {
	tb.Helper()
	var b bytes.Buffer
	b.WriteString(`{"revision":1,"services":[{"name":"s"}],"routes":[`)
	for i := 0; b.Len() < size; i++ {
		if i > 0 {
			b.WriteByte(',')
		}
		name := make([]byte, 400)
		for j := range name {
			name[j] = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_"[random.Uint64()%64]
		}
		fmt.Fprintf(&b, `{"name":"r%d","hostname":"h.example","path_prefix":"/%d/%s/","category":"idempotent","timeout_ms":1000,"target":"s"}`, i, i, name)
	}
	b.WriteString(`]}`)
	return controlstate.Record{Op: controlstate.OpReplace, Base: 0, Body: b.Bytes()}
}

// slowTransport is a network in which replies arrive at a fixed number of bytes per 100 ms.
type slowTransport struct {
	next           http.RoundTripper
	bytesPerSecond int
}

type slowBody struct {
	io.ReadCloser
	ctx  context.Context
	rate int
}

func (n slowTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := n.next.RoundTrip(r)
	if err == nil {
		resp.Body = slowBody{resp.Body, r.Context(), n.bytesPerSecond}
	}
	return resp, err
}

func (b slowBody) Read(p []byte) (int, error) {
	if !sleep(b.ctx, 100*time.Millisecond) {
		return 0, errors.New("the call timed out")
	}
	return b.ReadCloser.Read(p[:min(len(p), b.rate)])
}

// TestLargeStateOverANarrowLink: a state of 2 MB that hardly compresses reaches a proxy over a link of 640 KB per second, and one of
// 16 MB, the largest that an operator may send, over a link of 4 MB per second. If the call were ended after a second or two, it would take
// as long the next time, and the proxy would never start.
func TestLargeStateOverANarrowLink(t *testing.T) {
	for _, c := range []struct{ size, rate int }{{2 << 20, 64 << 10}, {15 << 20, 400 << 10}} {
		bubble.Test(t, func(t *testing.T) {
			fleet := newFleet("k1:1")
			defer fleet.stop()
			fleet.chain.add(largeConfigRecord(t, c.size, rand.NewChaCha8([32]byte{1})))
			start := time.Now()
			proxy := fleet.startProxy("p", func(options *SubscriberOptions) { options.Transport = slowTransport{options.Transport, c.rate} })
			eventually(t, 10*time.Second, fmt.Sprint(c.size, " bytes arrive"), func() bool { return proxy.update().State != nil && proxy.update().State.Seq == 1 })
			t.Logf("%d bytes after %v", c.size, time.Since(start))
		})
	}
}

// TestNodeThatStallsMidReplyIsLeft: a reply that stops midway times out as soon as one that does not begin.
func TestNodeThatStallsMidReplyIsLeft(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleet("k1:1", "k2:1")
		defer fleet.stop()
		proxy := fleet.startProxy("p", func(options *SubscriberOptions) {
			options.Self.Zone, options.Transport = "zone-k1:1", stallingTransport{options.Transport, "k1:1"}
		})
		time.Sleep(3 * time.Second)
		seq := fleet.chain.add(largeConfigRecord(t, 256<<10, rand.NewChaCha8([32]byte{2})))
		eventually(t, 2*time.Second, "the change arrives", func() bool { return proxy.update().State.Seq == seq })
	})
}

// stallingTransport is a network in which a host's large replies stop after 64 KB.
type stallingTransport struct {
	next http.RoundTripper
	host string
}

type stallingBody struct {
	io.ReadCloser
	ctx  context.Context
	left int
}

func (s stallingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := s.next.RoundTrip(r)
	if err == nil && r.URL.Host == s.host {
		resp.Body = &stallingBody{resp.Body, r.Context(), 64 << 10}
	}
	return resp, err
}

func (b *stallingBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		<-b.ctx.Done()
		return 0, b.ctx.Err()
	}
	n, err := b.ReadCloser.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

// TestOneNodeAloneSendsItsState: a starting proxy probes several nodes, and gets the state from only one.
func TestOneNodeAloneSendsItsState(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleet("k1:1", "k2:1", "k3:1")
		defer fleet.stop()
		fleet.chain.add(largeConfigRecord(t, 600<<10, rand.NewChaCha8([32]byte{3})))
		time.Sleep(5 * time.Second)
		fleet.mesh.mu.Lock()
		before := fleet.mesh.bytes
		fleet.mesh.mu.Unlock()
		proxy := fleet.startProxy("p", nil)
		eventually(t, 400*time.Millisecond, "it starts", func() bool { return proxy.update().State != nil && proxy.update().State.Seq == 1 })
		time.Sleep(time.Second)
		fleet.mesh.mu.Lock()
		defer fleet.mesh.mu.Unlock()
		if got := fleet.mesh.bytes - before; got > 700<<10 {
			t.Errorf("%d bytes were transmitted", got)
		}
	})
}

// TestNodeThatFailsPollsIsRetriedWithBackoff: a node that replies to probes that it is current, but whose replies to polls do not arrive,
// is retried with a backoff.
func TestNodeThatFailsPollsIsRetriedWithBackoff(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleet("k1:1")
		defer fleet.stop()
		fleet.chain.add(largeConfigRecord(t, 600<<10, rand.NewChaCha8([32]byte{4})))
		fleet.startProxy("p", func(options *SubscriberOptions) { options.Transport = refusingTransport{options.Transport} })
		time.Sleep(10 * time.Second)
		fleet.mesh.mu.Lock()
		defer fleet.mesh.mu.Unlock()
		if fleet.mesh.calls > 300 {
			t.Errorf("%d messages were sent in 10 s", fleet.mesh.calls)
		}
	})
}

// refusingTransport is a network that loses replies of more than 4 KB.
type refusingTransport struct{ next http.RoundTripper }

func (r refusingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := r.next.RoundTrip(req)
	if err == nil && resp.ContentLength > 4<<10 {
		return nil, errors.New("too large for this network")
	}
	return resp, err
}
