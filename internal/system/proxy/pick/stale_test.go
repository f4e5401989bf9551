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
	if c.Verdict != Refuse || c.RetryAfter < 250*time.Millisecond || c.RetryAfter > 350*time.Millisecond {
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
