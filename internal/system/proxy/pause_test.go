package proxy

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/conf"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// pausedPolicy is a policy of one of twelve proxies that knows two servers, which bear 31 requests a second while they are cold.
func pausedPolicy() (*policy, *pick.Request, pick.World) {
	route := &conf.Route{Host: "h", Prefix: "/", MaxTries: 2, Category: conf.Idempotent, Shares: []conf.Share{{Service: "a", Weight: 1}}}
	w := pick.World{Self: "p00", Config: &conf.Config{Routes: []*conf.Route{route},
		Services: map[string]*conf.Service{"a": {Name: "a", ColdPerSecond: 31, ColdFor: 3 * time.Second}}}}
	for i := range 12 {
		w.Peers = append(w.Peers, "p"+string(rune('0'+i/10))+string(rune('0'+i%10)))
	}
	for _, id := range []string{"s0", "s1"} {
		w.Servers = append(w.Servers, pick.Server{ID: id, Service: "a", Zone: "z", Slots: 1000})
	}
	p := newPolicy(pick.New(pick.Settings{Zone: "z", Region: "r", ColdExcess: 1.5, ColdSlack: 5}))
	return p, &pick.Request{Route: route, Left: 5 * time.Second}, w
}

// standStill lets time go by without a call, as while the process is stopped.
func standStill(p *policy, d time.Duration) { p.start = p.start.Add(-d) }

// press asks for a server for that many requests at once, and counts what each gets.
func press(p *policy, r *pick.Request, requests int) map[string]int {
	got := map[string]int{}
	for range requests {
		one := *r
		if c := p.Choose(&one, nil, false); c.Verdict == pick.Send {
			got[c.Server.ID]++
		}
	}
	return got
}

// TestWokenProxyKeepsColdPace: a process stands still for 5 s and has 100 requests in its sockets when it wakes. Danger: its servers
// may have turned cold meanwhile, which it can't know before it has heard a keeper.
func TestWokenProxyKeepsColdPace(t *testing.T) {
	p, r, w := pausedPolicy()
	p.SetWorld(time.Now(), w)
	if got := press(p, r, 10); got["s0"]+got["s1"] != 10 {
		t.Fatalf("before the pause %v of 10", got)
	}
	standStill(p, 5*time.Second)
	for id, n := range press(p, r, 100) {
		if n > 4 {
			t.Errorf("%s got %d requests at once, without a word on whether it is cold", id, n)
		}
	}
}
