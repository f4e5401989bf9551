package pick

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"gradeusher.example/gradeusher/internal/system/config"
)

// tableRunner runs the commands of a conformance table on one Picker.
type tableRunner struct {
	picker   *Picker
	now      Time
	state    ClusterState
	tickets  map[string]uint64 // by the name of the request
	requests map[string]*Request
	tried    map[string][]string
}

var outcomes = map[string]AttemptOutcome{"served": Served, "not-executed": NotExecuted, "misdirected": Misdirected,
	"unreached": ConnectFailed, "broken": ConnectionLost, "silent": TimedOut, "failed": ServerError, "abandoned": Canceled}

// TestConformance runs the tables in testdata, which are derived from the design page and the rules.
func TestConformance(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		b := &tableRunner{tickets: map[string]uint64{}, requests: map[string]*Request{}, tried: map[string][]string{}}
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string { return b.runCommand(&command{t, data}) })
	})
}

// command is one command of a table with its arguments.
type command struct {
	t    *testing.T
	data *datadriven.TestData
}

// text returns the value of an argument, or a default.
func (c *command) text(name, defaultValue string) string {
	for _, arg := range c.data.CmdArgs {
		if arg.Key == name && len(arg.Vals) > 0 {
			return strings.Join(arg.Vals, ",")
		}
	}
	return defaultValue
}

func (c *command) number(name string, defaultValue int) int {
	n, err := strconv.Atoi(c.text(name, strconv.Itoa(defaultValue)))
	if err != nil {
		c.data.Fatalf(c.t, "%s: %v", name, err)
	}
	return n
}

func (c *command) duration(name, defaultValue string) time.Duration {
	d, err := time.ParseDuration(c.text(name, defaultValue))
	if err != nil {
		c.data.Fatalf(c.t, "%s: %v", name, err)
	}
	return d
}

// lines returns the lines of the command's input, split into words.
func (c *command) lines() (lines [][]string) {
	for _, line := range strings.Split(strings.TrimSpace(c.data.Input), "\n") {
		lines = append(lines, strings.Fields(line))
	}
	return lines
}

// commands maps the commands of the tables to their implementations. Their output is compared with the table.
var commands = map[string]func(*tableRunner, *command) string{
	"new":      (*tableRunner).newPicker,
	"world":    (*tableRunner).updateState,
	"load":     (*tableRunner).updateLoads,
	"told":     (*tableRunner).reportLoad,
	"cold":     (*tableRunner).reportWarmUp,
	"leaving":  (*tableRunner).reportDrain,
	"wait":     (*tableRunner).wait,
	"arrive":   (*tableRunner).recordRequests,
	"send":     (*tableRunner).send,
	"again":    (*tableRunner).retry,
	"done":     (*tableRunner).done,
	"describe": (*tableRunner).describe,
}

func (b *tableRunner) runCommand(c *command) string {
	run := commands[c.data.Cmd]
	if run == nil {
		c.data.Fatalf(c.t, "unknown command %s", c.data.Cmd)
	}
	return run(b, c)
}

func (b *tableRunner) newPicker(c *command) string {
	b.now = time.Hour // not the clock's start
	b.picker = New(Settings{Zone: "z1", Region: "r1", Regions: map[string]string{"z1": "r1", "z2": "r1", "z3": "r2"}, RetryRatio: 0.2,
		RetrySlack: float64(c.number("slack", 10)), WarmUpExcess: 1.5, WarmUpSlack: 5})
	return ""
}

func (b *tableRunner) updateLoads(c *command) string {
	loads := map[string]Load{}
	for _, words := range c.lines() {
		n, err := strconv.Atoi(words[1])
		if err != nil {
			c.data.Fatalf(c.t, "%v", err)
		}
		loads[words[0]] = Load{Requests: n}
	}
	b.picker.UpdatePeerLoads(b.now, loads)
	return ""
}

func (b *tableRunner) reportLoad(c *command) string {
	b.picker.ServerLoad(b.now, c.text("server", ""), c.number("running", 0), c.number("waiting", 0), c.number("slots", 0))
	return ""
}

func (b *tableRunner) reportWarmUp(c *command) string {
	b.picker.WarmingUp(b.now, c.text("server", ""), c.duration("left", "0s"))
	return ""
}

func (b *tableRunner) reportDrain(c *command) string {
	b.picker.ServerDraining(b.now, c.text("server", ""))
	return ""
}

func (b *tableRunner) wait(c *command) string {
	b.now += c.duration("for", "0s")
	return ""
}

func (b *tableRunner) recordRequests(c *command) string {
	for range c.number("n", 1) {
		b.picker.RecordRequest(b.now, &Request{Route: b.route(c.text("path", "/"))})
	}
	return ""
}

// send picks servers for n requests, which are named name0, name1, ...; with answer, each attempt ends immediately.
func (b *tableRunner) send(call *command) string {
	var out []string
	for i := range call.number("n", 1) {
		r := &Request{Route: b.route(call.text("path", "/")), TimeLeft: call.duration("left", "5s")}
		if r.Route == nil {
			return "no route"
		}
		b.picker.RecordRequest(b.now, r)
		name := call.text("name", "x")
		if call.number("n", 1) > 1 {
			name += strconv.Itoa(i)
		}
		b.requests[name], b.tried[name] = r, nil
		out = append(out, b.pick(name, false))
		if outcome, ok := outcomes[call.text("answer", "")]; ok {
			b.picker.Done(b.now, b.tickets[name], outcome, 0)
		}
		b.now += call.duration("gap", "0s")
	}
	return strings.Join(out, " ")
}

func (b *tableRunner) retry(c *command) string {
	return b.pick(c.text("name", "x"), c.text("offered", "no") == "yes")
}

func (b *tableRunner) done(c *command) string {
	for _, name := range strings.Split(c.text("name", "x"), ",") {
		b.picker.Done(b.now, b.tickets[name], outcomes[c.text("answer", "served")], c.duration("after", "0s"))
	}
	return ""
}

func (b *tableRunner) describe(*command) string { return b.picker.Describe(b.now) }

func (b *tableRunner) pick(name string, mayHaveRun bool) string {
	result := b.picker.Pick(b.now, b.requests[name], b.tried[name], mayHaveRun)
	switch result.Decision {
	case Send:
		b.tickets[name] = result.Ticket
		b.tried[name] = append(b.tried[name], result.Server.ID)
		return result.Server.ID
	case Reject:
		return fmt.Sprintf("refused(%v)", result.RetryAfter.Round(time.Millisecond))
	}
	return "exhausted"
}

// route replaces Picker.Route, whose matching is tested in package config.
func (b *tableRunner) route(path string) (best *config.Route) {
	for _, r := range b.state.Config.Routes {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// updateState parses a cluster state: lines of service, route, server, evacuated and peers.
func (b *tableRunner) updateState(call *command) string {
	b.state = ClusterState{Self: "p1", Peers: []string{"p1"}, Evacuated: map[string]bool{}, Config: &config.Config{Services: map[string]*config.Service{}}}
	for _, words := range call.lines() {
		line := newStateLine(call, words)
		switch line.words[0] {
		case "service":
			b.state.Config.Services[words[1]] = &config.Service{Name: words[1], WarmUpRequestsPerSecond: line.number("cold", 0)}
		case "route":
			b.state.Config.Routes = append(b.state.Config.Routes, line.route())
		case "server":
			b.state.Servers = append(b.state.Servers, line.server())
		case "evacuated":
			b.state.Evacuated[words[1]] = true
		case "peers":
			b.state.Peers = words[1:]
		default:
			call.data.Fatalf(call.t, "unknown line %s", strings.Join(words, " "))
		}
	}
	b.picker.UpdateClusterState(b.now, b.state)
	return ""
}

// stateLine is one line of a cluster state: words, some of which are options.
type stateLine struct {
	*command
	words   []string
	options map[string]string
}

func newStateLine(c *command, words []string) *stateLine {
	line := &stateLine{c, words, map[string]string{}}
	for _, word := range words[1:] {
		key, value, _ := strings.Cut(word, "=")
		line.options[key] = value
	}
	return line
}

// parse parses a number, or fails the test.
func (l *stateLine) parse(text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		l.data.Fatalf(l.t, "%s: %v", strings.Join(l.words, " "), err)
	}
	return value
}

// number returns the value of an option, or a default.
func (l *stateLine) number(key string, defaultValue float64) float64 {
	if l.options[key] == "" {
		return defaultValue
	}
	return l.parse(l.options[key])
}

func (l *stateLine) route() *config.Route {
	r := &config.Route{Name: l.words[1], Host: "h", Prefix: l.words[1], MaxAttempts: int(l.number("tries", 2)), Priority: int(l.number("priority", 0)),
		Timeout: 10 * time.Second, LatencyTarget: time.Second, Category: config.NonIdempotent}
	if l.options["repeat"] == "yes" {
		r.Category = config.Idempotent
	}
	if l.options["homes"] != "" {
		r.HomeRegions = strings.Split(l.options["homes"], ",")
	}
	for _, share := range strings.Split(l.options["to"], ",") {
		name, weight, _ := strings.Cut(share, ":")
		r.Shares = append(r.Shares, config.Share{Service: name, Weight: l.parse(weight)})
	}
	return r
}

func (l *stateLine) server() Server {
	s := Server{ID: l.words[1], Address: l.words[1], Service: l.words[2], Zone: "z1", Slots: int(l.number("slots", 4))}
	if l.options["zone"] != "" {
		s.Zone = l.options["zone"]
	}
	_, s.Draining = l.options["draining"]
	s.WarmUpMax = time.Duration(l.number("cold", 0) * float64(time.Second))
	return s
}
