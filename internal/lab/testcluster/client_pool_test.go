package testcluster

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

func TestSortByDistance(t *testing.T) {
	all := []Directory{{"far", "s-a", "s"}, {"region", "n-b", "n"}, {"zone", "n-a", "n"}, {"far2", "s-a", "s"}}
	var got []string
	for _, d := range sortByDistance(all, "n-a", "n") {
		got = append(got, d.Address)
	}
	if want := []string{"zone", "region", "far", "far2"}; !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

// directories answers GET /resolve by address: with a body, or not at all where there is none.
type directories struct {
	bodies map[string]string
	asked  []string
}

// RoundTrip implements http.RoundTripper.
func (d *directories) RoundTrip(r *http.Request) (*http.Response, error) {
	d.asked = append(d.asked, r.URL.Host+"?"+r.URL.RawQuery)
	body, ok := d.bodies[r.URL.Host]
	if !ok {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body)), Header: http.Header{}, Request: r}, nil
}

// TestResolve checks PROTOCOL.md "Ingress": three directories at most are asked, a second for each; an answer without addresses or TTL fails.
func TestResolve(t *testing.T) {
	const good = `{"addresses":["10.1.0.13:8161"],"ttl_s":2}`
	for _, test := range []struct {
		name   string
		bodies map[string]string
		ttl    time.Duration
		asked  int
		took   time.Duration
	}{
		{"the first answers", map[string]string{"d1": good}, 2 * time.Second, 1, 0},
		{"two are silent", map[string]string{"d3": good}, 2 * time.Second, 3, 2 * time.Second},
		{"three are silent", map[string]string{"d4": good}, 0, 3, 3 * time.Second},
		{"no addresses", map[string]string{"d1": `{"addresses":[],"ttl_s":2}`, "d2": good}, 2 * time.Second, 2, 0},
		{"no time", map[string]string{"d1": `{"addresses":["a"]}`, "d2": good}, 2 * time.Second, 2, 0},
		{"no JSON", map[string]string{"d1": `oops`, "d2": good}, 2 * time.Second, 2, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				d := &directories{bodies: test.bodies}
				pool := &clientPool{resolver: resolver{"h", "n-a", "n", &http.Client{Transport: d}}, resolvedOnce: make(chan struct{}),
					directories: []Directory{{Address: "d1"}, {Address: "d2"}, {Address: "d3"}, {Address: "d4"}}}
				start := time.Now()
				ttl := pool.resolve(t.Context())
				if ttl != test.ttl || len(d.asked) != test.asked || time.Since(start) != test.took {
					t.Errorf("%v after %v, asked %v", ttl, time.Since(start), d.asked)
				}
				if d.asked[0] != "d1?name=h&region=n&zone=n-a" {
					t.Errorf("asked %s", d.asked[0])
				}
				if ttl == 0 {
					if pool.directories[0].Address != "d4" {
						t.Errorf("the fourth does not get its turn: %v", pool.directories)
					}
					return
				}
				<-pool.resolvedOnce
			})
		})
	}
}

// TestPickAddress checks that addresses that failed are not drawn before the next answer, unless all have failed.
func TestPickAddress(t *testing.T) {
	pool := &clientPool{rng: rand.New(rand.NewPCG(1, 1)), resolvedOnce: make(chan struct{})}
	if _, ok := pool.pickAddress(); ok {
		t.Error("there is an address before any answer")
	}
	pool.applyAddresses([]string{"a", "b", "c"})
	pool.markFailed("a")
	pool.markFailed("c")
	drawn := func() string {
		seen := map[string]bool{}
		for range 100 {
			a, _ := pool.pickAddress()
			seen[a] = true
		}
		return fmt.Sprint(len(seen), seen["b"])
	}
	if got := drawn(); got != "1 true" {
		t.Error(got)
	}
	pool.markFailed("b")
	if got := drawn(); got != "3 true" {
		t.Error(got)
	}
	pool.applyAddresses([]string{"a", "b"})
	if got := drawn(); got != "2 true" {
		t.Error(got)
	}
}

// TestClassifyEnd checks what the end of a connection means for the request. A request that was read must never count as unread.
func TestClassifyEnd(t *testing.T) {
	for _, test := range []struct {
		name string
		peer func(net.Conn)
		want rules.Outcome
	}{
		{"read, then closed", func(test net.Conn) { readHead(test) }, rules.Truncated},
		{"closed unread", func(test net.Conn) { _, _ = test.Read(make([]byte, 1)) }, rules.ClosedUnread}, // the rest lies in the socket
		{"cut amid the answer", func(test net.Conn) {
			readHead(test)
			_, _ = io.WriteString(test, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab")
		}, rules.Truncated},
		{"cut amid the head", func(test net.Conn) { readHead(test); _, _ = io.WriteString(test, "HTTP/1.1 200 OK\r\nCont") }, rules.Truncated},
		{"a malformed head", func(test net.Conn) { readHead(test); _, _ = io.WriteString(test, "HTTP/1.1 200 OK\r\nCont\r\n\r\n") }, rules.Malformed},
		{"no answer", func(test net.Conn) { readHead(test); _, _ = io.WriteString(test, "oops, this is not HTTP\r\n\r\n") }, rules.Malformed},
		{"answered", func(test net.Conn) {
			readHead(test)
			_, _ = io.WriteString(test, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab")
		}, rules.Answered},
	} {
		t.Run(test.name, func(t *testing.T) {
			listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			go func() {
				peer, err := listener.Accept()
				if err != nil {
					return
				}
				test.peer(peer)
				_ = peer.Close()
			}()
			client, err := dial(t.Context(), listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = client.tcp.Close() }()
			try := &rules.Attempt{ID: "one", Method: "POST", Path: "/", Host: "h"}
			client.exchange(&attemptSpec{attempt: try, deadline: time.Now().Add(10 * time.Second)}, func() time.Duration { return 0 })
			if try.Outcome != test.want {
				t.Errorf("%v, want %v", try.Outcome, test.want)
			}
		})
	}
}

// readHead reads a request without a body.
func readHead(c net.Conn) {
	var text []byte
	one := make([]byte, 1)
	for !strings.HasSuffix(string(text), "\r\n\r\n") {
		if _, err := c.Read(one); err != nil {
			return
		}
		text = append(text, one[0])
	}
}

// TestIdleConnectionsExpire guards against descriptors that run out: connections that were idle for too long are closed, also where newer ones are taken
// before them.
func TestIdleConnectionsExpire(t *testing.T) {
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	address := listener.Addr().String()
	var now time.Duration
	pool := &clientPool{addresses: []string{address}, now: func() time.Duration { return now }, resolver: resolver{http: &http.Client{}}}
	defer pool.closeAll()
	const opened, used = 20, 3
	for range opened {
		pool.putIdle(dialTest(t, address))
	}
	for range 10 {
		now += clientIdleTimeout / 2
		var taken []*clientConn
		for range used {
			if c := pool.takeIdle(); c != nil {
				taken = append(taken, c)
			}
		}
		for _, c := range taken {
			pool.putIdle(c)
		}
	}
	if len(pool.idle) != used {
		t.Errorf("%d connections are idle, and %d are in use", len(pool.idle), used)
	}
}

func dialTest(t *testing.T, address string) *clientConn {
	t.Helper()
	c, err := dial(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	return c
}
