package pick

import (
	"fmt"
	"testing"
	"time"
)

// TestStaleProxiesKeepTheBound: some of twelve proxies hear no keeper. A zone is evacuated and its servers turn cold, of which the others hear.
// Danger: those that do not go on at their part of a load that one server left bears warm, and not cold.
func TestStaleProxiesKeepTheBound(t *testing.T) {
	const cut, cold = 5 * time.Second, 8 * time.Second
	for _, stale := range []int{1, 4, 10, 12} {
		t.Run(fmt.Sprint(stale), func(t *testing.T) {
			f := newColdFleet(12)
			for i, p := range f.pickers {
				p.SetWorld(0, f.world(i, 1, 0))
				if i < stale {
					w := f.world(i, 1, 0)
					w.Stale = true
					p.SetWorld(cut, w)
				}
			}
			f.press(cold, cold+4*time.Second, 5*time.Millisecond, func(now Time) {
				if now > cold {
					return
				}
				for i, p := range f.pickers[stale:] {
					p.SetWorld(now, f.world(stale+i, 1, coldFor))
				}
			})
			f.sent = before(f.sent, cold+coldFor)
			f.check(t)
			if len(f.sent) < 60 {
				t.Errorf("%d requests in 3 s", len(f.sent))
			}
		})
	}
}

// before are the moments before the last one.
func before(all []Time, last Time) (out []Time) {
	for _, at := range all {
		if at < last {
			out = append(out, at)
		}
	}
	return out
}

// TestStaleProxyUsesOtherServers: what one server may not get goes to the others, and a refusal says when there is room.
func TestStaleProxyUsesOtherServers(t *testing.T) {
	f := newColdFleet(12)
	p := f.pickers[0]
	w := f.world(0, 5, 0)
	w.Stale = true
	p.SetWorld(0, w)
	got := map[string]int{}
	for range 5 {
		c := p.Choose(time.Second, &Request{Route: f.config.Routes[0], Left: time.Second}, nil, false)
		got[c.Server.ID]++
	}
	if len(got) != 5 {
		t.Errorf("five requests went to %v", got)
	}
	c := p.Choose(time.Second, &Request{Route: f.config.Routes[0], Left: 5 * time.Second}, nil, false)
	if c.Verdict != Refuse || c.RetryAfter < 350*time.Millisecond || c.RetryAfter > 400*time.Millisecond {
		t.Errorf("the sixth: %+v", c)
	}
}

// TestStaleProxyOfALargeFleet: where parts would be too small to serve with, a proxy goes on as it is.
func TestStaleProxyOfALargeFleet(t *testing.T) {
	f := newColdFleet(60)
	p := f.pickers[0]
	w := f.world(0, 1, 0)
	w.Stale = true
	p.SetWorld(0, w)
	f.pickers = f.pickers[:1]
	f.press(time.Second, 2*time.Second, 10*time.Millisecond, nil)
	if len(f.sent) != 100 {
		t.Errorf("%d requests of 100", len(f.sent))
	}
}

// TestResumedProxyKeepsToItsPart: a proxy hears a keeper again, and a zone's servers turn cold a moment later, by an order that no keeper
// had taken yet.
func TestResumedProxyKeepsToItsPart(t *testing.T) {
	const back = 10 * time.Second
	f := newColdFleet(12)
	for i, p := range f.pickers {
		p.SetWorld(0, f.world(i, 1, 0))
		w := f.world(i, 1, 0)
		w.Stale = true
		p.SetWorld(5*time.Second, w)
		p.SetWorld(back, f.world(i, 1, 0))
	}
	f.press(back, back+staleAfter, 5*time.Millisecond, nil)
	f.check(t)
	f.sent = nil
	f.press(back+staleAfter, back+staleAfter+time.Second, 10*time.Millisecond, nil)
	if len(f.sent) != 1200 {
		t.Errorf("%d requests of 1200 later", len(f.sent))
	}
}

// TestStaleProxyKnocksOnce: all servers of a zone are cut off from a stale proxy. At most one request awaits a connection to each, also in
// a large fleet.
func TestStaleProxyKnocksOnce(t *testing.T) {
	for _, proxies := range []int{12, 60} {
		f := newColdFleet(proxies)
		p := f.pickers[0]
		w := f.world(0, 2, 0)
		w.Stale = true
		p.SetWorld(0, w)
		ask := func(now Time) Choice {
			return p.Choose(now, &Request{Route: f.config.Routes[0], Left: time.Second}, nil, false)
		}
		for range 2 {
			c := ask(0)
			p.Done(0, c.Ticket, Unreached, 0)
		}
		knocks := 0
		for range 20 {
			if ask(100*time.Millisecond).Verdict == Send {
				knocks++
			}
		}
		if knocks > 2 {
			t.Errorf("%d proxies: %d requests await connections to two servers", proxies, knocks)
		}
	}
}
