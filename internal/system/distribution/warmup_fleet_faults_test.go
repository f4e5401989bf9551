package distribution

import (
	"slices"
	"time"
)

// isolateFor cuts a machine off the others for a while; what was under way is lost.
func (w *warmUpFleet) isolateFor(host string, d time.Duration) {
	w.isolatedUntil[host] = time.Now().Add(d)
	w.log("cut ", host, " for ", d)
	w.recordFault(host)
	w.setPartitions(host, true)
	if s := w.sources[host]; s != nil {
		s.setStale(true)
	}
	w.faultCounts["cut"]++
}

func (w *warmUpFleet) setPartitions(host string, cut bool) {
	for _, o := range append(slices.Clone(w.names), w.proxyNames...) {
		if o == host {
			continue
		}
		for _, from := range []string{host, host + ":2"} {
			for _, to := range []string{o, o + ":2"} {
				w.mesh.setPartitioned(from, to, cut)
				w.mesh.setPartitioned(to, from, cut)
			}
		}
	}
}

// recordFault remembers a trouble.
func (w *warmUpFleet) recordFault(host string) {
	if w.sources[host] != nil {
		host = ""
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastFault[host] = time.Now()
}

// fault brings some trouble about.
func (w *warmUpFleet) fault() {
	for host, end := range w.isolatedUntil {
		if time.Now().After(end) {
			delete(w.isolatedUntil, host)
			w.recordFault(host)
			w.setPartitions(host, false)
			if s := w.sources[host]; s != nil {
				s.setStale(false)
			}
		}
	}
	cutKeepers := 0
	for _, chosen := range w.names {
		if _, cut := w.isolatedUntil[chosen]; cut {
			cutKeepers++
		}
	}
	chosen := w.names[w.rng.IntN(3)]
	node := w.proxyNames[w.rng.IntN(len(w.proxyNames))]
	_, kCut := w.isolatedUntil[chosen]
	_, nCut := w.isolatedUntil[node]
	span := time.Second + time.Duration(w.rng.IntN(5000))*time.Millisecond
	switch w.rng.IntN(faultPeriodSteps) {
	case 0:
		if cutKeepers == 0 {
			w.isolateFor(chosen, span)
		}
	case 1, 2:
		if !nCut {
			w.isolateFor(node, span)
		}
	case 3:
		if cutKeepers == 0 {
			w.recordFault(chosen)
			w.polls[chosen]()
			w.killServer(chosen)
			w.startServer(chosen)
			w.poll(chosen)
			w.faultCounts["keeper anew"]++
			w.log("anew ", chosen)
		}
	case 4:
		if !nCut {
			w.recordFault(node)
			w.killProxy(node)
			w.startPickingProxy(node)
			w.faultCounts["proxy anew"]++
			w.log("anew ", node)
		}
	case 5:
		if cutKeepers == 0 && !kCut {
			w.sources[chosen].setStale(true) // it is not current for a while, but reaches the others
			w.wg.Go(func() { time.Sleep(span / 3); w.recordFault(chosen); w.sources[chosen].setStale(false) })
			w.faultCounts["not current"]++
			w.log("not current ", chosen, " for ", span/3)
		}
	}
}
