package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"pgregory.net/rapid"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// testScenario is a run of scripted clients and servers around one proxy.
type testScenario struct {
	Category  config.Category
	Resumable bool
	MaxTries  int
	Servers   [][]behaviour
	Steps     []clientStep
}

// shortProgressTimeout is how long a server may be silent: less than the clients of a scenario with silent servers wait.
const shortProgressTimeout = 20 * time.Millisecond

// clientStep is what a client does after the previous step has ended.
type clientStep struct {
	Manner    string // "plain", "pipelined", "gone", "halfclosed", "slow", "expect", "trailers" or "twice"
	Method    string
	LargeBody bool // a body that is too large to be sent in the same write as the head
}

// scenarioGenerator draws scenarios. A quarter of all behaviours are valid, so that connections are reused.
var scenarioGenerator = rapid.Custom(func(t *rapid.T) testScenario {
	s := testScenario{Category: rapid.SampledFrom([]config.Category{config.NonIdempotent, config.Idempotent, config.Streaming, config.Streaming}).Draw(t, "category"),
		MaxTries: rapid.IntRange(1, 3).Draw(t, "tries")}
	s.Resumable = s.Category == config.Streaming && rapid.Bool().Draw(t, "resumable")
	for range rapid.IntRange(1, 3).Draw(t, "servers") {
		s.Servers = append(s.Servers, rapid.SliceOfN(behaviourGenerator, 1, 5).Draw(t, "behaviours"))
	}
	s.Steps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) clientStep {
		return clientStep{Manner: rapid.SampledFrom([]string{"plain", "plain", "plain", "plain", "pipelined", "gone", "halfclosed", "slow",
			"expect", "trailers", "twice"}).Draw(t, "way"),
			Method: rapid.SampledFrom([]string{"POST", "POST", "GET", "HEAD"}).Draw(t, "method"), LargeBody: rapid.IntRange(0, 4).Draw(t, "big") == 4}
	}), 1, 6).Draw(t, "steps")
	return s
})

// behaviourGenerator draws what a server does with one request.
var behaviourGenerator = rapid.Custom(func(t *rapid.T) behaviour {
	b := validBehaviour
	b.Framing = rapid.SampledFrom([]string{"length", "chunked"}).Draw(t, "framing")
	rare := func(label string) bool { return rapid.IntRange(0, 5).Draw(t, label) == 5 }
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 3: // another response
		b.Status = rapid.SampledFrom([]int{200, 204, 302, 400, 404, 408, 421, 429, 500, 503, 504}).Draw(t, "status")
		b.NotExecuted = rapid.Bool().Draw(t, "not executed")
		b.Echo = rapid.SampledFrom([]echoedID{ownID, ownID, otherID, earlierID, noID}).Draw(t, "echo")
		if b.Status == 204 {
			b.Framing = "length"
			b.Status = 201
		}
	case 4: // an invalid response
		b.Unsealed, b.Encoded, b.Garbage, b.Early = rare("unsealed"), rare("encoded"), rare("garbage"), rare("early")
		b.Interims = rapid.IntRange(0, 5).Draw(t, "interims")
		b.Framing = rapid.SampledFrom([]string{"length", "chunked", "none", "both", "twice"}).Draw(t, "odd framing")
		if b.Closes = rare("closes"); b.Framing == "none" {
			b.PermilleSent, b.After = rapid.IntRange(800, 1000).Draw(t, "end"), halfCloseAfter
		}
	case 5, 6, 7: // a response that is truncated or followed by extra bytes
		b.PermilleSent = rapid.SampledFrom([]int{0, 100, 300, 500, 650, 750, 850, 920, 960, 990, 1000}).Draw(t, "cut")
		b.After = rapid.SampledFrom([]afterSend{stayOpen, halfCloseAfter, resetAfter}).Draw(t, "then")
		b.Early, b.RepeatsEvent, b.SendsRestLate = rapid.Bool().Draw(t, "early"), rare("repeats"), rapid.Bool().Draw(t, "late")
	case 2: // events between two responses
		b.Surplus = rapid.SampledFrom([]surplusTiming{noSurplus, samePacket, whileIdle, withNext}).Draw(t, "surplus")
		b.CloseIdle, b.CloseRace = rapid.Bool().Draw(t, "close idle"), rapid.Bool().Draw(t, "close race")
	}
	return b
})

// scenarioRun is one run of a scenario.
type scenarioRun struct {
	testScenario
	*scriptedServers
	address    string
	timeLeftMS string // X-Time-Left-Ms

	mu               sync.Mutex
	outcomes         []clientOutcome
	persistentConn   net.Conn // kept for many requests
	persistentReader *bufio.Reader
}

// clientOutcome is what a client observed for one request; sends is the number of requests that it sent with the same id.
type clientOutcome struct {
	id, method string
	sends      int
	noHead     bool // no response head was received
	status     int
	echo, seal string
	body       string
	err        error // the error that ended the body early
}

// playScenario runs a scenario and returns the first violation as an error.
func playScenario(s testScenario, knobs TestingKnobs) error {
	return playScenarioInto(s, knobs, map[string]int64{})
}

// playScenarioInto does the same as playScenario, and adds the proxy's counters to a tally.
func playScenarioInto(s testScenario, knobs TestingKnobs, tally map[string]int64) error {
	servers := &scriptedServers{stream: s.Category == config.Streaming, resumable: s.Resumable}
	run := &scenarioRun{testScenario: s, scriptedServers: servers, timeLeftMS: "4000"}
	defer run.stop()
	state, err := run.startServers()
	if err != nil {
		return err
	}
	options := Options{
		Log:      &log.Logger{Handler: discard.New()},
		Timeouts: Timeouts{MinResponse: shortProgressTimeout, MinEventGap: shortProgressTimeout},
		knobs:    knobs,
	}
	proxy := newProxy(options, newFakePicker(state.Config.Routes[0]))
	proxy.pools.sameRegionTimeout = testTimeout
	proxy.UpdateClusterState(time.Now(), state)
	err = run.serveAndRun(proxy)
	run.stop()
	for name, counter := range proxy.counters.byMetric() {
		tally[name] += counter.Load()
	}
	if err != nil {
		return err
	}
	return run.checkOutcomes()
}

// startServers starts the scripted servers and returns a cluster state that lists them.
func (w *scenarioRun) startServers() (pick.ClusterState, error) {
	route := &config.Route{Name: "r", Host: "h.example", Prefix: "/a/", Category: w.Category, Resumable: w.Resumable,
		Timeout: 8 * time.Second, MaxAttempts: w.MaxTries, Shares: []config.Share{{Service: "s", Weight: 1}}}
	state := pick.ClusterState{Config: &config.Config{Revision: 1, Routes: []*config.Route{route},
		Services: map[string]*config.Service{"s": {Name: "s", MaxConns: 100}},
		Limits:   config.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20}}}
	for i, behaviours := range w.Servers {
		server, err := w.startServer(behaviours)
		if err != nil {
			return state, err
		}
		if slices.ContainsFunc(behaviours, behaviour.leavesClientWaiting) {
			w.timeLeftMS = "90"
		}
		state.Servers = append(state.Servers, pick.Server{ID: fmt.Sprint("i-", i), Service: "s", Address: server.address()})
	}
	return state, nil
}

// serveAndRun executes the steps while a proxy serves, and then stops the proxy.
func (w *scenarioRun) serveAndRun(proxy *Proxy) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.address = listener.Addr().String()
	serveErr := make(chan error, 1)
	go func() { serveErr <- proxy.Serve(ctx, listener) }()
	err = w.run()
	cancel()
	if e := <-serveErr; err == nil {
		err = e
	}
	return err
}

// run executes the steps.
func (w *scenarioRun) run() error {
	defer w.closePersistent()
	for n, at := range w.Steps {
		for _, do := range w.takeActions(&w.whileIdle) {
			do()
		}
		var racing sync.WaitGroup
		for _, do := range w.takeActions(&w.whileSending) {
			racing.Go(do)
		}
		err := w.step(fmt.Sprint("id-", n), at)
		racing.Wait()
		if err != nil {
			return fmt.Errorf("step %d: %w", n, err)
		}
	}
	return w.checkNoSurplus()
}

func (w *scenarioRun) closePersistent() {
	if w.persistentConn != nil {
		_ = w.persistentConn.Close()
		w.persistentConn = nil
	}
}

// checkNoSurplus checks that nothing is received on the persistent connection while no request is waiting.
func (w *scenarioRun) checkNoSurplus() error {
	if w.persistentConn == nil {
		return nil
	}
	if err := w.persistentConn.(*net.TCPConn).CloseWrite(); err != nil {
		return nil //nolint:nilerr // the proxy has closed the connection, as it may
	}
	if rest, _ := io.ReadAll(w.persistentReader); len(rest) > 0 {
		return fmt.Errorf("received bytes while no request was waiting: %.60q", rest)
	}
	return nil
}

func (w *scenarioRun) dial() (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(context.Background(), "tcp4", w.address)
	if err == nil {
		err = c.SetDeadline(time.Now().Add(testTimeout))
	}
	return c, err
}

// step executes one client step, on the persistent connection or on separate connections.
func (w *scenarioRun) step(id string, step clientStep) error {
	switch step.Manner {
	case "gone", "halfclosed":
		return w.stepOnOwnConns(id, step, 1)
	case "twice":
		return w.stepOnOwnConns(id, step, 2)
	}
	if w.persistentConn == nil {
		conn, err := w.dial()
		if err != nil {
			return err
		}
		w.persistentConn, w.persistentReader = conn, bufio.NewReader(conn)
	}
	if step.Manner == "pipelined" {
		w.stepPipelined(id, step)
		return nil
	}
	w.sendHead(w.persistentConn, id, step, "Expect: 100-continue\r\n")
	w.recordResponse(w.persistentConn, w.persistentReader, id, step.Method, 1)
	return nil
}

// stepOnOwnConns sends a request, possibly several times concurrently, each time on a separate connection.
func (w *scenarioRun) stepOnOwnConns(id string, step clientStep, sends int) error {
	var asking sync.WaitGroup
	defer asking.Wait()
	for range sends {
		conn, err := w.dial()
		if err != nil {
			return err
		}
		asking.Go(func() {
			defer func() { _ = conn.Close() }()
			w.sendHead(conn, id, step, "")
			if step.Manner == "gone" {
				return
			}
			if step.Manner == "halfclosed" {
				_ = conn.(*net.TCPConn).CloseWrite()
			}
			w.recordResponse(conn, bufio.NewReader(conn), id, step.Method, sends)
		})
	}
	return nil
}

// stepPipelined sends two requests on the persistent connection before it reads any response.
func (w *scenarioRun) stepPipelined(id string, step clientStep) {
	step.Manner = "plain"
	w.sendHead(w.persistentConn, id+"-0", step, "")
	w.sendHead(w.persistentConn, id+"-1", step, "")
	if w.recordResponse(w.persistentConn, w.persistentReader, id+"-0", step.Method, 1) {
		w.recordResponse(w.persistentConn, w.persistentReader, id+"-1", step.Method, 1)
	}
}

// sendHead sends a request. Its body begins with its id and method. Write errors are ignored, as the proxy may stop reading early.
func (w *scenarioRun) sendHead(conn net.Conn, id string, step clientStep, expect string) {
	body := ""
	if step.Method == http.MethodPost {
		if body = id + " POST"; step.LargeBody {
			body += strings.Repeat(".", 2<<20)
		}
	}
	text := fmt.Sprintf("%s /a/%s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Time-Left-Ms: %s\r\n", step.Method, id, id, w.timeLeftMS)
	switch {
	case body == "":
		_, _ = io.WriteString(conn, text+"\r\n")
	case step.Manner == "trailers":
		half := len(body) / 2
		_, _ = io.WriteString(conn, text+"Trailer: X-T\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk(body[:half])+chunk(body[half:])+
			"0\r\nX-T: 1\r\n\r\n")
	case step.Manner == "slow":
		_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", text, len(body))
		for _, part := range []string{body[:2], body[2:]} {
			_, _ = io.WriteString(conn, part)
		}
	case step.Manner == "expect":
		_, _ = fmt.Fprintf(conn, "%s%sContent-Length: %d\r\n\r\n", text, expect, len(body))
		if line, err := w.persistentReader.Peek(len("HTTP/1.1 100")); err == nil && string(line) == "HTTP/1.1 100" {
			_, _ = io.WriteString(conn, body)
		}
	default:
		_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", text, len(body), body)
	}
}

// recordResponse reads and records one response, and reports whether the connection can be used for another one.
func (w *scenarioRun) recordResponse(conn net.Conn, reader *bufio.Reader, id, method string, sends int) bool {
	outcome, reusable := readOutcome(reader, method)
	outcome.id, outcome.method, outcome.sends = id, method, sends
	w.mu.Lock()
	w.outcomes = append(w.outcomes, outcome)
	w.mu.Unlock()
	if !reusable {
		_ = conn.Close()
		if conn == w.persistentConn {
			w.persistentConn = nil
		}
	}
	return reusable
}

// readOutcome reads the final response, and reports whether the connection can be used for another one.
func readOutcome(reader *bufio.Reader, method string) (outcome clientOutcome, reusable bool) {
	for {
		resp, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return clientOutcome{noHead: true}, false
		}
		if isInterim := resp.StatusCode < http.StatusOK; isInterim {
			_ = resp.Body.Close()
			continue
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		outcome := clientOutcome{status: resp.StatusCode, echo: resp.Header.Get(headerAttemptID), seal: resp.Header.Get(headerServerSeal),
			body: string(body), err: err}
		return outcome, err == nil && !resp.Close
	}
}

// TestExactlyOnce runs scenarios of peers that misbehave in random ways and orders, on fresh and reused connections: a non-idempotent
// request reaches servers only once, each client gets its own response, complete or visibly truncated, no not-executed status is false,
// and streams lose no events, repeat none, and do not mix events of different runs.
func TestExactlyOnce(t *testing.T) {
	tally := map[string]int64{}
	rapid.Check(t, func(t *rapid.T) {
		s := scenarioGenerator.Draw(t, "scenario")
		if err := playScenarioInto(s, TestingKnobs{}, tally); err != nil {
			t.Fatalf("%v\n%+v", err, s)
		}
	})
	t.Logf("the proxy's counters over all scenarios: %v", tally)
	for _, name := range []string{"reused", "repeats", "mismatch", "served", "broken"} {
		if tally[name] == 0 {
			t.Errorf("no scenario incremented the counter %s", name)
		}
	}
}
