package pick

import (
	"fmt"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/conf"
)

// outageWorld is a picker of region r1 that knows four servers in each of two zones, one of its own region and one of r2.
type outageWorld struct {
	*Picker
	t     *testing.T
	world World
	route *conf.Route
}

func newOutageWorld(t *testing.T, homes ...string) *outageWorld {
	w := &outageWorld{Picker: New(Settings{Zone: "z1", Region: "r1", Regions: testRegions, CrossRegion: 20 * time.Millisecond, RetryRatio: 0.2, RetrySlack: 20}), t: t}
	w.route = &conf.Route{Name: "a", Host: "h", Prefix: "/", Timeout: 15 * time.Second, Aim: time.Second, MaxTries: 1,
		Category: conf.NonIdempotent, Homes: homes, Shares: []conf.Share{{Service: "app", Weight: 1}}}
	w.world = World{Config: &conf.Config{Services: map[string]*conf.Service{"app": {Name: "app", ColdPerSecond: 30, ColdFor: 3 * time.Second}}, Routes: []*conf.Route{w.route}}, Self: "p", Peers: []string{"p"}}
	for _, zone := range []string{"z1", "z3"} {
		for i := range 4 {
			id := fmt.Sprint(zone, "-", i)
			w.world.Servers = append(w.world.Servers, Server{ID: id, Service: "app", Address: id, Zone: zone, Slots: 8})
		}
	}
	w.SetWorld(0, w.world)
	return w
}

func (w *outageWorld) ask(now Time) Choice {
	return w.Choose(now, &Request{Route: w.route, Left: 15 * time.Second}, nil, false)
}

// send has a request go out, and tells where.
func (w *outageWorld) send(now Time) Choice {
	w.t.Helper()
	c := w.ask(now)
	if c.Verdict != Send {
		w.t.Fatalf("at %v: verdict %d", now, c.Verdict)
	}
	return c
}

// fallSilent has two servers of r2 not be reached in their time, and returns when the second one was not.
func (w *outageWorld) fallSilent() Time {
	w.t.Helper()
	const dial = 600 * time.Millisecond
	a, b := w.send(time.Second), w.send(time.Second)
	if a.Server.ID == b.Server.ID {
		w.t.Fatal("both went to one server")
	}
	w.Done(time.Second+dial, a.Ticket, Unreached, 0)
	w.Done(time.Second+dial, b.Ticket, Unreached, 0)
	return time.Second + dial
}

// TestOutageRefusesAtOnce: the only region that a route may use falls silent. Danger: each request tried one server after the other
// for its whole time, and was refused when the client had left. After two silent servers the next requests are refused at once,
// with a time to come back that grows with the outage; one at a time tries the region, over a new connection.
func TestOutageRefusesAtOnce(t *testing.T) {
	w := newOutageWorld(t, "r2")
	now := w.fallSilent()
	if c := w.ask(now); c.Verdict != Refuse || c.RetryAfter < outageWait {
		t.Fatalf("verdict %d, come back after %v", c.Verdict, c.RetryAfter)
	}
	now += outageRetry
	trial := w.send(now)
	if !trial.Fresh {
		t.Error("the trial may use a kept connection")
	}
	for range 10 {
		if c := w.ask(now); c.Verdict != Refuse {
			t.Fatal("a second trial beside the first")
		}
	}
	w.Done(now+600*time.Millisecond, trial.Ticket, Unreached, 0)
	now += 600 * time.Millisecond
	if c := w.ask(now + outageRetry/2); c.Verdict != Refuse {
		t.Error("a trial right after one that failed")
	}
	now += 3 * time.Second
	trial = w.send(now)
	if c := w.ask(now); c.RetryAfter < 5*time.Second-time.Millisecond {
		t.Errorf("an outage of 4 s: come back after %v, want a third of the time left", c.RetryAfter)
	}
	w.Started(now, trial.Ticket)
	for range 8 {
		if c := w.send(now); c.Fresh {
			t.Error("after the outage requests still count as trials")
		}
	}
}

// TestOutageElsewhere: where other places can serve, requests go there as soon as two servers of one were silent.
func TestOutageElsewhere(t *testing.T) {
	w := newOutageWorld(t)
	w.route.Homes = []string{"r2"}
	now := w.fallSilent()
	w.route.Homes = nil
	for range 20 {
		if c := w.send(now); c.Server.Region != "r1" {
			t.Fatalf("to %s, whose region is silent", c.Server.ID)
		}
	}
}

// TestNoOutage: what is no sign that a place is silent.
func TestNoOutage(t *testing.T) {
	for name, happen := range map[string]func(w *outageWorld, a, b Choice){
		"one server": func(w *outageWorld, a, b Choice) {
			w.Done(2*time.Second, a.Ticket, Unreached, 0)
			w.Started(2*time.Second, b.Ticket)
		},
		"connections refused at once": func(w *outageWorld, a, b Choice) {
			w.Done(time.Second+50*time.Millisecond, a.Ticket, Unreached, 0)
			w.Done(time.Second+50*time.Millisecond, b.Ticket, Unreached, 0)
		},
		"an answer in between": func(w *outageWorld, a, b Choice) {
			c := w.send(1500 * time.Millisecond)
			w.Done(1600*time.Millisecond, a.Ticket, Unreached, 0)
			w.Started(1700*time.Millisecond, c.Ticket)
			w.Done(1800*time.Millisecond, b.Ticket, Unreached, 0)
		},
		"resets": func(w *outageWorld, a, b Choice) {
			w.Done(2*time.Second, a.Ticket, Broken, 0)
			w.Done(2*time.Second, b.Ticket, Broken, 0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newOutageWorld(t, "r2")
			happen(w, w.send(time.Second), w.send(time.Second))
			if w.place("region r2").out() {
				t.Error("the region counts as silent")
			}
		})
	}
}

// TestOutageOfKeptConnections: requests that went out over kept connections are late at two servers, and nothing is heard from
// their region: no further request follows them.
func TestOutageOfKeptConnections(t *testing.T) {
	w := newOutageWorld(t, "r2")
	w.send(time.Second)
	w.send(time.Second)
	if c := w.ask(4 * time.Second); c.Verdict != Refuse {
		t.Errorf("verdict %d while two servers of the region are silent for 3 s", c.Verdict)
	}
}

// TestOutageEndsForAStaleProxy: a proxy that hears no keeper reaches a region again, whose servers may have turned cold unseen: it
// paces all of them.
func TestOutageEndsForAStaleProxy(t *testing.T) {
	w := newOutageWorld(t, "r2")
	now := w.fallSilent()
	w.world.Stale = true
	w.SetWorld(now, w.world)
	now += outageRetry
	trial := w.send(now)
	w.Started(now, trial.Ticket)
	for id, s := range w.servers {
		if s.Zone == "z3" && !s.cold(now) {
			t.Errorf("%s counts as warm", id)
		}
	}
}
