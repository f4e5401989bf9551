package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"sync"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// agent is a fake of discovery's agent on pipes, so that tests can use fake time. Each watch gets the
// next of its answers; once all are used, the last one again.
type agent struct {
	answers []func(out io.Writer)

	mu      sync.Mutex
	queries []string
}

// dial opens a connection to the agent.
func (a *agent) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer func() { _ = far.Close() }()
		in := bufio.NewReader(far)
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		a.mu.Lock()
		n := min(len(a.queries), len(a.answers)-1)
		a.queries = append(a.queries, r.URL.RawQuery)
		a.mu.Unlock()
		gone := make(chan struct{})
		go func() {
			defer close(gone)
			_, _ = io.Copy(io.Discard, in)
		}()
		a.answers[n](far)
		<-gone
	}()
	return near, nil
}

const watchHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// saying answers a watch with pieces, a moment apart, and then sends nothing more.
func sendPieces(pieces ...string) func(io.Writer) {
	return func(out io.Writer) {
		_, _ = io.WriteString(out, watchHead)
		chunks := httputil.NewChunkedWriter(out)
		for _, p := range pieces {
			_, _ = chunks.Write([]byte(p))
			time.Sleep(time.Millisecond)
		}
	}
}

func unresponsive(io.Writer) {}

// following returns a host that follows the list of an agent. It ends with the test's bubble.
func startFollower(t *testing.T, a *agent, mode string) *host {
	t.Helper()
	config, err := load(t, configText("127.0.0.1:9", "", strings.Replace(testSettings, `"discovery":"pushed"`, `"discovery":"`+mode+`"`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	driver, err := newHost(ctx, config, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	driver.discovery.client.DialContext = a.dial
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		driver.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
		driver.watchers.Wait()
		time.Sleep(time.Minute) // the agent's own pauses end
	})
	if err := driver.startFollowing(config); err != nil {
		t.Fatal(err)
	}
	return driver
}

// knows waits until a server is known, and returns how long that took; more than a minute means that it never was.
func (h *host) timeUntilKnown(id string) time.Duration {
	begun := time.Now()
	for known := false; !known && time.Since(begun) <= time.Minute; time.Sleep(10 * time.Millisecond) {
		h.ask(func() { known = h.balancer.Knows(id) })
	}
	return time.Since(begun)
}

func ids(l List) string {
	var all []string
	for _, t := range l.Targets {
		all = append(all, t.ID)
	}
	return strings.Join(all, " ")
}

// TestUnresponsiveWatch has a watch stop sending, and the watch that replaces it fail in each way:
// the sidecar must receive the changes that both missed before they count as known to it.
func TestUnresponsiveWatch(t *testing.T) {
	list := listText(7, true, entry("s-0", "127.0.0.1:1", "SERVING", 0))
	update := listText(8, true, entry("s-1", "127.0.0.1:1", "SERVING", 0))
	truncated := update[:len(update)/2]
	for name, second := range map[string]func(io.Writer){
		"answers":              sendPieces(update),
		"no headers":           unresponsive,
		"no list":              sendPieces(),
		"half a list":          sendPieces(truncated),
		"a list without end":   sendPieces(strings.Repeat(" ", 100), "{", "\n", " ", "\n", " ", "\n"),
		"heartbeats, no list":  func(out io.Writer) { heartbeats(out) },
		"a list that is wrong": sendPieces("[]\n"),
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				a := &agent{answers: []func(io.Writer){sendPieces(list, "\n"), second, sendPieces(update)}}
				h := startFollower(t, a, "pushed")
				if took := h.timeUntilKnown("s-0"); took > 100*time.Millisecond {
					t.Errorf("a new process received the list after %v", took)
				}
				if took := h.timeUntilKnown("s-1"); took > publishedWithin-500*time.Millisecond {
					t.Errorf("received the update %v after the watch stopped", took)
				}
				a.mu.Lock()
				defer a.mu.Unlock()
				if a.queries[0] != "watch=1" || a.queries[1] != "watch=1" {
					t.Errorf("queries %q, want the complete list from an agent that may have an update", a.queries)
				}
			})
		})
	}
}

// heartbeats is the answer of an agent that has no list: empty lines only.
func heartbeats(out io.Writer) {
	sendPieces()(out)
	chunks := httputil.NewChunkedWriter(out)
	for {
		if _, err := chunks.Write([]byte("\n")); err != nil {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// TestHeartbeats has a watch send only empty lines for long: that does not time out. It times out after the last one.
func TestHeartbeats(t *testing.T) {
	for _, pushed := range []bool{true, false} {
		bubble.Test(t, func(t *testing.T) {
			a := &agent{answers: []func(io.Writer){func(out io.Writer) {
				_, _ = io.WriteString(out, watchHead)
				chunks := httputil.NewChunkedWriter(out)
				_, _ = chunks.Write([]byte(listText(7, true)))
				for range 30 {
					time.Sleep(2 * time.Second)
					_, _ = chunks.Write([]byte("\n"))
				}
			}}}
			d := newDiscovery("127.0.0.1:9", time.Second, pushed)
			d.client.DialContext = a.dial
			begun := time.Now()
			err := d.watch(t.Context(), noVersion, 0, func(List) {})
			took := time.Since(begun)
			time.Sleep(time.Minute) // lets the agent's own pauses end, here and below
			if took != time.Minute+d.watchTimeout || !strings.Contains(fmt.Sprint(err), "nothing received for") {
				t.Errorf("ended after %v: %v", took, err)
			}
		})
	}
}

// TestUnresponsiveCall has a request for the list never answered: it times out early enough for
// another request before the list counts as known.
func TestUnresponsiveCall(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		d := newDiscovery("127.0.0.1:9", time.Second, false)
		d.client.DialContext = (&agent{answers: []func(io.Writer){unresponsive}}).dial
		begun := time.Now()
		err := d.watch(t.Context(), 7, 0, func(List) {})
		// The Balancer asks again a second later at most.
		if took := time.Since(begun); took > publishedWithin-time.Second || took <= 4*time.Second || err == nil {
			t.Errorf("ended after %v: %v", took, err)
		}
	})
}

// TestIndentedLists sends lists that span several lines, in pieces cut anywhere, two in one piece,
// and the last one without a line feed.
func TestIndentedLists(t *testing.T) {
	one := "{\n  \"rev\": 7,\n  \"all\": true,\n  \"targets\": [\n    " + entry("s-0", "127.0.0.1:1", "SERVING", 0) + "\n  ]\n}\n"
	two := strings.NewReplacer(": 7", ": 8", "s-0", "s-1").Replace(one)
	three := strings.NewReplacer(": 7", ": 9", "s-0", "s-2").Replace(strings.TrimSpace(one))
	for cut := 1; cut < len(one); cut += 7 {
		bubble.Test(t, func(t *testing.T) {
			d := newDiscovery("127.0.0.1:9", time.Second, true)
			d.client.DialContext = (&agent{answers: []func(io.Writer){sendPieces(one[:cut], one[cut:]+two[:cut], two[cut:], "\n", three)}}).dial
			var got []string
			err := d.watch(t.Context(), noVersion, time.Second, func(l List) { got = append(got, fmt.Sprint(l.Version, ids(l))) })
			time.Sleep(time.Minute)
			if s := strings.Join(got, ", "); s != "7s-0, 8s-1, 9s-2" {
				t.Errorf("cut at %d: %s (%v)", cut, s, err)
			}
		})
	}
}

// TestEndlessList sends a list that never ends, as fast as it is read.
func TestEndlessList(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		d := newDiscovery("127.0.0.1:9", time.Second, true)
		d.client.DialContext = (&agent{answers: []func(io.Writer){func(out io.Writer) {
			_, _ = io.WriteString(out, watchHead)
			chunks := httputil.NewChunkedWriter(out)
			for {
				if _, err := chunks.Write([]byte(strings.Repeat("[", 1<<16))); err != nil {
					return
				}
			}
		}}}).dial
		if err := d.watch(t.Context(), noVersion, 0, func(List) {}); err == nil || !strings.Contains(err.Error(), errBadList.Error()) {
			t.Errorf("error %v", err)
		}
	})
}

// TestMoves moves discovery while the old service is long gone, and has the new one not answer the
// first request: its list must be known before it counts as known, 4 s after the signal.
func TestMoves(t *testing.T) {
	update := listText(3, true, entry("s-1", "127.0.0.1:1", "SERVING", 0))
	for mode, first := range map[string]func(io.Writer){"pushed": unresponsive, "on_request": sendPieces(update)} {
		t.Run(mode, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				driver := startFollower(t, &agent{answers: []func(io.Writer){sendPieces(listText(9, true, entry("s-0", "127.0.0.1:1", "SERVING", 0)))}}, mode)
				dial := driver.discovery.client.DialContext
				next := &agent{answers: []func(io.Writer){first, sendPieces(update)}}
				driver.discovery.client.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
					switch {
					case address == "127.0.0.1:10":
						return next.dial(ctx, network, address)
					case time.Now().After(driver.origin.Add(originAge + 5*time.Second)):
						return nil, errors.New("refused")
					}
					return dial(ctx, network, address)
				}
				if took := driver.timeUntilKnown("s-0"); took > time.Minute {
					t.Fatal("the first list never arrived")
				}
				for range 10 { // the move may come at any time, between two requests or during one
					time.Sleep(1730 * time.Millisecond)
				}
				driver.post(func() { driver.moveTo("127.0.0.1:10") })
				if took := driver.timeUntilKnown("s-1"); took > 4*time.Second-500*time.Millisecond {
					t.Errorf("received the update %v after the move", took)
				}
			})
		})
	}
}

// TestNewProcess starts a process with an older list than its agent's: no request, from the first one
// on, may go by the older list.
func TestNewProcess(t *testing.T) {
	d := startRegistry(t)
	drained, kept := startBackend(t, respondWith(200, "", "drained")), startBackend(t, respondWith(200, "", "kept"))
	go func() {
		w := <-d.watches
		time.Sleep(100 * time.Millisecond) // a process that does not wait for the agent serves by now
		w.lines <- listText(42, true, entry("s-0", drained.address, "DRAINING", 0), entry("s-1", kept.address, "SERVING", 0))
	}()
	p := startDraining(t, configText(d.address, serving(41, drained), testSettings), drainTimes{agent: testTimeout, quietTime: time.Millisecond, finish: testTimeout})
	for range 10 {
		if g := p.ask("pay"); g.body != "kept" {
			t.Fatalf("a request went to a server that is draining by the agent's list: %+v", g)
		}
	}
}

// TestUnresponsiveAgent has an agent not answer a new process: after a while, the process serves with the list it knows.
func TestUnresponsiveAgent(t *testing.T) {
	known := startBackend(t, respondWith(200, "", "known"))
	p := startDraining(t, configText(startRegistry(t).address, serving(41, known), testSettings),
		drainTimes{agent: 10 * time.Millisecond, quietTime: time.Millisecond, finish: testTimeout})
	if g := p.ask("pay"); g.body != "known" {
		t.Errorf("answer %+v", g)
	}
}
