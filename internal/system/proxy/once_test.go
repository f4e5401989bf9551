package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"pgregory.net/rapid"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// scenario is a run of scripted clients and servers around one proxy.
type scenario struct {
	Category  config.Category
	Resumable bool
	MaxTries  int
	Servers   [][]behaviour
	Steps     []step
}

// shortPatience is how long a server may be silent: less than the clients of a scenario with silent servers wait.
const shortPatience = 20 * time.Millisecond

// step is what a client does, once the step before has ended.
type step struct {
	Way    string // "plain", "pipelined", "gone", "halfclosed", "slow", "expect", "trailers" or "twice"
	Method string
	Big    bool // a body that does not go out with the head in one write
}

// scenarios draws them. A quarter of all behaviours is sound, so that connections are used again.
var scenarios = rapid.Custom(func(t *rapid.T) scenario {
	s := scenario{Category: rapid.SampledFrom([]config.Category{config.NonIdempotent, config.Idempotent, config.Streaming, config.Streaming}).Draw(t, "category"),
		MaxTries: rapid.IntRange(1, 3).Draw(t, "tries")}
	s.Resumable = s.Category == config.Streaming && rapid.Bool().Draw(t, "resumable")
	for range rapid.IntRange(1, 3).Draw(t, "servers") {
		s.Servers = append(s.Servers, rapid.SliceOfN(behaviours, 1, 5).Draw(t, "behaviours"))
	}
	s.Steps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{Way: rapid.SampledFrom([]string{"plain", "plain", "plain", "plain", "pipelined", "gone", "halfclosed", "slow",
			"expect", "trailers", "twice"}).Draw(t, "way"),
			Method: rapid.SampledFrom([]string{"POST", "POST", "GET", "HEAD"}).Draw(t, "method"), Big: rapid.IntRange(0, 4).Draw(t, "big") == 4}
	}), 1, 6).Draw(t, "steps")
	return s
})

var behaviours = rapid.Custom(func(t *rapid.T) behaviour {
	b := well
	b.Framing = rapid.SampledFrom([]string{"length", "chunked"}).Draw(t, "framing")
	rare := func(label string) bool { return rapid.IntRange(0, 5).Draw(t, label) == 5 }
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 3: // another answer
		b.Status = rapid.SampledFrom([]int{200, 204, 302, 400, 404, 408, 421, 429, 500, 503, 504}).Draw(t, "status")
		b.NotExecuted = rapid.Bool().Draw(t, "not executed")
		b.Echo = rapid.SampledFrom([]echo{ownID, ownID, otherID, earlierID, noID}).Draw(t, "echo")
		if b.Status == 204 {
			b.Framing = "length"
			b.Status = 201
		}
	case 4: // an answer that is none
		b.Unsealed, b.Encoded, b.Garbage, b.Early = rare("unsealed"), rare("encoded"), rare("garbage"), rare("early")
		b.Interims = rapid.IntRange(0, 5).Draw(t, "interims")
		b.Framing = rapid.SampledFrom([]string{"length", "chunked", "none", "both", "twice"}).Draw(t, "odd framing")
		if b.Closes = rare("closes"); b.Framing == "none" {
			b.Cut, b.Then = rapid.IntRange(800, 1000).Draw(t, "end"), halfClose
		}
	case 5, 6, 7: // one that is cut, or followed by something
		b.Cut = rapid.SampledFrom([]int{0, 100, 300, 500, 650, 750, 850, 920, 960, 990, 1000}).Draw(t, "cut")
		b.Then = rapid.SampledFrom([]then{stay, halfClose, resetIt}).Draw(t, "then")
		b.Early, b.Repeats, b.Late = rapid.Bool().Draw(t, "early"), rare("repeats"), rapid.Bool().Draw(t, "late")
	case 2: // what comes between two answers
		b.Surplus = rapid.SampledFrom([]surplusAt{noSurplus, samePacket, whileIdle, withNext}).Draw(t, "surplus")
		b.CloseIdle, b.CloseRace = rapid.Bool().Draw(t, "close idle"), rapid.Bool().Draw(t, "close race")
	}
	return b
})

// world is a scenario that is being played.
type world struct {
	scenario
	*script
	address string
	wait    string // X-Time-Left-Ms

	mu     sync.Mutex
	got    []outcome
	main   net.Conn // kept for many requests
	reader *bufio.Reader
}

// outcome is what a client saw of one request; sends: with how many requests of one id.
type outcome struct {
	id, method string
	sends      int
	broken     bool // no head of an answer came
	status     int
	echo, seal string
	body       string
	err        error // where the body broke off
}

// play plays a scenario and tells what it broke.
func play(s scenario, without removed) error { return playInto(s, without, map[string]int64{}) }

// playInto adds to a tally of what the proxy did.
func playInto(s scenario, without removed, tally map[string]int64) error {
	w := &world{scenario: s, script: &script{stream: s.Category == config.Streaming, resumable: s.Resumable}, wait: "4000"}
	defer w.stop()
	route := &config.Route{Name: "r", Host: "h.example", Prefix: "/a/", Category: s.Category, Resumable: s.Resumable,
		Timeout: 8 * time.Second, MaxAttempts: s.MaxTries, Shares: []config.Share{{Service: "s", Weight: 1}}}
	world := pick.ClusterState{Config: &config.Config{Revision: 1, Routes: []*config.Route{route},
		Services: map[string]*config.Service{"s": {Name: "s", MaxConns: 100}},
		Limits:   config.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20}}}
	for i, will := range s.Servers {
		server, err := w.start(will)
		if err != nil {
			return err
		}
		for _, b := range will {
			if b.hangs() {
				w.wait = "90"
			}
		}
		world.Servers = append(world.Servers, pick.Server{ID: fmt.Sprint("i-", i), Service: "s", Address: server.l.Addr().String()})
	}
	toy := &toyPicker{route: route, down: map[string]bool{}, sent: map[uint64]string{}}
	p := newProxy(Options{Log: &log.Logger{Handler: discard.New()}, without: without,
		patience: shortPatience, gap: shortPatience}, toy)
	p.upstream.near = patience
	p.UpdateClusterState(time.Now(), world)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.address = l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- p.Serve(ctx, l) }()
	err = w.run()
	cancel()
	if e := <-ended; err == nil {
		err = e
	}
	w.stop()
	n := &p.counters
	for name, count := range map[string]*atomic.Int64{"reused": &n.Reused, "repeats": &n.Retries, "resumed": &n.Resumed,
		"moved": &n.Abandoned, "stale": &n.Stale, "surplus": &n.Surplus, "mismatch": &n.Mismatch, "cut": &n.Truncated, "served": &n.Served,
		"timed out": &n.TimedOut, "refused": &n.Refused, "broken": &n.Failed, "gone": &n.ClientGone, "unframed": &n.Unframed} {
		tally[name] += count.Load()
	}
	if err != nil {
		return err
	}
	return w.judge()
}

// run goes through the steps.
func (w *world) run() error {
	defer w.hangUp()
	for n, at := range w.Steps {
		for _, do := range w.take(&w.idle) {
			do()
		}
		var racing sync.WaitGroup
		for _, do := range w.take(&w.race) {
			racing.Go(do)
		}
		err := w.step(fmt.Sprint("id-", n), at)
		racing.Wait()
		if err != nil {
			return fmt.Errorf("step %d: %w", n, err)
		}
	}
	return w.quietEnd()
}

func (w *world) hangUp() {
	if w.main != nil {
		_ = w.main.Close()
		w.main = nil
	}
}

// quietEnd looks whether anything comes on the kept connection where no request waits.
func (w *world) quietEnd() error {
	if w.main == nil {
		return nil
	}
	if err := w.main.(*net.TCPConn).CloseWrite(); err != nil {
		return nil // closed by the proxy
	}
	if rest, _ := io.ReadAll(w.reader); len(rest) > 0 {
		return fmt.Errorf("bytes that no request waits for: %.60q", rest)
	}
	return nil
}

func (w *world) dial() (net.Conn, error) {
	c, err := net.Dial("tcp4", w.address)
	if err == nil {
		err = c.SetDeadline(time.Now().Add(patience))
	}
	return c, err
}

// step does what a client does, on the kept connection or on one of its own.
func (w *world) step(id string, at step) error {
	switch at.Way {
	case "gone", "halfclosed", "twice":
		sends := 1
		if at.Way == "twice" {
			sends = 2
		}
		var asking sync.WaitGroup
		var failed error
		for range sends {
			c, err := w.dial()
			if err != nil {
				return err
			}
			asking.Go(func() {
				defer c.Close()
				w.sendHead(c, id, at, "")
				if at.Way == "gone" {
					return
				}
				if at.Way == "halfclosed" {
					_ = c.(*net.TCPConn).CloseWrite()
				}
				w.receive(c, bufio.NewReader(c), id, at.Method, sends)
			})
		}
		asking.Wait()
		return failed
	}
	if w.main == nil {
		c, err := w.dial()
		if err != nil {
			return err
		}
		w.main, w.reader = c, bufio.NewReader(c)
	}
	if at.Way == "pipelined" {
		both := at
		both.Way = "plain"
		w.sendHead(w.main, id+"-0", both, "")
		w.sendHead(w.main, id+"-1", both, "")
		if w.receive(w.main, w.reader, id+"-0", at.Method, 1) {
			w.receive(w.main, w.reader, id+"-1", at.Method, 1)
		}
		return nil
	}
	w.sendHead(w.main, id, at, "Expect: 100-continue\r\n")
	w.receive(w.main, w.reader, id, at.Method, 1)
	return nil
}

// sendHead sends a request. Its body begins with its id and method. What the proxy takes no more is not its fault.
func (w *world) sendHead(c net.Conn, id string, at step, expect string) {
	body := ""
	if at.Method == http.MethodPost {
		if body = id + " POST"; at.Big {
			body += strings.Repeat(".", 2<<20)
		}
	}
	text := fmt.Sprintf("%s /a/%s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Time-Left-Ms: %s\r\n", at.Method, id, id, w.wait)
	switch {
	case body == "":
		_, _ = io.WriteString(c, text+"\r\n")
	case at.Way == "trailers":
		half := len(body) / 2
		_, _ = io.WriteString(c, text+"Trailer: X-T\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk(body[:half])+chunk(body[half:])+
			"0\r\nX-T: 1\r\n\r\n")
	case at.Way == "slow":
		_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", text, len(body))
		for _, part := range []string{body[:2], body[2:]} {
			_, _ = io.WriteString(c, part)
		}
	case at.Way == "expect":
		_, _ = fmt.Fprintf(c, "%s%sContent-Length: %d\r\n\r\n", text, expect, len(body))
		if line, err := w.reader.Peek(len("HTTP/1.1 100")); err == nil && string(line) == "HTTP/1.1 100" {
			_, _ = io.WriteString(c, body)
		}
	default:
		_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", text, len(body), body)
	}
}

// receive reads one answer, records it, and tells whether the connection is good for another.
func (w *world) receive(c net.Conn, in *bufio.Reader, id, method string, sends int) bool {
	out := outcome{id: id, method: method, sends: sends, broken: true}
	stays := false
	for {
		resp, err := http.ReadResponse(in, &http.Request{Method: method})
		if err != nil {
			break
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		out.broken, out.status, out.echo, out.seal = false, resp.StatusCode, resp.Header.Get(attemptID), resp.Header.Get(serverSeal)
		out.body, out.err = string(body), err
		stays = err == nil && !resp.Close
		break
	}
	w.mu.Lock()
	w.got = append(w.got, out)
	w.mu.Unlock()
	if !stays {
		_ = c.Close()
		if c == w.main {
			w.main = nil
		}
	}
	return stays
}

// TestExactlyOnce plays scenarios of peers that misbehave in all ways and orders, on fresh and reused connections: a request
// that may run once reaches servers once, each client gets its own answer, whole or visibly broken, no promise is false, and
// streams lose, repeat and join nothing.
func TestExactlyOnce(t *testing.T) {
	tally := map[string]int64{}
	rapid.Check(t, func(t *rapid.T) {
		s := scenarios.Draw(t, "scenario")
		if err := playInto(s, removed{}, tally); err != nil {
			t.Fatalf("%v\n%+v", err, s)
		}
	})
	t.Logf("the proxy's counters over all scenarios: %v", tally)
	for _, name := range []string{"reused", "repeats", "mismatch", "served", "broken"} {
		if tally[name] == 0 {
			t.Errorf("no scenario brought %s about", name)
		}
	}
}
