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

// table drives one Picker by the words of a conformance table.
type table struct {
	p       *Picker
	now     Time
	world   ClusterState
	tickets map[string]uint64 // by the name of the send
	request map[string]*Request
	tried   map[string][]string
}

var outcomes = map[string]Outcome{"served": Served, "not-executed": NotExecuted, "misdirected": Misdirected,
	"unreached": ConnectFailed, "broken": ConnectionLost, "silent": TimedOut, "failed": ServerError, "abandoned": Canceled}

// TestConformance plays the tables of testdata, taken from the design page and the rules.
func TestConformance(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		b := &table{tickets: map[string]uint64{}, request: map[string]*Request{}, tried: map[string][]string{}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return b.play(t, d) })
	})
}

func (b *table) play(t *testing.T, d *datadriven.TestData) string {
	arg := func(name, or string) string {
		for _, a := range d.CmdArgs {
			if a.Key == name && len(a.Vals) > 0 {
				return strings.Join(a.Vals, ",")
			}
		}
		return or
	}
	number := func(name string, or int) int {
		n, err := strconv.Atoi(arg(name, strconv.Itoa(or)))
		if err != nil {
			d.Fatalf(t, "%s: %v", name, err)
		}
		return n
	}
	duration := func(name, or string) time.Duration {
		v, err := time.ParseDuration(arg(name, or))
		if err != nil {
			d.Fatalf(t, "%s: %v", name, err)
		}
		return v
	}
	switch d.Cmd {
	case "new":
		b.now = time.Hour // not the clock's start
		b.p = New(Settings{Zone: "z1", Region: "r1", Regions: map[string]string{"z1": "r1", "z2": "r1", "z3": "r2"}, RetryRatio: 0.2,
			RetrySlack: float64(number("slack", 10)), WarmUpExcess: 1.5, WarmUpSlack: 5})
		return ""
	case "world":
		return b.tell(t, d)
	case "load":
		loads := map[string]Load{}
		for _, l := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			f := strings.Fields(l)
			n, err := strconv.Atoi(f[1])
			if err != nil {
				d.Fatalf(t, "%v", err)
			}
			loads[f[0]] = Load{Requests: n}
		}
		b.p.SetLoads(b.now, loads)
		return ""
	case "told":
		b.p.ServerLoad(b.now, arg("server", ""), number("running", 0), number("waiting", 0), number("slots", 0))
		return ""
	case "cold":
		b.p.WarmingUp(b.now, arg("server", ""), duration("left", "0s"))
		return ""
	case "leaving":
		b.p.ServerDraining(b.now, arg("server", ""))
		return ""
	case "wait":
		b.now += duration("for", "0s")
		return ""
	case "arrive":
		for range number("n", 1) {
			b.p.Arrive(b.now, &Request{Route: b.route(arg("path", "/"))})
		}
		return ""
	case "send": // n requests, held under names from name on; with answer they are ended at once
		var out []string
		for i := range number("n", 1) {
			r := &Request{Route: b.route(arg("path", "/")), TimeLeft: duration("left", "5s")}
			if r.Route == nil {
				return "no route"
			}
			b.p.Arrive(b.now, r)
			name := arg("name", "x")
			if number("n", 1) > 1 {
				name += strconv.Itoa(i)
			}
			b.request[name], b.tried[name] = r, nil
			out = append(out, b.choose(name, false))
			if o, ok := outcomes[arg("answer", "")]; ok {
				b.p.Done(b.now, b.tickets[name], o, 0)
			}
			b.now += duration("gap", "0s")
		}
		return strings.Join(out, " ")
	case "again":
		return b.choose(arg("name", "x"), arg("offered", "no") == "yes")
	case "done":
		for _, name := range strings.Split(arg("name", "x"), ",") {
			b.p.Done(b.now, b.tickets[name], outcomes[arg("answer", "served")], duration("after", "0s"))
		}
		return ""
	case "describe":
		return b.p.Describe(b.now)
	}
	d.Fatalf(t, "unknown command %s", d.Cmd)
	return ""
}

func (b *table) choose(name string, offered bool) string {
	c := b.p.Choose(b.now, b.request[name], b.tried[name], offered)
	switch c.Verdict {
	case Send:
		b.tickets[name] = c.Ticket
		b.tried[name] = append(b.tried[name], c.Server.ID)
		return c.Server.ID
	case Refuse:
		return fmt.Sprintf("refused(%v)", c.RetryAfter.Round(time.Millisecond))
	}
	return "exhausted"
}

// route stands for Picker.Route, whose match package conf tests.
func (b *table) route(path string) (best *config.Route) {
	for _, r := range b.world.Config.Routes {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// tell reads a world: lines of service, route, server, evacuated and peers.
func (b *table) tell(t *testing.T, d *datadriven.TestData) string {
	w := ClusterState{Self: "p1", Peers: []string{"p1"}, Evacuated: map[string]bool{}, Config: &config.Config{Services: map[string]*config.Service{}}}
	for _, l := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		f := strings.Fields(l)
		opt := map[string]string{}
		for _, x := range f[1:] {
			k, v, _ := strings.Cut(x, "=")
			opt[k] = v
		}
		num := func(k string, or float64) float64 {
			if opt[k] == "" {
				return or
			}
			v, err := strconv.ParseFloat(opt[k], 64)
			if err != nil {
				d.Fatalf(t, "%s: %v", l, err)
			}
			return v
		}
		switch f[0] {
		case "service":
			w.Config.Services[f[1]] = &config.Service{Name: f[1], WarmUpRequestsPerSecond: num("cold", 0)}
		case "route":
			r := &config.Route{Name: f[1], Host: "h", Prefix: f[1], MaxAttempts: int(num("tries", 2)), Priority: int(num("priority", 0)),
				Timeout: 10 * time.Second, LatencyTarget: time.Second, Category: config.NonIdempotent}
			if opt["repeat"] == "yes" {
				r.Category = config.Idempotent
			}
			if opt["homes"] != "" {
				r.HomeRegions = strings.Split(opt["homes"], ",")
			}
			for _, s := range strings.Split(opt["to"], ",") {
				name, weight, _ := strings.Cut(s, ":")
				v, err := strconv.ParseFloat(weight, 64)
				if err != nil {
					d.Fatalf(t, "%s: %v", l, err)
				}
				r.Shares = append(r.Shares, config.Share{Service: name, Weight: v})
			}
			w.Config.Routes = append(w.Config.Routes, r)
		case "server":
			s := Server{ID: f[1], Address: f[1], Service: f[2], Zone: "z1", Slots: int(num("slots", 4))}
			if opt["zone"] != "" {
				s.Zone = opt["zone"]
			}
			_, s.Draining = opt["draining"]
			s.WarmUpMax = time.Duration(num("cold", 0) * float64(time.Second))
			w.Servers = append(w.Servers, s)
		case "evacuated":
			w.Evacuated[f[1]] = true
		case "peers":
			w.Peers = f[1:]
		default:
			d.Fatalf(t, "unknown line %s", l)
		}
	}
	b.p.UpdateClusterState(b.now, w)
	b.world = w
	return ""
}
