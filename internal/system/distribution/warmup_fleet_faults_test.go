package distribution

import (
	"slices"
	"time"
)

// cutOffFor cuts a machine off the others for a while; what was under way is lost.
func (w *coldWorld) cutOffFor(host string, d time.Duration) {
	w.cutTill[host] = time.Now().Add(d)
	w.log("cut ", host, " for ", d)
	w.note(host)
	w.setCuts(host, true)
	if s := w.sources[host]; s != nil {
		s.setStale(true)
	}
	w.came["cut"]++
}

func (w *coldWorld) setCuts(host string, cut bool) {
	for _, o := range append(slices.Clone(w.names), w.proxies...) {
		if o == host {
			continue
		}
		for _, from := range []string{host, host + ":2"} {
			for _, to := range []string{o, o + ":2"} {
				w.mesh.setCut(from, to, cut)
				w.mesh.setCut(to, from, cut)
			}
		}
	}
}

// note remembers a trouble.
func (w *coldWorld) note(host string) {
	if w.sources[host] != nil {
		host = ""
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.trouble[host] = time.Now()
}

// fault brings some trouble about.
func (w *coldWorld) fault() {
	for host, end := range w.cutTill {
		if time.Now().After(end) {
			delete(w.cutTill, host)
			w.note(host)
			w.setCuts(host, false)
			if s := w.sources[host]; s != nil {
				s.setStale(false)
			}
		}
	}
	cutKeepers := 0
	for _, k := range w.names {
		if _, cut := w.cutTill[k]; cut {
			cutKeepers++
		}
	}
	k := w.names[w.rng.IntN(3)]
	node := w.proxies[w.rng.IntN(len(w.proxies))]
	_, kCut := w.cutTill[k]
	_, nCut := w.cutTill[node]
	span := time.Second + time.Duration(w.rng.IntN(5000))*time.Millisecond
	switch w.rng.IntN(coldWorldCalm) {
	case 0:
		if cutKeepers == 0 {
			w.cutOffFor(k, span)
		}
	case 1, 2:
		if !nCut {
			w.cutOffFor(node, span)
		}
	case 3:
		if cutKeepers == 0 {
			w.note(k)
			w.polls[k]()
			w.killHub(k)
			w.startHub(k)
			w.poll(k)
			w.came["keeper anew"]++
			w.log("anew ", k)
		}
	case 4:
		if !nCut {
			w.note(node)
			w.killFollower(node)
			w.startProxy(node)
			w.came["proxy anew"]++
			w.log("anew ", node)
		}
	case 5:
		if cutKeepers == 0 && !kCut {
			w.sources[k].setStale(true) // it is not current for a while, but reaches the others
			w.wg.Go(func() { time.Sleep(span / 3); w.note(k); w.sources[k].setStale(false) })
			w.came["not current"]++
			w.log("not current ", k, " for ", span/3)
		}
	}
}
