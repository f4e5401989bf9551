package pick

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gradeusher.example/gradeusher/internal/system/config"
)

// drawWorld draws a deployment of two services and three zones in two regions.
func drawWorld(t *rapid.T, age int) ClusterState {
	w := ClusterState{Self: "p1", Peers: []string{"p1", "p2", "p3"}, Evacuated: map[string]bool{}, Config: &config.Config{Services: map[string]*config.Service{
		"lm":  {Name: "lm", WarmUpRequestsPerSecond: 30, Engine: &config.Engine{Slots: 4, CacheTokens: 50000}},
		"app": {Name: "app"},
	}}}
	if rapid.Bool().Draw(t, "evacuated") {
		w.Evacuated[rapid.SampledFrom([]string{"z1", "z2", "z3"}).Draw(t, "zone")] = true
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "routes") {
		r := &config.Route{Name: fmt.Sprint(i), Host: "h", Prefix: fmt.Sprintf("/%d/", i), Timeout: 8 * time.Second, LatencyTarget: time.Second,
			MaxAttempts: rapid.IntRange(1, 3).Draw(t, "tries"), Category: config.Category(rapid.IntRange(0, 2).Draw(t, "category")),
			Resumable: rapid.Bool().Draw(t, "resumable")}
		r.Shares = []config.Share{{Service: "lm", Weight: 1}, {Service: "app", Weight: float64(rapid.IntRange(0, 3).Draw(t, "weight"))}}
		if rapid.Bool().Draw(t, "bound") {
			r.HomeRegions = []string{rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "home")}
		}
		w.Config.Routes = append(w.Config.Routes, r)
	}
	for i := range rapid.IntRange(0, 8).Draw(t, "servers") {
		w.Servers = append(w.Servers, Server{ID: fmt.Sprintf("s%d", i+age%3), Service: rapid.SampledFrom([]string{"lm", "app", "other"}).Draw(t, "service"),
			Address: fmt.Sprint(i), Zone: rapid.SampledFrom([]string{"z1", "z2", "z3"}).Draw(t, "zone"), Slots: rapid.IntRange(0, 4).Draw(t, "slots"),
			Draining: rapid.IntRange(0, 4).Draw(t, "draining") == 0, WarmUpMax: time.Duration(rapid.IntRange(0, 2).Draw(t, "cold")) * time.Second})
	}
	return w
}

var testRegions = map[string]string{"z1": "r1", "z2": "r1", "z3": "r2"}

// TestNeverBarred plays random worlds, requests and answers: no send goes against a rule, and what is counted adds up.
func TestNeverBarred(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(Settings{Zone: "z1", Region: "r1", Regions: testRegions, RetryRatio: 0.2, RetrySlack: 20, WarmUpExcess: 1.5, WarmUpSlack: 5})
		type open struct {
			r       *Request
			ticket  uint64
			tried   []string
			arrived int
			offered bool
		}
		var opens []*open
		now, w := Time(time.Minute), ClusterState{}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			act := rapid.IntRange(0, 9).Draw(t, "act")
			switch {
			case step == 0 || act == 0:
				w = drawWorld(t, step)
				p.UpdateClusterState(now, w)
			case act == 1:
				loads := map[string]Load{}
				for _, s := range w.Servers {
					loads[s.ID] = Load{Requests: rapid.IntRange(0, 20).Draw(t, "requests"), Prefill: int64(rapid.IntRange(0, 20000).Draw(t, "prefill"))}
				}
				p.SetLoads(now, loads)
			case act == 2 && len(w.Servers) > 0:
				id := rapid.SampledFrom(w.Servers).Draw(t, "server").ID
				p.WarmingUp(now, id, time.Duration(rapid.IntRange(-1, 3).Draw(t, "left"))*time.Second)
				p.ServerDraining(now, id)
				p.ServerLoad(now, id, rapid.IntRange(-1, 9).Draw(t, "running"), rapid.IntRange(0, 9).Draw(t, "waiting"), rapid.IntRange(-1, 9).Draw(t, "slots"))
			case act <= 6:
				var o *open
				if len(opens) > 0 && rapid.Bool().Draw(t, "again") {
					if o = rapid.SampledFrom(opens).Draw(t, "request"); o.ticket != 0 {
						continue
					}
				} else {
					r := &Request{Route: rapid.SampledFrom(w.Config.Routes).Draw(t, "route"), TimeLeft: time.Duration(rapid.IntRange(-1, 8000).Draw(t, "left")) * time.Millisecond,
						TokensOut: rapid.IntRange(-1, 300).Draw(t, "out")}
					for range rapid.IntRange(0, 20).Draw(t, "parts") {
						part := PrefixPart{ID: uint64(rapid.IntRange(0, 9).Draw(t, "part")), Tokens: rapid.IntRange(-1, 5000).Draw(t, "tokens")}
						r.Prefix = append(r.Prefix, part)
						r.TokensIn += max(part.Tokens, 0)
					}
					p.Arrive(now, r)
					o = &open{r: r}
					opens = append(opens, o)
				}
				c := p.Choose(now, o.r, o.tried, o.offered)
				switch {
				case c.Verdict != Send:
					if c.Verdict == Refuse && len(o.tried) > 0 {
						t.Fatal("refused after a send")
					}
					if c.Verdict == Refuse && c.RetryAfter <= 0 {
						t.Fatal("a refusal that does not tell when to come back")
					}
					continue
				case o.offered && !o.r.Route.Idempotent():
					t.Fatal("a request may run twice")
				case o.arrived >= o.r.Route.MaxAttempts:
					t.Fatal("more tries than max_tries")
				}
				i := slices.IndexFunc(w.Servers, func(s Server) bool { return s.ID == c.Server.ID })
				if i < 0 {
					t.Fatalf("%s is not listed", c.Server.ID)
				}
				s := w.Servers[i]
				switch {
				case s.Draining:
					t.Fatal("draining")
				case w.Evacuated[s.Zone]:
					t.Fatal("evacuated")
				case len(o.r.Route.HomeRegions) > 0 && !slices.Contains(o.r.Route.HomeRegions, testRegions[s.Zone]):
					t.Fatal("abroad")
				case slices.Contains(o.tried, s.ID):
					t.Fatal("tried before")
				case !slices.ContainsFunc(o.r.Route.Shares, func(x config.Share) bool { return x.Service == s.Service }):
					t.Fatal("not a service of the route")
				}
				o.ticket = c.Ticket
				o.tried = append(o.tried, s.ID)
				o.arrived++
			default:
				if len(opens) == 0 {
					continue
				}
				o := rapid.SampledFrom(opens).Draw(t, "request")
				if o.ticket == 0 {
					continue
				}
				if rapid.Bool().Draw(t, "began") {
					p.Started(now, o.ticket)
					p.FirstEvent(now, o.ticket)
				}
				out := Outcome(rapid.IntRange(0, int(Canceled)).Draw(t, "outcome"))
				p.Done(now, o.ticket, out, time.Duration(rapid.IntRange(0, 900).Draw(t, "after"))*time.Millisecond)
				p.Done(now, o.ticket, TimedOut, 0) // the second end of a send is no end
				o.ticket = 0
				o.offered = o.offered || out == ConnectionLost || out == TimedOut || out == ServerError || out == Served || out == Canceled
				if out == ConnectFailed {
					o.arrived--
				}
			}
			p.Describe(now)
		}
		for _, o := range opens {
			p.Done(now, o.ticket, Served, 0)
		}
		p.check(t)
	})
}

// check tells what of a Picker with nothing in flight does not add up.
func (p *Picker) check(t *rapid.T) {
	if len(p.sends) > 0 {
		t.Fatalf("%d sends are left", len(p.sends))
	}
	if l := p.Loads(); len(l) > 0 {
		t.Fatalf("loads are left: %v", l)
	}
	count, held := 0, map[*server]int64{}
	for key, l := range p.beliefs.byKey {
		for _, b := range l {
			if b.key != key || p.servers[b.server.ID] != b.server {
				t.Fatalf("a belief about a server that is gone: %s", b.server.ID)
			}
			count++
			held[b.server] += int64(b.tokens)
		}
	}
	if count != p.beliefs.count || count > beliefsMost {
		t.Fatalf("%d beliefs, counted %d", count, p.beliefs.count)
	}
	for _, s := range p.servers {
		if s.first != nil || s.last != nil || s.trial != nil {
			t.Fatalf("%s awaits an event of nothing", s.ID)
		}
		if held[s] != s.believed {
			t.Fatalf("%s: %d tokens believed, counted %d", s.ID, held[s], s.believed)
		}
	}
}

// mostInASecond is how many of the moments, which are in order, lie in one second at the most.
func mostInASecond(sent []Time) (most int) {
	for i, at := range sent {
		j := i
		for j < len(sent) && sent[j] < at+time.Second {
			j++
		}
		most = max(most, j-i)
	}
	return most
}

// TestColdBound lets many proxies press upon a cold server with all they may, while each learns at its own time of
// proxies that come and go: within any second it gets less than its bound.
func TestColdBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(1, 60).Draw(t, "rate"))
		n := rapid.IntRange(1, 30).Draw(t, "proxies")
		cfg := &config.Config{Services: map[string]*config.Service{"a": {Name: "a", WarmUpRequestsPerSecond: rate}}}
		route := &config.Route{Host: "h", Prefix: "/", MaxAttempts: 1, Shares: []config.Share{{Service: "a", Weight: 1}}}
		cfg.Routes = []*config.Route{route}
		name := func(i int) string { return fmt.Sprintf("p%02d", i) }
		view := func(from, to int) (v []string) {
			for i := from; i < to; i++ {
				v = append(v, name(i))
			}
			return v
		}
		// The members change once, by at most a third; every proxy hears of it within three seconds.
		first := view(0, n)
		second := view(rapid.IntRange(0, n/3).Draw(t, "gone"), n+rapid.IntRange(0, n/3).Draw(t, "new"))
		var pickers []*Picker
		var hears []Time
		for i := range n + n/3 {
			p := New(Settings{Zone: "z", Region: "r", WarmUpExcess: 1.5, WarmUpSlack: 5})
			pickers = append(pickers, p)
			hears = append(hears, 3*time.Second+time.Duration(rapid.IntRange(0, 3000).Draw(t, "lag"))*time.Millisecond)
			if i < n {
				p.UpdateClusterState(0, ClusterState{Config: cfg, Self: name(i), Peers: first, Servers: []Server{{ID: "s", Service: "a", Zone: "z", Slots: 1000, WarmUpMax: time.Minute}}})
			}
		}
		var sent []Time
		for now := Time(0); now < 8*time.Second; now += 20 * time.Millisecond {
			for i, p := range pickers {
				if hears[i] <= now && hears[i] > now-20*time.Millisecond {
					p.UpdateClusterState(now, ClusterState{Config: cfg, Self: name(i), Peers: second, Servers: []Server{{ID: "s", Service: "a", Zone: "z", Slots: 1000, WarmUpMax: time.Minute - now}}})
				}
				r := &Request{Route: route, TimeLeft: time.Second}
				if c := p.Choose(now, r, nil, false); c.Verdict == Send {
					sent = append(sent, now)
					p.Done(now, c.Ticket, Served, 0)
				}
			}
		}
		most := mostInASecond(sent)
		if float64(most) > rate*1.5+5 {
			t.Fatalf("%d requests in a second, of %v", most, rate*1.5+5)
		}
		if len(sent) == 0 {
			t.Fatal("the cold server got nothing")
		}
	})
}

// TestBudget lets proxies repeat all they may: in any window, all repeats stay within the ratio of the requests and the
// slack together.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window, step = 10 * time.Second, 200 * time.Millisecond
		n := rapid.IntRange(1, 12).Draw(t, "proxies")
		slack := float64(rapid.IntRange(0, 64).Draw(t, "slack"))
		cfg := &config.Config{Services: map[string]*config.Service{"a": {Name: "a"}}}
		route := &config.Route{Host: "h", Prefix: "/", MaxAttempts: 9, Shares: []config.Share{{Service: "a", Weight: 1}}, Category: config.Idempotent}
		cfg.Routes = []*config.Route{route}
		var peers []string
		var servers []Server
		for i := range n {
			peers = append(peers, fmt.Sprintf("p%02d", i))
		}
		for i := range 8 {
			servers = append(servers, Server{ID: fmt.Sprint(i), Service: "a", Zone: "z", Slots: 1000})
		}
		var pickers []*Picker
		for _, self := range peers {
			p := New(Settings{Zone: "z", Region: "r", RetryRatio: 0.2, RetryWindow: window, RetrySlack: slack})
			p.UpdateClusterState(0, ClusterState{Config: cfg, Self: self, Peers: peers, Servers: servers})
			pickers = append(pickers, p)
		}
		var requests, repeats []int // by step
		rates := rapid.SliceOfN(rapid.IntRange(0, 3), 30, 30).Draw(t, "rates")
		for i := range int(30 * time.Second / step) {
			now := Time(i) * step
			requests, repeats = append(requests, 0), append(repeats, 0)
			for _, p := range pickers {
				for range rates[int(now/time.Second)] {
					r := &Request{Route: route, TimeLeft: time.Minute}
					p.Arrive(now, r)
					requests[i]++
					var tried []string
					for {
						c := p.Choose(now, r, tried, false)
						if c.Verdict != Send {
							break
						}
						if len(tried) > 0 {
							repeats[i]++
						}
						tried = append(tried, c.Server.ID)
						p.Done(now, c.Ticket, ServerError, 0)
					}
				}
			}
		}
		span := int(window / step)
		sum := func(v []int, from int) (s int) {
			for _, x := range v[max(from, 0):min(max(from+span, 0), len(v))] {
				s += x
			}
			return s
		}
		for from := range requests {
			asked := max(sum(requests, from), sum(requests, from-span), sum(requests, from-span/2))
			if got := sum(repeats, from); float64(got) > 0.2*float64(asked)+slack {
				t.Fatalf("%d repeats for %d requests and a slack of %v", got, asked, slack)
			}
		}
	})
}
